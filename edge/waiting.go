package edge

import (
	"context"
	"fmt"
	"runtime/debug"
	"time"

	"parsleyhatch/contention"
	"parsleyhatch/event"
	"parsleyhatch/route"
	"parsleyhatch/waitqueue"
)

const (
	// waitShare is the part of the latency objective for which a stream may wait. The rest is for its prompt and for the prompts ahead of it.
	waitShare = 0.25
	// minWait is the shortest wait for which a request is queued: it is checked for room at least once in it.
	minWait = 2 * waitqueue.Interval
)

// newWaiting returns the queues of the requests that wait at this VM until an upstream has room for them.
func (e *Edge) newWaiting() *waitqueue.Queues[*request] {
	q := waitqueue.New[*request]()
	q.Now = func() time.Time { return e.Now() }
	q.HasRoom = e.hasRoom
	q.OnEnd = func(hasRoom bool) {
		if hasRoom {
			e.Metrics.AddCounter("requests_released", 1)
		} else {
			e.Metrics.AddCounter("requests_expired_in_queue", 1)
		}
	}
	return q
}

// RunWaiting releases waiting requests until ctx ends. It sleeps while none waits.
func (e *Edge) RunWaiting(ctx context.Context) { e.waiting.Run(ctx) }

// waitForRoom waits until an upstream or a region has room for a request that was refused as overloaded. It reports false if the request
// may not wait, or there was no room until its objective could no longer be met.
func (e *Edge) waitForRoom(ctx context.Context, r *request) bool {
	if !e.mayWait(e.Now(), r) {
		return false
	}
	left := e.waitLeft(r)
	r.waitingSince = time.Now()
	defer r.endWait()
	w, ok := e.enqueue(r, left)
	if !ok {
		return false
	}
	defer e.waiting.Remove(w)
	select {
	case <-w.Ended():
		return w.HasRoom()
	case <-ctx.Done():
	case <-e.stop.accepting.Done():
	}
	return false
}

// mayWait reports whether a request that was refused as overloaded may wait for room.
func (e *Edge) mayWait(now time.Time, r *request) bool {
	if r.headSent || r.limit == contention.Urgent || e.stop.accepting.Err() != nil {
		return false
	}
	return e.waitLeft(r) >= minWait && !e.waiting.ExpiresTooOften(now, r.service.Name)
}

// waitLeft returns the time for which a stream may wait, so that its first event can still arrive within the objective.
func (e *Edge) waitLeft(r *request) time.Duration {
	if r.route.Kind != route.Streaming || r.service.Engine == nil || r.resumedByCaller || r.route.TargetLatency <= 0 || !r.withinShare {
		return 0
	}
	idle := e.Replicas.IdleFirstTokenTime(e.Now(), r.service.Name, r.prompt, r.rank())
	most := time.Duration(waitShare * float64(r.route.TargetLatency))
	return min(most-r.waited, r.route.TargetLatency-time.Since(r.arrived)-idle, r.remaining(time.Now())-idle)
}

// enqueue adds a request to the queue of its service, for at most the given time.
func (e *Edge) enqueue(r *request, left time.Duration) (*waitqueue.Waiter[*request], bool) {
	now := e.Now()
	w, ok := e.waiting.Add(now, waitqueue.Item[*request]{
		Service: r.service.Name, Workspace: r.workspaceName(), LessUrgent: e.isLessUrgent(r.service.Name, r.route),
		Deadline: now.Add(left), Cost: float64(r.prompt.TotalTokens()), Value: r,
	})
	if ok {
		e.Metrics.AddCounter("requests_queued", 1)
	} else {
		e.Metrics.AddCounter("requests_not_queued", 1)
	}
	return w, ok
}

// hasRoom reports whether a region has room for a waiting request now. A panic of the choice ends only the wait, not the loop of all waits: the
// request's own goroutine repeats the choice, and a panic there ends that request alone.
func (e *Edge) hasRoom(now time.Time, r *request) (found bool) {
	defer func() {
		if value := recover(); value != nil {
			event.PeerPanic.Log(e.Log, "request", r.id, "panic", fmt.Sprint(value), "stack", string(debug.Stack()))
			found = true
		}
	}()
	region, _ := e.chooseRegion(now, r)
	return region != ""
}
