package profile

import (
	"testing"
	"time"
)

// Guards against routes without a time, against means that never follow, and against a missing time that counts as
// zero.
func TestMeans(t *testing.T) {
	var table Table
	if got := table.Get("a"); got.FirstToken != firstTokenGuess || got.Run != runGuess {
		t.Errorf("a route without a measurement has %v", got)
	}
	for range 200 {
		table.Record("a", 50*time.Millisecond, 0)
	}
	got := table.Get("a")
	if got.FirstToken < 49*time.Millisecond || got.FirstToken > 52*time.Millisecond || got.Run != runGuess {
		t.Errorf("after 200 first tokens of 50 ms: %v", got)
	}
}
