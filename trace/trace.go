// Package trace records the decisions that a VM made for its most recent requests, so that operators can query
// them.
package trace

import (
	"sync"
	"time"
)

const (
	// maxTraces is the maximum number of finished requests whose traces are kept.
	maxTraces = 2048
	// maxSteps is the maximum number of decisions recorded for one request.
	maxSteps = 24
)

// Step is one decision about a request.
type Step struct {
	At time.Time `json:"at"`
	// Decision names the decision and Reason is its reason.
	Decision string `json:"what"`
	Reason   string `json:"why"`
}

// Trace lists the decisions that this VM made for a request.
type Trace struct {
	RequestID string `json:"requestId"`
	Route     string `json:"route"`
	Workspace string `json:"workspace"`
	Steps     []Step `json:"steps"`
}

// AddStep appends a decision. Decisions after the first maxSteps are dropped.
func (t *Trace) AddStep(now time.Time, decision, reason string) {
	if len(t.Steps) < maxSteps {
		t.Steps = append(t.Steps, Step{At: now, Decision: decision, Reason: reason})
	}
}

// Ring is a ring buffer of the most recent traces. It is safe for concurrent use, and its zero value is empty and
// ready to use.
type Ring struct {
	mu     sync.Mutex
	traces []Trace
	// oldest is the index of the oldest trace once the buffer is full.
	oldest int
	// indexByID maps request IDs to indexes of the buffer.
	indexByID map[string]int
}

// Add stores a trace and replaces the oldest one if the buffer is full.
func (r *Ring) Add(t Trace) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.indexByID == nil {
		r.indexByID = make(map[string]int, maxTraces)
	}
	if len(r.traces) < maxTraces {
		r.indexByID[t.RequestID] = len(r.traces)
		r.traces = append(r.traces, t)
		return
	}
	delete(r.indexByID, r.traces[r.oldest].RequestID)
	r.traces[r.oldest] = t
	r.indexByID[t.RequestID] = r.oldest
	r.oldest = (r.oldest + 1) % maxTraces
}

// Find returns the trace of a request.
func (r *Ring) Find(id string) (Trace, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	i, ok := r.indexByID[id]
	if !ok {
		return Trace{}, false
	}
	return r.traces[i], true
}
