// Package choose decides which region and which upstream run a request.
package choose

import (
	"math"
	"sync/atomic"
	"time"

	"parsleyhatch/event"
)

// Parameters of load estimates, backoff and ramps.
const (
	// reportStaleAfter is the age at which a load report counts as stale.
	reportStaleAfter = 3 * time.Second
	// staleWeight is the highest weight of a stale report.
	staleWeight = 0.1
	// rampDuration is the time until an upstream that returns from a failure, or is new, gets its full
	// share.
	rampDuration = 30 * time.Second
	// minRampShare is the share at the start of the ramp. With a smaller one the upstream would get
	// hardly any requests in a large pool, and its cache would stay cold.
	minRampShare = 0.1
	// firstBackoff and maxBackoff bound the time for which a failing upstream is avoided.
	firstBackoff = 500 * time.Millisecond
	maxBackoff   = 30 * time.Second
	// pendingWeight is the additional load, in running requests, of a request without a first token:
	// prefills in one engine wait for each other.
	pendingWeight = 3
	// historyTicks covers reports that are up to 3 s late at four ticks per second.
	historyTicks = 12
)

// Upstream holds the counters of one upstream. They are kept when the view is rebuilt, and may be
// used from any goroutine.
type Upstream struct {
	// Name is unique in the region.
	Name string

	// id indexes the bit sets of pools. It is -1 after the upstream was removed, since its id is
	// reused.
	id          atomic.Int32
	maxBatch    atomic.Int64
	outstanding atomic.Int64
	// pending is the number of outstanding requests without a first token.
	pending atomic.Int64
	// outstandingHistory holds the outstanding counts at the last ticks, latest first. Only the
	// control loop uses it.
	outstandingHistory [historyTicks]outstandingSample
	// otherLoad is the reported load without this VM's own requests.
	otherLoad  atomic.Int64
	reportedAt atomic.Int64 // Unix nanoseconds; 0 if there was no report.
	failures   atomic.Int64
	downUntil  atomic.Int64 // Unix nanoseconds.
	rampStart  atomic.Int64 // Unix nanoseconds; 0 if there is no ramp.
	eventGapAt atomic.Int64 // Unix nanoseconds of the last gap in cache events.
}

// outstandingSample is this VM's outstanding count at a time in Unix nanoseconds.
type outstandingSample struct {
	at    int64
	count int64
}

// RunningRequest is a request at an upstream. It must not be used by several goroutines at once.
type RunningRequest struct {
	upstream           *Upstream
	firstTokenReceived bool
}

// Outstanding returns the number of this VM's requests at the upstream.
func (u *Upstream) Outstanding() int64 { return u.outstanding.Load() }

// Begin counts a request that is about to be sent. The caller must call End on the result.
func (u *Upstream) Begin() RunningRequest {
	u.outstanding.Add(1)
	u.pending.Add(1)
	return RunningRequest{upstream: u}
}

// FirstToken records that the response has begun. Later calls do nothing.
func (r *RunningRequest) FirstToken() {
	if r.firstTokenReceived || r.upstream == nil {
		return
	}
	r.firstTokenReceived = true
	r.upstream.pending.Add(-1)
}

// End records the end of the request. Later calls do nothing.
func (r *RunningRequest) End() {
	if r.upstream == nil {
		return
	}
	r.FirstToken()
	u := r.upstream
	r.upstream = nil
	if n := u.outstanding.Add(-1); n < 0 {
		event.FailInvariant(nil, event.BrokenOutstanding, "upstream", u.Name, "outstanding", n)
	}
}

// recordOutstanding stores the outstanding count of this tick, so that a later report can be
// compared with the count at the time of the report.
func (u *Upstream) recordOutstanding(now int64) {
	copy(u.outstandingHistory[1:], u.outstandingHistory[:historyTicks-1])
	u.outstandingHistory[0] = outstandingSample{at: now, count: u.outstanding.Load()}
}

// outstandingAt returns this VM's outstanding count at the last tick that was not after a time.
// Reports arrive late: if the current count were subtracted from a report, requests that this VM
// sent since would hide those of other VMs.
func (u *Upstream) outstandingAt(at int64) int64 {
	for _, s := range u.outstandingHistory {
		if s.at != 0 && s.at <= at {
			return s.count
		}
	}
	return 0
}

// RecordLoad records a load report: the running and waiting requests of all VMs at a time. A report
// that is not newer than the recorded one is ignored. Only the control loop calls it.
func (u *Upstream) RecordLoad(at time.Time, load int64) {
	n := at.UnixNano()
	if n <= u.reportedAt.Load() {
		return
	}
	u.otherLoad.Store(max(0, load-u.outstandingAt(n)))
	u.reportedAt.Store(n)
}

// RecordFailure records a failed call. The upstream is then avoided for a time that doubles with each
// consecutive failure. Failures while it is avoided are ignored, because those calls were sent
// before the first failure was known.
func (u *Upstream) RecordFailure(now time.Time) {
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

// RecordSuccess records a completed call and resets the number of consecutive failures.
func (u *Upstream) RecordSuccess(now time.Time) {
	if u.failures.Load() != 0 && now.UnixNano() >= u.downUntil.Load() {
		u.failures.Store(0)
	}
}

// Failing reports whether the upstream is avoided because of failures.
func (u *Upstream) Failing(now time.Time) bool { return now.UnixNano() < u.downUntil.Load() }

// rampShare returns the share of its capacity that the upstream may get, in [minRampShare, 1].
func (u *Upstream) rampShare(now int64) float64 {
	start := u.rampStart.Load()
	if start == 0 || now >= start+int64(rampDuration) {
		return 1
	}
	f := float64(now-start) / float64(rampDuration)
	return minRampShare + (1-minRampShare)*max(0, f)
}

// estimatedLoad returns the number of requests expected at the upstream, for the choice among
// replicas.
func (u *Upstream) estimatedLoad(now int64, halfLife time.Duration) float64 {
	own := float64(u.outstanding.Load())
	at := u.reportedAt.Load()
	if at == 0 {
		return own
	}
	return own + float64(u.otherLoad.Load())*reportWeight(now-at, halfLife)
}

// total returns the number of requests at the upstream as a part of the load of the whole pool. A
// late report counts fully here until it is stale, and half after that, because changes at single
// replicas even out over the pool.
func (u *Upstream) total(now int64) float64 {
	n := float64(u.otherLoad.Load())
	if now-u.reportedAt.Load() >= int64(reportStaleAfter) {
		n *= 0.5
	}
	return n + float64(u.outstanding.Load())
}

// reportHalfLife returns the age at which a report counts half. The requests in a report end within
// their run time. If old reports counted more, all VMs would send to the replica that had the least
// load at the time of the report.
func reportHalfLife(run time.Duration) time.Duration {
	if run <= 0 {
		return time.Second
	}
	return min(max(run/8, 20*time.Millisecond), reportStaleAfter)
}

// reportWeight returns the weight of a report by its age: one half at halfLife, and at most
// staleWeight after reportStaleAfter.
func reportWeight(age int64, halfLife time.Duration) float64 {
	a := float64(max(age, 0)) / float64(halfLife)
	w := 1 / (1 + a*a)
	if age >= int64(reportStaleAfter) {
		return math.Min(w, staleWeight)
	}
	return w
}

// score returns the load after one more request relative to the capacity; lower is better. One more
// request is counted so that an idle replica at the start of its ramp does not get the best score.
func (u *Upstream) score(now int64, halfLife time.Duration) float64 {
	capacity := float64(u.maxBatch.Load()) * u.rampShare(now)
	waiting := pendingWeight * float64(u.pending.Load())
	s := (u.estimatedLoad(now, halfLife) + waiting + 1) / math.Max(capacity, 0.1)
	if s > 1 {
		// A request beyond the batch waits until another one ends, which takes far longer than
		// sharing a batch.
		s += overloadFactor * (s - 1)
	}
	return s
}
