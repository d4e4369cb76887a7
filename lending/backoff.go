package lending

import (
	"time"

	"parsleyhatch/limit"
)

// maxBackoffs bounds the number of remembered backoffs.
const maxBackoffs = 4096

// backoff is the state of a holder that this VM asked for tokens of a workspace.
type backoff struct {
	until time.Time
	// unanswered means that the holder did not answer in time. It may have tokens.
	unanswered bool
	// tokens is what the holder gave when it had too few. It may give as many again.
	tokens int64
}

// mayGive reports whether the holder may give a number of tokens soon.
func (b backoff) mayGive(tokens int64) bool {
	return b.until.IsZero() || !b.unanswered && tokens <= b.tokens
}

// holderKey identifies what a slot holds of a workspace.
type holderKey struct{ slot, workspace string }

// registerAsk makes deliver pass the answer to a request for tokens to c, which must have room for it.
func (e *Exchange) registerAsk(id uint64, c chan<- limit.TokenGrant) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waiting[id] = c
}

func (e *Exchange) removeAsk(id uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.waiting, id)
}

// deliver passes a grant to the request that waits for it, and reports whether one does.
func (e *Exchange) deliver(grant limit.TokenGrant) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.waiting[grant.ID]
	if c == nil {
		return false
	}
	delete(e.waiting, grant.ID)
	c <- grant
	return true
}

// backoffOf returns the backoff of a holder, or the zero value if it has none.
func (e *Exchange) backoffOf(now time.Time, slot, workspace string) backoff {
	e.mu.Lock()
	defer e.mu.Unlock()
	if b := e.backoffs[holderKey{slot, workspace}]; now.Before(b.until) {
		return b
	}
	return backoff{}
}

func (e *Exchange) inBackoff(now time.Time, slot, workspace string) bool {
	return !e.backoffOf(now, slot, workspace).until.IsZero()
}

func (e *Exchange) setBackoff(slot, workspace string, b backoff) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.backoffs) >= maxBackoffs {
		clear(e.backoffs)
	}
	e.backoffs[holderKey{slot, workspace}] = b
}
