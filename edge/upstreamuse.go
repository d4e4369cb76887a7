package edge

import (
	"context"
	"sync"
	"time"

	"parsleyhatch/replica"
	"parsleyhatch/upstream"
)

// arrivalCheckInterval is the interval at which an answer that waits for its caller is checked for whether the rest of it has arrived.
const arrivalCheckInterval = 100 * time.Millisecond

// upstreamUse counts a request at its upstream while the answer is relayed unbuffered. The count ends before the relay does if the upstream has
// nothing left to do: callers may read slowly or not at all. It is safe for concurrent use.
type upstreamUse struct {
	edge   *Edge
	pick   *replica.Pick
	answer *upstream.Response
	// ctx ends when the connection to the upstream is closed, since the request has ended.
	ctx context.Context

	mu sync.Mutex
	// writing is set while the relay waits for the caller. Nothing reads the answer then.
	writing bool
	ended   bool
	check   *time.Timer
}

func (e *Edge) newUpstreamUse(ctx context.Context, pick *replica.Pick, a *upstream.Response) *upstreamUse {
	u := &upstreamUse{edge: e, pick: pick, answer: a, ctx: ctx}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.check = time.AfterFunc(arrivalCheckInterval, u.checkArrival)
	return u
}

// write sends a part of the answer to the caller.
func (u *upstreamUse) write(sink *Sink, b []byte) error {
	u.setWriting(true)
	defer u.setWriting(false)
	return sink.Data(b, false)
}

func (u *upstreamUse) setWriting(writing bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.writing = writing
}

// checkArrival ends the use if the caller is all that the relay waits for.
func (u *upstreamUse) checkArrival() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.ended {
		return
	}
	if u.writing {
		if result, ok := resultOfUnread(u.answer.IsReceived(), u.ctx.Err() != nil); ok {
			u.endLocked(result)
			return
		}
	}
	u.check.Reset(arrivalCheckInterval)
}

// resultOfUnread returns the result of an attempt whose relay waits for the caller. It reports false while the upstream may still work on the
// request: until the rest of the answer has arrived, or the request has ended. It answers crowds of callers that read no answers.
func resultOfUnread(received, ended bool) (replica.Result, bool) {
	switch {
	case received:
		return replica.Answered, true
	case ended:
		return replica.RequestCancelled, true
	default:
		return 0, false
	}
}

// end ends the use with the result of the relay, unless it has ended before.
func (u *upstreamUse) end(result replica.Result) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.endLocked(result)
}

func (u *upstreamUse) endLocked(result replica.Result) {
	if u.ended {
		return
	}
	u.ended = true
	u.check.Stop()
	u.edge.Replicas.Done(u.edge.Now(), u.pick, result)
}
