// Package outage distinguishes the loss of a failure domain from requests that crash upstreams.
package outage

import (
	"sync"
	"time"

	"parsleyhatch/poison"
)

const (
	// outageWindow is the time within which several crashed upstreams count as one outage.
	outageWindow = 2 * time.Second
	// minCrashes is the smallest number of crashed upstreams in an outage. A request that crashes upstreams
	// is quarantined at its second crash, so it does not reach this number.
	minCrashes = 3
	// failoverDuration is the time for which requests may fail over to other regions after an outage.
	failoverDuration = 5 * time.Second
)

// Crash is one crashed upstream with the requests that ran there.
type Crash struct {
	At            time.Time
	Upstream      string
	FailureDomain string
	Running       []poison.Fingerprint
}

// Table holds recent crashes. It is safe for concurrent use; the zero value is ready to use.
type Table struct {
	mu          sync.Mutex
	recent      []Crash
	activeUntil time.Time
}

// RecordCrash records a crash. If the crash is part of an outage, it returns all requests that ran at the lost
// upstreams, since none of them caused the crash. domainSize returns the number of upstreams in a failure
// domain.
func (t *Table) RecordCrash(now time.Time, crash Crash, domainSize func(failureDomain string) int) (notAtFault []poison.Fingerprint, outage bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	kept := t.recent[:0]
	for _, old := range t.recent {
		if now.Sub(old.At) < outageWindow {
			kept = append(kept, old)
		}
	}
	t.recent = append(kept, crash)
	lostByDomain, distinct := map[string]map[string]bool{}, map[string]bool{}
	for _, c := range t.recent {
		domain := c.FailureDomain
		if lostByDomain[domain] == nil {
			lostByDomain[domain] = map[string]bool{}
		}
		lostByDomain[domain][c.Upstream] = true
		distinct[c.Upstream] = true
	}
	domain := crash.FailureDomain
	if len(distinct) < minCrashes || 2*len(lostByDomain[domain]) < domainSize(domain) {
		return nil, false
	}
	t.activeUntil = now.Add(failoverDuration)
	for _, c := range t.recent {
		notAtFault = append(notAtFault, c.Running...)
	}
	return notAtFault, true
}

// Active reports whether an outage was detected within the last failoverDuration.
func (t *Table) Active(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Before(t.activeUntil)
}
