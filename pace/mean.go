// Package pace estimates how fast an upstream works now, from the answers that the VMs of a region receive from it. Its figures replace
// constants: the upstreams of one service differ, share their machines with others, and slow down under load.
package pace

import (
	"math"
	"time"
)

// Mean is a weighted mean of samples. The weight of a sample halves in each half-life, so that new samples outweigh old ones, and a
// prior outweighs both once there are no new ones.
type Mean struct {
	sum, weight float64
	at          time.Time
}

// Add adds a sample. Samples that are not positive numbers are ignored.
func (m *Mean) Add(now time.Time, halfLife time.Duration, value, weight float64) {
	if !(value > 0) || math.IsInf(value, 0) || !(weight > 0) {
		return
	}
	m.decay(now, halfLife)
	m.sum += value * weight
	m.weight += weight
}

// At returns the mean and the weight of its samples.
func (m *Mean) At(now time.Time, halfLife time.Duration) (value, weight float64) {
	if m.weight == 0 {
		return 0, 0
	}
	return m.sum / m.weight, m.weight * decayOver(now.Sub(m.at), halfLife)
}

func (m *Mean) decay(now time.Time, halfLife time.Duration) {
	if m.weight > 0 {
		factor := decayOver(now.Sub(m.at), halfLife)
		m.sum *= factor
		m.weight *= factor
	}
	m.at = now
}

// decayOver returns the factor by which weights shrink in a time.
func decayOver(elapsed, halfLife time.Duration) float64 {
	if elapsed <= 0 {
		return 1
	}
	return math.Exp2(-float64(elapsed) / float64(halfLife))
}

// withPrior returns the mean of a weighted value and a prior.
func withPrior(value, weight, prior, priorWeight float64) float64 {
	return (value*weight + prior*priorWeight) / (weight + priorWeight)
}
