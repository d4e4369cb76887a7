package edge

import (
	"time"

	"parsleyhatch/contention"
	"parsleyhatch/platform"
	"parsleyhatch/replica"
	"parsleyhatch/route"
)

// replicaRequest returns the properties of a request that decide about its upstream.
func (e *Edge) replicaRequest(r *request) replica.Request {
	return replica.Request{
		Service: r.service, Prompt: r.prompt, Attempted: r.triedUpstreams, AllowAttempted: r.allowTried,
		Rank: r.rank(), VersionBound: r.streamVersion.bound, Version: r.streamVersion.version, Stream: e.streamOf(r),
	}
}

// streamOf returns the properties of a stream that decide about its admission. It returns none for other requests, and for resumed streams: a refusal
// would waste what has been generated.
func (e *Edge) streamOf(r *request) contention.Request {
	if r.route.Kind != route.Streaming || r.service.Engine == nil || r.headSent || r.resumedByCaller {
		return contention.Request{}
	}
	now := e.Now()
	events := e.lengths.Expected(now, r.route.Name, platform.ParseLengthHint(r.header), r.prompt.MaxAnswerTokens)
	return contention.Request{
		LessUrgent: e.isLessUrgent(r.service.Name, r.route), Promised: r.promised, Pressure: e.pressures.Share(now, r.service.Name),
		Left: r.remaining(time.Now()), Events: events,
	}
}
