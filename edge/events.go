package edge

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strconv"
	"time"

	"parsleyhatch/replica"
	"parsleyhatch/upstream"
)

const (
	// eventBuffer is the size of reads of a stream, in bytes.
	eventBuffer = 2 << 10
	// maxEventBytes bounds one event, in bytes.
	maxEventBytes = 1 << 20
	// stallAfter is the shortest pause after which the upstream of a resumable stream counts as stuck.
	// Callers wait for two seconds at least.
	stallAfter = 1500 * time.Millisecond
)

var errEventTooLong = errors.New("event of a stream is too long")

// relayEvents passes the events of a stream on, each as soon as it is whole.
func (e *Edge) relayEvents(ctx context.Context, r *request, pick *replica.Pick, a *upstream.Answer, sink *Sink) Outcome {
	s := &eventRelay{edge: e, request: r, pick: pick, answer: a, sink: sink, sent: -1}
	if r.headSent {
		s.sent = eventNumber([]byte(r.lastEvent))
	}
	err := s.run()
	now := e.Now()
	switch {
	case errors.Is(err, io.EOF) && len(s.pending) == 0:
		e.Replicas.Done(now, pick, replica.Answered)
		return Outcome{Reason: Answered, Status: a.Status, Ran: HasRun, Whole: true}
	case s.sinkFailed || ctx.Err() != nil && !errors.Is(context.Cause(ctx), errTimedOut):
		e.Replicas.Done(now, pick, replica.Abandoned)
		return fail(CallerGone, err.Error())
	case ctx.Err() != nil:
		e.Replicas.Done(now, pick, replica.Silent)
		return fail(TimedOut, "the stream has not ended in time")
	default:
		e.Replicas.Done(now, pick, replica.Failed)
		e.suspect(r, pick)
		return fail(UpstreamBroke, "read stream: "+err.Error())
	}
}

// eventRelay is a stream on its way to the caller.
type eventRelay struct {
	edge    *Edge
	request *request
	pick    *replica.Pick
	answer  *upstream.Answer
	sink    *Sink
	// pending is the beginning of an event that is not whole.
	pending []byte
	begun   bool
	// sent is the number of the last event that the caller got from an upstream before, negative if there
	// is none or its id is no number.
	sent int64
	// sinkFailed says that the caller's side failed, not the upstream's.
	sinkFailed bool
}

// run returns io.EOF at the end of the answer, or what ended it sooner.
func (s *eventRelay) run() error {
	if !s.request.headSent {
		s.request.headSent = true
		if err := s.sink.Head(s.answer.Status, endToEnd(s.answer.Header), -1); err != nil {
			s.sinkFailed = true
			return err
		}
	}
	buf := make([]byte, eventBuffer)
	for {
		s.bound()
		n, err := s.answer.Read(buf)
		if n > 0 {
			if passErr := s.pass(buf[:n]); passErr != nil {
				return passErr
			}
		}
		if err != nil {
			return err
		}
	}
}

// bound limits the wait for the next event of a stream that can go on elsewhere.
func (s *eventRelay) bound() {
	r := s.request
	if !s.begun || !r.route.Resumable || r.runs >= r.route.MaxAttempts {
		s.answer.SetReadDeadline(time.Time{})
		return
	}
	s.answer.SetReadDeadline(time.Now().Add(max(stallAfter, 4*r.route.TargetGap)))
}

// pass sends on the events that are whole now.
func (s *eventRelay) pass(data []byte) error {
	s.pending = append(s.pending, data...)
	end := bytes.LastIndex(s.pending, []byte("\n\n"))
	if end < 0 {
		if len(s.pending) > maxEventBytes {
			return errEventTooLong
		}
		return nil
	}
	whole := s.pending[:end+2]
	if !s.begun {
		s.begun = true
		s.edge.firstToken(s.request, s.pick)
	}
	if id, ok := lastEventID(whole); ok && (s.sent < 0 || eventNumber([]byte(id)) > s.sent) {
		s.request.lastEvent = id
	}
	if fresh := dropUpTo(whole, s.sent); len(fresh) > 0 {
		if err := s.sink.Data(fresh, true); err != nil {
			s.sinkFailed = true
			return err
		}
	}
	s.pending = append(s.pending[:0], s.pending[end+2:]...)
	return nil
}

func (e *Edge) firstToken(r *request, pick *replica.Pick) {
	e.Replicas.FirstToken(e.Now(), pick)
	e.Metrics.FirstTokenError(r.service.Name, pick.FirstToken, pick.Waited(e.Now()))
	r.first = time.Since(r.arrived)
	e.Metrics.FirstToken(r.route.Name, r.first)
}

// lastEventID returns the id of the last event that has one.
func lastEventID(events []byte) (string, bool) {
	id, found := "", false
	for line := range bytes.SplitSeq(events, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id, found = string(bytes.TrimSpace(value)), true
		}
	}
	return id, found
}

// eventNumber returns the number of an event's id, negative if it is no number.
func eventNumber(id []byte) int64 {
	n, err := strconv.ParseInt(string(bytes.TrimSpace(id)), 10, 64)
	if err != nil {
		return -1
	}
	return n
}

// dropUpTo removes the whole events whose numbers are not above sent: an upstream that goes on with a stream
// may repeat what the caller has.
func dropUpTo(events []byte, sent int64) []byte {
	if sent < 0 {
		return events
	}
	var kept []byte
	for event := range bytes.SplitAfterSeq(events, []byte("\n\n")) {
		id, ok := lastEventID(event)
		if n := eventNumber([]byte(id)); !ok || n < 0 || n > sent {
			kept = append(kept, event...)
		}
	}
	return kept
}
