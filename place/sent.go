package place

import (
	"sync"
	"time"

	"parsleyhatch/replica"
)

// batchTTL is the time for which sent tokens are recorded. It is longer than the interval between reports of
// a region.
const batchTTL = 4 * time.Second

// ServiceKey identifies a service in another region.
type ServiceKey struct{ Service, Region string }

// SentTokens records the prompt tokens that this VM sent to other regions. The reports of those regions include
// them only later, and then reach all VMs at once. It is safe for concurrent use.
type SentTokens struct {
	mu      sync.Mutex
	batches map[ServiceKey][]batch
}

type batch struct {
	at     time.Time
	tokens int64
}

// Add records tokens that are sent now.
func (s *SentTokens) Add(now time.Time, k ServiceKey, tokens int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.batches == nil {
		s.batches = map[ServiceKey][]batch{}
	}
	list := s.batches[k]
	for len(list) > 0 && now.Sub(list[0].at) > batchTTL {
		list = list[1:]
	}
	s.batches[k] = append(list, batch{at: now, tokens: tokens})
}

// Since returns the number of tokens that were sent after a time.
func (s *SentTokens) Since(t time.Time, k ServiceKey) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum := int64(0)
	list := s.batches[k]
	for i := len(list) - 1; i >= 0 && list[i].at.After(t); i-- {
		sum += list[i].tokens
	}
	return sum
}

// minRateTime is the shortest time over which a rate is computed.
const minRateTime = time.Second

// rate returns the number of tokens sent per second, over batchTTL or the time since the first of them.
func (s *SentTokens) rate(now time.Time, k ServiceKey) float64 {
	from := now.Add(-batchTTL)
	tokens := s.Since(from, k)
	if tokens == 0 {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.batches[k] {
		if b.at.After(from) {
			return float64(tokens) / max(now.Sub(b.at), minRateTime).Seconds()
		}
	}
	return 0
}

// Report is the latest report of another region about a service.
type Report struct {
	// Wait is the expected time to the first answer in the region.
	Wait time.Duration
	// ReceivedAt is the time at which the report was received.
	ReceivedAt time.Time
	// Replicas is the number of upstreams of the service in the region.
	Replicas int
	// Speed is the number of prompt tokens that one of them processes in a millisecond, above zero.
	Speed float64
}

// Queued returns the time for processing the prompts that the VMs of this region sent to a service since its report was created. others is
// the load of the other VMs of this region relative to that of this one: they are assumed to have sent that many times what this VM sends
// on average. The average covers up to batchTTL, since a few requests that this VM sent at the same time do not show what the others send.
func (s *SentTokens) Queued(now time.Time, k ServiceKey, r Report, others float64) time.Duration {
	if r.Replicas == 0 {
		return 0
	}
	reportedAt := r.ReceivedAt.Add(-LinkDelay)
	elapsed := now.Sub(reportedAt)
	tokens := s.Since(reportedAt, k) + int64(others*s.rate(now, k)*elapsed.Seconds())
	// The upstreams have processed prompts since the report was created.
	return max(0, replica.PrefillTime(tokens, r.Speed)/time.Duration(r.Replicas)-elapsed)
}
