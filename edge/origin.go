package edge

import (
	"context"
	"fmt"
	"sync"
	"time"

	"parsleyhatch/vm"
	"parsleyhatch/vmwire"
)

// runGrantTimeout bounds the wait for the permission to run a forwarded request once more. It exceeds a round trip between regions.
const runGrantTimeout = 500 * time.Millisecond

// origin is the VM that forwarded a request. A run beyond the first one needs its grant: if the session is lost, the origin counts all
// granted runs as made before it sends the request elsewhere. It charges them to its retry budget. The origin of a request that was not
// forwarded is nil: it allows all runs and pays for none. An origin is safe for concurrent use.
type origin struct {
	stream *vm.Stream
	// otherService is set if the origin may have chosen another service for the request, which it then charges for runs. It is set before
	// the first grant is asked for.
	otherService bool
	// replied is notified of each reply.
	replied chan struct{}

	mu sync.Mutex
	// granted is the number of runs that the origin has counted, and asked the number of runs it was last asked for.
	granted, asked int
	// denied is set once the origin has replied that no further run is allowed.
	denied bool
	// paid is the number of runs that the origin has charged to its retry budget and that are not used yet.
	paid int
}

// newOrigin returns the origin of a request that opened a stream. The origin has counted the given number of runs.
func newOrigin(st *vm.Stream, granted int) *origin {
	return &origin{stream: st, replied: make(chan struct{}, 1), granted: granted}
}

// loop receives the grants of the origin, and cancels the request when the origin has reset the stream.
func (o *origin) loop(ctx context.Context, cancel context.CancelCauseFunc) {
	for {
		body, end, err := o.stream.Recv(ctx)
		switch {
		case err != nil:
			cancel(err)
			return
		case end != nil:
			return
		}
		var g vmwire.RunGrant
		if _, err := g.UnmarshalMsg(body); err != nil {
			cancel(fmt.Errorf("receive run grant: %w", err))
			return
		}
		o.receive(int(g.Runs))
	}
}

// receive handles a grant. granted is the number of runs that the origin has granted in all.
func (o *origin) receive(granted int) {
	o.mu.Lock()
	o.paid += max(0, granted-o.granted)
	o.granted = max(o.granted, granted)
	o.denied = o.granted < o.asked
	o.mu.Unlock()
	select {
	case o.replied <- struct{}{}:
	default:
	}
}

// allows reports whether the request may run at that many upstreams in all. If the origin has not granted them, it asks and waits for
// the reply. Without an origin, all are allowed.
func (o *origin) allows(ctx context.Context, runs int) bool {
	if o == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, runGrantTimeout)
	defer cancel()
	for {
		granted, denied, ask := o.claim(runs)
		if granted || denied {
			return granted
		}
		if ask && o.stream.SendChunk(ctx, &vmwire.Chunk{RunRequest: int32(runs)}) != nil {
			return false
		}
		select {
		case <-o.replied:
		case <-ctx.Done():
			return false
		}
	}
}

// claim reports whether the runs are granted or denied. If neither is known and the origin has not been asked for them, the caller must
// ask: the runs count as asked for from then on.
func (o *origin) claim(runs int) (granted, denied, ask bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	granted = runs <= o.granted
	ask = !granted && !o.denied && o.asked < runs
	if ask {
		o.asked = runs
	}
	return granted, o.denied, ask
}

// pays reports whether the origin pays for the given run, or may do so when it is asked.
func (o *origin) pays(run int) bool {
	if o == nil || o.otherService {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.paid > 0 || run > o.granted && !o.denied
}

// usePaidRun reports whether the origin has paid for a run that is not used yet, and counts it as used.
func (o *origin) usePaidRun() bool {
	if o == nil || o.otherService {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.paid == 0 {
		return false
	}
	o.paid--
	return true
}

// returnPaidRun makes a run that usePaidRun has counted as used available again.
func (o *origin) returnPaidRun() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.paid++
}
