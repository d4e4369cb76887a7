package gateway

import (
	"sync"
	"time"
)

const (
	// maxTraces is the number of finished requests that explain knows.
	maxTraces = 2048
	// maxSteps bounds the decisions kept for one request.
	maxSteps = 24
)

// Step is one decision about a request.
type Step struct {
	At time.Time `json:"at"`
	// What is the decision, and Why its reason.
	What string `json:"what"`
	Why  string `json:"why"`
}

// Trace lists what this VM decided for a request.
type Trace struct {
	RequestID string `json:"requestId"`
	Route     string `json:"route"`
	Workspace string `json:"workspace"`
	Steps     []Step `json:"steps"`
}

// note adds a decision to the request's trace.
func (r *Request) note(now time.Time, what, why string) {
	if len(r.steps) < maxSteps {
		r.steps = append(r.steps, Step{At: now, What: what, Why: why})
	}
}

// traceRing keeps the traces of the latest requests.
type traceRing struct {
	mu   sync.Mutex
	ring []Trace
	next int
	byID map[string]int
}

func (t *traceRing) add(r *Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byID == nil {
		t.byID = make(map[string]int, maxTraces)
	}
	trace := Trace{RequestID: r.ID, Route: r.Route.Name, Workspace: r.Workspace.Name, Steps: r.steps}
	if len(t.ring) < maxTraces {
		t.byID[r.ID] = len(t.ring)
		t.ring = append(t.ring, trace)
		return
	}
	delete(t.byID, t.ring[t.next].RequestID)
	t.ring[t.next] = trace
	t.byID[r.ID] = t.next
	t.next = (t.next + 1) % maxTraces
}

// Explain returns the decisions about a request that this VM has finished.
func (g *Gateway) Explain(id string) (Trace, bool) {
	g.traces.mu.Lock()
	defer g.traces.mu.Unlock()
	i, ok := g.traces.byID[id]
	if !ok {
		return Trace{}, false
	}
	return g.traces.ring[i], true
}
