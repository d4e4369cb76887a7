package order

import (
	"time"

	"parsleyhatch/event"
)

// placementKey is the key by which rendezvous hashing chooses the VM that places replicas.
const placementKey = "\x00placement"

// Demand is the load of one model in the region.
type Demand struct {
	Model string
	// Wait is how long requests for the model wait in the queue.
	Wait time.Duration
	// Running is the number of requests in the engines, and Capacity the number that they can run at
	// once.
	Running  int
	Capacity int
}

// utilisationWithout returns the share of the capacity in use after the removal of one of n
// replicas.
func (d Demand) utilisationWithout(n int) float64 {
	if n <= 1 || d.Capacity <= 0 {
		return 1
	}
	return float64(d.Running) / (float64(d.Capacity) * float64(n-1) / float64(n))
}

// placementState is the state that the placing VM keeps between ticks.
type placementState struct {
	// pressuredModel is the model that has had the longest wait, at or above HighWait, since
	// pressuredSince.
	pressuredModel string
	pressuredSince time.Time
	// movedAt is the time of the last move.
	movedAt time.Time
	moved   bool
}

// Rebalance moves at most one replica from the model with the lowest utilisation to the model with
// the longest wait. Only one VM of the region places replicas. A move is an order with a fencing
// number like any other, so that two VMs that both place replicas cannot both change an upstream.
// Rebalance may return a request to read the upstream instead; a later call then returns the move.
func (t *Table) Rebalance(now time.Time, demands []Demand) (Decision, bool) {
	if IssuingVM(t.live, placementKey) != t.self {
		t.placement = placementState{}
		return Decision{}, false
	}
	to, ok := t.longestWait(now, demands)
	if !ok || t.waitsForLastMove(now) {
		return Decision{}, false
	}
	pool, ok := t.plan.pool(to.Model)
	if !ok {
		return Decision{}, false
	}
	r := t.pickReplica(now, demands, pool)
	if r == nil {
		return Decision{}, false
	}
	return t.moveReplica(now, r, pool)
}

// longestWait returns the model with the longest wait, and true once that wait has been at least
// HighWait for PressureDuration.
func (t *Table) longestWait(now time.Time, demands []Demand) (Demand, bool) {
	var longest Demand
	for _, d := range demands {
		if d.Wait > longest.Wait || d.Wait == longest.Wait && d.Model < longest.Model {
			longest = d
		}
	}
	if longest.Wait < t.limits.HighWait {
		t.placement.pressuredModel = ""
		return Demand{}, false
	}
	if t.placement.pressuredModel != longest.Model {
		t.placement.pressuredModel = longest.Model
		t.placement.pressuredSince = now
	}
	return longest, now.Sub(t.placement.pressuredSince) >= t.limits.PressureDuration
}

// waitsForLastMove reports whether the last move is too recent or has no result yet.
func (t *Table) waitsForLastMove(now time.Time) bool {
	if t.placement.moved && now.Sub(t.placement.movedAt) < t.limits.MinMoveInterval {
		return true
	}
	for _, r := range t.rows {
		if r.outstanding && r.lastOrder.Reason == ReasonMove {
			return true
		}
	}
	return false
}

// pickReplica returns a replica that may run the pool's model, from the model that has the lowest
// utilisation after the move. It returns nil if there is none.
func (t *Table) pickReplica(now time.Time, demands []Demand, pool Pool) *upstreamRow {
	count := t.replicaCounts()
	var best *upstreamRow
	var bestUtilisation float64
	for _, d := range demands {
		if d.Model == pool.Desired.Model || !t.canSpareReplica(d, count[d.Model]) {
			continue
		}
		r := t.movableReplica(now, d.Model, pool)
		if utilisation := d.utilisationWithout(count[d.Model]); r != nil && (best == nil || utilisation < bestUtilisation) {
			best, bestUtilisation = r, utilisation
		}
	}
	return best
}

// canSpareReplica reports whether a model can give up one of n replicas.
func (t *Table) canSpareReplica(d Demand, n int) bool {
	pool, planned := t.plan.pool(d.Model)
	if !planned || n <= pool.MinReplicas {
		return false
	}
	return d.Wait <= t.limits.LowWait && d.utilisationWithout(n) <= t.limits.MaxDonorUtilisation
}

// movableReplica returns the first replica of a model that may be moved now, or nil.
func (t *Table) movableReplica(now time.Time, model string, pool Pool) *upstreamRow {
	for _, name := range t.names {
		r := t.rows[name]
		if !r.read || r.current.Model != model || !pool.Allowed.Matches(r.upstream.Labels) {
			continue
		}
		if !r.upstream.ChecksFencing || r.upstream.Draining || r.outstanding || now.Before(r.backoffUntil) {
			continue
		}
		if r.moved && now.Sub(r.movedAt) < t.limits.MinDwell {
			continue
		}
		return r
	}
	return nil
}

// moveReplica issues the order, or returns the decision that must precede it.
func (t *Table) moveReplica(now time.Time, r *upstreamRow, pool Pool) (Decision, bool) {
	if now.Sub(r.readAt) >= t.limits.ReadValidity {
		return t.requestRead(now, r)
	}
	if !t.loads.take(now, t.limits.LoadsPerSecond, t.limits.LoadBurst) {
		return t.reportOnce(r, ReasonThrottled, pool.Desired, event.OrderThrottled)
	}
	r.movedAt = now
	r.moved = true
	t.placement.movedAt = now
	t.placement.moved = true
	event.ReplicaMoved.Log(t.Log, "upstream", r.upstream.Name, "from", r.current.Model, "to", pool.Desired.Model)
	return t.issueOrder(now, r, ReasonMove, pool.Desired), true
}
