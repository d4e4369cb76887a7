package edge

import (
	"context"
	"errors"
	"net/http"
	"time"

	"parsleyhatch/fleet"
	"parsleyhatch/place"
	"parsleyhatch/replica"
	"parsleyhatch/route"
)

const (
	// maxSends is the maximum number of attempts for one request, including those in which it did not run.
	maxSends = 4
	// minRemaining is the minimum time before the deadline for which another attempt is made.
	minRemaining = 20 * time.Millisecond
	// minTarget is the least that is left of the latency objective of a stream that has waited, since zero means that there is none.
	minTarget = time.Millisecond
)

// errTimedOut is the cancellation cause of a request's context when its deadline has passed.
var errTimedOut = errors.New("time is over")

// Sink receives an answer. length is the length of the body in bytes, negative if unknown. flush requests that
// the data is sent immediately.
type Sink struct {
	Head func(status int, header http.Header, length int) error
	Data func(b []byte, flush bool) error
}

// run sends the request to upstreams or other regions until one answers or no further attempt is allowed.
func (e *Edge) run(ctx context.Context, r *request, sink *Sink) Outcome {
	r.withinShare = e.askShare(e.Now(), r)
	out := refuse(NoUpstream, "no region that may run the request has a usable upstream", defaultRetryAfter)
	for attempt := 0; attempt < maxSends; attempt++ {
		if attempt > 0 && (!e.mayStart(e.Now(), r, 0) || !e.mayRetry(ctx, r, out)) {
			break
		}
		if attempt > 0 && len(e.quarantinedParts(r)) > 0 {
			if out.Ran == NotRun {
				out = refuse(Quarantined, partQuarantinedDetail, 0)
			}
			break
		}
		next, tried := e.attempt(ctx, r, sink)
		if !tried {
			if attempt == 0 {
				out = next
			} else {
				e.returnRetry(r)
			}
			break
		}
		out = next
		if out.Complete || !retryable(r, out) {
			break
		}
	}
	if !out.Complete && r.failedAnswer != nil && !r.headSent && ctx.Err() == nil {
		return r.deliver(r.failedAnswer, sink)
	}
	return e.finalOutcome(ctx, r, e.delayReturn(e.Now(), r, out))
}

// attempt chooses a region and an upstream and sends the request. It reports false if there was no destination.
func (e *Edge) attempt(ctx context.Context, r *request, sink *Sink) (Outcome, bool) {
	now := e.Now()
	_, r.leavingFor = e.isLeaving(now)
	region, out := e.chooseRegion(now, r)
	e.recordPressure(now, r, out)
	if out.Reason == Overloaded && e.waitForRoom(ctx, r) {
		now = e.Now()
		region, out = e.chooseRegion(now, r)
	}
	if out.Reason == Overloaded && e.stop.accepting.Err() != nil {
		return refuseLeaving(leavingRetryAfter), false // A promise of this VM would end with it.
	}
	switch {
	case region == "":
		return out, false
	case !e.mayStart(now, r, r.expectedWait):
		return refuseLeaving(leavingRetryAfter), false
	case region == e.Settings.Region && !r.throughOthers:
		pick, ok := e.Replicas.Pick(now, e.replicaRequest(r))
		if !ok {
			detail := "upstreams of the region: " + joinCounts(e.Replicas.Exclusions(now, e.replicaRequest(r)))
			return refuse(NoUpstream, detail, defaultRetryAfter), false
		}
		r.destination, r.expectedWait = pick.ID, pick.Cost
		return e.send(ctx, r, &pick, sink), true
	default:
		r.destination = region
		return e.forward(ctx, r, region, sink)
	}
}

func (r *request) rank() int { return replica.Rank(route.Priority(r.route, r.workspace)) }

const (
	// beyondShareFactor is the part of the limit on the expected wait that holds for a request beyond the share of its workspace: the rest
	// of the room stays free for those that ask for less.
	beyondShareFactor = 0.5
	// promisedFactor is the multiple of that limit up to which a caller that returns at its promised time is served, so that it goes before
	// new callers of its rank.
	promisedFactor = 1.5
)

// maxExpectedWait returns the expected wait beyond which the request is refused as overloaded. A stream that a caller resumes is
// refused only if its deadline would pass: a refusal would waste what has been generated.
func (e *Edge) maxExpectedWait(now time.Time, r *request) time.Duration {
	target := time.Duration(0)
	switch {
	case r.resumedByCaller, r.route.TargetLatency <= 0:
	case !r.withinShare && !r.promised:
		target = time.Duration(beyondShareFactor * float64(r.route.TargetLatency))
	case r.route.Kind != route.Streaming:
	case r.promised:
		target = time.Duration(promisedFactor * float64(r.route.TargetLatency))
	default:
		target = r.route.TargetLatency
	}
	if target > 0 {
		target = max(target-r.waitedUntil(time.Now()), minTarget)
	}
	return place.MaxWait(r.remaining(time.Now()), target, e.Replicas.IdleFirstTokenTime(now, r.service.Name, r.prompt, r.rank()))
}

// retryable reports whether the outcome and the route permit another attempt.
func retryable(r *request, out Outcome) bool {
	if out.Ran == NotRun {
		switch out.Reason {
		case UpstreamRefused, NoUpstream, VMLost, NoConfiguration, StaleKeys, Leaving, MemoryFull:
			return true
		case NoRoute, Overloaded:
			// The VM of another region refused to resume a stream. It may have a newer configuration, which does not
			// end streams that are running.
			return r.headSent && !r.forwarded
		case VersionUnknown:
			// The configuration of the other VM does not allow the service of the stream.
			return !r.forwarded
		default:
			return false
		}
	}
	if out.Reason == CallerDisconnected || !r.route.Idempotent() || r.runs >= r.route.MaxAttempts {
		return false
	}
	if r.headSent {
		return r.route.Kind == route.Streaming && r.route.Resumable && !r.notResumable
	}
	return out.Reason == UpstreamFailed || out.Reason == VMLost || out.Reason == VMStopped
}

// mayRetry reports whether there is time and retry budget for another attempt, and whether the VM that forwarded the request allows
// it. That VM is not asked without a destination for the attempt, since it charges what it grants and counts it as run.
func (e *Edge) mayRetry(ctx context.Context, r *request, out Outcome) bool {
	if r.forwarded {
		e.waitAfterPause(ctx)
	}
	if ctx.Err() != nil || r.remaining(time.Now()) < minRemaining {
		return false
	}
	if r.forwarded && !e.hasDestination(r) {
		return false
	}
	return e.mayRunAgain(ctx, r) && e.takeRetry(r, causeOf(out))
}

// hasDestination reports whether there is a region that may run the request now.
func (e *Edge) hasDestination(r *request) bool {
	region, _ := e.chooseRegion(e.Now(), r)
	return region != ""
}

// mayRunAgain reports whether the VM that forwarded the request allows a run at another upstream.
func (e *Edge) mayRunAgain(ctx context.Context, r *request) bool {
	if r.origin.allows(ctx, r.runs+1) {
		return true
	}
	e.Metrics.AddCounter("runs_not_granted", 1)
	return false
}

// waitAfterPause waits after a pause of this process until the messages that arrived during it are read. The VM
// that forwarded the request may have cancelled it and sent it to another region.
func (e *Edge) waitAfterPause(ctx context.Context) {
	if !e.pausedRecently(e.Now()) {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(fleet.PauseSettleTime):
	}
}

// finalOutcome converts the outcome of the last attempt to the outcome of the request. A request that may have
// run in any attempt is never reported as not run.
func (e *Edge) finalOutcome(ctx context.Context, r *request, out Outcome) Outcome {
	if out.Complete {
		return out
	}
	if ctx.Err() != nil {
		out = outcomeOfCancellation(context.Cause(ctx), out)
	}
	if r.runs > 0 && out.Ran == NotRun {
		out.Ran = MayHaveRun
	}
	out.Status = statuses[out.Reason]
	if out.Ran != NotRun && (out.Status == http.StatusServiceUnavailable || out.Status == http.StatusTooManyRequests) {
		out.Status = http.StatusBadGateway
	}
	switch {
	case out.Ran == NotRun && out.Reason == VMStopped:
		return refuseLeaving(leavingRetryAfter)
	case out.Ran == NotRun && out.Reason == TimedOut:
		out.Status = http.StatusServiceUnavailable
	}
	return out
}

// outcomeOfCancellation returns the outcome of a request whose context has ended for the given cause.
func outcomeOfCancellation(cause error, out Outcome) Outcome {
	switch {
	case errors.Is(cause, errVMEnds):
		out.Reason, out.Detail = VMStopped, cause.Error()
	case errors.Is(cause, errTimedOut):
		out.Reason = TimedOut
	default:
		out.Reason = CallerDisconnected
	}
	return out
}
