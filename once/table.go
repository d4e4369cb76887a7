package once

import (
	"container/heap"
	"log/slog"
	"sync"
	"time"

	"parsleyhatch/event"
)

// Outcome is the result of Begin for a call.
type Outcome uint8

// Outcomes of Begin.
const (
	// Run: the caller of Begin must run the call and end it with Finish, Abandon or FinishUnknown.
	Run Outcome = iota + 1
	// Replay: the call has ended; Result returns its recorded outcome.
	Replay
	// Wait: another request is running the call; wait for Done, then use Result.
	Wait
	// KeyReused: the key was used with another body. The call with this body was not run.
	KeyReused
	// OwnerGone: the ticket was issued by another incarnation of this slot.
	OwnerGone
	// WrongOwner: the ticket was issued by another slot.
	WrongOwner
	// PredecessorUnknown: this incarnation cannot know yet which calls its predecessor ran.
	PredecessorUnknown
	// NoLease: this incarnation holds no valid lease as the newest of its slot, or it has exported its
	// records to a successor.
	NoLease
	// KeyMoved: another slot owns the opaque key, or may have owned it within the horizon.
	KeyMoved
	// TicketExpired: the ticket is older than its lifetime, and its record may have been removed.
	TicketExpired
	// BadTicket: the ticket was not issued for this workspace. No VM runs the call.
	BadTicket
	// BadKey: the key is empty or too long. No VM runs the call.
	BadKey
	// TableFull: the table has reached its maximum number of records.
	TableFull
	// Sealed: this VM is stopping and starts no more calls.
	Sealed
)

// Ran reports to the caller whether a call ran.
type Ran string

// Values of Ran in the callers' protocol.
const (
	NotRun     Ran = "notRun"
	HasRun     Ran = "ran"
	UnknownRan Ran = "unknown"
)

// Ran returns the value that a refusal with this outcome reports. It returns NotRun only if no VM has sent a byte
// of the call and none will be sent because of this request.
func (o Outcome) Ran() Ran {
	switch o {
	case KeyReused, BadTicket, BadKey, TableFull, Sealed:
		return NotRun
	}
	return UnknownRan
}

// Limits bound a table.
type Limits struct {
	// TicketLifetime is how long a ticket may be used after it was issued.
	TicketLifetime time.Duration
	// Horizon is how long callers may use an opaque key after its first use.
	Horizon time.Duration
	// SafetyMargin is added to the horizon. It covers requests in flight when the horizon ends, the lease of a
	// replaced incarnation, and the time until all VMs have accepted a new configuration.
	SafetyMargin time.Duration
	// Lease is how long a lease is valid after RenewLease. It must be well below SafetyMargin.
	Lease time.Duration
	// Records is the maximum number of records.
	Records int
	// AnswerBytes and TotalBytes are the maximum sizes of one stored answer and of all stored answers, in bytes.
	AnswerBytes int
	TotalBytes  int
	// KeyBytes is the maximum length of an accepted key, in bytes.
	KeyBytes int
	// FormerRosters and MovedWorkspaces are the maximum numbers of recorded former rosters and moved workspaces.
	FormerRosters   int
	MovedWorkspaces int
}

// DefaultLimits returns the limits used in production. AnswerBytes is 64 KiB, so that an answer fits into one
// handover frame.
func DefaultLimits() Limits {
	return Limits{
		TicketLifetime:  time.Hour,
		Horizon:         10 * time.Minute,
		SafetyMargin:    time.Minute,
		Lease:           3 * time.Second,
		Records:         100_000,
		AnswerBytes:     64 << 10,
		TotalBytes:      64 << 20,
		KeyBytes:        512,
		FormerRosters:   16,
		MovedWorkspaces: 1000,
	}
}

// opaqueKeyRetention is how long records of opaque keys are kept, and how long opaque keys are refused after their
// owner may have changed.
func (l Limits) opaqueKeyRetention() time.Duration { return l.Horizon + l.SafetyMargin }

// Table holds the records of one incarnation. It is safe for concurrent use.
type Table struct {
	// Log receives events. If it is nil, events are discarded. It must be set before the table is used.
	Log *slog.Logger

	slot        string
	incarnation uint64
	startedAt   time.Time
	limits      Limits
	signer      *Signer

	mu         sync.Mutex
	records    map[Key]*Record
	expiryHeap expiryHeap
	// bytes is the total size of the stored answers, at most limits.TotalBytes.
	bytes    int
	sealed   bool
	sealedAt time.Time
	// exported is true after Export returned frames. A successor may have run opaque keys since then.
	exported bool
	// predecessorImported is true if the predecessor's records were imported.
	predecessorImported bool
	leaseRenewedAt      time.Time
	leaseRenewed        bool
	roster              Roster
	formerRosters       []formerRoster
	movedWorkspaces     map[string]time.Time
	allMovedAt          time.Time
	allMoved            bool
}

// New returns the table of an incarnation that started at startedAt.
func New(slot string, incarnation uint64, startedAt time.Time, signer *Signer, limits Limits) *Table {
	return &Table{
		slot:            slot,
		incarnation:     incarnation,
		startedAt:       startedAt,
		limits:          limits,
		signer:          signer,
		records:         map[Key]*Record{},
		movedWorkspaces: map[string]time.Time{},
	}
}

// IssueTicket returns a new ticket, whose call only this incarnation may run.
func (t *Table) IssueTicket(now time.Time, workspace string) string {
	ticket := Ticket{Slot: t.slot, Incarnation: t.incarnation, IssuedAt: now.Sub(t.startedAt)}
	return t.signer.Issue(ticket, workspace)
}

// RenewLease renews the lease that allows this incarnation to run opaque keys. It is called when a VM of the region has
// confirmed that it knows no newer incarnation of this slot and no newer configuration than this VM, or when the
// region has no other VM. The time is when the confirmed heartbeat was sent. Without the lease, two incarnations,
// or the owners under two rosters, could both run an opaque key, for example after one of them was paused for
// longer than the horizon.
func (t *Table) RenewLease(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaseRenewedAt = now
	t.leaseRenewed = true
}

// Begin decides whether this VM may run a call. The record is nil unless the outcome is Run, Replay or Wait.
func (t *Table) Begin(now time.Time, k Key, body Digest) (Outcome, *Record) {
	if k.Key == "" || len(k.Key) > t.limits.KeyBytes {
		return BadKey, nil
	}
	if IsTicket(k.Key) {
		return t.beginTicket(now, k, body)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if outcome, r := t.lookUp(k, body); outcome != 0 {
		return outcome, r
	}
	if outcome := t.opaqueRefusal(now, k); outcome != 0 {
		return outcome, nil
	}
	return t.claim(now, k, body, now.Add(t.limits.opaqueKeyRetention()))
}

// beginTicket is Begin for a ticket. It verifies the signature before it locks the mutex.
func (t *Table) beginTicket(now time.Time, k Key, body Digest) (Outcome, *Record) {
	ticket, err := t.signer.Parse(k.Key, k.Workspace)
	if err != nil {
		return BadTicket, nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if outcome, r := t.lookUp(k, body); outcome != 0 {
		return outcome, r
	}
	if ticket.Slot != t.slot {
		return WrongOwner, nil
	}
	if ticket.Incarnation != t.incarnation {
		return OwnerGone, nil
	}
	expires := t.startedAt.Add(ticket.IssuedAt + t.limits.TicketLifetime)
	if !now.Before(expires) {
		return TicketExpired, nil
	}
	return t.claim(now, k, body, expires)
}

// lookUp returns the outcome for a key that has a record, or zero if there is none.
func (t *Table) lookUp(k Key, body Digest) (Outcome, *Record) {
	r, ok := t.records[k]
	switch {
	case !ok:
		return 0, nil
	case r.body != body:
		return KeyReused, nil
	case r.state == Claimed || r.state == Sent:
		return Wait, r
	}
	return Replay, r
}

// opaqueRefusal returns why this incarnation must not run an opaque key without a record, or zero if it may.
func (t *Table) opaqueRefusal(now time.Time, k Key) Outcome {
	switch {
	case !t.predecessorResolved(now):
		return PredecessorUnknown
	case t.exported || !t.leaseValid(now):
		return NoLease
	case t.keyMoved(now, k):
		return KeyMoved
	}
	return 0
}

// predecessorResolved reports whether the predecessor's calls were imported or are too old for their keys to be
// used again.
func (t *Table) predecessorResolved(now time.Time) bool {
	return t.predecessorImported || now.Sub(t.startedAt) >= t.limits.opaqueKeyRetention()
}

// leaseValid reports whether the last RenewLease is recent enough to run opaque keys.
func (t *Table) leaseValid(now time.Time) bool {
	return t.leaseRenewed && now.Sub(t.leaseRenewedAt) < t.limits.Lease
}

// claim adds a record in state Claimed and returns Run, unless the table is sealed or full.
func (t *Table) claim(now time.Time, k Key, body Digest, expires time.Time) (Outcome, *Record) {
	if t.sealed {
		return Sealed, nil
	}
	if len(t.records) >= t.limits.Records {
		event.OnceFull.Log(t.Log, "workspace", k.Workspace, "route", k.Route)
		return TableFull, nil
	}
	r := &Record{
		key:         k,
		body:        body,
		state:       Claimed,
		done:        make(chan struct{}),
		firstUsedAt: now,
		expires:     expires,
		opaque:      !IsTicket(k.Key),
	}
	t.add(r)
	return Run, r
}

func (t *Table) add(r *Record) {
	t.records[r.key] = r
	heap.Push(&t.expiryHeap, r)
}

// remove deletes a record and subtracts the size of its answer.
func (t *Table) remove(r *Record) {
	delete(t.records, r.key)
	heap.Remove(&t.expiryHeap, r.heapIndex)
	t.addAnswerBytes(-r.answer.bytes())
}

// addAnswerBytes adds to the total size of the stored answers; bytes is negative when an answer is removed.
func (t *Table) addAnswerBytes(bytes int) {
	t.bytes += bytes
	if t.bytes < 0 || t.bytes > t.limits.TotalBytes {
		event.FailInvariant(t.Log, event.BrokenOnceSize, "bytes", t.bytes)
	}
}

// Tick removes expired records. Records of calls that are still running are kept.
func (t *Table) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeExpiredMoves(now)
	for len(t.expiryHeap) > 0 && !now.Before(t.expiryHeap[0].expires) {
		r := t.expiryHeap[0]
		if r.state == Claimed || r.state == Sent {
			r.expires = now.Add(t.limits.SafetyMargin)
			heap.Fix(&t.expiryHeap, 0)
			continue
		}
		t.remove(r)
	}
}

// Size returns the number of records and the total size of the stored answers, in bytes.
func (t *Table) Size() (records, bytes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records), t.bytes
}
