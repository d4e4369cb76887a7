package limit

import (
	"math"
	"slices"
	"time"
)

const (
	// tolerance allows for rounding errors of floating-point levels, in tokens.
	tolerance = 1e-6
	// maxSegments is the maximum number of segments of a bucket, which bounds its memory.
	maxSegments = 32
	// maxPriorShares is the maximum number of earlier shares that still limit a bucket.
	maxPriorShares = 8
)

// bucket is one workspace's share at this slot. All amounts are in tokens.
type bucket struct {
	// id changes when the bucket is emptied, so that open charges are no longer settled.
	id uint64
	// level is the number of available tokens. It is negative after requests used more than they were charged.
	level float64
	// reserved is capacity reserved for tokens requested from other slots.
	reserved float64
	// cap and rate are the share in effect, at most share and each of priorShares.
	cap, rate   float64
	share       Share
	priorShares []priorShare
	// accruedUntil is the authorised time of the table up to which the level includes accrual.
	accruedUntil time.Duration
	// lent is capacity that stays occupied for tokens given to other slots that have no capacity for them.
	lent []loan
	// borrowed are the tokens borrowed from other slots.
	borrowed        []loan
	pendingRequests []*pendingRequest
	// balanceRequestedAt is the time of the last request by Balance.
	balanceRequestedAt time.Time
	// seq is the number of the last charge. segments hold the maximum occupancy since each open charge.
	seq      uint64
	segments []segment
}

// priorShare is an earlier share that limits a bucket until a time.
type priorShare struct {
	rate, cap float64
	until     time.Time
}

// loan is a number of lent or borrowed tokens that expires. id is the ID of the request for them.
type loan struct {
	id     uint64
	tokens float64
	until  time.Time
}

// segment covers the time from charge seq to the first charge of the next segment.
type segment struct {
	seq uint64
	// openCharges is the number of unsettled charges that were made in the segment.
	openCharges int
	// highest is an upper bound of the bucket's occupancy during the segment.
	highest float64
}

// occupied returns the part of the cap that is in use. Its maximum since a charge limits how much a settlement
// gives back.
func (b *bucket) occupied() float64 { return b.level + b.reserved + b.lentTotal() }

func (b *bucket) lentTotal() float64 { return totalTokens(b.lent) }

// borrowedBy returns the tokens that requests borrowed and have not spent.
func (b *bucket) borrowedBy(requests []uint64) float64 {
	sum := 0.0
	for _, l := range b.borrowed {
		if slices.Contains(requests, l.id) {
			sum += l.tokens
		}
	}
	return sum
}

func totalTokens(loans []loan) float64 {
	sum := 0.0
	for _, l := range loans {
		sum += l.tokens
	}
	return sum
}

// expiring reports whether the bucket has anything that expires.
func (b *bucket) expiring() bool {
	return len(b.priorShares) > 0 || len(b.pendingRequests) > 0 || len(b.lent) > 0 || len(b.borrowed) > 0
}

// accrue adds the tokens of an authorised time span, up to the cap.
func (b *bucket) accrue(elapsed time.Duration) {
	room := math.Max(0, b.cap-b.occupied())
	b.level += math.Min(room, b.rate*elapsed.Seconds())
	b.recordOccupancy()
}

// recordOccupancy updates the maximum of the current segment. It must be called after each increase of the
// occupancy.
func (b *bucket) recordOccupancy() {
	if n := len(b.segments); n > 0 {
		b.segments[n-1].highest = math.Max(b.segments[n-1].highest, b.occupied())
	}
}

// setShare sets the share. The previous share limits the bucket for IncreaseDelay.
func (b *bucket) setShare(now time.Time, s Share) {
	if s.Rate != b.share.Rate || s.Burst != b.share.Burst {
		b.addPriorShare(priorShare{rate: b.share.Rate, cap: float64(b.share.Burst), until: now.Add(IncreaseDelay)})
	}
	b.share = s
	b.applyPriorShares(now)
}

// addPriorShare appends a prior share. If there are more than maxPriorShares, the two oldest are merged into one
// that is at least as strict.
func (b *bucket) addPriorShare(h priorShare) {
	b.priorShares = append(b.priorShares, h)
	if len(b.priorShares) <= maxPriorShares {
		return
	}
	b.priorShares[1].rate = math.Min(b.priorShares[0].rate, b.priorShares[1].rate)
	b.priorShares[1].cap = math.Min(b.priorShares[0].cap, b.priorShares[1].cap)
	b.priorShares = b.priorShares[1:]
}

// applyPriorShares computes the share in effect. The recorded maxima grow with the cap, since a settlement cannot
// give back capacity that did not exist at the time of the charge.
func (b *bucket) applyPriorShares(now time.Time) {
	for len(b.priorShares) > 0 && !b.priorShares[0].until.After(now) {
		b.priorShares = b.priorShares[1:]
	}
	if len(b.priorShares) == 0 {
		b.priorShares = nil
	}
	before := b.cap
	b.rate, b.cap = b.share.Rate, float64(b.share.Burst)
	for _, h := range b.priorShares {
		b.rate, b.cap = math.Min(b.rate, h.rate), math.Min(b.cap, h.cap)
	}
	for i := range b.segments {
		b.segments[i].highest += math.Max(0, b.cap-before)
	}
	b.level = math.Min(b.level, math.Max(0, b.cap-b.reserved-b.lentTotal()))
}

// expireLoans removes expired lent and borrowed tokens.
func (b *bucket) expireLoans(now time.Time) {
	b.lent = unexpired(b.lent, now)
	b.borrowed = unexpired(b.borrowed, now)
}

func unexpired(loans []loan, now time.Time) []loan {
	kept := loans[:0]
	for _, l := range loans {
		if l.until.After(now) && l.tokens > 0 {
			kept = append(kept, l)
		}
	}
	if len(kept) == 0 {
		return nil
	}
	return kept
}

// spendBorrowed uses the tokens that requests borrowed and returns the remainder, which must be taken from the level.
func (b *bucket) spendBorrowed(requests []uint64, tokens float64) float64 {
	for i := range b.borrowed {
		if !slices.Contains(requests, b.borrowed[i].id) {
			continue
		}
		part := math.Min(tokens, b.borrowed[i].tokens)
		b.borrowed[i].tokens -= part
		tokens -= part
	}
	return tokens
}

// refusal returns the decision for a request that lacks need tokens. The wait of a request above this slot's cap
// is computed from the accrual of all slots.
func (b *bucket) refusal(tokens int64, need float64) Decision {
	v := Decision{Missing: int64(math.Ceil(need - tolerance)), ExceedsBurst: tokens > b.share.TotalBurst}
	rate := b.rate
	if float64(tokens) > b.cap {
		rate = b.share.TotalRate
	}
	if rate > 0 {
		v.Wait = seconds(need / rate)
	}
	return v
}

// seconds converts a number of seconds to a duration, limited to 1e9 s to avoid overflow.
func seconds(s float64) time.Duration {
	return time.Duration(math.Min(s, 1e9) * float64(time.Second))
}

// openSegment starts a segment with a new charge.
func (b *bucket) openSegment(seq uint64) {
	b.segments = append(b.segments, segment{seq: seq, openCharges: 1, highest: b.occupied()})
	if len(b.segments) > maxSegments {
		b.mergeOneSegment()
	}
}

// mergeOneSegment merges the two adjacent segments for which the loss of precision is smallest. The merged segment
// has the earlier start and the larger maximum, so a settlement never gives back too much.
func (b *bucket) mergeOneSegment() {
	best, least := 0, math.Inf(1)
	suffix := math.Inf(-1)
	for i := len(b.segments) - 2; i >= 0; i-- {
		suffix = math.Max(suffix, b.segments[i+1].highest)
		if lost := math.Max(0, b.segments[i].highest-suffix); lost < least {
			best, least = i, lost
		}
	}
	b.mergeWithNext(best)
}

// mergeWithNext merges segment i with the next one.
func (b *bucket) mergeWithNext(i int) {
	next := b.segments[i+1]
	b.segments[i].openCharges += next.openCharges
	b.segments[i].highest = math.Max(b.segments[i].highest, next.highest)
	b.segments = append(b.segments[:i+1], b.segments[i+2:]...)
}

// settle gives back the unused tokens of charge seq. In each segment since the charge, an ideal bucket would have
// been higher by the part of the unused tokens that fits below the cap, and this part never grows again in a later
// segment. The maxima grow by the same amount, so that later settlements see the occupancy of the ideal bucket.
func (b *bucket) settle(seq uint64, unused float64) {
	if unused < 0 {
		b.level += unused
	}
	at := len(b.segments) - 1
	for at > 0 && b.segments[at].seq > seq {
		at--
	}
	if at < 0 {
		return
	}
	gain := math.Max(0, unused)
	highest := math.Inf(-1)
	for i := at; i < len(b.segments); i++ {
		highest = math.Max(highest, b.segments[i].highest)
		gain = math.Max(0, math.Min(gain, b.cap-highest))
		b.segments[i].highest += gain
	}
	b.level += gain
	b.closeCharge(at)
}

// closeCharge removes a settled charge from its segment, and removes the segment if it has no other open charge.
func (b *bucket) closeCharge(at int) {
	b.segments[at].openCharges--
	if b.segments[at].openCharges > 0 {
		return
	}
	if at == 0 {
		b.segments = append(b.segments[:0], b.segments[1:]...)
		return
	}
	b.mergeWithNext(at - 1)
}
