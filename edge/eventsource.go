package edge

import (
	"errors"

	"parsleyhatch/event"
	"parsleyhatch/platform"
	"parsleyhatch/route"
	"parsleyhatch/sequence"
)

// eventSource passes on the events of one upstream or another VM that follow those that the caller has.
type eventSource struct {
	edge    *Edge
	request *request
	// upstream and vm name the source; one of them is empty.
	upstream, vm string
	order        sequence.Source
	// repeatLogged is set once a repeated event of this source was logged.
	repeatLogged bool
}

// newEventSource returns the source of the events of an upstream, or of another VM.
func (e *Edge) newEventSource(r *request, upstream, vm string) *eventSource {
	if r.sequence == nil {
		r.sequence = sequence.New(r.resumedAfter())
	}
	r.sequence.Expect(e.Steps.Expected(e.Now(), r.streamKind()))
	resumes := r.headSent && r.sequence.LastID() != ""
	s := &eventSource{edge: e, request: r, upstream: upstream, vm: vm, order: r.sequence.NewSource(upstream+vm, resumes)}
	s.order.Checked = vm != ""
	return s
}

// streamKind returns the kind of streams that number their events like this one.
func (r *request) streamKind() sequence.Kind {
	return sequence.Kind{Service: r.service.Name, Version: r.streamVersion.version}
}

// resumedAfter returns the id of the event after which an upstream goes on, empty if it begins the stream. Where streams cannot be resumed,
// it sends all events, whatever the caller asks for.
func (r *request) resumedAfter() string {
	if r.headSent || r.route.Resumable {
		return r.lastEvent
	}
	return ""
}

var (
	// errStreamGap and errNotContinued report that an upstream or another VM does not continue the stream. What it sends must not reach
	// the caller.
	errStreamGap    = errors.New("events are missing where the stream resumes")
	errNotContinued = errors.New("the events do not go on after the last one of the stream")
)

// next returns those of the complete blocks that the caller does not have yet; it reuses the slice for them. They count as received, since
// a part may have arrived even if writing them fails. An error means that the source does not continue the stream after them.
func (s *eventSource) next(blocks []byte) ([]byte, error) {
	if s.request.route.Kind != route.Streaming {
		return blocks, nil
	}
	events, err := s.check(blocks)
	s.request.nextEventSeen = s.request.nextEventSeen && !sequence.HasEvent(events)
	s.request.notResumable = s.request.notResumable || s.request.sequence.Unidentified()
	return events, err
}

// check is next without its effect on the request.
func (s *eventSource) check(blocks []byte) ([]byte, error) {
	kept := 0
	for start := 0; start < len(blocks); {
		block := sequence.FirstBlock(blocks[start:])
		switch s.order.Check(block) {
		case sequence.Skipping:
			s.recordSkip(block)
			fallthrough
		case sequence.Next:
			if kept < start {
				copy(blocks[kept:], block)
			}
			kept += len(block)
		case sequence.Repeated:
			s.recordRepeat(block)
		case sequence.Gap:
			s.recordGap(block)
			return blocks[:kept], errStreamGap
		case sequence.Foreign:
			s.recordForeign(block)
			return blocks[:kept], errNotContinued
		}
		start += len(block)
	}
	return blocks[:kept], nil
}

// checkEnd returns an error if the source has ended before the last event of the caller, so that its run is not that of the stream, or before
// the event of which another one has sent a part.
func (s *eventSource) checkEnd() error {
	switch {
	case s.order.EndsEarly():
		s.recordForeign(nil)
		return errNotContinued
	case s.request.nextEventSeen:
		s.recordGap(nil)
		return errStreamGap
	}
	return nil
}

// reportStep adds the stream to those of its kind. It is called once the head was sent, since the version of the stream is known then.
func (s *eventSource) reportStep() {
	if s.request.sequence.Unreported() {
		s.request.sequence.Report(s.edge.Now(), s.edge.Steps, s.request.streamKind())
	}
}

// recordRepeat counts an event that the caller has, and logs the first one of the source.
func (s *eventSource) recordRepeat(block []byte) {
	s.edge.Metrics.AddCounter("events_repeated", 1)
	if !s.repeatLogged {
		s.repeatLogged = true
		s.log(event.EventsRepeated, s.request.sequence.LastID(), block)
	}
}

// recordSkip counts an event before which others are missing in one answer. It is logged once at most for a stream, whose steps differ from then on.
func (s *eventSource) recordSkip(block []byte) {
	s.edge.Metrics.AddCounter("streams_skipping_events", 1)
	before, _ := s.request.sequence.BeforeLast()
	s.log(event.EventsSkipped, before, block)
}

func (s *eventSource) recordGap(block []byte) {
	s.edge.Metrics.AddCounter("streams_with_gap", 1)
	s.log(event.StreamGap, s.request.sequence.LastID(), block)
}

func (s *eventSource) recordForeign(block []byte) {
	s.edge.Metrics.AddCounter("streams_not_resumed", 1)
	s.log(event.StreamNotResumed, s.request.sequence.LastID(), block)
}

func (s *eventSource) log(ev event.Event, lastID string, block []byte) {
	r := s.request
	id, _ := sequence.ID(block)
	ev.Log(s.edge.Log, "request", r.id, "lastEvent", lastID, "received", string(id), "upstream", s.upstream, "otherVM", s.vm,
		"resumedByCaller", r.resumedByCaller, "resumes", r.header.Get(platform.HeaderResumes))
}
