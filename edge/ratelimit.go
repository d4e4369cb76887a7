package edge

import (
	"net/http"

	"parsleyhatch/event"
	"parsleyhatch/platform"
	"parsleyhatch/replica"
	"parsleyhatch/upstream"
)

// recordRateLimit records the rate limit that an upstream announces in an answer, or that it announces none. A misdirected
// request was answered by another upstream at the address.
func (e *Edge) recordRateLimit(pick *replica.Pick, a *upstream.Response) {
	if a.Status == http.StatusMisdirectedRequest {
		return
	}
	perSecond, limited, err := platform.ParseRateLimit(a.Header)
	if err != nil {
		event.UpstreamLimitInvalid.Log(e.Log, "upstream", pick.ID, "error", err.Error())
		return
	}
	l := replica.RateLimit{Upstream: pick.ID, Born: pick.Born, Limited: limited, PerSecond: perSecond, AnnouncedAt: e.Now()}
	if e.Replicas.RecordRateLimit(l) {
		e.logRateLimit(l, e.Settings.Name)
	}
}

// logRateLimit logs a change of the rate limit of an upstream, which answered the VM named.
func (e *Edge) logRateLimit(l replica.RateLimit, answered string) {
	if !l.Limited {
		event.UpstreamLimitEnded.Log(e.Log, "upstream", l.Upstream, "answered", answered)
		return
	}
	event.UpstreamLimited.Log(e.Log, "upstream", l.Upstream, "perSecond", l.PerSecond, "answered", answered)
}
