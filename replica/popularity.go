package replica

import (
	"math"
	"time"
)

const (
	// popularityHalfLife is the time in which the count of a part fades to its half.
	popularityHalfLife = 10 * time.Second
	// maxCounted bounds the parts that are counted.
	maxCounted = 20000
)

// popularity counts how often the parts of prompts occur.
type popularity struct {
	counts map[uint64]float64
	total  float64
	at     time.Time
}

// add counts the parts of one request, and lets what was counted before fade.
func (p *popularity) add(now time.Time, parts []Part) {
	if elapsed := now.Sub(p.at); elapsed > popularityHalfLife/10 {
		p.fade(math.Exp2(-float64(elapsed) / float64(popularityHalfLife)))
		p.at = now
	}
	p.total++
	for _, part := range parts {
		p.counts[part.ID]++
	}
}

func (p *popularity) fade(factor float64) {
	p.total *= factor
	for id, n := range p.counts {
		if n *= factor; n < 0.05 || len(p.counts) > maxCounted {
			delete(p.counts, id)
			continue
		}
		p.counts[id] *= factor
	}
}

// share is the share of requests that have the part.
func (p *popularity) share(id uint64) float64 {
	if p.total == 0 {
		return 0
	}
	return p.counts[id] / p.total
}
