package vmwire

import "time"

// UnknownAge is the age of a moment that is not known.
const UnknownAge Age = -1

// MaxAge is the longest age that a message carries; longer ones are carried as MaxAge. It exceeds the time for which any state is kept.
const MaxAge = 24 * time.Hour

// AgeOf returns the age that a moment has now. It is UnknownAge for the zero time, and zero for a moment in the future.
func AgeOf(now, moment time.Time) Age {
	if moment.IsZero() {
		return UnknownAge
	}
	age := min(max(0, now.Sub(moment)), MaxAge)
	return Age((age + time.Millisecond - 1) / time.Millisecond)
}

// AgeRoundedDown is AgeOf for state that must not expire early: the receiver takes the moment to be no earlier than it was.
func AgeRoundedDown(now, moment time.Time) Age {
	if moment.IsZero() {
		return UnknownAge
	}
	return AgeOf(now, moment.Add(time.Millisecond-1))
}

// Moment returns the moment that has the age now. It is the zero time if the age is unknown.
func (a Age) Moment(now time.Time) time.Time {
	if a < 0 {
		return time.Time{}
	}
	return now.Add(-a.Duration())
}

// Duration returns the age as a duration from 0 to MaxAge. An unknown age is MaxAge.
func (a Age) Duration() time.Duration {
	if a < 0 || a > Age(MaxAge/time.Millisecond) {
		return MaxAge
	}
	return time.Duration(a) * time.Millisecond
}
