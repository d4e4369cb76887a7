package edge

import (
	"context"
	"errors"
	"net/http"
	"time"

	"parsleyhatch/event"
	"parsleyhatch/memory"
	"parsleyhatch/replica"
	"parsleyhatch/upstream"
)

const (
	// defaultMemoryBytes is the memory of a machine whose settings name none.
	defaultMemoryBytes = 256 << 20
	// bodyMemoryShare is the share of the machine's memory for request bodies. They are sent to upstreams without a copy.
	bodyMemoryShare = 0.1
	// answerMemoryShare is the share of the machine's memory for buffered answers and incomplete events.
	answerMemoryShare = 0.1
	// workspaceBodyShare is the share of the memory for bodies that one workspace may use, and upstreamAnswerShare the share of the
	// memory for answers that one upstream may use: none of them stops the requests of the others.
	workspaceBodyShare  = 0.75
	upstreamAnswerShare = 0.25
	// progressInterval is the interval at which an answer with a length is checked for progress, and minIdleChecks the number of checks
	// in a row without any after which it counts as stuck. After a pause of the process the first one fails although bytes have arrived.
	progressInterval = 500 * time.Millisecond
	minIdleChecks    = 2
)

// requestMemory bounds the memory of all open requests.
type requestMemory struct {
	// bodies is held by workspaces. answers is held by upstreams, and by other VMs for the streams that they forward.
	bodies, answers *memory.Budget
	log             logRate
}

func newRequestMemory() *requestMemory {
	return &requestMemory{bodies: memory.NewBudget(0, workspaceBodyShare), answers: memory.NewBudget(0, upstreamAnswerShare)}
}

// setLimits sets the limits for a machine with that many bytes of memory.
func (m *requestMemory) setLimits(machine int64) {
	if machine <= 0 {
		machine = defaultMemoryBytes
	}
	m.bodies.SetLimit(int64(bodyMemoryShare * float64(machine)))
	m.answers.SetLimit(int64(answerMemoryShare * float64(machine)))
}

// HeldBytes returns the bytes that are reserved for request bodies and for answers.
func (e *Edge) HeldBytes() (bodies, answers int64) {
	return e.memory.bodies.Usage().Used, e.memory.answers.Usage().Used
}

// heldData says what memory was needed for, in log lines and metrics.
type heldData string

const (
	heldBody   heldData = "body"
	heldAnswer heldData = "answer"
	heldEvent  heldData = "event"
)

// recordMemoryFull counts and logs that there was no memory for data of a request. holder is the workspace, upstream or VM that it
// would have been reserved for.
func (e *Edge) recordMemoryFull(r *request, data heldData, holder string, cause error) {
	e.Metrics.CountMemoryFull(string(data))
	if !e.memory.log.allows(e.Now()) {
		return
	}
	budget := e.memory.answers
	if data == heldBody {
		budget = e.memory.bodies
	}
	u := budget.Usage()
	event.MemoryFull.Log(e.Log, "request", r.id, "data", string(data), "holder", holder, "cause", cause.Error(),
		"usedBytes", u.Used, "limitBytes", u.Limit, "largestHolder", u.Largest, "largestBytes", u.LargestUsed)
}

// errAnswerStuck reports that an answer makes no progress while its memory is needed.
var errAnswerStuck = errors.New("the answer makes no progress while memory is short")

// readAnswer reads an answer into a buffer. It gives up an answer with a length that holds memory without progress while memory is
// short. One without a length holds less, and its parser cannot go on after a read that has timed out.
func (e *Edge) readAnswer(a *upstream.Response, upstreamID string, body *memory.Buffer) error {
	if a.Length < 0 {
		return body.ReadAll(a, maxUnsizedAnswer)
	}
	limit := int(min(a.Length, maxBufferedAnswer))
	if a.Length <= memory.UncountedBytes {
		return body.ReadAll(a, limit)
	}
	defer a.SetReadDeadline(time.Time{})
	for idleChecks := 0; ; {
		received := body.Len()
		a.SetReadDeadline(time.Now().Add(progressInterval))
		err := body.ReadAll(a, limit)
		if !upstream.IsTimeout(err) {
			return err
		}
		idleChecks++
		if body.Len() > received {
			idleChecks = 0
		}
		if idleChecks >= minIdleChecks && e.memory.answers.IsShort(upstreamID) {
			return errAnswerStuck
		}
	}
}

// mayLeave reports whether another attempt replaces an answer for which there is no memory: one that is stuck or an error, if the
// request may run again and has a destination. Any other answer is relayed as it arrives.
func (e *Edge) mayLeave(ctx context.Context, r *request, a *upstream.Response, err error) bool {
	replaceable := errors.Is(err, errAnswerStuck) || a.Status >= http.StatusInternalServerError
	return replaceable && e.mayReplaceFailure(ctx, r) && e.hasDestination(r)
}

// newBody returns the buffer for the body of the request, which is released with the request.
func (e *Edge) newBody(r *request) *memory.Buffer {
	r.bodyBuffer = e.memory.bodies.Buffer(r.workspaceName())
	return r.bodyBuffer
}

// resultOfFull returns the result of an attempt for which there was no memory. Only an upstream that has used its own share is
// blamed.
func resultOfFull(err error) replica.Result {
	if errors.Is(err, memory.ErrShareFull) {
		return replica.Failed
	}
	return replica.RequestCancelled
}

// refuseBody returns the refusal of a request for whose body there is no memory.
func (e *Edge) refuseBody(r *request, cause error) Outcome {
	e.recordMemoryFull(r, heldBody, r.workspaceName(), cause)
	return refuse(MemoryFull, cause.Error(), defaultRetryAfter)
}

// releaseMemory gives back what the request holds. It is called when the request has ended.
func (h *heldMemory) releaseMemory() {
	if h.endShare != nil {
		h.endShare()
	}
	if h.bodyBuffer != nil {
		h.bodyBuffer.Release()
	}
	if h.failedAnswer != nil {
		h.failedAnswer.body.Release()
	}
}

// keepFailedAnswer keeps the latest error answer of an upstream.
func (h *heldMemory) keepFailedAnswer(a *bufferedAnswer) {
	if h.failedAnswer != nil {
		h.failedAnswer.body.Release()
	}
	h.failedAnswer = a
}

// keeps reports whether the request keeps the answer in a buffer until its end.
func (h *heldMemory) keeps(b *memory.Buffer) bool {
	return h.failedAnswer != nil && h.failedAnswer.body == b
}
