package member

import (
	"time"

	"parsleyhatch/event"
)

const (
	// LeaseDuration is the length of a lease, counted from the sending of the heartbeat that was
	// acknowledged. Three lost heartbeats in a row do not interrupt the lease.
	LeaseDuration = 2 * time.Second
	// SuccessorDelay is the time from the end of the announcement of an incarnation to its first
	// lease. The last lease of its predecessor ends LeaseDuration after the announcement, and tokens that
	// the predecessor lent or requested expire 1 s later.
	SuccessorDelay = 4 * time.Second
	// platformListTimeout is how long an incarnation waits for the platform's VM list before it treats
	// VMs that do not respond as not live. Without this limit no VM could replace another one while
	// the platform is down.
	platformListTimeout = 10 * time.Second
	// maxSentHeartbeats bounds the number of remembered heartbeats. Older ones were sent more than
	// LeaseDuration ago.
	maxSentHeartbeats = 8
)

// Lease is an interval during which this VM has authority over its slot's tokens. The zero value
// means that no lease was granted.
type Lease struct {
	From, To time.Time
}

// Valid reports whether the lease is not the zero value.
func (l Lease) Valid() bool { return !l.To.IsZero() }

// Ack acknowledges a heartbeat.
type Ack struct {
	// Slot and Incarnation are of the VM that acknowledges.
	Slot        string
	Incarnation Incarnation
	Sequence    uint64
	// NewestIncarnation is the newest incarnation that the acknowledging VM knows for the slot of the heartbeat's
	// sender.
	NewestIncarnation Incarnation
	// Confirms reports whether the acknowledging VM has been in contact with its region for long
	// enough to know the newest incarnations. A VM that has just started does not know them and could
	// confirm a superseded incarnation.
	Confirms bool
}

// sentHeartbeat records when the heartbeat with a sequence number was sent.
type sentHeartbeat struct {
	sequence uint64
	sentAt   time.Time
}

// leaseState is the part of the table that decides about leases on this VM's slot.
type leaseState struct {
	// runningSince is the start of the process or the end of its last pause.
	runningSince time.Time
	// announcedAt is when the announcement of this incarnation was complete. It is zero before.
	announcedAt time.Time
	superseded  bool
	// platformListReceived reports whether the platform's VM list has been received.
	platformListReceived bool
	sequence             uint64
	// sentHeartbeats are the latest heartbeats, oldest first.
	sentHeartbeats []sentHeartbeat
}

// StartRound starts a round of heartbeats and returns its sequence number.
func (t *Table) StartRound(now time.Time) uint64 {
	t.sequence++
	t.crossRegionRequested = t.crossRegionRequested && !t.crossRegionStarted
	t.crossRegionStarted = t.crossRegionRequested
	t.sentHeartbeats = append(t.sentHeartbeats, sentHeartbeat{sequence: t.sequence, sentAt: now})
	if len(t.sentHeartbeats) > maxSentHeartbeats {
		t.sentHeartbeats = append(t.sentHeartbeats[:0], t.sentHeartbeats[1:]...)
	}
	return t.sequence
}

// Acknowledge returns the acknowledgement of a heartbeat that was passed to RecordHeartbeat before. It returns
// false for a slot that is not in the roster.
func (t *Table) Acknowledge(now time.Time, h Heartbeat) (Ack, bool) {
	r := t.rows[h.Slot]
	if r == nil {
		return Ack{}, false
	}
	a := Ack{Slot: t.self, Incarnation: t.incarnation, Sequence: h.Sequence, NewestIncarnation: r.Incarnation}
	a.Confirms = !t.superseded && t.announcementComplete(now) && now.Sub(t.announcedAt) >= HeartbeatTimeout
	return a, true
}

// RecordAck records an acknowledgement and returns the lease that it grants. It grants a lease only if
// the acknowledging VM knows no newer incarnation of this slot, if the heartbeat was sent since the
// last pause, and if the announcement is SuccessorDelay old. The acknowledging VM must be in this
// VM's region, or in another region if this VM is alone in its own. An acknowledgement also shows
// that its sender is live.
func (t *Table) RecordAck(now time.Time, a Ack) Lease {
	if a.NewestIncarnation != t.incarnation {
		t.checkSuperseded(a.NewestIncarnation)
		return Lease{}
	}
	r := t.rows[a.Slot]
	if r == nil || a.Slot == t.self || r.Incarnation.Newer(a.Incarnation) {
		return Lease{}
	}
	at, ok := t.heartbeatSentAt(a.Sequence)
	if !ok {
		return Lease{}
	}
	if a.Incarnation.Newer(r.Incarnation) {
		r.startIncarnation(a.Incarnation)
	}
	r.lastHeartbeat = later(r.lastHeartbeat, at)
	r.acknowledged = true
	r.confirms = a.Confirms
	if !a.Confirms || (r.Region != t.region() && !t.aloneInRegion(now)) {
		return Lease{}
	}
	return t.leaseFrom(now, at)
}

// aloneInRegion reports whether the platform's list shows no other VM of the region as live and no
// live VM of the region confirms leases; one that has just started does not confirm yet. A VM of
// another region may then confirm, because the representatives of that region receive heartbeats
// from each live incarnation of this region.
func (t *Table) aloneInRegion(now time.Time) bool {
	if !t.platformListReceived {
		return false
	}
	for _, slot := range t.peers() {
		r := t.rows[slot]
		if r.ListedLive || r.confirms && t.Alive(now, slot) {
			return false
		}
	}
	return true
}

// heartbeatSentAt returns when the heartbeat with the sequence number was sent, and false if it is
// not remembered.
func (t *Table) heartbeatSentAt(sequence uint64) (time.Time, bool) {
	for _, s := range t.sentHeartbeats {
		if s.sequence == sequence {
			return s.sentAt, true
		}
	}
	return time.Time{}, false
}

// singleVMLease returns the lease of the only VM of a region, which no other VM can confirm.
func (t *Table) singleVMLease(now time.Time) Lease {
	if t.region() == "" || len(t.peers()) > 0 {
		return Lease{}
	}
	return t.leaseFrom(now, now)
}

// leaseFrom returns the lease that starts at the sending of a heartbeat, or the zero value.
func (t *Table) leaseFrom(now, sent time.Time) Lease {
	if now.Sub(t.lastTick) > MaxTickGap {
		return Lease{} // Tick has not detected this pause yet.
	}
	if t.superseded || !t.announcementComplete(now) || sent.Before(t.announcedAt.Add(SuccessorDelay)) {
		return Lease{}
	}
	if sent.After(now) || sent.Before(t.runningSince) {
		event.FailInvariant(nil, event.BrokenAuthority, "slot", t.self, "sent", sent, "now", now, "started", t.runningSince)
	}
	to := sent.Add(LeaseDuration)
	if !to.After(now) {
		return Lease{}
	}
	return Lease{From: sent, To: to}
}

// announcementComplete reports whether each other VM of the region has acknowledged this
// incarnation, or is neither heard from nor listed as live by the platform.
func (t *Table) announcementComplete(now time.Time) bool {
	if !t.announcedAt.IsZero() {
		return true
	}
	for _, slot := range t.peers() {
		r := t.rows[slot]
		if !r.acknowledged && (t.Alive(now, slot) || r.ListedLive || !t.maySkipSilentPeers(now)) {
			return false
		}
	}
	t.announcedAt = now
	return true
}

// maySkipSilentPeers reports whether VMs that do not respond may be treated as not live.
func (t *Table) maySkipSilentPeers(now time.Time) bool {
	wait := platformListTimeout
	if t.platformListReceived {
		wait = HeartbeatTimeout // A live VM sends a heartbeat within this time.
	}
	return now.Sub(t.runningSince) >= wait
}

// peers returns the other slots of the region.
func (t *Table) peers() []string {
	region := t.region()
	return t.selectSlots(func(r *Row) bool { return r.Region == region && r.Slot != t.self })
}

// checkSuperseded marks this VM as superseded if i is a newer incarnation of its slot.
func (t *Table) checkSuperseded(i Incarnation) {
	if i.Newer(t.incarnation) {
		t.superseded = true
	}
}

// Superseded reports whether a newer incarnation of this slot is known. It never becomes false
// again.
func (t *Table) Superseded() bool { return t.superseded }

// restartAnnouncement starts the announcement again. Heartbeats sent before grant no lease.
func (t *Table) restartAnnouncement(now time.Time) {
	t.runningSince = now
	t.announcedAt = time.Time{}
	t.sentHeartbeats = t.sentHeartbeats[:0]
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
