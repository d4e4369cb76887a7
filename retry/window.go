package retry

import (
	"sync"
	"time"
)

const (
	// windowBuckets is the number of buckets into which a window is divided.
	windowBuckets = 20
	// keptBuckets is the number of buckets of which retries count: one more than the window has, since the latest one is not over,
	// and another one for the time until a retry reaches its upstream.
	keptBuckets = windowBuckets + 2
	// earningBuckets is the number of buckets of which requests count: one fewer than the window has, since a retry reaches its upstream
	// some time after the decision, and must not be further than a window from the requests that it is related to.
	earningBuckets = windowBuckets - 1
	// ratioShare is the share of the bound's ratio that VMs use. Each VM relates its retries in a span to its requests in that span and in
	// the one before it; over all VMs, these may be twice the requests of either span, as when callers move to another VM.
	ratioShare = 0.5
	// spareShare is the share of the bound that TrySpareRetry uses.
	spareShare = 0.5
	// The slack is divided among at least minSlackVMs VMs and at least slackVMFactor times the known ones, because more VMs may
	// start and because those that have just started again use up to twice their part.
	minSlackVMs   = 24
	slackVMFactor = 2
)

// Bound bounds the retries of all VMs to each service in any span of a length.
type Bound struct {
	// Length is the length of the span.
	Length time.Duration
	// Ratio is the largest ratio of retries to callers' requests.
	Ratio float64
	// Slack is the number of retries above the ratio.
	Slack float64
}

// Window limits the retries of one VM to each service, so that those of all VMs stay within a bound. It is safe for concurrent use.
type Window struct {
	bound     Bound
	startedAt time.Time

	mu sync.Mutex
	// slack is the number of retries above the ratio that this VM may send, once it has run for a full window.
	slack    float64
	services map[string]*bucketCounts
}

// bucketCounts holds the requests and retries of one service by bucket of its window. bucket is the number of
// the latest bucket.
type bucketCounts struct {
	bucket   int64
	requests [keptBuckets]int
	retries  [keptBuckets]int
}

// NewWindow returns the empty window of a VM that has just started and knows no other VMs.
func NewWindow(now time.Time, b Bound) *Window {
	return &Window{bound: b, startedAt: now, slack: b.Slack / minSlackVMs, services: map[string]*bucketCounts{}}
}

// SetVMs sets the number of known VMs, this one included, which share the slack. The part of this VM never grows again: VMs that are not known
// any more may be cut off and still use theirs.
func (w *Window) SetVMs(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slack = min(w.slack, w.bound.Slack/max(minSlackVMs, slackVMFactor*float64(n)))
}

// RecordRequest records a caller's request.
func (w *Window) RecordRequest(now time.Time, service string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.countsAt(now, service)
	c.requests[c.bucket%keptBuckets]++
}

// TryRetry records a retry and returns true, or returns false if the bound is reached.
func (w *Window) TryRetry(now time.Time, service string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.countsAt(now, service)
	if !w.hasCapacity(now, c) {
		return false
	}
	c.retries[c.bucket%keptBuckets]++
	return true
}

// TrySpareRetry is TryRetry, but leaves half of the bound to others.
func (w *Window) TrySpareRetry(now time.Time, service string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.countsAt(now, service)
	requests, retries := c.totals()
	if float64(retries+1) > w.capacity(now, requests)*spareShare {
		return false
	}
	c.retries[c.bucket%keptBuckets]++
	return true
}

// ReturnRetry takes back a retry that TryRetry has recorded a moment ago and that was not sent.
func (w *Window) ReturnRetry(now time.Time, service string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.countsAt(now, service)
	for age := range int64(keptBuckets) {
		if i := (c.bucket + keptBuckets - age) % keptBuckets; c.retries[i] > 0 {
			c.retries[i]--
			return
		}
	}
}

// HasCapacity reports whether TryRetry would allow a retry now.
func (w *Window) HasCapacity(now time.Time, service string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.hasCapacity(now, w.countsAt(now, service))
}

func (w *Window) hasCapacity(now time.Time, c *bucketCounts) bool {
	requests, retries := c.totals()
	return float64(retries+1) <= w.capacity(now, requests)
}

// capacity returns the number of retries that the bound allows beside a number of requests.
func (w *Window) capacity(now time.Time, requests int) float64 {
	return ratioShare*w.bound.Ratio*float64(requests) + w.slackAt(now)
}

// totals returns the requests and the retries of the window.
func (c *bucketCounts) totals() (requests, retries int) {
	for age := range int64(keptBuckets) {
		i := (c.bucket + keptBuckets - age) % keptBuckets
		retries += c.retries[i]
		if age < earningBuckets {
			requests += c.requests[i]
		}
	}
	return requests, retries
}

// slackAt returns the slack, which grows in the first window: retries of an earlier process of this VM may still count. However often
// a VM starts in a window, its processes use at most twice the slack.
func (w *Window) slackAt(now time.Time) float64 {
	grown := float64(now.Sub(w.startedAt)) / float64(w.bound.Length)
	return w.slack * min(1, max(0, grown))
}

// countsAt returns the counts of a service after the counts of expired buckets are reset.
func (w *Window) countsAt(now time.Time, service string) *bucketCounts {
	bucket := now.UnixNano() / int64(w.bound.Length/windowBuckets)
	c := w.services[service]
	if c == nil {
		c = &bucketCounts{bucket: bucket}
		w.services[service] = c
	}
	for ; c.bucket < bucket; c.bucket++ {
		if bucket-c.bucket > keptBuckets {
			c.bucket = bucket - keptBuckets
		}
		next := (c.bucket + 1) % keptBuckets
		c.requests[next], c.retries[next] = 0, 0
	}
	return c
}
