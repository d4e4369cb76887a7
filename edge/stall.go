package edge

import (
	"context"
	"sync"
	"time"

	"parsleyhatch/event"
	"parsleyhatch/fleet"
	"parsleyhatch/route"
	"parsleyhatch/upstream"
)

const (
	// minStallTimeout is the minimum time without an event after which a stream resumes at another upstream. It is below
	// minCallerPatience, which is the minimum time for which callers wait for the next event.
	minStallTimeout   = 1500 * time.Millisecond
	minCallerPatience = 2 * time.Second
	// Callers wait at least latencyPatience times the target latency and gapPatience times the target gap.
	latencyPatience = 4
	gapPatience     = 8
	// stallShare is the share of callers' patience after which a stream resumes elsewhere: sound upstreams may be silent for
	// a second or two, and the other upstream needs the rest to process the prompt.
	stallShare = 0.65
	// stallCheckInterval is the interval at which a stalled stream that could not resume elsewhere checks again.
	stallCheckInterval = 250 * time.Millisecond
	// giveBackShare is the share of callers' patience after which a VM gives a forwarded stream back to the VM that forwarded
	// it, because only other regions can resume it.
	giveBackShare = 0.85
	// lostPathShare is the same for a VM that is cut from the upstream.
	lostPathShare = 0.5
	// unreadGrace is the time for reading events that arrived before the deadline. A read fails without a look at them.
	unreadGrace = 20 * time.Millisecond
	// overlapTime is the maximum time for which a stalled upstream is kept after the request was sent to another one, which
	// may refuse it. Two upstreams must not work on one request for longer.
	overlapTime = 250 * time.Millisecond
)

// stall is the state of the wait for an event that is late.
type stall struct {
	// reread is set once the events that arrived before the deadline have been read.
	reread bool
	// logged is set once the stall was logged.
	logged bool
	// nextCheckAt is the time of the next check whether the stream can resume elsewhere.
	nextCheckAt time.Time
}

// stallTimeout returns the time without an event after which a stream of the route resumes at another upstream.
func stallTimeout(r *route.Route) time.Duration {
	return max(minStallTimeout, time.Duration(stallShare*float64(callerPatience(r))))
}

// callerPatience returns the time for which callers wait at least for the next event of a stream of the route.
func callerPatience(r *route.Route) time.Duration {
	return max(minCallerPatience, latencyPatience*r.TargetLatency, gapPatience*r.TargetGap)
}

// setReadDeadline limits the wait for the next event if the stream can resume at another upstream. Bytes that complete no
// event do not extend the wait.
func (s *eventRelay) setReadDeadline() {
	r := s.request
	if !s.started || !r.route.Resumable || r.notResumable || r.runs >= r.route.MaxAttempts {
		s.answer.SetReadDeadline(time.Time{})
		return
	}
	at := s.lastEventAt.Add(stallTimeout(r.route))
	if s.stall.nextCheckAt.After(at) {
		at = s.stall.nextCheckAt
	}
	if s.pathSuspected.Swap(false) {
		at = time.Now()
	}
	s.answer.SetReadDeadline(at)
}

// suspectPath makes a stream resume at another upstream if one is expected to go on with it, although the next event is not late. The stream
// stays where it is otherwise. It may be called while another goroutine reads the answer, but not after its end.
func (s *eventRelay) suspectPath() {
	s.pathSuspected.Store(true)
	s.answer.SetReadDeadline(time.Now())
}

// isPathLost reports whether this VM is cut from the upstream and nothing has come from it for pathSilence.
func (s *eventRelay) isPathLost() bool {
	return s.edge.Replicas.IsCut(s.request.service.Name) && s.watch.isSilent(s.edge.Now())
}

// waitOrResume decides about a stream whose next event is late. It returns zero if the stream has left this upstream,
// otherwise the time of the next check: the upstream may only be silent for a while.
func (s *eventRelay) waitOrResume() time.Time {
	now := time.Now()
	lateAt := s.lastEventAt.Add(stallTimeout(s.request.route))
	switch {
	case now.Before(lateAt) && !s.isPathLost():
		s.stall.nextCheckAt = lateAt
	case s.edge.pausedRecently(s.edge.Now()):
		// Events that arrived while this process was paused have not been read yet.
		s.stall.nextCheckAt = now.Add(fleet.PauseSettleTime)
	case !s.stall.reread:
		s.stall.reread = true
		s.stall.nextCheckAt = now.Add(unreadGrace)
	case s.resume(now) || s.givesBack(now):
		return time.Time{}
	default:
		s.stall.nextCheckAt = time.Now().Add(stallCheckInterval)
	}
	return s.stall.nextCheckAt
}

// resume sends the request to another upstream if one is expected to resume the stream in time, and relays its answer. It
// reports false if the stream stays here: there is no such upstream, or it did not take the request.
func (s *eventRelay) resume(now time.Time) bool {
	r := s.request
	reserved := s.edge.reserveResume(s.ctx, r, s.isPathLost())
	if !s.stall.logged {
		s.edge.Replicas.RecordSilence(s.edge.Now(), s.pick)
	}
	if reserved || !s.stall.logged {
		s.stall.logged = true
		event.StreamStalled.Log(s.edge.Log, "request", r.id, "upstream", s.pick.ID,
			"silentMillis", now.Sub(s.lastEventAt).Milliseconds(), "resumes", reserved)
	}
	if !reserved {
		return false
	}
	h := &switchover{answer: s.answer}
	previous, startedAt, events, destination := r.switchover, r.answerStartedAt, r.events, r.destination
	r.switchover = h
	out, tried := s.edge.attempt(s.ctx, r, s.sink)
	r.switchover = previous
	if !tried {
		s.edge.returnRetry(r)
	}
	if !out.Complete && h.keep() {
		r.answerStartedAt, r.events, r.destination = startedAt, events, destination
		return false
	}
	h.leave()
	s.replacement = &out
	return true
}

// switchover is the move of a stalled stream from one upstream to another. The first one is kept until the other has started to
// answer or has had overlapTime to refuse the request. It is safe for concurrent use.
type switchover struct {
	answer *upstream.Response

	mu         sync.Mutex
	kept, left bool
}

// sent is called when the request is sent to the other upstream.
func (h *switchover) sent() {
	if h != nil {
		time.AfterFunc(overlapTime, h.leave)
	}
}

// accepted is called when the other upstream has started to answer.
func (h *switchover) accepted() {
	if h != nil {
		h.leave()
	}
}

// leave ends the attempt at the first upstream, unless the stream stays there.
func (h *switchover) leave() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.kept && !h.left {
		h.left = true
		h.answer.Abort()
	}
}

// keep ends the switchover because the other upstream did not take the request. It reports false if the first one was left
// before.
func (h *switchover) keep() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.kept = !h.left
	return h.kept
}

// givesBack reports whether a forwarded stream returns to the VM that forwarded it.
func (s *eventRelay) givesBack(now time.Time) bool {
	silent, patience := now.Sub(s.lastEventAt), callerPatience(s.request.route)
	if s.request.forwarded && silent > time.Duration(lostPathShare*float64(patience)) && s.isPathLost() {
		return true
	}
	return s.request.returnable && silent > time.Duration(giveBackShare*float64(patience))
}

// reserveResume reports whether a started stream can resume at another upstream, without a long wait unless the path to its own is lost, and if
// so counts the attempt in the retry budget.
func (e *Edge) reserveResume(ctx context.Context, r *request, pathLost bool) bool {
	if !e.mayStart(e.Now(), r, 0) {
		return false
	}
	if r.sends >= maxSends || r.runs >= r.route.MaxAttempts || r.remaining(time.Now()) < minRemaining || len(e.quarantinedParts(r)) > 0 {
		return false
	}
	if !e.hasRetryBudget(r, causeStalled) {
		return false
	}
	now := e.Now()
	best, ok := e.bestRegion(now, r)
	inTime := pathLost || best.Wait <= e.maxExpectedWait(now, r)
	return ok && inTime && e.mayRunAgain(ctx, r) && e.takeRetry(r, causeStalled)
}
