package soak

// requestKind says whether a request may run more than once.
type requestKind string

const (
	kindSafe   requestKind = "safe"
	kindUnsafe requestKind = "unsafe"
	// kindStream is a resumable stream of events.
	kindStream requestKind = "stream"
	// kindOnceStream is a stream of events that may run once only.
	kindOnceStream requestKind = "onceStream"
)

// streams reports whether the response is a stream of events.
func (k requestKind) streams() bool { return k == kindStream || k == kindOnceStream }

// runsOnce reports whether a request may run once only.
func (k requestKind) runsOnce() bool { return k == kindUnsafe || k == kindOnceStream }
