package policybench

import (
	"slices"

	"parsleyhatch/eventloop"
)

// cacheEvent says that an engine cached or evicted a prefix.
type cacheEvent struct {
	at     seconds
	prefix uint64
	held   bool
}

// engine is a replica with a bounded batch. Prefill stops decoding, as without chunked prefill.
type engine struct {
	name    string
	pool    *pool
	clock   *eventloop.Loop
	up      bool
	queue   []*attempt
	running []*attempt
	prefill *attempt
	last    seconds
	ends    seconds // End of the current prefill.
	gen     int
	busy    seconds // Counted after the warm-up.
	cache   []uint64
	events  []cacheEvent
	// reports are the loads sampled last; VMs see the oldest.
	reports [2]int64
}

func (e *engine) load() int64 {
	n := len(e.queue) + len(e.running)
	if e.prefill != nil {
		n++
	}
	return int64(n)
}

// submit adds an attempt, or reports false if the engine is down.
func (e *engine) submit(a *attempt) bool {
	if !e.up {
		return false
	}
	e.advance()
	e.queue = append(e.queue, a)
	e.proceed()
	return true
}

// cancel removes an attempt.
func (e *engine) cancel(a *attempt) {
	e.advance()
	same := func(x *attempt) bool { return x == a }
	e.queue = slices.DeleteFunc(e.queue, same)
	e.running = slices.DeleteFunc(e.running, same)
	if e.prefill == a {
		e.prefill = nil
	}
	e.proceed()
}

// crash stops the engine with empty caches and returns what ran there.
func (e *engine) crash() []*attempt {
	e.advance()
	lost := append(slices.Clone(e.running), e.queue...)
	if e.prefill != nil {
		lost = append(lost, e.prefill)
	}
	e.up, e.queue, e.running, e.prefill, e.cache = false, nil, nil, nil, nil
	e.gen++
	return lost
}

func (e *engine) step() seconds {
	return e.pool.stepBase + e.pool.stepSlope*float64(len(e.running))
}

// advance applies the time since the last change.
func (e *engine) advance() {
	dt := e.clock.Now - e.last
	if e.prefill != nil || len(e.running) > 0 {
		e.busy += max(0, e.clock.Now-max(e.last, warmTime))
	}
	if e.prefill == nil && len(e.running) > 0 {
		tokens := dt / e.step()
		for _, a := range e.running {
			a.left -= tokens
		}
	}
	e.last = e.clock.Now
}

// proceed ends what is complete, starts the next prefill and schedules the next change.
func (e *engine) proceed() {
	const done = 1e-6
	if a := e.prefill; a != nil && e.clock.Now >= e.ends-done {
		e.prefill = nil
		e.remember(a.request.prefix)
		e.running = append(e.running, a)
		a.firstToken()
	}
	if e.prefill == nil {
		e.running = slices.DeleteFunc(e.running, func(a *attempt) bool {
			if a.left <= done {
				a.complete()
				return true
			}
			return false
		})
	}
	for e.prefill == nil && len(e.queue) > 0 && len(e.running) < e.pool.batch {
		e.begin()
	}
	e.schedule()
}

func (e *engine) begin() {
	a := e.queue[0]
	e.queue = e.queue[1:]
	if a.expired() {
		return
	}
	tokens := a.prompt()
	if i := slices.Index(e.cache, a.request.prefix); i >= 0 {
		tokens -= float64(e.pool.prefix)
	}
	e.prefill = a
	e.ends = e.clock.Now + tokens/e.pool.prefillRate
}

func (e *engine) schedule() {
	e.gen++
	gen, next := e.gen, seconds(-1)
	if e.prefill != nil {
		next = e.ends - e.clock.Now
	} else {
		for _, a := range e.running {
			if d := max(0, a.left) * e.step(); next < 0 || d < next {
				next = d
			}
		}
	}
	if next < 0 {
		return
	}
	e.clock.Schedule(next, func() {
		if e.gen == gen {
			e.advance()
			e.proceed()
		}
	})
}

// remember moves a prefix to the end of the cache and evicts the one used longest ago.
func (e *engine) remember(prefix uint64) {
	if i := slices.Index(e.cache, prefix); i >= 0 {
		e.cache = slices.Delete(e.cache, i, i+1)
	}
	e.cache = append(e.cache, prefix)
	e.events = append(e.events, cacheEvent{e.clock.Now, prefix, true})
	if len(e.cache) > enginePrefixes {
		e.events = append(e.events, cacheEvent{e.clock.Now, e.cache[0], false})
		e.cache = e.cache[1:]
	}
}
