// Package contention decides whether an upstream has capacity for a stream while requests of different urgency compete for it. A stream must
// be expected to end before its deadline, and less urgent streams leave capacity for more urgent ones.
package contention

import "time"

// Limit names what keeps an upstream from taking a request now, empty if nothing does.
type Limit string

// Limits in the order in which they are checked.
const (
	None Limit = ""
	// End means that the stream would not end before its deadline.
	End Limit = "end"
	// Memory means that the rest of the engine's memory is kept for more urgent requests.
	Memory Limit = "memory"
	// Urgent means that more urgent requests are refused for lack of capacity.
	Urgent Limit = "urgent"
)

// yieldingMemoryShare is the part of an engine's memory that less urgent requests may fill. Beyond it the engine preempts running streams for
// urgent requests, and reads the prompts of the former again.
const yieldingMemoryShare = 0.85

// minOthersMemory is the share of an engine's memory that other requests must hold for the limit Memory to apply. A request that needs most of
// an engine's memory can therefore run at an engine that holds little else.
const minOthersMemory = 0.3

// yieldingRanks is the number of ranks by which a route must be below the most urgent one of its service to leave capacity for it. Routes
// of neighbouring ranks share the capacity, and engines order their requests. When long requests one rank below the short ones of their
// service were refused, the short ones were not served better.
const yieldingRanks = 2

// Yields reports whether routes of a rank leave capacity for those of the most urgent rank of their service.
func Yields(rank, mostUrgent int) bool { return rank >= mostUrgent+yieldingRanks }

// Request holds the properties of a stream on which the decision depends.
type Request struct {
	// LessUrgent is set if the stream leaves capacity for more urgent ones of its service.
	LessUrgent bool
	// Promised is set if the caller returns at its promised retry time, for which capacity has been scheduled.
	Promised bool
	// Pressure is the recent share of more urgent requests that were refused, see Pressure.Share.
	Pressure float64
	// Left is the time until the deadline, zero for none.
	Left time.Duration
	// Events is the expected number of events, zero for requests that are not checked.
	Events float64
}

// Upstream is the state of an upstream as the request would find it.
type Upstream struct {
	// First is the expected time to the first event, and Gap that between two events.
	First, Gap time.Duration
	// IdleFirst and IdleGap are the same without any other request. A stream that would end late even then is not refused because of others.
	IdleFirst, IdleGap time.Duration
	// Memory is the share of the memory that is in use with the request, and OthersMemory that of the others.
	Memory, OthersMemory float64
}

// maxStream bounds the expected time of a stream, so that a very large number of events does not overflow it.
const maxStream = time.Hour

// endsIn returns the expected time to the end of a stream.
func endsIn(events float64, first, gap time.Duration) time.Duration {
	return first + time.Duration(min(max(0, events-1)*float64(gap), float64(maxStream)))
}

// endMargin is the factor on the expected number of events of a stream that has to end before its deadline: requests that arrive later slow
// it down. On the day scale-1 of siriwat-vend-grown, the worth was 0.154 without it and 0.200 with it.
const endMargin = 1.3

// endsLate reports whether a stream would not end before its deadline because of other requests.
func endsLate(r Request, u Upstream) bool {
	return r.Left > 0 && endsIn(endMargin*r.Events, u.First, u.Gap) > r.Left && endsIn(r.Events, u.IdleFirst, u.IdleGap) <= r.Left
}

// Check returns the first limit that keeps an upstream from taking a stream.
func Check(r Request, u Upstream) Limit {
	switch {
	case endsLate(r, u):
		return End
	case !r.LessUrgent:
		return None
	case u.Memory > yieldingMemoryShare && u.OthersMemory > minOthersMemory:
		return Memory
	case r.Promised:
		return None
	case r.Pressure > maxPressure:
		return Urgent
	default:
		return None
	}
}
