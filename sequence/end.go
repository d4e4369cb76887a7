package sequence

import "strconv"

// BeforeLast returns the id of the event after which an upstream sends the last event once more. It reports false if that is unknown: the ids
// are no numbers, or nothing can come before the last one.
func (s *Stream) BeforeLast() (string, bool) {
	if s.last <= 0 {
		return "", false
	}
	before := s.previous
	if before < 0 {
		before = s.last - max(usualStep, s.nextStep().Step)
	}
	return strconv.FormatInt(max(0, before), 10), true
}

// NewEndCheck returns a check of the end of the stream.
func (s *Stream) NewEndCheck() EndCheck { return EndCheck{last: s.last} }

// EndCheck decides whether a stream ends with its last event, from the events of an upstream that was asked to send this event once more. Their text
// does not count: another run may have another one.
type EndCheck struct {
	last           int64
	seen, goesOn   bool
	unidentifiable bool
}

// Add adds the next complete event of the upstream. It reports whether the check goes on.
func (c *EndCheck) Add(event []byte) bool {
	id, ok := ID(event)
	n := number(id)
	switch {
	case !ok && !HasEvent(event):
	case n < 0:
		c.unidentifiable = true
	case n > c.last:
		c.goesOn = true
	case n == c.last:
		c.seen = true
	}
	return !c.goesOn && !c.unidentifiable
}

// Shown reports whether the answer, which has ended, shows that the stream ends with its last event.
func (c *EndCheck) Shown() bool { return c.seen && !c.goesOn && !c.unidentifiable }

// GoesOn reports whether the answer shows that the stream goes on after its last event.
func (c *EndCheck) GoesOn() bool { return c.goesOn }
