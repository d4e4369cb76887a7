package edge

import (
	"sync/atomic"
	"time"
)

// logInterval is the minimum time between two log lines of one kind that callers or upstreams can cause at will.
const logInterval = time.Second

// logRate limits log lines to one in a logInterval. It is safe for concurrent use.
type logRate struct {
	// nextAt is the earliest time of the next line, in nanoseconds since boot.
	nextAt atomic.Int64
}

// allows reports whether a line may be logged now.
func (l *logRate) allows(now time.Time) bool {
	at := l.nextAt.Load()
	return now.UnixNano() >= at && l.nextAt.CompareAndSwap(at, now.Add(logInterval).UnixNano())
}
