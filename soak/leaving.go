package soak

import "time"

// upstreamAtVM is an upstream as one VM knows it.
type upstreamAtVM struct{ upstream, vm string }

// checkLeaving finds requests that reach a leaving upstream from a VM that has passed on an answer which says so, unless the VM was
// restarted or frozen since.
func checkLeaving(h *history, b bounds, report reportFunc) {
	passedOn := h.leavingPassedOn()
	for _, a := range h.arrivals {
		since, ok := passedOn[upstreamAtVM{a.upstream, a.vm}]
		req, known := h.requests[a.id]
		if !ok || !known || !req.sentAt.After(since.Add(b.drain)) || h.disturbedBetween(since, a.at, partProcessOf(a.vm)) {
			continue
		}
		report(a.id, "sent %v after vm %s had passed on that upstream %s leaves, and reached it from there", req.sentAt.Sub(since), a.vm, a.upstream)
	}
}

// leavingPassedOn returns the time at which each VM first had passed on an answer which says that an upstream leaves.
func (h *history) leavingPassedOn() map[upstreamAtVM]time.Time {
	first := map[upstreamAtVM]time.Time{}
	for id, executions := range h.executions {
		e, got := executions[len(executions)-1], h.responses[id]
		if !e.Leaving || !got.verified || !got.complete {
			continue
		}
		for _, vm := range []string{e.VM, h.requests[id].vm} {
			x := upstreamAtVM{e.Upstream, vm}
			if at, ok := first[x]; !ok || got.receivedAt.Before(at) {
				first[x] = got.receivedAt
			}
		}
	}
	return first
}
