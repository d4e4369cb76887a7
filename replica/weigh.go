package replica

import (
	"cmp"
	"slices"
	"time"
)

// Weighed is an upstream with its estimate for a request, as Estimate compares it with others.
type Weighed struct {
	Pick
	Slots int
	// Excluded is the reason why the upstream may not receive the request now, empty if it may.
	Excluded Exclusion
	// Preferred is set for the upstream that receives the requests with the same shared parts.
	Preferred bool
	// OthersAge is the age of the oldest report of another VM that LoadInputs include. OthersKnown is set if there is one.
	OthersAge   time.Duration
	OthersKnown bool
}

// Weigh returns all upstreams of the request's service with the figures that Estimate compares now, the lowest cost first. Upstreams with a
// limit come after those without one, and upstreams that are excluded last.
func (t *Table) Weigh(now time.Time, q Request) []Weighed {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rebuildIndex()
	candidates := t.byService[q.Service.Name]
	c := t.newComparison(now, &q, candidates)
	list := make([]Weighed, 0, len(candidates))
	for _, r := range candidates {
		w := Weighed{Pick: r.pick(c.estimate(r)), Slots: r.Slots, Excluded: t.exclusion(now, r, &q), Preferred: r == c.preferred}
		w.Cold = r.isCold(now)
		w.OthersAge, w.OthersKnown = t.othersAge(now, r, c.collected)
		list = append(list, w)
	}
	slices.SortFunc(list, func(a, b Weighed) int {
		return cmp.Or(cmp.Compare(min(1, len(a.Excluded)), min(1, len(b.Excluded))), cmp.Compare(min(1, len(a.Limit)), min(1, len(b.Limit))),
			cmp.Compare(a.Cost, b.Cost), cmp.Compare(a.ID, b.ID))
	})
	return list
}

// othersAge returns the age of the oldest use of other VMs that totalUse includes, if there is one.
func (t *Table) othersAge(now time.Time, r *upstreamState, collected bool) (age time.Duration, known bool) {
	if collected {
		return now.Sub(t.sumsAt), true
	}
	for _, use := range r.peerUses {
		age = max(age, now.Sub(use.reportedAt))
	}
	return age, len(r.peerUses) > 0
}
