package fleet

import (
	"testing"
	"time"
)

// Guards against an undetected pause: the first tick after the pause has not run yet, or ran shortly before.
func TestPauseDetector(t *testing.T) {
	var p pauseDetector
	now := time.Unix(1000, 0)
	if p.pausedRecently(now) {
		t.Error("pause reported before the first tick")
	}
	for range 5 {
		p.tick(now)
		now = now.Add(tick)
		if p.pausedRecently(now) {
			t.Error("pause reported between regular ticks")
		}
	}
	now = now.Add(3 * time.Second)
	if !p.pausedRecently(now) {
		t.Error("no pause reported after three seconds without a tick")
	}
	p.tick(now)
	if !p.pausedRecently(now.Add(PauseSettleTime / 2)) {
		t.Error("no pause reported within the settle time after the pause")
	}
	p.tick(now.Add(tick))
	if p.pausedRecently(now.Add(PauseSettleTime + time.Millisecond)) {
		t.Error("pause reported after the end of the settle time")
	}
}
