package place

import (
	"sync"
	"time"

	"parsleyhatch/replica"
)

// sentLife is the time for which what was sent is remembered: longer than reports of a region take.
const sentLife = 4 * time.Second

// Key names a service in another region.
type Key struct{ Service, Region string }

// Sent remembers the prompt tokens that this VM sent to other regions. Their reports show them only later, and
// then to all VMs at once. It is safe for concurrent use.
type Sent struct {
	mu      sync.Mutex
	batches map[Key][]batch
}

type batch struct {
	at     time.Time
	tokens int64
}

// Add counts tokens that are sent now.
func (s *Sent) Add(now time.Time, k Key, tokens int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.batches == nil {
		s.batches = map[Key][]batch{}
	}
	list := s.batches[k]
	for len(list) > 0 && now.Sub(list[0].at) > sentLife {
		list = list[1:]
	}
	s.batches[k] = append(list, batch{at: now, tokens: tokens})
}

// Since returns the tokens that were sent after a time.
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

// Report is what another region told about a service.
type Report struct {
	// Wait is the expected time to the first answer there.
	Wait time.Duration
	// HeardAt is when the report arrived here.
	HeardAt time.Time
	// Replicas is the number of its upstreams.
	Replicas int
}

// Queued returns the time for the prompts that the VMs of this region sent to a service since its report was
// made, if each of the VMs sent as much as this one.
func (s *Sent) Queued(now time.Time, k Key, r Report, vms int) time.Duration {
	if r.Replicas == 0 {
		return 0
	}
	made := r.HeardAt.Add(-LinkCost)
	tokens := s.Since(made, k) * int64(max(1, vms))
	// The upstreams have gone on reading since.
	return max(0, replica.ReadTime(tokens)/time.Duration(r.Replicas)-now.Sub(made))
}
