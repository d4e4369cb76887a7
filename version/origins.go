package version

import (
	"slices"
	"sync"
	"time"
)

// Origins keeps the services and versions at which streams began, by a key of the content of their requests. Equal requests share a row. It
// is safe for concurrent use.
type Origins struct {
	// Lifetime is the time for which a row is kept at least, unless there are more than maxOrigins.
	Lifetime time.Duration

	mu sync.Mutex
	// recent holds the rows that were added since rotatedAt, and older those of the Lifetime before.
	recent, older map[string][]Stream
	rotatedAt     time.Time
	// droppedUntil is the time up to which rows may be missing, zero if none was dropped.
	droppedUntil time.Time
}

const (
	// maxOrigins bounds the rows of one lifetime.
	maxOrigins = 20_000
	// maxStreamsPerOrigin bounds the services and versions of one row: more than one say as little as two.
	maxStreamsPerOrigin = 2
)

// KeyedStream is a stream with the key of its request's content.
type KeyedStream struct {
	Key string
	Stream
}

// NewOrigins returns an empty table.
func NewOrigins(now time.Time, lifetime time.Duration) *Origins {
	return &Origins{Lifetime: lifetime, recent: map[string][]Stream{}, older: map[string][]Stream{}, rotatedAt: now}
}

// Add records the origin of a stream.
func (o *Origins) Add(now time.Time, key string, stream Stream) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.rotate(now)
	if list := o.recent[key]; len(list) < maxStreamsPerOrigin && !slices.Contains(list, stream) {
		o.recent[key] = append(list, stream)
	}
}

// Find returns the services and versions at which streams with a key began, each once. complete is set if none that was added since a
// time is missing.
func (o *Origins) Find(now, since time.Time, key string) (streams []Stream, complete bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.rotate(now)
	streams = slices.Clone(o.recent[key])
	for _, stream := range o.older[key] {
		if !slices.Contains(streams, stream) {
			streams = append(streams, stream)
		}
	}
	return streams, !o.droppedUntil.After(since)
}

// All returns all rows.
func (o *Origins) All(now time.Time) []KeyedStream {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.rotate(now)
	var all []KeyedStream
	for _, rows := range []map[string][]Stream{o.recent, o.older} {
		for key, streams := range rows {
			for _, stream := range streams {
				all = append(all, KeyedStream{Key: key, Stream: stream})
			}
		}
	}
	return all
}

// rotate starts a new generation of rows if the recent one is old or full.
func (o *Origins) rotate(now time.Time) {
	if now.Sub(o.rotatedAt) < o.Lifetime && len(o.recent) < maxOrigins {
		return
	}
	if len(o.older) > 0 {
		o.droppedUntil = o.rotatedAt
	}
	o.older, o.recent = o.recent, map[string][]Stream{}
	o.rotatedAt = now
}
