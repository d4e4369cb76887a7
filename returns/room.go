package returns

import "time"

const (
	// bucketLength is the unit of time of the schedule.
	bucketLength = 100 * time.Millisecond
	// bucketCount is the number of buckets of a service: 30 s, more than a third of the time that most routes allow.
	bucketCount = 300
	// maxSpan is the maximum number of buckets that one promise takes, so that a false Token-Usage header cannot fill the schedule.
	maxSpan = 50
	// rankCount is the number of ranks, of which 0 is the most urgent.
	rankCount = 3
	// rankMemory is the time for which a rank counts as competing after a caller of it was refused.
	rankMemory = 10 * time.Second
	// minLeft is the part of a bucket that must be left for another promise. A smaller one is a rounding error.
	minLeft = 0.01
	// maxOthersPart is the largest part of this VM's room that the promises of others take, so that false reports cannot take all.
	maxOthersPart = 0.5
)

// room is the capacity of one service at this VM, by the time at which promises are due.
type room struct {
	// perBucket is the cost that this VM may promise for each bucket.
	perBucket float64
	setAt     time.Time
	// first is the number of the earliest bucket, counted from the zero time of the clock. Bucket n is at index n modulo bucketCount.
	first   int64
	buckets [bucketCount]bucket
	// askedAt holds the latest time at which a caller of each rank asked for a promise.
	askedAt [rankCount]time.Time
}

// bucket holds the cost of the promises that are due in one bucket.
type bucket struct {
	// room is the cost that this VM may promise. It is fixed by the first promise: if it followed the room of the VM, which varies from
	// second to second, near buckets would be promised at its highest value, and to callers that ask again and again.
	room        float64
	own, others float64
}

func bucketOf(t time.Time) int64 { return t.UnixNano() / int64(bucketLength) }

func startOf(n int64) time.Time { return time.Unix(0, n*int64(bucketLength)) }

func (r *room) at(n int64) *bucket { return &r.buckets[n%bucketCount] }

// advance clears the buckets that have passed.
func (r *room) advance(now time.Time) {
	n := bucketOf(now)
	for passed := min(n-r.first, bucketCount); passed > 0; passed-- {
		*r.at(r.first) = bucket{}
		r.first++
	}
	r.first = max(r.first, n)
}

// book takes the earliest bucket with room that begins before the latest time, and returns its start. A cost that exceeds what is left
// there takes the room of the buckets that follow, too.
func (r *room) book(now time.Time, rank int, cost float64, latest time.Time, otherVMs int) (time.Time, bool) {
	portion := r.portion(now, min(max(rank, 0), rankCount-1))
	end := r.first + bucketCount
	n := max(bucketOf(now.Add(minDelay-1))+1, r.first)
	for n < end && r.left(n, portion, otherVMs) <= minLeft*r.perBucket {
		n++
	}
	start := startOf(n)
	if n >= end || !start.Before(latest) {
		return time.Time{}, false
	}
	for last := min(n+maxSpan, end); n < last && cost > 0; n++ {
		b := r.at(n)
		b.room = r.roomOf(b)
		taken := min(cost, max(0, r.left(n, portion, otherVMs)))
		b.own += taken
		cost -= taken
	}
	return start, true
}

// portion returns the part of each bucket that a rank may take: half of that of the next more urgent rank for which promises were asked
// within rankMemory. Urgent callers, which can wait least, so find early buckets with room, and no promise is withdrawn for them.
func (r *room) portion(now time.Time, rank int) float64 {
	r.askedAt[rank] = now
	portion := 1.0
	for _, askedAt := range r.askedAt[:rank] {
		if !askedAt.IsZero() && now.Sub(askedAt) <= rankMemory {
			portion /= 2
		}
	}
	return portion
}

// left returns the cost that may still be promised for a bucket. The other VMs are assumed to have the same room as this one: what they
// have promised beyond it on average reduces what this VM promises.
func (r *room) left(n int64, portion float64, otherVMs int) float64 {
	b := r.at(n)
	room, excess := r.roomOf(b), 0.0
	if otherVMs > 0 {
		excess = min(max(0, b.others/float64(otherVMs)-room), maxOthersPart*room)
	}
	return (room-excess)*portion - b.own
}

func (r *room) roomOf(b *bucket) float64 {
	if b.own > 0 {
		return b.room
	}
	return r.perBucket
}

// addOthers adds a promise of another VM. Its cost is spread over the time in which the caller may come, since the other VM's room per
// bucket is not known and the cost may exceed it.
func (r *room) addOthers(due time.Time, cost float64) {
	const spread = int64(lateTolerance / bucketLength)
	n := max(bucketOf(due), r.first)
	end := min(n+spread, r.first+bucketCount)
	for ; n < end; n++ {
		r.at(n).others += cost / float64(spread)
	}
}
