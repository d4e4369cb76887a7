package pace

import "time"

const (
	// lengthHalfLife is the half-life of the samples of stream lengths.
	lengthHalfLife = time.Minute
	// defaultEvents is the expected number of events of a stream before the first stream of its route has ended.
	defaultEvents = 10.0
	// defaultTokensPerEvent is the number of answer tokens in an event before the first stream of a route has ended.
	defaultTokensPerEvent = 8.0
	// hintWeight is the weight of the mean length beside a hint: hints are right at the median, but often far off.
	hintWeight = 0.5
)

// Lengths estimates the lengths of the streams of one route from the completed ones.
type Lengths struct {
	events, perToken Mean
}

// Record records a completed stream with the number of answer tokens that its caller had stated as a hint, zero for none.
func (l *Lengths) Record(now time.Time, events int, hint int64) {
	l.events.Add(now, lengthHalfLife, float64(events), 1)
	if hint > 0 {
		l.perToken.Add(now, lengthHalfLife, float64(events)/float64(hint), 1)
	}
}

// Usual returns the mean number of events of a stream.
func (l *Lengths) Usual(now time.Time) float64 {
	value, weight := l.events.At(now, lengthHalfLife)
	return withPrior(value, weight, defaultEvents, 1)
}

// Expected returns the expected number of events of a stream. hint is the number of answer tokens that its caller expects, and most the
// largest number that it accepts; both are zero if unknown.
func (l *Lengths) Expected(now time.Time, hint, most int64) float64 {
	usual := l.Usual(now)
	value, weight := l.perToken.At(now, lengthHalfLife)
	perToken := withPrior(value, weight, 1/defaultTokensPerEvent, 1)
	expected := usual
	if hint > 0 {
		expected = withPrior(float64(hint)*perToken, 1-hintWeight, usual, hintWeight)
	}
	if most > 0 {
		expected = min(expected, max(1, float64(most)*perToken))
	}
	return expected
}
