package returns

import (
	"sync"
	"time"
)

const (
	// sentWindow is the time over which the rate of sent requests is measured, the same as that of shares in package fairshare.
	sentWindow = 2 * time.Second
	// sentSlot is the resolution of the window. A finer one would not help, since the schedule has the same.
	sentSlot  = bucketLength
	sentSlots = int64(sentWindow / sentSlot)
	// peakRetention is the time for which the highest rate counts. Just after an overload, the rate of the window is far below the capacity, and
	// promises that followed it were due too late.
	peakRetention = 10 * time.Second
)

// SentCosts measures the rate at which the cost of requests is sent, by service. The zero value is empty. It is safe for concurrent use.
type SentCosts struct {
	mu       sync.Mutex
	services map[string]*sentCost
}

// sentCost is the cost that was sent in each slot of time. Slot n, counted from the zero time of the clock, is at index n modulo sentSlots.
type sentCost struct {
	latest int64
	slots  [sentSlots]int64
	// peak is the highest rate that was returned within peakRetention, and peakAt the time of its measurement.
	peak   float64
	peakAt time.Time
}

// Add records the cost of a request, in tokens.
func (s *SentCosts) Add(now time.Time, service string, cost int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.services[service]
	if c == nil {
		if s.services == nil {
			s.services = map[string]*sentCost{}
		}
		c = &sentCost{}
		s.services[service] = c
	}
	c.advance(now)
	c.slots[c.latest%sentSlots] += cost
}

// Rate returns the cost that was sent per second, in tokens: the mean over the window, or the highest mean that was measured by a call within
// peakRetention. It is zero for services without requests.
func (s *SentCosts) Rate(now time.Time, service string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.services[service]
	if c == nil {
		return 0
	}
	c.advance(now)
	sum := int64(0)
	for _, cost := range c.slots {
		sum += cost
	}
	rate := float64(sum) / sentWindow.Seconds()
	if rate >= c.peak || now.Sub(c.peakAt) > peakRetention {
		c.peak, c.peakAt = rate, now
	}
	return c.peak
}

// Retain removes all services except the given ones.
func (s *SentCosts) Retain(services map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for service := range s.services {
		if !services[service] {
			delete(s.services, service)
		}
	}
}

// advance clears the slots that have left the window.
func (c *sentCost) advance(now time.Time) {
	n := now.UnixNano() / int64(sentSlot)
	for c.latest = max(c.latest, n-sentSlots); c.latest < n; {
		c.latest++
		c.slots[c.latest%sentSlots] = 0
	}
}
