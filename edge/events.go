package edge

import (
	"cmp"
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"parsleyhatch/memory"
	"parsleyhatch/replica"
	"parsleyhatch/route"
	"parsleyhatch/sequence"
	"parsleyhatch/upstream"
)

const (
	// streamReadBytes is the buffer size for reads of a stream, in bytes.
	streamReadBytes = 2 << 10
	// maxEventBytes is the maximum size of one event, in bytes. Streams without events must not fill the memory.
	maxEventBytes = 128 << 10
)

var errEventTooLong = &upstream.LimitError{Limit: upstream.LimitEvent, MaxBytes: maxEventBytes}

// relayEventStream relays the events of a stream to the sink, each as soon as it is complete.
func (e *Edge) relayEventStream(ctx context.Context, r *request, pick *replica.Pick, a *upstream.Response, watch *pathWatch, sink *Sink) Outcome {
	s := &eventRelay{ctx: ctx, edge: e, request: r, pick: pick, answer: a, watch: watch, sink: sink, source: e.newEventSource(r, pick.ID, "")}
	s.pending = e.memory.answers.Buffer(pick.ID)
	defer s.pending.Release()
	err := s.run()
	s.recordNextEvent(err)
	now := e.Now()
	switch {
	case s.replacement != nil:
		e.Replicas.Done(now, pick, replica.RequestCancelled)
		return *s.replacement
	case s.complete(err):
		e.Replicas.Done(now, pick, replica.Answered)
		return Outcome{Reason: Answered, Status: a.Status, Ran: HasRun, Complete: true}
	case a.Aborted() && ctx.Err() == nil:
		e.Replicas.Done(now, pick, replica.RequestCancelled)
		return fail(UpstreamFailed, errPathLost.Error())
	case s.sinkFailed || ctx.Err() != nil && !errors.Is(context.Cause(ctx), errTimedOut):
		e.Replicas.Done(now, pick, replica.RequestCancelled)
		return fail(CallerDisconnected, err.Error())
	case ctx.Err() != nil:
		e.Replicas.Done(now, pick, replica.NoResponse)
		return fail(TimedOut, "the stream has not ended in time")
	case errors.Is(err, errNotContinued), errors.Is(err, errStreamGap), errors.Is(err, errEndRefuted):
		e.Replicas.Done(now, pick, replica.Failed)
		return fail(UpstreamFailed, err.Error())
	case errors.Is(err, errEndUnconfirmed):
		e.Replicas.Done(now, pick, replica.RequestCancelled)
		return fail(UpstreamFailed, err.Error())
	case memory.IsFull(err):
		e.recordMemoryFull(r, heldEvent, pick.ID, err)
		e.Replicas.Done(now, pick, resultOfFull(err))
		return fail(UpstreamFailed, "read event: "+err.Error())
	case upstream.IsTimeout(err):
		// A silent upstream may be sound, so that the request is no suspect.
		e.Replicas.Done(now, pick, replica.RequestCancelled)
		return fail(UpstreamFailed, "the upstream has sent no event for too long")
	default:
		e.Replicas.Done(now, pick, replica.Failed)
		e.checkEnded(r, pick, err)
		e.reportCrash(r, pick, err)
		return fail(UpstreamFailed, "read stream: "+err.Error())
	}
}

// eventRelay relays one event stream from an upstream to a sink.
type eventRelay struct {
	ctx     context.Context
	edge    *Edge
	request *request
	pick    *replica.Pick
	answer  *upstream.Response
	watch   *pathWatch
	sink    *Sink
	source  *eventSource
	// pending holds the bytes of an incomplete event.
	pending *memory.Buffer
	started bool
	// lastEventAt is the time at which the latest complete event was relayed.
	lastEventAt time.Time
	// gaps is the time between events, and gapEvents their number, that were not recorded yet.
	gaps      time.Duration
	gapEvents int
	// stall is the state of the wait for the next event.
	stall stall
	// pathSuspected is set if this VM has found no path to the upstream since the latest wait for an event began.
	pathSuspected atomic.Bool
	// replacement is the outcome of the attempt that has taken the place of this one, nil if there is none.
	replacement *Outcome
	// sinkFailed is set if writing to the sink failed, as opposed to reading from the upstream.
	sinkFailed bool
}

// run relays until the stream ends. It returns io.EOF at the end of the answer, otherwise the error that
// interrupted it.
func (s *eventRelay) run() error {
	s.answer.OnReadTimeout(s.waitOrResume)
	buf := make([]byte, streamReadBytes)
	for {
		s.setReadDeadline()
		n, err := s.answer.Read(buf)
		if n > 0 {
			if sendErr := s.sendCompleteEvents(buf[:n]); sendErr != nil {
				return sendErr
			}
		}
		if errors.Is(err, io.EOF) && s.pending.Len() == 0 {
			err = s.checkEnd()
		}
		if s.complete(err) {
			if headErr := s.sendHead(); headErr != nil {
				return headErr
			}
		}
		if err != nil {
			return err
		}
	}
}

// complete reports whether a read error is the end of the complete stream. A stream that ends with its connection and has no
// event was cut off, unless it goes on after the last event of the caller.
func (s *eventRelay) complete(err error) bool {
	return errors.Is(err, io.EOF) && s.pending.Len() == 0 && (s.answer.Framed || s.started || s.request.goesOn())
}

// checkEnd returns the error with which a stream has ended that ends between two events: io.EOF if that is the end of the answer.
func (s *eventRelay) checkEnd() error {
	if s.started {
		defer s.edge.framing.record(s.request.streamKind(), s.answer.Framed)
	}
	if err := s.source.checkEnd(); err != nil {
		return err
	}
	nothingFollows := !s.started && s.request.goesOn()
	if s.answer.Framed && !nothingFollows {
		return io.EOF
	}
	err := s.edge.checkUnsizedEnd(s.request, s.pick, s.answer, nothingFollows)
	before, known := s.request.beforeLast()
	if !known || errors.Is(err, errUpstreamEnded) || errors.Is(err, errResetAfterEnd) {
		return cmp.Or(err, error(io.EOF))
	}
	return s.checkAssumedEnd(before, err == nil && s.started && s.edge.mayAssumeEnd(s.request))
}

// recordNextEvent records that the upstream has sent a part of an event that the caller does not have, unless its run is not that of the stream.
func (s *eventRelay) recordNextEvent(err error) {
	if errors.Is(err, errNotContinued) || errors.Is(err, errStreamGap) || s.request.route.Kind != route.Streaming {
		return
	}
	s.request.nextEventSeen = s.request.nextEventSeen || s.request.sequence.IsAhead(s.pending.Bytes())
}

// sendHead sends the head of the answer unless the caller has one. It is called once there is something to send after it,
// so that a stream that fails before its first event ends with an answer that says so.
func (s *eventRelay) sendHead() error {
	if s.request.headSent {
		return nil
	}
	s.request.headSent = true
	s.edge.streamBeganAt(s.request, s.pick)
	if err := s.sink.Head(s.answer.Status, endToEnd(s.answer.Header), -1); err != nil {
		s.sinkFailed = true
		return err
	}
	return nil
}

// sendCompleteEvents appends data to the pending bytes and sends all events that are complete.
func (s *eventRelay) sendCompleteEvents(data []byte) error {
	if err := s.pending.Append(data); err != nil {
		return err
	}
	end := sequence.EndOfLast(s.pending.Bytes(), len(data))
	if end == 0 {
		if s.pending.Len() > maxEventBytes {
			return errEventTooLong
		}
		return nil
	}
	complete := s.pending.Bytes()[:end]
	isEvent := sequence.HasEvent(complete)
	if isEvent {
		events := sequence.CountBlocks(complete)
		s.request.events += events
		s.recordStart()
		s.recordGap(events)
	}
	if err := s.sendNext(complete); err != nil {
		return err
	}
	if isEvent {
		// Counts from the end of the write: a slow caller does not make the upstream late.
		s.lastEventAt, s.stall = time.Now(), stall{}
	}
	s.pending.Consume(end)
	return nil
}

// sendNext sends the events of complete blocks that the caller does not have.
func (s *eventRelay) sendNext(blocks []byte) error {
	events, err := s.source.next(blocks)
	if len(events) == 0 {
		return err
	}
	if headErr := s.sendHead(); headErr != nil {
		return headErr
	}
	s.source.reportStep()
	if sinkErr := s.sink.Data(events, true); sinkErr != nil {
		s.sinkFailed = true
		return sinkErr
	}
	return err
}

// gapRecordInterval is the time between events from which it is recorded, so that most events take no lock.
const gapRecordInterval = 100 * time.Millisecond

// recordGap records the time since the previous event, in which a number of events were sent.
func (s *eventRelay) recordGap(events int) {
	if s.lastEventAt.IsZero() {
		return
	}
	s.gaps += time.Since(s.lastEventAt)
	s.gapEvents += events
	if s.gaps < gapRecordInterval {
		return
	}
	s.edge.Replicas.RecordEvents(s.edge.Now(), s.pick, s.gaps/time.Duration(s.gapEvents), s.gapEvents)
	s.gaps, s.gapEvents = 0, 0
}

// recordStart records the time to the first event, once.
func (s *eventRelay) recordStart() {
	if !s.started {
		s.started = true
		s.watch.streamBegan(s.suspectPath)
		s.edge.recordFirstToken(s.request, s.pick)
	}
}

func (e *Edge) recordFirstToken(r *request, pick *replica.Pick) {
	e.Replicas.FirstToken(e.Now(), pick)
	e.Metrics.ObserveFirstTokenError(r.service.Name, pick.FirstToken, pick.Elapsed(e.Now()))
	r.answerStartedAt = e.Now()
	e.recordFirstEvent(r)
}

// recordFirstEvent records the time to the first event of the answer, once for all attempts.
func (e *Edge) recordFirstEvent(r *request) {
	if r.firstTokenLatency > 0 {
		return
	}
	r.firstTokenLatency = time.Since(r.arrived)
	e.Metrics.ObserveFirstToken(r.route.Name, r.firstTokenLatency)
}
