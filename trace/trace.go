// Package trace keeps what a VM decided for its latest requests, for operators who ask.
package trace

import (
	"sync"
	"time"
)

const (
	// maxTraces is the number of finished requests that are kept.
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

// Note adds a decision. Those beyond a bound are left out.
func (t *Trace) Note(now time.Time, what, why string) {
	if len(t.Steps) < maxSteps {
		t.Steps = append(t.Steps, Step{At: now, What: what, Why: why})
	}
}

// Ring keeps the traces of the latest requests. It is safe for concurrent use; the zero value is ready.
type Ring struct {
	mu   sync.Mutex
	ring []Trace
	next int
	byID map[string]int
}

// Add keeps a trace in place of the oldest one.
func (r *Ring) Add(t Trace) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byID == nil {
		r.byID = make(map[string]int, maxTraces)
	}
	if len(r.ring) < maxTraces {
		r.byID[t.RequestID] = len(r.ring)
		r.ring = append(r.ring, t)
		return
	}
	delete(r.byID, r.ring[r.next].RequestID)
	r.ring[r.next] = t
	r.byID[t.RequestID] = r.next
	r.next = (r.next + 1) % maxTraces
}

// Find returns the trace of a request.
func (r *Ring) Find(id string) (Trace, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	i, ok := r.byID[id]
	if !ok {
		return Trace{}, false
	}
	return r.ring[i], true
}
