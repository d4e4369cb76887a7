package soak

// requestKind says whether a request may run more than once. It is the name and the path of the route of such requests.
type requestKind string

const (
	kindSafe   requestKind = "safe"
	kindUnsafe requestKind = "unsafe"
	// kindStream is a resumable stream of events.
	kindStream requestKind = "stream"
	// kindUnresumable is a stream of events that may not be resumed.
	kindUnresumable requestKind = "unresumable"
)

// requestKinds are the kinds of requests that callers send in turn.
var requestKinds = []requestKind{kindSafe, kindUnsafe, kindStream, kindUnresumable}

// requestKindFor returns the kind of the n-th request of a caller.
func requestKindFor(n int) requestKind { return requestKinds[n%len(requestKinds)] }

func (k requestKind) isStream() bool { return k == kindStream || k == kindUnresumable }

// runsOnce reports whether a request may run at most once.
func (k requestKind) runsOnce() bool { return k == kindUnsafe || k == kindUnresumable }

// path is the path of the requests.
func (k requestKind) path() string { return "/" + string(k) + "/" }

// isStreamPath reports whether requests with a path are streams.
func isStreamPath(path string) bool {
	return path == kindStream.path() || path == kindUnresumable.path()
}

// maxAttempts returns the number of upstreams that may run a request, which its route sets.
func (k requestKind) maxAttempts() int {
	if k == kindUnresumable {
		return 1
	}
	return maxAttempts
}

// route returns the route of the requests.
func (k requestKind) route(l *load) routeConfig {
	kind := string(k)
	if k.isStream() {
		kind = "streaming"
	}
	return routeConfig{
		Name: string(k), Host: host, Prefix: k.path(), Kind: kind, Service: service,
		TimeoutMillis: float64(l.deadline.Milliseconds()), TargetMillis: 1000, MaxAttempts: k.maxAttempts(), Resumable: k == kindStream,
	}
}
