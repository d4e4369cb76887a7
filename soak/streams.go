package soak

import (
	"cmp"
	"fmt"

	"parsleyhatch/standin/faultyupstream"
)

func checkStreamEvents(h *history, _ bounds, report reportFunc) {
	for id, r := range h.responses {
		if !h.requests[id].kind.isStream() || r.status != 200 {
			continue
		}
		switch disorder := firstDisorder(h.requests[id].lastEvent, r.events); {
		case disorder != "":
			report(id, "%s%s", disorder, describeExecutions(h.executions[id]))
		case r.complete && h.requests[id].lastEvent+len(r.events) != r.lastEvent:
			report(id, "ends as complete after %d of %d events%s", h.requests[id].lastEvent+len(r.events), r.lastEvent, describeExecutions(h.executions[id]))
		}
	}
}

// firstDisorder describes the first event that does not follow the one before it, empty if the events are those after a last one.
func firstDisorder(last int, events []int) string {
	for _, n := range events {
		if n != last+1 {
			return fmt.Sprintf("event %d after %d", n, last)
		}
		last = n
	}
	return ""
}

// describeExecutions names the runs of a stream, with the event after which they began and their faults.
func describeExecutions(executions []faultyupstream.Execution) string {
	text := ""
	for _, e := range executions {
		text += fmt.Sprintf(", %s", cmp.Or(e.Run, e.Upstream))
		if e.LastEvent != "" {
			text += " after " + e.LastEvent
		}
		if fault := e.Fault.String(); fault != "" {
			text += " " + fault
		}
		if e.Answer != "" {
			text += fmt.Sprintf(" (%s, broke off %v)", e.Answer, e.BrokeOff)
		}
	}
	return text
}

func checkStreamVersions(h *history, _ bounds, report reportFunc) {
	for id, r := range h.responses {
		resumes := h.requests[id].resumes
		if versions := distinct(r.versions, h.responses[resumes].versions); len(versions) > 1 {
			report(id, "events of versions %v, resumes %q", versions, resumes)
		}
	}
}
