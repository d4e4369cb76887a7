package edge

import (
	"net/http"
	"time"
)

// Ran states whether an upstream ran a request.
type Ran uint8

// Values of Ran.
const (
	// NotRun means that no upstream has run the request or will run it.
	NotRun Ran = iota
	// MayHaveRun means that a part of the request may have reached an upstream.
	MayHaveRun
	// HasRun means that an upstream answered.
	HasRun
)

var ranNames = [...]string{NotRun: "notRun", MayHaveRun: "unknown", HasRun: "ran"}

// String returns the name used in logs and between VMs.
func (r Ran) String() string { return ranNames[r] }

// Reason is the cause of a request's outcome, as logged and sent to callers and other VMs.
type Reason string

// Reasons of outcomes.
const (
	Answered           Reason = "answered"
	NoConfiguration    Reason = "noConfiguration"
	StaleKeys          Reason = "staleKeys"
	Leaving            Reason = "leaving"
	NoRoute            Reason = "noRoute"
	UnknownKey         Reason = "unknownKey"
	RateLimited        Reason = "overRate"
	BadRequest         Reason = "badRequest"
	TooLarge           Reason = "tooLarge"
	HeaderTooLarge     Reason = "headerTooLarge"
	Quarantined        Reason = "quarantined"
	NoUpstream         Reason = "noUpstream"
	Overloaded         Reason = "overloaded"
	MemoryFull         Reason = "memoryFull"
	BodyStalled        Reason = "bodyStalled"
	UpstreamRefused    Reason = "upstreamRefused"
	VersionUnknown     Reason = "versionUnknown"
	UpstreamFailed     Reason = "upstreamBroke"
	VMLost             Reason = "vmLost"
	VMStopped          Reason = "vmStopped"
	TimedOut           Reason = "timedOut"
	CallerDisconnected Reason = "callerGone"
)

// Outcome is the result of a request or of one attempt.
type Outcome struct {
	Reason Reason
	// Status is the HTTP status of the answer.
	Status int
	Ran    Ran
	// RetryAfter is the time after which the caller should retry, zero if none is given.
	RetryAfter time.Duration
	// Detail explains the reason in logs and in refusals.
	Detail string
	// Complete is set if the caller received the complete answer of an upstream.
	Complete bool
}

// statuses are the HTTP statuses of answers that the gateway generates itself. 503 and 429 guarantee that the
// request has not run; finalOutcome replaces them with 502 if it may have run.
var statuses = map[Reason]int{
	NoConfiguration:    http.StatusServiceUnavailable,
	StaleKeys:          http.StatusServiceUnavailable,
	Leaving:            http.StatusServiceUnavailable,
	NoRoute:            http.StatusNotFound,
	UnknownKey:         http.StatusUnauthorized,
	RateLimited:        http.StatusTooManyRequests,
	BadRequest:         http.StatusBadRequest,
	TooLarge:           http.StatusRequestEntityTooLarge,
	HeaderTooLarge:     http.StatusRequestHeaderFieldsTooLarge,
	Quarantined:        http.StatusInternalServerError,
	NoUpstream:         http.StatusServiceUnavailable,
	Overloaded:         http.StatusServiceUnavailable,
	MemoryFull:         http.StatusServiceUnavailable,
	BodyStalled:        http.StatusRequestTimeout,
	UpstreamRefused:    http.StatusServiceUnavailable,
	VersionUnknown:     http.StatusServiceUnavailable,
	UpstreamFailed:     http.StatusBadGateway,
	VMLost:             http.StatusBadGateway,
	VMStopped:          http.StatusBadGateway,
	TimedOut:           http.StatusGatewayTimeout,
	CallerDisconnected: http.StatusBadGateway,
}

// refuse returns the outcome of a request that has not run.
func refuse(reason Reason, detail string, after time.Duration) Outcome {
	return Outcome{Reason: reason, Status: statuses[reason], Ran: NotRun, RetryAfter: after, Detail: detail}
}

// fail returns the outcome of a request that may have run.
func fail(reason Reason, detail string) Outcome {
	return Outcome{Reason: reason, Status: statuses[reason], Ran: MayHaveRun, Detail: detail}
}
