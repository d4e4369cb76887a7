package event

import "log/slog"

// Events of the platform's store.
var (
	StoreDown             = New(1901, slog.LevelWarn, "store unreachable", "Check the store and the network path to it; requests with keys are refused once the known keys are too old.")
	StoreReachable        = New(1902, slog.LevelInfo, "store reachable again", "none")
	StoreReadLate         = New(1934, slog.LevelInfo, "changes of the store read late", "None, unless the event repeats at a VM: check its path to the store and to other VMs.")
	UpstreamRegistered    = New(1903, slog.LevelInfo, "upstream registered", "none")
	UpstreamUnregistered  = New(1904, slog.LevelInfo, "upstream no longer registered", "none")
	UpstreamInvalid       = New(1905, slog.LevelWarn, "upstream registration invalid; upstream not used", "Correct the registration at its writer.")
	DomainEvacuated       = New(1906, slog.LevelInfo, "failure domain evacuated", "none")
	StoreRestored         = New(1908, slog.LevelWarn, "store restored from a copy; its state is read again", "Check that the latest configuration was written again.")
	UpstreamLimited       = New(1922, slog.LevelWarn, "upstream announced a rate limit", "Check the upstream: it names the requests per second that it still accepts from all VMs.")
	UpstreamLimitEnded    = New(1923, slog.LevelInfo, "upstream announced the end of its limits", "none")
	UpstreamBrittle       = New(1925, slog.LevelWarn, "upstream announced that it is brittle", "Check the upstream: it crashes when it has to refuse more requests in a second than it names.")
	UpstreamLimitInvalid  = New(1924, slog.LevelWarn, "upstream announced an invalid limit; the last valid one stays in force", "Correct the header at the upstream.")
	UpstreamUnreachable   = New(1926, slog.LevelWarn, "no connection to the upstream", "Check the upstream. If the line names most upstreams of a region at one VM only, check that VM's network.")
	UpstreamReachable     = New(1927, slog.LevelInfo, "connection to the upstream possible again", "none")
	PathLost              = New(1929, slog.LevelError, "no path to the upstreams of a service", "Check the network of the VM if other VMs of the region still reach the upstreams; it sends its requests through them.")
	PathReturned          = New(1930, slog.LevelInfo, "path to the upstreams of a service returned", "none")
	StreamVersionUnknown  = New(1931, slog.LevelInfo, "stream cannot be resumed: the version that began it is unknown", "None after all VMs were lost while several software versions of a service served.")
	StreamServiceUnknown  = New(1943, slog.LevelInfo, "stream cannot be resumed: its service is unknown or no longer that of the route", "None after the split of a route has changed. Otherwise check whether the VMs have one configuration.")
	StreamServiceKept     = New(1944, slog.LevelInfo, "stream resumed at the service that began it, although its route would now send it to another one", "none")
	UpstreamLeaving       = New(1932, slog.LevelInfo, "upstream announced that it leaves", "none")
	UpstreamHeldBack      = New(1933, slog.LevelInfo, "upstream wants no requests for a time", "none")
	UpstreamUnexpected    = New(1961, slog.LevelWarn, "upstream sent bytes that belong to no request", "Check the upstream if the event repeats for it: it answers requests twice, or sends bytes that are no response.")
	UpstreamCold          = New(1928, slog.LevelInfo, "upstream is cold", "none")
	DomainEvacuationEnded = New(1907, slog.LevelInfo, "failure domain no longer evacuated", "none")
)

// Events of requests, settings and listeners of the VM.
var (
	EdgeAnswered      = New(1911, slog.LevelInfo, "request answered", "none")
	EdgeRefused       = New(1912, slog.LevelInfo, "request refused before it ran", "See the page on operations for the reason.")
	EdgeFailed        = New(1913, slog.LevelWarn, "request failed", "See the page on operations for the reason.")
	EdgeRetried       = New(1914, slog.LevelInfo, "request retried", "none")
	LinesDropped      = New(1915, slog.LevelWarn, "log lines dropped", "None; the metrics count all requests.")
	DirectoryFallback = New(1918, slog.LevelInfo, "directory returned vms of another region", "Check the VMs of the caller's region if the event repeats.")
	SettingsReloaded  = New(1916, slog.LevelInfo, "settings reloaded", "none")
	SettingsInvalid   = New(1919, slog.LevelWarn, "settings invalid; previous settings stay in force", "Correct the setting named in the log line.")
	EventsRepeated    = New(1941, slog.LevelInfo, "upstream sent events of a stream that the caller has", "None, unless the event repeats for an upstream: it does not go on after the event that it was asked to go on after.")
	StreamGap         = New(1942, slog.LevelWarn, "stream resumed after its next event", "Check the upstream: it leaves out events when it resumes a stream.")
	StreamStalled     = New(1921, slog.LevelInfo, "stream stalled", "Check the upstream if the event repeats for it: it sent no event for the time given.")
	ReadyChanged      = New(1920, slog.LevelInfo, "readiness changed", "none")
	ListenerStopped   = New(1917, slog.LevelError, "listener stopped", "Check the listen address and the file descriptor limit of the process.")
)
