package fleet

import (
	"time"

	"parsleyhatch/event"
	"parsleyhatch/vm"
	"parsleyhatch/vmwire"
)

// Announce sends a presence to all VMs.
func (f *Fleet) Announce() {
	f.mu.Lock()
	f.ticks++
	withRows := f.ticks%rowsEvery == 0
	slots := make([]string, 0, len(f.sessions))
	for slot := range f.sessions {
		slots = append(slots, slot)
	}
	f.mu.Unlock()
	near := f.presence(true, withRows)
	far := f.presence(false, withRows)
	for _, slot := range slots {
		s := f.session(slot)
		switch {
		case s == nil:
		case s.Peer.Region == f.Endpoint.Self.Region:
			s.Control(vmwire.KindPresence, near)
		default:
			s.Control(vmwire.KindPresence, far)
		}
	}
}

// announceTo sends the first presence of a session, with all VMs that are known.
func (f *Fleet) announceTo(s *vm.Session) {
	s.Control(vmwire.KindPresence, f.presence(s.Peer.Region == f.Endpoint.Self.Region, true))
}

func (f *Fleet) presence(sameRegion, withRows bool) *vmwire.Presence {
	now := f.Now()
	p := &vmwire.Presence{Address: f.Address, CallerAddress: f.CallerAddress}
	f.Describe(now, p, sameRegion)
	if withRows {
		p.VMs = f.rows(now)
	}
	return p
}

func (f *Fleet) rows(now time.Time) []vmwire.VMRow {
	f.mu.Lock()
	defer f.mu.Unlock()
	rows := make([]vmwire.VMRow, 0, len(f.members))
	for slot, m := range f.members {
		if age := now.Sub(m.HeardAt); age < rowLife && !m.Leaving {
			rows = append(rows, vmwire.VMRow{Slot: slot, Region: m.Region, Address: m.Address, AgeMillis: age.Milliseconds()})
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
		m = &Member{Identity: s.Peer}
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
