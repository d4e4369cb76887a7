package gateway

import (
	"sync"
	"time"

	"parsleyhatch/config"
	"parsleyhatch/event"
	"parsleyhatch/poison"
)

const (
	// outageWindow is the time in which several crashed upstreams count as one outage.
	outageWindow = 2 * time.Second
	// outageCrashes is the least number of crashed upstreams of an outage. One request that crashes
	// upstreams is quarantined at its second crash, so it does not reach this number.
	outageCrashes = 3
	// outageTime is how long requests may fail over to other regions after an outage.
	outageTime = 5 * time.Second
)

// crashEvent is one crashed upstream.
type crashEvent struct {
	at       time.Time
	upstream *config.Upstream
	running  []poison.Fingerprint
}

// outageTable tells the loss of a failure domain from requests that crash upstreams.
type outageTable struct {
	mu     sync.Mutex
	recent []crashEvent
	until  time.Time
}

// crashed records a crash. If it is part of an outage it returns all requests that ran at the lost
// upstreams: none of them is to blame. peers is the number of upstreams in a failure domain.
func (t *outageTable) crashed(now time.Time, e crashEvent, peers func(failureDomain string) int) (innocent []poison.Fingerprint, outage bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	kept := t.recent[:0]
	for _, old := range t.recent {
		if now.Sub(old.at) < outageWindow {
			kept = append(kept, old)
		}
	}
	t.recent = append(kept, e)
	lost, distinct := map[string]map[string]bool{}, map[string]bool{}
	for _, c := range t.recent {
		domain := c.upstream.FailureDomain
		if lost[domain] == nil {
			lost[domain] = map[string]bool{}
		}
		lost[domain][c.upstream.Name] = true
		distinct[c.upstream.Name] = true
	}
	domain := e.upstream.FailureDomain
	if len(distinct) < outageCrashes || 2*len(lost[domain]) < peers(domain) {
		return nil, false
	}
	t.until = now.Add(outageTime)
	for _, c := range t.recent {
		innocent = append(innocent, c.running...)
	}
	return innocent, true
}

// active reports whether an outage was found a short time ago.
func (t *outageTable) active(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Before(t.until)
}

// excuseOutage checks whether a crash is part of an outage, and clears the requests if so.
func (g *Gateway) excuseOutage(now time.Time, u *config.Upstream, running []poison.Fingerprint) bool {
	known := g.outages.active(now)
	innocent, outage := g.outages.crashed(now, crashEvent{at: now, upstream: u, running: running}, g.enginesIn)
	if !outage {
		return false
	}
	if !known {
		event.UpstreamOutage.Log(g.Log, "failureDomain", u.FailureDomain, "requests", len(innocent))
	}
	for _, f := range innocent {
		g.cleared(f)
	}
	return true
}

// enginesIn counts the engines of a failure domain of the own region.
func (g *Gateway) enginesIn(failureDomain string) int {
	n := 0
	s := g.Snapshot()
	for i := range s.File.Upstreams {
		u := &s.File.Upstreams[i]
		if u.Kind == config.KindModel && u.Region == g.Self.Region && u.FailureDomain == failureDomain {
			n++
		}
	}
	return n
}
