package lending

import (
	"context"
	"fmt"
	"time"

	"parsleyhatch/limit"
	"parsleyhatch/vmwire"
)

const (
	// sameRegionAskTimeout and otherRegionAskTimeout bound the wait for tokens of a holder in the own region and in
	// another one before the next holder is asked.
	sameRegionAskTimeout  = 100 * time.Millisecond
	otherRegionAskTimeout = 400 * time.Millisecond
	// lateGrantTimeout bounds the wait for holders that have not answered, after all were asked. It ends before the
	// loan of the first holder expires.
	lateGrantTimeout = limit.RequestLifetime / 2
	// emptyHolderBackoff is the longest time for which a holder without tokens is not asked again,
	// so that a workspace far above its rate does not cause messages with each refusal.
	emptyHolderBackoff = 250 * time.Millisecond
	// unansweredBackoff is how long a holder that did not answer in time is asked last, and without reserved room
	// in the own bucket. Reserved room for many late grants would stop the accrual of this slot.
	unansweredBackoff = time.Second
	// maxAsks is the largest number of requests to one holder.
	maxAsks = 2
)

// lender is a slot that was asked for tokens, and the number of the request.
type lender struct {
	slot string
	ask  uint64
}

// borrowing collects the tokens of one request from the holders of its workspace.
type borrowing struct {
	exchange *Exchange
	demand   Demand
	missing  int64
	// gaveAll is set if the latest grant has all missing tokens.
	gaveAll bool
	charge  limit.Charge
	// wait is the shortest known time until a holder has the missing tokens, or zero.
	wait time.Duration
	// answers receives the grants. It has room for all, so that who delivers one does not wait.
	answers chan limit.TokenGrant
	// open are the holders that have not answered, and loans those that gave tokens.
	open, loans []lender
	// unreachable are the holders that could not be asked.
	unreachable []string
}

func newBorrowing(e *Exchange, d Demand, v limit.Decision) *borrowing {
	return &borrowing{exchange: e, demand: d, missing: v.Missing, wait: v.Wait}
}

// askHolders asks one holder after the other and reports whether the request could be charged. Holders that recently
// did not answer in time come last.
func (b *borrowing) askHolders(ctx context.Context) bool {
	e, workspace := b.exchange, b.demand.Workspace.Name
	holders := e.holders(b.demand)
	b.answers = make(chan limit.TokenGrant, maxAsks*len(holders))
	var slow []string
	for _, slot := range holders {
		if ctx.Err() != nil {
			return false // A grant would be lost.
		}
		previous := e.backoffOf(e.Now(), slot, workspace)
		if previous.unanswered {
			slow = append(slow, slot)
		}
		if previous.mayGive(b.missing) && b.ask(ctx, slot) && (b.await(ctx, b.askTimeout(slot)) || b.askAgain(ctx, slot)) {
			return true
		}
	}
	if ctx.Err() != nil {
		return false
	}
	for _, slot := range slow {
		b.askSlow(slot)
	}
	return false
}

// askAgain asks a holder that gave all missing tokens for all that the request needs, since other requests have meanwhile taken those of
// this slot.
func (b *borrowing) askAgain(ctx context.Context, slot string) bool {
	if !b.gaveAll {
		return false
	}
	b.missing = b.demand.Tokens
	return b.ask(ctx, slot) && b.await(ctx, b.askTimeout(slot))
}

// askTimeout returns how long to wait for a holder before the next one is asked.
func (b *borrowing) askTimeout(slot string) time.Duration {
	if m := b.demand.Snapshot.VMs[slot]; m != nil && m.Region == b.exchange.Region {
		return sameRegionAskTimeout
	}
	return otherRegionAskTimeout
}

// ask sends a request for the missing tokens, opening a session if there is none.
func (b *borrowing) ask(ctx context.Context, slot string) bool {
	dialCtx, cancel := context.WithTimeout(ctx, b.askTimeout(slot))
	defer cancel()
	if !b.exchange.Connect(dialCtx, slot) {
		b.unreachable = append(b.unreachable, slot)
		b.backOffUnanswered(ctx, slot)
		return false
	}
	return b.send(slot)
}

// askSlow asks a holder that did not answer in time before, if it is connected.
func (b *borrowing) askSlow(slot string) {
	if b.send(slot) {
		b.exchange.Tokens.ReleaseReservation(b.exchange.Now(), b.open[len(b.open)-1].ask)
	}
}

// send sends a request for the missing tokens over the session with a holder. A holder that cannot be asked counts as unreachable.
func (b *borrowing) send(slot string) bool {
	if b.trySend(slot) {
		return true
	}
	b.unreachable = append(b.unreachable, slot)
	return false
}

func (b *borrowing) trySend(slot string) bool {
	e, workspace := b.exchange, b.demand.Workspace.Name
	if !e.Connected(slot) {
		return false
	}
	ask, ok := e.Tokens.RequestTokens(e.Now(), workspace, b.missing)
	if !ok {
		return false
	}
	e.registerAsk(ask.ID, b.answers)
	e.Hooks.notifyAsk(workspace)
	b.open = append(b.open, lender{slot: slot, ask: ask.ID})
	if !e.Send(slot, &vmwire.TokenRequest{ID: ask.ID, Workspace: workspace, Tokens: ask.Tokens, Loan: ask.Loan}) {
		b.cancelLast()
		return false
	}
	return true
}

// cancelLast withdraws the latest request for tokens.
func (b *borrowing) cancelLast() {
	last := b.open[len(b.open)-1]
	b.open = b.open[:len(b.open)-1]
	b.exchange.removeAsk(last.ask)
	b.exchange.Tokens.CancelRequest(b.exchange.Now(), last.ask)
}

// await waits for the answer of the holder that was asked last and reports whether the request could be charged.
// Late answers of other holders count, too.
func (b *borrowing) await(ctx context.Context, timeout time.Duration) bool {
	last := b.open[len(b.open)-1]
	waitCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		select {
		case give := <-b.answers:
			if b.accept(give) {
				return true
			}
			if give.ID == last.ask {
				return false
			}
		case <-waitCtx.Done():
			b.backOffUnanswered(ctx, last.slot)
			b.exchange.Tokens.ReleaseReservation(b.exchange.Now(), last.ask)
			return false
		}
	}
}

// awaitLate waits for the holders that have not answered, since a workspace within its rate must not be refused because
// an answer is late. It takes at most half of the time that the request has left.
func (b *borrowing) awaitLate(ctx context.Context) bool {
	timeout := min(lateGrantTimeout, b.demand.Deadline.Sub(b.exchange.Now())/2)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for len(b.open) > 0 {
		select {
		case give := <-b.answers:
			if b.accept(give) {
				return true
			}
		case <-ctx.Done():
			return false
		}
	}
	return false
}

// accept applies a grant and reports whether the request could be charged.
func (b *borrowing) accept(give limit.TokenGrant) bool {
	e, workspace := b.exchange, b.demand.Workspace.Name
	now := e.Now()
	slot := b.answered(give.ID)
	b.gaveAll = give.Tokens >= b.missing
	if give.Tokens < b.missing {
		until := now.Add(min(max(give.Wait, emptyHolderBackoff/5), emptyHolderBackoff))
		e.setBackoff(slot, workspace, backoff{until: until, tokens: give.Tokens})
	}
	if give.Wait > 0 {
		b.wait = minKnownWait(b.wait, give.Wait)
	}
	c, v := e.Tokens.TakeGranted(now, give, b.demand.Tokens, b.loanIDs()...)
	if give.Tokens > 0 {
		b.loans = append(b.loans, lender{slot: slot, ask: give.ID})
	}
	if !v.Admitted {
		return false
	}
	b.charge = c
	b.demand.Note(now, "tokens charged", "with tokens of slot "+slot)
	return true
}

// loanIDs returns the numbers of the requests that got tokens.
func (b *borrowing) loanIDs() []uint64 {
	ids := make([]uint64, 0, len(b.loans))
	for _, l := range b.loans {
		ids = append(ids, l.ask)
	}
	return ids
}

// answered removes a request from the open ones and returns the slot that was asked.
func (b *borrowing) answered(ask uint64) string {
	for i, l := range b.open {
		if l.ask == ask {
			b.open = append(b.open[:i], b.open[i+1:]...)
			return l.slot
		}
	}
	return ""
}

// backOffUnanswered records that a holder did not answer in time, unless the wait ended with ctx, the caller's.
func (b *borrowing) backOffUnanswered(ctx context.Context, slot string) {
	if ctx.Err() != nil {
		return
	}
	until := b.exchange.Now().Add(unansweredBackoff)
	b.exchange.setBackoff(slot, b.demand.Workspace.Name, backoff{until: until, unanswered: true})
}

// describe names the holders that gave too few tokens and those that gave none, for the explanation of the request.
func (b *borrowing) describe() string {
	return fmt.Sprintf("%d missing; too few from slots %v, no answer of %v, unreachable %v", b.missing, slots(b.loans), slots(b.open), b.unreachable)
}

func slots(lenders []lender) []string {
	var names []string
	for _, l := range lenders {
		names = append(names, l.slot)
	}
	return names
}

// end withdraws the open requests for tokens, and returns the unused tokens to the lenders.
func (b *borrowing) end() {
	e, workspace := b.exchange, b.demand.Workspace.Name
	for len(b.open) > 0 {
		b.cancelLast()
	}
	for _, l := range b.loans {
		if !e.Connected(l.slot) {
			continue // The reserved room is released when the loan expires.
		}
		if a, ok := e.Tokens.EndLoan(e.Now(), workspace, l.ask); ok {
			e.Hooks.notifyAsk(workspace)
			e.Send(l.slot, &vmwire.TokenRequest{ID: a.ID, Workspace: a.Workspace, Loan: a.Loan})
		}
	}
}

// minKnownWait returns the smaller wait; zero is unknown.
func minKnownWait(a, b time.Duration) time.Duration {
	if a == 0 || b < a {
		return b
	}
	return a
}
