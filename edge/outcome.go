package edge

import (
	"net/http"
	"time"
)

// Ran says whether an upstream ran a request.
type Ran uint8

// What is known about the run of a request.
const (
	// NotRun means that no upstream ran the request, and none ever will.
	NotRun Ran = iota
	// MayHaveRun means that a part of the request may have left.
	MayHaveRun
	// HasRun means that an upstream answered.
	HasRun
)

var ranNames = [...]string{NotRun: "notRun", MayHaveRun: "unknown", HasRun: "ran"}

// String returns the name used in logs and between VMs.
func (r Ran) String() string { return ranNames[r] }

// Reason names why a request ended as it did.
type Reason string

// Reasons of outcomes.
const (
	Answered        Reason = "answered"
	NoConfiguration Reason = "noConfiguration"
	StaleKeys       Reason = "staleKeys"
	Leaving         Reason = "leaving"
	NoRoute         Reason = "noRoute"
	UnknownKey      Reason = "unknownKey"
	OverRate        Reason = "overRate"
	BadRequest      Reason = "badRequest"
	TooLarge        Reason = "tooLarge"
	HeaderTooLarge  Reason = "headerTooLarge"
	Quarantined     Reason = "quarantined"
	NoUpstream      Reason = "noUpstream"
	Overloaded      Reason = "overloaded"
	UpstreamRefused Reason = "upstreamRefused"
	UpstreamBroke   Reason = "upstreamBroke"
	VMLost          Reason = "vmLost"
	TimedOut        Reason = "timedOut"
	CallerGone      Reason = "callerGone"
)

// Outcome is the end of a request or of one attempt.
type Outcome struct {
	Reason Reason
	// Status is that of the answer.
	Status int
	Ran    Ran
	// RetryAfter tells the caller when to come back; zero tells nothing.
	RetryAfter time.Duration
	// Detail explains the reason in logs.
	Detail string
	// Whole says that the caller got the whole answer of an upstream.
	Whole bool
}

// statuses are those of answers that the system makes itself. 503 and 429 promise that the request has not
// run; they are replaced by 502 or 504 where it may have.
var statuses = map[Reason]int{
	NoConfiguration: http.StatusServiceUnavailable,
	StaleKeys:       http.StatusServiceUnavailable,
	Leaving:         http.StatusServiceUnavailable,
	NoRoute:         http.StatusNotFound,
	UnknownKey:      http.StatusUnauthorized,
	OverRate:        http.StatusTooManyRequests,
	BadRequest:      http.StatusBadRequest,
	TooLarge:        http.StatusRequestEntityTooLarge,
	HeaderTooLarge:  http.StatusRequestHeaderFieldsTooLarge,
	Quarantined:     http.StatusInternalServerError,
	NoUpstream:      http.StatusServiceUnavailable,
	Overloaded:      http.StatusServiceUnavailable,
	UpstreamRefused: http.StatusServiceUnavailable,
	UpstreamBroke:   http.StatusBadGateway,
	VMLost:          http.StatusBadGateway,
	TimedOut:        http.StatusGatewayTimeout,
	CallerGone:      http.StatusBadGateway,
}

// refuse returns the outcome of a request that has not run.
func refuse(reason Reason, detail string, after time.Duration) Outcome {
	return Outcome{Reason: reason, Status: statuses[reason], Ran: NotRun, RetryAfter: after, Detail: detail}
}

// fail returns the outcome of a request that may have run.
func fail(reason Reason, detail string) Outcome {
	return Outcome{Reason: reason, Status: statuses[reason], Ran: MayHaveRun, Detail: detail}
}
