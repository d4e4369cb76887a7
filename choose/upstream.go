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
	// pendingWeight is how many running requests one request without a first token counts as:
	// prefills of one engine wait for each other.
	pendingWeight = 3
	// pastTicks covers reports up to 3 s late at four ticks a second.
	pastTicks = 12
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
	// pending is the part of outstanding without a first token yet.
	pending atomic.Int64
	// past holds own outstanding counts of the last ticks; only the control loop uses it.
	past [pastTicks]sample
	// others is the reported load without this VM's own requests.
	others     atomic.Int64
	reportedAt atomic.Int64 // Unix nanoseconds; 0 is never.
	failures   atomic.Int64
	downUntil  atomic.Int64 // Unix nanoseconds.
	rampStart  atomic.Int64 // Unix nanoseconds; 0 is no ramp.
	gapAt      atomic.Int64 // Unix nanoseconds of the last gap in cache events.
}

// sample is the own outstanding count at a time.
type sample struct {
	at    int64
	count int64
}

// Running is one request at an upstream. One goroutine at a time uses it.
type Running struct {
	upstream *Upstream
	first    bool
}

// Outstanding returns the number of this VM's requests that run at the upstream.
func (u *Upstream) Outstanding() int64 { return u.outstanding.Load() }

// Begin counts a request that is about to be sent. The caller calls End on the result.
func (u *Upstream) Begin() Running {
	u.outstanding.Add(1)
	u.pending.Add(1)
	return Running{upstream: u}
}

// FirstToken records that the answer has begun. Later calls do nothing.
func (r *Running) FirstToken() {
	if r.first || r.upstream == nil {
		return
	}
	r.first = true
	r.upstream.pending.Add(-1)
}

// End counts the end of the request. Later calls do nothing.
func (r *Running) End() {
	if r.upstream == nil {
		return
	}
	r.FirstToken()
	u := r.upstream
	r.upstream = nil
	if n := u.outstanding.Add(-1); n < 0 {
		event.Broken(nil, event.BrokenOutstanding, "upstream", u.Name, "outstanding", n)
	}
}

// remember keeps the own count, so that a report can be compared with the count at its time.
func (u *Upstream) remember(now int64) {
	copy(u.past[1:], u.past[:pastTicks-1])
	u.past[0] = sample{at: now, count: u.outstanding.Load()}
}

// ownAt returns the own count at the last tick that is not after a time. Reports lag: subtracting
// the count of now would hide the requests of other VMs behind those that this VM sent since.
func (u *Upstream) ownAt(at int64) int64 {
	for _, s := range u.past {
		if s.at != 0 && s.at <= at {
			return s.count
		}
	}
	return 0
}

// Report records a load report: the running and waiting requests of all VMs, as of at. A report
// that is older than the recorded one is ignored. Only the control loop calls it.
func (u *Upstream) Report(at time.Time, load int64) {
	n := at.UnixNano()
	if n <= u.reportedAt.Load() {
		return
	}
	u.others.Store(max(0, load-u.ownAt(n)))
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

// estimate returns the requests expected at the upstream, for a choice among replicas.
func (u *Upstream) estimate(now int64, life time.Duration) float64 {
	own := float64(u.outstanding.Load())
	at := u.reportedAt.Load()
	if at == 0 {
		return own
	}
	return own + float64(u.others.Load())*ageWeight(now-at, life)
}

// total returns the requests at the upstream for the load of a whole pool. There a late report is
// not discounted: what changes at one replica evens out over the pool.
func (u *Upstream) total(now int64) float64 {
	n := float64(u.others.Load())
	if now-u.reportedAt.Load() >= int64(loadStale) {
		n *= 0.5
	}
	return n + float64(u.outstanding.Load())
}

// reportLife returns the age at which a report counts half. Requests that it counted end within
// their run time; after that, all VMs would send to the replica that once had the least load.
func reportLife(run time.Duration) time.Duration {
	if run <= 0 {
		return time.Second
	}
	return min(max(run/8, 20*time.Millisecond), loadStale)
}

// ageWeight discounts a report: half at the age of its life, staleWeight at most after loadStale.
func ageWeight(age int64, life time.Duration) float64 {
	a := float64(max(age, 0)) / float64(life)
	w := 1 / (1 + a*a)
	if age >= int64(loadStale) {
		return math.Min(w, staleWeight)
	}
	return w
}

// score returns the load after one more request relative to the capacity; lower is better. One
// more request is counted so that an idle replica at the start of its ramp is not the best one.
func (u *Upstream) score(now int64, life time.Duration) float64 {
	capacity := float64(u.maxBatch.Load()) * u.ramp(now)
	waiting := pendingWeight * float64(u.pending.Load())
	s := (u.estimate(now, life) + waiting + 1) / math.Max(capacity, 0.1)
	if s > 1 {
		// Beyond the batch a request waits for another to end, which costs far more than
		// sharing a batch.
		s += overloadFactor * (s - 1)
	}
	return s
}
