// Package member keeps the table of the roster's VMs: which incarnation occupies a slot, whether it
// lives, and which VM has which role. It also decides for which time this VM has authority over
// its slot's tokens.
package member

import (
	"cmp"
	"slices"
	"time"

	"parsleyhatch/config"
)

// Durations of the protocol.
const (
	// Interval is the time between two heartbeats to a VM.
	Interval = 500 * time.Millisecond
	// DeadAfter is the time without a heartbeat after which a VM counts as dead.
	DeadAfter = 1500 * time.Millisecond
	// relayedDeadAfter applies to VMs heard of through others, which adds one heartbeat interval.
	relayedDeadAfter = DeadAfter + Interval
	// abroadRounds is the number of heartbeat rounds of which one goes to other regions: their VMs
	// only serve as entries there, and summaries tell of them.
	abroadRounds = 4
	// AbroadDeadAfter is DeadAfter for VMs of other regions.
	AbroadDeadAfter = 6 * time.Second
	// PauseGap is the longest gap between ticks that is not a pause.
	PauseGap = time.Second
)

// Incarnation is one run of the VM process of a slot.
type Incarnation struct {
	// Number is random and not zero for a known incarnation.
	Number uint64
	// StartedAtUnixMilli is the start of the process, in milliseconds.
	StartedAtUnixMilli int64
}

// Newer reports whether i started after o; ties go to the larger number.
func (i Incarnation) Newer(o Incarnation) bool {
	return cmp.Or(cmp.Compare(i.StartedAtUnixMilli, o.StartedAtUnixMilli), cmp.Compare(i.Number, o.Number)) > 0
}

// Heartbeat is what a VM tells another one.
type Heartbeat struct {
	Slot        string
	Incarnation Incarnation
	// Sequence is returned in the acknowledgement.
	Sequence uint64
	Leaving  bool
	Ready    bool
	// Views are other VMs of the sender's region; empty between regions.
	Views []View
}

// View is what the sender of a heartbeat knows about another VM.
type View struct {
	Slot        string
	Incarnation Incarnation
	// Age is the time since the VM was last known to live.
	Age     time.Duration
	Leaving bool
	Ready   bool
}

// Outcome is the result of a received heartbeat.
type Outcome int

// Outcomes of Heard.
const (
	// Accepted means that the sender is the newest known incarnation of its slot.
	Accepted Outcome = iota
	// Started means that the sender is a new incarnation.
	Started
	// Outdated means that a newer incarnation of the sender's slot is known.
	Outdated
	// Unknown means that the sender's slot is not in the roster.
	Unknown
)

// Listed is an entry of the platform's list of VMs, which lags.
type Listed struct {
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
	// ListedLive and ListedLeaving repeat the platform's list. They are hints.
	ListedLive    bool
	ListedLeaving bool
	// heard and relayed are the latest times at which the incarnation is known to have lived, by
	// its own heartbeat and by those of others.
	heard, relayed time.Time
	// told says that the incarnation has acknowledged a heartbeat of this VM.
	told bool
	// confirms says that the incarnation's latest acknowledgement confirmed this VM.
	confirms bool
	// wasAlive is the liveness at the last tick.
	wasAlive bool
}

// Table is the state of all slots of the roster, owned by the control loop.
type Table struct {
	self        string
	incarnation Incarnation
	leaving     bool
	ready       bool
	rows        map[string]*Row
	// slots are the sorted names of rows, so that passes have one order.
	slots    []string
	lastTick time.Time
	// hurry is set until the next round but one.
	hurry, hurried bool
	authority
}

// New returns a table for the incarnation of the slot self, started now.
func New(now time.Time, self string, incarnation Incarnation) *Table {
	t := &Table{self: self, incarnation: incarnation, rows: map[string]*Row{}, lastTick: now}
	t.authority.started = now
	return t
}

// SetRoster replaces the slots. The state of those that stay is kept.
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
	t.refreshSelf()
}

// SetState sets the flags that this VM's heartbeats carry.
func (t *Table) SetState(ready, leaving bool) {
	t.ready, t.leaving = ready, leaving
	t.refreshSelf()
}

// SetList records the platform's list of VMs. Slots that it does not name count as not live.
func (t *Table) SetList(list []Listed) {
	t.listed = true
	for _, r := range t.rows {
		r.ListedLive, r.ListedLeaving = false, false
	}
	for _, l := range list {
		if r := t.rows[l.Slot]; r != nil {
			r.ListedLive, r.ListedLeaving = l.Live, l.Leaving
		}
	}
}

// Heard records a heartbeat, which may show that this VM is superseded.
func (t *Table) Heard(now time.Time, h Heartbeat) Outcome {
	r := t.rows[h.Slot]
	if r == nil {
		return Unknown
	}
	if h.Slot == t.self { // another incarnation of this VM's own slot
		t.learnOwn(h.Incarnation)
		return Outdated
	}
	for _, v := range h.Views {
		t.relay(now, v)
	}
	if r.Incarnation.Newer(h.Incarnation) {
		return Outdated
	}
	outcome := Accepted
	if h.Incarnation.Newer(r.Incarnation) {
		r.replace(h.Incarnation)
		outcome = Started
	}
	r.heard = now
	r.Leaving, r.Ready = h.Leaving, h.Ready
	return outcome
}

// relay records what another VM knows about a slot. Ages add up over the hops, so that a dead VM
// is not kept alive by VMs that repeat each other.
func (t *Table) relay(now time.Time, v View) {
	r := t.rows[v.Slot]
	if r == nil || v.Age < 0 || v.Incarnation.Number == 0 {
		return
	}
	if v.Slot == t.self {
		t.learnOwn(v.Incarnation)
		return
	}
	if r.Incarnation.Newer(v.Incarnation) {
		return
	}
	if v.Incarnation.Newer(r.Incarnation) {
		r.replace(v.Incarnation)
	}
	if at := now.Add(-v.Age); at.After(r.relayed) {
		r.relayed = at
		if at.After(r.heard) {
			r.Leaving, r.Ready = v.Leaving, v.Ready
		}
	}
}

// replace starts the state of a newer incarnation.
func (r *Row) replace(i Incarnation) {
	r.Incarnation = i
	r.heard, r.relayed = time.Time{}, time.Time{}
	r.Leaving, r.Ready = false, false
	r.told, r.confirms = false, false
}

// refreshSelf keeps this VM's own row.
func (t *Table) refreshSelf() {
	if r := t.rows[t.self]; r != nil {
		r.Incarnation, r.Ready, r.Leaving = t.incarnation, t.ready, t.leaving
	}
}

// Changes is what a tick found.
type Changes struct {
	// Paused is the gap since the last tick if it was a pause, else zero. The owner of tokens
	// discards them.
	Paused time.Duration
	// Died and Returned are the slots whose liveness changed, sorted.
	Died, Returned []string
	// Lease is the confirmed interval of the only VM of a region, else zero.
	Lease Lease
}

// Tick updates liveness and detects a pause of this process.
func (t *Table) Tick(now time.Time) Changes {
	var c Changes
	if gap := now.Sub(t.lastTick); gap > PauseGap {
		c.Paused = gap
		t.paused(now, gap)
	}
	t.lastTick = now
	for _, slot := range t.slots {
		alive := t.Alive(now, slot)
		switch r := t.rows[slot]; {
		case r.wasAlive && !alive:
			c.Died = append(c.Died, slot)
		case !r.wasAlive && alive:
			c.Returned = append(c.Returned, slot)
		}
		t.rows[slot].wasAlive = alive
	}
	c.Lease = t.soleLease(now)
	return c
}

// paused restarts the authority, and shifts the liveness of the others, whose heartbeats may wait
// unread in this process.
func (t *Table) paused(now time.Time, gap time.Duration) {
	for _, r := range t.rows {
		r.told = false
		if !r.heard.IsZero() {
			r.heard = earlier(now, r.heard.Add(gap))
		}
		if !r.relayed.IsZero() {
			r.relayed = earlier(now, r.relayed.Add(gap))
		}
	}
	t.restart(now)
}

// Alive reports whether a slot's newest incarnation lives. This VM itself always does.
func (t *Table) Alive(now time.Time, slot string) bool {
	r := t.rows[slot]
	if r == nil {
		return false
	}
	if slot == t.self {
		return true
	}
	if r.Region != t.region() {
		return now.Sub(r.heard) < AbroadDeadAfter
	}
	return now.Sub(r.heard) < DeadAfter || now.Sub(r.relayed) < relayedDeadAfter
}

// Gone says that the session with a VM ended. One that was leaving has stopped, so it need not be
// waited for.
func (t *Table) Gone(slot string, number uint64) {
	r := t.rows[slot]
	if r != nil && r.Leaving && r.Incarnation.Number == number {
		r.heard, r.relayed = time.Time{}, time.Time{}
	}
}

// Hurry makes the next round of heartbeats go to other regions, too.
func (t *Table) Hurry() { t.hurry = true }

// Row returns a copy of the state of a slot.
func (t *Table) Row(slot string) (Row, bool) {
	r := t.rows[slot]
	if r == nil {
		return Row{}, false
	}
	return *r, true
}

// Live returns the sorted live slots of a region.
func (t *Table) Live(now time.Time, region string) []string {
	return t.find(func(r *Row) bool { return r.Region == region && t.Alive(now, r.Slot) })
}

// find returns the sorted names of the rows that match.
func (t *Table) find(match func(*Row) bool) []string {
	var found []string
	for _, slot := range t.slots {
		if match(t.rows[slot]) {
			found = append(found, slot)
		}
	}
	return found
}

// region returns the region of this VM, or nothing if it is not in the roster.
func (t *Table) region() string {
	if r := t.rows[t.self]; r != nil {
		return r.Region
	}
	return ""
}
