package gateway

import (
	"context"
	"errors"
	"time"

	"parsleyhatch/audit"
	"parsleyhatch/config"
	"parsleyhatch/event"
	"parsleyhatch/member"
	"parsleyhatch/platform"
	"parsleyhatch/vm"
	"parsleyhatch/vmwire"
)

// listInterval is the period of reading the platform's list of VMs.
const listInterval = 5 * time.Second

// ackLimit is the time without an acknowledgement of heartbeats after which a session is ended. It
// finds a path that is cut towards the other VM only: frames still arrive here, so the session is not
// silent, but a forwarded request would wait for an answer that cannot come.
const ackLimit = 5 * time.Second

var errNotAcknowledged = errors.New("the other vm acknowledges no heartbeats")

// tickMembers ages the table of VMs and sends heartbeats.
func (g *Gateway) tickMembers(ctx context.Context, now time.Time) {
	g.members.SetState(g.ready.Load(), g.leaving.Load())
	changes := g.members.Tick(now)
	if changes.Paused > 0 {
		g.tokens.Discard(now)
		event.LatePause.Log(g.Log, "gapMillis", changes.Paused.Milliseconds())
		clear(g.unackedSince) // Acknowledgements may wait in the queue of this loop.
	}
	for _, slot := range changes.Died {
		g.Audit.Add(now, audit.Entry{Kind: audit.VMLeft, Subject: "vm/" + slot})
		event.MemberDied.Log(g.Log, "slot", slot)
	}
	for _, slot := range changes.Returned {
		g.Audit.Add(now, audit.Entry{Kind: audit.VMJoined, Subject: "vm/" + slot})
		event.MemberReturned.Log(g.Log, "slot", slot)
	}
	g.confirm(now, changes.Lease, true)
	g.checkSuperseded(now)
	if now.Sub(g.lastBeat) >= member.Interval {
		g.lastBeat = now
		g.beat(ctx, now)
	}
	g.isReader.Store(g.readsPlatform(now))
}

// readsPlatform reports whether this VM watches the configuration service. A VM without a
// configuration does, since it cannot know the roster.
func (g *Gateway) readsPlatform(now time.Time) bool {
	return g.Snapshot() == nil || contains(g.members.Readers(now, g.Self.Region), g.Self.Slot)
}

// confirm applies an interval for which this VM has authority over its slot. current says that the
// confirming VM knew no later configuration.
func (g *Gateway) confirm(now time.Time, lease member.Lease, current bool) {
	if !lease.Valid() {
		return
	}
	g.tokens.Authorise(now, lease.From, lease.To)
	if current {
		g.calls.Renew(lease.From)
	}
	g.authorised = true
}

// checkSuperseded stops this VM's work for good when a newer incarnation of its slot is known.
func (g *Gateway) checkSuperseded(now time.Time) {
	if !g.members.Superseded() {
		return
	}
	g.tokens.Discard(now)
	g.calls.Seal(now)
	g.leaving.Store(true)
	select {
	case <-g.superseded:
	default:
		close(g.superseded)
		g.Audit.Add(now, audit.Entry{Kind: audit.VMSuperseded, Subject: "vm/" + g.Self.Slot})
		event.Superseded.Log(g.Log, "slot", g.Self.Slot, "incarnation", g.Self.Incarnation)
	}
}

// beat sends a round of heartbeats and connects to targets without a session.
func (g *Gateway) beat(ctx context.Context, now time.Time) {
	sequence := g.members.Next(now)
	for _, slot := range g.members.Targets(now) {
		s := g.sessions.get(slot)
		if s == nil {
			g.dial(ctx, slot)
			continue
		}
		if since, waits := g.unackedSince[s]; waits && now.Sub(since) > ackLimit {
			s.Close(errNotAcknowledged)
			continue
		}
		if s.Control(vmwire.KindHeartbeat, g.heartbeat(now, slot, sequence)) && g.unackedSince[s].IsZero() {
			g.unackedSince[s] = now
		}
	}
}

// greet sends a first heartbeat and what a VM that has just started needs.
func (g *Gateway) greet(now time.Time, s *vm.Session) {
	if s.Peer.Slot == g.Self.Slot {
		return
	}
	s.Control(vmwire.KindHeartbeat, g.heartbeat(now, s.Peer.Slot, g.members.Next(now)))
	if s.Peer.Region == g.Self.Region {
		g.takeHandover(now, s)
		for _, m := range g.poisons.Export(now) {
			s.Control(vmwire.KindSuspect, &m)
		}
	}
}

// heartbeat builds the message to a slot.
func (g *Gateway) heartbeat(now time.Time, slot string, sequence uint64) *vmwire.Heartbeat {
	h := g.members.Heartbeat(now, slot, sequence)
	m := &vmwire.Heartbeat{Sequence: sequence, Leaving: h.Leaving, Ready: h.Ready, Queue: int32(g.streams.count())}
	if s := g.Snapshot(); s != nil {
		m.ConfigNumber, m.ConfigDigest = s.Version.Number, s.Version.Digest
	}
	for _, v := range h.Views {
		m.Slots = append(m.Slots, vmwire.SlotView{
			Slot: v.Slot, Incarnation: v.Incarnation.Number, StartedAtUnixMilli: v.Incarnation.StartedAtUnixMilli,
			AgeMillis: v.Age.Milliseconds(), Leaving: v.Leaving, Ready: v.Ready, Queue: g.peerQueues[v.Slot],
		})
	}
	return m
}

// onHeartbeat records a heartbeat and acknowledges it.
func (g *Gateway) onHeartbeat(ctx context.Context, m message) {
	var w vmwire.Heartbeat
	if !g.decode(m, &w) {
		return
	}
	now := g.Now()
	peer := m.from.Peer
	h := member.Heartbeat{
		Slot: peer.Slot, Incarnation: incarnationOf(peer), Sequence: w.Sequence, Leaving: w.Leaving, Ready: w.Ready,
	}
	for _, v := range w.Slots {
		h.Views = append(h.Views, member.View{
			Slot: v.Slot, Incarnation: member.Incarnation{Number: v.Incarnation, StartedAtUnixMilli: v.StartedAtUnixMilli},
			Age: time.Duration(v.AgeMillis) * time.Millisecond, Leaving: v.Leaving, Ready: v.Ready,
		})
		if !g.members.Alive(now, v.Slot) || g.sessions.get(v.Slot) == nil {
			g.peerQueues[v.Slot] = v.Queue
		}
	}
	outcome := g.members.Heard(now, h)
	g.peerQueues[peer.Slot] = w.Queue
	if outcome == member.Started && peer.Region == g.Self.Region {
		g.handovers.Observe(peer.Slot, peer.Incarnation)
	}
	g.acknowledge(now, m.from, h)
	g.checkSuperseded(now)
	g.compareVersion(ctx, m.from, config.Version{Number: w.ConfigNumber, Digest: w.ConfigDigest})
}

func (g *Gateway) acknowledge(now time.Time, s *vm.Session, h member.Heartbeat) {
	ack, ok := g.members.Reply(now, h)
	if !ok {
		return
	}
	w := &vmwire.HeartbeatAck{
		Sequence: ack.Sequence, NewestIncarnation: ack.Newest.Number,
		NewestStartedAtUnixMilli: ack.Newest.StartedAtUnixMilli, Confirms: ack.Confirms,
	}
	if s := g.Snapshot(); s != nil {
		w.ConfigNumber, w.ConfigDigest = s.Version.Number, s.Version.Digest
	}
	s.Control(vmwire.KindHeartbeatAck, w)
}

// onHeartbeatAck applies what an acknowledgement confirms.
func (g *Gateway) onHeartbeatAck(m message) {
	var w vmwire.HeartbeatAck
	if !g.decode(m, &w) {
		return
	}
	now := g.Now()
	delete(g.unackedSince, m.from)
	lease := g.members.Acked(now, member.Ack{
		Slot: m.from.Peer.Slot, Incarnation: incarnationOf(m.from.Peer), Sequence: w.Sequence,
		Newest:   member.Incarnation{Number: w.NewestIncarnation, StartedAtUnixMilli: w.NewestStartedAtUnixMilli},
		Confirms: w.Confirms,
	})
	theirs := config.Version{Number: w.ConfigNumber, Digest: w.ConfigDigest}
	current := g.Snapshot() != nil && !theirs.After(g.Snapshot().Version)
	g.confirm(now, lease, current)
	g.checkSuperseded(now)
}

// runVMList reads the platform's list of VMs, a hint for VMs that do not respond.
func (g *Gateway) runVMList(ctx context.Context) {
	for ctx.Err() == nil {
		if list, err := g.Platform.VMs(ctx); err == nil {
			select {
			case g.lists <- list:
			case <-ctx.Done():
			}
		}
		sleep(ctx, listInterval)
	}
}

func (g *Gateway) recordList(list []platform.VMState) {
	listed := make([]member.Listed, 0, len(list))
	for _, v := range list {
		listed = append(listed, member.Listed{Slot: v.Name, Live: v.State == "live", Leaving: v.State == "leaving"})
	}
	g.members.SetList(listed)
}
