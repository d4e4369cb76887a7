package fairshare

import "time"

const (
	// halfWindow is the least time between the first two of three samples. Together with the time between the others, rates are those of
	// about the last 2 s.
	halfWindow = time.Second
	// minGap is the least time between a sample that is kept and the next one. Of reports that were delayed and arrive together, only the
	// last one has the totals up to about the time of arrival.
	minGap = 50 * time.Millisecond
	// minSpan is the shortest time over which a rate is computed.
	minSpan = 500 * time.Millisecond
	// rateUnit is the number of units of a rate in a token per second. Rates are integers, so that sums of them stay exact when
	// parts are added and subtracted again.
	rateUnit = 1000
)

// window holds the times of three samples of totals.
type window struct{ base, middle, latest time.Time }

// advance adds a sample. It reports whether the base has been replaced by the middle sample.
func (w *window) advance(now time.Time) (rotated bool) {
	rotated = w.latest.Sub(w.middle) >= halfWindow && now.Sub(w.latest) >= minGap
	if rotated {
		w.base, w.middle = w.middle, w.latest
	}
	w.latest = now
	return rotated
}

// span returns the time between the base and the latest sample.
func (w *window) span() time.Duration { return max(minSpan, w.latest.Sub(w.base)) }

// totals are amounts in tokens since a VM's start.
type totals struct{ asked, served int64 }

// rates are amounts per second, in units of 1/rateUnit tokens.
type rates struct{ asked, served int64 }

// samples holds totals at the times of a window.
type samples struct{ base, middle, latest totals }

// begin sets all samples to the first known totals. The time over which they were counted is not known, so that they add nothing to a rate.
func (s *samples) begin(v totals) { s.base, s.middle, s.latest = v, v, v }

// add adds a sample. rotated is what the window's advance reported.
func (s *samples) add(v totals, rotated bool) {
	if rotated {
		s.base, s.middle = s.middle, s.latest
	}
	s.latest = v
}

func (s *samples) rates(span time.Duration) rates {
	return rates{asked: perSecond(s.latest.asked-s.base.asked, span), served: perSecond(s.latest.served-s.base.served, span)}
}

func perSecond(tokens int64, span time.Duration) int64 {
	return int64(float64(tokens) * rateUnit / span.Seconds())
}
