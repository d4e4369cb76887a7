package faultyupstream

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
	// MaxWaiting is the number of requests that wait at an upstream for a slot.
	MaxWaiting = 4
	// slotPollInterval is the interval at which a waiting request looks for a slot.
	slotPollInterval = 2 * time.Millisecond
	// refusalWindow is the time in which a brittle upstream bears a number of refusals.
	refusalWindow = time.Second
)

// Room is the room for requests at an upstream. A brittle one crashes when it refuses too many of them.
type Room struct {
	// Slots is the number of requests that run at once, zero for all, and Queue the number of those that wait for a slot.
	Slots, Queue int
	// Inside is the number of requests that run or wait, and running that of those that run.
	Inside, running atomic.Int64
	// crashes is the number of times that the upstream has crashed.
	crashes atomic.Int64
	// OnCrash is called when the upstream crashes, with the VM of each refused request.
	OnCrash func(refused []string)

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
func (r *Room) enter(ctx context.Context, vm string) bool {
	if inside := r.Inside.Add(1); r.Slots > 0 && inside > int64(r.Slots+r.waiting()) {
		r.Inside.Add(-1)
		r.refuse(time.Now(), vm)
		return false
	}
	for r.running.Add(1) > int64(r.Slots) && r.Slots > 0 {
		r.running.Add(-1)
		time.Sleep(slotPollInterval)
		if ctx.Err() != nil {
			r.Inside.Add(-1)
			return false
		}
	}
	return true
}

// leave frees the slot of a request.
func (r *Room) leave() {
	r.running.Add(-1)
	r.Inside.Add(-1)
}

// waiting returns the number of requests that may wait.
func (r *Room) waiting() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.nothingWaits {
		return 0
	}
	return r.Queue
}

// refuse counts a refusal. A brittle upstream crashes when it is one too many.
func (r *Room) refuse(now time.Time, vm string) {
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
	r.OnCrash(refused)
}

// Recover ends a crash.
func (r *Room) Recover() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashed = false
}

// SetBrittle sets the number of refusals that the upstream bears, zero if it bears any number.
func (r *Room) SetBrittle(maxRefusals int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.maxRefusals, r.nothingWaits, r.refusals = maxRefusals, false, nil
}

// LetNothingWait ends the waiting of requests for a slot while the upstream is brittle.
func (r *Room) LetNothingWait() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nothingWaits = r.maxRefusals > 0
}

// announce says in an answer that the upstream is brittle.
func (r *Room) announce(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.maxRefusals > 0 {
		w.Header().Set(platform.HeaderBrittle, strconv.Itoa(r.maxRefusals))
	}
}
