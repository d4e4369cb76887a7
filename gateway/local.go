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
	// stallTimeout is the longest wait for the next event of an engine.
	stallTimeout = 10 * time.Second
	// maxUpstreamAttempts is the maximum number of upstreams that are tried for one request.
	maxUpstreamAttempts = 4
	// serviceChunkBytes is the maximum chunk size of a service's answer, in bytes.
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
	out := g.tryUpstreams(limited, r, p, func(ctx context.Context, u *config.Upstream, running *choose.RunningRequest) (Outcome, bool) {
		return g.streamFrom(ctx, r, u, running, p, first)
	})
	if r.placerSlot != "" {
		return g.passSuspect(ctx, r, p)
	}
	return out
}

// runService runs an idempotent service call.
func (g *Gateway) runService(ctx context.Context, r *Request, p *progress) Outcome {
	ctx, cancel := context.WithDeadlineCause(ctx, r.Deadline, errDeadline)
	defer cancel()
	return g.tryUpstreams(ctx, r, p, func(ctx context.Context, u *config.Upstream, running *choose.RunningRequest) (Outcome, bool) {
		return g.callService(ctx, r, u, running, p)
	})
}

// tryUpstreams tries one upstream after the other until one runs an idempotent request.
func (g *Gateway) tryUpstreams(ctx context.Context, r *Request, p *progress, run func(context.Context, *config.Upstream, *choose.RunningRequest) (Outcome, bool)) Outcome {
	var exclude []*choose.Upstream
	var last Outcome
	g.retries.RecordFirst(g.Now(), g.Self.Region)
	for attempt := range maxUpstreamAttempts {
		if attempt > 0 {
			g.awaitSuspects(ctx, exclude[len(exclude)-1].Name)
		}
		if out, refused := g.refuseQuarantined(r); refused {
			return out
		}
		if attempt > 0 && !g.mayRetry(r, p, attempt) {
			return last
		}
		if r.placerSlot = g.suspectPlacer(r); r.placerSlot != "" {
			return last
		}
		q := r.upstreamQuery(exclude)
		q.Filter = g.suspectFilter(r)
		granted, out := g.acquire(ctx, r, q)
		if out.Code != OK {
			return g.combineRefusal(r, last, out)
		}
		u := g.upstreamOf(r, granted.pick.Upstream.Name)
		exclude = append(exclude, granted.pick.Upstream)
		if u == nil || !g.quarantine.Reserve(g.Now(), granted.pick.Upstream.Name, r.fingerprint) {
			// The upstream is no longer configured, or runs another suspect.
			g.release(r, &granted)
			last = refuseUntil(Overloaded, "the request crashed an upstream and waits for one without another such request", g.retries.RetryAfter(shortRetryAfter))
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

// attempt runs the request at one upstream and updates the upstream's counters.
func (g *Gateway) attempt(ctx context.Context, r *Request, u *config.Upstream, granted *grantedUpstream, run func(context.Context, *config.Upstream, *choose.RunningRequest) (Outcome, bool)) (Outcome, bool) {
	g.running.Add(u.Name, r.fingerprint)
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
		g.clearSuspect(r.fingerprint)
	}
	g.running.Remove(u.Name, r.fingerprint)
	g.quarantine.Release(now, u.Name, r.fingerprint)
	g.release(r, granted)
	return out, again
}

// release frees the place at the upstream for the next waiting request.
func (g *Gateway) release(r *Request, granted *grantedUpstream) {
	granted.running.End()
	if wait := g.queues.get(r.Route); wait.queue.Len() > 0 {
		g.grantWaiting(g.Now(), wait)
	}
}

// mayRetry reports whether another attempt is allowed. An answer that has begun is always resumed,
// since the number of resumptions is bounded by that of broken streams. A request of which no byte
// was sent is always tried again, since it put no load on an upstream.
func (g *Gateway) mayRetry(r *Request, p *progress, attempt int) bool {
	if p.started || !r.reachedUpstream {
		return true
	}
	v := g.retries.Allow(g.Now(), retry.Call{Idempotent: true, Kind: retry.Retry, Attempt: attempt, Region: g.Self.Region})
	if v != retry.Allowed {
		r.note(g.Now(), "no retry", v.String())
	}
	return v == retry.Allowed
}

// combineRefusal combines the refusal of a further attempt with the failure of the earlier one.
func (g *Gateway) combineRefusal(r *Request, last, refusal Outcome) Outcome {
	if !r.reachedUpstream {
		return refusal
	}
	if last.Code == OK {
		last = refusal
	}
	last.Ran = DidRun
	return last
}

// upstreamQuery returns the inputs for the choice of an upstream.
func (r *Request) upstreamQuery(exclude []*choose.Upstream) choose.Request {
	return choose.Request{Route: r.Route.Name, Prefix: r.prefix, Exclude: exclude, Forwarded: r.Forwarded}
}

// upstreamOf returns an upstream from the configuration in force, or from the request's snapshot if
// it has been removed since.
func (g *Gateway) upstreamOf(r *Request, name string) *config.Upstream {
	if u := g.Snapshot().Upstreams[name]; u != nil {
		return u
	}
	return r.Snapshot.Upstreams[name]
}

// streamFrom runs one attempt. again reports whether another upstream may continue.
func (g *Gateway) streamFrom(ctx context.Context, r *Request, u *config.Upstream, running *choose.RunningRequest, p *progress, first *time.Timer) (out Outcome, again bool) {
	sentAt := g.Now()
	stream, fail := g.Upstreams.Stream(ctx, u.Address, upstream.CompletionRequest{
		RequestID:    r.ID,
		Priority:     priorityOf(r),
		ResumeFrom:   p.next,
		MaxTokens:    r.MaxTokens,
		Prefix:       r.PrefixKey,
		Body:         r.Body,
		StallTimeout: stallTimeout,
	})
	if fail != nil {
		return g.attemptFailed(ctx, r, u, fail)
	}
	defer stream.Close()
	r.reachedUpstream = true
	var chunk vmwire.Chunk // Sinks do not retain the chunk or its data, so it is reused for the whole stream.
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
			g.recordFirstToken(r, sentAt, first)
			chunk.Status = 200
			chunk.Header = map[string]string{HeaderServedRegion: g.Self.Region, HeaderServedBy: u.Name}
		}
		if err := p.pass(ctx, &chunk); err != nil {
			return Outcome{Code: CallerGone, Message: "the caller closed the connection", Ran: DidRun, PromptTokens: stream.PromptTokens}, false
		}
	}
}

// recordFirstToken records that the answer began.
func (g *Gateway) recordFirstToken(r *Request, sentAt time.Time, deadline *time.Timer) {
	deadline.Stop()
	now := g.Now()
	g.Metrics.ObserveFirstToken(r.Route.Name, now.Sub(r.AdmittedAt))
	g.profiles.Record(r.Route.Name, now.Sub(sentAt), 0)
}

func asFailure(err error) *upstream.Failure {
	var f *upstream.Failure
	if errors.As(err, &f) {
		return f
	}
	return &upstream.Failure{Kind: upstream.Broken, Err: err}
}

// attemptFailed converts a failed attempt to an outcome. again reports whether another upstream may
// be tried.
func (g *Gateway) attemptFailed(ctx context.Context, r *Request, u *config.Upstream, f *upstream.Failure) (out Outcome, again bool) {
	if f.Kind != upstream.NotSent && f.Kind != upstream.Refused {
		r.reachedUpstream = true
	}
	if ctx.Err() != nil {
		return cancelledOutcome(ctx, r.ranBefore()), false
	}
	if f.Kind == upstream.Refused && f.Status < 500 && f.Status != 429 {
		message := fmt.Sprintf("upstream refused the request with status %d", f.Status)
		return Outcome{Code: InvalidRequest, Message: message, Ran: r.ranBefore()}, false
	}
	if f.Kind == upstream.NotSent && f.Status != 0 {
		// The engine now runs another model: it is healthy but cannot serve this request.
		return refuseUntil(NoUpstream, "the model moved to another upstream", g.retries.RetryAfter(shortRetryAfter)), true
	}
	event.UpstreamDown.Log(g.Log, "upstream", u.Name, "error", f.Error())
	if f.Kind == upstream.Broken {
		g.handleBrokenStream(u)
	}
	return Outcome{Code: UpstreamFailed, Message: "the upstream failed", Ran: r.ranBefore(), RetryAfter: g.retries.RetryAfter(shortRetryAfter), Upstream: u.Name}, true
}

// callService makes one attempt of an idempotent call.
func (g *Gateway) callService(ctx context.Context, r *Request, u *config.Upstream, running *choose.RunningRequest, p *progress) (Outcome, bool) {
	answer, fail := g.Upstreams.CallOnce(ctx, u.Address, r.serviceCall(), func() bool { return ctx.Err() == nil })
	if fail != nil {
		return g.attemptFailed(ctx, r, u, fail)
	}
	r.reachedUpstream = true
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

// prefixHash parses the hexadecimal key of a prompt prefix.
func prefixHash(key string) (uint64, bool) {
	h, err := strconv.ParseUint(key, 16, 64)
	return h, err == nil
}

// computeHashes computes the prefix hash for the choice of an upstream and the fingerprint for the
// quarantine.
func (g *Gateway) computeHashes(r *Request) {
	r.prefix, _ = prefixHash(r.PrefixKey)
	if r.Route.Kind == config.KindModel {
		r.fingerprint = g.hasher.Fingerprint(r.Workspace.Name, r.Body)
	} else {
		r.fingerprint = poison.Fingerprint{}
	}
}
