package soak

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"parsleyhatch/platform"
)

const (
	// maxWaiting is the number of requests that wait at an upstream for a slot.
	maxWaiting = 4
	// slotPollInterval is the interval at which a waiting request looks for a slot.
	slotPollInterval = 2 * time.Millisecond
	// refusalWindow is the time in which a brittle upstream bears a number of refusals.
	refusalWindow = time.Second
)

// room is the room for requests at an upstream. A brittle one crashes when it refuses too many of them.
type room struct {
	// slots is the number of requests that run at once, zero for all, and queue the number of those that wait for a slot.
	slots, queue int
	// inside is the number of requests that run or wait, and running that of those that run.
	inside, running atomic.Int64
	// crashes is the number of times that the upstream has crashed.
	crashes atomic.Int64
	// onCrash is called when the upstream crashes, with the VM of each refused request.
	onCrash func(refused []string)

	mu sync.Mutex
	// maxRefusals is the number of refusals in refusalWindow that a brittle upstream bears, zero if it is not brittle.
	maxRefusals int
	// nothingWaits means that all requests are refused that get no slot at once.
	nothingWaits bool
	crashed      bool
	refusals     []refusal
}

// refusal is the refusal of a request of a VM for want of room.
type refusal struct {
	vm string
	at time.Time
}

// enter waits for a slot. It returns false if the request is refused or has ended meanwhile.
func (r *room) enter(ctx context.Context, vm string) bool {
	if inside := r.inside.Add(1); r.slots > 0 && inside > int64(r.slots+r.waiting()) {
		r.inside.Add(-1)
		r.refuse(time.Now(), vm)
		return false
	}
	for r.running.Add(1) > int64(r.slots) && r.slots > 0 {
		r.running.Add(-1)
		time.Sleep(slotPollInterval)
		if ctx.Err() != nil {
			r.inside.Add(-1)
			return false
		}
	}
	return true
}

// leave frees the slot of a request.
func (r *room) leave() {
	r.running.Add(-1)
	r.inside.Add(-1)
}

// waiting returns the number of requests that may wait.
func (r *room) waiting() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.nothingWaits {
		return 0
	}
	return r.queue
}

// refuse counts a refusal. A brittle upstream crashes when it is one too many.
func (r *room) refuse(now time.Time, vm string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.maxRefusals == 0 || r.crashed {
		return
	}
	r.refusals = slices.DeleteFunc(r.refusals, func(x refusal) bool { return now.Sub(x.at) > refusalWindow })
	r.refusals = append(r.refusals, refusal{vm: vm, at: now})
	if len(r.refusals) <= r.maxRefusals {
		return
	}
	var refused []string
	for _, x := range r.refusals {
		refused = append(refused, x.vm)
	}
	r.refusals, r.crashed = nil, true
	r.crashes.Add(1)
	r.onCrash(refused)
}

// recover ends a crash.
func (r *room) recover() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashed = false
}

// setBrittle sets the number of refusals that the upstream bears, zero if it bears any number.
func (r *room) setBrittle(maxRefusals int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.maxRefusals, r.nothingWaits, r.refusals = maxRefusals, false, nil
}

// letNothingWait ends the waiting of requests for a slot while the upstream is brittle.
func (r *room) letNothingWait() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nothingWaits = r.maxRefusals > 0
}

// announce says in an answer that the upstream is brittle.
func (r *room) announce(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.maxRefusals > 0 {
		w.Header().Set(platform.HeaderBrittle, strconv.Itoa(r.maxRefusals))
	}
}
