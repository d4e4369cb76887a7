package limit

import (
	"math"
	"slices"
	"time"
)

const (
	// maxPendingRequests is the maximum number of pending requests for tokens of one workspace, which bounds their memory. A request
	// above it is refused, however many tokens other VMs hold.
	maxPendingRequests = 4096
	// balanceThreshold is the fraction of the cap below which a slot requests tokens to balance its level with
	// the other holder. Without balancing, a full holder loses its accrual while the other one refuses requests.
	balanceThreshold = 0.8
	// BalanceInterval is the minimum time between two balance requests for a workspace, which limits the number
	// of messages.
	BalanceInterval = 500 * time.Millisecond
)

// TokenRequest is a request for tokens to another slot. It is sent to one slot, in the session with its current
// incarnation.
type TokenRequest struct {
	// ID is unique among the requests of all incarnations of the slot.
	ID        uint64
	Workspace string
	// Tokens is the number of requested tokens. Zero ends the loan of the earlier request with the same ID, and
	// Loan is then the number of unused tokens.
	Tokens int64
	// Loan is the part of Tokens for which the requester has no capacity. The grantor keeps that capacity
	// occupied until the loan ends. It is between zero and Tokens.
	Loan int64
	// Balance limits the grant to half of the difference between the grantor's level and Level, the requester's
	// level. Loan is then zero.
	Balance bool
	Level   int64
}

// TokenGrant is the response to a TokenRequest. The grantor has deducted Tokens, which is between zero and the
// requested number. Tokens for which the requester has capacity are granted before loaned ones.
type TokenGrant struct {
	ID        uint64
	Workspace string
	Tokens    int64
	// Wait is the expected time until the grantor has the remaining tokens, or zero if it is unknown.
	Wait time.Duration
}

// pendingRequest is a pending request for tokens to another slot. room is the part for which this slot had capacity
// at the time of the request, and loan the part that is requested as a loan, both in tokens.
type pendingRequest struct {
	id     uint64
	bucket *bucket
	room   int64
	loan   int64
	// reserved is the capacity that is kept free for the grant: room, or zero after ReleaseReservation.
	reserved int64
	deadline time.Time
}

// RequestTokens creates a request for tokens and reserves capacity for it up to the cap. The rest is requested as a
// loan, which Take can use only within RequestLifetime of this call. Loans allow a slot without a share to admit
// requests, and a holder to admit requests above its cap. RequestTokens returns false if the workspace is unknown or
// too many requests are pending.
func (t *Table) RequestTokens(now time.Time, workspace string, tokens int64) (TokenRequest, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now = t.advanceClock(now)
	b := t.buckets[workspace]
	if b == nil || tokens <= 0 {
		return TokenRequest{}, false
	}
	t.sync(b, now)
	if len(b.pendingRequests) >= maxPendingRequests {
		return TokenRequest{}, false
	}
	room := int64(0)
	if t.leaseActive(now) { // Otherwise a successor of this incarnation may own the capacity.
		room = min(tokens, int64(math.Max(0, b.cap-b.occupied())))
	}
	id := t.openRequest(b, now, room, tokens-room)
	t.checkInvariant(b, workspace)
	return TokenRequest{ID: id, Workspace: workspace, Tokens: tokens, Loan: tokens - room}, true
}

// Balance creates a request to the other holder of the region that evens out the two levels. It returns false if
// none is due, for example because the level is not below balanceThreshold.
func (t *Table) Balance(now time.Time, workspace string) (TokenRequest, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now = t.advanceClock(now)
	b := t.buckets[workspace]
	if b == nil || !t.leaseActive(now) {
		return TokenRequest{}, false
	}
	t.sync(b, now)
	tokens := int64((b.cap - b.occupied()) / 2)
	due := now.Sub(b.balanceRequestedAt) >= BalanceInterval && b.level < balanceThreshold*b.cap
	if !due || tokens <= 0 || len(b.pendingRequests) >= maxPendingRequests {
		return TokenRequest{}, false
	}
	b.balanceRequestedAt = now
	id := t.openRequest(b, now, tokens, 0)
	t.checkInvariant(b, workspace)
	return TokenRequest{ID: id, Workspace: workspace, Tokens: tokens, Balance: true, Level: int64(b.level)}, true
}

// openRequest adds a pending request, reserves its capacity and returns its ID.
func (t *Table) openRequest(b *bucket, now time.Time, room, loan int64) uint64 {
	t.lastRequestID++
	a := &pendingRequest{id: t.lastRequestID, bucket: b, room: room, loan: loan, reserved: room, deadline: now.Add(RequestLifetime)}
	b.reserved += float64(room)
	b.recordOccupancy()
	b.pendingRequests = append(b.pendingRequests, a)
	t.pendingRequests[a.id] = a
	return a.id
}

// GrantTokens grants as many of the requested tokens as the level holds. They are deducted before the response is sent,
// so a lost response loses tokens but never duplicates them.
func (t *Table) GrantTokens(now time.Time, a TokenRequest) TokenGrant {
	t.mu.Lock()
	defer t.mu.Unlock()
	now = t.advanceClock(now)
	give := TokenGrant{ID: a.ID, Workspace: a.Workspace}
	b := t.buckets[a.Workspace]
	if b == nil || a.Tokens < 0 || a.Loan < 0 || (a.Tokens > 0 && a.Loan > a.Tokens) || !t.leaseActive(now) {
		return give
	}
	t.sync(b, now)
	if a.Tokens == 0 {
		b.endLoan(a.ID, a.Loan)
		t.checkInvariant(b, a.Workspace)
		return give
	}
	give.Tokens = min(a.Tokens, int64(math.Max(0, b.level+tolerance)))
	if a.Balance {
		give.Tokens = min(give.Tokens, max(0, int64(b.level)-a.Level)/2)
	}
	b.level -= float64(give.Tokens)
	if lent := give.Tokens - (a.Tokens - a.Loan); lent > 0 {
		b.lent = append(b.lent, loan{id: a.ID, tokens: float64(lent), until: now.Add(lentDuration)})
	}
	if rest := a.Tokens - give.Tokens; rest > 0 && b.rate > 0 {
		give.Wait = seconds(float64(rest) / b.rate)
	}
	t.checkInvariant(b, a.Workspace)
	return give
}

// ReleaseReservation frees the capacity that a pending request reserves, so that this slot accrues while it waits for a
// late grant. A grant that arrives later is accepted as far as there is capacity for it then.
func (t *Table) ReleaseReservation(now time.Time, id uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now = t.advanceClock(now)
	if a := t.pendingRequests[id]; a != nil {
		t.sync(a.bucket, now)
		a.bucket.reserved -= float64(a.reserved)
		a.reserved = 0
	}
}

// CancelRequest removes a pending request that the caller no longer waits for. Its capacity is freed immediately, and a
// grant that arrives later is ignored.
func (t *Table) CancelRequest(now time.Time, id uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now = t.advanceClock(now)
	a := t.pendingRequests[id]
	if a == nil {
		return
	}
	t.sync(a.bucket, now)
	if t.pendingRequests[id] == nil {
		return // The request expired in sync.
	}
	t.removeRequest(a)
	a.bucket.pendingRequests = slices.DeleteFunc(a.bucket.pendingRequests, func(o *pendingRequest) bool { return o == a })
}

// EndLoan ends the loan of a request, and returns the message to the grantor, which then gets the unused tokens back
// and frees the capacity immediately. It returns false if the workspace is unknown.
//
// Without EndLoan, the capacity would stay occupied for lentDuration, which stops the accrual of a holder whose
// tokens are spent at other slots.
func (t *Table) EndLoan(now time.Time, workspace string, id uint64) (TokenRequest, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now = t.advanceClock(now)
	b := t.buckets[workspace]
	if b == nil {
		return TokenRequest{}, false
	}
	t.sync(b, now)
	a := TokenRequest{ID: id, Workspace: workspace}
	for i := range b.borrowed {
		if b.borrowed[i].id == id {
			a.Loan += int64(b.borrowed[i].tokens)
			b.borrowed[i].tokens = 0
		}
	}
	return a, true
}

// endLoan frees the capacity of lent tokens that the borrower no longer uses, and adds the unused tokens to the level.
// A repeated message has no effect.
func (b *bucket) endLoan(id uint64, unused int64) {
	for i := range b.lent {
		if b.lent[i].id == id {
			back := math.Min(float64(unused), b.lent[i].tokens)
			b.lent = slices.Delete(b.lent, i, i+1)
			// After a decrease of the share, the free capacity may be smaller than the unused tokens.
			b.level = math.Min(b.level+back, math.Max(b.level, b.cap-b.reserved-b.lentTotal()))
			return
		}
	}
}

// AcceptGrant applies a grant if its request is pending, and reports whether it did. Duplicate grants, late grants, and
// grants above the requested number of tokens are ignored.
func (t *Table) AcceptGrant(now time.Time, g TokenGrant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.acceptGrant(t.advanceClock(now), g)
}

func (t *Table) acceptGrant(now time.Time, g TokenGrant) bool {
	a := t.pendingRequests[g.ID]
	if a == nil {
		return false
	}
	b := a.bucket
	t.sync(b, now)
	if t.pendingRequests[g.ID] == nil {
		return false // The request expired in sync.
	}
	t.removeRequest(a)
	b.pendingRequests = slices.DeleteFunc(b.pendingRequests, func(o *pendingRequest) bool { return o == a })
	if b != t.buckets[g.Workspace] || g.Tokens < 0 || g.Tokens > a.room+a.loan {
		return false
	}
	own := min(g.Tokens, a.room)
	b.level += math.Min(float64(own), math.Max(0, b.cap-b.occupied()))
	b.recordOccupancy()
	if rest := g.Tokens - own; rest > 0 {
		b.borrowed = append(b.borrowed, loan{id: a.id, tokens: float64(rest), until: a.deadline})
	}
	t.checkInvariant(b, g.Workspace)
	return true
}

// expireRequests removes requests that have been pending for RequestLifetime. Requests are ordered by their deadlines.
func (t *Table) expireRequests(b *bucket, now time.Time) {
	n := 0
	for n < len(b.pendingRequests) && !b.pendingRequests[n].deadline.After(now) {
		t.removeRequest(b.pendingRequests[n])
		n++
	}
	if n > 0 {
		b.pendingRequests = slices.Delete(b.pendingRequests, 0, n)
	}
}

// cancelRequests removes all pending requests of a bucket. Their grants are then ignored.
func (t *Table) cancelRequests(b *bucket) {
	for _, a := range b.pendingRequests {
		t.removeRequest(a)
	}
	b.pendingRequests = nil
}

// removeRequest frees the capacity of one request and removes its ID.
func (t *Table) removeRequest(a *pendingRequest) {
	a.bucket.reserved -= float64(a.reserved)
	a.reserved = 0
	delete(t.pendingRequests, a.id)
}
