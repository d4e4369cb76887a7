package version

import (
	"sync"
	"time"
)

// Stream is the version at which a stream of a service began.
type Stream struct {
	Service string
	Version string
}

// Streams keeps the streams that have begun, by the id of the attempt that brought their first event. It is safe for concurrent use.
type Streams struct {
	// Lifetime is the time for which a stream is kept at least.
	Lifetime time.Duration

	mu sync.Mutex
	// recent holds the streams that were added since rotatedAt, and older those of the Lifetime before.
	recent, older map[string]Stream
	rotatedAt     time.Time
}

// maxStreams bounds the streams of one lifetime, and so the memory for them.
const maxStreams = 100_000

// NewStreams returns an empty table.
func NewStreams(now time.Time, lifetime time.Duration) *Streams {
	return &Streams{Lifetime: lifetime, recent: map[string]Stream{}, older: map[string]Stream{}, rotatedAt: now}
}

// Add records a stream.
func (s *Streams) Add(now time.Time, id string, stream Stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(now)
	s.recent[id] = stream
}

// Find returns a stream.
func (s *Streams) Find(now time.Time, id string) (Stream, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(now)
	if found, ok := s.recent[id]; ok {
		return found, true
	}
	found, ok := s.older[id]
	return found, ok
}

func (s *Streams) rotate(now time.Time) {
	if now.Sub(s.rotatedAt) < s.Lifetime && len(s.recent) < maxStreams {
		return
	}
	s.older, s.recent = s.recent, map[string]Stream{}
	if now.Sub(s.rotatedAt) >= 2*s.Lifetime {
		s.older = map[string]Stream{}
	}
	s.rotatedAt = now
}
