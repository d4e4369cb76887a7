package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// framing is how an answer says where its body ends.
type framing int

const (
	framingChunks framing = iota
	framingLength
	// framingNone means that the end of the connection is the end of the body.
	framingNone
	framings
)

var framingNames = [framings]string{"chunked", "with a length", "without a length"}

// ending is how an answer ends.
type ending int

const (
	endComplete ending = iota
	endFINAfterEvent
	endResetAfterEvent
	endFINInsideEvent
	endResetInsideEvent
	endFINInsideHead
	endings
)

var endingNames = [endings]string{"complete", "FIN after complete events", "reset after complete events", "FIN inside an event", "reset inside an event", "FIN inside the head"}

func (e ending) resets() bool { return e == endResetAfterEvent || e == endResetInsideEvent }

// pieces is how the bytes of an answer are divided into segments.
type pieces int

const (
	// piecesEvents sends the head and each event by itself.
	piecesEvents pieces = iota
	// piecesHeadWithEvent sends the head with the first event.
	piecesHeadWithEvent
	// piecesSplitSeparator divides the separator behind each event.
	piecesSplitSeparator
	// piecesSeveral sends several events at once, after the pause that they would have had one by one.
	piecesSeveral
	// piecesAnywhere divides the bytes at random.
	piecesAnywhere
	pieceKinds
)

var pieceNames = [pieceKinds]string{"by event", "head with event", "split separators", "several events", "anywhere"}

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

// rawAnswer is one draw from the table of answers.
type rawAnswer struct {
	stream  bool
	framing framing
	end     ending
	pieces  pieces
	style   eventStyle
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

// row names the framing and the end.
func (a *rawAnswer) row() string { return framingNames[a.framing] + ", " + endingNames[a.end] }

// String names the draw.
func (a *rawAnswer) String() string {
	text := a.row() + ", " + pieceNames[a.pieces]
	if a.style.crlf {
		text += ", CR LF"
	}
	return text
}

// drawAnswer draws an answer. A body that is no stream has no parts of its own, so that no end with FIN tells that one without a
// length was cut, wherever that is; only streams are cut so.
func drawAnswer(rng *rand.Rand, allowed rawEnds, stream bool) rawAnswer {
	a := rawAnswer{
		stream: stream, framing: framing(rng.IntN(int(framings))), pieces: pieces(rng.IntN(int(pieceKinds))), closes: rng.IntN(8) == 0,
		style: eventStyle{crlf: rng.IntN(3) == 0, idLast: rng.IntN(3) == 0, comments: rng.IntN(4) == 0},
		cutAt: rng.Float64(), position: rng.Float64(), perChunk: 1 + rng.IntN(maxGroup), pause: eventPause, longBefore: -1,
	}
	end, cut, pauses, long := ending(1+rng.IntN(int(endings)-1)), rng.Float64() < cutShare, rng.Float64(), rng.IntN(maxGroup)
	if allowed.Cut && cut {
		a.end = end
	}
	if a.framing == framingNone {
		switch {
		case a.end == endFINAfterEvent && !(allowed.Unmarked && stream):
			a.end = endResetAfterEvent
		case a.end == endFINInsideEvent && !stream:
			a.end = endResetInsideEvent
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

// eventStyle is how events are written.
type eventStyle struct {
	// crlf ends lines with CR and LF, idLast puts the id behind the data, and comments puts comments before and into events.
	crlf, idLast, comments bool
}

// rawEvent is an event with a comment that stands before it.
type rawEvent struct{ comment, text string }

// event writes the event with a number, whose first line is its id.
func (s eventStyle) event(lines []string, n int) rawEvent {
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
	e := rawEvent{text: strings.Join(lines, lineEnd) + lineEnd + lineEnd}
	if s.comments && n%3 == 0 {
		e.comment = ": comment between events" + lineEnd + lineEnd
	}
	return e
}

// rawWire is a complete answer in bytes, with the places where it may be cut.
type rawWire struct {
	data    []byte
	headEnd int
	// starts and ends are the places before and behind each event.
	starts, ends []int
}

// encode encodes the complete answer.
func (a *rawAnswer) encode(head string, events []rawEvent) rawWire {
	head = strings.TrimSuffix(head, "\r\n") + "\r\n"
	if a.closes {
		head += "Connection: close\r\n"
	}
	switch a.framing {
	case framingChunks:
		head += "Transfer-Encoding: chunked\r\n"
	case framingLength:
		head += fmt.Sprintf("Content-Length: %d\r\n", bytesOf(events))
	}
	w := rawWire{data: []byte(head + "\r\n")}
	w.headEnd = len(w.data)
	for group := range slices.Chunk(events, a.perChunk) {
		if a.framing == framingChunks {
			w.data = fmt.Appendf(w.data, "%x\r\n", bytesOf(group))
		}
		for _, e := range group {
			w.data = append(w.data, e.comment...)
			w.starts = append(w.starts, len(w.data))
			w.data = append(w.data, e.text...)
			w.ends = append(w.ends, len(w.data))
		}
		if a.framing == framingChunks {
			w.data = append(w.data, "\r\n"...)
		}
	}
	if a.framing == framingChunks {
		w.data = append(w.data, "0\r\n\r\n"...)
	}
	return w
}

func bytesOf(events []rawEvent) int {
	count := 0
	for _, e := range events {
		count += len(e.comment) + len(e.text)
	}
	return count
}

// length returns the number of bytes up to the end of the answer. An answer that has no place for its cut ends complete.
func (a *rawAnswer) length(w *rawWire) int {
	count := len(w.ends)
	switch {
	case a.end == endFINInsideHead:
		return 1 + int(a.position*float64(w.headEnd-1))
	case count == 0:
		a.end = endComplete
	}
	event := int(a.cutAt * float64(count))
	switch a.end {
	case endFINAfterEvent, endResetAfterEvent:
		if event == 0 {
			return w.headEnd
		}
		return w.ends[event-1]
	case endFINInsideEvent, endResetInsideEvent:
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
func (a *rawAnswer) segments(rng *rand.Rand, w *rawWire, length int) []segment {
	var list []segment
	if a.pieces != piecesHeadWithEvent {
		list = append(list, segment{end: w.headEnd})
	}
	group, skipped := 1+rng.IntN(maxGroup), time.Duration(0)
	for i, end := range w.ends {
		pause := a.pause
		if i == a.longBefore {
			pause = longPause
		}
		switch a.pieces {
		case piecesSplitSeparator:
			list = append(list, segment{end: end - 1, pause: pause}, segment{end: end, pause: shortPause})
		case piecesAnywhere:
			list = append(list, segment{end: w.starts[i] + rng.IntN(end-w.starts[i]) + 1, pause: pause})
		case piecesSeveral:
			if skipped += pause; (i+1)%group == 0 {
				list, skipped = append(list, segment{end: end, pause: skipped}), 0
			}
		case piecesEvents, piecesHeadWithEvent:
			list = append(list, segment{end: end, pause: pause})
		}
	}
	list = slices.DeleteFunc(list, func(s segment) bool { return s.end >= length })
	return append(list, segment{end: length, pause: a.pause})
}
