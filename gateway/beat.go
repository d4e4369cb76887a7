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
	// compactViewBytes is the size of a compact view, and ageUnit that of its age.
	compactViewBytes = 6
	ageUnit          = 20 * time.Millisecond
	maxAgeUnits      = 255
)

// heard is the latest heartbeat of a VM that waits for its acknowledgement.
type heard struct {
	heartbeat member.Heartbeat
	session   *vm.Session
}

// beats is what the control loop needs to build heartbeats.
type beats struct {
	// roster are the sorted names of the slots; compact views refer to their indexes.
	roster []string
	index  map[string]int
	// targets are the slots that get a heartbeat each round.
	targets map[string]bool
	// unacknowledged are heartbeats of targets, which are acknowledged in the next round.
	unacknowledged map[string]heard
	// seen and changedAt tell since when a view of a slot has been the same.
	seen      map[string]member.View
	changedAt map[string]time.Time
	// fullUntil is the time up to which a slot gets full views.
	fullUntil map[string]time.Time
	rounds    int
}

func newBeats() beats {
	return beats{
		index: map[string]int{}, targets: map[string]bool{}, unacknowledged: map[string]heard{},
		seen: map[string]member.View{}, changedAt: map[string]time.Time{}, fullUntil: map[string]time.Time{},
	}
}

// setRoster prepares the indexes of compact views.
func (b *beats) setRoster(vms []config.VM) {
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

// beat sends a round of heartbeats and connects to targets without a session.
func (g *Gateway) beat(ctx context.Context, now time.Time) {
	sequence := g.members.StartRound(now)
	g.beats.rounds++
	clear(g.beats.targets)
	for _, slot := range g.members.Targets(now) {
		g.beats.targets[slot] = true
		s := g.sessions.get(slot)
		if s == nil {
			g.dial(ctx, slot)
			continue
		}
		if since, waits := g.unackedSince[s]; waits && now.Sub(since) > ackLimit {
			s.Close(errNotAcknowledged)
			continue
		}
		if s.SendControl(vmwire.KindHeartbeat, g.heartbeat(now, slot, sequence)) && g.unackedSince[s].IsZero() {
			g.unackedSince[s] = now
		}
	}
	// What is left came from VMs that are no targets any more.
	for slot, h := range g.beats.unacknowledged {
		g.acknowledge(now, h.session, h.heartbeat)
		delete(g.beats.unacknowledged, slot)
	}
}

// heartbeat builds the message to a slot.
func (g *Gateway) heartbeat(now time.Time, slot string, sequence uint64) *vmwire.Heartbeat {
	h := g.members.Heartbeat(now, slot, sequence)
	m := &vmwire.Heartbeat{Sequence: sequence, Queue: int32(g.streams.count()), Flags: flagsOf(h.Leaving, h.Ready)}
	if s := g.Snapshot(); s != nil {
		m.ConfigNumber, m.ConfigTag = s.Version.Number, s.Version.DigestPrefix()
	}
	g.attachAck(now, slot, m)
	full := g.beats.rounds%fullViewRounds == 0 || now.Before(g.beats.fullUntil[slot])
	for _, v := range h.Views {
		g.attachView(now, m, v, full)
	}
	return m
}

// attachAck acknowledges the slot's latest heartbeat, if the slot is the newest known incarnation.
func (g *Gateway) attachAck(now time.Time, slot string, m *vmwire.Heartbeat) {
	h, ok := g.beats.unacknowledged[slot]
	if !ok {
		return
	}
	delete(g.beats.unacknowledged, slot)
	ack, ok := g.members.Acknowledge(now, h.heartbeat)
	if !ok || ack.NewestIncarnation != h.heartbeat.Incarnation {
		g.acknowledge(now, h.session, h.heartbeat)
		return
	}
	m.AckSequence = ack.Sequence
	m.Flags |= vmwire.FlagNewestIncarnation
	if ack.Confirms {
		m.Flags |= vmwire.FlagKnowsNewest
	}
}

// attachView adds a view, compact if it has not changed for a while.
func (g *Gateway) attachView(now time.Time, m *vmwire.Heartbeat, v member.View, full bool) {
	b := &g.beats
	old, known := b.seen[v.Slot]
	if !known || old.Incarnation != v.Incarnation || old.Leaving != v.Leaving || old.Ready != v.Ready {
		b.seen[v.Slot], b.changedAt[v.Slot] = v, now
	}
	index, listed := b.index[v.Slot]
	if full || !listed || now.Sub(b.changedAt[v.Slot]) < fullViewTime {
		m.Slots = append(m.Slots, vmwire.SlotView{
			Slot: v.Slot, Incarnation: v.Incarnation.Number, StartedAtUnixMilli: v.Incarnation.StartedAtUnixMilli,
			AgeMillis: v.Age.Milliseconds(), Leaving: v.Leaving, Ready: v.Ready, Queue: g.peerQueues[v.Slot],
		})
		return
	}
	units := (v.Age + ageUnit - 1) / ageUnit
	if units > maxAgeUnits {
		return // As old as a view that is not sent.
	}
	m.Compact = binary.BigEndian.AppendUint16(m.Compact, uint16(index))
	m.Compact = binary.BigEndian.AppendUint16(m.Compact, uint16(v.Incarnation.Number))
	m.Compact = append(m.Compact, byte(units), flagsOf(v.Leaving, v.Ready))
}

func flagsOf(leaving, ready bool) uint8 {
	var flags uint8
	if leaving {
		flags |= vmwire.FlagLeaving
	}
	if ready {
		flags |= vmwire.FlagReady
	}
	return flags
}

// viewsOf returns the views of a received heartbeat. Compact ones only count if the sender has the
// same configuration, and if this VM knows the incarnation already.
func (g *Gateway) viewsOf(w *vmwire.Heartbeat) []member.View {
	views := make([]member.View, 0, len(w.Slots)+len(w.Compact)/compactViewBytes)
	for _, v := range w.Slots {
		views = append(views, member.View{
			Slot: v.Slot, Incarnation: member.Incarnation{Number: v.Incarnation, StartedAtUnixMilli: v.StartedAtUnixMilli},
			Age: time.Duration(v.AgeMillis) * time.Millisecond, Leaving: v.Leaving, Ready: v.Ready,
		})
	}
	s := g.Snapshot()
	if s == nil || s.Version.Number != w.ConfigNumber || s.Version.DigestPrefix() != w.ConfigTag {
		return views
	}
	for c := w.Compact; len(c) >= compactViewBytes; c = c[compactViewBytes:] {
		index := int(binary.BigEndian.Uint16(c))
		if index >= len(g.beats.roster) {
			continue
		}
		row, ok := g.members.Row(g.beats.roster[index])
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
func (g *Gateway) onHeartbeat(ctx context.Context, m message) {
	var w vmwire.Heartbeat
	if !g.decode(m, &w) {
		return
	}
	now := g.Now()
	peer := m.from.Peer
	h := member.Heartbeat{
		Slot: peer.Slot, Incarnation: incarnationOf(peer), Sequence: w.Sequence,
		Leaving: w.Flags&vmwire.FlagLeaving != 0, Ready: w.Flags&vmwire.FlagReady != 0, Views: g.viewsOf(&w),
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
		g.welcome(now, peer)
	}
	if w.AckSequence != 0 && w.Flags&vmwire.FlagNewestIncarnation != 0 {
		g.acked(now, m.from, &vmwire.HeartbeatAck{
			Sequence: w.AckSequence, Confirms: w.Flags&vmwire.FlagKnowsNewest != 0,
			NewestIncarnation: g.Self.Incarnation, NewestStartedAtUnixMilli: g.Self.StartedAt.UnixMilli(),
			ConfigNumber: w.ConfigNumber, ConfigTag: w.ConfigTag,
		})
	}
	if g.beats.targets[peer.Slot] && outcome == member.CurrentIncarnation && peer.Region == g.Self.Region {
		g.beats.unacknowledged[peer.Slot] = heard{heartbeat: h, session: m.from}
	} else {
		g.acknowledge(now, m.from, h)
	}
	g.checkSuperseded(now)
	g.compareVersion(ctx, m.from, w.ConfigNumber, w.ConfigTag)
}

// welcome prepares for a VM that has just started.
func (g *Gateway) welcome(now time.Time, peer vm.Identity) {
	if peer.Region != g.Self.Region {
		return
	}
	g.handovers.ObserveIncarnation(peer.Slot, peer.Incarnation)
	g.beats.fullUntil[peer.Slot] = now.Add(fullViewTime)
}

// acknowledge answers a heartbeat with a message of its own.
func (g *Gateway) acknowledge(now time.Time, s *vm.Session, h member.Heartbeat) {
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
func (g *Gateway) onHeartbeatAck(m message) {
	var w vmwire.HeartbeatAck
	if g.decode(m, &w) {
		g.acked(g.Now(), m.from, &w)
	}
}

// acked applies what an acknowledgement confirms.
func (g *Gateway) acked(now time.Time, from *vm.Session, w *vmwire.HeartbeatAck) {
	delete(g.unackedSince, from)
	peer := from.Peer
	lease := g.members.RecordAck(now, member.Ack{
		Slot: peer.Slot, Incarnation: incarnationOf(peer), Sequence: w.Sequence,
		NewestIncarnation: member.Incarnation{Number: w.NewestIncarnation, StartedAtUnixMilli: w.NewestStartedAtUnixMilli},
		Confirms:          w.Confirms,
	})
	s := g.Snapshot()
	current := s != nil && !s.Version.OlderThan(w.ConfigNumber, w.ConfigTag)
	g.confirm(now, lease, current)
	if w.ConfigNumber != 0 {
		g.confirmConfig(now, current)
	}
	g.checkSuperseded(now)
}
