package retry

import (
	"sync"
	"time"
)

// windowSlots is the number of parts in which a window is counted.
const windowSlots = 10

// Window bounds the retries to each service in a sliding window to a share of its requests, plus this VM's
// part of a slack that all VMs share. It is safe for concurrent use.
type Window struct {
	// Length is the length of the window.
	Length time.Duration
	// Ratio is the share of retries.
	Ratio float64

	mu sync.Mutex
	// slack is the number of retries above the share that this VM may send.
	slack    float64
	services map[string]*counts
}

// counts are the requests and retries of one service in the parts of its window.
type counts struct {
	part     int64
	requests [windowSlots]int
	retries  [windowSlots]int
}

// NewWindow returns an empty window.
func NewWindow(length time.Duration, ratio, slack float64) *Window {
	return &Window{Length: length, Ratio: ratio, slack: slack, services: map[string]*counts{}}
}

// SetSlack sets the number of retries above the share that this VM may send.
func (w *Window) SetSlack(slack float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slack = slack
}

// Request counts a request of a caller.
func (w *Window) Request(now time.Time, service string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.at(now, service)
	c.requests[c.part%windowSlots]++
}

// Retry counts a retry and reports true, or reports false if the bound is reached.
func (w *Window) Retry(now time.Time, service string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.at(now, service)
	if !w.room(c) {
		return false
	}
	c.retries[c.part%windowSlots]++
	return true
}

// Room reports whether Retry would allow a retry now.
func (w *Window) Room(now time.Time, service string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.room(w.at(now, service))
}

func (w *Window) room(c *counts) bool {
	requests, retries := 0, 0
	for i := range windowSlots {
		requests += c.requests[i]
		retries += c.retries[i]
	}
	return float64(retries+1) <= w.Ratio*float64(requests)+w.slack
}

// at returns the counts of a service with the parts that have passed set to zero.
func (w *Window) at(now time.Time, service string) *counts {
	part := now.UnixNano() / int64(w.Length/windowSlots)
	c := w.services[service]
	if c == nil {
		c = &counts{part: part}
		w.services[service] = c
	}
	for ; c.part < part; c.part++ {
		if part-c.part > windowSlots {
			c.part = part - windowSlots
		}
		next := (c.part + 1) % windowSlots
		c.requests[next], c.retries[next] = 0, 0
	}
	return c
}
