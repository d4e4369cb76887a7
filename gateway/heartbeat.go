package gateway

import (
	"context"
	"encoding/binary"
	"slices"
	"time"

	"parsleyhatch/config"
	"parsleyhatch/member"
	"parsleyhatch/vm"
	"parsleyhatch/vmwire"
)

const (
	// fullViewRounds is the number of heartbeat rounds between two rounds with full views.
	fullViewRounds = 10
	// fullViewTime is how long a changed view is sent in full, and how long a VM that has just
	// started gets full views.
	fullViewTime = 2 * time.Second
	// compactViewBytes is the encoded size of a compact view, ageUnit the resolution of its age,
	// and maxAgeUnits the largest age that its byte holds.
	compactViewBytes = 6
	ageUnit          = 20 * time.Millisecond
	maxAgeUnits      = 255
)

// pendingAck is a received heartbeat whose acknowledgement has not been sent yet.
type pendingAck struct {
	heartbeat member.Heartbeat
	session   *vm.Session
}

// heartbeats is the control loop's state for building heartbeats.
type heartbeats struct {
	// roster lists the slot names in sorted order; compact views refer to slots by index.
	roster []string
	index  map[string]int
	// targets are the slots that are sent a heartbeat in each round.
	targets map[string]bool
	// pendingAcks holds heartbeats received from targets; the heartbeats of the next round
	// acknowledge them.
	pendingAcks map[string]pendingAck
	// lastViews and changedAt record the last view of each slot and when it last changed.
	lastViews map[string]member.View
	changedAt map[string]time.Time
	// fullUntil is the time until which a slot is sent full views.
	fullUntil map[string]time.Time
	rounds    int
}

func newHeartbeats() heartbeats {
	return heartbeats{
		index: map[string]int{}, targets: map[string]bool{}, pendingAcks: map[string]pendingAck{},
		lastViews: map[string]member.View{}, changedAt: map[string]time.Time{}, fullUntil: map[string]time.Time{},
	}
}

// setRoster prepares the indexes of compact views.
func (b *heartbeats) setRoster(vms []config.VM) {
	b.roster = b.roster[:0]
	for i := range vms {
		b.roster = append(b.roster, vms[i].Name)
	}
	slices.Sort(b.roster)
	clear(b.index)
	for i, name := range b.roster {
		b.index[name] = i
	}
}

// sendHeartbeats sends a round of heartbeats and connects to targets without a session.
func (g *Gateway) sendHeartbeats(ctx context.Context, now time.Time) {
	sequence := g.members.StartRound(now)
	g.heartbeats.rounds++
	clear(g.heartbeats.targets)
	for _, slot := range g.members.Targets(now) {
		g.heartbeats.targets[slot] = true
		s := g.sessions.get(slot)
		if s == nil {
			g.dial(ctx, slot)
			continue
		}
		if since, waits := g.unackedSince[s]; waits && now.Sub(since) > ackTimeout {
			s.Close(errNotAcknowledged)
			continue
		}
		if s.SendControl(vmwire.KindHeartbeat, g.heartbeat(now, slot, sequence)) && g.unackedSince[s].IsZero() {
			g.unackedSince[s] = now
		}
	}
	// The remaining heartbeats came from VMs that are no longer targets.
	for slot, h := range g.heartbeats.pendingAcks {
		g.sendAck(now, h.session, h.heartbeat)
		delete(g.heartbeats.pendingAcks, slot)
	}
}

// heartbeat builds the message to a slot.
func (g *Gateway) heartbeat(now time.Time, slot string, sequence uint64) *vmwire.Heartbeat {
	h := g.members.Heartbeat(now, slot, sequence)
	m := &vmwire.Heartbeat{Sequence: sequence, Queue: int32(g.streams.count()), Flags: stateFlags(h.Leaving, h.Ready)}
	if s := g.Snapshot(); s != nil {
		m.ConfigNumber, m.ConfigTag = s.Version.Number, s.Version.DigestPrefix()
	}
	g.attachAck(now, slot, m)
	full := g.heartbeats.rounds%fullViewRounds == 0 || now.Before(g.heartbeats.fullUntil[slot])
	for _, v := range h.Views {
		g.attachView(now, m, v, full)
	}
	return m
}

// attachAck acknowledges the slot's latest heartbeat if its sender is the newest known incarnation
// of the slot.
func (g *Gateway) attachAck(now time.Time, slot string, m *vmwire.Heartbeat) {
	h, ok := g.heartbeats.pendingAcks[slot]
	if !ok {
		return
	}
	delete(g.heartbeats.pendingAcks, slot)
	ack, ok := g.members.Acknowledge(now, h.heartbeat)
	if !ok || ack.NewestIncarnation != h.heartbeat.Incarnation {
		g.sendAck(now, h.session, h.heartbeat)
		return
	}
	m.AckSequence = ack.Sequence
	m.Flags |= vmwire.FlagNewestIncarnation
	if ack.Confirms {
		m.Flags |= vmwire.FlagKnowsNewest
	}
}

// attachView adds a view to the message, in compact form if it has not changed for fullViewTime.
func (g *Gateway) attachView(now time.Time, m *vmwire.Heartbeat, v member.View, full bool) {
	b := &g.heartbeats
	old, known := b.lastViews[v.Slot]
	if !known || old.Incarnation != v.Incarnation || old.Leaving != v.Leaving || old.Ready != v.Ready {
		b.lastViews[v.Slot], b.changedAt[v.Slot] = v, now
	}
	index, listed := b.index[v.Slot]
	if full || !listed || now.Sub(b.changedAt[v.Slot]) < fullViewTime {
		m.Slots = append(m.Slots, vmwire.SlotView{
			Slot: v.Slot, Incarnation: v.Incarnation.Number, StartedAtUnixMilli: v.Incarnation.StartedAtUnixMilli,
			Age: vmwire.Age(v.Age.Milliseconds()), Leaving: v.Leaving, Ready: v.Ready, Queue: g.peerQueues[v.Slot],
		})
		return
	}
	units := (v.Age + ageUnit - 1) / ageUnit
	if units > maxAgeUnits {
		return // The receiver treats a view that is not sent as at least this old.
	}
	m.Compact = binary.BigEndian.AppendUint16(m.Compact, uint16(index))
	m.Compact = binary.BigEndian.AppendUint16(m.Compact, uint16(v.Incarnation.Number))
	m.Compact = append(m.Compact, byte(units), stateFlags(v.Leaving, v.Ready))
}

func stateFlags(leaving, ready bool) uint8 {
	var flags uint8
	if leaving {
		flags |= vmwire.FlagLeaving
	}
	if ready {
		flags |= vmwire.FlagReady
	}
	return flags
}

// decodeViews returns the views of a received heartbeat. Compact views are accepted only if the
// sender has the same configuration and this VM already knows the incarnation.
func (g *Gateway) decodeViews(w *vmwire.Heartbeat) []member.View {
	views := make([]member.View, 0, len(w.Slots)+len(w.Compact)/compactViewBytes)
	for _, v := range w.Slots {
		views = append(views, member.View{
			Slot: v.Slot, Incarnation: member.Incarnation{Number: v.Incarnation, StartedAtUnixMilli: v.StartedAtUnixMilli},
			Age: v.Age.Duration(), Leaving: v.Leaving, Ready: v.Ready,
		})
	}
	s := g.Snapshot()
	if s == nil || s.Version.Number != w.ConfigNumber || s.Version.DigestPrefix() != w.ConfigTag {
		return views
	}
	for c := w.Compact; len(c) >= compactViewBytes; c = c[compactViewBytes:] {
		index := int(binary.BigEndian.Uint16(c))
		if index >= len(g.heartbeats.roster) {
			continue
		}
		row, ok := g.members.Row(g.heartbeats.roster[index])
		if !ok || uint16(row.Incarnation.Number) != binary.BigEndian.Uint16(c[2:]) {
			continue
		}
		views = append(views, member.View{
			Slot: row.Slot, Incarnation: row.Incarnation, Age: time.Duration(c[4]) * ageUnit,
			Leaving: c[5]&vmwire.FlagLeaving != 0, Ready: c[5]&vmwire.FlagReady != 0,
		})
	}
	return views
}

// onHeartbeat records a heartbeat. It is acknowledged in the next round if its sender is a target,
// otherwise at once.
func (g *Gateway) onHeartbeat(ctx context.Context, m controlMessage) {
	var w vmwire.Heartbeat
	if !g.decode(m, &w) {
		return
	}
	now := g.Now()
	peer := m.from.Peer
	h := member.Heartbeat{
		Slot: peer.Slot, Incarnation: incarnationOf(peer), Sequence: w.Sequence,
		Leaving: w.Flags&vmwire.FlagLeaving != 0, Ready: w.Flags&vmwire.FlagReady != 0, Views: g.decodeViews(&w),
	}
	for _, v := range w.Slots {
		if g.sessions.get(v.Slot) == nil {
			g.peerQueues[v.Slot] = v.Queue
		}
	}
	before, _ := g.members.Row(peer.Slot)
	outcome := g.members.RecordHeartbeat(now, h)
	if before.Ready != h.Ready || before.Leaving != h.Leaving || outcome == member.NewerIncarnation {
		g.fleetChanged = true
	}
	g.peerQueues[peer.Slot] = w.Queue
	if outcome == member.NewerIncarnation {
		g.preparePeerStart(now, peer)
	}
	if w.AckSequence != 0 && w.Flags&vmwire.FlagNewestIncarnation != 0 {
		g.applyAck(now, m.from, &vmwire.HeartbeatAck{
			Sequence: w.AckSequence, Confirms: w.Flags&vmwire.FlagKnowsNewest != 0,
			NewestIncarnation: g.Self.Incarnation, NewestStartedAtUnixMilli: g.Self.StartedAt.UnixMilli(),
			ConfigNumber: w.ConfigNumber, ConfigTag: w.ConfigTag,
		})
	}
	if g.heartbeats.targets[peer.Slot] && outcome == member.CurrentIncarnation && peer.Region == g.Self.Region {
		g.heartbeats.pendingAcks[peer.Slot] = pendingAck{heartbeat: h, session: m.from}
	} else {
		g.sendAck(now, m.from, h)
	}
	g.checkSuperseded(now)
	g.fetchIfNewer(ctx, m.from, w.ConfigNumber, w.ConfigTag)
}

// preparePeerStart handles the start of another VM of the region: it registers the incarnation for
// handovers and sends full views for fullViewTime.
func (g *Gateway) preparePeerStart(now time.Time, peer vm.Identity) {
	if peer.Region != g.Self.Region {
		return
	}
	g.handovers.ObserveIncarnation(peer.Slot, peer.Incarnation)
	g.heartbeats.fullUntil[peer.Slot] = now.Add(fullViewTime)
}

// sendAck acknowledges a heartbeat with a separate message.
func (g *Gateway) sendAck(now time.Time, s *vm.Session, h member.Heartbeat) {
	ack, ok := g.members.Acknowledge(now, h)
	if !ok {
		return
	}
	w := &vmwire.HeartbeatAck{
		Sequence: ack.Sequence, NewestIncarnation: ack.NewestIncarnation.Number,
		NewestStartedAtUnixMilli: ack.NewestIncarnation.StartedAtUnixMilli, Confirms: ack.Confirms,
	}
	if s := g.Snapshot(); s != nil {
		w.ConfigNumber, w.ConfigTag = s.Version.Number, s.Version.DigestPrefix()
	}
	s.SendControl(vmwire.KindHeartbeatAck, w)
}

// onHeartbeatAck applies an acknowledgement.
func (g *Gateway) onHeartbeatAck(m controlMessage) {
	var w vmwire.HeartbeatAck
	if g.decode(m, &w) {
		g.applyAck(g.Now(), m.from, &w)
	}
}

// applyAck applies the lease and the configuration version that an acknowledgement confirms.
func (g *Gateway) applyAck(now time.Time, from *vm.Session, w *vmwire.HeartbeatAck) {
	delete(g.unackedSince, from)
	peer := from.Peer
	lease := g.members.RecordAck(now, member.Ack{
		Slot: peer.Slot, Incarnation: incarnationOf(peer), Sequence: w.Sequence,
		NewestIncarnation: member.Incarnation{Number: w.NewestIncarnation, StartedAtUnixMilli: w.NewestStartedAtUnixMilli},
		Confirms:          w.Confirms,
	})
	s := g.Snapshot()
	current := s != nil && !s.Version.OlderThan(w.ConfigNumber, w.ConfigTag)
	g.applyLease(now, lease, current)
	if w.ConfigNumber != 0 {
		g.confirmConfig(now, current)
	}
	g.checkSuperseded(now)
}
