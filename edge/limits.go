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

// recordSignals records what a lifetime of an upstream says of itself in an answer. A misdirected request was answered by another
// upstream at the address.
func (e *Edge) recordSignals(id string, born int64, a *upstream.Response) {
	if a.Status == http.StatusMisdirectedRequest {
		return
	}
	e.recordLimits(id, born, a)
	e.recordLoad(id, a)
	if a.Status == http.StatusServiceUnavailable {
		e.recordRetryAfter(id, born, a)
	}
}

// recordRetryAfter records for how long an upstream that has refused a request wants nothing from this VM.
func (e *Edge) recordRetryAfter(id string, born int64, a *upstream.Response) {
	wanted := platform.ParseRetryAfter(a.Header)
	if wanted <= 0 {
		return
	}
	now := e.Now()
	if until, news := e.Replicas.HoldBack(now, id, born, wanted); news {
		event.UpstreamHeldBack.Log(e.Log, "upstream", id, "born", born, "signal", platform.HeaderRetryAfter,
			"wantedMillis", wanted.Milliseconds(), "until", time.Now().Add(until.Sub(now)))
	}
}

// recordLimits records the limits that an upstream announces in an answer, or that it announces none.
func (e *Edge) recordLimits(id string, born int64, a *upstream.Response) {
	announced, err := platform.ParseLimits(a.Header)
	if err != nil {
		event.UpstreamLimitInvalid.Log(e.Log, "upstream", id, "error", err.Error())
		if !announced.Leaving {
			return
		}
	}
	l := replica.Limits{
		Upstream: id, Born: born, AnnouncedAt: e.Now(),
		Limited: announced.RateLimited, PerSecond: announced.PerSecond, Brittle: announced.Brittle, MaxRefusals: announced.MaxRefusals, Leaving: announced.Leaving,
	}
	changed, report := e.Replicas.RecordLimits(l)
	if changed {
		e.logLimits(l, e.Settings.Name)
	}
	if report {
		e.Fleet.BroadcastLimits(limitsMessage(e.Now(), l))
	}
}

// limitsMessage returns the message on limits of upstreams for other VMs.
func limitsMessage(now time.Time, limits ...replica.Limits) *vmwire.UpstreamLimits {
	m := &vmwire.UpstreamLimits{}
	for _, l := range limits {
		m.Limits = append(m.Limits, vmwire.UpstreamLimit{
			Upstream: l.Upstream, Born: l.Born, Limited: l.Limited, PerSecond: l.PerSecond,
			Brittle: l.Brittle, MaxRefusals: l.MaxRefusals, Leaving: l.Leaving, Age: vmwire.AgeOf(now, l.AnnouncedAt),
		})
	}
	return m
}

// sendLimits sends the known limits to a VM of this region with which a session has opened.
func (e *Edge) sendLimits(s *vm.Session) {
	limits := e.Replicas.KnownLimits()
	if len(limits) > 0 && s.Peer.Region == e.Settings.Region {
		s.SendControl(vmwire.KindUpstreamLimits, limitsMessage(e.Now(), limits...))
	}
}

// receiveLimits records the limits that another VM of the region has learned. Ages are not negative, so that no VM can
// announce a limit for the future.
func (e *Edge) receiveLimits(now time.Time, from vm.Identity, m *vmwire.UpstreamLimits) {
	for _, u := range m.Limits {
		if !isLimit(u.PerSecond) || !isLimit(u.MaxRefusals) {
			continue
		}
		l := replica.Limits{
			Upstream: u.Upstream, Born: u.Born, AnnouncedAt: now.Add(-u.Age.Duration()),
			Limited: u.Limited, PerSecond: u.PerSecond, Brittle: u.Brittle, MaxRefusals: u.MaxRefusals, Leaving: u.Leaving,
		}
		if e.Replicas.MergeLimits(now, l) {
			e.logLimits(l, from.Slot)
		}
	}
}

// isLimit reports whether a number of a message is a valid limit.
func isLimit(n float64) bool { return n >= 0 && n <= math.MaxFloat64 }

// logLimits logs a change of the limits of an upstream, which answered the VM named.
func (e *Edge) logLimits(l replica.Limits, answered string) {
	if l.Limited {
		event.UpstreamLimited.Log(e.Log, "upstream", l.Upstream, "born", l.Born, "signal", platform.HeaderRateLimit, "perSecond", l.PerSecond, "answered", answered)
	}
	if l.Brittle {
		event.UpstreamBrittle.Log(e.Log, "upstream", l.Upstream, "born", l.Born, "signal", platform.HeaderBrittle, "maxRefusals", l.MaxRefusals, "answered", answered)
	}
	if l.Leaving {
		event.UpstreamLeaving.Log(e.Log, "upstream", l.Upstream, "born", l.Born, "signal", platform.HeaderLeaving, "answered", answered)
	}
	if !l.Limited && !l.Brittle && !l.Leaving {
		event.UpstreamLimitEnded.Log(e.Log, "upstream", l.Upstream, "born", l.Born, "answered", answered)
	}
}
