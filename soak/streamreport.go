package soak

import (
	"fmt"
	"io"
	"time"
)

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
