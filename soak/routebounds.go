package soak

import (
	"slices"
	"time"
)

// routeBounds are the bounds of the requests of a route.
type routeBounds struct {
	// maxAttempts is the number of upstreams that may run a request, and homes are the regions in which they are, all if it is empty.
	maxAttempts int
	homes       []string
	// service is the one that runs them while the route is not split.
	service string
}

// coldBounds bound the requests to an upstream in any second while it is cold.
type coldBounds struct {
	// duration is the time from its start for which an upstream is cold.
	duration time.Duration
	requests int
}

// coldStart is the start of an upstream that is cold for a time.
type coldStart struct {
	upstream, service string
	at                time.Time
}

func checkRuns(h *history, b bounds, report reportFunc) {
	for id, executions := range h.executions {
		var upstreams []string
		for _, e := range executions {
			addOnce(&upstreams, e.Upstream)
		}
		if most := b.routes[h.requests[id].kind].maxAttempts; len(upstreams) > most {
			report(id, "ran at %d upstreams, want %d at most", len(upstreams), most)
		}
	}
}

// checkHomes finds requests of a route with home regions that reach an upstream elsewhere.
func checkHomes(h *history, b bounds, report reportFunc) {
	for _, a := range h.arrivals {
		homes := b.routes[h.requests[a.id].kind].homes
		if region := h.regions[a.upstream]; len(homes) > 0 && !slices.Contains(homes, region) {
			report(a.id, "reached upstream %s in region %s, want one of %v", a.upstream, region, homes)
		}
	}
}

// checkCold counts the requests that reach each cold upstream in a second.
func checkCold(h *history, b bounds, report reportFunc) {
	for _, c := range h.coldStarts {
		cold, ok := b.cold[c.service]
		if !ok {
			continue
		}
		arrivals := slices.DeleteFunc(slices.Clone(h.arrivals), func(a arrival) bool {
			return a.upstream != c.upstream || a.at.After(c.at.Add(cold.duration))
		})
		if most := mostInWindow(arrivals, c.at, time.Second); most > cold.requests {
			report("many", "%d reached cold upstream %s in a second, allowed %d", most, c.upstream, cold.requests)
		}
	}
}
