package edge

import (
	"math"
	"net/http"
	"time"

	"parsleyhatch/event"
	"parsleyhatch/platform"
	"parsleyhatch/replica"
	"parsleyhatch/upstream"
	"parsleyhatch/vm"
	"parsleyhatch/vmwire"
)

// maxLimitAge bounds the age of an announcement in messages between VMs.
const maxLimitAge = 24 * time.Hour

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
	changed, report := e.Replicas.RecordRateLimit(l)
	if changed {
		e.logRateLimit(l, e.Settings.Name)
	}
	if report {
		e.Fleet.BroadcastLimits(limitsMessage(e.Now(), l))
	}
}

// limitsMessage returns the message on rate limits of upstreams for other VMs.
func limitsMessage(now time.Time, limits ...replica.RateLimit) *vmwire.UpstreamLimits {
	m := &vmwire.UpstreamLimits{}
	for _, l := range limits {
		m.Limits = append(m.Limits, vmwire.UpstreamLimit{
			Upstream: l.Upstream, Born: l.Born, Limited: l.Limited, PerSecond: l.PerSecond,
			AgeMillis: now.Sub(l.AnnouncedAt).Milliseconds(),
		})
	}
	return m
}

// sendRateLimits sends the known rate limits to a VM of this region with which a session has opened.
func (e *Edge) sendRateLimits(s *vm.Session) {
	limits := e.Replicas.RateLimits()
	if len(limits) > 0 && s.Peer.Region == e.Settings.Region {
		s.SendControl(vmwire.KindUpstreamLimits, limitsMessage(e.Now(), limits...))
	}
}

// receiveRateLimits records the rate limits that another VM of the region has learned. Ages are not negative, so that no VM can
// announce a limit for the future.
func (e *Edge) receiveRateLimits(now time.Time, from vm.Identity, m *vmwire.UpstreamLimits) {
	for _, u := range m.Limits {
		if !(u.PerSecond >= 0 && u.PerSecond <= math.MaxFloat64) {
			continue
		}
		age := time.Duration(max(0, min(u.AgeMillis, maxLimitAge.Milliseconds()))) * time.Millisecond
		l := replica.RateLimit{Upstream: u.Upstream, Born: u.Born, Limited: u.Limited, PerSecond: u.PerSecond, AnnouncedAt: now.Add(-age)}
		if e.Replicas.MergeRateLimit(now, l) {
			e.logRateLimit(l, from.Slot)
		}
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
