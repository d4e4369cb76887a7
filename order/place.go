package order

import (
	"time"

	"parsleyhatch/event"
)

// placementKey is what rendezvous hashing uses to choose the VM that places replicas.
const placementKey = "\x00placement"

// Demand is the load of one model in the region.
type Demand struct {
	Model string
	// Wait is how long requests of the model wait in the queue.
	Wait time.Duration
	// Running and Capacity are the requests in the engines, and how many they can run at once.
	Running  int
	Capacity int
}

// use is the share of the capacity in use after one of n replicas has gone.
func (d Demand) useWithout(n int) float64 {
	if n <= 1 || d.Capacity <= 0 {
		return 1
	}
	return float64(d.Running) / (float64(d.Capacity) * float64(n-1) / float64(n))
}

// placement is what the placing VM remembers between ticks.
type placement struct {
	// model has had the most pressure, above HighWait, since the given time.
	model string
	since time.Time
	// movedAt is the time of the last move.
	movedAt time.Time
	moved   bool
}

// Place moves at most one replica from the model with the most slack to the model with the most
// pressure. Only one VM of the region places; the move is an order with a fencing number like any
// other, so that two VMs that both place cannot both change an upstream. A read of the upstream may be
// requested instead; the move then follows in a later call.
func (t *Table) Place(now time.Time, demands []Demand) (Decision, bool) {
	if Holder(t.live, placementKey) != t.self {
		t.place = placement{}
		return Decision{}, false
	}
	to, ok := t.pressed(now, demands)
	if !ok || t.settling(now) {
		return Decision{}, false
	}
	pool, ok := t.plan.pool(to.Model)
	if !ok {
		return Decision{}, false
	}
	r := t.candidate(now, demands, pool)
	if r == nil {
		return Decision{}, false
	}
	return t.move(now, r, pool)
}

// pressed returns the model with the longest wait, once it has been above HighWait for long enough.
func (t *Table) pressed(now time.Time, demands []Demand) (Demand, bool) {
	var worst Demand
	for _, d := range demands {
		if d.Wait > worst.Wait || d.Wait == worst.Wait && d.Model < worst.Model {
			worst = d
		}
	}
	if worst.Wait < t.limits.HighWait {
		t.place.model = ""
		return Demand{}, false
	}
	if t.place.model != worst.Model {
		t.place.model = worst.Model
		t.place.since = now
	}
	return worst, now.Sub(t.place.since) >= t.limits.Sustain
}

// settling reports whether the last move is too recent or still running.
func (t *Table) settling(now time.Time) bool {
	if t.place.moved && now.Sub(t.place.movedAt) < t.limits.MoveEvery {
		return true
	}
	for _, r := range t.rows {
		if r.outstanding && r.sent.Reason == ReasonMove {
			return true
		}
	}
	return false
}

// candidate returns a replica of the model with the most slack that may run the pool's model, or nil.
func (t *Table) candidate(now time.Time, demands []Demand, pool Pool) *row {
	count := t.counts()
	var best *row
	var bestUse float64
	for _, d := range demands {
		if d.Model == pool.Want.Model || !t.slack(d, count[d.Model]) {
			continue
		}
		r := t.movable(now, d.Model, pool)
		if use := d.useWithout(count[d.Model]); r != nil && (best == nil || use < bestUse) {
			best, bestUse = r, use
		}
	}
	return best
}

// slack reports whether a model can do without one of n replicas.
func (t *Table) slack(d Demand, n int) bool {
	pool, planned := t.plan.pool(d.Model)
	if !planned || n <= pool.Min {
		return false
	}
	return d.Wait <= t.limits.LowWait && d.useWithout(n) <= t.limits.SpareUse
}

// movable returns the first replica of a model that may be moved now, or nil.
func (t *Table) movable(now time.Time, model string, pool Pool) *row {
	for _, name := range t.names {
		r := t.rows[name]
		if !r.read || r.current.Model != model || !pool.Allowed.Matches(r.upstream.Labels) {
			continue
		}
		if !r.upstream.ChecksFencing || r.upstream.Draining || r.outstanding || now.Before(r.waitTill) {
			continue
		}
		if r.moved && now.Sub(r.movedAt) < t.limits.Dwell {
			continue
		}
		return r
	}
	return nil
}

// move issues the order, or asks for what it needs.
func (t *Table) move(now time.Time, r *row, pool Pool) (Decision, bool) {
	if now.Sub(r.readAt) >= t.limits.ReadFor {
		return t.ask(now, r)
	}
	if !t.loads.take(now, t.limits.LoadsPerSecond, t.limits.LoadBurst) {
		return t.tell(r, ReasonThrottled, pool.Want, event.OrderThrottled)
	}
	r.movedAt = now
	r.moved = true
	t.place.movedAt = now
	t.place.moved = true
	event.ReplicaMoved.Log(t.Log, "upstream", r.upstream.Name, "from", r.current.Model, "to", pool.Want.Model)
	return t.issue(now, r, ReasonMove, pool.Want), true
}
