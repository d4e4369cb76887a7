package trace

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a buffer that grows without bound, and against a replaced trace that is still found by its
// request ID.
func TestRingBounded(t *testing.T) {
	var r Ring
	for i := range maxTraces + 10 {
		r.Add(Trace{RequestID: fmt.Sprint(i)})
	}
	for i, want := range map[int]bool{0: false, 9: false, 10: true, maxTraces + 9: true} {
		got, ok := r.Find(fmt.Sprint(i))
		if ok != want || ok && got.RequestID != fmt.Sprint(i) {
			t.Errorf("request %d: found %v with request ID %q, want %v", i, ok, got.RequestID, want)
		}
	}
	if len(r.traces) != maxTraces || len(r.indexByID) != maxTraces {
		t.Errorf("%d traces and %d request IDs stored, want %d", len(r.traces), len(r.indexByID), maxTraces)
	}
}

// Guards against unbounded memory use by a request that is retried without end.
func TestStepsBounded(t *testing.T) {
	var trace Trace
	for range 10 * maxSteps {
		trace.AddStep(time.Unix(1, 0), "what", "why")
	}
	if len(trace.Steps) != maxSteps {
		t.Errorf("%d steps, want %d", len(trace.Steps), maxSteps)
	}
}
