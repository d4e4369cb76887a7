package soak

import (
	"cmp"
	"fmt"
	"slices"

	"parsleyhatch/standin/workload"
)

// runChange is the first event of a run after those of another one, or of none.
type runChange struct {
	from, to workload.Run
	// had is the last event that the caller had before.
	had int
}

// joins reports whether events of two runs are joined: the later run did not begin after the last event that the caller had, or the stream may
// not be resumed.
func (c *runChange) joins(kind requestKind) bool {
	return c.to.After != c.had || kind == kindUnresumable && c.had > 0
}

// String describes the change.
func (c *runChange) String() string {
	return fmt.Sprintf("run %s began after event %d, the caller had %d, of run %q", c.to.Name, c.to.After, c.had, c.from.Name)
}

// lastEvent returns the last event that the caller has.
func (r *eventReader) lastEvent() int {
	return cmp.Or(r.got.lastReceived(), r.sent.lastEvent)
}

// recordRun records the run of an event, before which the caller had another one, if the run has changed.
func (r *eventReader) recordRun(run workload.Run, had int) {
	if before := r.got.lastRun(r.sent); run.Name != "" && run.Name != before.Name {
		r.got.runChanges = append(r.got.runChanges, runChange{from: before, to: run, had: had})
	}
}

// lastRun returns the run of the last event that the caller has after an answer.
func (got *response) lastRun(sent request) workload.Run {
	if len(got.runChanges) == 0 {
		return sent.lastRun
	}
	return got.runChanges[len(got.runChanges)-1].to
}

// joinedRuns returns the changes at which events of two runs are joined.
func (got *response) joinedRuns(kind requestKind) []runChange {
	return slices.DeleteFunc(slices.Clone(got.runChanges), func(c runChange) bool { return !c.joins(kind) })
}

// checkRunChanges finds answers in which a run goes on that did not begin after the last event that the caller had, and streams that
// go on although they may not be resumed.
func checkRunChanges(h *history, _ bounds, report reportFunc) {
	for id, got := range h.responses {
		for _, c := range got.joinedRuns(h.requests[id].kind) {
			report(id, "%s", c.String()+describeExecutions(h.executions[id]))
		}
	}
}
