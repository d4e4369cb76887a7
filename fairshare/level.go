package fairshare

import (
	"cmp"
	"slices"
	"time"
)

// shortRatio is the portion of what is asked below which the portion that is served shows that a service is short. Above it, the
// difference may be requests that have not been sent to an upstream yet.
const shortRatio = 0.95

// service holds the entries of one service.
type service struct {
	entries []*entry
	// shortAt is the latest time at which this VM has served less of the service than was asked of it.
	shortAt time.Time
}

// recordShort records whether this VM serves less than was asked of it.
func (s *service) recordShort(now time.Time) {
	var asked, served int64
	for _, e := range s.entries {
		asked += e.own.asked
		served += e.own.served
	}
	if float64(served) < shortRatio*float64(asked) {
		s.shortAt = now
	}
}

func (e *entry) regionAsked() int64 { return e.own.asked + e.others.asked }

// divide computes the level of the service, and the rate that this VM admits for each entry above it.
func (s *service) divide() {
	level, short := s.level()
	for _, e := range s.entries {
		asked := e.regionAsked()
		e.above = short && asked > level
		if e.above {
			e.bucket.rate = float64(level) / rateUnit * float64(e.own.asked) / float64(asked)
		}
	}
}

// level returns the rate up to which each workspace gets what it asks for when the rate that the region serves is divided by max-min
// fairness. It reports false while the service is not short, and if only one workspace asks or nothing was served.
func (s *service) level() (int64, bool) {
	slices.SortFunc(s.entries, func(a, b *entry) int { return cmp.Compare(a.regionAsked(), b.regionAsked()) })
	var asked, served, asking int64
	for _, e := range s.entries {
		asked += e.regionAsked()
		served += e.own.served + e.others.served
		if e.regionAsked() > 0 {
			asking++
		}
	}
	if asking < 2 || served == 0 || float64(served) >= shortRatio*float64(asked) {
		return 0, false
	}
	return s.fill(served, asking)
}

// fill divides the capacity between the workspaces that ask, which are in ascending order of what they ask for.
func (s *service) fill(capacity, asking int64) (int64, bool) {
	for _, e := range s.entries {
		asked := e.regionAsked()
		if asked == 0 {
			continue
		}
		if level := capacity / asking; asked > level {
			return level, true
		}
		capacity -= asked
		asking--
	}
	return 0, false
}
