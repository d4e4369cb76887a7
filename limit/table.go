// Package limit decides whether a request is within its workspace's rate and burst in tokens.
//
// Each slot owns a share of a workspace's bucket. For a workspace with burst B and rate R over all
// slots, the tokens admitted in any window W stay within B + R*W, since at every slot
//
//	level + reserved + lent <= cap
//
// and the caps add up to at most B and the accrual rates to at most R. Reserved is room for tokens
// asked of other slots, lent is room of tokens that other slots may use without room of their own.
package limit

import (
	"math"
	"sync"
	"time"

	"parsleyhatch/event"
)

// Durations of the protocol between slots.
const (
	// AskLife is how long a request for tokens is outstanding, and how long a loan can be used,
	// from the sending of the request on the requester's clock.
	AskLife = time.Second
	// lendTime is how long the grantor keeps the room of a loan. It exceeds AskLife so that
	// clocks that run up to 10% apart cannot free the room before the loan has ended.
	lendTime = 1100 * time.Millisecond
	// IncreaseDelay delays an increase of a share. A slot may skip a version that is replaced within
	// 3 s, and the slot that got the share by the skipped version may learn of its loss 3 s after
	// that; tokens in transfer are void 1 s later.
	IncreaseDelay = 7 * time.Second
	// MaxLease bounds an authorised interval. An incarnation spends until MaxLease after its last
	// confirmation, and its loans end AskLife later; package member authorises a successor 4 s
	// after its announcement, so that the two never hold tokens at the same time.
	MaxLease = 2 * time.Second
)

// Table holds the buckets of one slot. It is safe for concurrent use.
type Table struct {
	self string

	mu      sync.Mutex
	buckets map[string]*bucket
	// clock is the latest time seen; an earlier time passed in counts as this one.
	clock time.Time
	// leaseFrom and leaseTo bound the interval in which tokens accrue and may be spent.
	leaseFrom, leaseTo time.Time
	// authorised is the authorised time up to clock. It never decreases.
	authorised time.Duration
	// nextID numbers the requests for tokens of this incarnation.
	nextID uint64
	// nextBucket numbers buckets, so that a charge never settles into a later bucket.
	nextBucket uint64
	asks       map[uint64]*ask
	// timed are the buckets in which time alone ends something; Tick visits only these.
	timed map[string]*bucket
}

// Charge is an admitted request's tokens. It is settled or returned exactly once.
type Charge struct {
	Workspace string
	Tokens    int64
	state     *chargeState
}

// chargeState is shared by the copies of a Charge, which detects a second settlement.
type chargeState struct {
	bucket  uint64
	seq     uint64
	settled bool
}

// Verdict is the outcome of Take.
type Verdict struct {
	// Admitted says that the tokens were charged; the other fields are then zero.
	Admitted bool
	// Missing is the number of tokens that this slot lacks, above zero when refused.
	Missing int64
	// Wait is the expected time until the tokens have accrued, zero if unknown.
	Wait time.Duration
	// Never says that the request exceeds the workspace's burst over all slots, or that the
	// workspace is unknown here.
	Never bool
}

// New returns a table without shares for the slot self.
func New(self string) *Table {
	return &Table{self: self, buckets: map[string]*bucket{}, asks: map[uint64]*ask{}, timed: map[string]*bucket{}}
}

// Begin sets the incarnation, whose random number makes the numbers of requests for tokens
// distinct from those of earlier incarnations of the slot. It is called once, before Ask.
func (t *Table) Begin(now time.Time, incarnation uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	t.nextID = incarnation
}

// Configure replaces the shares. A decrease or removal takes effect at once; an increase or a new
// share takes effect after IncreaseDelay, and a new bucket starts empty. Shares of other slots
// are ignored.
func (t *Table) Configure(now time.Time, shares []Share) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now = t.advance(now)
	seen := make(map[string]bool, len(shares))
	for _, s := range shares {
		if s.Slot != t.self {
			continue
		}
		seen[s.Workspace] = true
		b := t.buckets[s.Workspace]
		if b == nil {
			t.nextBucket++
			b = &bucket{id: t.nextBucket, synced: t.authorised}
			t.buckets[s.Workspace] = b
		}
		t.sync(b, now)
		b.retarget(now, s)
		if b.reserved > 0 && b.occupied() > b.cap {
			t.cancelAsks(b)
		}
		t.check(b, s.Workspace)
	}
	for name, b := range t.buckets {
		if !seen[name] {
			t.cancelAsks(b)
			delete(t.buckets, name)
			delete(t.timed, name)
		}
	}
}

// Authorise lets tokens accrue and be spent until to. The interval [from, to) starts when a
// heartbeat was sent that a VM which knows no newer incarnation of the slot has acknowledged.
//
// Invariants: to-from is at most MaxLease and from is not after now. Time before now that no
// earlier interval covered is not credited, and overlapping intervals count once. When the
// interval ends, accrual and spending stop, and the level stays until Discard.
func (t *Table) Authorise(now, from, to time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now = t.advance(now)
	if to.Before(from) || to.Sub(from) > MaxLease || from.After(now) {
		event.Broken(nil, event.BrokenLease, "slot", t.self, "now", now, "from", from, "to", to)
	}
	if !t.leaseTo.After(now) {
		t.leaseFrom = now
	}
	if to.After(t.leaseTo) {
		t.leaseTo = to
	}
}

// Discard drops all tokens, requests for tokens, open charges and authority. It is called after a
// pause and when a newer incarnation of the slot is known. Room of loans stays occupied.
func (t *Table) Discard(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now = t.advance(now)
	t.leaseTo = now
	for _, b := range t.buckets {
		t.sync(b, now)
		t.cancelAsks(b)
		t.nextBucket++
		b.id = t.nextBucket
		b.level, b.loans, b.segments = math.Min(b.level, 0), nil, nil
	}
}

// Take charges tokens, or tells what is missing. Borrowed tokens are used before the level, since
// they expire.
func (t *Table) Take(now time.Time, workspace string, tokens int64) (Charge, Verdict) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now = t.advance(now)
	b := t.buckets[workspace]
	if b == nil {
		return Charge{}, Verdict{Missing: tokens, Never: true}
	}
	t.sync(b, now)
	have := b.borrowed()
	if t.leased(now) {
		have += b.level
	}
	if need := float64(tokens) - have; need > tolerance {
		return Charge{}, b.refusal(tokens, need)
	}
	b.level -= b.useLoans(float64(tokens))
	b.seq++
	c := Charge{Workspace: workspace, Tokens: tokens, state: &chargeState{bucket: b.id, seq: b.seq}}
	b.openSegment(b.seq)
	t.check(b, workspace)
	return c, Verdict{Admitted: true}
}

// Settle ends a charge of which used tokens were used, and gives the rest back as far as an ideal
// bucket charged with used would now hold it. Use above the charge becomes a debt of the bucket.
func (t *Table) Settle(now time.Time, c Charge, used int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now = t.advance(now)
	if c.state == nil {
		return
	}
	if c.state.settled {
		event.Broken(nil, event.BrokenSettlement, "slot", t.self, "workspace", c.Workspace, "tokens", c.Tokens)
	}
	c.state.settled = true
	b := t.buckets[c.Workspace]
	if b == nil || b.id != c.state.bucket {
		return
	}
	t.sync(b, now)
	b.settle(c.state.seq, float64(c.Tokens-used))
	t.check(b, c.Workspace)
}

// Return ends a charge of which nothing ran.
func (t *Table) Return(now time.Time, c Charge) { t.Settle(now, c, 0) }

// Tick frees the room of expired requests for tokens and of ended loans, and applies increases
// that are due. It visits only buckets that have any, so that it holds the mutex briefly; accrual
// is added when a bucket is used.
func (t *Table) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now = t.advance(now)
	for name, b := range t.timed {
		t.sync(b, now)
		t.check(b, name)
		if !b.timed() {
			delete(t.timed, name)
		}
	}
}

// advance moves the clock, counts the authorised time that passed, and returns the clock.
func (t *Table) advance(now time.Time) time.Time {
	if !now.After(t.clock) {
		return t.clock
	}
	from, to := later(t.clock, t.leaseFrom), earlier(now, t.leaseTo)
	if to.After(from) {
		t.authorised += to.Sub(from)
	}
	t.clock = now
	return now
}

// leased reports whether the level may be spent.
func (t *Table) leased(now time.Time) bool { return now.Before(t.leaseTo) }

// sync brings a bucket up to date. Accrual since the last sync sees the room and the share from
// before the changes that are due, which never credits too much.
func (t *Table) sync(b *bucket, now time.Time) {
	elapsed := t.authorised - b.synced
	b.synced = t.authorised
	b.accrue(elapsed)
	t.expireAsks(b, now)
	b.expireLoans(now)
	b.applyHolds(now)
}

// check asserts the bucket invariant and notes whether Tick has to visit the bucket. Room promised before a decrease may exceed the new cap
// until it is void; the level must then be zero.
func (t *Table) check(b *bucket, workspace string) {
	if b.timed() {
		t.timed[workspace] = b
	}
	room := math.Max(0, b.cap-b.reserved-b.lentTotal())
	if b.level > room+tolerance+1e-12*b.cap || b.reserved < 0 {
		event.Broken(nil, event.BrokenBucket, "slot", t.self, "workspace", workspace,
			"level", b.level, "reserved", b.reserved, "lent", b.lentTotal(), "cap", b.cap)
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
