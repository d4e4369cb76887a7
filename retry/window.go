package retry

import (
	"sync"
	"time"
)

// windowBuckets is the number of buckets into which a window is divided.
const windowBuckets = 10

// Window limits the retries to each service in a sliding window to a share of its requests, plus this VM's
// share of a slack for all VMs. It is safe for concurrent use.
type Window struct {
	// Length is the length of the window.
	Length time.Duration
	// Ratio is the largest ratio of retries to requests.
	Ratio float64

	mu sync.Mutex
	// slack is the number of retries above the ratio that this VM may send.
	slack    float64
	services map[string]*bucketCounts
}

// bucketCounts holds the requests and retries of one service by bucket of its window. bucket is the number of
// the latest bucket.
type bucketCounts struct {
	bucket   int64
	requests [windowBuckets]int
	retries  [windowBuckets]int
}

// NewWindow returns an empty window.
func NewWindow(length time.Duration, ratio, slack float64) *Window {
	return &Window{Length: length, Ratio: ratio, slack: slack, services: map[string]*bucketCounts{}}
}

// SetSlack sets the number of retries above the ratio that this VM may send.
func (w *Window) SetSlack(slack float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slack = slack
}

// RecordRequest records a caller's request.
func (w *Window) RecordRequest(now time.Time, service string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.countsAt(now, service)
	c.requests[c.bucket%windowBuckets]++
}

// TryRetry records a retry and returns true, or returns false if the bound is reached.
func (w *Window) TryRetry(now time.Time, service string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.countsAt(now, service)
	if !w.hasCapacity(c) {
		return false
	}
	c.retries[c.bucket%windowBuckets]++
	return true
}

// HasCapacity reports whether TryRetry would allow a retry now.
func (w *Window) HasCapacity(now time.Time, service string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.hasCapacity(w.countsAt(now, service))
}

func (w *Window) hasCapacity(c *bucketCounts) bool {
	requests, retries := 0, 0
	for i := range windowBuckets {
		requests += c.requests[i]
		retries += c.retries[i]
	}
	return float64(retries+1) <= w.Ratio*float64(requests)+w.slack
}

// countsAt returns the counts of a service after the counts of expired buckets are reset.
func (w *Window) countsAt(now time.Time, service string) *bucketCounts {
	bucket := now.UnixNano() / int64(w.Length/windowBuckets)
	c := w.services[service]
	if c == nil {
		c = &bucketCounts{bucket: bucket}
		w.services[service] = c
	}
	for ; c.bucket < bucket; c.bucket++ {
		if bucket-c.bucket > windowBuckets {
			c.bucket = bucket - windowBuckets
		}
		next := (c.bucket + 1) % windowBuckets
		c.requests[next], c.retries[next] = 0, 0
	}
	return c
}
