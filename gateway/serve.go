package gateway

import (
	"context"
	"errors"
	"slices"
	"time"

	"parsleyhatch/choose"
	"parsleyhatch/event"
)

const (
	// maxRegionAttempts bounds the VMs that one request is passed to, one after the other.
	maxRegionAttempts = 3
	// replyBytesPerToken is the size of a token of an answer between VMs.
	replyBytesPerToken = 200
	// retrySoon is the advice to callers for conditions that pass quickly.
	retrySoon = time.Second
)

// Serve runs a request of a caller and passes its answer to the sink.
func (g *Gateway) Serve(ctx context.Context, r *Request, sink Sink) Outcome {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if out := g.register(r, cancel); out.Code != OK {
		return withoutRecord(r.Route, g.direct(out))
	}
	defer g.streams.remove(r.ID)
	g.identify(r)
	out := g.admit(ctx, r, &progress{next: r.ResumeFrom, sink: sink})
	g.report(r, out)
	return g.direct(out)
}

// direct adds the VMs to use to a refusal of a VM that is leaving.
func (g *Gateway) direct(out Outcome) Outcome {
	if out.Code == Leaving {
		out.Instead = g.Others(g.Snapshot())
	}
	return out
}

// register adds the request to the open ones, or refuses it. The checks come after the entry: a drain
// that begins now waits for the request, and a snapshot that withdraws its key now cancels it.
func (g *Gateway) register(r *Request, cancel context.CancelCauseFunc) Outcome {
	if !g.streams.add(r, cancel, g.Settings.MaxStreams) {
		return refuseUntil(Overloaded, "too many open requests at this vm", retrySoon)
	}
	var out Outcome
	switch {
	case g.leaving.Load() && r.Route.Idempotent: // Other calls are refused by their record.
		out = refuseUntil(Leaving, "vm "+g.Self.Slot+" is leaving; ask the directory for another one", retrySoon)
	case !r.keyInForce(g.Snapshot()):
		out = refuse(KeyWithdrawn, "key withdrawn")
	default:
		return Outcome{}
	}
	g.streams.remove(r.ID)
	return out
}

func refuseLeaving() Outcome {
	return refuseUntil(Leaving, "this vm is leaving; ask the directory for another one", retrySoon)
}

// admit charges the request and runs it.
func (g *Gateway) admit(ctx context.Context, r *Request, p *progress) Outcome {
	if out, refused := g.checkPoison(r); refused {
		return out
	}
	allowed := r.Snapshot.AllowedRegions(r.Route, r.Workspace)
	if len(allowed) == 0 {
		return withoutRecord(r.Route, refuse(WrongRegion, "no region may run this request"))
	}
	if r.Route.HomeBound && !slices.Contains(allowed, g.Self.Region) {
		return withoutRecord(r.Route, refuse(WrongRegion, "the request must stay in region "+allowed[0]))
	}
	charge, out := g.charge(ctx, r)
	if out.Code != OK {
		return withoutRecord(r.Route, out)
	}
	if r.Route.Idempotent {
		out = g.route(ctx, r, allowed, p)
	} else {
		out = g.serveCall(ctx, r, p)
	}
	g.settle(charge, r, out)
	return out
}

// route runs the request here or at a VM of another region.
func (g *Gateway) route(ctx context.Context, r *Request, allowed []string, p *progress) Outcome {
	var out Outcome
	for attempt := range maxRegionAttempts {
		region, why := g.chooseRegion(r, allowed)
		if region == "" {
			if attempt > 0 {
				return out
			}
			return refuseUntil(UnreachableRegion, "no region that may run the request has a reachable upstream", g.retries.RetryAfter(retrySoon))
		}
		r.note(g.Now(), "region "+region, why)
		if region == g.Self.Region {
			out = g.runLocal(ctx, r, p)
		} else {
			out = g.forward(ctx, r, region, p)
		}
		if !g.mayTryElsewhere(ctx, out) {
			return out
		}
		allowed = without(allowed, region)
	}
	return out
}

// chooseRegion returns the region that runs the request and why, or no region.
func (g *Gateway) chooseRegion(r *Request, allowed []string) (region, why string) {
	name, reason := g.view.Load().ChooseRegion(g.Now(), choose.Request{
		Route: r.Route.Name, Prefix: r.prefix, Allowed: allowed,
		BodyBytes: int64(len(r.Body)), ReplyBytes: r.MaxTokens * replyBytesPerToken,
	})
	return name, reason.String()
}

// mayTryElsewhere reports whether another region may run the request after this outcome. Failures
// of upstreams were retried by the VM that ran the request, so only refusals and broken connections
// between VMs are tried elsewhere, and failures while the own region has an outage.
func (g *Gateway) mayTryElsewhere(ctx context.Context, out Outcome) bool {
	if out.Code == OK || ctx.Err() != nil {
		return false
	}
	switch out.Code {
	case NoUpstream, Leaving, UnreachableRegion, StaleConfig, PeerLost:
		return true
	case UpstreamFailed:
		return g.outages.Active(g.Now())
	default:
		return false
	}
}

func without(list []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(s string) bool { return s == name })
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
	g.traces.Add(r.finished())
	sentAway := !r.Forwarded && out.Region != "" && out.Region != g.Self.Region
	g.Metrics.ObserveRequest(r.Route.Name, codeText(out.Code), string(out.Ran), sentAway, now.Sub(r.Arrived), out.AnswerTokens)
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
