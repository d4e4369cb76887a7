package edge

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"parsleyhatch/platform"
	"parsleyhatch/replica"
	"parsleyhatch/upstream"
	"parsleyhatch/vmwire"
)

// healthTimeout bounds the question whether an upstream is cold.
const healthTimeout = time.Second

// reportLoss reports an upstream that this VM does not reach any more to the VMs of its region: one that has nothing to send to it
// until it has started again would not know that it is cold.
func (e *Edge) reportLoss(p replica.Probe, startedAt time.Time) {
	now := e.Now()
	if born, report := e.Replicas.ReportLoss(now, p.ID); report {
		e.Fleet.BroadcastLoss(&vmwire.UpstreamLoss{Upstream: p.ID, Born: born, AgeMillis: now.Sub(startedAt).Milliseconds()})
	}
}

// receiveLoss handles the report of another VM that it does not reach an upstream. That VM may be cut off: what the upstream has
// sent to this one since then shows that it has not started again.
func (e *Edge) receiveLoss(now time.Time, m *vmwire.UpstreamLoss) {
	p, check := e.Replicas.ReceiveLoss(now, m.Upstream, m.Born)
	if check && e.Pool.LastReadAt(p.Address).Before(now.Add(-fromAge(m.AgeMillis))) {
		go e.runLossCheck(p)
	}
}

// runLossCheck finds out whether this VM reaches an upstream that another VM does not reach. If it does, the upstream may have
// started again since, and counts as cold.
func (e *Edge) runLossCheck(p replica.Probe) {
	startedAt := e.Now()
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	if err := e.Pool.Connect(ctx, p.Address); err != nil {
		e.recordUnreachable(p, startedAt, err)
		return
	}
	e.recordReachable(p)
	e.Replicas.AssumeCold(e.Now(), p.ID, e.warmUp(p.Service))
	e.askWarmUp(p)
}

// askWarmUp asks an upstream that may have started again whether it is cold. The question counts as a request to a cold upstream.
func (e *Edge) askWarmUp(p replica.Probe) {
	s := e.service(p.Service)
	if s == nil || s.HealthPath == "" || s.WarmUp <= 0 || !e.Replicas.TakeColdRequest(e.Now(), p.ID, s) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), healthTimeout)
	defer cancel()
	a, err := e.Pool.Do(ctx, &upstream.Request{Address: p.Address, Method: http.MethodGet, Target: s.HealthPath, Host: p.Address})
	if err != nil {
		return
	}
	defer a.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(a, maxDrainedRefusal)) // Drains the body so that the connection can be reused.
	if a.Status != http.StatusOK || a.Header.Get(platform.HeaderInstanceID) != p.ID {
		return
	}
	if !e.applyWarmUp(p.ID, a) {
		e.Replicas.ConfirmWarm(p.ID)
	}
}

// applyWarmUp marks an upstream as cold if its answer says so. It reports whether it does.
func (e *Edge) applyWarmUp(id string, a *upstream.Response) bool {
	ms, err := strconv.ParseInt(a.Header.Get(platform.HeaderWarmUp), 10, 64)
	if err != nil || ms <= 0 {
		return false
	}
	e.markCold(id, time.Duration(ms)*time.Millisecond)
	return true
}
