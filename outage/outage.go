// Package outage tells the loss of a failure domain from requests that crash upstreams.
package outage

import (
	"sync"
	"time"

	"parsleyhatch/poison"
)

const (
	// window is the time in which several crashed upstreams count as one outage.
	window = 2 * time.Second
	// minCrashes is the least number of crashed upstreams of an outage. One request that crashes
	// upstreams is quarantined at its second crash, so it does not reach this number.
	minCrashes = 3
	// failoverTime is how long requests may fail over to other regions after an outage.
	failoverTime = 5 * time.Second
)

// Crash is one crashed upstream with the requests that ran there.
type Crash struct {
	At            time.Time
	Upstream      string
	FailureDomain string
	Running       []poison.Fingerprint
}

// Table holds the latest crashes. It is safe for concurrent use; the zero value is ready.
type Table struct {
	mu     sync.Mutex
	recent []Crash
	until  time.Time
}

// Crashed records a crash. If it is part of an outage it returns all requests that ran at the lost
// upstreams: none of them is to blame. peers is the number of upstreams in a failure domain.
func (t *Table) Crashed(now time.Time, e Crash, peers func(failureDomain string) int) (innocent []poison.Fingerprint, outage bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	kept := t.recent[:0]
	for _, old := range t.recent {
		if now.Sub(old.At) < window {
			kept = append(kept, old)
		}
	}
	t.recent = append(kept, e)
	lost, distinct := map[string]map[string]bool{}, map[string]bool{}
	for _, c := range t.recent {
		domain := c.FailureDomain
		if lost[domain] == nil {
			lost[domain] = map[string]bool{}
		}
		lost[domain][c.Upstream] = true
		distinct[c.Upstream] = true
	}
	domain := e.FailureDomain
	if len(distinct) < minCrashes || 2*len(lost[domain]) < peers(domain) {
		return nil, false
	}
	t.until = now.Add(failoverTime)
	for _, c := range t.recent {
		innocent = append(innocent, c.Running...)
	}
	return innocent, true
}

// Active reports whether an outage was found a short time ago.
func (t *Table) Active(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Before(t.until)
}
