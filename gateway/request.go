package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"parsleyhatch/config"
	"parsleyhatch/poison"
	"parsleyhatch/trace"
	"parsleyhatch/vmwire"
)

// Code is the stable code of an outcome. The empty code is success.
type Code string

// Codes of outcomes.
const (
	OK                 Code = ""
	InvalidRequest     Code = "invalidRequest"
	Unauthorized       Code = "unauthorized"
	WrongRegion        Code = "wrongRegion"
	RateLimited        Code = "rateLimited"
	Overloaded         Code = "overloaded"
	DeadlineExceeded   Code = "deadlineExceeded"
	NoUpstream         Code = "noUpstream"
	UpstreamFailed     Code = "upstreamFailed"
	KeyWithdrawn       Code = "keyWithdrawn"
	Leaving            Code = "leaving"
	OwnerGone          Code = "ownerGone"
	TicketExpired      Code = "ticketExpired"
	KeyReused          Code = "keyReused"
	IdempotencyMissing Code = "idempotencyKeyRequired"
	RetryHorizon       Code = "horizon"
	TableFull          Code = "tableFull"
	Poisoned           Code = "poisoned"
	StaleConfig        Code = "staleConfig"
	TooLarge           Code = "tooLarge"
	NotFound           Code = "notFound"
	UnreachableRegion  Code = "unreachableRegion"
	PeerLost           Code = "peerLost"
	OwnerUnreachable   Code = "ownerUnreachable"
	AnswerNotKept      Code = "answerNotKept"
	CallerGone         Code = "callerGone"
	Internal           Code = "internal"
)

// Ran says whether an upstream ran the request.
type Ran string

// Values of Ran.
const (
	NotRun  Ran = "notRun"
	DidRun  Ran = "ran"
	Unknown Ran = "unknown"
)

var statuses = map[Code]int{
	OK:                 http.StatusOK,
	InvalidRequest:     http.StatusBadRequest,
	Unauthorized:       http.StatusUnauthorized,
	WrongRegion:        http.StatusMisdirectedRequest,
	RateLimited:        http.StatusTooManyRequests,
	Overloaded:         http.StatusServiceUnavailable,
	DeadlineExceeded:   http.StatusGatewayTimeout,
	NoUpstream:         http.StatusServiceUnavailable,
	UpstreamFailed:     http.StatusBadGateway,
	KeyWithdrawn:       http.StatusUnauthorized,
	Leaving:            http.StatusServiceUnavailable,
	OwnerGone:          http.StatusConflict,
	TicketExpired:      http.StatusConflict,
	KeyReused:          http.StatusUnprocessableEntity,
	IdempotencyMissing: http.StatusBadRequest,
	RetryHorizon:       http.StatusConflict,
	TableFull:          http.StatusServiceUnavailable,
	Poisoned:           http.StatusUnprocessableEntity,
	StaleConfig:        http.StatusServiceUnavailable,
	TooLarge:           http.StatusRequestEntityTooLarge,
	NotFound:           http.StatusNotFound,
	UnreachableRegion:  http.StatusServiceUnavailable,
	PeerLost:           http.StatusBadGateway,
	OwnerUnreachable:   http.StatusServiceUnavailable,
	AnswerNotKept:      http.StatusConflict,
	CallerGone:         499,
	Internal:           http.StatusInternalServerError,
}

// Outcome is how a request ended.
type Outcome struct {
	Code    Code
	Message string
	// Ran is NotRun only if no byte has reached an upstream and none will.
	Ran Ran
	// RetryAfter is the delay before a retry; zero means that a retry does not help.
	RetryAfter   time.Duration
	Upstream     string
	Region       string
	PromptTokens int64
	// AnswerTokens counts the answer tokens that were passed to the caller.
	AnswerTokens int64
	// Replayed is set if the answer was recorded earlier; it is not charged again.
	Replayed bool
	// Alternatives lists the VMs to use instead of this one, best first.
	Alternatives []*config.VM
}

// Status returns the HTTP status of the outcome.
func (o Outcome) Status() int {
	if status, ok := statuses[o.Code]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// refuse returns an outcome of a request that did not run.
func refuse(code Code, message string) Outcome {
	return Outcome{Code: code, Message: message, Ran: NotRun}
}

// refuseUntil returns a refusal with a delay before a retry.
func refuseUntil(code Code, message string, after time.Duration) Outcome {
	return Outcome{Code: code, Message: message, Ran: NotRun, RetryAfter: after}
}

// endMessage converts an outcome to the message for another VM.
func endMessage(o Outcome) *vmwire.End {
	return &vmwire.End{
		Code:             string(o.Code),
		Message:          o.Message,
		Ran:              string(o.Ran),
		RetryAfterMillis: o.RetryAfter.Milliseconds(),
		PromptTokens:     o.PromptTokens,
		AnswerTokens:     o.AnswerTokens,
		Upstream:         o.Upstream,
	}
}

// outcomeFromEnd converts the end message of another VM.
func outcomeFromEnd(e *vmwire.End) Outcome {
	return Outcome{
		Code:         Code(e.Code),
		Message:      e.Message,
		Ran:          Ran(e.Ran),
		RetryAfter:   time.Duration(e.RetryAfterMillis) * time.Millisecond,
		PromptTokens: e.PromptTokens,
		AnswerTokens: e.AnswerTokens,
		Upstream:     e.Upstream,
	}
}

// Request is a request that a VM processes.
type Request struct {
	// ID is unique over the fleet.
	ID string
	// Snapshot is the configuration that admitted the request; the request also finishes under it.
	Snapshot  *config.Snapshot
	Route     *config.Route
	Workspace *config.Workspace
	// KeyID is empty on open routes.
	KeyID string
	Body  []byte
	// Method, Path and Header describe a service call.
	Method string
	Path   string
	Header map[string]string
	// ResumeFrom is the token offset at which the answer continues.
	ResumeFrom int64
	MaxTokens  int64
	// PromptTokens is an upper bound of the prompt's tokens.
	PromptTokens   int64
	IdempotencyKey string
	// PrefixKey is the key of the prompt's prefix; it is salted with the workspace.
	PrefixKey string
	// AdmittedAt is when this VM admitted the request, and Deadline when its first byte is due.
	AdmittedAt time.Time
	Deadline   time.Time
	// Forwarded is set if another VM forwarded the request; it is not forwarded again.
	Forwarded  bool
	OriginSlot string

	trace trace.Trace
	// fingerprint identifies the request for package poison.
	fingerprint poison.Fingerprint
	// reachedUpstream is set once an upstream has received the request from this VM.
	reachedUpstream bool
	// placerSlot is the VM of the region that must place the request, since it is a suspect.
	placerSlot string
	// prefix is Prefix as a number, zero if there is none.
	prefix uint64
	// releaseOutcome is the reason why a non-idempotent call was not sent.
	releaseOutcome *atomic.Pointer[Outcome]
}

// Sink takes the chunks of an answer in order. An error means that the caller has disconnected.
type Sink func(ctx context.Context, c *vmwire.Chunk) error
