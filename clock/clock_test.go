package clock

import (
	"testing"
	"time"
)

// Guards against a clock that goes backwards, and against times with a monotonic clock reading: Go would
// compare those by the monotonic clock, which stops while the machine is suspended.
func TestNow(t *testing.T) {
	first := Now()
	time.Sleep(2 * time.Millisecond)
	second := Now()
	if !second.After(first) {
		t.Errorf("clock went from %v to %v", first, second)
	}
	if first.String() != first.Round(0).String() {
		t.Errorf("time %v has a monotonic clock reading", first)
	}
}
