package edge

import (
	"context"
	"errors"
	"sync"
	"time"

	"parsleyhatch/event"
	"parsleyhatch/replica"
	"parsleyhatch/upstream"
)

const (
	// pathSilence is the time without any data from an upstream after which a waiting request makes this VM check its path to it.
	// If the path is lost, requests that may be repeated leave the upstream after this time.
	pathSilence = 400 * time.Millisecond
	// probeTimeout bounds an attempt to connect to an upstream in order to check the path. A probe of an upstream that is
	// reachable takes a round trip within the region.
	probeTimeout = 400 * time.Millisecond
	// probeInterval is the interval at which due probes of unreachable upstreams are sent, and maxProbes their number.
	probeInterval = 100 * time.Millisecond
	maxProbes     = 8
	// sweepSize is the number of upstreams of each service that are probed at once when the path to one of them seems lost or
	// has returned, and sweepInterval the minimum time between two such sweeps.
	sweepSize     = 8
	sweepInterval = time.Second
	// maxLoggedDelay bounds the delay of this process that is logged with an upstream that is not reachable.
	maxLoggedDelay = 2 * time.Second
)

// errPathLost is the cancellation cause of an attempt whose upstream this VM does not reach any more.
var errPathLost = errors.New("the path to the upstream is lost")

// reach tracks the attempts that wait for upstreams, and which upstreams are probed.
type reach struct {
	mu      sync.Mutex
	watches map[*pathWatch]struct{}
	probing map[string]bool
	sweptAt time.Time
	// wake wakes the loop that probes unreachable upstreams.
	wake chan struct{}
}

func newReach() reach {
	return reach{watches: map[*pathWatch]struct{}{}, probing: map[string]bool{}, wake: make(chan struct{}, 1)}
}

// pathWatch watches the path to the upstream of one attempt.
type pathWatch struct {
	edge   *Edge
	probe  replica.Probe
	sentAt time.Time
	// repeatable is set if the request may be sent to another upstream.
	repeatable bool
	timer      *time.Timer

	mu sync.Mutex
	// leave ends the attempt, or makes a stream that has begun look for another upstream. It is nil once the attempt has ended, since its
	// connection may carry another request then.
	leave func()
}

// watchPath starts to watch the path of an attempt. The context ends when the path is lost before the upstream has answered.
func (e *Edge) watchPath(ctx context.Context, r *request, pick *replica.Pick) (context.Context, *pathWatch) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &pathWatch{edge: e, probe: probeOf(pick, r.service.Name), sentAt: e.Now(), repeatable: r.route.Idempotent()}
	w.leave = func() { cancel(errPathLost) }
	w.timer = time.AfterFunc(pathSilence, w.check)
	e.reach.mu.Lock()
	defer e.reach.mu.Unlock()
	e.reach.watches[w] = struct{}{}
	return ctx, w
}

func probeOf(pick *replica.Pick, service string) replica.Probe {
	return replica.Probe{ID: pick.ID, Address: pick.Address, Service: service}
}

// answered goes on watching an attempt whose upstream has started to answer. ctx is the context that watchPath returned.
func (w *pathWatch) answered(ctx context.Context, a *upstream.Response) {
	w.timer.Stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leave = a.Abort
	if errors.Is(context.Cause(ctx), errPathLost) {
		a.Abort() // The path was lost just before.
	}
}

// streamBegan goes on watching an attempt whose caller has a part of the stream. leave must not end the stream, but may move it: it would be
// broken off if the path is sound after all and nothing else can go on with it.
func (w *pathWatch) streamBegan(leave func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leave = leave
}

// stop ends the watch. It must be called before the response is closed.
func (w *pathWatch) stop() {
	w.timer.Stop()
	w.mu.Lock()
	w.leave = nil
	w.mu.Unlock()
	w.edge.reach.mu.Lock()
	defer w.edge.reach.mu.Unlock()
	delete(w.edge.reach.watches, w)
}

// check probes the upstream if it has sent nothing since the request was sent.
func (w *pathWatch) check() {
	if w.edge.Pool.LastReadAt(w.probe.Address).Before(w.sentAt) {
		w.edge.checkPath(w.probe)
	}
}

// isSilent reports whether nothing has come from the upstream for pathSilence.
func (w *pathWatch) isSilent(now time.Time) bool {
	since := w.sentAt
	if at := w.edge.Pool.LastReadAt(w.probe.Address); at.After(since) {
		since = at
	}
	return now.Sub(since) >= pathSilence
}

// end leaves the upstream unless the attempt has ended by itself.
func (w *pathWatch) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.leave != nil {
		w.leave()
	}
}

// leaveLostPaths leaves the silent upstreams from whose service this VM is cut, where attempts may be repeated. What has arrived from them and
// was not read yet counts.
func (e *Edge) leaveLostPaths() {
	if len(e.lostPaths()) == 0 {
		return
	}
	_ = e.sockets.Wait(context.Background()) // Fails only if the context ends.
	for _, w := range e.lostPaths() {
		w.end()
	}
}

func (e *Edge) lostPaths() []*pathWatch {
	now := e.Now()
	e.reach.mu.Lock()
	defer e.reach.mu.Unlock()
	var lost []*pathWatch
	for w := range e.reach.watches {
		if w.repeatable && e.Replicas.IsCut(w.probe.Service) && w.isSilent(now) {
			lost = append(lost, w)
		}
	}
	return lost
}

// checkPath connects to an upstream in the background, unless that is being tried already.
func (e *Edge) checkPath(p replica.Probe) {
	e.reach.mu.Lock()
	defer e.reach.mu.Unlock()
	if e.reach.probing[p.ID] {
		return
	}
	e.reach.probing[p.ID] = true
	go e.runProbe(p)
}

// checkEnded connects to an upstream whose connection ended inside an answer. Its process may have ended and start again before anything
// else is sent to it, with another software version than its registration says.
func (e *Edge) checkEnded(r *request, pick *replica.Pick, err error) {
	if isConnectionLoss(err) {
		e.checkPath(probeOf(pick, r.service.Name))
	}
}

func (e *Edge) runProbe(p replica.Probe) {
	_ = e.connect(context.Background(), p, 0) // Recorded.
	e.reach.mu.Lock()
	defer e.reach.mu.Unlock()
	delete(e.reach.probing, p.ID)
}

// connect opens a connection to an upstream within probeTimeout, for later requests, and records whether the upstream is reachable. It must stay
// open for the given time.
func (e *Edge) connect(ctx context.Context, p replica.Probe, openTime time.Duration) error {
	startedAt := e.Now()
	ctx, cancel := e.sockets.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if err := e.Pool.Connect(ctx, p.Address, openTime); err != nil {
		if !upstream.IsClosedAtOnce(err) {
			e.recordUnreachable(p, startedAt, err)
		}
		return err
	}
	e.recordReachable(p)
	return nil
}

// recordUnreachable records that an attempt to connect to an upstream has failed.
func (e *Edge) recordUnreachable(p replica.Probe, startedAt time.Time, err error) {
	now := e.Now()
	first, cut := e.Replicas.RecordUnreachable(now, startedAt, p.ID)
	if first {
		go e.runUnreachableLog(p, err)
		e.Pool.CloseIdle(p.Address)
		e.reportLoss(p, startedAt)
		e.sweep(now, true)
	}
	if cut {
		event.PathLost.Log(e.Log, "service", p.Service, "sinceMillis", now.Sub(startedAt).Milliseconds())
		e.leaveLostPaths()
		e.Fleet.BroadcastPresence()
	}
	select {
	case e.reach.wake <- struct{}{}:
	default:
	}
}

// runUnreachableLog logs that no connection to an upstream could be opened, with the time that this process takes to notice what arrives at its
// sockets: if that is long, a connection may have been opened and not been noticed.
func (e *Edge) runUnreachableLog(p replica.Probe, err error) {
	delay := e.sockets.Delay(maxLoggedDelay)
	event.UpstreamUnreachable.Log(e.Log, "upstream", p.ID, "service", p.Service, "pollDelayMillis", delay.Milliseconds(), "error", err.Error())
}

// recordReachable records that a connection to an upstream was opened.
func (e *Edge) recordReachable(p replica.Probe) {
	now := e.Now()
	returned := e.Replicas.RecordReachable(now, p.ID, e.service(p.Service))
	if returned.Ask {
		go e.runWarmUpQuestion(p, returned.Born)
	}
	if returned.Away > 0 {
		event.UpstreamReachable.Log(e.Log, "upstream", p.ID, "service", p.Service, "awayMillis", returned.Away.Milliseconds())
	}
	if returned.Healed {
		event.PathReturned.Log(e.Log, "service", p.Service)
		e.Fleet.BroadcastPresence()
		e.sweep(now, false)
	}
}

// sweep probes some upstreams of each service at once: the reachable ones when the path to another has been lost, the unreachable
// ones when it has returned.
func (e *Edge) sweep(now time.Time, reachable bool) {
	e.reach.mu.Lock()
	due := !reachable || now.Sub(e.reach.sweptAt) >= sweepInterval
	if due && reachable {
		e.reach.sweptAt = now
	}
	e.reach.mu.Unlock()
	if !due {
		return
	}
	for _, p := range e.Replicas.SweepProbes(sweepSize, reachable) {
		if !reachable || now.Sub(e.Pool.LastReadAt(p.Address)) >= pathSilence {
			e.checkPath(p)
		}
	}
}

// RunProbes probes unreachable upstreams until ctx ends, so that no caller's request waits for one.
func (e *Edge) RunProbes(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !e.Replicas.NeedsProbes() {
			ticker.Stop()
			select {
			case <-ctx.Done():
				return
			case <-e.reach.wake:
			}
			ticker.Reset(probeInterval)
		}
		now := e.Now()
		e.leaveLostPaths()
		for _, p := range e.Replicas.DueProbes(now, maxProbes) {
			e.checkPath(p)
		}
	}
}
