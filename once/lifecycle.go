package once

import (
	"time"

	"parsleyhatch/event"
)

// MarkSending marks a call as sent and must be called before its first byte is sent. It returns false if the call
// must not be sent: the table is sealed, the deadline has passed, the record was withdrawn, or this incarnation
// may have been replaced. The record is then Released, so the call is known not to have run.
func (t *Table) MarkSending(now time.Time, r *Record) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.state == Released {
		return false
	}
	if r.state != Claimed {
		event.FailInvariant(t.Log, event.BrokenSecondSend, "state", r.state, "route", r.key.Route)
	}
	if t.sealed || t.deadlinePassed(now, r) || r.opaque && !t.leaseValid(now) {
		t.release(r)
		return false
	}
	r.state = Sent
	return true
}

func (t *Table) deadlinePassed(now time.Time, r *Record) bool {
	return !r.Deadline.IsZero() && !now.Before(r.Deadline)
}

// MarkUnsent records that the connection failed before any byte was sent. The call may be tried at another upstream
// after another call of MarkSending.
func (t *Table) MarkUnsent(_ time.Time, r *Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requireState(r, Sent)
	r.state = Claimed
}

// Withdraw cancels a call that has not been sent. It may be called from any goroutine. It returns true if no byte
// was sent and none will be, and false if the call may have been sent or has ended.
func (t *Table) Withdraw(_ time.Time, r *Record) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.state == Claimed {
		t.release(r)
	}
	return r.state == Released
}

// Abandon ends a call for which the sender knows that no byte was sent. The key may be used again.
func (t *Table) Abandon(_ time.Time, r *Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.state == Released {
		return
	}
	t.requireState(r, Claimed, Sent)
	t.release(r)
}

// Finish records the answer of a call that was sent.
func (t *Table) Finish(_ time.Time, r *Record, a Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requireState(r, Sent)
	size := a.bytes()
	if size > t.limits.AnswerBytes || t.bytes+size > t.limits.TotalBytes {
		event.OnceAnswerNotKept.Log(t.Log, "route", r.key.Route, "bytes", size)
		t.setFinalState(r, AnswerDropped)
		return
	}
	r.answer = a
	t.addAnswerBytes(size)
	t.setFinalState(r, Answered)
}

// FinishUnknown ends a call that may have been sent and whose outcome cannot be known.
func (t *Table) FinishUnknown(_ time.Time, r *Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requireState(r, Claimed, Sent)
	t.setFinalState(r, OutcomeUnknown)
}

// Result returns the state of a record and, if the state is Answered, the answer. The caller must not modify the
// answer.
func (t *Table) Result(r *Record) (State, Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return r.state, r.answer
}

// Ran returns whether the call of a record in this state ran, as reported to callers.
func (s State) Ran() Ran {
	switch s {
	case Released:
		return NotRun
	case Answered, AnswerDropped:
		return HasRun
	}
	return UnknownRan
}

// requireState reports a broken invariant if the record is in none of the states.
func (t *Table) requireState(r *Record, states ...State) {
	for _, s := range states {
		if r.state == s {
			return
		}
	}
	event.FailInvariant(t.Log, event.BrokenOnceState, "state", r.state, "route", r.key.Route)
}

// setFinalState sets the final state and wakes the requests that wait for the record.
func (t *Table) setFinalState(r *Record, s State) {
	r.state = s
	close(r.done)
}

// release removes the record, so that the key can be used again. Waiting requests then call Begin again.
func (t *Table) release(r *Record) {
	t.remove(r)
	t.setFinalState(r, Released)
}
