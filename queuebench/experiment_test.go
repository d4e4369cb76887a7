package queuebench

import "testing"

// Guards against a shipped draft share that serves drafts worse than none at all.
func TestOrderExperiment(t *testing.T) {
	list := policies()
	for seed := range uint64(2) {
		overload := mix{1.1, 0.015}
		plain, shipped := simulate(list[0], seed, overload), simulate(list[1], seed, overload)
		if shipped.draft > plain.draft {
			t.Errorf("seed %d: draft p99 %.1f s with the share, %.1f s without", seed, shipped.draft, plain.draft)
		}
	}
}
