package replica

import "time"

// affinityChoices is the number of upstreams that are tried for prompts with a shared part: the next one if those before have no room. The
// order is the same at all VMs, so that few upstreams process the part again.
const affinityChoices = 3

// affinityUpstream returns the upstream that receives requests with the same shared parts: the first one with room in the order of rendezvous
// hashing, so that all VMs of the region agree without exchanging messages. If none has, it is the first of all.
func (t *Table) affinityUpstream(now time.Time, candidates []*upstreamState, q *Request, hasRoom func(*upstreamState) bool) *upstreamState {
	key, ok := q.Prompt.AffinityPart(func(id uint64) bool {
		return t.partCounts.share(id) > popularityThreshold/float64(max(1, len(candidates)))
	})
	if !ok {
		return nil
	}
	choices := t.affinityOrder(now, candidates, q, key)
	for _, r := range choices {
		if r != nil && hasRoom(r) {
			return r
		}
	}
	return choices[0]
}

// affinityOrder returns the first upstreams in the order of rendezvous hashing for a key, and nil where there are fewer.
func (t *Table) affinityOrder(now time.Time, candidates []*upstreamState, q *Request, key uint64) (choices [affinityChoices]*upstreamState) {
	var weights [affinityChoices]uint64
	for _, r := range candidates {
		if t.isWithdrawn(r) || now.Before(r.backoffUntil) || t.isHeldBack(now, r) || !r.unreachableSince.IsZero() ||
			r.isCold(now) && q.Service.WarmUpRate > 0 || r.rateLimit() != nil {
			continue
		}
		weight := RendezvousWeight(key, r.ID)
		for i := range choices {
			if choices[i] == nil || weight > weights[i] {
				choices[i], r = r, choices[i]
				weights[i], weight = weight, weights[i]
			}
			if r == nil {
				break
			}
		}
	}
	return choices
}
