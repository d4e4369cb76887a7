package gateway

import (
	"time"

	"parsleyhatch/config"
	"parsleyhatch/event"
	"parsleyhatch/outage"
	"parsleyhatch/poison"
)

// clearIfOutage reports whether a crash is part of an outage. If it is, the requests that ran at the
// upstreams are no longer suspects.
func (g *Gateway) clearIfOutage(now time.Time, u *config.Upstream, running []poison.Fingerprint) bool {
	alreadyActive := g.outages.Active(now)
	clearedRequests, found := g.outages.RecordCrash(now, outage.Crash{At: now, Upstream: u.Name, FailureDomain: u.FailureDomain, Running: running}, g.enginesIn)
	if !found {
		return false
	}
	if !alreadyActive {
		event.UpstreamOutage.Log(g.Log, "failureDomain", u.FailureDomain, "requests", len(clearedRequests))
	}
	for _, f := range clearedRequests {
		g.clearSuspect(f)
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
