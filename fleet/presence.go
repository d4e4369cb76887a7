package fleet

import (
	"math/rand/v2"
	"time"

	"parsleyhatch/event"
	"parsleyhatch/vm"
	"parsleyhatch/vmwire"
)

// Announce sends a presence to all VMs at once.
func (f *Fleet) Announce() { f.send(true, true, false) }

// announce sends the presences that are due. The larger the region, the fewer.
func (f *Fleet) announce() {
	near := 0
	for _, s := range f.allSessions() {
		if !f.far(s) {
			near++
		}
	}
	every := 1
	if near > smallRegion {
		every = 2
	}
	f.send(f.ticks%every == 0, f.ticks%(2*every) == 0, f.ticks%rowsEvery == 0)
}

// send sends presences within the region, to other regions, and the list of VMs to a few.
func (f *Fleet) send(near, far, withRows bool) {
	slots := f.connected()
	nearPresence, farPresence := f.presence(true, false), f.presence(false, false)
	for _, slot := range slots {
		s := f.session(slot)
		switch {
		case s == nil:
		case f.far(s) && far:
			s.Control(vmwire.KindPresence, farPresence)
		case !f.far(s) && near:
			s.Control(vmwire.KindPresence, nearPresence)
		}
	}
	if !withRows {
		return
	}
	rand.Shuffle(len(slots), func(i, j int) { slots[i], slots[j] = slots[j], slots[i] })
	for _, slot := range slots[:min(rowReceivers, len(slots))] {
		if s := f.session(slot); s != nil {
			f.announceTo(s)
		}
	}
}

// connected returns the names of the VMs with a session.
func (f *Fleet) connected() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	slots := make([]string, 0, len(f.sessions))
	for slot := range f.sessions {
		slots = append(slots, slot)
	}
	return slots
}

// announceTo sends a presence with all VMs that are known.
func (f *Fleet) announceTo(s *vm.Session) {
	p := f.presence(!f.far(s), true)
	p.VMs = f.rows(f.Now())
	s.Control(vmwire.KindPresence, p)
}

func (f *Fleet) presence(sameRegion, whole bool) *vmwire.Presence {
	now := f.Now()
	p := &vmwire.Presence{Address: f.Address, CallerAddress: f.CallerAddress}
	f.Describe(now, p, sameRegion, whole)
	return p
}

func (f *Fleet) rows(now time.Time) []vmwire.VMRow {
	f.mu.Lock()
	defer f.mu.Unlock()
	rows := make([]vmwire.VMRow, 0, len(f.candidates))
	for address, c := range f.candidates {
		if age := now.Sub(c.seenAt); age < rowLife && c.slot != "" {
			rows = append(rows, vmwire.VMRow{Slot: c.slot, Region: c.region, Address: address, AgeMillis: age.Milliseconds()})
		}
	}
	return rows
}

// control receives the control messages of all sessions.
func (f *Fleet) control(s *vm.Session, frame vmwire.Frame) {
	if frame.Kind != vmwire.KindPresence {
		if f.OnControl != nil {
			f.OnControl(s, frame)
		}
		return
	}
	var p vmwire.Presence
	if err := vm.Decode(frame, &p); err != nil {
		event.FrameInvalid.Log(f.Log, "vm", s.Peer.Slot, "error", err.Error())
		s.Close(err)
		return
	}
	now := f.Now()
	m, current := f.take(now, s, &p)
	if !current {
		go s.Close(errReplaced)
		return
	}
	f.learn(now, p.VMs)
	f.OnPresence(now, m, &p)
}

// take applies a presence to its member. It reports false if a newer run of the VM is known.
func (f *Fleet) take(now time.Time, s *vm.Session, p *vmwire.Presence) (Member, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[s.Peer.Slot]
	if m == nil || m.Incarnation != s.Peer.Incarnation {
		if m != nil && m.StartedAt.After(s.Peer.StartedAt) && m.Alive(now) {
			return Member{}, false
		}
		m = &Member{Identity: s.Peer, far: f.far(s)}
		f.members[s.Peer.Slot] = m
		event.MemberReturned.Log(f.Log, "vm", s.Peer.Slot, "region", s.Peer.Region)
	}
	m.apply(now, p)
	if c := f.candidates[p.Address]; c != nil {
		c.slot, c.region, c.seenAt = s.Peer.Slot, s.Peer.Region, now
	} else {
		f.candidates[p.Address] = &candidate{slot: s.Peer.Slot, region: s.Peer.Region, seenAt: now, dialAt: now.Add(dialPause)}
	}
	return *m, true
}

// learn adds VMs that another VM knows.
func (f *Fleet) learn(now time.Time, rows []vmwire.VMRow) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, row := range rows {
		age := time.Duration(row.AgeMillis) * time.Millisecond
		if row.Slot == f.Endpoint.Self.Slot || age > rowLife {
			continue
		}
		c := f.candidates[row.Address]
		if c == nil {
			c = &candidate{slot: row.Slot, region: row.Region}
			if row.Slot < f.Endpoint.Self.Slot {
				c.dialAt = now.Add(patience)
			}
			f.candidates[row.Address] = c
		}
		if at := now.Add(-age); at.After(c.seenAt) {
			c.seenAt = at
		}
	}
}
