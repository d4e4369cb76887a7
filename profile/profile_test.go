package profile

import (
	"testing"
	"time"
)

// Guards against routes without default times, against averages that do not follow the measurements, and
// against a missing time that counts as zero.
func TestAveragesFollowMeasurements(t *testing.T) {
	var table Table
	if got := table.Get("a"); got.FirstToken != defaultFirstToken || got.RunTime != defaultRunTime {
		t.Errorf("a route without measurements has averages %v", got)
	}
	for range 200 {
		table.Record("a", 50*time.Millisecond, 0)
	}
	got := table.Get("a")
	if got.FirstToken < 49*time.Millisecond || got.FirstToken > 52*time.Millisecond || got.RunTime != defaultRunTime {
		t.Errorf("after 200 first tokens of 50 ms: %v", got)
	}
}
