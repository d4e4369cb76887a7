package edge

import (
	"encoding/binary"
	"strconv"
	"time"

	"parsleyhatch/returns"
)

// returnDivisor is the part of its remaining time after which a caller no longer returns: clients wait at most a third of it.
const returnDivisor = 3

// tooLateToReturn is added to the detail of a refusal whose caller has too little time left to return.
const tooLateToReturn = "; the caller cannot be served before its deadline"

// returnsAsPromised reports whether the caller of a request was refused earlier and returns at the promised time.
func (e *Edge) returnsAsPromised(now time.Time, r *request) bool {
	kept := e.Returns.Arrive(now, r.roomKey(), callerOf(r))
	if kept {
		e.Metrics.AddCounter("retry_promises_kept", 1)
	}
	return kept
}

// promiseReturn sets the time after which a caller of this VM whose request is refused as overloaded is to return. It is the time until its
// deadline if the caller can't be served before. Without a known rate, the outcome keeps the estimate of its refusal.
func (e *Edge) promiseReturn(now time.Time, r *request, out Outcome) Outcome {
	if out.Complete || out.Reason != Overloaded || out.Ran != NotRun || r.headSent {
		return out
	}
	rate := e.sentCosts.Rate(now, r.roomKey())
	if rate == 0 {
		return out
	}
	e.Returns.SetRoom(now, r.roomKey(), rate)
	after, ok := e.Returns.Promise(now, r.roomKey(), r.rank(), callerOf(r), costOf(r), r.remaining(time.Now()))
	if !ok && out.RetryAfter <= r.remaining(time.Now())/returnDivisor {
		return out // The schedule may underestimate the capacity, so that an early retry can succeed without a promise.
	}
	if !ok {
		e.Metrics.AddCounter("retry_promises_impossible", 1)
		out.RetryAfter = max(0, r.remaining(time.Now()))
		out.Detail += tooLateToReturn
		return out
	}
	e.Metrics.AddCounter("retry_promises_given", 1)
	out.RetryAfter = after
	return out
}

// roomKey returns the name of the request's schedule. Each rank of a service has its own, so that the promises to less urgent callers never
// exceed the rate at which their requests are served.
func (r *request) roomKey() string { return roomKey(r.service.Name, routeRank(r.route)) }

func roomKey(service string, rank int) string { return service + "#" + strconv.Itoa(rank) }

// callerOf returns the identity of a request's caller: the fingerprint covers the workspace, the target and the body.
func callerOf(r *request) returns.Caller {
	return returns.Caller(binary.LittleEndian.Uint64(r.fingerprint[:]))
}

// costOf returns the work of a request, in tokens. A request without Token-Usage counts as one token, as do all of its service then.
func costOf(r *request) int64 { return max(1, r.prompt.TotalTokens()) }

// recordSentCost records that a request is sent to an upstream or to another VM. A forwarded request is recorded by the VM of its caller.
func (e *Edge) recordSentCost(r *request) {
	if !r.forwarded {
		e.sentCosts.Add(e.Now(), r.roomKey(), costOf(r))
	}
}
