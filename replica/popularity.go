package replica

import (
	"math"
	"time"
)

const (
	// popularityHalfLife is the half-life of the count of a part.
	popularityHalfLife = 10 * time.Second
	// maxCountedParts bounds the number of counted parts. If there are more, parts are removed at the next
	// decay.
	maxCountedParts = 20000
)

// popularity counts the occurrences of prompt parts, with exponential decay.
type popularity struct {
	counts    map[uint64]float64
	total     float64
	decayedAt time.Time
}

// add counts the parts of one request and decays earlier counts.
func (p *popularity) add(now time.Time, parts []Part) {
	if elapsed := now.Sub(p.decayedAt); elapsed > popularityHalfLife/10 {
		p.decay(math.Exp2(-float64(elapsed) / float64(popularityHalfLife)))
		p.decayedAt = now
	}
	p.total++
	for _, part := range parts {
		p.counts[part.ID]++
	}
}

func (p *popularity) decay(factor float64) {
	p.total *= factor
	for id, n := range p.counts {
		if n *= factor; n < 0.05 || len(p.counts) > maxCountedParts {
			delete(p.counts, id)
			continue
		}
		p.counts[id] *= factor
	}
}

// share returns the share of requests that contain the part.
func (p *popularity) share(id uint64) float64 {
	if p.total == 0 {
		return 0
	}
	return p.counts[id] / p.total
}
