package soak

import (
	"fmt"
	"io"
	"strings"
	"time"
)

// joinCount counts the streams of callers that hold events of two services, or of two software versions of one, by whether the caller names
// the attempt that it resumes.
type joinCount struct{ services, versions int }

func (c joinCount) String() string {
	return fmt.Sprintf("%d with events of two services and %d of two versions", c.services, c.versions)
}

// countStreams describes the streams that callers resume: how many attempts bring something, and how many streams are joined of two.
func (h *history) countStreams(b bounds) string {
	var named, unnamed joinCount
	for _, attempts := range h.attemptsByStream() {
		count, origin := &unnamed, ""
		for _, r := range attempts {
			if r.resumes != "" {
				count = &named
			}
			for _, next := range h.responses[r.id].origins {
				if origin != "" && next != origin {
					count.add(origin, next)
				}
				origin = next
			}
		}
	}
	return fmt.Sprintf("%v; named: %v; without a name: %v", h.countResumptions(b), named, unnamed)
}

// add counts a change from one service and version to others.
func (c *joinCount) add(from, to string) {
	service, _, _ := strings.Cut(from, "/")
	if strings.HasPrefix(to, service+"/") {
		c.versions++
		return
	}
	c.services++
}

// describeResumptions writes a line for each attempt that resumes a stream.
func (h *history) describeResumptions(w io.Writer) {
	for _, attempts := range h.attemptsByStream() {
		origin := ""
		for i, r := range attempts {
			got := h.responses[r.id]
			if r.lastEvent > 0 {
				_, _ = fmt.Fprintf(w, "%s resumption %s of %s (serves: %v) after event %d, attempt %d, %s, at vm %s (disturbed: %v): status %d, %d events of %v, complete %v, %s%s\n",
					r.sentAt.Format(time.RFC3339Nano), r.id, origin, h.servesBetween(r.sentAt, got.receivedAt, origin), r.lastEvent, i, nameOfResumption(r), r.vm, h.disturbedBetween(r.sentAt, got.receivedAt, r.vm),
					got.status, len(got.events), got.origins, got.complete, got.err, describeExecutions(h.executions[r.id]))
			}
			if origin == "" && len(got.origins) > 0 {
				origin = got.origins[0]
			}
		}
	}
}
