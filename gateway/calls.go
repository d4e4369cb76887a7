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
	// callAnswerTimeout bounds the wait for the answer of a non-idempotent call after it was sent.
	callAnswerTimeout = 60 * time.Second
	// handoverFlush is the time allowed for writing the queued frames of a handover before the
	// sessions are closed, since frames are not acknowledged.
	handoverFlush = 500 * time.Millisecond
	// handoverRequestWindow is the time after the start during which a VM requests the call records
	// of its slot's previous incarnation.
	handoverRequestWindow = 30 * time.Second
)

// callKey returns the key of the record of a call.
func (r *Request) callKey() once.Key {
	return once.Key{Workspace: r.Workspace.Name, Route: r.Route.Name, Key: r.IdempotencyKey}
}

// serveCall runs a non-idempotent call at the VM that owns its idempotency key.
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

// forwardCall forwards a call to the VM that owns its key.
func (g *Gateway) forwardCall(ctx context.Context, r *Request, owner string, p *progress) Outcome {
	if g.leaving.Load() {
		return markRanUnknown(r.Route, refuseLeaving())
	}
	m := r.Snapshot.VMs[owner]
	if m == nil {
		return Outcome{Code: OwnerGone, Message: "vm " + owner + ", which owns the key, is no longer in the roster; the call will not be run", Ran: Unknown}
	}
	if !slices.Contains(r.Snapshot.AllowedRegions(r.Route, r.Workspace), m.Region) {
		return markRanUnknown(r.Route, refuse(WrongRegion, "vm "+owner+", which owns the key, is in a region that may not run the call"))
	}
	s := g.sessionWith(ctx, owner)
	if s == nil {
		return Outcome{Code: OwnerUnreachable, Message: "vm " + owner + ", which owns the key, is unreachable", Ran: Unknown, RetryAfter: g.retries.RetryAfter(shortRetryAfter)}
	}
	return g.forwardOver(ctx, r, s, p)
}

// markRanUnknown changes NotRun to Unknown in a refusal of a non-idempotent call whose record was
// not looked up. An earlier request with the key may have run the call, and a caller that relies on
// notRun would repeat it with another key.
func markRanUnknown(route *config.Route, out Outcome) Outcome {
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
		return "", markRanUnknown(r.Route, refuseUntil(NoUpstream, "no vm is configured in region "+region, shortRetryAfter))
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
	// The call can outlive this request, so it uses its own copy.
	run := *r
	run.trace.Steps = nil
	run.releaseOutcome = &atomic.Pointer[Outcome]{}
	for {
		outcome, record := g.calls.Begin(g.Now(), r.callKey(), sha256.Sum256(r.Body))
		switch outcome {
		case once.Run:
			if g.leaving.Load() {
				g.calls.Abandon(g.Now(), record)
				return refuseLeaving()
			}
			record.Deadline = r.Deadline
			go g.runClaimedCall(context.WithoutCancel(ctx), &run, record)
		case once.Wait, once.Replay:
		default:
			return callRefusal(outcome)
		}
		select {
		case <-record.Done():
		case <-ctx.Done():
			if outcome == once.Run && g.calls.Withdraw(g.Now(), record) {
				return cancelledOutcome(ctx, NotRun)
			}
			return cancelledOutcome(ctx, Unknown)
		}
		state, answer := g.calls.Result(record)
		if state == once.Released && outcome != once.Run {
			continue // The other request's call was not sent; this one may run.
		}
		out := g.answerCall(ctx, state, answer, p)
		out.Replayed = outcome != once.Run
		if state == once.Released {
			out = g.releasedOutcome(&run)
		}
		return out
	}
}

// releasedOutcome returns the outcome of a call of which no byte was sent.
func (g *Gateway) releasedOutcome(run *Request) Outcome {
	if out := run.releaseOutcome.Load(); out != nil {
		return *out
	}
	if g.leaving.Load() {
		return refuseLeaving()
	}
	return refuseUntil(DeadlineExceeded, "the call was not sent within the deadline", shortRetryAfter)
}

// answerCall passes the recorded answer to the caller.
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

// callRefusal maps an outcome of the call table to a refusal.
func callRefusal(o once.Outcome) Outcome {
	out := Outcome{Ran: Ran(o.Ran())}
	switch o {
	case once.KeyReused:
		out.Code, out.Message = KeyReused, "the idempotency key was used with another body"
	case once.OwnerGone, once.WrongOwner:
		out.Code, out.Message = OwnerGone, "the vm that issued the ticket is gone; the call will not be run"
	case once.PredecessorUnknown, once.NoLease, once.KeyMoved:
		out.Code, out.RetryAfter = RetryHorizon, time.Minute
		out.Message = "this vm cannot know yet whether the key was used; use a ticket, or come back"
	case once.TicketExpired:
		out.Code, out.Message = TicketExpired, "the ticket has expired"
	case once.TableFull:
		out.Code, out.Message, out.RetryAfter = TableFull, "too many recorded calls", shortRetryAfter
	case once.Sealed:
		out.Code, out.Message, out.RetryAfter = Leaving, "this vm is leaving", shortRetryAfter
	default:
		out.Code, out.Message = InvalidRequest, "the idempotency key is not valid"
	}
	return out
}

// runClaimedCall sends a call that this request has claimed. It continues after the caller has
// disconnected, since the answer is recorded.
func (g *Gateway) runClaimedCall(ctx context.Context, r *Request, record *once.Record) {
	var exclude []*choose.Upstream
	for range maxUpstreamAttempts {
		granted, out := g.acquire(ctx, r, r.upstreamQuery(exclude))
		if out.Code != OK {
			r.releaseOutcome.Store(&out)
			break
		}
		exclude = append(exclude, granted.pick.Upstream)
		ended := g.attemptCall(ctx, r, &granted, record)
		g.release(r, &granted)
		if ended {
			return
		}
		out = refuseUntil(NoUpstream, "no service accepted a connection", g.retries.RetryAfter(shortRetryAfter))
		r.releaseOutcome.Store(&out)
	}
	g.calls.Abandon(g.Now(), record)
}

// attemptCall makes one attempt. It reports whether the record has reached a final state; if not, no
// byte was sent.
func (g *Gateway) attemptCall(ctx context.Context, r *Request, granted *grantedUpstream, record *once.Record) bool {
	u := g.upstreamOf(r, granted.pick.Upstream.Name)
	if u == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, callAnswerTimeout)
	defer cancel()
	answer, fail := g.Upstreams.CallOnce(ctx, u.Address, r.serviceCall(), func() bool {
		return g.calls.MarkSending(g.Now(), record)
	})
	switch {
	case fail == nil:
		granted.pick.Upstream.RecordSuccess(g.Now())
		g.recordAnswer(u, record, answer)
		return true
	case errors.Is(fail, upstream.ErrSendNotConfirmed):
		// Sending has released the record, unless the timeout passed before Sending was called.
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

func (g *Gateway) recordAnswer(u *config.Upstream, record *once.Record, answer upstream.ServiceResponse) {
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

// callAssignmentHash returns a hash of the route settings that assign non-idempotent calls to
// regions.
func callAssignmentHash(s *config.Snapshot) string {
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

// configureCalls updates the call table with the roster and with the workspaces whose calls this
// region now owns.
func (g *Gateway) configureCalls(now time.Time, old, next *config.Snapshot) {
	if old != nil {
		for name, w := range next.Workspaces {
			if g.movedHere(old, next, old.Workspaces[name], w) {
				g.calls.MarkWorkspaceMoved(now, name)
			}
		}
	}
	g.calls.SetRoster(now, once.Roster{Slots: regionSlots(next, g.Self.Region), Placement: callAssignmentHash(next)})
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

// sendHandover seals the call table and sends its records to a VM of the region, which stores them
// for the slot's next incarnation.
func (g *Gateway) sendHandover(now time.Time) {
	g.calls.Seal(now)
	frames := g.calls.Export(now)
	handoverPeers := g.handoverPeers()
	if len(frames) == 0 || len(handoverPeers) == 0 {
		return
	}
	g.sendHandoverFrames(handoverPeers[0], frames)
	time.Sleep(handoverFlush)
	event.HandoverSent.Log(g.Log, "to", handoverPeers[0].Peer.Slot, "frames", len(frames))
}

// handoverPeers lists the sessions with the VMs of the region that can store a handover. VMs that
// are alive and not leaving come first.
func (g *Gateway) handoverPeers() []*vm.Session {
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

// sendHandoverFrame queues one frame of a handover, waiting up to 1 s for room in the queue. After
// a lost frame the next incarnation must wait for the retry horizon; it never runs a call twice.
func (g *Gateway) sendHandoverFrame(s *vm.Session, f *vmwire.Handover) {
	for range 100 {
		if s.SendControl(vmwire.KindHandover, f) {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// requestHandover asks a VM of the region for the call records of this slot's previous incarnation.
func (g *Gateway) requestHandover(now time.Time, s *vm.Session) {
	if now.Sub(g.Self.StartedAt) > handoverRequestWindow || g.handoverRequested[s.Peer.Slot] {
		return
	}
	if s.SendControl(vmwire.KindHandoverRequest, &vmwire.HandoverRequest{Slot: g.Self.Slot}) {
		g.handoverRequested[s.Peer.Slot] = true
	}
}

// onHandoverTake sends the stored records of a slot to its next incarnation. Records are sent only
// once.
func (g *Gateway) onHandoverTake(m controlMessage) {
	var w vmwire.HandoverRequest
	if !g.decode(m, &w) || m.from.Peer.Slot != w.Slot || m.from.Peer.Region != g.Self.Region {
		return
	}
	frames := g.handovers.Take(g.Now(), w.Slot, m.from.Peer.Incarnation)
	if len(frames) > 0 {
		g.background.Go(func() { g.sendHandoverFrames(m.from, frames) })
	}
}

// sendHandoverFrames sends the frames of a handover, which can be more than the session's queue
// holds.
func (g *Gateway) sendHandoverFrames(s *vm.Session, frames []vmwire.Handover) {
	for i := range frames {
		g.sendHandoverFrame(s, &frames[i])
	}
}

// onHandover stores the records of a stopping VM, or collects the records for this VM's slot.
func (g *Gateway) onHandover(m controlMessage) {
	var w vmwire.Handover
	if !g.decode(m, &w) || m.from.Peer.Region != g.Self.Region {
		return
	}
	now := g.Now()
	if w.Slot != g.Self.Slot {
		g.handovers.Put(now, w)
		return
	}
	g.handoverFrames = append(g.handoverFrames, w)
	g.importHandover(now)
}

// importHandover imports the records once all frames and a configuration have arrived.
func (g *Gateway) importHandover(now time.Time) {
	if len(g.handoverFrames) == 0 || len(g.handoverFrames) < int(g.handoverFrames[0].Count) || g.Snapshot() == nil {
		return
	}
	_ = g.calls.Import(now, g.handoverFrames) // A refused handover is logged; this VM then waits for the retry horizon.
	g.handoverFrames = nil
}
