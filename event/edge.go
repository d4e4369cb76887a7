package event

import "log/slog"

// Events of the platform's store.
var (
	StoreDown          = New(1901, slog.LevelWarn, "store unreachable", "Check the store and the path to it; requests with keys are refused once the knowledge of keys is too old.")
	StoreBack          = New(1902, slog.LevelInfo, "store reachable again", "none")
	UpstreamRegistered = New(1903, slog.LevelInfo, "upstream registered", "none")
	UpstreamGone       = New(1904, slog.LevelInfo, "upstream gone from the store", "none")
	UpstreamUnreadable = New(1905, slog.LevelWarn, "registration of an upstream unreadable", "Find the writer of the entry; it names no upstream to use.")
	DomainEvacuated    = New(1906, slog.LevelInfo, "failure domain evacuated", "none")
	DomainTakenBack    = New(1907, slog.LevelInfo, "failure domain taken back", "none")
)

// Events of requests at the edge.
var (
	EdgeDone       = New(1911, slog.LevelInfo, "request answered", "none")
	EdgeRefused    = New(1912, slog.LevelInfo, "request refused before it ran", "See the page on operations for the reason.")
	EdgeFailed     = New(1913, slog.LevelWarn, "request failed", "See the page on operations for the reason.")
	EdgeRetried    = New(1914, slog.LevelInfo, "request sent again", "none")
	LinesDropped   = New(1915, slog.LevelWarn, "log lines dropped", "None; the metrics count all requests.")
	NamedElsewhere = New(1918, slog.LevelInfo, "directory names vms of another region", "Check the VMs of the caller's region if it goes on.")
	SettingsRead   = New(1916, slog.LevelInfo, "settings read again", "none")
	SettingsBad    = New(1919, slog.LevelWarn, "settings not readable; the earlier ones stay in force", "Correct the setting that the line names.")
	ReadyChanged   = New(1920, slog.LevelInfo, "readiness changed", "none")
	ListenerEnded  = New(1917, slog.LevelError, "listener ended", "Check the address and the descriptors of the process.")
)
