package replica

import (
	"slices"
	"time"
)

// Exclusion is the reason why an upstream may not receive a request, empty if it may.
type Exclusion string

// Reasons why an upstream may not receive a request.
const (
	ExcludedDraining    Exclusion = "draining"
	ExcludedEvacuated   Exclusion = "in an evacuated failure domain"
	ExcludedLeaving     Exclusion = "leaving"
	ExcludedAttempted   Exclusion = "already attempted"
	ExcludedVersion     Exclusion = "of another or an uncertain version"
	ExcludedBackoff     Exclusion = "in backoff"
	ExcludedHeldBack    Exclusion = "held back by its Retry-After"
	ExcludedUnreachable Exclusion = "unreachable"
	ExcludedRateLimited Exclusion = "rate limited"
	ExcludedCold        Exclusion = "warming up and at this vm's share"
	ExcludedNoRoom      Exclusion = "full"
)

// eligible reports whether an upstream may receive the request now.
func (t *Table) eligible(now time.Time, r *upstreamState, q *Request) bool {
	return t.exclusion(now, r, q) == ""
}

// exclusion returns the first reason why an upstream may not receive the request now.
func (t *Table) exclusion(now time.Time, r *upstreamState, q *Request) Exclusion {
	switch {
	case r.Draining:
		return ExcludedDraining
	case t.evacuated[r.FailureDomain]:
		return ExcludedEvacuated
	case r.isLeaving():
		return ExcludedLeaving
	case slices.Contains(q.Attempted, r.ID), q.Only != "" && q.Only != r.ID:
		return ExcludedAttempted
	case q.VersionBound && (r.Version != q.Version || !q.ThroughOthers && r.isDoubted(now)):
		return ExcludedVersion
	case q.ThroughOthers:
		return ""
	default:
		return t.localExclusion(now, r, q)
	}
}

// localExclusion returns the reasons that concern only the requests that this VM sends itself.
func (t *Table) localExclusion(now time.Time, r *upstreamState, q *Request) Exclusion {
	switch {
	case now.Before(r.backoffUntil) && now.Add(q.ArrivesIn).Before(r.backoffUntil):
		return ExcludedBackoff
	case t.isHeldBack(now, r):
		return ExcludedHeldBack
	case !r.unreachableSince.IsZero():
		return ExcludedUnreachable
	case q.SkipLimited && r.rateLimit() != nil:
		return ExcludedRateLimited
	case q.Service.WarmUpRate > 0 && r.isCold(now) && !r.hasColdCapacity(now, t.coldQuota(r, q.Service)):
		return ExcludedCold
	case !q.IgnoreRoom && !t.hasRoom(now, r):
		return ExcludedNoRoom
	case !t.hasLimitCapacity(now, r):
		return ExcludedRateLimited
	default:
		return ""
	}
}

// isWithdrawn reports whether an upstream gets no new requests from any VM: it drains or leaves, or its failure domain is evacuated.
func (t *Table) isWithdrawn(r *upstreamState) bool {
	return r.Draining || t.evacuated[r.FailureDomain] || r.isLeaving()
}

// Exclusions returns the number of upstreams of the request's service that are excluded for each reason.
func (t *Table) Exclusions(now time.Time, q Request) map[Exclusion]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rebuildIndex()
	counts := map[Exclusion]int{}
	for _, r := range t.byService[q.Service.Name] {
		if reason := t.exclusion(now, r, &q); reason != "" {
			counts[reason]++
		}
	}
	return counts
}
