package poison

import (
	"time"

	"parsleyhatch/vmwire"
)

const (
	// maxReportParts is the largest number of parts of a crash that is merged.
	maxReportParts = 256
	// maxReportEntries is the number of entries of one exported report. It keeps the report well below the size of a frame.
	maxReportEntries = 500
)

// Merge applies a report of another VM. changed holds the entries that changed this table. reply is a report for the
// sender with completions that it may not know, or nil.
func (t *Parts) Merge(now time.Time, m *vmwire.PartReport) (changed, reply *vmwire.PartReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed, reply = &vmwire.PartReport{}, &vmwire.PartReport{Reply: true}
	for _, a := range m.Answers {
		l := Lifetime{Upstream: a.Upstream, Born: a.Born}
		if at, ok := t.timeOf(now, a.Age); ok && t.addAnswer(now, l, at) {
			changed.Answers = append(changed.Answers, a)
		}
	}
	for _, c := range m.Completions {
		p := Part{Service: c.Service, ID: c.Part}
		if at, ok := t.timeOf(now, c.Age); ok && t.addCompletion(now, p, at) {
			changed.Completions = append(changed.Completions, c)
		}
	}
	for _, c := range m.Crashes {
		at, ok := t.timeOf(now, c.Age)
		if !ok || len(c.Parts) > maxReportParts {
			continue
		}
		t.mergeCrash(now, at, c, changed, reply)
	}
	if len(changed.Answers)+len(changed.Completions)+len(changed.Crashes) == 0 {
		changed = nil
	}
	if len(reply.Completions)+len(reply.Answers) == 0 {
		reply = nil
	}
	return changed, reply
}

// mergeCrash adds a crash that happened at a time, and adds to the reports what follows from it.
func (t *Parts) mergeCrash(now, at time.Time, c vmwire.PartCrash, changed, reply *vmwire.PartReport) {
	l := Lifetime{Upstream: c.Upstream, Born: c.Born}
	added := vmwire.PartCrash{Service: c.Service, Upstream: c.Upstream, Born: c.Born, Age: c.Age}
	for _, id := range c.Parts {
		p := Part{Service: c.Service, ID: id}
		if t.addCrash(now, p, l, at) {
			added.Parts = append(added.Parts, id)
		}
		if completed := t.completions.get(p); completed != nil && t.announce(p) {
			reply.Completions = append(reply.Completions, t.completionMessage(now, p, completed.at))
		}
	}
	if known := t.lifetimes[l]; known != nil && !at.After(known.answeredAt) {
		reply.Answers = append(reply.Answers, t.answerMessage(now, l, known.answeredAt))
	}
	if len(added.Parts) > 0 {
		changed.Crashes = append(changed.Crashes, added)
	}
}

// timeOf returns the time of an event of an age, and whether the event still counts.
func (t *Parts) timeOf(now time.Time, age vmwire.Age) (time.Time, bool) {
	return now.Add(-age.Duration()), age.Duration() < t.limits.Lifetime
}

// Export returns all that is known about suspected parts, for a VM with which a session has opened.
func (t *Parts) Export(now time.Time) []*vmwire.PartReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropExpired(now)
	var list []*vmwire.PartReport
	report, entries := &vmwire.PartReport{}, 0
	next := func() {
		if entries++; entries >= maxReportEntries {
			list = append(list, report)
			report, entries = &vmwire.PartReport{}, 0
		}
	}
	for l, known := range t.lifetimes {
		if !known.answeredAt.IsZero() {
			report.Answers = append(report.Answers, t.answerMessage(now, l, known.answeredAt))
			next()
		}
	}
	for p, e := range t.entries {
		if !e.clearedAt.IsZero() {
			report.Completions = append(report.Completions, t.completionMessage(now, p, e.clearedAt))
			next()
		}
		for l, at := range e.crashes {
			report.Crashes = append(report.Crashes, vmwire.PartCrash{
				Service: p.Service, Upstream: l.Upstream, Born: l.Born, Age: vmwire.AgeOf(now, at), Parts: []uint64{p.ID},
			})
			next()
		}
	}
	if entries > 0 {
		list = append(list, report)
	}
	return list
}

// completionMessage returns the message for a completion at a time.
func (t *Parts) completionMessage(now time.Time, p Part, at time.Time) vmwire.PartCompletion {
	return vmwire.PartCompletion{Service: p.Service, Part: p.ID, Age: vmwire.AgeOf(now, at)}
}

// answerMessage returns the message for an answer to a request that was sent at a time. Ages are rounded up, so that the
// answer does not discard a later crash.
func (t *Parts) answerMessage(now time.Time, l Lifetime, sentAt time.Time) vmwire.UpstreamAnswer {
	return vmwire.UpstreamAnswer{Upstream: l.Upstream, Born: l.Born, Age: vmwire.AgeOf(now, sentAt)}
}
