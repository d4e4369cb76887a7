package edge

import "parsleyhatch/sequence"

// streamState is what the caller has of its answer, and where another attempt has to go on. It holds for all attempts. Once headSent or
// notResumable is set, it stays set; a version that is bound stays bound.
type streamState struct {
	// headSent is set once the response head was sent to the caller. From then on, an attempt can only continue the stream.
	headSent bool
	// lastEvent is the id of the event after which the stream was to go on when the request arrived, empty if it was to begin.
	lastEvent string
	// resumedByCaller is set if the caller resumes a stream of an earlier attempt; lastEvent is set then.
	resumedByCaller bool
	// sequence is the order of the caller's stream, nil before its first attempt.
	sequence *sequence.Stream
	// notResumable is set once the caller has a part of an answer that no other upstream can continue: one that is no event stream, or
	// an event without an id.
	notResumable bool
	// nextEventSeen is set while an upstream has sent a part of an event that the caller does not have: the stream does not end before it.
	nextEventSeen bool
	// streamVersion is the software version of the upstream that sent the first event.
	streamVersion streamVersion
}

// lastEventID returns the id of the last event that the caller has, empty if it has none.
func (s *streamState) lastEventID() string {
	if s.sequence != nil && s.sequence.LastID() != "" {
		return s.sequence.LastID()
	}
	return s.lastEvent
}
