package admit

import (
	"math"
	"time"
)

const (
	// minCost and minWeight keep virtual times finite.
	minCost   = 1e-6
	minWeight = 1e-6
	// minRetryAfter and maxRetryAfter bound the time that a refusal states.
	minRetryAfter = 250 * time.Millisecond
	maxRetryAfter = time.Minute
	// meterTime is the time over which the served rate is averaged.
	meterTime = 5 * time.Second
)

// meter estimates the cost served in a second, from the times at which a backlogged queue is served.
type meter struct {
	rate float64
	last time.Time // Zero while the queue was empty after the last item.
}

func (m *meter) served(now time.Time, cost float64, backlog bool) {
	if !m.last.IsZero() {
		m.observe(now.Sub(m.last), cost)
	}
	m.last = time.Time{}
	if backlog {
		m.last = now
	}
}

func (m *meter) idle() { m.last = time.Time{} }

// observe averages over work and time. Several items served at one moment add up, because the
// average of their rates would be infinite.
func (m *meter) observe(elapsed time.Duration, cost float64) {
	window := meterTime.Seconds()
	dt := math.Min(elapsed.Seconds(), window)
	m.rate = (m.rate*(window-dt) + cost) / window
}

// current lowers the rate while a backlogged queue is not served.
func (m *meter) current(now time.Time) float64 {
	rate := m.rate
	if !m.last.IsZero() {
		idle := math.Max(0, now.Sub(m.last).Seconds())
		rate *= meterTime.Seconds() / (meterTime.Seconds() + idle)
	}
	return math.Max(rate, 1e-9)
}

// expectedWait returns how long the item would wait: the cost ahead of it in its workspace at the
// workspace's share of the rate and one item of each other workspace, or its whole class if that is
// less.
func (q *Queue) expectedWait(now time.Time, item *Item) time.Duration {
	l := &q.lanes[item.Class]
	if l.count == 0 {
		return 0
	}
	weight, others := l.weight+item.Weight, len(l.active)
	ahead, behind := 0.0, 0.0
	if f := l.flows[item.Workspace]; f != nil {
		if f.index >= 0 {
			weight, others = l.weight, others-1
		}
		for _, e := range f.items {
			if e.Deadline.After(item.Deadline) {
				behind += e.Cost
			}
		}
		// What the workspace got beyond its share delays it too.
		ahead = f.cost - behind + math.Max(0, f.start-l.virtual)*item.Weight
	}
	own := ahead*weight/item.Weight + float64(others)*l.cost/float64(l.count)
	seconds := math.Min(own, l.cost-behind) / (q.meter.current(now) * q.classShare(item.Class))
	return time.Duration(math.Min(seconds, 3600) * float64(time.Second))
}

// classShare is the part of the rate that the class gets.
func (q *Queue) classShare(c Class) float64 {
	drafts, interactive := q.lanes[Draft].count > 0, q.lanes[Interactive].count > 0
	if c == Interactive && drafts {
		return 1 - q.settings.DraftShare
	}
	if c == Draft && interactive {
		return math.Max(q.settings.DraftShare, 0.01)
	}
	return 1
}
