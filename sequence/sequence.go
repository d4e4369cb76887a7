// Package sequence decides which events a caller may get, so that it gets each event of its stream once and in order, whichever upstreams
// and VMs they come from.
package sequence

import (
	"bytes"
	"hash/maphash"
	"time"
)

const (
	// minSteps is the number of equal steps between the numbers of events after which a larger step counts as a gap.
	minSteps = 2
	// usualStep is the step of a stream about which nothing is known.
	usualStep = 1
)

// Stream is the position of a caller in its event stream. It is used by one goroutine at a time.
type Stream struct {
	// lastID is the id of the last event that the caller has, empty if it has none.
	lastID []byte
	// last is the number of that event, negative if there is none or its id is not a number.
	last int64
	// previous is the number of the event before it, negative if it is unknown.
	previous int64
	// lastContent is the hash of that event, valid if the event has passed through this stream.
	lastContent  uint64
	contentKnown bool
	// step is the difference between the numbers of successive events, and steps how often it was seen in a row.
	step  int64
	steps int
	// irregular is set once the numbers had different steps, so that a step shows no gap.
	irregular bool
	// unidentified is set once the caller has an event without an id: no other source can resume the stream after it.
	unidentified bool
	// expected is the step that other streams of the kind have had.
	expected Expectation
	// doubted is the number with which a source was to go on although it may leave a gap, zero if there was none, and doubtedFrom names
	// that source.
	doubted     int64
	doubtedFrom string
	// stepReported and irregularReported are set once Report has added the stream to those of its kind.
	stepReported, irregularReported bool
}

// New returns the stream of a caller whose last event has the given id, empty for none.
func New(lastID string) *Stream {
	s := &Stream{last: -1, previous: -1}
	if lastID != "" {
		s.setLast([]byte(lastID))
	}
	return s
}

// Expect sets the step that other streams of the kind have had.
func (s *Stream) Expect(e Expectation) {
	s.expected = e
	if e.Certain && s.last >= 0 && s.steps < minSteps {
		s.stepReported = true // The stream must not confirm the step by which its events are chosen.
	}
}

// Report adds the stream to those of its kind once its events show its step, and again if their steps differ later.
func (s *Stream) Report(now time.Time, all *Steps, k Kind) {
	switch {
	case !s.Unreported():
	case s.irregular:
		s.irregularReported = true
		all.RecordIrregular(now, k)
	default:
		s.stepReported = true
		all.Record(now, k, s.step)
	}
}

// Unreported reports whether Report would add something.
func (s *Stream) Unreported() bool {
	if s.irregular {
		return !s.irregularReported
	}
	return !s.stepReported && s.steps >= minSteps
}

// LastID returns the id of the last event that the caller has, empty if it has none.
func (s *Stream) LastID() string { return string(s.lastID) }

// IsAhead reports whether a part of an event shows that the event comes after the last one that the caller has.
func (s *Stream) IsAhead(part []byte) bool {
	id, ok := ID(part)
	return ok && number(id) > s.last // The number is that of the event, or smaller if the part ends inside it.
}

// Unidentified reports whether the caller has an event without an id.
func (s *Stream) Unidentified() bool { return s.unidentified }

// Verdict says what becomes of an event.
type Verdict int

// Verdicts. A source whose event has the verdict Gap or Foreign does not continue the stream, and must be left.
const (
	// Next means that the event follows those that the caller has.
	Next Verdict = iota
	// Skipping means the same, but the source has left out events before it, as the steps of the stream show.
	Skipping
	// Repeated means that the caller has this event or a later one.
	Repeated
	// Gap means that the source resumes the stream too late: events are missing.
	Gap
	// Foreign means that the event belongs to no run that goes on after the last event: it has no id, or its run begins earlier and differs.
	Foreign
)

// Source is an attempt to get the events of a stream, at one upstream or through one other VM.
type Source struct {
	// Checked is set if the source is another VM, which has compared what its upstreams send.
	Checked bool

	stream *Stream
	// name identifies the source.
	name string
	// resumes is set if the caller has events from an earlier source in the same answer.
	resumes bool
	// goesOn is set if the caller had an event when the source began, so that the source was asked to go on after it.
	goesOn bool
	// joined is set once an event of this source has followed those that the caller has.
	joined bool
	// unverified is set while the source has sent earlier events than the last one, so that its run may be another one.
	unverified bool
}

// NewSource returns a source of the stream with the name of its upstream or VM. resumes is set if the caller has events from an earlier
// source in the same answer.
func (s *Stream) NewSource(name string, resumes bool) Source {
	return Source{stream: s, name: name, resumes: resumes, goesOn: len(s.lastID) > 0}
}

// Check decides about the next event of the source, which is complete. An event with the verdict Next counts as received. A block that
// holds comments only has the verdict Next.
func (s *Source) Check(event []byte) Verdict {
	id, ok := ID(event)
	switch {
	case !ok && !HasEvent(event):
		return Next
	case !ok && s.resumes:
		return Foreign
	case !ok:
		s.stream.unidentified = true
		return Next
	}
	n := number(id)
	if n >= 0 && s.stream.last >= 0 {
		if n <= s.stream.last {
			return s.checkRepeated(n, event)
		}
		if !s.joined && s.unverified {
			return Foreign
		}
		if !s.joined && s.leavesGap(n) {
			return Gap
		}
	}
	verdict := Next
	if s.joined && s.stream.skips(n) {
		verdict = Skipping
	}
	s.joined = true
	s.stream.recordStep(n)
	s.stream.setLast(id)
	s.stream.lastContent, s.stream.contentKnown = contentOf(event), true
	return verdict
}

// skips reports whether an event with the number n comes later than the steps so far let expect.
func (s *Stream) skips(n int64) bool {
	return n >= 0 && s.last >= 0 && !s.irregular && s.steps >= minSteps && n-s.last > s.step
}

// checkRepeated decides about an event that the caller has. A source that begins before the last event has started a run of its own, which
// goes on as the stream only if that event is the same in both.
func (s *Source) checkRepeated(n int64, event []byte) Verdict {
	switch {
	case s.joined || !s.goesOn:
		return Repeated
	case !s.stream.contentKnown:
		return Foreign
	case n < s.stream.last:
		s.unverified = true
	case contentOf(event) != s.stream.lastContent:
		return Foreign
	default:
		s.unverified = false
	}
	return Repeated
}

// EndsEarly reports whether the source has sent only events before the last one, so that its end is not that of the stream.
func (s *Source) EndsEarly() bool { return s.unverified }

// leavesGap reports whether events are missing before an event with the number n, which is greater than that of the last one, with which
// the source goes on. Where neither the stream nor its kind has shown a step, two sources that go on with the same event show that none is
// missing.
func (s *Source) leavesGap(n int64) bool {
	step := s.stream.nextStep()
	switch {
	case step.Irregular || n-s.stream.last <= step.Step:
		return false
	case step.Certain:
		return true
	}
	shown := s.stream.steps > 0 || s.stream.expected.Step > 0
	agreed := s.Checked || !shown && s.stream.doubted == n && s.stream.doubtedFrom != s.name
	s.stream.doubted, s.stream.doubtedFrom = n, s.name
	return !agreed
}

// nextStep returns what is known of the step from the last event to the next one.
func (s *Stream) nextStep() Expectation {
	switch {
	case s.irregular:
		return Expectation{Irregular: true}
	case s.steps >= minSteps:
		return Expectation{Step: s.step, Certain: true}
	case s.expected.Certain || s.expected.Irregular:
		return s.expected
	case s.steps > 0:
		return Expectation{Step: s.step}
	case s.expected.Step > 0:
		return s.expected
	}
	return Expectation{Step: usualStep}
}

// recordStep records the step to an event with the number n. A step that was taken since two sources agree shows nothing of the ids, since
// both may be faulty.
func (s *Stream) recordStep(n int64) {
	if n < 0 || s.last < 0 || n == s.doubted {
		return
	}
	step := n - s.last
	if s.steps > 0 && step != s.step {
		s.irregular = true
	}
	s.step = step
	s.steps++
}

func (s *Stream) setLast(id []byte) {
	s.lastID = append(s.lastID[:0], id...)
	s.previous, s.last = s.last, number(id)
}

// ID returns the id of an event, and whether it has one. The last of several counts. An empty id is none: no stream resumes after it.
func ID(event []byte) ([]byte, bool) {
	var id []byte
	found := false
	for len(event) > 0 {
		line, rest, _ := bytes.Cut(event, []byte("\n"))
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = bytes.TrimSpace(value)
			found = len(id) > 0
		}
		event = rest
	}
	return id, found
}

var contentSeed = maphash.MakeSeed()

// contentOf returns the hash of an event.
func contentOf(event []byte) uint64 { return maphash.Bytes(contentSeed, event) }

// HasEvent reports whether complete blocks of a stream hold an event and not only comments.
func HasEvent(blocks []byte) bool {
	for len(blocks) > 0 {
		line, rest, _ := bytes.Cut(blocks, []byte("\n"))
		line = bytes.TrimSuffix(line, []byte("\r"))
		if len(line) > 0 && line[0] != ':' {
			return true
		}
		blocks = rest
	}
	return false
}

// maxDigits is the number of digits of the largest number.
const maxDigits = 19

// number returns the number that an event id is, or -1 if it is none.
func number(id []byte) int64 {
	if len(id) == 0 || len(id) > maxDigits {
		return -1
	}
	n := int64(0)
	for _, c := range id {
		if c < '0' || c > '9' {
			return -1
		}
		n = 10*n + int64(c-'0')
	}
	return max(n, -1) // A number that is too large has become negative.
}
