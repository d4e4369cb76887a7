package gateway

import (
	"time"

	"parsleyhatch/config"
	"parsleyhatch/event"
	"parsleyhatch/outage"
	"parsleyhatch/poison"
)

// excuseOutage checks whether a crash is part of an outage, and clears the requests if so.
func (g *Gateway) excuseOutage(now time.Time, u *config.Upstream, running []poison.Fingerprint) bool {
	known := g.outages.Active(now)
	innocent, found := g.outages.RecordCrash(now, outage.Crash{At: now, Upstream: u.Name, FailureDomain: u.FailureDomain, Running: running}, g.enginesIn)
	if !found {
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
