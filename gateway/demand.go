package gateway

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"parsleyhatch/config"
	"parsleyhatch/order"
	"parsleyhatch/vmwire"
)

const (
	// waitInterval is the period at which the VMs of a region report to each other how long
	// requests wait.
	waitInterval = time.Second
	// waitMaxAge is the age at which the waits reported by a VM expire.
	waitMaxAge = 3 * time.Second
)

// waitTimes holds the time at which each waiting request of a queue began to wait.
type waitTimes struct {
	mu    sync.Mutex
	since map[uint64]time.Time
}

// begin records a request, and returns the function that removes it.
func (w *waitTimes) begin(now time.Time, id uint64) func() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.since == nil {
		w.since = map[uint64]time.Time{}
	}
	w.since[id] = now
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.since, id)
	}
}

// longest returns how long the oldest request has waited, zero without one.
func (w *waitTimes) longest(now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	var longest time.Duration
	for _, since := range w.since {
		longest = max(longest, now.Sub(since))
	}
	return longest
}

// slotWaits are the waits of one VM by model.
type slotWaits struct {
	at     time.Time
	models map[string]time.Duration
}

// reportWaits records this VM's waits and sends them to the region.
func (g *Gateway) reportWaits(ctx context.Context, now time.Time, s *config.Snapshot) {
	if now.Sub(g.waitsSent) < waitInterval {
		return
	}
	g.waitsSent = now
	out := &vmwire.Load{}
	for model := range s.Placements {
		var wait time.Duration
		if r := s.Models[model]; r != nil {
			wait = g.queues.get(r).waits.longest(now)
		}
		out.Waits = append(out.Waits, vmwire.ModelWait{Model: model, WaitMillis: wait.Milliseconds()})
	}
	g.recordWaits(now, g.Self.Slot, out.Waits)
	g.sendLoad(ctx, now, out)
}

func (g *Gateway) recordWaits(now time.Time, slot string, waits []vmwire.ModelWait) {
	if len(waits) == 0 {
		return
	}
	models := make(map[string]time.Duration, len(waits))
	for _, w := range waits {
		models[w.Model] = time.Duration(w.WaitMillis) * time.Millisecond
	}
	g.slotWaits[slot] = slotWaits{at: now, models: models}
}

// demands returns the load of each placed model in the region, in the order of the models' names.
// Only engines that get orders count, since placement counts its replicas among them.
func (g *Gateway) demands(now time.Time, s *config.Snapshot) []order.Demand {
	list := make([]order.Demand, 0, len(s.Placements))
	for model, p := range s.Placements {
		d := order.Demand{Model: model, Wait: g.longestWait(now, model)}
		replicas := 0
		for name, ordered := range g.ordered {
			e, ok := g.engines[name]
			if !ok || !ordered || e.state.Model != model {
				continue
			}
			replicas++
			d.Running += e.running
			d.Capacity += s.Upstreams[name].MaxBatch
		}
		// Requests do not wait for a model without replicas; they are refused.
		if replicas < p.MinReplicas {
			d.Wait = max(d.Wait, g.OrderLimits.HighWait)
		}
		list = append(list, d)
	}
	slices.SortFunc(list, func(a, b order.Demand) int { return strings.Compare(a.Model, b.Model) })
	return list
}

// longestWait returns the longest wait of a model over the VMs of the region.
func (g *Gateway) longestWait(now time.Time, model string) time.Duration {
	var longest time.Duration
	for slot, w := range g.slotWaits {
		if now.Sub(w.at) >= waitMaxAge {
			delete(g.slotWaits, slot)
			continue
		}
		longest = max(longest, w.models[model])
	}
	return longest
}
