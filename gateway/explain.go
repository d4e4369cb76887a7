package gateway

import (
	"time"

	"parsleyhatch/trace"
)

// note adds a decision to the request's trace.
func (r *Request) note(now time.Time, what, why string) { r.trace.AddStep(now, what, why) }

// completeTrace sets the request's identifiers in its trace and returns the trace.
func (r *Request) completeTrace() trace.Trace {
	r.trace.RequestID, r.trace.Route, r.trace.Workspace = r.ID, r.Route.Name, r.Workspace.Name
	return r.trace
}

// Explain returns the decisions about a request that this VM has finished.
func (g *Gateway) Explain(id string) (trace.Trace, bool) { return g.traces.Find(id) }
