package limit

import (
	"math"
	"time"
)

const (
	// tolerance covers the rounding of floating-point levels, in tokens.
	tolerance = 1e-6
	// maxSegments bounds the memory of the suffix maximum of a bucket.
	maxSegments = 32
	// maxHolds bounds the number of earlier shares that still limit a bucket.
	maxHolds = 8
)

// bucket is one workspace's share at this slot. All amounts are in tokens.
type bucket struct {
	// id changes when the bucket is emptied, which makes open charges void.
	id uint64
	// level is what may be charged. It is negative after more was used than charged.
	level float64
	// reserved is room for tokens asked of other slots.
	reserved float64
	// cap and rate are the share in force, at most target and each of holds.
	cap, rate float64
	target    Share
	holds     []hold
	// synced is the table's authorised time up to which the level has accrued.
	synced time.Duration
	// lent is room of tokens given to other slots without room of their own.
	lent []loan
	// loans are tokens borrowed from other slots.
	loans []loan
	asks  []*ask
	// balanced is when Balance last asked.
	balanced time.Time
	// seq numbers charges; segments hold the highest occupancy since each open charge.
	seq      uint64
	segments []segment
}

// hold limits a bucket to an earlier, smaller share until a time.
type hold struct {
	rate, cap float64
	until     time.Time
}

// loan is an amount that ends at a time. id is that of the request for it.
type loan struct {
	id     uint64
	tokens float64
	until  time.Time
}

// segment covers the time from charge seq to the charge of the next segment.
type segment struct {
	seq uint64
	// open is the number of unsettled charges made in the segment.
	open int
	// highest is an upper bound of the occupancy in the segment.
	highest float64
}

// occupied is the part of the cap that is in use. Settlement limits itself by its maximum.
func (b *bucket) occupied() float64 { return b.level + b.reserved + b.lentTotal() }

func (b *bucket) lentTotal() float64 { return total(b.lent) }

func (b *bucket) borrowed() float64 { return total(b.loans) }

func total(loans []loan) float64 {
	sum := 0.0
	for _, l := range loans {
		sum += l.tokens
	}
	return sum
}

// timed reports whether something in the bucket ends with time.
func (b *bucket) timed() bool {
	return len(b.holds) > 0 || len(b.asks) > 0 || len(b.lent) > 0 || len(b.loans) > 0
}

// accrue adds tokens for authorised time, up to the cap.
func (b *bucket) accrue(elapsed time.Duration) {
	room := math.Max(0, b.cap-b.occupied())
	b.level += math.Min(room, b.rate*elapsed.Seconds())
	b.observe()
}

// observe records the occupancy. It is called after each increase.
func (b *bucket) observe() {
	if n := len(b.segments); n > 0 {
		b.segments[n-1].highest = math.Max(b.segments[n-1].highest, b.occupied())
	}
}

// retarget sets the share. The previous one limits the bucket for IncreaseDelay.
func (b *bucket) retarget(now time.Time, s Share) {
	if s.Rate != b.target.Rate || s.Burst != b.target.Burst {
		b.addHold(hold{rate: b.target.Rate, cap: float64(b.target.Burst), until: now.Add(IncreaseDelay)})
	}
	b.target = s
	b.applyHolds(now)
}

// addHold appends a hold. When there are too many, the two oldest become one that is at least as
// strict.
func (b *bucket) addHold(h hold) {
	b.holds = append(b.holds, h)
	if len(b.holds) <= maxHolds {
		return
	}
	b.holds[1].rate = math.Min(b.holds[0].rate, b.holds[1].rate)
	b.holds[1].cap = math.Min(b.holds[0].cap, b.holds[1].cap)
	b.holds = b.holds[1:]
}

// applyHolds computes the share in force. The recorded maxima grow with the cap, since room that
// did not exist at the time of a charge cannot be given back by its settlement.
func (b *bucket) applyHolds(now time.Time) {
	for len(b.holds) > 0 && !b.holds[0].until.After(now) {
		b.holds = b.holds[1:]
	}
	if len(b.holds) == 0 {
		b.holds = nil
	}
	before := b.cap
	b.rate, b.cap = b.target.Rate, float64(b.target.Burst)
	for _, h := range b.holds {
		b.rate, b.cap = math.Min(b.rate, h.rate), math.Min(b.cap, h.cap)
	}
	for i := range b.segments {
		b.segments[i].highest += math.Max(0, b.cap-before)
	}
	b.level = math.Min(b.level, math.Max(0, b.cap-b.reserved-b.lentTotal()))
}

// expireLoans removes ended loans in both directions.
func (b *bucket) expireLoans(now time.Time) {
	b.lent = live(b.lent, now)
	b.loans = live(b.loans, now)
}

func live(loans []loan, now time.Time) []loan {
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

// useLoans uses borrowed tokens and returns the part that the level has to pay.
func (b *bucket) useLoans(tokens float64) float64 {
	for i := range b.loans {
		part := math.Min(tokens, b.loans[i].tokens)
		b.loans[i].tokens -= part
		tokens -= part
	}
	return tokens
}

// refusal describes a shortage. A request above this slot's cap waits for the accrual of all slots.
func (b *bucket) refusal(tokens int64, need float64) Verdict {
	v := Verdict{Missing: int64(math.Ceil(need - tolerance)), Never: tokens > b.target.TotalBurst}
	rate := b.rate
	if float64(tokens) > b.cap {
		rate = b.target.TotalRate
	}
	if rate > 0 {
		v.Wait = seconds(need / rate)
	}
	return v
}

// seconds converts without overflow.
func seconds(s float64) time.Duration {
	return time.Duration(math.Min(s, 1e9) * float64(time.Second))
}

// openSegment starts the segment of a new charge.
func (b *bucket) openSegment(seq uint64) {
	b.segments = append(b.segments, segment{seq: seq, open: 1, highest: b.occupied()})
	if len(b.segments) > maxSegments {
		b.mergeSegments()
	}
}

// mergeSegments joins the two neighbours whose maxima lose the least. The joined segment keeps
// the larger maximum from the earlier start, so a settlement gives back at most what it should.
func (b *bucket) mergeSegments() {
	best, least := 0, math.Inf(1)
	suffix := math.Inf(-1)
	for i := len(b.segments) - 2; i >= 0; i-- {
		suffix = math.Max(suffix, b.segments[i+1].highest)
		if lost := math.Max(0, b.segments[i].highest-suffix); lost < least {
			best, least = i, lost
		}
	}
	b.joinSegment(best)
}

// joinSegment joins segment i with the next one.
func (b *bucket) joinSegment(i int) {
	next := b.segments[i+1]
	b.segments[i].open += next.open
	b.segments[i].highest = math.Max(b.segments[i].highest, next.highest)
	b.segments = append(b.segments[:i+1], b.segments[i+2:]...)
}

// settle gives back unused tokens of charge seq. In each segment since the charge, an ideal bucket
// would have been higher by what still fitted below the cap, and that excess never grows again.
// The maxima grow with it, so that later settlements see the level that should have been.
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
	b.closeSegment(at)
}

// closeSegment counts a settled charge and removes a segment that no open charge starts in.
func (b *bucket) closeSegment(at int) {
	b.segments[at].open--
	if b.segments[at].open > 0 {
		return
	}
	if at == 0 {
		b.segments = append(b.segments[:0], b.segments[1:]...)
		return
	}
	b.joinSegment(at - 1)
}
