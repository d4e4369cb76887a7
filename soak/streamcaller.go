package soak

import (
	"cmp"
	"context"
	"fmt"
	"time"
)

const (
	// streamPatience is the time without an answer or an event after which a caller resumes its stream at another VM, and
	// minAttemptTime the time until the deadline of a stream from which on it sends no more attempts.
	streamPatience = 600 * time.Millisecond
	minAttemptTime = 300 * time.Millisecond
	// streamTime bounds the deadline of streams that their callers resume, so that none is older than the last fault once VMs must have
	// recovered from it.
	streamTime = 4 * time.Second
	// attemptPause is the least pause between two attempts, and maxRetryShare the share of the time left for which a caller obeys
	// Retry-After.
	attemptPause  = 50 * time.Millisecond
	maxRetryShare = 1.0 / 3
)

// runStreamCaller requests streams until ctx ends.
func (s *soak) runStreamCaller(ctx context.Context, caller int) {
	client, fresh := newCallerClient(true), newCallerClient(false)
	defer client.CloseIdleConnections()
	rng := s.newRand(uint64(caller) + 100)
	for n := 0; ctx.Err() == nil; n++ {
		key, _ := s.pickKey(rng.IntN(1 << 20))
		c := call{
			id: fmt.Sprintf("%d-%d-%d", s.Seed, caller, n), route: &routeLoad{Kind: kindStream}, load: &s.load, key: key, joinsAttempts: true,
			named: rng.IntN(2) == 0, vm: s.drawVM(rng, "", nil), rng: rng, onlyStreams: true,
			deadline: time.Now().Add(min(s.load.deadline, streamTime)), patience: streamPatience,
		}
		s.runCall(ctx, &c, client, fresh)
		time.Sleep(s.load.interval)
	}
}

// contentID is the id in the query and the body, which all attempts of a caller at a stream have in common.
func (r request) contentID() string { return cmp.Or(r.stream, r.id) }

// contentID returns the id in the query and the body of the request with an id.
func (h *history) contentID(id string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return cmp.Or(h.requests[id].stream, id)
}
