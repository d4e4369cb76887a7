package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"parsleyhatch/admit"
	"parsleyhatch/choose"
	"parsleyhatch/config"
)

const (
	// maxDirectScore is the load of the best upstream, in batches, above which requests wait in the
	// VM instead of the engine: here they keep their priority order and can be sent to another
	// upstream.
	maxDirectScore = 1.25
	// queueTotal and queuePerWorkspace bound the waiting requests of one queue.
	queueTotal        = 2000
	queuePerWorkspace = 500
	// initialRate is the initial estimate of a pool's throughput, in tokens per second.
	initialRate = 2000
)

// waiter is a request that waits for an upstream.
type waiter struct {
	request choose.Request
	// granted receives the upstream. It is closed without a value if the deadline has passed.
	granted chan grantedUpstream
}

// grantedUpstream is an upstream whose counters already include the request.
type grantedUpstream struct {
	pick    choose.Pick
	running choose.RunningRequest
}

// waitQueue holds the requests that wait for one set of upstreams.
type waitQueue struct {
	mu    sync.Mutex
	queue *admit.Queue
	// route is any route of the set; it is used to look for free upstreams.
	route string
	waits waitTimes
}

// queueTable holds a queue for each selector of upstreams.
type queueTable struct {
	mu     sync.Mutex
	byKey  map[string]*waitQueue
	nextID atomic.Uint64
	// placed holds the models with a placement. Each has its own queue, since engines with the same
	// labels run different ones.
	placed atomic.Pointer[map[string]*config.Placement]
}

func (t *queueTable) get(r *config.Route) *waitQueue {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := r.Kind + "\x00" + r.Selector
	if placed := t.placed.Load(); placed != nil && (*placed)[r.Model] != nil {
		key += "\x00" + r.Model
	}
	q := t.byKey[key]
	if q == nil {
		q = &waitQueue{route: r.Name, queue: admit.New(admit.Settings{
			Total: queueTotal, PerWorkspace: queuePerWorkspace, DraftShare: admit.DefaultDraftShare, Rate: initialRate,
		})}
		t.byKey[key] = q
	}
	return q
}

func (t *queueTable) all() []*waitQueue {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]*waitQueue, 0, len(t.byKey))
	for _, q := range t.byKey {
		list = append(list, q)
	}
	return list
}

// acquire finds an upstream for the request, waiting for one if all are full. The outcome is set if
// there is none.
func (g *Gateway) acquire(ctx context.Context, r *Request, q choose.Request) (grantedUpstream, Outcome) {
	now := g.Now()
	wait := g.queues.get(r.Route)
	if wait.queue.Len() == 0 {
		pick, ok := g.view.Load().ChooseUpstream(now, q)
		if !ok {
			return grantedUpstream{}, refuseUntil(NoUpstream, "no usable upstream in region "+g.Self.Region, g.retries.RetryAfter(shortRetryAfter))
		}
		if pick.Score <= maxDirectScore {
			return grantedUpstream{pick: pick, running: pick.Upstream.Begin()}, Outcome{}
		}
	}
	return g.enqueue(ctx, r, q, wait)
}

func (g *Gateway) enqueue(ctx context.Context, r *Request, q choose.Request, wait *waitQueue) (grantedUpstream, Outcome) {
	w := &waiter{request: q, granted: make(chan grantedUpstream, 1)}
	item := admit.Item{
		ID: g.queues.nextID.Add(1), Workspace: r.Workspace.Name, Weight: float64(r.Workspace.Weight),
		Class: classOf(r.Route), Deadline: r.Deadline, Cost: float64(r.tokenBound()), Value: w,
	}
	if o := wait.queue.Enqueue(g.Now(), item); o.Verdict != admit.Queued {
		return grantedUpstream{}, refuseUntil(Overloaded, o.Verdict.String(), g.retries.RetryAfter(o.RetryAfter))
	}
	defer wait.waits.begin(g.Now(), item.ID)()
	r.note(g.Now(), "queued", "all upstreams are full")
	g.grantWaiting(g.Now(), wait)
	select {
	case granted, ok := <-w.granted:
		if !ok {
			return granted, refuseUntil(DeadlineExceeded, "no upstream became free within the deadline", g.retries.RetryAfter(shortRetryAfter))
		}
		return granted, Outcome{}
	case <-ctx.Done():
		g.leaveQueue(item.ID, wait, w)
		return grantedUpstream{}, cancelledOutcome(ctx, NotRun)
	}
}

// leaveQueue removes a cancelled request. If an upstream was granted at the same time, it is
// released.
func (g *Gateway) leaveQueue(id uint64, wait *waitQueue, w *waiter) {
	if wait.queue.Remove(id) {
		return
	}
	if granted, ok := <-w.granted; ok {
		granted.running.End()
		g.grantWaiting(g.Now(), wait)
	}
}

// grantWaiting grants free upstreams to waiting requests, and ends those whose deadline has passed.
func (g *Gateway) grantWaiting(now time.Time, wait *waitQueue) {
	wait.mu.Lock()
	defer wait.mu.Unlock()
	for wait.queue.Len() > 0 {
		view := g.view.Load()
		free, ok := view.ChooseUpstream(now, choose.Request{Route: wait.route})
		if !ok || free.Score > maxDirectScore {
			break
		}
		item, ok := wait.queue.Dequeue(now)
		if !ok {
			break
		}
		w := item.Value.(*waiter)
		pick, ok := view.ChooseUpstream(now, w.request)
		if !ok {
			pick = free
		}
		w.granted <- grantedUpstream{pick: pick, running: pick.Upstream.Begin()}
	}
	for _, item := range wait.queue.TakeExpired(now) {
		close(item.Value.(*waiter).granted)
	}
}

// grantAllWaiting grants free upstreams in all queues; the control loop calls it each tick.
func (g *Gateway) grantAllWaiting(now time.Time) {
	for _, wait := range g.queues.all() {
		g.grantWaiting(now, wait)
	}
}

func classOf(r *config.Route) admit.Class {
	if r.Class == config.ClassInteractive {
		return admit.Interactive
	}
	return admit.Draft
}
