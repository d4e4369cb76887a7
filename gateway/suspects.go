package gateway

import (
	"context"
	"time"

	"parsleyhatch/audit"
	"parsleyhatch/choose"
	"parsleyhatch/config"
	"parsleyhatch/poison"
	"parsleyhatch/vmwire"
)

const (
	// suspectExchangeTime is the time after a crash before the requests of the upstream run at another one. Meanwhile
	// the VMs of the region learn which requests are suspects, so that none crashes an upstream after the other.
	suspectExchangeTime = 150 * time.Millisecond
	// probeTimeout bounds the check whether an upstream crashed or only one stream broke.
	probeTimeout = 500 * time.Millisecond
)

// awaitSuspects waits until suspectExchangeTime has passed since the last crash of an upstream.
func (g *Gateway) awaitSuspects(ctx context.Context, upstreamName string) {
	if crashedAt := g.running.CrashedAt(upstreamName); !crashedAt.IsZero() {
		sleep(ctx, crashedAt.Add(suspectExchangeTime).Sub(g.Now()))
	}
}

// handleBrokenStream handles a broken stream: if the upstream crashed, all requests that ran there
// become suspects. The caller's own request is still counted as running.
func (g *Gateway) handleBrokenStream(u *config.Upstream) {
	if !g.hasCrashed(u) {
		return
	}
	now := g.Now()
	running, first := g.running.RecordCrash(now, u.Name)
	if !first {
		return
	}
	running = g.retractIfOutage(now, u, running)
	for _, v := range g.quarantine.RecordCrash(now, u.Name, running) {
		if v.State == poison.Quarantined {
			g.Audit.Add(now, audit.Entry{Kind: audit.UpstreamQuarantined, Subject: "upstream/" + u.Name, Detail: "a request crashed several upstreams"})
		}
		g.broadcastVerdict(now, v.Fingerprint)
	}
}

// hasCrashed reports whether an upstream with a broken stream is down or has restarted.
func (g *Gateway) hasCrashed(u *config.Upstream) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	load, err := g.Upstreams.Load(ctx, u.Address)
	if err != nil {
		return true
	}
	boot := g.running.BootID(u.Name)
	return boot != "" && boot != load.BootID
}

// clearSuspect records that a request completed without a crash, and tells the region if it was a
// suspect.
func (g *Gateway) clearSuspect(f poison.Fingerprint) {
	now := g.Now()
	if g.quarantine.RecordCompletion(now, f) {
		g.broadcastVerdict(now, f)
	}
}

// broadcastVerdict sends the crash records of a request to the VMs of the region.
func (g *Gateway) broadcastVerdict(now time.Time, f poison.Fingerprint) {
	for _, m := range g.quarantine.Messages(now, f) {
		for _, s := range g.sessions.all() {
			if s.Peer.Region == g.Self.Region {
				s.SendControl(vmwire.KindSuspectRequest, &m)
			}
		}
	}
}

// onSuspect merges the crash records of another VM of the region.
func (g *Gateway) onSuspect(m controlMessage) {
	var w vmwire.SuspectRequest
	if m.from.Peer.Region != g.Self.Region || !g.decode(m, &w) {
		return
	}
	g.quarantine.Merge(g.Now(), w)
}

// refuseQuarantined refuses a request that is quarantined.
func (g *Gateway) refuseQuarantined(r *Request) (Outcome, bool) {
	if g.quarantine.State(g.Now(), r.fingerprint) != poison.Quarantined {
		return Outcome{}, false
	}
	return Outcome{Code: Poisoned, Message: "the request crashed several upstreams and is not run again", Ran: r.ranBefore()}, true
}

// ranBefore tells whether an upstream has already received the request from this VM.
func (r *Request) ranBefore() Ran {
	if r.reachedUpstream {
		return DidRun
	}
	return NotRun
}

// suspectFilter restricts a suspect to the upstreams that this VM watches, so that no two VMs place
// suspects at one upstream. It is nil for other requests.
func (g *Gateway) suspectFilter(r *Request) func(*choose.Upstream) bool {
	if g.quarantine.State(g.Now(), r.fingerprint) != poison.Suspect {
		return nil
	}
	return func(u *choose.Upstream) bool { return g.isWatching(u.Name) }
}

// suspectPlacer returns the VM of the region that must place the request, because it is a suspect
// and this VM watches no upstream of its route. It is empty if this VM may place the request.
func (g *Gateway) suspectPlacer(r *Request) string {
	watchers := g.watchers.Load()
	if watchers == nil || g.quarantine.State(g.Now(), r.fingerprint) != poison.Suspect {
		return ""
	}
	placer := ""
	for _, u := range r.Snapshot.RouteUpstreams[r.Route.Name] {
		if g.isWatching(u.Name) {
			return ""
		}
		if w := (*watchers)[u.Name]; w != "" {
			placer = w
		}
	}
	return placer
}

// passSuspect forwards a suspect to the VM of the region that may place it.
func (g *Gateway) passSuspect(ctx context.Context, r *Request, p *progress) Outcome {
	out := refuseUntil(Overloaded, "the request crashed an upstream and can only run at vm "+r.placerSlot, g.retries.RetryAfter(shortRetryAfter))
	if !r.Forwarded {
		if s := g.sessionWith(ctx, r.placerSlot); s != nil {
			out = g.forwardOver(ctx, r, s, p)
		}
	}
	if out.Ran == NotRun {
		out.Ran = r.ranBefore()
	}
	return out
}
