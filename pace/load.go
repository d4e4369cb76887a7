package pace

import "time"

const (
	// loadTTL is the time for which a stated load counts in full. From then on it fades over the same time, since the load of an upstream
	// changes many times a second.
	loadTTL = 300 * time.Millisecond
	// minSlowdown and maxSlowdown bound the factor that a stated load can have: an upstream that understates its load must not attract all
	// work, nor one that overstates it get none.
	minSlowdown  = 0.8
	maxSlowdown  = 5.0
	usualPercent = 100
)

// Load is the load that an upstream states in an answer.
type Load struct {
	Running, Waiting, Slots int
	// Percent is the time that work takes now, in percent of the usual time, zero if the upstream does not state it.
	Percent float64
}

// statedLoad is the latest stated load.
type statedLoad struct {
	Load
	at time.Time
}

// RecordLoad records the load that an upstream stated in an answer that has arrived now.
func (u *Upstream) RecordLoad(now time.Time, l Load) { u.load = statedLoad{Load: l, at: now} }

// slowdown returns the factor by which work takes longer than usual.
func (l *statedLoad) slowdown(now time.Time) float64 {
	age := now.Sub(l.at)
	if l.Percent <= 0 || age > 2*loadTTL {
		return 1
	}
	factor := min(max(l.Percent/usualPercent, minSlowdown), maxSlowdown)
	if age > loadTTL {
		factor = 1 + (factor-1)*float64(2*loadTTL-age)/float64(loadTTL)
	}
	return factor
}
