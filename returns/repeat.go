package returns

import (
	"sync"
	"time"
)

// maxRepeated is the maximum number of promises in a repeated report: receivers ignore those beyond it.
const maxRepeated = maxReported

// repeatMargin shortens the time for which a promise is repeated, so that a tick slightly before the end of a round does not start another one.
// Receivers ignore repetitions.
const repeatMargin = 50 * time.Millisecond

// Repeater repeats the promises of a schedule in the reports of one round. In a large region, each report is sent to a part of the VMs only,
// and a round is the time until all have received one. The zero value is empty. It is safe for concurrent use.
type Repeater struct {
	mu       sync.Mutex
	repeated []repeatedPromise
}

// repeatedPromise is a promise in the reports of the current round.
type repeatedPromise struct {
	Promise
	due        time.Time
	reportedAt time.Time
}

// Report returns the promises that the schedule has made since the latest report, and those first reported less than a round ago. Promises
// that are due are left out. There are at most 64; those beyond are never reported.
func (r *Repeater) Report(now time.Time, s *Schedule, round time.Duration) []Promise {
	r.mu.Lock()
	defer r.mu.Unlock()
	kept := r.repeated[:0]
	for _, p := range r.repeated {
		if p.due.After(now) && now.Sub(p.reportedAt) < round-repeatMargin {
			kept = append(kept, p)
		}
	}
	r.repeated = kept
	for _, p := range s.Report(now) {
		if len(r.repeated) < maxRepeated {
			due := now.Add(time.Duration(p.DueMillis) * time.Millisecond)
			r.repeated = append(r.repeated, repeatedPromise{Promise: p, due: due, reportedAt: now})
		}
	}
	promises := make([]Promise, 0, len(r.repeated))
	for _, p := range r.repeated {
		p.DueMillis = int32(p.due.Sub(now).Milliseconds())
		promises = append(promises, p.Promise)
	}
	return promises
}
