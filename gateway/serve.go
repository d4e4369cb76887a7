package gateway

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"time"

	"parsleyhatch/event"
)

const (
	// maxRegionAttempts bounds the VMs that one request is passed to, one after the other.
	maxRegionAttempts = 3
	// retrySoon is the advice to callers for conditions that pass quickly.
	retrySoon = time.Second
)

// Serve runs a request of a caller and passes its answer to the sink.
func (g *Gateway) Serve(ctx context.Context, r *Request, sink Sink) Outcome {
	if g.leaving.Load() {
		return refuseUntil(Leaving, "this vm is leaving; ask the directory for another one", retrySoon)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if !g.streams.add(r, cancel, g.Settings.MaxStreams) {
		return refuseUntil(Overloaded, "too many open requests at this vm", retrySoon)
	}
	defer g.streams.remove(r.ID)
	// The key may have been withdrawn between authentication and registration.
	if r.KeyID != "" {
		if key := g.Snapshot().Keys[r.KeyID]; key == nil || key.Withdrawn {
			return refuse(Unauthorized, "key withdrawn")
		}
	}
	out := g.route(ctx, r, sink)
	g.report(r, out)
	return out
}

// route runs the request here or at a VM of another region.
func (g *Gateway) route(ctx context.Context, r *Request, sink Sink) Outcome {
	allowed := r.Snapshot.AllowedRegions(r.Route, r.Workspace)
	if len(allowed) == 0 {
		return refuse(WrongRegion, "no region may run this request")
	}
	if r.Route.HomeBound && !slices.Contains(allowed, g.Self.Region) {
		return refuse(WrongRegion, "the request must stay in region "+allowed[0])
	}
	progress := &progress{next: r.ResumeFrom, sink: sink}
	var out Outcome
	for attempt := range maxRegionAttempts {
		region, ok := g.chooseRegion(r, allowed, attempt)
		if !ok {
			break
		}
		r.note(g.Now(), "region "+region, "attempt "+strconv.Itoa(attempt+1))
		if region == g.Self.Region {
			out = g.runLocal(ctx, r, progress)
		} else {
			out = g.forward(ctx, r, region, progress)
		}
		if !g.mayTryElsewhere(ctx, r, out) {
			return out
		}
	}
	if out.Code == OK && out.Ran == "" {
		return refuseUntil(NoUpstream, "no region that may run this request has an upstream", retrySoon)
	}
	return out
}

// mayTryElsewhere reports whether another VM or region may run the request after this outcome.
func (g *Gateway) mayTryElsewhere(ctx context.Context, r *Request, out Outcome) bool {
	if out.Code == OK || ctx.Err() != nil {
		return false
	}
	switch out.Code {
	case NoUpstream, Leaving, UnreachableRegion, StaleConfig:
		return out.Ran == NotRun || r.Route.Idempotent
	case UpstreamFailed:
		return r.Route.Idempotent
	default:
		return false
	}
}

// chooseRegion prefers the own region and then the other allowed ones.
func (g *Gateway) chooseRegion(r *Request, allowed []string, attempt int) (string, bool) {
	var order []string
	if slices.Contains(allowed, g.Self.Region) && g.hasUpstream(r, g.Self.Region) {
		order = append(order, g.Self.Region)
	}
	for _, name := range allowed {
		if name != g.Self.Region && g.hasUpstream(r, name) {
			order = append(order, name)
		}
	}
	if attempt >= len(order) {
		return "", false
	}
	return order[attempt], true
}

func (g *Gateway) hasUpstream(r *Request, region string) bool {
	for _, u := range r.Snapshot.RouteUpstreams[r.Route.Name] {
		if u.Region == region {
			return true
		}
	}
	return false
}

// cancelled converts the cause of a cancelled context.
func cancelled(ctx context.Context, ran Ran) Outcome {
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, errKeyWithdrawn):
		return Outcome{Code: KeyWithdrawn, Message: "the key was withdrawn while the request ran", Ran: ran}
	case errors.Is(cause, errDeadline), errors.Is(cause, context.DeadlineExceeded):
		return Outcome{Code: DeadlineExceeded, Message: "no answer within the route's deadline", Ran: ran, RetryAfter: retrySoon}
	default:
		return Outcome{Code: CallerGone, Message: "the caller closed the connection", Ran: ran}
	}
}

// report logs the outcome of a request. It never logs a key or content.
func (g *Gateway) report(r *Request, out Outcome) {
	now := g.Now()
	r.note(now, "outcome "+codeText(out.Code), out.Message)
	g.traces.add(r)
	sentAway := !r.Forwarded && out.Region != "" && out.Region != g.Self.Region
	g.Metrics.Request(r.Route.Name, codeText(out.Code), string(out.Ran), sentAway, now.Sub(r.Arrived), out.AnswerTokens)
	args := []any{"request", r.ID, "route", r.Route.Name, "workspace", r.Workspace.Name, "code", string(out.Code), "ran", string(out.Ran)}
	switch {
	case out.Code == OK:
		event.RequestDone.Log(g.Log, args...)
	case out.Ran == NotRun:
		event.RequestRefused.Log(g.Log, append(args, "message", out.Message)...)
	default:
		event.RequestFailed.Log(g.Log, append(args, "message", out.Message)...)
	}
}

// codeText names a code in logs and metrics.
func codeText(c Code) string {
	if c == OK {
		return "ok"
	}
	return string(c)
}
