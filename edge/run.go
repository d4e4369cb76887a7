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
	// maxSends bounds the upstreams and VMs that get one request one after the other, those included that
	// did not run it.
	maxSends = 4
	// minLeft is the shortest time that is worth an attempt.
	minLeft = 20 * time.Millisecond
)

// Causes of the end of a request's context.
var errTimedOut = errors.New("time is over")

// Sink passes an answer on. length is that of the body, negative if it is not known. flush asks to send
// the data at once.
type Sink struct {
	Head func(status int, header http.Header, length int) error
	Data func(b []byte, flush bool) error
}

// run has the request answered by an upstream, in one or more attempts.
func (e *Edge) run(ctx context.Context, r *request, sink *Sink) Outcome {
	out := refuse(NoUpstream, "no region that may run the request has a usable upstream", refusalPause)
	for attempt := 0; attempt < maxSends; attempt++ {
		if attempt > 0 && !e.mayRepeat(ctx, r, out) {
			break
		}
		next, tried := e.attempt(ctx, r, sink)
		if !tried {
			if attempt == 0 {
				out = next
			}
			break
		}
		out = next
		if out.Whole || !again(r, out) {
			break
		}
	}
	if !out.Whole && r.held != nil && !r.headSent && ctx.Err() == nil {
		return r.deliver(r.held, sink)
	}
	return e.final(ctx, r, out)
}

// attempt makes one choice and sends the request there. It reports false if it could not be sent.
func (e *Edge) attempt(ctx context.Context, r *request, sink *Sink) (Outcome, bool) {
	now := e.Now()
	region, out := e.choose(now, r)
	switch {
	case region == "":
		return out, false
	case region == e.Settings.Region:
		pick, ok := e.Replicas.Pick(now, r.choice())
		if !ok {
			return refuse(NoUpstream, "the upstreams of the region are not usable", refusalPause), false
		}
		r.place, r.cost = pick.ID, pick.Cost
		return e.send(ctx, r, &pick, sink), true
	default:
		r.place = region
		return e.forward(ctx, r, region, sink)
	}
}

func (r *request) choice() replica.Request {
	return replica.Request{
		Service: r.service, Prompt: r.prompt, Tried: r.tried, Again: r.lastResort,
		Rank: r.rank(),
	}
}

func (r *request) rank() int { return replica.Rank(route.Priority(r.route, r.workspace)) }

// limit returns the expected time to the first answer beyond which the request is refused.
func (r *request) limit() time.Duration {
	target := time.Duration(0)
	if r.route.Kind == route.Streaming {
		target = r.route.TargetLatency
	}
	return place.Limit(r.left(time.Now()), target, replica.Alone(r.prompt))
}

// again reports whether another attempt can give the caller a better answer.
func again(r *request, out Outcome) bool {
	if out.Ran == NotRun {
		switch out.Reason {
		case UpstreamRefused, NoUpstream, VMLost, NoConfiguration, StaleKeys, Leaving:
			return true
		default:
			return false
		}
	}
	if !r.route.Idempotent() || r.runs >= r.route.MaxAttempts {
		return false
	}
	if r.headSent {
		return r.route.Kind == route.Streaming && r.route.Resumable
	}
	return out.Reason == UpstreamBroke || out.Reason == VMLost
}

// mayRepeat reports whether there is time and budget for another attempt. Attempts of which nothing has
// arrived at an upstream are free.
func (e *Edge) mayRepeat(ctx context.Context, r *request, out Outcome) bool {
	if r.forwarded {
		e.settle(ctx)
	}
	if ctx.Err() != nil || r.left(time.Now()) < minLeft {
		return false
	}
	switch out.Reason {
	case NoUpstream, NoConfiguration, StaleKeys, Leaving:
		return true
	default:
		return e.Retries.Retry(e.Now(), r.service.Name)
	}
}

// settle waits after a pause of this VM until it has read what other VMs sent meanwhile: one that passed a request
// on may have given it up and sent it elsewhere.
func (e *Edge) settle(ctx context.Context) {
	if !e.pausedLately(e.Now()) {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(fleet.SettleTime):
	}
}

// final turns the outcome of the last attempt into that of the request. What may have run is never called
// not run.
func (e *Edge) final(ctx context.Context, r *request, out Outcome) Outcome {
	if out.Whole {
		return out
	}
	if ctx.Err() != nil {
		reason := CallerGone
		if errors.Is(context.Cause(ctx), errTimedOut) {
			reason = TimedOut
		}
		out.Reason = reason
	}
	if r.runs > 0 && out.Ran == NotRun {
		out.Ran = MayHaveRun
	}
	out.Status = statuses[out.Reason]
	if out.Ran != NotRun && (out.Status == http.StatusServiceUnavailable || out.Status == http.StatusTooManyRequests) {
		out.Status = http.StatusBadGateway
	}
	if out.Ran == NotRun && out.Reason == TimedOut {
		out.Status = http.StatusServiceUnavailable
	}
	return out
}
