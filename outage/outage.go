// Package outage distinguishes the loss of a failure domain from requests that crash upstreams.
package outage

import (
	"slices"
	"sync"
	"time"

	"parsleyhatch/poison"
)

const (
	// outageWindow is the time within which several crashed upstreams count as one outage.
	outageWindow = 2 * time.Second
	// minCrashes is the smallest number of unrelated crashes in an outage. Crashes are related if a request ran at
	// all of these upstreams, since the request may have caused them.
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

// RecordCrash records a crash. If the crash is part of an outage, it returns the requests that ran at exactly one of
// the lost upstreams, since the outage explains their crash. A request that ran at several of them may have caused the
// crashes. domainSize returns the number of upstreams in a failure domain.
func (t *Table) RecordCrash(now time.Time, crash Crash, domainSize func(failureDomain string) int) (notAtFault []poison.Fingerprint, outage bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropOld(now)
	crash.Running = slices.Clone(crash.Running)
	t.recent = append(t.recent, crash)
	upstreams := upstreamsByRequest(t.recent)
	if unrelatedCrashes(t.recent, upstreams) < minCrashes || 2*t.lostIn(crash.FailureDomain) < domainSize(crash.FailureDomain) {
		return nil, false
	}
	t.activeUntil = now.Add(failoverDuration)
	for f, lost := range upstreams {
		if len(lost) == 1 {
			notAtFault = append(notAtFault, f)
		}
	}
	return notAtFault, true
}

// dropOld removes the crashes before outageWindow.
func (t *Table) dropOld(now time.Time) {
	t.recent = slices.DeleteFunc(t.recent, func(c Crash) bool { return now.Sub(c.At) >= outageWindow })
}

// lostIn returns the number of upstreams of a failure domain that crashed recently.
func (t *Table) lostIn(failureDomain string) int {
	lost := map[string]bool{}
	for _, c := range t.recent {
		if c.FailureDomain == failureDomain {
			lost[c.Upstream] = true
		}
	}
	return len(lost)
}

// upstreamsByRequest returns the crashed upstreams at which each request ran.
func upstreamsByRequest(crashes []Crash) map[poison.Fingerprint]map[string]bool {
	upstreams := map[poison.Fingerprint]map[string]bool{}
	for _, c := range crashes {
		for _, f := range c.Running {
			if upstreams[f] == nil {
				upstreams[f] = map[string]bool{}
			}
			upstreams[f][c.Upstream] = true
		}
	}
	return upstreams
}

// unrelatedCrashes counts the crashed upstreams, where all upstreams at which one request ran count once. It takes the
// request with the most upstreams first.
func unrelatedCrashes(crashes []Crash, upstreams map[poison.Fingerprint]map[string]bool) int {
	remaining := map[string]bool{}
	for _, c := range crashes {
		remaining[c.Upstream] = true
	}
	count := 0
	for len(remaining) > 0 {
		related := largestGroup(remaining, upstreams)
		if len(related) < 2 {
			return count + len(remaining)
		}
		for _, name := range related {
			delete(remaining, name)
		}
		count++
	}
	return count
}

// largestGroup returns the largest set of the remaining upstreams at which one request ran.
func largestGroup(remaining map[string]bool, upstreams map[poison.Fingerprint]map[string]bool) []string {
	var largest []string
	for _, names := range upstreams {
		var group []string
		for name := range names {
			if remaining[name] {
				group = append(group, name)
			}
		}
		if len(group) > len(largest) {
			largest = group
		}
	}
	return largest
}

// Active reports whether an outage was detected within the last failoverDuration.
func (t *Table) Active(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Before(t.activeUntil)
}
