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
	// maxRegionAttempts is the maximum number of regions that are tried for one request.
	maxRegionAttempts = 3
	// replyBytesPerToken is the assumed size of an answer token in messages between VMs, in bytes.
	replyBytesPerToken = 200
	// shortRetryAfter is the retry delay for conditions that usually end soon.
	shortRetryAfter = time.Second
)

// Serve runs a request of a caller and passes its answer to the sink.
func (g *Gateway) Serve(ctx context.Context, r *Request, sink Sink) Outcome {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if out := g.register(r, cancel); out.Code != OK {
		return markRanUnknown(r.Route, g.addAlternatives(out))
	}
	defer g.streams.remove(r.ID)
	g.computeHashes(r)
	out := g.chargeAndRun(ctx, r, &progress{next: r.ResumeFrom, sink: sink})
	g.reportOutcome(r, out)
	return g.addAlternatives(out)
}

// addAlternatives adds the list of other VMs to a refusal by a leaving VM.
func (g *Gateway) addAlternatives(out Outcome) Outcome {
	if out.Code == Leaving {
		out.Alternatives = g.OtherVMs(g.Snapshot())
	}
	return out
}

// register adds the request to the open ones, or refuses it. The checks come after the request is
// entered: a drain that begins meanwhile waits for it, and a snapshot that withdraws its key
// cancels it.
func (g *Gateway) register(r *Request, cancel context.CancelCauseFunc) Outcome {
	if !g.streams.add(r, cancel, g.Settings.MaxStreams) {
		return refuseUntil(Overloaded, "too many open requests at this vm", shortRetryAfter)
	}
	var out Outcome
	switch {
	case g.leaving.Load() && r.Route.Idempotent: // Non-idempotent calls are checked against their record.
		out = refuseUntil(Leaving, "vm "+g.Self.Slot+" is leaving; ask the directory for another one", shortRetryAfter)
	case !r.keyStillValid(g.Snapshot()):
		out = refuse(KeyWithdrawn, "key withdrawn")
	default:
		return Outcome{}
	}
	g.streams.remove(r.ID)
	return out
}

func refuseLeaving() Outcome {
	return refuseUntil(Leaving, "this vm is leaving; ask the directory for another one", shortRetryAfter)
}

// chargeAndRun charges the request and runs it.
func (g *Gateway) chargeAndRun(ctx context.Context, r *Request, p *progress) Outcome {
	if out, refused := g.refuseQuarantined(r); refused {
		return out
	}
	allowed := r.Snapshot.AllowedRegions(r.Route, r.Workspace)
	if len(allowed) == 0 {
		return markRanUnknown(r.Route, refuse(WrongRegion, "no region may run this request"))
	}
	if r.Route.HomeBound && !slices.Contains(allowed, g.Self.Region) {
		return markRanUnknown(r.Route, refuse(WrongRegion, "the request must stay in region "+allowed[0]))
	}
	charge, out := g.charge(ctx, r)
	if out.Code != OK {
		return markRanUnknown(r.Route, out)
	}
	if r.Route.Idempotent {
		out = g.routeToRegion(ctx, r, allowed, p)
	} else {
		out = g.serveCall(ctx, r, p)
	}
	g.settleCharge(charge, r, out)
	return out
}

// routeToRegion runs the request here or at a VM of another region.
func (g *Gateway) routeToRegion(ctx context.Context, r *Request, allowed []string, p *progress) Outcome {
	var out Outcome
	for attempt := range maxRegionAttempts {
		region, why := g.chooseRegion(r, allowed)
		if region == "" {
			if attempt > 0 {
				return out
			}
			return refuseUntil(UnreachableRegion, "no region that may run the request has a reachable upstream", g.retries.RetryAfter(shortRetryAfter))
		}
		r.note(g.Now(), "region "+region, why)
		if region == g.Self.Region {
			out = g.runLocal(ctx, r, p)
		} else {
			out = g.forward(ctx, r, region, p)
		}
		if !g.mayTryOtherRegion(ctx, out) {
			return out
		}
		allowed = withoutRegion(allowed, region)
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

// mayTryOtherRegion reports whether another region may run the request after this outcome. Failures
// of upstreams were retried by the VM that ran the request, so other regions are tried only after
// refusals, after broken connections between VMs, and after failures while the own region has an
// outage.
func (g *Gateway) mayTryOtherRegion(ctx context.Context, out Outcome) bool {
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

func withoutRegion(list []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(s string) bool { return s == name })
}

// cancelledOutcome converts the cause of a cancelled context to an outcome.
func cancelledOutcome(ctx context.Context, ran Ran) Outcome {
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, errKeyWithdrawn):
		return Outcome{Code: KeyWithdrawn, Message: "the key was withdrawn while the request ran", Ran: ran}
	case errors.Is(cause, errDeadline), errors.Is(cause, context.DeadlineExceeded):
		return Outcome{Code: DeadlineExceeded, Message: "no answer within the route's deadline", Ran: ran, RetryAfter: shortRetryAfter}
	case errors.Is(cause, errVMEnds):
		return Outcome{Code: Leaving, Message: "this vm ended before the request did", Ran: ran, RetryAfter: shortRetryAfter}
	default:
		return Outcome{Code: CallerGone, Message: "the caller closed the connection", Ran: ran}
	}
}

// reportOutcome logs the outcome of a request. It never logs a key or content.
func (g *Gateway) reportOutcome(r *Request, out Outcome) {
	now := g.Now()
	r.note(now, "outcome "+codeText(out.Code), out.Message)
	g.traces.Add(r.completeTrace())
	forwarded := !r.Forwarded && out.Region != "" && out.Region != g.Self.Region
	g.Metrics.ObserveRequest(r.Route.Name, codeText(out.Code), string(out.Ran), forwarded, now.Sub(r.AdmittedAt), out.AnswerTokens)
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
