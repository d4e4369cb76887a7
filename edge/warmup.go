package edge

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"parsleyhatch/event"
	"parsleyhatch/platform"
	"parsleyhatch/replica"
	"parsleyhatch/route"
	"parsleyhatch/upstream"
)

// healthTimeout bounds the question whether an upstream is cold.
const healthTimeout = time.Second

// runWarmUpQuestion asks a lifetime of an upstream that may have started again whether it is cold. The question counts as a request to a
// cold upstream.
func (e *Edge) runWarmUpQuestion(p replica.Probe, born int64) {
	s := e.service(p.Service)
	if s == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), healthTimeout)
	defer cancel()
	a, err := e.Pool.Do(ctx, &upstream.Request{Address: p.Address, Method: http.MethodGet, Target: s.HealthPath, Host: p.Address})
	if err != nil {
		e.recordAboveLimit(p.ID, "", err)
		return
	}
	defer a.Close()
	a.Drain(maxDrainedRefusal)
	if a.Header.Get(platform.HeaderInstanceID) != p.ID {
		return // Another upstream may have the address.
	}
	e.recordSignals(p.ID, born, a)
	if a.Status != http.StatusOK {
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

// service returns a service of the active configuration, or nil.
func (e *Edge) service(name string) *route.Service {
	if t := e.table(); t != nil {
		return t.Service(name)
	}
	return nil
}

// markCold marks an upstream as cold for the time that its answer states.
func (e *Edge) markCold(id string, left time.Duration) {
	if e.Replicas.MarkCold(e.Now(), id, left) {
		event.UpstreamCold.Log(e.Log, "upstream", id, "signal", platform.HeaderWarmUp, "until", time.Now().Add(left), "sharers", e.Replicas.Sharers())
	}
}
