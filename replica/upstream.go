// Package replica keeps the state of the upstreams of a region and chooses the one with the lowest expected
// time for a request.
package replica

import (
	"math"
	"slices"
	"time"

	"parsleyhatch/pace"
)

// Registration is an upstream as registered in the store.
type Registration struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	Slots         int
	Draining      bool
	// Version is the version of the upstream's software. Versions have no order.
	Version string
	// WarmUpLeft is the remaining warm-up time of the upstream at the time of the registration.
	WarmUpLeft time.Duration
	// Born is the start time of the upstream in Unix milliseconds. A different value means a new lifetime of
	// the upstream.
	Born int64
}

// RankCount is the number of urgency ranks. All lower urgencies share the last one.
const RankCount = 3

// Rank returns the urgency rank of a priority, from 0, the most urgent, to RankCount-1.
func Rank(priority int) int { return min(max(priority, 0), RankCount-1) }

// Use is the load of one VM at an upstream.
type Use struct {
	Running int
	// Prefill is the number of prompt tokens of requests without a first token, by rank.
	Prefill [RankCount]int64
	// Held is the number of tokens of all requests in the upstream's memory, without shared parts.
	Held int64
	// Longest is the longest prompt below the most urgent rank among those of Prefill, in tokens.
	Longest int64
	// Pace is what the VM has measured at the upstream. It is set in reports only.
	Pace pace.Report
}

func (u *Use) add(other Use) {
	u.Running += other.Running
	u.Held += other.Held
	u.Longest = max(u.Longest, other.Longest)
	for i := range u.Prefill {
		u.Prefill[i] += other.Prefill[i]
	}
}

func (u *Use) subtract(other Use) {
	u.Running -= other.Running
	u.Held -= other.Held
	for i := range u.Prefill {
		u.Prefill[i] -= other.Prefill[i]
	}
}

// ahead returns the number of prompt tokens that are processed before those of a request of the rank.
func (u *Use) ahead(rank int) int64 {
	var tokens int64
	for _, n := range u.Prefill[:rank+1] {
		tokens += n
	}
	return tokens
}

const (
	// peerUseTTL is the time for which the use reported by another VM counts. It allows for two lost full
	// reports.
	peerUseTTL = 3 * time.Second
	// cachedPartTTL is the time for which a sent part counts as cached at the upstream.
	cachedPartTTL = 30 * time.Second
	// maxCachedParts bounds the parts that are recorded for one upstream.
	maxCachedParts = 4096
	// coldWindow is the window in which requests to a cold upstream are counted. It is longer than the second
	// for which the upstream's bound holds, since the network delay of two requests may differ.
	coldWindow = 1100 * time.Millisecond
	// failureWeight is the weight of the latest result in the failure share.
	failureWeight = 0.2
	// failureHalfLife is the half-life of a failure share.
	failureHalfLife = 2 * time.Second
	// slownessWeight is the weight of the latest first token in the slowness.
	slownessWeight = 0.2
	// registrationDelay is the time from the start of an upstream until its registration is known to all VMs, or its earlier one
	// has expired.
	registrationDelay = 5 * time.Second
	// firstBackoff and maxBackoff bound the time without new requests after a failed connection.
	firstBackoff = 250 * time.Millisecond
	maxBackoff   = 2 * time.Second
)

// upstreamState is the registration of an upstream with its load and health.
type upstreamState struct {
	Registration
	localUse Use
	// reading holds the lengths of the prompts that are counted in localUse.Prefill below the most urgent rank.
	reading []int64
	// peerUses holds the use that other VMs reported, and othersUse the sum of it that a collector reported.
	peerUses  map[string]peerUse
	othersUse Use
	// pace is what this VM has measured, and othersPace what a collector reported at othersAt.
	pace       pace.Upstream
	othersPace pace.Report
	othersAt   time.Time
	// coldUntil is the end of the warm-up, and assumedColdUntil that of an upstream that may have started again. coldRequests are the times of recent requests during it.
	coldUntil        time.Time
	assumedColdUntil time.Time
	coldRequests     []time.Time
	// lastFailureShare is the share of failed requests at failuresUpdatedAt, from 0 to 1, weighted towards
	// recent results.
	lastFailureShare  float64
	failuresUpdatedAt time.Time
	// slowness is the ratio of measured to expected time to the first token.
	slowness float64
	// backoffUntil is the end of the backoff after failed connections, and backoff its length.
	backoffUntil time.Time
	backoff      time.Duration
	// unreachableSince is the time since which no connection could be opened, zero if the last attempt succeeded.
	unreachableSince time.Time
	// doubtedAt is the latest time at which the upstream was reachable again, so that it may have started again.
	doubtedAt time.Time
	// lossReportedAt is the time of the latest report between this VM and others that the upstream was not reachable.
	lossReportedAt time.Time
	// probeAt is the time of the next probe of an unreachable upstream, and probeDelay the time between the latest two.
	probeAt    time.Time
	probeDelay time.Duration
	// announced is what the upstream has announced in this lifetime, nil if it has announced nothing.
	announced *announcedLimits
	// hold is the time for which the upstream has asked this VM for no requests, nil if it never has.
	hold *hold
	// parts maps the ids of sent prompt parts to the time of their latest use.
	parts map[uint64]time.Time
}

type peerUse struct {
	Use
	reportedAt time.Time
}

func newUpstreamState(e Registration) *upstreamState {
	return &upstreamState{Registration: e, peerUses: map[string]peerUse{}, parts: map[uint64]time.Time{}, slowness: 1}
}

// beginReading adds a prompt that is to be processed, and endReading removes it.
func (r *upstreamState) beginReading(rank int, tokens int64) {
	r.localUse.Prefill[rank] += tokens
	if rank > 0 && tokens > 0 {
		r.reading = append(r.reading, tokens)
		r.localUse.Longest = max(r.localUse.Longest, tokens)
	}
}

func (r *upstreamState) endReading(rank int, tokens int64) {
	r.localUse.Prefill[rank] = max(0, r.localUse.Prefill[rank]-tokens)
	i := slices.Index(r.reading, tokens)
	if rank == 0 || i < 0 {
		return
	}
	r.reading = slices.Delete(r.reading, i, i+1)
	r.localUse.Longest = 0
	for _, n := range r.reading {
		r.localUse.Longest = max(r.localUse.Longest, n)
	}
}

// totalUse returns the sum of the use of all VMs. collected selects the sum of a collector for the other VMs.
func (r *upstreamState) totalUse(now time.Time, collected bool) Use {
	sum := r.localUse
	if collected {
		sum.add(r.othersUse)
		return sum
	}
	if len(r.peerUses) == 0 { // Spares the start of an iteration.
		return sum
	}
	for vm, use := range r.peerUses {
		if now.Sub(use.reportedAt) > peerUseTTL {
			delete(r.peerUses, vm)
			continue
		}
		sum.add(use.Use)
	}
	return sum
}

// figures returns how fast the upstream works, from the measurements of all VMs.
func (r *upstreamState) figures(now time.Time, s *pace.Service, collected bool) pace.Figures {
	var others pace.Report
	if collected {
		others.Merge(r.othersPace, now.Sub(r.othersAt))
		return r.pace.Figures(now, s, others)
	}
	for _, use := range r.peerUses {
		others.Merge(use.Pace, now.Sub(use.reportedAt))
	}
	return r.pace.Figures(now, s, others)
}

// isDoubted reports whether the upstream may have another software version than its registration says: it was not reachable, and may
// have started again.
func (r *upstreamState) isDoubted(now time.Time) bool {
	return now.Sub(r.doubtedAt) < registrationDelay
}

// IsDoubted reports whether a request that is sent to an upstream now may reach another process, with another software version, than its
// registration says.
func (t *Table) IsDoubted(now time.Time, id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.upstreams[id]
	return r != nil && (r.isDoubted(now) || !r.unreachableSince.IsZero())
}

// CertainVersion returns the software version of an upstream that was doubted. It reports false while it is, and once the upstream is not
// registered any more.
func (t *Table) CertainVersion(now time.Time, id string) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.upstreams[id]
	if r == nil || r.isDoubted(now) || !r.unreachableSince.IsZero() {
		return "", false
	}
	return r.Version, true
}

func (r *upstreamState) isCold(now time.Time) bool {
	return now.Before(r.coldUntil) || now.Before(r.assumedColdUntil)
}

// hasColdCapacity reports whether this VM may send another request to the cold upstream now.
func (r *upstreamState) hasColdCapacity(now time.Time, quota int) bool {
	kept := r.coldRequests[:0]
	for _, at := range r.coldRequests {
		if now.Sub(at) < coldWindow {
			kept = append(kept, at)
		}
	}
	r.coldRequests = kept
	return len(kept) < quota
}

// cachedTokens returns the number of tokens at the start of the prompt that the upstream has cached from
// requests of this VM.
func (r *upstreamState) cachedTokens(now time.Time, parts []Part) int64 {
	var tokens int64
	for _, p := range parts {
		used, ok := r.parts[p.ID]
		if !ok || now.Sub(used) > cachedPartTTL {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

func (r *upstreamState) recordParts(now time.Time, parts []Part) {
	if len(r.parts) > maxCachedParts {
		for id, used := range r.parts {
			if now.Sub(used) > cachedPartTTL {
				delete(r.parts, id)
			}
		}
	}
	if len(r.parts) > maxCachedParts {
		r.parts = map[uint64]time.Time{}
	}
	for _, p := range parts {
		r.parts[p.ID] = now
	}
}

// failureShare returns the share of failed requests. It decays, so that an upstream that receives no requests
// because of its failures is tried again.
func (r *upstreamState) failureShare(now time.Time) float64 {
	if r.lastFailureShare == 0 {
		return 0
	}
	return r.lastFailureShare * math.Exp2(-float64(now.Sub(r.failuresUpdatedAt))/float64(failureHalfLife))
}

func (r *upstreamState) setFailureShare(now time.Time, share float64) {
	r.lastFailureShare, r.failuresUpdatedAt = share, now
}

// startBackoff stops new requests after a failed connection, doubling the time on each failure.
func (r *upstreamState) startBackoff(now time.Time) {
	r.backoff = min(max(firstBackoff, 2*r.backoff), maxBackoff)
	r.backoffUntil = now.Add(r.backoff)
}
