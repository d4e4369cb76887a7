package admit

import (
	"math"
	"time"
)

const (
	// minCost and minWeight keep virtual times finite.
	minCost   = 1e-6
	minWeight = 1e-6
	// minRetryAfter and maxRetryAfter bound the retry delay of a refusal.
	minRetryAfter = 250 * time.Millisecond
	maxRetryAfter = time.Minute
	// rateAveragingTime is the time over which the served rate is averaged.
	rateAveragingTime = 5 * time.Second
)

// rateMeter estimates the cost served per second from the intervals between items of a backlogged queue.
type rateMeter struct {
	rate       float64
	lastServed time.Time // Zero if the queue was empty after the last item.
}

func (m *rateMeter) recordServed(now time.Time, cost float64, backlog bool) {
	if !m.lastServed.IsZero() {
		m.observe(now.Sub(m.lastServed), cost)
	}
	m.lastServed = time.Time{}
	if backlog {
		m.lastServed = now
	}
}

func (m *rateMeter) reset() { m.lastServed = time.Time{} }

// observe updates the average over work and time. Items served at the same time add up, because the average
// of their rates would be infinite.
func (m *rateMeter) observe(elapsed time.Duration, cost float64) {
	window := rateAveragingTime.Seconds()
	elapsedSeconds := math.Min(elapsed.Seconds(), window)
	m.rate = (m.rate*(window-elapsedSeconds) + cost) / window
}

// currentRate returns the rate, reduced by the time for which a backlogged queue has not been served.
func (m *rateMeter) currentRate(now time.Time) float64 {
	rate := m.rate
	if !m.lastServed.IsZero() {
		idle := math.Max(0, now.Sub(m.lastServed).Seconds())
		rate *= rateAveragingTime.Seconds() / (rateAveragingTime.Seconds() + idle)
	}
	return math.Max(rate, 1e-9)
}

// expectedWait returns the expected wait of the item. It covers the cost ahead of the item in its workspace,
// at the workspace's share of the rate, and one item of each other workspace, or the whole class if that is
// less.
func (q *Queue) expectedWait(now time.Time, item *Item) time.Duration {
	l := &q.classQueues[item.Class]
	if l.count == 0 {
		return 0
	}
	weight, otherWorkspaces := l.weight+item.Weight, len(l.active)
	ahead, behind := 0.0, 0.0
	if f := l.flows[item.Workspace]; f != nil {
		if f.index >= 0 {
			weight, otherWorkspaces = l.weight, otherWorkspaces-1
		}
		for _, e := range f.items {
			if e.Deadline.After(item.Deadline) {
				behind += e.Cost
			}
		}
		// Service that the workspace received above its share delays the item too.
		ahead = f.cost - behind + math.Max(0, f.virtualStart-l.virtualTime)*item.Weight
	}
	workspaceCost := ahead*weight/item.Weight + float64(otherWorkspaces)*l.cost/float64(l.count)
	seconds := math.Min(workspaceCost, l.cost-behind) / (q.rateMeter.currentRate(now) * q.classShare(item.Class))
	return time.Duration(math.Min(seconds, 3600) * float64(time.Second))
}

// classShare returns the share of the rate that the class receives.
func (q *Queue) classShare(c Class) float64 {
	drafts, interactive := q.classQueues[Draft].count > 0, q.classQueues[Interactive].count > 0
	if c == Interactive && drafts {
		return 1 - q.settings.DraftShare
	}
	if c == Draft && interactive {
		return math.Max(q.settings.DraftShare, 0.01)
	}
	return 1
}
