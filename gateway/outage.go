package gateway

import (
	"slices"
	"time"

	"parsleyhatch/config"
	"parsleyhatch/event"
	"parsleyhatch/outage"
	"parsleyhatch/poison"
)

// retractIfOutage checks whether a crash is part of an outage. If it is, it retracts the crashes of the requests that the
// outage explains, and returns the running requests that it does not explain.
func (g *Gateway) retractIfOutage(now time.Time, u *config.Upstream, running []poison.Fingerprint) []poison.Fingerprint {
	alreadyActive := g.outages.Active(now)
	notAtFault, found := g.outages.RecordCrash(now, outage.Crash{At: now, Upstream: u.Name, FailureDomain: u.FailureDomain, Running: running}, g.enginesIn)
	if !found {
		return running
	}
	if !alreadyActive {
		event.UpstreamOutage.Log(g.Log, "failureDomain", u.FailureDomain, "requests", len(notAtFault))
	}
	for _, f := range notAtFault {
		g.quarantine.RetractCrash(f)
	}
	return slices.DeleteFunc(running, func(f poison.Fingerprint) bool { return slices.Contains(notAtFault, f) })
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
