package vmwire

import (
	"math"
	"testing"
	"time"
)

// Guards against moments that are newer at the receiver than at the sender, or earlier if their ages are rounded down, and against unknown ones that become known.
func TestAge(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for _, c := range []struct {
		name   string
		moment time.Time
		age    Age
	}{
		{"unknown", time.Time{}, UnknownAge},
		{"start of the clock", time.Unix(0, 0), Age(MaxAge.Milliseconds())},
		{"in the future", now.Add(time.Hour), 0},
		{"present", now, 0},
		{"less than a millisecond ago", now.Add(-time.Nanosecond), 1},
		{"a second ago", now.Add(-time.Second), 1000},
	} {
		age := AgeOf(now, c.moment)
		if received := age.Moment(now); age != c.age || received.IsZero() != c.moment.IsZero() || received.After(now) {
			t.Errorf("%s: age %d, want %d, received as %v", c.name, age, c.age, received)
		}
		if received := AgeRoundedDown(now, c.moment).Moment(now); received.IsZero() != c.moment.IsZero() || received.Before(c.moment) && c.moment.Before(now) {
			t.Errorf("%s: received as %v, which is earlier", c.name, received)
		}
	}
	for _, a := range []Age{math.MinInt64, math.MinInt64 / 1_000_000, UnknownAge, math.MaxInt64 / 1_000_000, math.MaxInt64} {
		if m, d := a.Moment(now), a.Duration(); m.After(now) || d < 0 || d > MaxAge {
			t.Errorf("age %d: moment %v, duration %v", a, m, d)
		}
	}
}
