package faultyupstream

import "time"

// Recorder is where upstreams record what they get and run. All its functions are safe for concurrent use.
type Recorder struct {
	// VMAt returns the VM that sends requests from an IP.
	VMAt func(ip string) string
	// ContentID returns the id from which the query and the body of a request follow, which several attempts may have in common.
	ContentID func(id string) string
	Arrival   func(id, upstream, vm string, at time.Time)
	// Execution records the start of an execution. The returned function records its end.
	Execution func(e Execution) (end func(brokeOff bool))
	// LimitedArrival records a request at an upstream that announces a rate limit, in requests per second.
	LimitedArrival func(upstream string, limit float64)
	// HoldBack records a refusal with which an upstream says that it wants nothing from a VM for a time.
	HoldBack func(upstream, vm, id string, wanted time.Duration)
	// LateBody records the size of a body that an upstream has read after it had refused the request, and whether the caller sent it.
	LateBody func(id, upstream string, same bool, size int)
}

// Execution is one run of a request on an upstream, recorded when it starts.
type Execution struct {
	ID       string
	Upstream string
	// Run is the name of the execution, which the events of a stream state.
	Run string
	// VM is the VM that sent the request to the upstream.
	VM        string
	StartedAt time.Time
	// Leaving says that the answer says that the upstream leaves.
	Leaving bool
	// Workspace is the workspace header that the upstream received.
	Workspace string
	// KeyPresent says that the caller's key reached the upstream.
	KeyPresent bool
	// Unmodified says that method, query and body are those that the caller sent.
	Unmodified bool
	// EndedAt is the time at which the upstream stopped work on the request, zero before, and BrokeOff says that it broke off
	// the response.
	EndedAt  time.Time
	BrokeOff bool
	// Fault is the behaviour of the upstream when the execution began, and LastEvent the last event that the caller or an earlier
	// execution had according to the request.
	Fault     Behaviour
	LastEvent string
	// Answer describes the answer that a raw upstream has drawn, and Row its framing and end.
	Answer, Row string
}
