package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"time"

	"parsleyhatch/choose"
	"parsleyhatch/config"
	"parsleyhatch/event"
	"parsleyhatch/poison"
	"parsleyhatch/retry"
	"parsleyhatch/upstream"
	"parsleyhatch/vmwire"
)

const (
	// stallLimit is the longest wait for the next event of an engine.
	stallLimit = 10 * time.Second
	// maxUpstreamAttempts bounds the upstreams that one request is given to.
	maxUpstreamAttempts = 4
	// serviceChunkBytes is the size of the pieces of a service's answer between VMs.
	serviceChunkBytes = 32 << 10
)

// Headers of answers.
const (
	HeaderServedRegion = "X-Served-Region"
	HeaderServedBy     = "X-Served-By"
)

// runLocal runs a request at an upstream of the own region.
func (g *Gateway) runLocal(ctx context.Context, r *Request, p *progress) Outcome {
	if !slices.Contains(r.Snapshot.AllowedRegions(r.Route, r.Workspace), g.Self.Region) {
		event.FailInvariant(g.Log, event.BrokenRegion, "request", r.ID, "region", g.Self.Region)
	}
	var out Outcome
	switch {
	case r.Route.Kind == config.KindModel:
		out = g.runModel(ctx, r, p)
	case r.Route.Idempotent:
		out = g.runService(ctx, r, p)
	default:
		out = g.runCall(ctx, r, p)
	}
	out.Region = g.Self.Region
	out.AnswerTokens = p.tokens
	return out
}

// runModel runs a chat completion, resuming it at another upstream when one fails.
func (g *Gateway) runModel(ctx context.Context, r *Request, p *progress) Outcome {
	limited, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	first := time.AfterFunc(r.Deadline.Sub(g.Now()), func() { cancel(errDeadline) })
	defer first.Stop()
	out := g.attempts(limited, r, p, func(ctx context.Context, u *config.Upstream, running *choose.RunningRequest) (Outcome, bool) {
		return g.streamFrom(ctx, r, u, running, p, first)
	})
	if r.passTo != "" {
		return g.passSuspect(ctx, r, p)
	}
	return out
}

// runService runs a plain service call that may be repeated.
func (g *Gateway) runService(ctx context.Context, r *Request, p *progress) Outcome {
	ctx, cancel := context.WithDeadlineCause(ctx, r.Deadline, errDeadline)
	defer cancel()
	return g.attempts(ctx, r, p, func(ctx context.Context, u *config.Upstream, running *choose.RunningRequest) (Outcome, bool) {
		return g.callService(ctx, r, u, running, p)
	})
}

// attempts gives a request that may be repeated to one upstream after the other until one runs it.
func (g *Gateway) attempts(ctx context.Context, r *Request, p *progress, run func(context.Context, *config.Upstream, *choose.RunningRequest) (Outcome, bool)) Outcome {
	var exclude []*choose.Upstream
	var last Outcome
	g.retries.RecordFirst(g.Now(), g.Self.Region)
	for attempt := range maxUpstreamAttempts {
		if out, refused := g.checkPoison(r); refused {
			return out
		}
		if attempt > 0 && !g.mayRetry(r, p, attempt) {
			return last
		}
		if r.passTo = g.suspectPlacer(r); r.passTo != "" {
			return last
		}
		q := r.choice(exclude)
		q.Filter = g.suspectFilter(r)
		granted, out := g.acquire(ctx, r, q)
		if out.Code != OK {
			return g.giveUp(r, last, out)
		}
		u := g.upstreamOf(r, granted.pick.Upstream.Name)
		exclude = append(exclude, granted.pick.Upstream)
		if u == nil || !g.poisons.Reserve(g.Now(), granted.pick.Upstream.Name, r.fingerprint) {
			// The upstream is gone, or runs another suspect.
			g.release(r, &granted)
			last = refuseUntil(Overloaded, "the request crashed an upstream and waits for one without another such request", g.retries.RetryAfter(retrySoon))
			continue
		}
		r.note(g.Now(), "upstream "+u.Name, granted.pick.Cause.String())
		var again bool
		last, again = g.attempt(ctx, r, u, &granted, run)
		if !again {
			return last
		}
		event.StreamResumed.Log(g.Log, "request", r.ID, "from", u.Name, "offset", p.next)
	}
	return last
}

// attempt runs the request at one upstream and keeps the counts.
func (g *Gateway) attempt(ctx context.Context, r *Request, u *config.Upstream, granted *grantedUpstream, run func(context.Context, *config.Upstream, *choose.RunningRequest) (Outcome, bool)) (Outcome, bool) {
	g.running.add(u.Name, r.fingerprint)
	if r.prefix != 0 {
		g.view.Load().RecordPrefix(g.Now(), r.prefix, granted.pick.Upstream)
	}
	start := g.Now()
	out, again := run(ctx, u, &granted.running)
	now := g.Now()
	if out.Code == UpstreamFailed {
		granted.pick.Upstream.RecordFailure(now)
	}
	if out.Code == OK {
		granted.pick.Upstream.RecordSuccess(now)
		g.profiles.Record(r.Route.Name, 0, now.Sub(start))
		g.cleared(r.fingerprint)
	}
	g.running.remove(u.Name, r.fingerprint)
	g.poisons.Release(now, u.Name, r.fingerprint)
	g.release(r, granted)
	return out, again
}

// release frees the place at the upstream for the next waiting request.
func (g *Gateway) release(r *Request, granted *grantedUpstream) {
	granted.running.End()
	if wait := g.queues.get(r.Route); wait.queue.Len() > 0 {
		g.pump(g.Now(), wait)
	}
}

// mayRetry decides on another attempt. An answer that has begun is always resumed, since their number
// is bounded by the streams that broke. A request of which no byte was sent costs upstreams nothing.
func (g *Gateway) mayRetry(r *Request, p *progress, attempt int) bool {
	if p.started || !r.sent {
		return true
	}
	v := g.retries.Allow(g.Now(), retry.Call{Idempotent: true, Kind: retry.Retry, Attempt: attempt, Region: g.Self.Region})
	if v != retry.Allowed {
		r.note(g.Now(), "no retry", v.String())
	}
	return v == retry.Allowed
}

// giveUp combines the refusal of a further attempt with the failure of the earlier one.
func (g *Gateway) giveUp(r *Request, last, refusal Outcome) Outcome {
	if !r.sent {
		return refusal
	}
	if last.Code == OK {
		last = refusal
	}
	last.Ran = DidRun
	return last
}

// choice is what the choice of an upstream depends on.
func (r *Request) choice(exclude []*choose.Upstream) choose.Request {
	return choose.Request{Route: r.Route.Name, Prefix: r.prefix, Exclude: exclude, Forwarded: r.Forwarded}
}

// upstreamOf returns the configuration in force of an upstream.
func (g *Gateway) upstreamOf(r *Request, name string) *config.Upstream {
	if u := g.Snapshot().Upstreams[name]; u != nil {
		return u
	}
	return r.Snapshot.Upstreams[name]
}

// streamFrom runs one attempt. again tells that another upstream may continue.
func (g *Gateway) streamFrom(ctx context.Context, r *Request, u *config.Upstream, running *choose.RunningRequest, p *progress, first *time.Timer) (out Outcome, again bool) {
	sentAt := g.Now()
	stream, fail := g.Upstreams.Stream(ctx, u.Address, upstream.CompletionRequest{
		RequestID:    r.ID,
		Priority:     priorityOf(r),
		ResumeFrom:   p.next,
		MaxTokens:    r.MaxTokens,
		Prefix:       r.Prefix,
		Body:         r.Body,
		StallTimeout: stallLimit,
	})
	if fail != nil {
		return g.attemptFailed(ctx, r, u, fail)
	}
	defer stream.Close()
	r.sent = true
	var chunk vmwire.Chunk // Sinks keep neither it nor its data, so that one serves the whole stream.
	for {
		c, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return Outcome{Ran: DidRun, Upstream: u.Name, PromptTokens: stream.PromptTokens}, false
		}
		if err != nil {
			return g.attemptFailed(ctx, r, u, asFailure(err))
		}
		running.FirstToken()
		chunk = vmwire.Chunk{Start: c.Start, End: c.End, Data: c.Data}
		if !p.started {
			g.firstToken(r, sentAt, first)
			chunk.Status = 200
			chunk.Header = map[string]string{HeaderServedRegion: g.Self.Region, HeaderServedBy: u.Name}
		}
		if err := p.pass(ctx, &chunk); err != nil {
			return Outcome{Code: CallerGone, Message: "the caller closed the connection", Ran: DidRun, PromptTokens: stream.PromptTokens}, false
		}
	}
}

// firstToken records that the answer began.
func (g *Gateway) firstToken(r *Request, sentAt time.Time, deadline *time.Timer) {
	deadline.Stop()
	now := g.Now()
	g.Metrics.ObserveFirstToken(r.Route.Name, now.Sub(r.Arrived))
	g.profiles.Record(r.Route.Name, now.Sub(sentAt), 0)
}

func asFailure(err error) *upstream.Failure {
	var f *upstream.Failure
	if errors.As(err, &f) {
		return f
	}
	return &upstream.Failure{Kind: upstream.Broken, Err: err}
}

// attemptFailed turns a failed attempt into an outcome. again is true if another upstream may try.
func (g *Gateway) attemptFailed(ctx context.Context, r *Request, u *config.Upstream, f *upstream.Failure) (out Outcome, again bool) {
	if f.Kind != upstream.NotSent && f.Kind != upstream.Refused {
		r.sent = true
	}
	if ctx.Err() != nil {
		return cancelled(ctx, r.ranBefore()), false
	}
	if f.Kind == upstream.Refused && f.Status < 500 && f.Status != 429 {
		message := fmt.Sprintf("upstream refused the request with status %d", f.Status)
		return Outcome{Code: InvalidRequest, Message: message, Ran: r.ranBefore()}, false
	}
	if f.Kind == upstream.NotSent && f.Status != 0 {
		// The engine runs another model by now: it is healthy, but not for this request.
		return refuseUntil(NoUpstream, "the model moved to another upstream", g.retries.RetryAfter(retrySoon)), true
	}
	event.UpstreamDown.Log(g.Log, "upstream", u.Name, "error", f.Error())
	if f.Kind == upstream.Broken {
		g.noteBroken(u)
	}
	return Outcome{Code: UpstreamFailed, Message: "the upstream failed", Ran: r.ranBefore(), RetryAfter: g.retries.RetryAfter(retrySoon), Upstream: u.Name}, true
}

// callService makes one attempt of a call that may be repeated.
func (g *Gateway) callService(ctx context.Context, r *Request, u *config.Upstream, running *choose.RunningRequest, p *progress) (Outcome, bool) {
	answer, fail := g.Upstreams.CallOnce(ctx, u.Address, r.serviceCall(), func() bool { return ctx.Err() == nil })
	if fail != nil {
		return g.attemptFailed(ctx, r, u, fail)
	}
	r.sent = true
	running.FirstToken()
	header := map[string]string{"Content-Type": answer.ContentType, HeaderServedRegion: g.Self.Region, HeaderServedBy: u.Name}
	if !p.passWhole(ctx, int32(answer.Status), header, answer.Body) {
		return Outcome{Code: CallerGone, Message: "the caller closed the connection", Ran: DidRun}, false
	}
	return Outcome{Ran: DidRun, Upstream: u.Name}, false
}

// priorityOf returns the engine's priority of a request; higher is more urgent.
func priorityOf(r *Request) int {
	if r.Route.Class == config.ClassInteractive {
		return 10
	}
	return 1
}

// prefixHash converts a prefix key of an engine.
func prefixHash(key string) (uint64, bool) {
	h, err := strconv.ParseUint(key, 16, 64)
	return h, err == nil
}

// identify computes what the choice and the quarantine depend on.
func (g *Gateway) identify(r *Request) {
	r.prefix, _ = prefixHash(r.Prefix)
	if r.Route.Kind == config.KindModel {
		r.fingerprint = g.hasher.Fingerprint(r.Workspace.Name, r.Body)
	} else {
		r.fingerprint = poison.Fingerprint{}
	}
}
