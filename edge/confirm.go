package edge

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"parsleyhatch/event"
	"parsleyhatch/platform"
	"parsleyhatch/replica"
	"parsleyhatch/route"
	"parsleyhatch/sequence"
	"parsleyhatch/upstream"
)

// endEvidence says what is known of the end of a stream that its last answer does not show.
type endEvidence string

const (
	// endConfirmed means that the upstream has sent the last event once more, and nothing after it.
	endConfirmed endEvidence = "confirmed"
	// endRefuted means that the upstream, asked for the last event once more, went on after it, or did not send it.
	endRefuted endEvidence = "refuted"
	// endUnconfirmed means that the upstream has not answered, or could not be asked and the end does not count without that.
	endUnconfirmed endEvidence = "unconfirmed"
	// endAssumed means that the upstream could not be asked, or refused.
	endAssumed endEvidence = "assumed"
)

// errEndRefuted reports that a stream has ended too early, or at an upstream that does not hold it.
var errEndRefuted = errors.New("the upstream does not confirm that the stream ends after its last event")

// beforeLast returns the id of the event after which an upstream sends the last event of the caller once more. It reports false if no upstream can be
// asked for that.
func (r *request) beforeLast() (string, bool) {
	if r.route.Kind != route.Streaming || !r.route.Resumable || r.notResumable || r.sequence == nil {
		return "", false
	}
	return r.sequence.BeforeLast()
}

// checkAssumedEnd returns the error with which a stream has ended whose last answer does not show its end: io.EOF if that is the end. The upstream of
// that answer is asked for the last event once more, since another one would add to those that run the request. An acceptable end counts if the
// upstream cannot be asked.
func (s *eventRelay) checkAssumedEnd(before string, acceptable bool) error {
	s.answer.Close() // Its connection may be the only one that this VM may have.
	evidence, cut := s.edge.confirmEnd(s.ctx, s.request, s.pick.ID, before, acceptable)
	if s.started && (evidence == endConfirmed || cut) {
		s.edge.unsizedEnds.record(s.request.service.Name, !cut)
	}
	if evidence == endAssumed && !acceptable {
		evidence = endUnconfirmed
	}
	s.edge.Metrics.CountStreamEnd(string(evidence))
	event.StreamEndChecked.Log(s.edge.Log, "request", s.request.id, "upstream", s.pick.ID, "lastEvent", s.request.lastEventID(), "evidence", string(evidence),
		"goesOn", cut, "framed", s.answer.Framed, "resumedByCaller", s.request.resumedByCaller)
	switch evidence {
	case endRefuted:
		return errEndRefuted
	case endUnconfirmed:
		return errEndUnconfirmed
	}
	return io.EOF
}

// confirmEnd asks an upstream for the last event of a stream once more. goesOn is set if it sent a later one. Where the end is acceptable without that,
// the upstream is asked only while half of the retry budget is left.
func (e *Edge) confirmEnd(ctx context.Context, r *request, id, before string, acceptable bool) (evidence endEvidence, goesOn bool) {
	pick, ok := e.pickToConfirm(ctx, r, id, acceptable)
	if !ok {
		return endAssumed, false
	}
	ctx, cancel := context.WithTimeout(ctx, stallTimeout(r.route))
	defer cancel()
	sentAt := e.Now()
	ctx, watch := e.watchPath(ctx, r, &pick)
	header := r.outgoingHeader(pick.ID)
	header.Set(platform.HeaderLastEventID, before)
	a, err := e.Pool.Do(ctx, e.upstreamRequest(r, &pick, header, func() {}))
	if err != nil {
		watch.stop()
		e.recordConfirmFailure(ctx, r, &pick, sentAt, err)
		return endUnconfirmed, false
	}
	defer a.Close()
	defer watch.stop()
	watch.answered(ctx, a)
	e.recordSignals(pick.ID, pick.Born, a)
	e.applyWarmUp(pick.ID, a)
	if !isEventStream(a.Status, a.Header) {
		return e.recordNoConfirmation(&pick, a), false
	}
	check, err := e.readEnd(r, &pick, a)
	e.Replicas.FirstToken(e.Now(), &pick)
	e.Replicas.Done(e.Now(), &pick, replica.RequestCancelled)
	switch {
	case check.GoesOn(), errors.Is(err, errEndRefuted), errors.Is(err, io.EOF) && !check.Shown():
		return endRefuted, check.GoesOn()
	case errors.Is(err, io.EOF) && (a.Framed || e.takesConnection(probeOf(&pick, r.service.Name))):
		return endConfirmed, false
	}
	return endUnconfirmed, false
}

// recordNoConfirmation records an answer that is no stream, and returns what it shows.
func (e *Edge) recordNoConfirmation(pick *replica.Pick, a *upstream.Response) endEvidence {
	if a.Status == http.StatusMisdirectedRequest || a.Header.Get(platform.HeaderNotExecuted) != "" {
		e.handleRefusal(pick, a)
		return endAssumed
	}
	e.Replicas.Done(e.Now(), pick, replica.Failed)
	return endUnconfirmed
}

// readEnd reads the answer of an upstream that was asked for the last event of a stream once more, as long as the check of the end goes on. The error is
// io.EOF at the end of the answer.
func (e *Edge) readEnd(r *request, pick *replica.Pick, a *upstream.Response) (sequence.EndCheck, error) {
	check := r.sequence.NewEndCheck()
	pending := e.memory.answers.Buffer(pick.ID)
	defer pending.Release()
	buf := make([]byte, streamReadBytes)
	for {
		n, err := a.Read(buf)
		if appendErr := pending.Append(buf[:n]); appendErr != nil {
			return check, appendErr
		}
		end := sequence.EndOfLast(pending.Bytes(), n)
		for complete := pending.Bytes()[:end]; len(complete) > 0; {
			block := sequence.FirstBlock(complete)
			if !check.Add(block) {
				a.Abort()
				return check, errEndRefuted
			}
			complete = complete[len(block):]
		}
		pending.Consume(end)
		switch {
		case errors.Is(err, io.EOF) && pending.Len() > 0:
			return check, io.ErrUnexpectedEOF
		case err != nil:
			return check, err
		case pending.Len() > maxEventBytes:
			return check, errEventTooLong
		}
	}
}

// pickToConfirm chooses an upstream that has run the request once more, if that is allowed now. Ends that count anyway leave a part of the retry
// budget to streams that break off.
func (e *Edge) pickToConfirm(ctx context.Context, r *request, id string, acceptable bool) (replica.Pick, bool) {
	now := e.Now()
	if ctx.Err() != nil || r.remaining(time.Now()) < minRemaining || !e.mayStart(now, r, 0) || len(e.quarantinedParts(r)) > 0 {
		return replica.Pick{}, false
	}
	q := e.replicaRequest(r)
	q.Attempted, q.Only = nil, id
	q.IgnoreRoom = true // The run whose end is in doubt still counts, and has left its slot.
	if expected, ok := e.Replicas.Estimate(now, q); !ok || expected.Wait > stallTimeout(r.route) {
		return replica.Pick{}, false
	}
	take := e.Retries.TryRetry
	if acceptable && e.unsizedEnds.counts(r.service.Name).known() {
		take = e.Retries.TrySpareRetry
	}
	if !take(now, r.service.Name) {
		e.Metrics.CountRetry(r.service.Name, string(causeUnconfirmed), budgetDenied)
		return replica.Pick{}, false
	}
	pick, ok := e.Replicas.Pick(now, q)
	if !ok {
		e.Retries.ReturnRetry(now, r.service.Name)
		return replica.Pick{}, false
	}
	e.Metrics.CountRetry(r.service.Name, string(causeUnconfirmed), budgetCharged)
	return pick, true
}

// recordConfirmFailure records that no answer has come from an upstream that was to confirm an end.
func (e *Edge) recordConfirmFailure(ctx context.Context, r *request, pick *replica.Pick, sentAt time.Time, err error) {
	var f *upstream.Failure
	result := replica.RequestCancelled
	if errors.As(err, &f) && f.Kind == upstream.NotSent && ctx.Err() == nil && !upstream.IsPoolFull(f.Err) {
		e.recordUnreachable(probeOf(pick, r.service.Name), sentAt, f)
		result = replica.Unreachable
	}
	e.Replicas.Done(e.Now(), pick, result)
}
