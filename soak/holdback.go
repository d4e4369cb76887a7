package soak

import (
	"time"
)

// holdBack is a refusal with which an upstream says that it wants nothing from a VM for a time.
type holdBack struct {
	upstreamAtVM
	// id is the id of the refused request.
	id     string
	at     time.Time
	wanted time.Duration
}

// checkHoldBacks counts the requests that reach an upstream from a VM while it wants nothing from it.
func checkHoldBacks(h *history, b bounds, report reportFunc) {
	arrivals := h.arrivalsByVM()
	for _, x := range h.holdBacks {
		end := x.at.Add(x.wanted)
		late := idsWithin(arrivals[x.upstreamAtVM], x.at.Add(b.holdBackAfter), end)
		if len(late) > b.holdBackRequests && !h.disturbedBetween(x.at, end, partProcessOf(x.vm), partLinksOf(x.vm), partLinkTo(x.upstream)) {
			report(x.id, "refused by upstream %s at %s with a Retry-After of %v; %d reached it from vm %s after %v and before its end: %q",
				x.upstream, x.at.Format(time.RFC3339Nano), x.wanted, len(late), x.vm, b.holdBackAfter, late)
		}
	}
}

// arrivalsByVM returns the requests of each VM that arrived at each upstream.
func (h *history) arrivalsByVM() map[upstreamAtVM][]arrival {
	arrivals := map[upstreamAtVM][]arrival{}
	for _, a := range h.arrivals {
		x := upstreamAtVM{a.upstream, a.vm}
		arrivals[x] = append(arrivals[x], a)
	}
	return arrivals
}

// idsWithin returns the ids of the requests that arrived after one time and up to another.
func idsWithin(arrivals []arrival, after, end time.Time) []string {
	var ids []string
	for _, a := range arrivals {
		if a.at.After(after) && !a.at.After(end) {
			ids = append(ids, a.id)
		}
	}
	return ids
}
