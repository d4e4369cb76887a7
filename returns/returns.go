// Package returns decides when a refused caller is to return, and recognises callers that return at their promised retry time. It
// performs no input or output, starts no goroutines and reads no clock.
package returns

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// minDelay is the shortest delay that is promised. After a shorter one the caller would return to the same load, and before the promise
	// was reported to the other VMs of a small region.
	minDelay = 400 * time.Millisecond
	// waitDivisor is the part of its remaining time that a client waits before it returns: a third.
	waitDivisor = 3
	// earlyTolerance and lateTolerance bound the time in which a caller returns as promised, before and after the due time.
	earlyTolerance = 100 * time.Millisecond
	lateTolerance  = time.Second
	// deadlineTolerance is how much later the deadline of a request may be than that of an earlier one for both to count as tries of the
	// same caller.
	deadlineTolerance = 200 * time.Millisecond
	// maxCost bounds the cost of one request, in tokens. Reports with a larger one are invalid.
	maxCost = 1 << 24
	// maxServices bounds the services, as Schedule names them, with a room, and maxServiceName the length of their names in reports, in bytes.
	maxServices    = 256
	maxServiceName = 256
)

// Caller identifies a request by a hash of its workspace, target and body.
type Caller uint64

// Promise is a promised return as reported to other VMs.
type Promise struct {
	Service string
	// Caller holds the low 32 bits of the caller.
	Caller uint32
	// Cost is the work of the request, in tokens.
	Cost int64
	// DueMillis is the time until the caller is due, in milliseconds.
	DueMillis int32
}

// Schedule holds the promised returns of one VM and those that the other VMs of its region have reported. The parameter service of its methods
// names the requests that share one capacity; VMs pass a service with the rank of a route. Schedule is safe for concurrent use.
type Schedule struct {
	// Random returns the jitter of a promise, from 0 to 1. It is called with the schedule locked.
	Random func() float64
	// OnEarly is called for each caller that returns before its promised time. It may be nil.
	OnEarly func()

	mu    sync.Mutex
	rooms map[string]*room
	kept  recent[entry]
	// denied holds the deadlines of callers whose request cannot be served before its deadline. They get no promise until then: those that
	// retry nevertheless would take the places of callers that wait as advised.
	denied recent[time.Time]
	// unreported lists the promises made since the latest report.
	unreported []key
	// reporters holds the time of the latest report of each other VM that has reported promises.
	reporters          map[string]time.Time
	reportersCheckedAt time.Time
}

// entry is a promise.
type entry struct {
	due  time.Time
	cost int64
	// consumed is set once the caller has returned. The entry remains, so that a repeated report does not renew the promise.
	consumed bool
}

// New returns a schedule without promises.
func New(now time.Time) *Schedule {
	return &Schedule{
		Random: rand.Float64, rooms: map[string]*room{}, kept: newRecent[entry](), denied: newRecent[time.Time](),
		reporters: map[string]time.Time{}, reportersCheckedAt: now,
	}
}

// Promise returns the time after which a refused caller is to return. It returns false if the request can't be promised a return that leaves
// it enough of the remaining time. A caller whose promise is not due yet gets the same time again.
func (s *Schedule) Promise(now time.Time, service string, rank int, c Caller, cost int64, remaining time.Duration) (after time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	latest := now.Add(remaining / waitDivisor)
	k := key{service: service, caller: uint32(c)}
	if e, found := s.kept.get(k); found && !e.consumed && e.due.After(now) {
		return e.due.Sub(now), !e.due.After(latest)
	}
	deadline := now.Add(remaining)
	if denied, found := s.denied.get(k); found && now.Before(denied) && !deadline.After(denied.Add(deadlineTolerance)) {
		return 0, false
	}
	e := entry{cost: min(max(cost, 1), maxCost)}
	if e.due, ok = s.book(now, service, rank, e.cost, latest); !ok {
		s.denied.put(k, deadline)
		return 0, false
	}
	s.kept.put(k, e)
	if len(s.unreported) < maxReported {
		s.unreported = append(s.unreported, k)
	}
	return e.due.Sub(now), true
}

// book reserves the cost of a request and returns the time at which its caller is due, not after latest.
func (s *Schedule) book(now time.Time, service string, rank int, cost int64, latest time.Time) (due time.Time, ok bool) {
	r := s.rooms[service]
	if r == nil {
		return time.Time{}, false
	}
	r.advance(now)
	start, ok := r.book(now, rank, float64(cost), latest, s.otherVMs(now))
	jitter := time.Duration(s.Random() * float64(min(bucketLength, latest.Sub(start))))
	return start.Add(jitter), ok
}

// Arrive reports whether a request returns at its promised retry time, and then consumes the promise. A request that comes earlier counts as new,
// and its promise stays.
func (s *Schedule) Arrive(now time.Time, service string, c Caller) (kept bool) {
	kept, early := s.arrive(now, key{service: service, caller: uint32(c)})
	if early && s.OnEarly != nil {
		s.OnEarly()
	}
	return kept
}

func (s *Schedule) arrive(now time.Time, k key) (kept, early bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, found := s.kept.get(k)
	switch {
	case !found || e.consumed || now.Sub(e.due) > lateTolerance:
		return false, false
	case e.due.Sub(now) > earlyTolerance:
		return false, true
	}
	e.consumed = true
	s.kept.update(k, e)
	return true, false
}

// SetRoom sets the cost that this VM may promise per second for a service: its portion of what the region serves.
func (s *Schedule) SetRoom(now time.Time, service string, costPerSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.rooms[service]
	if r == nil {
		if len(s.rooms) >= maxServices {
			s.dropOldestRoom()
		}
		r = &room{first: bucketOf(now)}
		s.rooms[service] = r
	}
	r.perBucket = max(0, costPerSecond) * bucketLength.Seconds()
	r.setAt = now
}

// dropOldestRoom removes the service whose room was set the longest time ago.
func (s *Schedule) dropOldestRoom() {
	oldest := ""
	for service, r := range s.rooms {
		if oldest == "" || r.setAt.Before(s.rooms[oldest].setAt) {
			oldest = service
		}
	}
	delete(s.rooms, oldest)
}
