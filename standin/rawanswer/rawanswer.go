// Package rawanswer draws answers of upstreams byte by byte, in the Framings, ends and pieces that a process on another machine may use.
package rawanswer

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Framing is how an answer says where its body ends.
type Framing int

// Framings.
const (
	FramingChunks Framing = iota
	FramingLength
	// FramingNone means that the end of the connection is the end of the body.
	FramingNone
	Framings
)

var framingNames = [Framings]string{"chunked", "with a length", "without a length"}

// Ending is how an answer ends.
type Ending int

// Endings.
const (
	EndComplete Ending = iota
	EndFINAfterEvent
	EndResetAfterEvent
	EndFINInsideEvent
	EndResetInsideEvent
	EndFINInsideHead
	Endings
)

var endingNames = [Endings]string{"complete", "FIN after complete events", "reset after complete events", "FIN inside an event", "reset inside an event", "FIN inside the head"}

// Pieces is how the bytes of an answer are divided into segments.
type Pieces int

const (
	// PiecesEvents sends the head and each event by itself.
	PiecesEvents Pieces = iota
	// PiecesHeadWithEvent sends the head with the first event.
	PiecesHeadWithEvent
	// PiecesSplitSeparator divides the separator behind each event.
	PiecesSplitSeparator
	// PiecesSeveral sends several events at once, after the pause that they would have had one by one.
	PiecesSeveral
	// PiecesAnywhere divides the bytes at random.
	PiecesAnywhere
	// PieceKinds is the number of kinds.
	PieceKinds
)

var pieceNames = [PieceKinds]string{"by event", "head with event", "split separators", "several events", "anywhere"}

const (
	// cutShare is the share of the answers that are cut while cuts are allowed.
	cutShare = 0.3
	// longPauseShare is the share of the answers with a pause of longPause, and noPauseShare that of those without any pause.
	longPauseShare, noPauseShare = 0.15, 0.15
	longPause                    = 300 * time.Millisecond
	// shortPause is the pause within an event that is sent in two pieces.
	shortPause = 4 * time.Millisecond
	// maxGroup is the largest number of events in one chunk or one piece.
	maxGroup = 4
)

// Allowed are the ends of answers that may be drawn besides complete ones.
type Allowed struct {
	// Cut allows ends that a reader can distinguish from the regular end of an answer.
	Cut bool `json:"cut"`
	// Unmarked allows the end that it can't: answers with neither a length nor chunks that end with FIN between two events.
	Unmarked bool `json:"unmarked"`
}

// Answer is one draw from the table of answers.
type Answer struct {
	Framing Framing
	End     Ending
	Pieces  Pieces
	Style   EventStyle
	// closes means that the answer says that the connection closes behind it.
	closes bool
	// cutAt says where a cut answer is cut: its share of the events, and position the share of the head or of the event.
	cutAt, position float64
	// perChunk is the number of events in a chunk.
	perChunk int
	// pause is the pause before each event, and longBefore the event with a pause of longPause, -1 for none.
	pause      time.Duration
	longBefore int
}

// KeepsConnection reports whether the connection stays open behind the answer.
func (a *Answer) KeepsConnection() bool {
	return a.End == EndComplete && a.Framing != FramingNone && !a.closes
}

// Resets reports whether the answer ends with a reset.
func (a *Answer) Resets() bool { return a.End == EndResetAfterEvent || a.End == EndResetInsideEvent }

// String names the end.
func (e Ending) String() string { return endingNames[e] }

// Row names the framing and the end.
func (a *Answer) Row() string { return framingNames[a.Framing] + ", " + endingNames[a.End] }

// String names the draw.
func (a *Answer) String() string {
	text := a.Row() + ", " + pieceNames[a.Pieces]
	if a.Style.crlf {
		text += ", CR LF"
	}
	return text
}

// Draw draws an answer, with a usual pause before each event. A body that is no stream has no parts of its own, so that nothing shows that one without a
// length and with FIN at its end was cut, wherever that is; only streams are cut so.
func Draw(rng *rand.Rand, allowed Allowed, stream bool, pause time.Duration) Answer {
	a := Answer{
		Framing: Framing(rng.IntN(int(Framings))), Pieces: Pieces(rng.IntN(int(PieceKinds))), closes: rng.IntN(8) == 0,
		Style: EventStyle{crlf: rng.IntN(3) == 0, idLast: rng.IntN(3) == 0, comments: rng.IntN(4) == 0},
		cutAt: rng.Float64(), position: rng.Float64(), perChunk: 1 + rng.IntN(maxGroup), pause: pause, longBefore: -1,
	}
	end, cut, pauses, long := Ending(1+rng.IntN(int(Endings)-1)), rng.Float64() < cutShare, rng.Float64(), rng.IntN(maxGroup)
	if allowed.Cut && cut {
		a.End = end
	}
	if a.Framing == FramingNone {
		switch {
		case a.End == EndFINAfterEvent && !(allowed.Unmarked && stream):
			a.End = EndResetAfterEvent
		case a.End == EndFINInsideEvent && !stream:
			a.End = EndResetInsideEvent
		}
	}
	switch {
	case pauses < noPauseShare:
		a.pause = 0
	case pauses < noPauseShare+longPauseShare:
		a.longBefore = long
	}
	return a
}

// EventStyle is how events are written.
type EventStyle struct {
	// crlf ends lines with CR and LF, idLast puts the id behind the data, and comments puts comments before and into events.
	crlf, idLast, comments bool
}

// Event is an event with a comment that stands before it.
type Event struct{ comment, Text string }

// Event writes the event with a number, whose first line is its id.
func (s EventStyle) Event(lines []string, n int) Event {
	lines = slices.Clone(lines)
	if s.idLast {
		lines = append(lines[1:], lines[0])
	}
	if s.comments && n%2 == 0 {
		lines = slices.Insert(lines, 1, ": comment")
	}
	lineEnd := "\n"
	if s.crlf {
		lineEnd = "\r\n"
	}
	e := Event{Text: strings.Join(lines, lineEnd) + lineEnd + lineEnd}
	if s.comments && n%3 == 0 {
		e.comment = ": comment between events" + lineEnd + lineEnd
	}
	return e
}

// Wire is a complete answer in bytes, with the places where it may be cut.
type Wire struct {
	data    []byte
	headEnd int
	// starts and ends are the places before and behind each event.
	starts, ends []int
	// segments are the pieces up to the end of the answer.
	segments []segment
}

// Encode encodes an answer with a head, which lacks its framing, and draws its pieces. An answer that has no place for its cut is complete.
func (a *Answer) Encode(rng *rand.Rand, head string, events []Event) *Wire {
	w := a.encode(head, events)
	w.segments = a.segments(rng, &w, a.length(&w))
	return &w
}

// Bytes returns the bytes up to the end of the answer.
func (w *Wire) Bytes() []byte { return w.data[:w.segments[len(w.segments)-1].end] }

// Write writes the pieces of the answer, each after its pause.
func (w *Wire) Write(to io.Writer) error {
	from := 0
	for _, s := range w.segments {
		time.Sleep(s.pause)
		if _, err := to.Write(w.data[from:s.end]); err != nil {
			return err
		}
		from = s.end
	}
	return nil
}

// encode encodes the complete answer.
func (a *Answer) encode(head string, events []Event) Wire {
	head = strings.TrimSuffix(head, "\r\n") + "\r\n"
	if a.closes {
		head += "Connection: close\r\n"
	}
	switch a.Framing {
	case FramingChunks:
		head += "Transfer-Encoding: chunked\r\n"
	case FramingLength:
		head += fmt.Sprintf("Content-Length: %d\r\n", bytesOf(events))
	}
	w := Wire{data: []byte(head + "\r\n")}
	w.headEnd = len(w.data)
	for group := range slices.Chunk(events, a.perChunk) {
		if a.Framing == FramingChunks {
			w.data = fmt.Appendf(w.data, "%x\r\n", bytesOf(group))
		}
		for _, e := range group {
			w.data = append(w.data, e.comment...)
			w.starts = append(w.starts, len(w.data))
			w.data = append(w.data, e.Text...)
			w.ends = append(w.ends, len(w.data))
		}
		if a.Framing == FramingChunks {
			w.data = append(w.data, "\r\n"...)
		}
	}
	if a.Framing == FramingChunks {
		w.data = append(w.data, "0\r\n\r\n"...)
	}
	return w
}

func bytesOf(events []Event) int {
	count := 0
	for _, e := range events {
		count += len(e.comment) + len(e.Text)
	}
	return count
}

// length returns the number of bytes up to the end of the answer. An answer that has no place for its cut ends complete.
func (a *Answer) length(w *Wire) int {
	count := len(w.ends)
	switch {
	case a.End == EndFINInsideHead:
		return 1 + int(a.position*float64(w.headEnd-1))
	case count == 0:
		a.End = EndComplete
	}
	event := int(a.cutAt * float64(count))
	switch a.End {
	case EndFINAfterEvent, EndResetAfterEvent:
		if event == 0 {
			return w.headEnd
		}
		return w.ends[event-1]
	case EndFINInsideEvent, EndResetInsideEvent:
		inside := w.ends[event] - w.starts[event] - len("\r\n\r\n")
		return w.starts[event] + 1 + int(a.position*float64(inside-1))
	}
	return len(w.data)
}

// segment is a piece of an answer up to a place, which is sent after a pause.
type segment struct {
	end   int
	pause time.Duration
}

// segments divides the first bytes of an answer.
func (a *Answer) segments(rng *rand.Rand, w *Wire, length int) []segment {
	var list []segment
	if a.Pieces != PiecesHeadWithEvent {
		list = append(list, segment{end: w.headEnd})
	}
	group, skipped := 1+rng.IntN(maxGroup), time.Duration(0)
	for i, end := range w.ends {
		pause := a.pause
		if i == a.longBefore {
			pause = longPause
		}
		switch a.Pieces {
		case PiecesSplitSeparator:
			list = append(list, segment{end: end - 1, pause: pause}, segment{end: end, pause: shortPause})
		case PiecesAnywhere:
			list = append(list, segment{end: w.starts[i] + rng.IntN(end-w.starts[i]) + 1, pause: pause})
		case PiecesSeveral:
			if skipped += pause; (i+1)%group == 0 {
				list, skipped = append(list, segment{end: end, pause: skipped}), 0
			}
		case PiecesEvents, PiecesHeadWithEvent:
			list = append(list, segment{end: end, pause: pause})
		}
	}
	list = slices.DeleteFunc(list, func(s segment) bool { return s.end >= length })
	return append(list, segment{end: length, pause: a.pause})
}
