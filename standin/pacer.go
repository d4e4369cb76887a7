package standin

import (
	"sync"
	"time"
)

// pacer shares a rate between its users. A rate of 0 or less is no limit.
type pacer struct {
	perSecond float64

	mu   sync.Mutex
	next time.Time
}

// reserve returns the time at which the last of n units has passed.
func (p *pacer) reserve(now time.Time, n int) time.Time {
	if p.perSecond <= 0 {
		return now
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.next.Before(now) {
		p.next = now
	}
	p.next = p.next.Add(time.Duration(float64(n) / p.perSecond * float64(time.Second)))
	return p.next
}
