package soak

import (
	"slices"
	"time"

	"parsleyhatch/standin/faultyupstream"
)

// plannedWork is a stop or a reload of a VM.
type plannedWork struct {
	vm string
	// at is the time of the signal.
	at time.Time
	// stop means that the VM was told to end, otherwise it was told to reload its settings.
	stop bool
}

// lostBounds are the bounds of the rule that planned work loses no request.
type lostBounds struct {
	// grace is the time from SIGTERM to SIGKILL, and after it the time for which the rule holds on.
	grace, after time.Duration
	// reload is the time after a reload up to which requests count.
	reload time.Duration
	// early is the time after SIGTERM up to which a request need not end if its upstream works on it in the last sixth of grace.
	early time.Duration
}

// checkPlannedWork finds requests that were passed on to an upstream and ended without a complete response beside planned work
// of their VM. A request does not count
//   - if anything else was disturbed in the settle time before it or until its end, at any part of the system;
//   - if its deadline had passed;
//   - if its upstream broke off the response;
//   - if its last byte was sent at most early after SIGTERM and its upstream was at work on it in the last sixth of the grace
//     period.
func checkPlannedWork(h *history, b bounds, report reportFunc) {
	for id, req := range h.requests {
		got, ended := h.responses[id]
		executions := h.executions[id]
		if !ended || got.complete || len(executions) == 0 || !got.receivedAt.Before(req.sentAt.Add(req.deadline)) {
			continue
		}
		if h.brokeOff(id) || h.disturbedUnplanned(req.sentAt.Add(-b.settle), got.receivedAt) {
			continue
		}
		if w := h.plannedWorkBeside(req, got, b.lost); w != nil {
			report(id, "%s request, begun %v, sent %v and ended %v after the signal without a response: %s",
				req.kind, req.sentAt.Sub(w.at), got.sentWholeAt.Sub(w.at), got.receivedAt.Sub(w.at), got.err)
		}
	}
}

// plannedWorkBeside returns the first planned work of the VM of a request beside which the request ended, or nil if there is none or if a stop
// of the VM may cut the request.
func (h *history) plannedWorkBeside(req request, got response, b lostBounds) *plannedWork {
	var first *plannedWork
	for i, w := range h.planned {
		if w.vm != req.vm || !w.covers(req, got, b) {
			continue
		}
		if w.excuses(got, h.executions[req.id], b) {
			return nil
		}
		if first == nil {
			first = &h.planned[i]
		}
	}
	return first
}

// covers reports whether a request ended beside the planned work.
func (w plannedWork) covers(req request, got response, b lostBounds) bool {
	last := b.grace + b.after
	if !w.stop {
		last = b.reload
	}
	return got.receivedAt.After(w.at) && req.sentAt.Before(w.at.Add(last))
}

// excuses reports whether a stop may cut a request because its upstream was still at work on it.
func (w plannedWork) excuses(got response, executions []faultyupstream.Execution, b lostBounds) bool {
	if !w.stop || got.sentWholeAt.After(w.at.Add(b.early)) {
		return false
	}
	return slices.ContainsFunc(executions, func(e faultyupstream.Execution) bool {
		return e.EndedAt.IsZero() || e.EndedAt.After(w.at.Add(b.grace*5/6))
	})
}

// brokeOff reports whether an upstream broke off the response to a request.
func (h *history) brokeOff(id string) bool {
	return slices.ContainsFunc(h.executions[id], func(e faultyupstream.Execution) bool { return e.BrokeOff })
}

// disturbedUnplanned reports whether a fault that is not planned work disturbed any part between from and to.
func (h *history) disturbedUnplanned(from, to time.Time) bool {
	return slices.ContainsFunc(h.disturbances, func(d *disturbance) bool { return !d.planned && d.overlaps(from, to) })
}
