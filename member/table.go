// Package member keeps the table of the VMs in the roster: which incarnation occupies a slot,
// whether it is live, and which VM has which role. It also grants the leases during which this VM
// has authority over its slot's tokens.
package member

import (
	"cmp"
	"slices"
	"time"

	"parsleyhatch/config"
)

// Timing of the heartbeat protocol.
const (
	// HeartbeatInterval is the time between two heartbeats to a VM.
	HeartbeatInterval = 500 * time.Millisecond
	// HeartbeatTimeout is the time without a heartbeat after which a VM counts as dead.
	HeartbeatTimeout = 1500 * time.Millisecond
	// relayedHeartbeatTimeout is HeartbeatTimeout for VMs known through the heartbeats of others, which adds
	// one heartbeat interval.
	relayedHeartbeatTimeout = HeartbeatTimeout + HeartbeatInterval
	// crossRegionRounds is the number of heartbeat rounds of which one includes other regions. Their
	// VMs only serve as entry points, and region summaries also report them.
	crossRegionRounds = 4
	// CrossRegionHeartbeatTimeout is HeartbeatTimeout for VMs of other regions.
	CrossRegionHeartbeatTimeout = 6 * time.Second
	// MaxTickGap is the longest gap between two ticks that does not count as a pause of the process.
	MaxTickGap = time.Second
)

// Incarnation identifies one run of the VM process of a slot.
type Incarnation struct {
	// Number is random, and not zero for a known incarnation.
	Number uint64
	// StartedAtUnixMilli is the start of the process in Unix milliseconds.
	StartedAtUnixMilli int64
}

// Newer reports whether i started after o. If both started in the same millisecond, the larger
// number is newer.
func (i Incarnation) Newer(o Incarnation) bool {
	return cmp.Or(cmp.Compare(i.StartedAtUnixMilli, o.StartedAtUnixMilli), cmp.Compare(i.Number, o.Number)) > 0
}

// Heartbeat is a message by which a VM shows another one that it is live.
type Heartbeat struct {
	Slot        string
	Incarnation Incarnation
	// Sequence is returned in the acknowledgement.
	Sequence uint64
	Leaving  bool
	Ready    bool
	// Views describe other VMs of the sender's region. They are empty in heartbeats between regions.
	Views []View
}

// View is what the sender of a heartbeat knows about another VM.
type View struct {
	Slot        string
	Incarnation Incarnation
	// Age is the time since the VM was last known to be live.
	Age     time.Duration
	Leaving bool
	Ready   bool
}

// HeartbeatOutcome is the result of recording a heartbeat.
type HeartbeatOutcome int

// Outcomes of RecordHeartbeat.
const (
	// CurrentIncarnation means that the sender is the newest known incarnation of its slot.
	CurrentIncarnation HeartbeatOutcome = iota
	// NewerIncarnation means that the sender is a new incarnation.
	NewerIncarnation
	// OutdatedIncarnation means that a newer incarnation of the sender's slot is known.
	OutdatedIncarnation
	// UnknownSlot means that the sender's slot is not in the roster.
	UnknownSlot
)

// PlatformVM is an entry of the platform's list of VMs. The list lags behind the state of the VMs.
type PlatformVM struct {
	Slot    string
	Live    bool
	Leaving bool
}

// Row is the state of one slot.
type Row struct {
	Slot          string
	Region        string
	FailureDomain string
	// Incarnation is the newest known one; its number is zero if none is known.
	Incarnation Incarnation
	Leaving     bool
	Ready       bool
	// ListedLive and ListedLeaving are copied from the platform's list and are only hints.
	ListedLive    bool
	ListedLeaving bool
	// lastHeartbeat and lastRelayed are the latest times at which the incarnation is known to have
	// been live, from its own heartbeats and from those of other VMs.
	lastHeartbeat, lastRelayed time.Time
	// acknowledged reports whether the incarnation has acknowledged a heartbeat of this VM.
	acknowledged bool
	// confirms is Confirms of the incarnation's latest acknowledgement.
	confirms bool
	// aliveAtLastTick is the liveness at the last tick.
	aliveAtLastTick bool
}

// Table is the state of all slots in the roster. It is owned by the control loop.
type Table struct {
	self        string
	incarnation Incarnation
	leaving     bool
	ready       bool
	rows        map[string]*Row
	// slots are the sorted keys of rows, which give iterations a fixed order.
	slots    []string
	lastTick time.Time
	// crossRegionRequested makes the next round include other regions. crossRegionStarted is set once
	// that round has started; the round after it clears both.
	crossRegionRequested, crossRegionStarted bool
	leaseState
}

// New returns a table for an incarnation of the slot self that starts now.
func New(now time.Time, self string, incarnation Incarnation) *Table {
	t := &Table{self: self, incarnation: incarnation, rows: map[string]*Row{}, lastTick: now}
	t.leaseState.runningSince = now
	return t
}

// SetRoster replaces the slots. It keeps the state of slots that remain.
func (t *Table) SetRoster(vms []config.VM) {
	rows := make(map[string]*Row, len(vms))
	t.slots = t.slots[:0]
	for i := range vms {
		r := t.rows[vms[i].Name]
		if r == nil {
			r = &Row{Slot: vms[i].Name}
		}
		r.Region, r.FailureDomain = vms[i].Region, vms[i].FailureDomain
		rows[r.Slot] = r
		t.slots = append(t.slots, r.Slot)
	}
	t.rows = rows
	slices.Sort(t.slots)
	t.updateOwnRow()
}

// SetOwnState sets the flags that this VM's heartbeats carry.
func (t *Table) SetOwnState(ready, leaving bool) {
	t.ready, t.leaving = ready, leaving
	t.updateOwnRow()
}

// SetPlatformList records the platform's list of VMs. Slots that are not in the list count as not live.
func (t *Table) SetPlatformList(list []PlatformVM) {
	t.platformListReceived = true
	for _, r := range t.rows {
		r.ListedLive, r.ListedLeaving = false, false
	}
	for _, l := range list {
		if r := t.rows[l.Slot]; r != nil {
			r.ListedLive, r.ListedLeaving = l.Live, l.Leaving
		}
	}
}

// RecordHeartbeat records a received heartbeat. The heartbeat may show that this VM is superseded.
func (t *Table) RecordHeartbeat(now time.Time, h Heartbeat) HeartbeatOutcome {
	r := t.rows[h.Slot]
	if r == nil {
		return UnknownSlot
	}
	if h.Slot == t.self { // Sent by another incarnation of this VM's own slot.
		t.checkSuperseded(h.Incarnation)
		return OutdatedIncarnation
	}
	for _, v := range h.Views {
		t.mergeView(now, v)
	}
	if r.Incarnation.Newer(h.Incarnation) {
		return OutdatedIncarnation
	}
	outcome := CurrentIncarnation
	if h.Incarnation.Newer(r.Incarnation) {
		r.startIncarnation(h.Incarnation)
		outcome = NewerIncarnation
	}
	r.lastHeartbeat = now
	r.Leaving, r.Ready = h.Leaving, h.Ready
	return outcome
}

// mergeView records what another VM knows about a slot. Ages add up over the hops, so that VMs
// which relay each other's views do not keep a dead VM alive.
func (t *Table) mergeView(now time.Time, v View) {
	r := t.rows[v.Slot]
	if r == nil || v.Age < 0 || v.Incarnation.Number == 0 {
		return
	}
	if v.Slot == t.self {
		t.checkSuperseded(v.Incarnation)
		return
	}
	if r.Incarnation.Newer(v.Incarnation) {
		return
	}
	if v.Incarnation.Newer(r.Incarnation) {
		r.startIncarnation(v.Incarnation)
	}
	if at := now.Add(-v.Age); at.After(r.lastRelayed) {
		r.lastRelayed = at
		if at.After(r.lastHeartbeat) {
			r.Leaving, r.Ready = v.Leaving, v.Ready
		}
	}
}

// startIncarnation resets the row to the state of a newer incarnation.
func (r *Row) startIncarnation(i Incarnation) {
	r.Incarnation = i
	r.lastHeartbeat, r.lastRelayed = time.Time{}, time.Time{}
	r.Leaving, r.Ready = false, false
	r.acknowledged, r.confirms = false, false
}

// updateOwnRow copies this VM's state to its own row.
func (t *Table) updateOwnRow() {
	if r := t.rows[t.self]; r != nil {
		r.Incarnation, r.Ready, r.Leaving = t.incarnation, t.ready, t.leaving
	}
}

// Changes are the changes that a tick detected.
type Changes struct {
	// PauseDuration is the time since the last tick if that was a pause, else zero. The owner of tokens
	// discards them after a pause.
	PauseDuration time.Duration
	// NewlyDead and NewlyAlive are the sorted slots whose liveness changed.
	NewlyDead, NewlyAlive []string
	// Lease is the lease of the only VM of a region, else the zero value.
	Lease Lease
}

// Tick updates liveness and detects pauses of this process.
func (t *Table) Tick(now time.Time) Changes {
	var c Changes
	if gap := now.Sub(t.lastTick); gap > MaxTickGap {
		c.PauseDuration = gap
		t.handlePause(now, gap)
	}
	t.lastTick = now
	for _, slot := range t.slots {
		alive := t.Alive(now, slot)
		switch r := t.rows[slot]; {
		case r.aliveAtLastTick && !alive:
			c.NewlyDead = append(c.NewlyDead, slot)
		case !r.aliveAtLastTick && alive:
			c.NewlyAlive = append(c.NewlyAlive, slot)
		}
		t.rows[slot].aliveAtLastTick = alive
	}
	c.Lease = t.singleVMLease(now)
	return c
}

// handlePause restarts the announcement. It also adds the pause to the times at which other VMs
// were last known to be live, because their heartbeats may wait unread in this process.
func (t *Table) handlePause(now time.Time, gap time.Duration) {
	for _, r := range t.rows {
		r.acknowledged = false
		if !r.lastHeartbeat.IsZero() {
			r.lastHeartbeat = earlier(now, r.lastHeartbeat.Add(gap))
		}
		if !r.lastRelayed.IsZero() {
			r.lastRelayed = earlier(now, r.lastRelayed.Add(gap))
		}
	}
	t.restartAnnouncement(now)
}

// Alive reports whether a slot's newest incarnation is live. This VM itself always is.
func (t *Table) Alive(now time.Time, slot string) bool {
	r := t.rows[slot]
	if r == nil {
		return false
	}
	if slot == t.self {
		return true
	}
	if r.Region != t.region() {
		return now.Sub(r.lastHeartbeat) < CrossRegionHeartbeatTimeout
	}
	return now.Sub(r.lastHeartbeat) < HeartbeatTimeout || now.Sub(r.lastRelayed) < relayedHeartbeatTimeout
}

// SessionEnded records that the session with an incarnation ended. If it was leaving, it has stopped and
// counts as dead at once.
func (t *Table) SessionEnded(slot string, number uint64) {
	r := t.rows[slot]
	if r != nil && r.Leaving && r.Incarnation.Number == number {
		r.lastHeartbeat, r.lastRelayed = time.Time{}, time.Time{}
	}
}

// RequestCrossRegionRound makes the next round of heartbeats include other regions.
func (t *Table) RequestCrossRegionRound() { t.crossRegionRequested = true }

// Row returns a copy of the state of a slot, and false if the slot is not in the roster.
func (t *Table) Row(slot string) (Row, bool) {
	r := t.rows[slot]
	if r == nil {
		return Row{}, false
	}
	return *r, true
}

// LiveSlots returns the sorted live slots of a region.
func (t *Table) LiveSlots(now time.Time, region string) []string {
	return t.selectSlots(func(r *Row) bool { return r.Region == region && t.Alive(now, r.Slot) })
}

// selectSlots returns the sorted slots whose rows match.
func (t *Table) selectSlots(match func(*Row) bool) []string {
	var found []string
	for _, slot := range t.slots {
		if match(t.rows[slot]) {
			found = append(found, slot)
		}
	}
	return found
}

// region returns the region of this VM, or an empty string if the VM is not in the roster.
func (t *Table) region() string {
	if r := t.rows[t.self]; r != nil {
		return r.Region
	}
	return ""
}
