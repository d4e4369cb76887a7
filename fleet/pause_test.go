package fleet

import (
	"testing"
	"time"
)

// Guards against a VM that does not notice that it was frozen, before its first tick and shortly after it.
func TestPauses(t *testing.T) {
	var p pauses
	now := time.Unix(1000, 0)
	if p.lately(now) {
		t.Error("paused before the first tick")
	}
	for range 5 {
		p.tick(now)
		now = now.Add(tick)
		if p.lately(now) {
			t.Error("paused between regular ticks")
		}
	}
	now = now.Add(3 * time.Second)
	if !p.lately(now) {
		t.Error("not paused right after three seconds without a tick")
	}
	p.tick(now)
	if !p.lately(now.Add(SettleTime / 2)) {
		t.Error("not paused shortly after the first tick")
	}
	p.tick(now.Add(tick))
	if p.lately(now.Add(SettleTime + time.Millisecond)) {
		t.Error("paused for longer than the time to settle")
	}
}
