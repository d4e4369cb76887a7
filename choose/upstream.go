// Package choose decides which region and which upstream run a request.
package choose

import (
	"math"
	"sync/atomic"
	"time"

	"parsleyhatch/event"
)

// Limits on reports, failures and ramps.
const (
	// loadStale is the age at which a reported load stops counting fully.
	loadStale = 3 * time.Second
	// staleWeight is the share at which a report older than loadStale counts.
	staleWeight = 0.1
	// rampTime is how long a returning replica takes to get its full share.
	rampTime = 30 * time.Second
	// rampFloor is the share at the start of the ramp; below it a large pool would hardly send
	// anything, and the replica's cache would stay cold.
	rampFloor = 0.1
	// firstBackoff and maxBackoff bound the time for which a failing replica is avoided.
	firstBackoff = 500 * time.Millisecond
	maxBackoff   = 30 * time.Second
)

// Upstream holds the counters of one upstream. They survive rebuilds of the view, and may be used
// from any goroutine.
type Upstream struct {
	// Name is unique in the region.
	Name string

	// id indexes the pools' bit sets; -1 once the upstream was removed, when its id is reused.
	id          atomic.Int32
	maxBatch    atomic.Int64
	outstanding atomic.Int64
	// others is the reported load without this VM's own requests.
	others     atomic.Int64
	reportedAt atomic.Int64 // Unix nanoseconds; 0 is never.
	failures   atomic.Int64
	downUntil  atomic.Int64 // Unix nanoseconds.
	rampStart  atomic.Int64 // Unix nanoseconds; 0 is no ramp.
	gapAt      atomic.Int64 // Unix nanoseconds of the last gap in cache events.
}

// Outstanding returns the number of this VM's requests that run at the upstream.
func (u *Upstream) Outstanding() int64 { return u.outstanding.Load() }

// Begin counts a request that is about to be sent.
func (u *Upstream) Begin() { u.outstanding.Add(1) }

// End counts the end of a request. Each Begin is followed by exactly one End.
func (u *Upstream) End() {
	if n := u.outstanding.Add(-1); n < 0 {
		event.Broken(nil, event.BrokenOutstanding, "upstream", u.Name, "outstanding", n)
	}
}

// Report records a load report: the running and waiting requests of all VMs, as of at. A report
// that is older than the recorded one is ignored.
func (u *Upstream) Report(at time.Time, load int64) {
	n := at.UnixNano()
	if n <= u.reportedAt.Load() {
		return
	}
	u.others.Store(max(0, load-u.outstanding.Load()))
	u.reportedAt.Store(n)
}

// Failed records a failed call: the upstream is avoided for a time that doubles with each
// consecutive failure. Calls that fail while it is avoided count once, because they were sent
// before the first failure was known.
func (u *Upstream) Failed(now time.Time) {
	n := now.UnixNano()
	until := u.downUntil.Load()
	if n < until {
		return
	}
	k := min(u.failures.Add(1)-1, 10)
	pause := min(firstBackoff<<k, maxBackoff)
	u.downUntil.Store(n + int64(pause))
	u.rampStart.Store(n + int64(pause))
}

// Succeeded records a completed call and ends a row of failures.
func (u *Upstream) Succeeded(now time.Time) {
	if u.failures.Load() != 0 && now.UnixNano() >= u.downUntil.Load() {
		u.failures.Store(0)
	}
}

// Down reports whether the upstream is avoided because of failures.
func (u *Upstream) Down(now time.Time) bool { return now.UnixNano() < u.downUntil.Load() }

// ramp returns the share of its capacity that the upstream may get, in [rampFloor, 1].
func (u *Upstream) ramp(now int64) float64 {
	start := u.rampStart.Load()
	if start == 0 || now >= start+int64(rampTime) {
		return 1
	}
	f := float64(now-start) / float64(rampTime)
	return rampFloor + (1-rampFloor)*max(0, f)
}

// estimate returns the requests expected at the upstream.
func (u *Upstream) estimate(now int64) float64 {
	own := float64(u.outstanding.Load())
	at := u.reportedAt.Load()
	if at == 0 {
		return own
	}
	return own + float64(u.others.Load())*ageWeight(now-at)
}

// ageWeight discounts a report: fully counted when new, half when loadStale old, staleWeight after.
func ageWeight(age int64) float64 {
	if age >= int64(loadStale) {
		return staleWeight
	}
	return 1 - 0.5*float64(max(age, 0))/float64(loadStale)
}

// score returns the load after one more request relative to the capacity; lower is better. One
// more request is counted so that an idle replica at the start of its ramp is not the best one.
func (u *Upstream) score(now int64) float64 {
	capacity := float64(u.maxBatch.Load()) * u.ramp(now)
	s := (u.estimate(now) + 1) / math.Max(capacity, 0.1)
	if s > 1 {
		// Beyond the batch a request waits for another to end, which costs far more than
		// sharing a batch.
		s += overloadFactor * (s - 1)
	}
	return s
}
