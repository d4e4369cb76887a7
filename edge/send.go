package edge

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"parsleyhatch/event"
	"parsleyhatch/platform"
	"parsleyhatch/poison"
	"parsleyhatch/replica"
	"parsleyhatch/route"
	"parsleyhatch/upstream"
)

const (
	// maxHeldAnswer is the longest answer that is read whole before its head goes to the caller, in
	// bytes. A caller then never sees half of it.
	maxHeldAnswer = 1 << 20
	// connectionReserve is the number of VMs beside the known ones for which connections to an upstream
	// are left.
	connectionReserve = 1
)

// send sends the request to an upstream of the own region and relays the answer.
func (e *Edge) send(ctx context.Context, r *request, pick *replica.Pick, sink *Sink) Outcome {
	now := time.Now()
	r.tried = append(r.tried, pick.ID)
	r.sends++
	a, err := e.Pool.Do(ctx, &upstream.Outgoing{
		Address: pick.Address, Connections: e.connections(r.service),
		ID: r.id, Method: r.method, Target: r.target, Host: r.host,
		Header: r.outgoingHeader(pick.ID, now), Body: r.body,
	})
	if err != nil {
		return e.sendFailed(ctx, r, pick, err)
	}
	defer a.Close()
	return e.answered(ctx, r, pick, a, sink)
}

// connections returns this VM's part of the connections to an upstream.
func (e *Edge) connections(s *route.Service) int {
	if s.MaxConnections <= 0 {
		return 0
	}
	return max(1, s.MaxConnections/(e.Fleet.Sharers(e.Now())+connectionReserve))
}

// sendFailed handles a request for which no answer began.
func (e *Edge) sendFailed(ctx context.Context, r *request, pick *replica.Pick, err error) Outcome {
	var f *upstream.Failure
	if !errors.As(err, &f) {
		f = &upstream.Failure{Kind: upstream.Broken, Err: err}
	}
	now := e.Now()
	if f.Kind == upstream.NotSent {
		result := replica.Unreachable
		if ctx.Err() != nil || upstream.PoolFull(f.Err) {
			result = replica.Abandoned
		}
		e.Replicas.Done(now, pick, result)
		return refuse(NoUpstream, f.Error(), refusalPause)
	}
	r.runs++
	switch {
	case f.Kind == upstream.Cancelled && errors.Is(context.Cause(ctx), errTimedOut):
		e.Replicas.Done(now, pick, replica.Silent)
		return fail(TimedOut, "the upstream has not answered in time")
	case f.Kind == upstream.Cancelled:
		e.Replicas.Done(now, pick, replica.Abandoned)
		return fail(CallerGone, "the caller left")
	default:
		e.Replicas.Done(now, pick, replica.Failed)
		e.suspect(r, pick)
		return fail(UpstreamBroke, f.Error())
	}
}

// suspect notes that an upstream broke off while it ran the request, and tells the other VMs.
func (e *Edge) suspect(r *request, pick *replica.Pick) {
	now := e.Now()
	e.Poison.Crash(now, pick.ID, []poison.Fingerprint{r.print})
	for _, m := range e.Poison.Messages(now, r.print) {
		e.Fleet.Broadcast(&m, false)
	}
}

// answered handles an answer whose head has arrived.
func (e *Edge) answered(ctx context.Context, r *request, pick *replica.Pick, a *upstream.Answer, sink *Sink) Outcome {
	if ms, err := strconv.ParseInt(a.Header.Get(platform.HeaderWarmUp), 10, 64); err == nil && ms > 0 {
		e.Replicas.Cold(e.Now(), pick.ID, time.Duration(ms)*time.Millisecond)
	}
	if a.Status == http.StatusMisdirectedRequest || a.Header.Get(platform.HeaderNotRun) != "" {
		return e.refusedByUpstream(pick, a)
	}
	r.runs++
	if isEvents(a) {
		return e.relayEvents(ctx, r, pick, a, sink)
	}
	return e.relayWhole(ctx, r, pick, a, sink)
}

func (e *Edge) refusedByUpstream(pick *replica.Pick, a *upstream.Answer) Outcome {
	_, _ = io.Copy(io.Discard, io.LimitReader(a, maxHeldAnswer)) // Only to keep the connection.
	result := replica.Shed
	if a.Status == http.StatusMisdirectedRequest {
		result = replica.Misdirected
	}
	e.Replicas.Done(e.Now(), pick, result)
	return refuse(UpstreamRefused, "upstream "+pick.ID+" answered "+strconv.Itoa(a.Status), refusalPause)
}

func isEvents(a *upstream.Answer) bool {
	return a.Status == http.StatusOK && strings.HasPrefix(a.Header.Get("Content-Type"), "text/event-stream")
}

// relayWhole reads an answer to its end before it goes to the caller.
func (e *Edge) relayWhole(ctx context.Context, r *request, pick *replica.Pick, a *upstream.Answer, sink *Sink) Outcome {
	body, err := io.ReadAll(io.LimitReader(a, maxHeldAnswer+1))
	now := e.Now()
	if err != nil {
		e.Replicas.Done(now, pick, replica.Failed)
		if ctx.Err() != nil {
			return fail(TimedOut, "the answer was not whole in time")
		}
		e.suspect(r, pick)
		return fail(UpstreamBroke, "read answer: "+err.Error())
	}
	if len(body) > maxHeldAnswer {
		return e.relayLong(r, pick, a, body, sink)
	}
	failed := a.Status >= http.StatusInternalServerError
	result := replica.Answered
	if failed {
		result = replica.Failed
	}
	e.Replicas.FirstToken(now, pick)
	e.Replicas.Done(now, pick, result)
	answer := &heldAnswer{status: a.Status, header: endToEnd(a.Header), body: body}
	if failed && e.mayReplace(ctx, r) {
		event.EdgeRetried.Log(e.Log, "request", r.id, "upstream", pick.ID, "status", a.Status)
		r.held = answer
		return fail(UpstreamBroke, "upstream answered "+strconv.Itoa(a.Status))
	}
	if r.headSent {
		return fail(UpstreamBroke, "upstream answered a resumed stream with status "+strconv.Itoa(a.Status))
	}
	return r.deliver(answer, sink)
}

// mayReplace reports whether the failure that an upstream answered may be replaced by another attempt.
func (e *Edge) mayReplace(ctx context.Context, r *request) bool {
	return ctx.Err() == nil && r.route.Idempotent() && !r.headSent && r.runs < r.route.MaxAttempts &&
		r.sends < maxSends && e.Retries.Room(e.Now(), r.service.Name)
}

// deliver passes a whole answer on.
func (r *request) deliver(a *heldAnswer, sink *Sink) Outcome {
	r.headSent = true
	out := Outcome{Reason: Answered, Status: a.status, Ran: HasRun}
	if err := sink.Head(a.status, a.header, len(a.body)); err != nil {
		out.Reason, out.Detail = CallerGone, err.Error()
		return out
	}
	if len(a.body) > 0 {
		if err := sink.Data(a.body, false); err != nil {
			out.Reason, out.Detail = CallerGone, err.Error()
			return out
		}
	}
	out.Whole = true
	return out
}

// relayLong passes an answer on that is too long to be held.
func (e *Edge) relayLong(r *request, pick *replica.Pick, a *upstream.Answer, begin []byte, sink *Sink) Outcome {
	r.headSent = true
	result := replica.Failed
	defer func() { e.Replicas.Done(e.Now(), pick, result) }()
	if err := sink.Head(a.Status, endToEnd(a.Header), -1); err != nil {
		return fail(CallerGone, err.Error())
	}
	if err := sink.Data(begin, false); err != nil {
		return fail(CallerGone, err.Error())
	}
	buf := make([]byte, 32<<10)
	for {
		n, err := a.Read(buf)
		if n > 0 {
			if sinkErr := sink.Data(buf[:n], false); sinkErr != nil {
				return fail(CallerGone, sinkErr.Error())
			}
		}
		if errors.Is(err, io.EOF) {
			result = replica.Answered
			return Outcome{Reason: Answered, Status: a.Status, Ran: HasRun, Whole: true}
		}
		if err != nil {
			return fail(UpstreamBroke, "read answer: "+err.Error())
		}
	}
}
