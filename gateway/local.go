package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"parsleyhatch/config"
	"parsleyhatch/event"
	"parsleyhatch/upstream"
	"parsleyhatch/vmwire"
)

const (
	// stallLimit is the longest wait for the next event of an engine.
	stallLimit = 10 * time.Second
	// maxUpstreamAttempts bounds the upstreams that one request is given to.
	maxUpstreamAttempts = 4
)

// Headers of answers.
const (
	HeaderServedRegion = "X-Served-Region"
	HeaderServedBy     = "X-Served-By"
)

// runLocal runs a request at an upstream of the own region.
func (g *Gateway) runLocal(ctx context.Context, r *Request, p *progress) Outcome {
	if r.Route.HomeBound && r.Workspace.Home != g.Self.Region {
		event.Broken(g.Log, event.BrokenRegion, "request", r.ID, "region", g.Self.Region)
	}
	var out Outcome
	if r.Route.Kind == config.KindModel {
		out = g.runModel(ctx, r, p)
	} else {
		out = g.runService(ctx, r, p)
	}
	out.Region = g.Self.Region
	return out
}

// runModel runs a chat completion, resuming it at another upstream when one fails.
func (g *Gateway) runModel(ctx context.Context, r *Request, p *progress) Outcome {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	first := time.AfterFunc(r.Deadline.Sub(g.Now()), func() { cancel(errDeadline) })
	defer first.Stop()
	tried := map[string]bool{}
	out := refuseUntil(NoUpstream, "no usable upstream in region "+g.Self.Region, retrySoon)
	ran := NotRun
	for range maxUpstreamAttempts {
		u := g.health.pick(g.Now(), r.Snapshot.RouteUpstreams[r.Route.Name], g.Self.Region, tried)
		if u == nil {
			break
		}
		tried[u.Name] = true
		r.note(g.Now(), "upstream "+u.Name, "fewest outstanding requests")
		var retry bool
		out, retry = g.streamFrom(ctx, r, u, p, first)
		g.health.release(u.Name)
		if out.Ran != NotRun {
			ran = out.Ran
		}
		if !retry {
			break
		}
		event.StreamResumed.Log(g.Log, "request", r.ID, "from", u.Name, "offset", p.next)
	}
	if out.Ran == NotRun {
		out.Ran = ran
	}
	out.AnswerTokens = p.tokens
	return out
}

// streamFrom runs one attempt. retry tells that another upstream may continue.
func (g *Gateway) streamFrom(ctx context.Context, r *Request, u *config.Upstream, p *progress, first *time.Timer) (out Outcome, retry bool) {
	stream, fail := g.Upstreams.Stream(ctx, u.Address, upstream.Call{
		RequestID:  r.ID,
		Priority:   priorityOf(r),
		ResumeFrom: p.next,
		MaxTokens:  r.MaxTokens,
		Prefix:     r.Prefix,
		Body:       r.Body,
		Stall:      stallLimit,
	})
	if fail != nil {
		return g.upstreamFailure(ctx, u, fail)
	}
	defer stream.Close()
	for {
		c, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return Outcome{Ran: DidRun, Upstream: u.Name, PromptTokens: stream.PromptTokens}, false
		}
		if err != nil {
			return g.upstreamFailure(ctx, u, asFailure(err))
		}
		first.Stop()
		chunk := vmwire.Chunk{Start: c.Start, End: c.End, Data: c.Data}
		if !p.started {
			g.Metrics.FirstToken(r.Route.Name, g.Now().Sub(r.Arrived))
			chunk.Status = 200
			chunk.Header = map[string]string{HeaderServedRegion: g.Self.Region, HeaderServedBy: u.Name}
		}
		if err := p.pass(ctx, &chunk); err != nil {
			return Outcome{Code: CallerGone, Message: "the caller closed the connection", Ran: DidRun}, false
		}
	}
}

func asFailure(err error) *upstream.Failure {
	var f *upstream.Failure
	if errors.As(err, &f) {
		return f
	}
	return &upstream.Failure{Kind: upstream.Broken, Err: err}
}

// upstreamFailure turns a failed attempt into an outcome.
func (g *Gateway) upstreamFailure(ctx context.Context, u *config.Upstream, f *upstream.Failure) (Outcome, bool) {
	ran := DidRun
	if f.Kind == upstream.NotSent {
		ran = NotRun
	}
	if ctx.Err() != nil {
		return cancelled(ctx, ran), false
	}
	if f.Kind == upstream.Refused && f.Status < 500 && f.Status != 429 {
		message := fmt.Sprintf("upstream refused the request with status %d", f.Status)
		return Outcome{Code: InvalidRequest, Message: message, Ran: NotRun}, false
	}
	g.health.failed(g.Now(), u.Name)
	event.UpstreamDown.Log(g.Log, "upstream", u.Name, "error", f.Error())
	return Outcome{Code: UpstreamFailed, Message: "the upstream failed", Ran: ran, RetryAfter: retrySoon, Upstream: u.Name}, true
}

// runService runs a plain service call.
func (g *Gateway) runService(ctx context.Context, r *Request, p *progress) Outcome {
	ctx, cancel := context.WithDeadlineCause(ctx, r.Deadline, errDeadline)
	defer cancel()
	tried := map[string]bool{}
	out := refuseUntil(NoUpstream, "no usable upstream in region "+g.Self.Region, retrySoon)
	for range maxUpstreamAttempts {
		u := g.health.pick(g.Now(), r.Snapshot.RouteUpstreams[r.Route.Name], g.Self.Region, tried)
		if u == nil {
			return out
		}
		tried[u.Name] = true
		var retry bool
		out, retry = g.callService(ctx, r, u, p)
		g.health.release(u.Name)
		if !retry {
			return out
		}
	}
	return out
}

func (g *Gateway) callService(ctx context.Context, r *Request, u *config.Upstream, p *progress) (Outcome, bool) {
	answer, fail := g.Upstreams.CallOnce(ctx, u.Address, upstream.ServiceCall{
		RequestID:      r.ID,
		Method:         r.Method,
		Path:           r.Path,
		Header:         r.Header,
		IdempotencyKey: r.IdempotencyKey,
		Body:           r.Body,
	}, func() bool { return ctx.Err() == nil })
	if fail != nil {
		out, retry := g.upstreamFailure(ctx, u, fail)
		if fail.Kind != upstream.NotSent && !r.Route.Idempotent {
			out.Ran, retry = Unknown, false
		}
		return out, retry
	}
	for start := 0; start == 0 || start < len(answer.Body); {
		end := min(start+serviceChunkBytes, len(answer.Body))
		chunk := vmwire.Chunk{Start: p.next, End: p.next, Data: answer.Body[start:end]}
		if start == 0 {
			chunk.Status = int32(answer.Status)
			chunk.Header = map[string]string{
				"Content-Type": answer.ContentType, HeaderServedRegion: g.Self.Region, HeaderServedBy: u.Name,
			}
		}
		if err := p.pass(ctx, &chunk); err != nil {
			return Outcome{Code: CallerGone, Message: "the caller closed the connection", Ran: DidRun}, false
		}
		if end == len(answer.Body) {
			break
		}
		start = end
	}
	return Outcome{Ran: DidRun, Upstream: u.Name}, false
}

// serviceChunkBytes is the size of the pieces of a service's answer between VMs.
const serviceChunkBytes = 32 << 10

// priorityOf returns the engine's priority of a request; higher is more urgent.
func priorityOf(r *Request) int {
	if r.Route.Class == config.ClassInteractive {
		return 10
	}
	return 1
}
