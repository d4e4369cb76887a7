package edge

import (
	"errors"
	"fmt"

	"parsleyhatch/event"
	"parsleyhatch/upstream"
)

// maxCauseLength bounds the description of a malformed answer in the log, in characters. It may quote a line of the answer.
const maxCauseLength = 120

// recordUnexpected logs and counts bytes of an upstream that belong to no request.
func (e *Edge) recordUnexpected(b upstream.UnexpectedBytes) {
	e.Metrics.AddCounter("unexpected_upstream_bytes", 1)
	cause := ""
	if b.Cause != nil {
		cause = fmt.Sprintf("%.*s", maxCauseLength, b.Cause.Error())
	}
	event.UpstreamUnexpected.Log(e.Log, "upstream", b.Address, "reason", string(b.Reason), "request", b.RequestID, "cause", cause)
}

// recordAboveLimit logs and counts an answer of an upstream that was ended because it exceeds a limit. Other errors are ignored.
func (e *Edge) recordAboveLimit(upstreamID, request string, err error) {
	var limit *upstream.LimitError
	if !errors.As(err, &limit) {
		return
	}
	e.Metrics.AddCounter("answers_above_limit", 1)
	event.AnswerAboveLimit.Log(e.Log, "upstream", upstreamID, "limit", string(limit.Limit), "maxBytes", limit.MaxBytes, "request", request)
}
