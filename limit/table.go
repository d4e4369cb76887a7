// Package limit implements distributed token buckets that limit each workspace to a rate and a burst, in tokens.
//
// Each slot owns a share of a workspace's bucket. For a workspace with burst B and rate R over all
// slots, the tokens admitted in any window W stay within B + R*W, since at every slot
//
//	level + reserved + lent <= cap
//
// and the caps add up to at most B and the accrual rates to at most R. Reserved is capacity for tokens that were
// requested from other slots. Lent is capacity that stays occupied for tokens given to other slots that have no
// capacity for them.
package limit

import (
	"math"
	"slices"
	"sync"
	"time"

	"parsleyhatch/event"
)

// Durations of the protocol between slots.
const (
	// RequestLifetime is how long a request for tokens is pending, and how long borrowed tokens can be used. Both
	// start when the request is created, on the requester's clock.
	RequestLifetime = time.Second
	// lentDuration is how long the grantor keeps the capacity of lent tokens occupied. It exceeds
	// RequestLifetime so that clocks whose rates differ by up to 10% cannot free the capacity before the
	// borrowed tokens have expired.
	lentDuration = 1100 * time.Millisecond
	// IncreaseDelay delays the increase of a share. A slot may skip a configuration version that is replaced
	// within 3 s. A slot whose share increased in the skipped version may learn of the decrease up to 3 s after
	// that, and tokens in transfer expire 1 s later.
	IncreaseDelay = 7 * time.Second
	// MaxLease is the maximum length of an authorised interval. An incarnation spends tokens until MaxLease after
	// its last confirmation, and its borrowed tokens expire RequestLifetime later. Package member authorises a
	// successor 4 s after its announcement, so that the two never hold tokens at the same time.
	MaxLease = 2 * time.Second
)

// Table holds the buckets of one slot. It is safe for concurrent use.
type Table struct {
	self string

	mu      sync.Mutex
	buckets map[string]*bucket
	// latestTime is the latest time passed to any method. An earlier time that is passed later is replaced by it.
	latestTime time.Time
	// leaseFrom and leaseTo bound the interval in which tokens accrue and may be spent.
	leaseFrom, leaseTo time.Time
	// authorisedTime is the total authorised time up to latestTime. It never decreases.
	authorisedTime time.Duration
	// lastRequestID is the ID of the last request for tokens of this incarnation.
	lastRequestID uint64
	// lastBucketID is the ID of the last bucket. IDs are unique, so that a charge is never settled in a later
	// bucket of its workspace.
	lastBucketID    uint64
	pendingRequests map[uint64]*pendingRequest
	// expiring holds the buckets in which something expires. Tick visits only these.
	expiring map[string]*bucket
}

// Charge is the tokens charged for an admitted request. It must be passed to Settle or Refund exactly once.
type Charge struct {
	Workspace string
	Tokens    int64
	state     *chargeState
}

// chargeState is shared by the copies of a Charge, so that a second settlement is detected.
type chargeState struct {
	bucketID uint64
	seq      uint64
	settled  bool
}

// Decision is the result of Take.
type Decision struct {
	// Admitted is true if the tokens were charged. The other fields are then zero.
	Admitted bool
	// Missing is the number of tokens that this slot lacks. It is positive if the request is refused.
	Missing int64
	// Wait is the expected time until the missing tokens have accrued, or zero if it is unknown.
	Wait time.Duration
	// ExceedsBurst is true if the request exceeds the workspace's burst over all slots, or if the workspace is
	// unknown at this slot.
	ExceedsBurst bool
}

// New returns a table without shares for the slot self.
func New(self string) *Table {
	return &Table{self: self, buckets: map[string]*bucket{}, pendingRequests: map[uint64]*pendingRequest{}, expiring: map[string]*bucket{}}
}

// SetIncarnation sets the incarnation. Request IDs count up from this random number, so that they differ from those of
// earlier incarnations of the slot. It must be called once, before RequestTokens.
func (t *Table) SetIncarnation(now time.Time, incarnation uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advanceClock(now)
	t.lastRequestID = incarnation
}

// Configure replaces the shares. A decrease or removal takes effect immediately. An increase or a new share takes
// effect after IncreaseDelay, and a new bucket starts empty. Shares of other slots are ignored.
func (t *Table) Configure(now time.Time, shares []Share) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now = t.advanceClock(now)
	seen := make(map[string]bool, len(shares))
	for _, s := range shares {
		if s.Slot != t.self {
			continue
		}
		seen[s.Workspace] = true
		b := t.buckets[s.Workspace]
		if b == nil {
			t.lastBucketID++
			b = &bucket{id: t.lastBucketID, accruedUntil: t.authorisedTime}
			t.buckets[s.Workspace] = b
		}
		t.sync(b, now)
		b.setShare(now, s)
		if b.reserved > 0 && b.occupied() > b.cap {
			t.cancelRequests(b)
		}
		t.checkInvariant(b, s.Workspace)
	}
	for name, b := range t.buckets {
		if !seen[name] {
			t.cancelRequests(b)
			delete(t.buckets, name)
			delete(t.expiring, name)
		}
	}
}

// ExtendLease allows tokens to accrue and be spent until to. The interval [from, to) starts when a heartbeat was sent
// that has been acknowledged by a VM that knows no newer incarnation of the slot.
//
// Invariants: to-from is at most MaxLease, and from is not after now. Time before now that is not part of an earlier
// interval is not credited, and overlapping intervals count once. When the interval ends, accrual and spending stop,
// and the level is kept until DiscardTokens.
func (t *Table) ExtendLease(now, from, to time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now = t.advanceClock(now)
	if to.Before(from) || to.Sub(from) > MaxLease || from.After(now) {
		event.FailInvariant(nil, event.BrokenLease, "slot", t.self, "now", now, "from", from, "to", to)
	}
	if !t.leaseTo.After(now) {
		t.leaseFrom = now
	}
	if to.After(t.leaseTo) {
		t.leaseTo = to
	}
}

// DiscardTokens removes all tokens, pending requests and open charges, and ends the authorised interval. It is called
// after a pause and when a newer incarnation of the slot is known. The capacity of lent tokens stays occupied.
func (t *Table) DiscardTokens(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now = t.advanceClock(now)
	t.leaseTo = now
	for _, b := range t.buckets {
		t.sync(b, now)
		t.cancelRequests(b)
		t.lastBucketID++
		b.id = t.lastBucketID
		b.level, b.borrowed, b.segments = math.Min(b.level, 0), nil, nil
	}
}

// Take charges tokens, or returns how many are missing. The tokens borrowed by requests are used first, since they
// expire. Tokens that other requests borrowed are not used: those requests still wait to be admitted.
func (t *Table) Take(now time.Time, workspace string, tokens int64, requests ...uint64) (Charge, Decision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.take(t.advanceClock(now), workspace, tokens, requests)
}

// TakeGranted applies a grant like AcceptGrant and charges tokens like Take with the tokens of its request, in one
// step. Otherwise another request could take the granted part that is added to the level.
func (t *Table) TakeGranted(now time.Time, g TokenGrant, tokens int64, requests ...uint64) (Charge, Decision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now = t.advanceClock(now)
	t.acceptGrant(now, g)
	return t.take(now, g.Workspace, tokens, append(slices.Clip(requests), g.ID))
}

func (t *Table) take(now time.Time, workspace string, tokens int64, requests []uint64) (Charge, Decision) {
	b := t.buckets[workspace]
	if b == nil {
		return Charge{}, Decision{Missing: tokens, ExceedsBurst: true}
	}
	t.sync(b, now)
	have := b.borrowedBy(requests)
	if t.leaseActive(now) {
		have += b.level
	}
	if need := float64(tokens) - have; need > tolerance {
		return Charge{}, b.refusal(tokens, need)
	}
	b.level -= b.spendBorrowed(requests, float64(tokens))
	b.seq++
	c := Charge{Workspace: workspace, Tokens: tokens, state: &chargeState{bucketID: b.id, seq: b.seq}}
	b.openSegment(b.seq)
	t.checkInvariant(b, workspace)
	return c, Decision{Admitted: true}
}

// Settle ends a charge of which used tokens were used. It gives the rest back, but the level does not rise above
// that of an ideal bucket that was charged with used instead. If used exceeds the charge, the difference is deducted
// from the level.
func (t *Table) Settle(now time.Time, c Charge, used int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now = t.advanceClock(now)
	if c.state == nil {
		return
	}
	if c.state.settled {
		event.FailInvariant(nil, event.BrokenSettlement, "slot", t.self, "workspace", c.Workspace, "tokens", c.Tokens)
	}
	c.state.settled = true
	b := t.buckets[c.Workspace]
	if b == nil || b.id != c.state.bucketID {
		return
	}
	t.sync(b, now)
	b.settle(c.state.seq, float64(c.Tokens-used))
	t.checkInvariant(b, c.Workspace)
}

// Refund ends a charge whose request did not run, and gives back its tokens like Settle.
func (t *Table) Refund(now time.Time, c Charge) { t.Settle(now, c, 0) }

// Tick frees the capacity of expired requests and lent tokens, and applies increases of shares that are due. It
// visits only buckets that have any of these, so that it holds the mutex briefly. Accrual is added when a bucket is
// used.
func (t *Table) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now = t.advanceClock(now)
	for name, b := range t.expiring {
		t.sync(b, now)
		t.checkInvariant(b, name)
		if !b.expiring() {
			delete(t.expiring, name)
		}
	}
}

// advanceClock updates latestTime and authorisedTime, and returns latestTime.
func (t *Table) advanceClock(now time.Time) time.Time {
	if !now.After(t.latestTime) {
		return t.latestTime
	}
	from, to := later(t.latestTime, t.leaseFrom), earlier(now, t.leaseTo)
	if to.After(from) {
		t.authorisedTime += to.Sub(from)
	}
	t.latestTime = now
	return now
}

// leaseActive reports whether the authorised interval has not ended, so that the level may be spent.
func (t *Table) leaseActive(now time.Time) bool { return now.Before(t.leaseTo) }

// sync updates a bucket to the current time. Accrual since the last sync is computed with the capacity and the share
// from before changes that are now due, which never credits too much.
func (t *Table) sync(b *bucket, now time.Time) {
	elapsed := t.authorisedTime - b.accruedUntil
	b.accruedUntil = t.authorisedTime
	b.accrue(elapsed)
	t.expireRequests(b, now)
	b.expireLoans(now)
	b.applyPriorShares(now)
}

// checkInvariant asserts the invariant of a bucket, and records whether Tick has to visit the bucket. Capacity that
// was reserved or lent before a decrease of the share may exceed the new cap until it expires. The level must then be
// at most zero.
func (t *Table) checkInvariant(b *bucket, workspace string) {
	if b.expiring() {
		t.expiring[workspace] = b
	}
	room := math.Max(0, b.cap-b.reserved-b.lentTotal())
	if b.level > room+tolerance+1e-12*b.cap || b.reserved < 0 {
		event.FailInvariant(nil, event.BrokenTokenBucket, "slot", t.self, "workspace", workspace,
			"bucketLevel", b.level, "reserved", b.reserved, "lent", b.lentTotal(), "cap", b.cap)
	}
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
