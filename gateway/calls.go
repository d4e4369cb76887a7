package gateway

import (
	"context"
	"crypto/sha256"
	"errors"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"parsleyhatch/choose"
	"parsleyhatch/config"
	"parsleyhatch/event"
	"parsleyhatch/once"
	"parsleyhatch/upstream"
	"parsleyhatch/vm"
	"parsleyhatch/vmwire"
)

const (
	// answerWait is how long a call that may not be repeated waits for its answer once it was sent.
	answerWait = 60 * time.Second
	// handoverFlush is the time for the queued frames of a handover to leave before the sessions are
	// closed, since frames are not acknowledged.
	handoverFlush = 500 * time.Millisecond
	// takeWindow is the time after the start in which the predecessor's records are asked for.
	takeWindow = 30 * time.Second
)

// callKey returns the key of the record of a call.
func (r *Request) callKey() once.Key {
	return once.Key{Workspace: r.Workspace.Name, Route: r.Route.Name, Key: r.IdempotencyKey}
}

// serveCall runs a call that may not be repeated, at its owner.
func (g *Gateway) serveCall(ctx context.Context, r *Request, p *progress) Outcome {
	owner, out := g.callOwner(r)
	if out.Code != OK {
		return out
	}
	r.note(g.Now(), "owner "+owner, "of the idempotency key")
	if owner == g.Self.Slot {
		return g.runCall(ctx, r, p)
	}
	return g.forwardCall(ctx, r, owner, p)
}

// forwardCall passes a call to its owner.
func (g *Gateway) forwardCall(ctx context.Context, r *Request, owner string, p *progress) Outcome {
	if g.leaving.Load() {
		return withoutRecord(r.Route, refuseLeaving())
	}
	m := r.Snapshot.VMs[owner]
	if m == nil {
		return Outcome{Code: OwnerGone, Message: "vm " + owner + ", which owns the key, is no longer in the roster; the call will not be run", Ran: Unknown}
	}
	if !slices.Contains(r.Snapshot.AllowedRegions(r.Route, r.Workspace), m.Region) {
		return withoutRecord(r.Route, refuse(WrongRegion, "vm "+owner+", which owns the key, is in a region that may not run the call"))
	}
	s := g.sessionWith(ctx, owner)
	if s == nil {
		return Outcome{Code: OwnerUnreachable, Message: "vm " + owner + ", which owns the key, is unreachable", Ran: Unknown, RetryAfter: g.retries.RetryAfter(retrySoon)}
	}
	return g.forwardTo(ctx, r, s, p)
}

// withoutRecord corrects a refusal that was made without the record of the call. An earlier request
// with the key may have run the call, and a caller that trusts notRun would use another key.
func withoutRecord(route *config.Route, out Outcome) Outcome {
	if !route.Idempotent && out.Ran == NotRun {
		out.Ran = Unknown
	}
	return out
}

// callOwner returns the slot that may run the call. The owner itself checks the incarnation.
func (g *Gateway) callOwner(r *Request) (string, Outcome) {
	if once.IsTicket(r.IdempotencyKey) {
		t, err := g.signer.Parse(r.IdempotencyKey, r.Workspace.Name)
		if err != nil {
			return "", refuse(InvalidRequest, "the ticket was not issued for this workspace")
		}
		return t.Slot, Outcome{}
	}
	region := callRegion(r.Snapshot, r.Route, r.Workspace)
	owner := once.Owner(regionSlots(r.Snapshot, region), r.callKey())
	if owner == "" {
		return "", withoutRecord(r.Route, refuseUntil(NoUpstream, "no vm is configured in region "+region, retrySoon))
	}
	return owner, Outcome{}
}

// callRegion returns the region whose VMs own a workspace's opaque keys on a route.
func callRegion(s *config.Snapshot, r *config.Route, w *config.Workspace) string {
	allowed := s.AllowedRegions(r, w)
	if slices.Contains(allowed, w.Home) {
		return w.Home
	}
	if len(allowed) == 0 {
		return ""
	}
	return slices.Min(allowed)
}

// regionSlots lists the configured slots of a region.
func regionSlots(s *config.Snapshot, region string) []string {
	var slots []string
	for i := range s.File.VMs {
		if s.File.VMs[i].Region == region {
			slots = append(slots, s.File.VMs[i].Name)
		}
	}
	return slots
}

// runCall runs a call of which this VM is the owner, or returns its recorded answer.
func (g *Gateway) runCall(ctx context.Context, r *Request, p *progress) Outcome {
	// The run outlives this request, so it has a copy of its own.
	run := *r
	run.trace.Steps = nil
	run.released = &atomic.Pointer[Outcome]{}
	for {
		outcome, record := g.calls.Begin(g.Now(), r.callKey(), sha256.Sum256(r.Body))
		switch outcome {
		case once.Run:
			if g.leaving.Load() {
				g.calls.Abandon(g.Now(), record)
				return refuseLeaving()
			}
			record.Deadline = r.Deadline
			go g.runRecord(context.WithoutCancel(ctx), &run, record)
		case once.Wait, once.Replay:
		default:
			return refuseCall(outcome)
		}
		select {
		case <-record.Done():
		case <-ctx.Done():
			if outcome == once.Run && g.calls.Withdraw(g.Now(), record) {
				return cancelled(ctx, NotRun)
			}
			return cancelled(ctx, Unknown)
		}
		state, answer := g.calls.Result(record)
		if state == once.Released && outcome != once.Run {
			continue // The other request's call was not sent; this one may run.
		}
		out := g.answerCall(ctx, state, answer, p)
		out.Replayed = outcome != once.Run
		if state == once.Released {
			out = g.whyReleased(&run)
		}
		return out
	}
}

// whyReleased is the outcome of a call of which no byte was sent.
func (g *Gateway) whyReleased(run *Request) Outcome {
	if out := run.released.Load(); out != nil {
		return *out
	}
	if g.leaving.Load() {
		return refuseLeaving()
	}
	return refuseUntil(DeadlineExceeded, "the call was not sent within the deadline", retrySoon)
}

// answerCall passes the recorded answer on.
func (g *Gateway) answerCall(ctx context.Context, state once.State, a once.Answer, p *progress) Outcome {
	switch state {
	case once.Answered:
		if !p.passWhole(ctx, a.Status, a.Header, a.Body) {
			return Outcome{Code: CallerGone, Message: "the caller closed the connection", Ran: DidRun}
		}
		return Outcome{Ran: DidRun, Upstream: a.Header[HeaderServedBy]}
	case once.AnswerDropped:
		return Outcome{Code: AnswerNotKept, Message: "the call ran, but its answer is no longer known", Ran: DidRun}
	default:
		return Outcome{Code: UpstreamFailed, Message: "the outcome of the call is unknown; it will not be run again", Ran: Unknown}
	}
}

// refuseCall maps an outcome of the table.
func refuseCall(o once.Outcome) Outcome {
	out := Outcome{Ran: Ran(o.Ran())}
	switch o {
	case once.KeyReused:
		out.Code, out.Message = KeyReused, "the idempotency key was used with another body"
	case once.OwnerGone, once.WrongOwner:
		out.Code, out.Message = OwnerGone, "the vm that issued the ticket is gone; the call will not be run"
	case once.PredecessorUnknown, once.NoLease, once.KeyMoved:
		out.Code, out.RetryAfter = Horizon, time.Minute
		out.Message = "this vm cannot know yet whether the key was used; use a ticket, or come back"
	case once.TicketExpired:
		out.Code, out.Message = TicketExpired, "the ticket has expired"
	case once.TableFull:
		out.Code, out.Message, out.RetryAfter = TableFull, "too many recorded calls", retrySoon
	case once.Sealed:
		out.Code, out.Message, out.RetryAfter = Leaving, "this vm is leaving", retrySoon
	default:
		out.Code, out.Message = InvalidRequest, "the idempotency key is not valid"
	}
	return out
}

// runRecord sends a claimed call. It goes on when the caller is gone, since the answer is recorded.
func (g *Gateway) runRecord(ctx context.Context, r *Request, record *once.Record) {
	var exclude []*choose.Upstream
	for range maxUpstreamAttempts {
		granted, out := g.acquire(ctx, r, r.choice(exclude))
		if out.Code != OK {
			r.released.Store(&out)
			break
		}
		exclude = append(exclude, granted.pick.Upstream)
		ended := g.sendRecord(ctx, r, &granted, record)
		g.release(r, &granted)
		if ended {
			return
		}
		out = refuseUntil(NoUpstream, "no service accepted a connection", g.retries.RetryAfter(retrySoon))
		r.released.Store(&out)
	}
	g.calls.Abandon(g.Now(), record)
}

// sendRecord makes one attempt. It reports whether the record has ended; if not, no byte was sent.
func (g *Gateway) sendRecord(ctx context.Context, r *Request, granted *grantedUpstream, record *once.Record) bool {
	u := g.upstreamOf(r, granted.pick.Upstream.Name)
	if u == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, answerWait)
	defer cancel()
	answer, fail := g.Upstreams.CallOnce(ctx, u.Address, r.serviceCall(), func() bool {
		return g.calls.MarkSending(g.Now(), record)
	})
	switch {
	case fail == nil:
		granted.pick.Upstream.RecordSuccess(g.Now())
		g.finishCall(u, record, answer)
		return true
	case errors.Is(fail, upstream.ErrSendNotConfirmed):
		// Sending has released the record, unless the time ran out before Sending was asked.
		g.calls.Withdraw(g.Now(), record)
		return true
	}
	event.UpstreamDown.Log(g.Log, "upstream", u.Name, "error", fail.Error())
	granted.pick.Upstream.RecordFailure(g.Now())
	if fail.Kind == upstream.NotSent {
		return false
	}
	g.calls.FinishUnknown(g.Now(), record)
	return true
}

func (g *Gateway) finishCall(u *config.Upstream, record *once.Record, answer upstream.ServiceResponse) {
	g.calls.Finish(g.Now(), record, once.Answer{
		Status: int32(answer.Status),
		Header: map[string]string{"Content-Type": answer.ContentType, HeaderServedRegion: g.Self.Region, HeaderServedBy: u.Name},
		Body:   answer.Body,
	})
}

func (r *Request) serviceCall() upstream.ServiceRequest {
	return upstream.ServiceRequest{
		RequestID: r.ID, Method: r.Method, Path: r.Path, Header: r.Header,
		IdempotencyKey: r.IdempotencyKey, Body: r.Body,
	}
}

// placement identifies the assignment of calls to regions.
func placement(s *config.Snapshot) string {
	var b strings.Builder
	for i := range s.File.Routes {
		r := &s.File.Routes[i]
		if !r.Idempotent {
			b.WriteString(r.Name + "|" + strings.Join(r.Regions, ",") + "|")
			if r.HomeBound {
				b.WriteString("home")
			}
			b.WriteByte('\n')
		}
	}
	sum := sha256.Sum256([]byte(b.String()))
	return string(sum[:8])
}

// configureCalls tells the table of calls about the roster and about workspaces that moved here.
func (g *Gateway) configureCalls(now time.Time, old, next *config.Snapshot) {
	if old != nil {
		for name, w := range next.Workspaces {
			if g.movedHere(old, next, old.Workspaces[name], w) {
				g.calls.MarkWorkspaceMoved(now, name)
			}
		}
	}
	g.calls.SetRoster(now, once.Roster{Slots: regionSlots(next, g.Self.Region), Placement: placement(next)})
}

// movedHere reports whether the calls of a workspace on any route are owned by this region now and
// were not before.
func (g *Gateway) movedHere(old, next *config.Snapshot, before, after *config.Workspace) bool {
	if before == nil {
		return false // A new workspace has no earlier calls.
	}
	for i := range next.File.Routes {
		r := &next.File.Routes[i]
		if r.Idempotent || callRegion(next, r, after) != g.Self.Region {
			continue
		}
		if o := old.Routes[r.Name]; o != nil && callRegion(old, o, before) != g.Self.Region {
			return true
		}
	}
	return false
}

// handOver seals the table of calls and sends it to a VM of the region for the successor.
func (g *Gateway) handOver(now time.Time) {
	g.calls.Seal(now)
	frames := g.calls.Export(now)
	keepers := g.keepers()
	if len(frames) == 0 || len(keepers) == 0 {
		return
	}
	g.runHandout(keepers[0], frames)
	time.Sleep(handoverFlush)
	event.HandoverSent.Log(g.Log, "to", keepers[0].Peer.Slot, "frames", len(frames))
}

// keepers lists the sessions with the VMs of the region that may keep a handover, those that stay first.
func (g *Gateway) keepers() []*vm.Session {
	leaving := map[string]bool{}
	for _, info := range g.VMs() {
		leaving[info.Name] = info.Leaving || !info.Alive
	}
	var stay, last []*vm.Session
	for _, s := range g.sessions.all() {
		switch {
		case s.Peer.Region != g.Self.Region:
		case leaving[s.Peer.Slot]:
			last = append(last, s)
		default:
			stay = append(stay, s)
		}
	}
	return append(stay, last...)
}

// sendFrame queues one frame of a handover, waiting for room for a short time. A lost frame costs
// the successor the retry horizon, and never a second run.
func (g *Gateway) sendFrame(s *vm.Session, f *vmwire.Handover) {
	for range 100 {
		if s.SendControl(vmwire.KindHandover, f) {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// takeHandover asks a VM of the region for the records of this slot's predecessor.
func (g *Gateway) takeHandover(now time.Time, s *vm.Session) {
	if now.Sub(g.Self.StartedAt) > takeWindow || g.takenFrom[s.Peer.Slot] {
		return
	}
	if s.SendControl(vmwire.KindHandoverRequest, &vmwire.HandoverRequest{Slot: g.Self.Slot}) {
		g.takenFrom[s.Peer.Slot] = true
	}
}

// onHandoverTake hands the records of a slot out to its successor, once.
func (g *Gateway) onHandoverTake(m message) {
	var w vmwire.HandoverRequest
	if !g.decode(m, &w) || m.from.Peer.Slot != w.Slot || m.from.Peer.Region != g.Self.Region {
		return
	}
	frames := g.handovers.Take(g.Now(), w.Slot, m.from.Peer.Incarnation)
	if len(frames) > 0 {
		g.wait.Go(func() { g.runHandout(m.from, frames) })
	}
}

// runHandout sends the frames of a handover, which can be more than the session's queue holds.
func (g *Gateway) runHandout(s *vm.Session, frames []vmwire.Handover) {
	for i := range frames {
		g.sendFrame(s, &frames[i])
	}
}

// onHandover keeps a stopping VM's records, or collects the records for this VM.
func (g *Gateway) onHandover(m message) {
	var w vmwire.Handover
	if !g.decode(m, &w) || m.from.Peer.Region != g.Self.Region {
		return
	}
	now := g.Now()
	if w.Slot != g.Self.Slot {
		g.handovers.Put(now, w)
		return
	}
	g.handover = append(g.handover, w)
	g.importHandover(now)
}

// importHandover takes the records over once all frames and a configuration have arrived.
func (g *Gateway) importHandover(now time.Time) {
	if len(g.handover) == 0 || len(g.handover) < int(g.handover[0].Count) || g.Snapshot() == nil {
		return
	}
	_ = g.calls.Import(now, g.handover) // A refused handover is logged and costs the horizon.
	g.handover = nil
}
