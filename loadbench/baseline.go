package loadbench

import (
	"slices"
	"strings"
	"time"

	"parsleyhatch/replica"
)

// candidates are the ids of the upstreams of a request in the region that are up, in order.
func candidates(v *vm, r *request) []string {
	var ids []string
	for id := range v.region.servers {
		e := v.region.engines[id]
		if (e != nil) != (r.kind.service.Engine != nil) || e != nil && !e.up || slices.Contains(r.tried, id) {
			continue
		}
		ids = append(ids, id)
	}
	slices.SortFunc(ids, strings.Compare)
	return ids
}

// baselineTarget counts the request at its VM. The other VMs get it by the same reports as in the product.
func (v *vm) baselineTarget(id string) target {
	v.outstanding[id]++
	return target{
		id:      id,
		onFirst: func() {},
		onEvent: func(time.Duration) {},
		onEnd:   func(replica.Result) { v.outstanding[id]-- },
	}
}

// known is the number of requests at an upstream that a VM knows of.
func (v *vm) known(id string) int {
	n := v.outstanding[id]
	for _, peer := range v.peers {
		n += peer[id]
	}
	return n
}

func roundRobin(_ *world, v *vm, r *request) (target, bool) {
	ids := candidates(v, r)
	if len(ids) == 0 {
		return target{}, false
	}
	v.turn++
	return v.baselineTarget(ids[v.turn%len(ids)]), true
}

func randomOfTwo(w *world, v *vm, r *request) (target, bool) {
	ids := candidates(v, r)
	if len(ids) == 0 {
		return target{}, false
	}
	a, b := ids[w.noise.IntN(len(ids))], ids[w.noise.IntN(len(ids))]
	if v.known(b) < v.known(a) {
		a = b
	}
	return v.baselineTarget(a), true
}

func leastOutstanding(w *world, v *vm, r *request) (target, bool) {
	ids := candidates(v, r)
	if len(ids) == 0 {
		return target{}, false
	}
	start := w.noise.IntN(len(ids))
	best := ids[start]
	for i := range ids {
		if id := ids[(start+i)%len(ids)]; v.known(id) < v.known(best) {
			best = id
		}
	}
	return v.baselineTarget(best), true
}
