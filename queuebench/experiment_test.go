package queuebench

import "testing"

// Guards against a default draft share with which the p99 latency of drafts under overload is higher than without a
// share.
func TestDraftShareDoesNotRaiseDraftLatency(t *testing.T) {
	list := policies()
	for seed := range uint64(2) {
		overload := workload{1.1, 0.015}
		withoutShare, withShare := simulate(list[0], seed, overload), simulate(list[1], seed, overload)
		if withShare.draftLatency > withoutShare.draftLatency {
			t.Errorf("seed %d: draft p99 %.1f s with the share, %.1f s without", seed, withShare.draftLatency, withoutShare.draftLatency)
		}
	}
}
