package fleet

import (
	"sync/atomic"
	"time"
)

const (
	// pauseGap is the time without a tick after which the VM counts as paused: more than two ticks.
	pauseGap = 700 * time.Millisecond
	// SettleTime is the time after a pause in which the VM reads what others sent meanwhile, such as that they
	// have given up a request.
	SettleTime = 300 * time.Millisecond
)

// pauses notices that the whole VM did not run for a while. It is safe for concurrent use.
type pauses struct {
	// beat and settled are in nanoseconds since the epoch: the latest tick, and the end of the time after the
	// latest pause.
	beat, settled atomic.Int64
}

// tick notes that the VM runs.
func (p *pauses) tick(now time.Time) {
	last := p.beat.Swap(now.UnixNano())
	if last != 0 && time.Duration(now.UnixNano()-last) > pauseGap {
		p.settled.Store(now.Add(SettleTime).UnixNano())
	}
}

// lately reports whether the VM was paused and has not had the time to read what it missed.
func (p *pauses) lately(now time.Time) bool {
	last := p.beat.Load()
	return last != 0 && time.Duration(now.UnixNano()-last) > pauseGap || now.UnixNano() < p.settled.Load()
}

// PausedLately reports whether the VM did not run for a while, until shortly before now.
func (f *Fleet) PausedLately(now time.Time) bool { return f.pauses.lately(now) }
