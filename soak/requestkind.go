package soak

// requestKind says whether a request may run more than once.
type requestKind string

const (
	kindSafe   requestKind = "safe"
	kindUnsafe requestKind = "unsafe"
	// kindStream is a resumable stream of events.
	kindStream requestKind = "stream"
)
