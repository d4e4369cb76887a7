package clock

import (
	"testing"
	"time"
)

// Guards against a clock that goes back or carries the steady clock's reading, which stands still while
// the machine is suspended.
func TestNow(t *testing.T) {
	first := Now()
	time.Sleep(2 * time.Millisecond)
	second := Now()
	if !second.After(first) {
		t.Errorf("clock went from %v to %v", first, second)
	}
	if first.String() != first.Round(0).String() {
		t.Errorf("time %v has a steady reading", first)
	}
}
