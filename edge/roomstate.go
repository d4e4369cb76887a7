package edge

import (
	"time"

	"parsleyhatch/contention"
)

// roomState is what a request has found when it looked for room at this VM.
type roomState struct {
	// withinShare is set if the request was within the share of its workspace when it first looked for an upstream.
	withinShare bool
	// promised is set if the caller was refused before and returns at its promised time.
	promised bool
	// limit is what kept the upstreams of this region from taking the request at the latest choice, empty if nothing did.
	limit contention.Limit
	// waited is the time for which the request has waited for room, and waitingSince the start of the wait that goes on, zero if it does
	// not wait. While it waits, only the loop that releases waiting requests uses the request.
	waited       time.Duration
	waitingSince time.Time
}

// endWait adds the wait that ends now to those before.
func (s *roomState) endWait() {
	s.waited += time.Since(s.waitingSince)
	s.waitingSince = time.Time{}
}

// waitedUntil returns the time for which the request has waited for room until now.
func (s *roomState) waitedUntil(now time.Time) time.Duration {
	if s.waitingSince.IsZero() {
		return s.waited
	}
	return s.waited + now.Sub(s.waitingSince)
}
