package limit

import (
	"math"
	"slices"
	"time"
)

const (
	// maxAsks bounds the outstanding requests for tokens of one workspace.
	maxAsks = 64
	// balanceBelow is the part of the cap below which a slot asks for an equal share of the
	// tokens. Holders that are full lose their accrual while another one refuses.
	balanceBelow = 0.8
	// BalanceInterval is the least time between two such requests for a workspace, which bounds
	// their messages.
	BalanceInterval = 500 * time.Millisecond
)

// TokenAsk asks another slot for tokens. The message goes to one slot, over the session with its
// current incarnation.
type TokenAsk struct {
	// ID is never used by another request of the slot's incarnations.
	ID        uint64
	Workspace string
	// Tokens is the amount asked for. Zero ends the loan of the request ID, of which Loan tokens
	// were not used.
	Tokens int64
	// Loan is the part of Tokens for which the requester has no room: the grantor keeps the room
	// occupied until the loan has ended. It is between zero and Tokens.
	Loan int64
	// Balance limits the grant to half of what the grantor holds above Level, the requester's
	// level. Loan is then zero.
	Balance bool
	Level   int64
}

// TokenGive answers a TokenAsk. The grantor has deducted Tokens, which is at least zero and at
// most what was asked; the part without room is given last.
type TokenGive struct {
	ID        uint64
	Workspace string
	Tokens    int64
	// Wait is the time after which the grantor expects to have the rest, zero if unknown.
	Wait time.Duration
}

// ask is an outstanding request for tokens.
type ask struct {
	id       uint64
	bucket   *bucket
	room     int64
	loan     int64
	deadline time.Time
}

// Ask prepares a request for tokens and reserves room for it where the cap allows. The rest is
// asked as a loan, which Take can use only within AskLife of this call; so slots without a share,
// and requests above the cap, are served without room of their own. It returns false if the
// workspace is unknown or too many requests are outstanding.
func (t *Table) Ask(now time.Time, workspace string, tokens int64) (TokenAsk, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now = t.advance(now)
	b := t.buckets[workspace]
	if b == nil || tokens <= 0 {
		return TokenAsk{}, false
	}
	t.sync(b, now)
	if len(b.asks) >= maxAsks {
		return TokenAsk{}, false
	}
	room := int64(0)
	if t.leased(now) { // otherwise a successor of this incarnation may own the room
		room = min(tokens, int64(math.Max(0, b.cap-b.occupied())))
	}
	id := t.open(b, now, room, tokens-room)
	t.check(b, workspace)
	return TokenAsk{ID: id, Workspace: workspace, Tokens: tokens, Loan: tokens - room}, true
}

// Balance prepares a request to the other holder of the region that evens out the two levels. It
// returns false if none is due, which is the case while the level is high.
func (t *Table) Balance(now time.Time, workspace string) (TokenAsk, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now = t.advance(now)
	b := t.buckets[workspace]
	if b == nil || !t.leased(now) {
		return TokenAsk{}, false
	}
	t.sync(b, now)
	tokens := int64((b.cap - b.occupied()) / 2)
	due := now.Sub(b.balanced) >= BalanceInterval && b.level < balanceBelow*b.cap
	if !due || tokens <= 0 || len(b.asks) >= maxAsks {
		return TokenAsk{}, false
	}
	b.balanced = now
	id := t.open(b, now, tokens, 0)
	t.check(b, workspace)
	return TokenAsk{ID: id, Workspace: workspace, Tokens: tokens, Balance: true, Level: int64(b.level)}, true
}

// open records an outstanding request, reserves its room and returns its number.
func (t *Table) open(b *bucket, now time.Time, room, loan int64) uint64 {
	t.nextID++
	a := &ask{id: t.nextID, bucket: b, room: room, loan: loan, deadline: now.Add(AskLife)}
	b.reserved += float64(room)
	b.observe()
	b.asks = append(b.asks, a)
	t.asks[a.id] = a
	return a.id
}

// Give deducts as much of the requested amount as the level holds, before the answer is sent. A
// lost answer therefore loses tokens and never doubles them.
func (t *Table) Give(now time.Time, a TokenAsk) TokenGive {
	t.mu.Lock()
	defer t.mu.Unlock()
	now = t.advance(now)
	give := TokenGive{ID: a.ID, Workspace: a.Workspace}
	b := t.buckets[a.Workspace]
	if b == nil || a.Tokens < 0 || a.Loan < 0 || (a.Tokens > 0 && a.Loan > a.Tokens) || !t.leased(now) {
		return give
	}
	t.sync(b, now)
	if a.Tokens == 0 {
		b.endLent(a.ID, a.Loan)
		t.check(b, a.Workspace)
		return give
	}
	give.Tokens = min(a.Tokens, int64(math.Max(0, b.level+tolerance)))
	if a.Balance {
		give.Tokens = min(give.Tokens, max(0, int64(b.level)-a.Level)/2)
	}
	b.level -= float64(give.Tokens)
	if lent := give.Tokens - (a.Tokens - a.Loan); lent > 0 {
		b.lent = append(b.lent, loan{id: a.ID, tokens: float64(lent), until: now.Add(lendTime)})
	}
	if rest := a.Tokens - give.Tokens; rest > 0 && b.rate > 0 {
		give.Wait = seconds(float64(rest) / b.rate)
	}
	t.check(b, a.Workspace)
	return give
}

// Cancel ends a request that the caller no longer waits for: its room is free at once, and a late
// grant is void.
func (t *Table) Cancel(now time.Time, id uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now = t.advance(now)
	a := t.asks[id]
	if a == nil {
		return
	}
	t.sync(a.bucket, now)
	if t.asks[id] == nil {
		return // sync found the request expired.
	}
	t.endAsk(a)
	a.bucket.asks = slices.DeleteFunc(a.bucket.asks, func(o *ask) bool { return o == a })
}

// EndLoan gives up what is left of the loan of a request, and returns the message that tells the
// grantor, which has the unused tokens again and its room free at once. It returns false if
// the workspace is unknown.
//
// Without it the room stays occupied for lendTime, which stops the accrual of a holder whose
// tokens are spent at other slots.
func (t *Table) EndLoan(now time.Time, workspace string, id uint64) (TokenAsk, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now = t.advance(now)
	b := t.buckets[workspace]
	if b == nil {
		return TokenAsk{}, false
	}
	t.sync(b, now)
	a := TokenAsk{ID: id, Workspace: workspace}
	for i := range b.loans {
		if b.loans[i].id == id {
			a.Loan += int64(b.loans[i].tokens)
			b.loans[i].tokens = 0
		}
	}
	return a, true
}

// endLent frees the room of a loan whose requester has spent or given up all of it, and takes the
// unused tokens back. A repeated message finds nothing.
func (b *bucket) endLent(id uint64, unused int64) {
	for i := range b.lent {
		if b.lent[i].id == id {
			back := math.Min(float64(unused), b.lent[i].tokens)
			b.lent = slices.Delete(b.lent, i, i+1)
			// A decrease of the share may have left less room than was lent.
			b.level = math.Min(b.level+back, math.Max(b.level, b.cap-b.reserved-b.lentTotal()))
			return
		}
	}
}

// Accept applies a grant if its request is outstanding, and reports whether it did. A duplicate,
// a late grant or one above the requested amount is void.
func (t *Table) Accept(now time.Time, g TokenGive) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now = t.advance(now)
	a := t.asks[g.ID]
	if a == nil {
		return false
	}
	b := a.bucket
	t.sync(b, now)
	if t.asks[g.ID] == nil {
		return false // sync found the request expired.
	}
	t.endAsk(a)
	b.asks = slices.DeleteFunc(b.asks, func(o *ask) bool { return o == a })
	if b != t.buckets[g.Workspace] || g.Tokens < 0 || g.Tokens > a.room+a.loan {
		return false
	}
	own := min(g.Tokens, a.room)
	b.level += float64(own)
	b.observe()
	if rest := g.Tokens - own; rest > 0 {
		b.loans = append(b.loans, loan{id: a.id, tokens: float64(rest), until: a.deadline})
	}
	t.check(b, g.Workspace)
	return true
}

// expireAsks frees the room of requests that were outstanding for AskLife. They are in the order
// of their deadlines.
func (t *Table) expireAsks(b *bucket, now time.Time) {
	n := 0
	for n < len(b.asks) && !b.asks[n].deadline.After(now) {
		t.endAsk(b.asks[n])
		n++
	}
	if n > 0 {
		b.asks = slices.Delete(b.asks, 0, n)
	}
}

// cancelAsks ends all requests of a bucket; their grants are then void.
func (t *Table) cancelAsks(b *bucket) {
	for _, a := range b.asks {
		t.endAsk(a)
	}
	b.asks = nil
}

// endAsk frees the room of one request and forgets its number.
func (t *Table) endAsk(a *ask) {
	a.bucket.reserved -= float64(a.room)
	delete(t.asks, a.id)
}
