package loadbench

import (
	"slices"

	"parsleyhatch/eventloop"
	"parsleyhatch/replica"
)

type seconds = eventloop.Seconds

// engineModel describes a model engine that reads prompts in chunks between the tokens of the requests it
// answers. Times are in milliseconds.
type engineModel struct {
	slots int
	// queue is the number of requests that may wait.
	queue int
	// memory holds prompts and answers, in tokens.
	memory int64
	// chunk is the number of prompt tokens that one step reads at most.
	chunk int64
	// tokensPerMilli is the speed of reading.
	tokensPerMilli float64
	// stepBase is the length of an empty step. Each running request adds stepPerRun, and each thousand
	// tokens in memory stepPerThousand.
	stepBase, stepPerRun, stepPerThousand float64
	// perMillionPairs is the time for attention: each token that is read looks at all before it.
	perMillionPairs float64
	// overhead is the time from the arrival of a request until it may take part in a step.
	overhead float64
	// tokensPerEvent is the number of tokens in one event of a stream.
	tokensPerEvent int
}

// engine is one replica. Its steps follow one another while it has requests.
type engine struct {
	id    string
	model *engineModel
	loop  *eventloop.Loop
	// inOrder ignores the urgency of requests.
	inOrder bool
	up      bool
	// life counts the starts, so that events of an earlier life are dropped.
	life  int
	steps bool

	waiting []*run
	reading []*run
	writing []*run
	cache   *partCache
	// generated is the memory for answers, in tokens.
	generated int64
	// speed is the speed relative to the model.
	speed float64
	// sent are the prompt tokens that requests brought and that were not cached, by second.
	sent map[int]float64
}

// run is a request at an engine.
type run struct {
	rank   int
	prompt replica.Prompt
	// answer is the number of tokens to write, and written those that are.
	answer, written int
	// unread are the prompt tokens still to be read.
	unread int64
	// onFirst, onEvent, onDone and onLost tell the caller's side.
	onFirst, onEvent, onDone func()
	onLost                   func()
}

func newEngine(id string, m *engineModel, l *eventloop.Loop, inOrder bool) *engine {
	return &engine{id: id, model: m, loop: l, inOrder: inOrder, up: true, cache: newPartCache(m.memory), speed: 1, sent: map[int]float64{}}
}

// submit adds a request. It reports false if the engine is full or down.
func (e *engine) submit(r *run) bool {
	if !e.up || len(e.waiting) >= e.model.queue {
		return false
	}
	e.enqueue(r)
	e.start()
	return true
}

func (e *engine) enqueue(r *run) {
	e.waiting = append(e.waiting, r)
	if e.inOrder {
		return
	}
	slices.SortStableFunc(e.waiting, func(a, b *run) int { return a.rank - b.rank })
}

// cancel removes a request.
func (e *engine) cancel(r *run) {
	if i := slices.Index(e.waiting, r); i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
		return
	}
	if i := slices.Index(e.reading, r); i >= 0 {
		e.reading = slices.Delete(e.reading, i, i+1)
		e.release(r)
	}
	if i := slices.Index(e.writing, r); i >= 0 {
		e.writing = slices.Delete(e.writing, i, i+1)
		e.release(r)
	}
}

// crash loses all requests and what is cached.
func (e *engine) crash() {
	lost := slices.Concat(e.waiting, e.reading, e.writing)
	e.waiting, e.reading, e.writing = nil, nil, nil
	e.cache = newPartCache(e.model.memory)
	e.generated, e.up, e.steps = 0, false, false
	e.life++
	for _, r := range lost {
		r.onLost()
	}
}

func (e *engine) restart() { e.up = true }

// start begins a step unless one is under way.
func (e *engine) start() {
	if e.steps || !e.up {
		return
	}
	length := e.step()
	if len(e.reading)+len(e.writing) == 0 {
		return
	}
	e.steps = true
	life := e.life
	e.loop.Schedule(length/1000/e.speed, func() {
		if e.life == life {
			e.steps = false
			e.endStep()
			e.start()
		}
	})
}

// admit takes the next request from the queue if there are a slot and memory.
func (e *engine) admit() *run {
	if len(e.waiting) == 0 || len(e.reading)+len(e.writing) >= e.model.slots {
		return nil
	}
	r := e.waiting[0]
	cached, ok := e.cache.take(r.prompt.Parts, e.generated)
	if !ok {
		return nil
	}
	e.waiting = e.waiting[1:]
	r.unread = r.prompt.Tokens - cached
	e.reading = append(e.reading, r)
	return r
}

// step reads a chunk of the prompts and returns the length of the step in milliseconds. A prompt that was started
// is read on; the next ones are taken in the order of their urgency while the chunk has room.
func (e *engine) step() float64 {
	m := e.model
	budget := m.chunk
	var pairs int64
	read := func(r *run) {
		n := min(budget, r.unread)
		pairs += n * (r.prompt.Tokens - r.unread + n/2)
		r.unread -= n
		budget -= n
	}
	for _, r := range e.reading {
		read(r)
	}
	for budget > 0 {
		r := e.admit()
		if r == nil {
			break
		}
		read(r)
	}
	tokens := m.chunk - budget
	running := float64(len(e.reading) + len(e.writing))
	held := float64(e.cache.referenced+e.generated) / 1000
	return m.stepBase + m.stepPerRun*running + m.stepPerThousand*held +
		float64(tokens)/m.tokensPerMilli + m.perMillionPairs*float64(pairs)/1e6
}

// endStep writes one token of each answer, and begins those whose prompt is read.
func (e *engine) endStep() {
	done := e.writing[:0:0]
	kept := e.writing[:0]
	for _, r := range e.writing {
		e.write(r)
		if r.written >= r.answer {
			done = append(done, r)
			continue
		}
		kept = append(kept, r)
	}
	e.writing = kept
	reading := e.reading[:0]
	for _, r := range e.reading {
		if r.unread > 0 {
			reading = append(reading, r)
			continue
		}
		e.write(r)
		e.writing = append(e.writing, r)
	}
	e.reading = reading
	for _, r := range done {
		e.release(r)
		r.onDone()
	}
	for e.cache.referenced+e.generated > e.model.memory && len(e.writing) > 1 {
		e.preempt()
	}
}

func (e *engine) write(r *run) {
	r.written++
	e.generated++
	switch {
	case r.written == 1:
		r.onFirst()
	case r.written%e.model.tokensPerEvent == 0:
		r.onEvent()
	}
}

// preempt puts the newest of the least urgent requests back into the queue. Its prompt is read again.
func (e *engine) preempt() {
	worst := 0
	for i, r := range e.writing {
		if r.rank >= e.writing[worst].rank {
			worst = i
		}
	}
	r := e.writing[worst]
	e.writing = slices.Delete(e.writing, worst, worst+1)
	e.release(r)
	e.waiting = slices.Insert(e.waiting, 0, r)
}

func (e *engine) release(r *run) {
	e.cache.release(r.prompt.Parts)
	e.generated -= int64(r.written)
}

// plainServer answers requests of a plain service: slots at once, a short queue, the rest is refused.
type plainServer struct {
	id      string
	loop    *eventloop.Loop
	slots   int
	queue   int
	work    seconds
	running int
	waiting []*run
}

func (s *plainServer) submit(r *run) bool {
	if s.running < s.slots {
		s.begin(r)
		return true
	}
	if len(s.waiting) >= s.queue {
		return false
	}
	s.waiting = append(s.waiting, r)
	return true
}

func (s *plainServer) begin(r *run) {
	s.running++
	s.loop.Schedule(s.work, func() {
		s.running--
		r.onFirst()
		r.onDone()
		if len(s.waiting) > 0 {
			next := s.waiting[0]
			s.waiting = s.waiting[1:]
			s.begin(next)
		}
	})
}

func (s *plainServer) cancel(r *run) {
	if i := slices.Index(s.waiting, r); i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
	}
}
