package replica

import (
	"math"
	"slices"
	"time"
)

const (
	// arrivalHalfLife is the half-life of the counts from which the rate of requests is estimated.
	arrivalHalfLife = 2 * time.Second
	// maxSumsInterval bounds the interval of sums that is assumed.
	maxSumsInterval = time.Second
)

// arrivals estimates the requests for a service that this VM sends, with exponential decay.
type arrivals struct {
	count     float64
	decayedAt time.Time
	// wait is the mean time by which a request delays others at its upstream, in milliseconds.
	wait float64
}

// add counts a request with its uncached prompt tokens.
func (a *arrivals) add(now time.Time, uncachedTokens int64) {
	a.count = a.decayed(now) + 1
	a.decayedAt = now
	wait := float64(uncachedTokens)/prefillRate + runningCost
	a.wait += (wait - a.wait) / min(a.count, 20)
}

func (a *arrivals) decayed(now time.Time) float64 {
	return a.count * math.Exp2(-float64(now.Sub(a.decayedAt))/float64(arrivalHalfLife))
}

// countArrival counts a request that this VM sends to an upstream of a service.
func (t *Table) countArrival(now time.Time, service string, uncachedTokens int64) {
	a := t.arrivals[service]
	if a == nil {
		a = &arrivals{}
		t.arrivals[service] = a
	}
	a.add(now, uncachedTokens)
}

// rate returns the requests per second.
func (a *arrivals) rate(now time.Time) float64 {
	return a.decayed(now) * math.Ln2 / arrivalHalfLife.Seconds()
}

// unseenWait returns the time by which the requests that other VMs have sent since the latest sums delay others, summed
// over all upstreams of a service, in milliseconds. The other VMs are assumed to send as much as this one.
func (t *Table) unseenWait(now time.Time, service string) float64 {
	a := t.arrivals[service]
	if a == nil || !t.collected(now) {
		return 0
	}
	age := now.Sub(t.sumsAt) + t.sumsInterval/2
	return a.rate(now) * float64(t.vmCount-1) * age.Seconds() * a.wait
}

// fillLevel returns the level to which the lowest values rise if an amount is distributed to them. All VMs know the same
// old loads; if they did not assume that others have filled the idle upstreams since then, all would choose these.
func fillLevel(values []float64, amount float64) float64 {
	slices.Sort(values)
	level := math.Inf(-1)
	for i, v := range values {
		if i > 0 {
			if rise := (v - level) * float64(i); rise >= amount {
				return level + amount/float64(i)
			} else {
				amount -= rise
			}
		}
		level = v
	}
	return level + amount/float64(max(1, len(values)))
}
