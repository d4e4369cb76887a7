package member

import (
	"time"

	"parsleyhatch/event"
)

const (
	// LeaseTime is the length of an interval that an acknowledged heartbeat confirms, from its
	// sending. Three lost heartbeats in a row do not interrupt it.
	LeaseTime = 2 * time.Second
	// SuccessorDelay is the time from the announcement of an incarnation to its first interval.
	// The last interval of its predecessor ends LeaseTime after the announcement, and tokens that
	// the predecessor lent or asked for are void 1 s later.
	SuccessorDelay = 4 * time.Second
	// listWait is how long an incarnation waits for the platform's list before it takes VMs that
	// do not respond as not live. Otherwise no VM could replace another while the platform is down.
	listWait = 10 * time.Second
	// maxSent bounds the remembered heartbeats; older ones are past LeaseTime.
	maxSent = 8
)

// Lease is an interval for which this VM has authority over its slot's tokens. It is zero if
// nothing was confirmed.
type Lease struct {
	From, To time.Time
}

// Valid reports whether the lease is not zero.
func (l Lease) Valid() bool { return !l.To.IsZero() }

// Ack acknowledges a heartbeat.
type Ack struct {
	// Slot and Incarnation are of the VM that acknowledges.
	Slot        string
	Incarnation Incarnation
	Sequence    uint64
	// Newest is the newest incarnation that it knows of the slot that sent the heartbeat.
	Newest Incarnation
	// Confirms says that the VM has been in contact with its region long enough to know the
	// newest incarnations. A VM that has just started could confirm a superseded one.
	Confirms bool
}

// sentHeartbeat is the sending time of a sequence number.
type sentHeartbeat struct {
	sequence uint64
	at       time.Time
}

// authority is the part of the table that concerns this VM's slot.
type authority struct {
	// started is the start or the end of the last pause.
	started time.Time
	// announced is when the announcement was complete, zero before.
	announced  time.Time
	superseded bool
	// listed says that the platform's list was received.
	listed   bool
	sequence uint64
	// sent are the latest heartbeats, oldest first.
	sent []sentHeartbeat
}

// Next starts a round of heartbeats and returns its sequence number.
func (t *Table) Next(now time.Time) uint64 {
	t.sequence++
	t.hurry = t.hurry && !t.hurried
	t.hurried = t.hurry
	t.sent = append(t.sent, sentHeartbeat{sequence: t.sequence, at: now})
	if len(t.sent) > maxSent {
		t.sent = append(t.sent[:0], t.sent[1:]...)
	}
	return t.sequence
}

// Reply returns the acknowledgement of a heartbeat, after Heard. It returns false for a slot that
// is not in the roster.
func (t *Table) Reply(now time.Time, h Heartbeat) (Ack, bool) {
	r := t.rows[h.Slot]
	if r == nil {
		return Ack{}, false
	}
	a := Ack{Slot: t.self, Incarnation: t.incarnation, Sequence: h.Sequence, Newest: r.Incarnation}
	a.Confirms = !t.superseded && t.announcedBy(now) && now.Sub(t.announced) >= DeadAfter
	return a, true
}

// Acked records an acknowledgement and returns the interval that it confirms. An interval is
// confirmed only by another VM of the region, or of another region if this VM is alone in its own,
// that knows no newer incarnation of this slot, only for heartbeats sent since the last pause, and only once the announcement is SuccessorDelay old.
// An acknowledgement also shows that its sender lives.
func (t *Table) Acked(now time.Time, a Ack) Lease {
	if a.Newest != t.incarnation {
		t.learnOwn(a.Newest)
		return Lease{}
	}
	r := t.rows[a.Slot]
	if r == nil || a.Slot == t.self || r.Incarnation.Newer(a.Incarnation) {
		return Lease{}
	}
	at, ok := t.sentAt(a.Sequence)
	if !ok {
		return Lease{}
	}
	if a.Incarnation.Newer(r.Incarnation) {
		r.replace(a.Incarnation)
	}
	r.heard = later(r.heard, at)
	r.told = true
	r.confirms = a.Confirms
	if !a.Confirms || (r.Region != t.region() && !t.alone(now)) {
		return Lease{}
	}
	return t.lease(now, at)
}

// alone reports whether the platform's list shows no other VM of the region as live and none is
// heard that confirms others. A VM that has just started does not confirm yet. Then a VM of another region may confirm: its representatives hear from each incarnation
// that lives in this region.
func (t *Table) alone(now time.Time) bool {
	if !t.listed {
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

// sentAt returns when a heartbeat was sent.
func (t *Table) sentAt(sequence uint64) (time.Time, bool) {
	for _, s := range t.sent {
		if s.sequence == sequence {
			return s.at, true
		}
	}
	return time.Time{}, false
}

// soleLease confirms the time of the only VM of a region, which nobody else can.
func (t *Table) soleLease(now time.Time) Lease {
	if t.region() == "" || len(t.peers()) > 0 {
		return Lease{}
	}
	return t.lease(now, now)
}

// lease returns the interval that starts at the sending of a heartbeat.
func (t *Table) lease(now, sent time.Time) Lease {
	if now.Sub(t.lastTick) > PauseGap {
		return Lease{} // a pause that Tick has not seen yet
	}
	if t.superseded || !t.announcedBy(now) || sent.Before(t.announced.Add(SuccessorDelay)) {
		return Lease{}
	}
	if sent.After(now) || sent.Before(t.started) {
		event.Broken(nil, event.BrokenAuthority, "slot", t.self, "sent", sent, "now", now, "started", t.started)
	}
	to := sent.Add(LeaseTime)
	if !to.After(now) {
		return Lease{}
	}
	return Lease{From: sent, To: to}
}

// announcedBy reports whether all other VMs of the region know this incarnation, or are neither
// heard nor shown as live by the platform's list.
func (t *Table) announcedBy(now time.Time) bool {
	if !t.announced.IsZero() {
		return true
	}
	for _, slot := range t.peers() {
		r := t.rows[slot]
		if !r.told && (t.Alive(now, slot) || r.ListedLive || !t.maySkip(now)) {
			return false
		}
	}
	t.announced = now
	return true
}

// maySkip reports whether VMs that do not respond may be taken as not live.
func (t *Table) maySkip(now time.Time) bool {
	wait := listWait
	if t.listed {
		wait = DeadAfter // a VM that lives is heard within this time
	}
	return now.Sub(t.started) >= wait
}

// peers returns the other slots of the region.
func (t *Table) peers() []string {
	region := t.region()
	return t.find(func(r *Row) bool { return r.Region == region && r.Slot != t.self })
}

// learnOwn handles news about this VM's own slot.
func (t *Table) learnOwn(i Incarnation) {
	if i.Newer(t.incarnation) {
		t.superseded = true
	}
}

// Superseded reports whether a newer incarnation of this slot is known. It stays true.
func (t *Table) Superseded() bool { return t.superseded }

// restart begins the announcement again. Heartbeats sent before confirm nothing.
func (t *Table) restart(now time.Time) {
	t.started = now
	t.announced = time.Time{}
	t.sent = t.sent[:0]
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
