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
