package soak

import (
	"net/http"
	"slices"
	"time"
)

func checkWithdrawnKeys(h *history, b bounds, report reportFunc) {
	for id, executions := range h.executions {
		req := h.requests[id]
		withdrawnAt, ok := h.keyWithdrawnAt[req.key]
		if ok && req.sentAt.After(withdrawnAt.Add(b.revoke)) {
			report(id, "ran %d times, sent %v after its key was withdrawn", len(executions), req.sentAt.Sub(withdrawnAt))
		}
	}
}

// checkRollback finds requests that a VM handled as only an older version of the configuration allows, although it had obeyed a later one since
// its process last started or was frozen.
func checkRollback(h *history, b bounds, report reportFunc) {
	for old, added := range h.keySuccessors {
		newer, older := h.keyEffects(old, added)
		for _, req := range older {
			i := slices.IndexFunc(newer[req.vm], func(seen time.Time) bool {
				return req.sentAt.Sub(seen) > b.rollback && !h.disturbedBetween(seen, h.responses[req.id].receivedAt, partProcessOf(req.vm))
			})
			if i >= 0 {
				report(req.id, "vm %s obeyed the version that replaces key %s by %s, and an older one %v later", req.vm, old, added, req.sentAt.Sub(newer[req.vm][i]))
			}
		}
	}
}

// keyEffects returns the times at which each VM showed that it obeys the version of the configuration that replaces a key, and the requests
// that only an older version allows. A refusal of the old key shows nothing: the VM may not have had the version that added it.
func (h *history) keyEffects(old, added string) (newer map[string][]time.Time, older []request) {
	newer = map[string][]time.Time{}
	for id, req := range h.requests {
		got, executions := h.responses[id], h.executions[id]
		refused, ran := got.status == http.StatusUnauthorized, len(executions) > 0
		switch {
		case req.key == added && ran:
			newer[req.vm] = append(newer[req.vm], executions[0].StartedAt)
		case req.key == old && ran, req.key == added && refused && !h.withdrawnBefore(added, got.receivedAt):
			older = append(older, req)
		}
	}
	return newer, older
}

// withdrawnBefore reports whether a key was withdrawn before a time.
func (h *history) withdrawnBefore(key string, at time.Time) bool {
	withdrawnAt, ok := h.keyWithdrawnAt[key]
	return ok && withdrawnAt.Before(at)
}
