package edge

import (
	"errors"
	"time"

	"parsleyhatch/poison"
	"parsleyhatch/replica"
	"parsleyhatch/upstream"
)

const (
	// firstCrashCheck and secondCrashCheck are the times after the end of an answer at which this VM looks whether the upstream goes on
	// running. Most processes that have ended are found by the first one, those behind slow links by the second.
	firstCrashCheck  = 20 * time.Millisecond
	secondCrashCheck = 250 * time.Millisecond
	// crashDecisionTime is the time after the end of an answer at which this VM decides whether the request crashed its upstream. A
	// request that does may still be sent for a few seconds.
	crashDecisionTime = time.Second
)

// brokenAnswer is an answer to a request that an upstream broke off at a time.
type brokenAnswer struct {
	fingerprint poison.Fingerprint
	lifetime    poison.Lifetime
	address     string
	at          time.Time
}

// reportCrash handles the failure of an upstream while it ran the request. It counts as a crash at once unless a connection to the
// upstream remains. That is checked again later. An upstream whose answer was malformed goes on running.
func (e *Edge) reportCrash(r *request, pick *replica.Pick, cause error) {
	e.recordAboveLimit(pick.ID, r.id, cause)
	now := e.Now()
	b := brokenAnswer{fingerprint: r.fingerprint, lifetime: lifetimeOf(pick), address: pick.Address, at: now}
	e.Breaks.Record(now, b.lifetime, b.fingerprint)
	if errors.Is(cause, upstream.ErrMalformed) {
		return
	}
	if e.Pool.KeepsConnection(b.address, b.at, time.Time{}) {
		e.undecidedCrashes.Add(1)
		go e.runCrashChecks(b)
	} else {
		e.recordCrash(now, b)
	}
	isSteady := !r.answerStartedAt.IsZero() && now.Sub(r.answerStartedAt) >= steadyAnswerTime
	if isSteady || !isConnectionLoss(cause) {
		return
	}
	e.broadcastParts(e.Parts.RecordCrash(now, b.lifetime, r.service.Name, r.sharedParts()))
}

// runCrashChecks decides whether the request of an answer crashed its upstream. It did not if the upstream goes on running and breaks off
// its answers to other requests, too. One that goes on running and breaks off its answers to this request only may consist of several
// processes, one of which the request crashed.
func (e *Edge) runCrashChecks(b brokenAnswer) {
	defer e.undecidedCrashes.Add(-1)
	for _, after := range []time.Duration{firstCrashCheck, secondCrashCheck} {
		time.Sleep(after - e.Now().Sub(b.at))
		if !e.Pool.KeepsConnection(b.address, b.at, time.Time{}) {
			e.recordCrash(e.Now(), b)
			return
		}
	}
	time.Sleep(crashDecisionTime - e.Now().Sub(b.at))
	now := e.Now()
	// A VM that is cut off doesn't learn that connections have ended, so the upstream must have sent something.
	if !e.Pool.KeepsConnection(b.address, b.at, b.at.Add(secondCrashCheck)) || !e.Breaks.Excuse(now, b.lifetime, b.fingerprint) {
		e.recordCrash(now, b)
		return
	}
	e.Metrics.AddCounter("crashes_excused", 1)
}

// recordCrash counts a crash of an upstream that ran a request, and notifies the other VMs.
func (e *Edge) recordCrash(now time.Time, b brokenAnswer) {
	e.Poison.RecordCrash(now, b.lifetime.Upstream, []poison.Fingerprint{b.fingerprint})
	e.broadcastSuspect(now, b.fingerprint)
}
