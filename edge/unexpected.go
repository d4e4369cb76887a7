package edge

import (
	"errors"

	"parsleyhatch/event"
	"parsleyhatch/upstream"
)

// recordUnexpected logs and counts bytes of an upstream that belong to no request.
func (e *Edge) recordUnexpected(address, request string, reason upstream.Unexpected) {
	e.Metrics.AddCounter("unexpected_upstream_bytes", 1)
	event.UpstreamUnexpected.Log(e.Log, "upstream", address, "reason", string(reason), "request", request)
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
