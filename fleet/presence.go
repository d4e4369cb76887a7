package fleet

import (
	"time"

	"parsleyhatch/event"
	"parsleyhatch/vm"
	"parsleyhatch/vmwire"
)

// BroadcastPresence immediately sends a presence to all VMs with a session.
func (f *Fleet) BroadcastPresence() {
	p := f.newPresence(true, false)
	for _, slot := range f.localSlots() {
		if s := f.session(slot); s != nil {
			s.SendControl(vmwire.KindPresence, p)
		}
	}
	f.sendRemotePresences()
}

// presenceTicks returns the number of ticks between two presences to a VM of this region.
func presenceTicks(localSessions int) int {
	if localSessions <= maxFullRateSessions {
		return 1
	}
	interval := min(time.Duration(localSessions)*presenceIntervalPerVM, maxPresenceInterval)
	return max(2, int(interval/tick))
}

// sendDuePresences sends the presences that are due at this tick. The VMs of this region take turns, so that each tick
// has the same share. A change of what callers may rely on goes to all of them at once.
func (f *Fleet) sendDuePresences() {
	slots := f.localSlots()
	interval := presenceTicks(len(slots))
	f.presenceInterval.Store(int64(time.Duration(interval) * tick))
	p := f.newPresence(true, false)
	changed := (p.Flags^f.sentFlags)&urgentFlags != 0 || len(p.CutServices) != f.sentCuts
	f.sentFlags, f.sentCuts = p.Flags, len(p.CutServices)
	for i, slot := range slots {
		if s := f.session(slot); s != nil && (changed || (i+f.ticks)%interval == 0) {
			s.SendControl(vmwire.KindPresence, p)
		}
	}
	if f.ticks%min(2*interval, maxRemotePresenceTicks) == 0 {
		f.sendRemotePresences()
	}
	if f.ticks%vmListTicks == 0 {
		f.sendVMLists()
	}
}

// urgentFlags are the flags whose change is sent to all VMs of the region at once.
const urgentFlags = vmwire.FlagReady | vmwire.FlagLeaving

// sendRemotePresences sends a presence to each connected VM of another region.
func (f *Fleet) sendRemotePresences() {
	p := f.newPresence(false, false)
	for _, slot := range f.connectedSlots() {
		if s := f.session(slot); s != nil && f.remote(s) {
			s.SendControl(vmwire.KindPresence, p)
		}
	}
}

// connectedSlots returns the slots of the VMs with a session.
func (f *Fleet) connectedSlots() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	slots := make([]string, 0, len(f.sessions))
	for slot := range f.sessions {
		slots = append(slots, slot)
	}
	return slots
}

// sendFullPresence sends a full presence with the list of known VMs: all of them, or a part of each region.
func (f *Fleet) sendFullPresence(s *vm.Session, allVMs bool) {
	p := f.newPresence(!f.remote(s), true)
	p.VMs = f.knownVMs(f.Now())
	if !allVMs {
		p.VMs = f.listedVMs(p.VMs)
	}
	s.SendControl(vmwire.KindPresence, p)
}

func (f *Fleet) newPresence(sameRegion, full bool) *vmwire.Presence {
	now := f.Now()
	interval := time.Duration(f.presenceInterval.Load())
	p := &vmwire.Presence{IntervalMillis: int32(interval.Milliseconds())}
	if full {
		p.Address, p.CallerAddress = f.Address, f.CallerAddress
	}
	f.FillPresence(now, p, sameRegion, full)
	f.mu.Lock()
	f.ownPresence = p
	f.mu.Unlock()
	return p
}

// ownMember returns this VM as its latest presence describes it, and whether it is ready and not leaving.
func (f *Fleet) ownMember() (Member, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := Member{Identity: f.Endpoint.Self}
	if f.ownPresence != nil {
		m.apply(f.Now(), f.ownPresence)
	}
	return m, m.Ready && !m.Leaving
}

// handleControl handles the control messages of all sessions.
func (f *Fleet) handleControl(s *vm.Session, frame vmwire.Frame) {
	switch frame.Kind {
	case vmwire.KindPresence:
		f.handlePresence(s, frame)
	case vmwire.KindUpstreamSums:
		f.handleSums(s, frame)
	default:
		if f.OnControl != nil {
			f.OnControl(s, frame)
		}
	}
}

// handleSums applies the sums of a collector. A VM that collects itself knows the load of each VM.
func (f *Fleet) handleSums(s *vm.Session, frame vmwire.Frame) {
	var sums vmwire.UpstreamSums
	if err := vm.Decode(frame, &sums); err != nil {
		f.closeInvalid(s, err)
		return
	}
	if f.remote(s) {
		return
	}
	now := f.Now()
	f.mu.Lock()
	f.lastSumsAt = now
	f.mu.Unlock()
	if !f.collecting.Load() {
		f.OnSums(now, &sums)
	}
}

// closeInvalid closes a session over which an invalid message came.
func (f *Fleet) closeInvalid(s *vm.Session, err error) {
	event.FrameInvalid.Log(f.Log, "peer", s.Peer.Slot, "error", err.Error())
	s.Close(err)
}

func (f *Fleet) handlePresence(s *vm.Session, frame vmwire.Frame) {
	var p vmwire.Presence
	if err := vm.Decode(frame, &p); err != nil {
		f.closeInvalid(s, err)
		return
	}
	now := f.Now()
	m, current := f.applyPresence(now, s, &p)
	if !current {
		go s.Close(errReplaced)
		return
	}
	f.addCandidates(now, p.VMs)
	f.OnPresence(now, m, &p)
}

// applyPresence updates the member and the dial candidate of a session's VM. It reports false if a newer
// incarnation of the VM is alive.
func (f *Fleet) applyPresence(now time.Time, s *vm.Session, p *vmwire.Presence) (Member, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[s.Peer.Slot]
	if m == nil || m.Incarnation != s.Peer.Incarnation {
		if m != nil && m.StartedAt.After(s.Peer.StartedAt) && m.Alive(now) {
			return Member{}, false
		}
		m = &Member{Identity: s.Peer, remote: f.remote(s)}
		f.members[s.Peer.Slot] = m
		event.MemberReturned.Log(f.Log, "peer", s.Peer.Slot, "region", s.Peer.Region)
	}
	m.apply(now, p)
	f.recordProcess(now, s.Peer)
	if c := f.candidates[m.Address]; c != nil {
		c.slot, c.region, c.lastSeenAt = s.Peer.Slot, s.Peer.Region, now
	} else if m.Address != "" {
		f.candidates[m.Address] = &candidate{slot: s.Peer.Slot, region: s.Peer.Region, lastSeenAt: now, nextDialAt: now.Add(redialInterval)}
	}
	return *m, true
}
