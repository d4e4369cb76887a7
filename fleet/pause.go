package fleet

import (
	"sync/atomic"
	"time"
)

const (
	// pauseThreshold is the time without a tick after which the process counts as paused: more than two tick
	// intervals.
	pauseThreshold = 700 * time.Millisecond
	// PauseSettleTime is the time after a pause for reading the messages that arrived meanwhile, such as resets of
	// cancelled requests.
	PauseSettleTime = 300 * time.Millisecond
)

// pauseDetector detects pauses of the whole process, such as a frozen VM. It is safe for concurrent use.
type pauseDetector struct {
	// lastTick and settledAt are Unix times in nanoseconds: the latest tick, and the end of the settle
	// time after the latest pause.
	lastTick, settledAt atomic.Int64
}

// tick records a tick and starts the settle time if it came after a pause.
func (p *pauseDetector) tick(now time.Time) {
	last := p.lastTick.Swap(now.UnixNano())
	if last != 0 && time.Duration(now.UnixNano()-last) > pauseThreshold {
		p.settledAt.Store(now.Add(PauseSettleTime).UnixNano())
	}
}

// pausedRecently reports whether the process is resuming from a pause or is within the settle time after one.
func (p *pauseDetector) pausedRecently(now time.Time) bool {
	last := p.lastTick.Load()
	return last != 0 && time.Duration(now.UnixNano()-last) > pauseThreshold || now.UnixNano() < p.settledAt.Load()
}

// PausedRecently reports whether this process was paused until shortly before now.
func (f *Fleet) PausedRecently(now time.Time) bool { return f.pauseDetector.pausedRecently(now) }
