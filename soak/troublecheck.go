package soak

import (
	"fmt"
	"slices"
	"time"
)

const (
	// goneSettle is the time after a caller has left from which its request may not reach an upstream, and goneRequests the number of
	// requests that may nevertheless.
	goneSettle   = 500 * time.Millisecond
	goneRequests = 3
)

// lateBody is a body that an upstream has read to its end after it had refused the request.
type lateBody struct {
	id, upstream string
	// same means that the body is the one that the caller sent.
	same bool
	size int
}

// checkServices finds requests that ran at a service to which no configuration led their route.
func checkServices(h *history, b bounds, report reportFunc) {
	for id, executions := range h.executions {
		for _, e := range executions {
			at, known := h.services[e.Upstream]
			if known && !slices.Contains(h.servicesOf(h.requests[id].kind, b), at) {
				report(id, "%s request ran at upstream %s of service %s", h.requests[id].kind, e.Upstream, at)
			}
		}
	}
}

// servicesOf returns the services to which a configuration led the route of a kind of request.
func (h *history) servicesOf(kind requestKind, b bounds) []string {
	if kind != kindStream || len(h.splits) == 0 {
		return []string{b.routes[kind].service}
	}
	var services []string
	for _, s := range h.splits {
		for _, target := range s.split {
			services = append(services, target.Service)
		}
	}
	return services
}

// checkLateBodies finds requests whose upstream got other bytes where the rest of the body was due.
func checkLateBodies(h *history, _ bounds, report reportFunc) {
	for _, b := range h.lateBodies {
		if !b.same {
			report(b.id, "upstream %s read %d other bytes as the body after it had refused the request", b.upstream, b.size)
		}
	}
}

// checkGone counts the requests that reach an upstream later than goneSettle after their callers have left, from VMs that are not disturbed.
func checkGone(h *history, b bounds, report reportFunc) {
	var late []string
	for _, a := range h.arrivals {
		got, req := h.responses[a.id], h.requests[a.id]
		if !got.abandoned || !a.at.After(got.receivedAt.Add(goneSettle)) || h.disturbedBetween(got.receivedAt.Add(-b.settle), a.at, req.vm, a.vm) {
			continue
		}
		late = append(late, fmt.Sprintf("%s from vm %s after %v", a.id, a.vm, a.at.Sub(got.receivedAt)))
	}
	if len(late) <= goneRequests {
		return
	}
	report("many", "%d reached an upstream later than %v after their callers had left: %q", len(late), goneSettle, late)
}
