package place

import (
	"sync"
	"time"

	"parsleyhatch/replica"
)

// batchTTL is the time for which sent tokens are recorded. It is longer than the interval between reports of
// a region.
const batchTTL = 4 * time.Second

// Key identifies a service in another region.
type Key struct{ Service, Region string }

// Sent records the prompt tokens that this VM sent to other regions. The reports of those regions include
// them only later, and then reach all VMs at once. It is safe for concurrent use.
type Sent struct {
	mu      sync.Mutex
	batches map[Key][]batch
}

type batch struct {
	at     time.Time
	tokens int64
}

// Add records tokens that are sent now.
func (s *Sent) Add(now time.Time, k Key, tokens int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.batches == nil {
		s.batches = map[Key][]batch{}
	}
	list := s.batches[k]
	for len(list) > 0 && now.Sub(list[0].at) > batchTTL {
		list = list[1:]
	}
	s.batches[k] = append(list, batch{at: now, tokens: tokens})
}

// Since returns the number of tokens that were sent after a time.
func (s *Sent) Since(t time.Time, k Key) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum := int64(0)
	list := s.batches[k]
	for i := len(list) - 1; i >= 0 && list[i].at.After(t); i-- {
		sum += list[i].tokens
	}
	return sum
}

// Report is the latest report of another region about a service.
type Report struct {
	// Wait is the expected time to the first answer in the region.
	Wait time.Duration
	// HeardAt is the time at which the report was received.
	HeardAt time.Time
	// Replicas is the number of upstreams of the service in the region.
	Replicas int
}

// Queued returns the time for processing the prompts that the VMs of this region sent to a service since its
// report was created, assuming that each VM sent as many tokens as this one.
func (s *Sent) Queued(now time.Time, k Key, r Report, vms int) time.Duration {
	if r.Replicas == 0 {
		return 0
	}
	reportedAt := r.HeardAt.Add(-LinkCost)
	tokens := s.Since(reportedAt, k) * int64(max(1, vms))
	// The upstreams have processed prompts since the report was created.
	return max(0, replica.ReadTime(tokens)/time.Duration(r.Replicas)-now.Sub(reportedAt))
}
