package trace

import (
	"fmt"
	"testing"
	"time"
)

// Guards against traces that grow without bound, and against old ones that are found under a new request's id.
func TestRing(t *testing.T) {
	var r Ring
	for i := range maxTraces + 10 {
		r.Add(Trace{RequestID: fmt.Sprint(i)})
	}
	for i, want := range map[int]bool{0: false, 9: false, 10: true, maxTraces + 9: true} {
		got, ok := r.Find(fmt.Sprint(i))
		if ok != want || ok && got.RequestID != fmt.Sprint(i) {
			t.Errorf("request %d: found %v as %q, want %v", i, ok, got.RequestID, want)
		}
	}
	if len(r.ring) != maxTraces || len(r.byID) != maxTraces {
		t.Errorf("%d traces and %d ids are kept, want %d", len(r.ring), len(r.byID), maxTraces)
	}
}

// Guards against a request with endless retries that fills the memory.
func TestSteps(t *testing.T) {
	var one Trace
	for range 10 * maxSteps {
		one.Note(time.Unix(1, 0), "what", "why")
	}
	if len(one.Steps) != maxSteps {
		t.Errorf("%d steps, want %d", len(one.Steps), maxSteps)
	}
}
