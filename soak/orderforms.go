package soak

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"parsleyhatch/standin/workload"
)

// OrderForms counts the streams with each form of disorder. A stream may have several.
type OrderForms struct {
	// Missing counts streams in which an event is missing, and Repeated those in which one comes twice or goes back.
	Missing, Repeated int
	// Joined counts streams with events of two software versions, services or requests, and JoinedRuns those in which a run goes on that
	// did not begin after the last event that the caller had, or that follows another one in a stream that may not be resumed.
	Joined, JoinedRuns int
	// EndedEarly counts streams that end as complete before their last event.
	EndedEarly int
	// Partial counts streams with a part of an event before other events or before an end as complete.
	Partial int
}

// String describes the counts.
func (f OrderForms) String() string {
	return fmt.Sprintf("%d missing, %d repeated, %d joined, %d joined of two runs, %d ended early, %d partial",
		f.Missing, f.Repeated, f.Joined, f.JoinedRuns, f.EndedEarly, f.Partial)
}

func (f *OrderForms) add(g OrderForms) {
	f.Missing += g.Missing
	f.Repeated += g.Repeated
	f.Joined += g.Joined
	f.JoinedRuns += g.JoinedRuns
	f.EndedEarly += g.EndedEarly
	f.Partial += g.Partial
}

// orderForms returns the counts over all streams. The caller holds mu.
func (h *history) orderForms() OrderForms {
	var all OrderForms
	for id := range h.responses {
		all.add(h.orderFormsOf(id))
	}
	return all
}

// orderFormsOf returns the forms of disorder in the response to a request, each with the count 0 or 1.
func (h *history) orderFormsOf(id string) OrderForms {
	var f OrderForms
	sent, got := h.requests[id], h.responses[id]
	if !sent.kind.isStream() || got.status != 200 {
		return f
	}
	last := sent.lastEvent
	for _, n := range got.events {
		switch {
		case n > last+1:
			f.Missing = 1
		case n <= last:
			f.Repeated = 1
		}
		last = n
	}
	if got.complete && last < got.lastEvent {
		f.EndedEarly = 1
	}
	begun := h.responses[sent.resumes]
	if got.foreign > 0 || len(distinct(got.versions, begun.versions)) > 1 || len(distinct(got.services, begun.services)) > 1 {
		f.Joined = 1
	}
	if len(got.joinedRuns(sent.kind)) > 0 {
		f.JoinedRuns = 1
	}
	if got.parts > 0 {
		f.Partial = 1
	}
	return f
}

// distinct returns the different texts in two lists.
func distinct(a, b []string) []string {
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
}

func checkStreamRuns(h *history, _ bounds, report reportFunc) {
	for id, got := range h.responses {
		sent := h.requests[id]
		services := len(distinct(got.services, h.responses[sent.resumes].services))
		if !sent.kind.isStream() || got.foreign == 0 && got.parts == 0 && services <= 1 {
			continue
		}
		report(id, "%d events of other requests, events of %d services, %d parts of events%s", got.foreign, services, got.parts, describeExecutions(h.executions[id]))
	}
}

// eventReader reads the events of a response.
type eventReader struct {
	sent request
	load *load
	got  *response
	// lines are the lines of the event that is being read, without comments.
	lines []string
}

// readAll reads the events up to the end of the body. An event without its end was not received.
func (r *eventReader) readAll(body io.Reader) error {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		switch line := lines.Text(); {
		case line == "":
			r.finishEvent()
		case !strings.HasPrefix(line, ":"):
			r.lines = append(r.lines, line)
		}
	}
	if err := lines.Err(); err != nil {
		return err
	}
	if len(r.lines) > 0 {
		r.got.parts++ // It stands before an end as complete.
	}
	return nil
}

// finishEvent records the event that has been read and checks it.
func (r *eventReader) finishEvent() {
	if len(r.lines) == 0 {
		return
	}
	number, version, data := 0, "", ""
	var run workload.Run
	had := r.lastEvent()
	for _, line := range r.lines {
		name, value, _ := strings.Cut(line, ": ")
		switch name {
		case "id":
			n, err := strconv.Atoi(value)
			if err != nil {
				n = -1
			}
			number = n
			r.got.events = append(r.got.events, n)
		case "version":
			version = value
		case "run":
			run = workload.ParseRun(value)
		case "data":
			data = value
		}
	}
	run.Version = version
	complete := len(r.lines) == len(run.EventLines(0, &r.load.Shape)) && number != 0 && version != "" && run.Name != ""
	addOnce(&r.got.versions, version)
	addOnce(&r.got.services, run.Service)
	if complete {
		addOnce(&r.got.origins, originOf(run.Service, version))
	}
	r.recordRun(run, had)
	fits := data == r.load.EventData(r.sent.id, number)
	r.got.verified = r.got.verified && fits
	switch {
	case complete && run.Request != r.sent.id:
		r.got.foreign++
	case !complete || !fits:
		r.got.parts++
	}
	r.lines = nil
}

// addOnce adds a text to a list unless it is empty or in the list.
func addOnce(list *[]string, text string) {
	if text != "" && !slices.Contains(*list, text) {
		*list = append(*list, text)
	}
}
