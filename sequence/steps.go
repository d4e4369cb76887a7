package sequence

import (
	"sync"
	"time"
)

const (
	// minStreams is the number of streams of a kind that must have had the same step before it is expected of the others.
	minStreams = 20
	// maxKinds bounds the kinds of streams that are kept.
	maxKinds = 1000
)

// Kind is the kind of streams that number their events alike.
type Kind struct {
	// Service and Version are the service and the software version of the upstream that began the stream.
	Service, Version string
}

// Steps holds the steps between the event numbers of the streams that passed recently, by kind. A caller that resumes a stream itself
// has the number of its last event only; the step shows which number comes next. It is safe for concurrent use.
type Steps struct {
	// Lifetime is the time for which a stream counts.
	Lifetime time.Duration

	mu    sync.Mutex
	kinds map[Kind]*kindSteps
}

// kindSteps holds the steps of the streams of one kind.
type kindSteps struct {
	// step is the step of the latest streams, streams their number, and lastAt the time of the last one.
	step    int64
	streams int
	lastAt  time.Time
	// irregularAt is the time of the last stream with different steps, zero if there was none.
	irregularAt time.Time
}

// NewSteps returns Steps without streams.
func NewSteps(lifetime time.Duration) *Steps {
	return &Steps{Lifetime: lifetime, kinds: map[Kind]*kindSteps{}}
}

// Record records a stream whose events have had one step so far.
func (s *Steps) Record(now time.Time, k Kind, step int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.kindOf(k)
	if c.streams > 0 && c.step != step {
		c.irregularAt, c.streams = now, 0
		return
	}
	c.step, c.lastAt = step, now
	c.streams++
}

// RecordIrregular records a stream whose events had different steps.
func (s *Steps) RecordIrregular(now time.Time, k Kind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.kindOf(k)
	c.irregularAt, c.streams = now, 0
}

// Expectation is what the streams of a kind show of the step between the numbers of their events.
type Expectation struct {
	// Step is the step that all of them have had recently, zero if there was none.
	Step int64
	// Certain is set if enough of them show it.
	Certain bool
	// Irregular is set if their steps differ, so that a step shows no gap.
	Irregular bool
}

// Expected returns what the streams of a kind have shown recently.
func (s *Steps) Expected(now time.Time, k Kind) Expectation {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.kinds[k]
	switch {
	case c == nil:
		return Expectation{}
	case !c.irregularAt.IsZero() && now.Sub(c.irregularAt) <= s.Lifetime:
		return Expectation{Irregular: true}
	case c.streams == 0 || now.Sub(c.lastAt) > s.Lifetime:
		return Expectation{}
	}
	return Expectation{Step: c.step, Certain: c.streams >= minStreams}
}

// kindOf returns the steps of a kind, and adds it if it is new. To bound the memory, it forgets all kinds if there are too many. The
// caller holds the mutex.
func (s *Steps) kindOf(k Kind) *kindSteps {
	c := s.kinds[k]
	if c == nil {
		if len(s.kinds) >= maxKinds {
			clear(s.kinds)
		}
		c = &kindSteps{}
		s.kinds[k] = c
	}
	return c
}
