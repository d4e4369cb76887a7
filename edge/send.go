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
	"parsleyhatch/memory"
	"parsleyhatch/platform"
	"parsleyhatch/replica"
	"parsleyhatch/route"
	"parsleyhatch/upstream"
)

const (
	// maxBufferedAnswer is the maximum size of an answer that is buffered completely before it is sent to the
	// caller, in bytes. A caller never receives a part of a buffered answer.
	maxBufferedAnswer = 1 << 20
	// maxUnsizedAnswer is the same for an answer without a length, which may have no end.
	maxUnsizedAnswer = 128 << 10
	// maxRelayedAnswer is the maximum size of an answer without a length that is relayed unbuffered, in bytes.
	maxRelayedAnswer = 64 << 20
	// relayReadBytes is the buffer size for reads of an answer that is relayed unbuffered, in bytes.
	relayReadBytes = 8 << 10
	// maxDrainedRefusal is the maximum size of a refusal that is read so that its connection can be reused, in bytes.
	maxDrainedRefusal = 16 << 10
	// reservedVMs is the number of VMs, in addition to the known ones, for which connections to an upstream
	// are reserved.
	reservedVMs = 1
)

// send sends the request to an upstream of this region and relays the answer.
func (e *Edge) send(ctx context.Context, r *request, pick *replica.Pick, sink *Sink) Outcome {
	r.triedUpstreams = append(r.triedUpstreams, pick.ID)
	r.versions = append(r.versions, pick.Version)
	r.sends++
	r.answerStartedAt, r.events = time.Time{}, 0
	if e.Replicas.IsRateLimited(pick.ID) {
		e.Metrics.AddCounter("requests_to_limited_upstreams", 1)
	}
	if pick.Cold {
		e.Metrics.AddCounter("requests_to_cold_upstreams", 1)
	}
	sentAt := e.Now()
	attemptCtx, watch := e.watchPath(ctx, r, pick)
	a, err := e.Pool.Do(attemptCtx, e.upstreamRequest(r, pick, r.outgoingHeader(pick.ID), func() {
		pick.VersionDoubted = e.Replicas.IsDoubted(e.Now(), pick.ID)
		r.switchover.sent()
		e.serveShare(e.Now(), r)
		e.recordSentCost(r)
	}))
	if err != nil {
		watch.stop()
		return e.handleSendFailure(attemptCtx, r, pick, sentAt, err)
	}
	defer a.Close()
	defer watch.stop()
	watch.answered(attemptCtx, a)
	if !a.Reused {
		e.recordReachable(watch.probe)
	}
	e.recordAnswer(pick, a, sentAt)
	e.recordSignals(pick.ID, pick.Born, a)
	out := e.handleAnswer(ctx, r, pick, a, watch, sink)
	e.recordCompletion(r, a, out)
	e.recordLength(r, out)
	return out
}

// upstreamRequest returns the request to an upstream. onSend is called when it is sent.
func (e *Edge) upstreamRequest(r *request, pick *replica.Pick, header http.Header, onSend func()) *upstream.Request {
	return &upstream.Request{
		Address: pick.Address, MaxConnections: e.connectionLimit(r.service),
		ID: r.id, Method: r.method, Target: r.target, Host: r.host,
		Header: header, Body: r.body,
		OnSend: func() {
			header.Set(platform.HeaderDeadline, r.deadlineHeader(time.Now())) // Opening the connection took a part of the time.
			onSend()
		},
	}
}

// connectionLimit returns this VM's share of the connections to an upstream, zero for no limit.
func (e *Edge) connectionLimit(s *route.Service) int {
	if s.MaxConnections <= 0 {
		return 0
	}
	return max(1, s.MaxConnections/(e.Fleet.SameRegionCount(e.Now())+reservedVMs))
}

// handleSendFailure handles a request for which no response head arrived.
func (e *Edge) handleSendFailure(ctx context.Context, r *request, pick *replica.Pick, sentAt time.Time, err error) Outcome {
	var f *upstream.Failure
	if !errors.As(err, &f) {
		f = &upstream.Failure{Kind: upstream.Broken, Err: err}
	}
	now := e.Now()
	if f.Kind == upstream.NotSent {
		result := replica.Unreachable
		if ctx.Err() != nil || upstream.IsPoolFull(f.Err) {
			result = replica.RequestCancelled
		} else {
			e.recordUnreachable(probeOf(pick, r.service.Name), sentAt, f)
		}
		e.Replicas.Done(now, pick, result)
		return refuse(NoUpstream, f.Error(), defaultRetryAfter)
	}
	r.runs++
	switch {
	case f.Kind == upstream.Cancelled && errors.Is(context.Cause(ctx), errTimedOut):
		e.Replicas.Done(now, pick, replica.NoResponse)
		return fail(TimedOut, "the upstream has not answered in time")
	case f.Kind == upstream.Cancelled && errors.Is(context.Cause(ctx), errPathLost):
		e.Replicas.Done(now, pick, replica.RequestCancelled)
		return fail(UpstreamFailed, errPathLost.Error())
	case f.Kind == upstream.Cancelled:
		e.Replicas.Done(now, pick, replica.RequestCancelled)
		return fail(CallerDisconnected, "the caller left")
	default:
		e.Replicas.Done(now, pick, replica.Failed)
		e.checkPath(probeOf(pick, r.service.Name))
		e.reportCrash(r, pick, f)
		return fail(UpstreamFailed, f.Error())
	}
}

// handleAnswer handles an answer whose response head has arrived.
func (e *Edge) handleAnswer(ctx context.Context, r *request, pick *replica.Pick, a *upstream.Response, watch *pathWatch, sink *Sink) Outcome {
	e.applyWarmUp(pick.ID, a)
	if a.Status == http.StatusMisdirectedRequest || a.Header.Get(platform.HeaderNotExecuted) != "" {
		return e.handleRefusal(pick, a)
	}
	r.runs++
	if isEventStream(a.Status, a.Header) {
		r.switchover.accepted()
		return e.relayEventStream(ctx, r, pick, a, watch, sink)
	}
	return e.relayBuffered(ctx, r, pick, a, sink)
}

func (e *Edge) handleRefusal(pick *replica.Pick, a *upstream.Response) Outcome {
	a.Drain(maxDrainedRefusal)
	result := replica.Shed
	if a.Status == http.StatusMisdirectedRequest {
		result = replica.Misdirected
	}
	e.Replicas.Done(e.Now(), pick, result)
	return refuse(UpstreamRefused, "upstream "+pick.ID+" answered "+strconv.Itoa(a.Status), defaultRetryAfter)
}

func isEventStream(status int, header http.Header) bool {
	return status == http.StatusOK && strings.HasPrefix(header.Get("Content-Type"), "text/event-stream")
}

// relayBuffered reads an answer completely before it is sent to the caller. Answers that exceed the buffer or the memory are
// relayed unbuffered, unless the caller already has a part of a stream.
func (e *Edge) relayBuffered(ctx context.Context, r *request, pick *replica.Pick, a *upstream.Response, sink *Sink) Outcome {
	body := e.memory.answers.Buffer(pick.ID)
	defer func() {
		if !r.keeps(body) {
			body.Release()
		}
	}()
	err := e.readAnswer(a, pick.ID, body)
	if err == nil {
		err = e.checkUnsizedEnd(r, pick, a, false)
	}
	noMemory := memory.IsFull(err) || errors.Is(err, errAnswerStuck)
	if noMemory {
		e.recordMemoryFull(r, heldAnswer, pick.ID, err)
	}
	if noMemory && e.mayLeave(ctx, r, a, err) {
		e.Replicas.Done(e.Now(), pick, resultOfFull(err))
		return fail(UpstreamFailed, "read answer: "+err.Error())
	}
	tooLong := noMemory || errors.Is(err, memory.ErrTooLong)
	if tooLong && !r.headSent {
		return e.relayUnbuffered(ctx, r, pick, a, body, sink)
	}
	if err != nil && !tooLong {
		return e.handleReadFailure(ctx, r, pick, a, err)
	}
	now := e.Now()
	failed := a.Status >= http.StatusInternalServerError
	result := replica.Answered
	if failed {
		result = replica.Failed
	}
	e.Replicas.FirstToken(now, pick)
	e.Replicas.Done(now, pick, result)
	answer := &bufferedAnswer{status: a.Status, header: endToEnd(a.Header), body: body}
	if failed && e.mayReplaceFailure(ctx, r) {
		event.EdgeRetried.Log(e.Log, "request", r.id, "upstream", pick.ID, "status", a.Status)
		r.keepFailedAnswer(answer)
		return fail(UpstreamFailed, "upstream answered "+strconv.Itoa(a.Status))
	}
	if r.headSent {
		return fail(UpstreamFailed, "upstream answered a resumed stream with status "+strconv.Itoa(a.Status))
	}
	return r.deliver(answer, sink)
}

// handleReadFailure handles an answer that broke off, was aborted or was not complete in time.
func (e *Edge) handleReadFailure(ctx context.Context, r *request, pick *replica.Pick, a *upstream.Response, err error) Outcome {
	if a.Aborted() {
		e.Replicas.Done(e.Now(), pick, replica.RequestCancelled)
		return fail(UpstreamFailed, errPathLost.Error())
	}
	if errors.Is(err, errEndUnconfirmed) {
		e.Replicas.Done(e.Now(), pick, replica.RequestCancelled)
		return fail(UpstreamFailed, err.Error())
	}
	e.Replicas.Done(e.Now(), pick, replica.Failed)
	if ctx.Err() != nil {
		return fail(TimedOut, "the answer was not complete in time")
	}
	e.checkEnded(r, pick, err)
	e.reportCrash(r, pick, err)
	return fail(UpstreamFailed, "read answer: "+err.Error())
}

// mayReplaceFailure reports whether another attempt may replace the error answer of an upstream.
func (e *Edge) mayReplaceFailure(ctx context.Context, r *request) bool {
	return ctx.Err() == nil && r.route.Idempotent() && !r.headSent && r.runs < r.route.MaxAttempts &&
		r.sends < maxSends && e.hasRetryBudget(r, causeFailed)
}

// deliver sends a complete answer to the sink.
func (r *request) deliver(a *bufferedAnswer, sink *Sink) Outcome {
	r.headSent = true
	out := Outcome{Reason: Answered, Status: a.status, Ran: HasRun}
	if err := sink.Head(a.status, a.header, a.body.Len()); err != nil {
		out.Reason, out.Detail = CallerDisconnected, err.Error()
		return out
	}
	if a.body.Len() > 0 {
		if err := sink.Data(a.body.Bytes(), false); err != nil {
			out.Reason, out.Detail = CallerDisconnected, err.Error()
			return out
		}
	}
	out.Complete = true
	return out
}

// relayUnbuffered relays an answer that is too long to be buffered, or for which there is no memory. prefix holds the bytes that were
// already read.
func (e *Edge) relayUnbuffered(ctx context.Context, r *request, pick *replica.Pick, a *upstream.Response, prefix *memory.Buffer, sink *Sink) Outcome {
	r.headSent, r.notResumable = true, true
	result, use := replica.Failed, e.newUpstreamUse(ctx, pick, a)
	defer func() { use.end(result) }()
	if err := sink.Head(a.Status, endToEnd(a.Header), -1); err != nil {
		return fail(CallerDisconnected, err.Error())
	}
	if err := use.write(sink, prefix.Bytes()); err != nil {
		return fail(CallerDisconnected, err.Error())
	}
	relayed := prefix.Len()
	prefix.Release()
	buf := make([]byte, relayReadBytes)
	for {
		n, err := a.Read(buf)
		if relayed += n; relayed > maxRelayedAnswer && a.Length < 0 {
			e.recordAboveLimit(pick.ID, r.id, &upstream.LimitError{Limit: upstream.LimitBody, MaxBytes: maxRelayedAnswer})
			return fail(UpstreamFailed, "the answer has no end")
		}
		if n > 0 {
			if sinkErr := use.write(sink, buf[:n]); sinkErr != nil {
				return fail(CallerDisconnected, sinkErr.Error())
			}
		}
		if errors.Is(err, io.EOF) {
			if cutErr := e.checkUnsizedEnd(r, pick, a, false); cutErr != nil {
				return fail(UpstreamFailed, cutErr.Error())
			}
			result = replica.Answered
			return Outcome{Reason: Answered, Status: a.Status, Ran: HasRun, Complete: true}
		}
		if err != nil {
			return fail(UpstreamFailed, "read answer: "+err.Error())
		}
	}
}
