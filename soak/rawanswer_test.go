package soak

import (
	"bufio"
	"bytes"
	"math/rand/v2"
	"net/http"
	"testing"
)

// Guards against a row of the table of answers that plays another framing or end than it names, or that no seed draws.
func TestRawAnswersAreWhatTheyName(t *testing.T) {
	l := loadOf(ProfileRaw)
	u := &rawUpstream{settings: rawSettings{ID: "u", Service: service, Version: "v1"}, load: l}
	drawn := map[[3]int]bool{}
	for seed := range uint64(2000) {
		rng := rand.New(rand.NewPCG(seed, 1))
		a := drawAnswer(rng, rawEnds{Cut: true, Unmarked: true}, true)
		w := u.encode(&a, &streamRun{service: service, version: "v1", request: "id-1", name: "u.1", after: 2})
		length := a.length(&w)
		var sent bytes.Buffer
		if err := writeSegments(&sent, w.data, withoutPauses(a.segments(rng, &w, length))); err != nil || !bytes.Equal(sent.Bytes(), w.data[:length]) {
			t.Fatalf("%s: %d bytes sent, want %d, error %v", &a, sent.Len(), length, err)
		}
		drawn[[3]int{int(a.framing), int(a.end), int(a.pieces)}] = true
		resp, err := http.ReadResponse(bufio.NewReader(&sent), nil)
		if (err != nil) != (a.end == endFINInsideHead) {
			t.Fatalf("%s: read head: %v", &a, err)
		}
		if err != nil {
			continue
		}
		got := response{lastEvent: l.events, status: resp.StatusCode}
		got.readBody(request{id: "id-1", kind: kindStream, lastEvent: 2}, &l, resp)
		wholeEvents := a.end != endFINInsideEvent && a.end != endResetInsideEvent
		if looksWhole := a.end == endComplete || a.framing == framingNone; got.complete != looksWhole || !isConsecutive(2, got.events) ||
			(a.end == endComplete) != (len(got.events) == l.events-2) || got.complete && (got.parts == 0) != wholeEvents || !got.verified || len(got.joinedRuns(kindStream)) > 0 {
			t.Errorf("%s, %+v: events %v, %d parts, complete %v, verified %v", &a, a.style, got.events, got.parts, got.complete, got.verified)
		}
	}
	if want := int(framings) * int(endings) * int(pieceKinds); len(drawn) != want {
		t.Errorf("%d rows drawn, want %d", len(drawn), want)
	}
}

func withoutPauses(segments []segment) []segment {
	for i := range segments {
		segments[i].pause = 0
	}
	return segments
}

// Guards against an answer without a mark of its cut that is drawn although the plan does not allow it, and against cuts in the time
// without faults.
func TestUnmarkedCutsNeedLeave(t *testing.T) {
	for seed := range uint64(2000) {
		for _, stream := range []bool{true, false} {
			a := drawAnswer(rand.New(rand.NewPCG(seed, 1)), rawEnds{Cut: true}, stream)
			if a.framing == framingNone && (a.end == endFINAfterEvent || a.end == endFINInsideEvent && !stream) {
				t.Fatalf("stream %v: %s", stream, &a)
			}
			if a := drawAnswer(rand.New(rand.NewPCG(seed, 1)), rawEnds{Unmarked: true}, stream); a.end != endComplete {
				t.Fatalf("no cuts allowed: %s", &a)
			}
		}
	}
}
