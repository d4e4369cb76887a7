package contention

import (
	"math"
	"time"
)

const (
	// pressureHalfLife is the half-life of the counts. It is short enough to admit less urgent requests again within a few seconds after a
	// burst of urgent ones, and long enough not to take a short gap within the burst for its end.
	pressureHalfLife = time.Second
	// pressurePrior is the number of admitted requests that are added to those counted.
	pressurePrior = 2.0
	// maxPressure is the share of urgent requests that may be refused before less urgent ones are refused. It is above zero, since
	// some prompts miss their objective at any load, and estimates err.
	maxPressure = 0.1
)

// Pressure counts the urgent requests of a service that were refused for lack of capacity, with exponential decay.
type Pressure struct {
	asked, refused float64
	at             time.Time
}

// Record records the decision on an urgent request.
func (p *Pressure) Record(now time.Time, refused bool) {
	factor := p.factor(now)
	p.asked, p.refused, p.at = p.asked*factor+1, p.refused*factor, now
	if refused {
		p.refused++
	}
}

// Share returns the recent share of urgent requests that were refused, from 0 to 1.
func (p *Pressure) Share(now time.Time) float64 {
	// Only the refusals decay here. If both did, the ratio would stay high for many half-lives after the last request.
	return p.refused * p.factor(now) / (p.asked + pressurePrior)
}

func (p *Pressure) factor(now time.Time) float64 {
	return math.Exp2(-float64(max(0, now.Sub(p.at))) / float64(pressureHalfLife))
}
