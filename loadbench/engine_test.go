package loadbench

import (
	"testing"

	"parsleyhatch/eventloop"
	"parsleyhatch/replica"
)

// testRun is a request that notes when it begins and ends.
func testRun(l *eventloop.Loop, rank int, tokens int64, answer int, parts ...replica.Part) (r *run, first, done *seconds) {
	first, done = new(seconds), new(seconds)
	r = &run{rank: rank, answer: answer, prompt: replica.Prompt{Parts: parts, Tokens: tokens}}
	r.onFirst = func() { *first = l.Now }
	r.onEvent = func() {}
	r.onDone = func() { *done = l.Now }
	r.onLost = func() {}
	return r, first, done
}

func newTestEngine(inOrder bool) (*engine, *eventloop.Loop) {
	l := &eventloop.Loop{}
	m := engineOf()
	return newEngine("e", &m, l, inOrder), l
}

// Guards against an engine that reads prompts faster or slower than its model says.
func TestReadingTime(t *testing.T) {
	e, l := newTestEngine(false)
	const tokens = 20480
	r, first, _ := testRun(l, 0, tokens, 1)
	e.submit(r)
	l.RunUntil(10)
	low := tokens / e.model.tokensPerMilli / 1000
	if *first < low || *first > 1.5*low {
		t.Errorf("first token after %.3f s, want %.3f s and some more for steps and attention", *first, low)
	}
}

// Guards against urgent requests that wait for less urgent ones, unless their prompt was begun.
func TestUrgency(t *testing.T) {
	e, l := newTestEngine(false)
	begun, begunFirst, _ := testRun(l, 1, 20000, 1)
	waiting, waitingFirst, _ := testRun(l, 1, 20000, 1)
	urgent, urgentFirst, _ := testRun(l, 0, 1000, 1)
	e.submit(begun)
	e.submit(waiting)
	l.Schedule(0.01, func() { e.submit(urgent) })
	l.RunUntil(10)
	if *urgentFirst < *begunFirst {
		t.Error("the urgent request passed a prompt that was begun")
	}
	if *urgentFirst > *waitingFirst {
		t.Error("the urgent request waited for one that is less urgent")
	}
}

// Guards against cached parts that are read again, and against parts that stay although memory is short.
func TestCache(t *testing.T) {
	c := newPartCache(1000)
	parts := func(id uint64) []replica.Part { return []replica.Part{{ID: 1, Tokens: 300}, {ID: id, Tokens: 300}} }
	if cached, ok := c.take(parts(2), 0); !ok || cached != 0 {
		t.Errorf("cached %d, %v of a new prompt", cached, ok)
	}
	c.release(parts(2))
	if cached, ok := c.take(parts(3), 0); !ok || cached != 300 {
		t.Errorf("cached %d, %v, want the shared part", cached, ok)
	}
	if _, ok := c.take(parts(4), 200); ok {
		t.Error("took a prompt for which there is no room")
	}
	if cached, ok := c.take(parts(4), 0); !ok || cached != 300 {
		t.Errorf("cached %d, %v after eviction, want the shared part", cached, ok)
	}
	if c.parts[2] != nil {
		t.Error("kept the part that was used least recently although memory was short")
	}
}

// Guards against an engine that answers more requests at once than it has slots for.
func TestSlots(t *testing.T) {
	e, l := newTestEngine(false)
	for range e.model.slots + 10 {
		r, _, _ := testRun(l, 0, 10, 1000)
		e.submit(r)
	}
	l.RunUntil(1)
	if n := len(e.reading) + len(e.writing); n != e.model.slots {
		t.Errorf("%d requests run, want %d", n, e.model.slots)
	}
}

// Guards against requests that are lost silently by a crash.
func TestCrash(t *testing.T) {
	e, l := newTestEngine(false)
	lost := 0
	for range 3 {
		r, _, _ := testRun(l, 0, 10, 1000)
		r.onLost = func() { lost++ }
		e.submit(r)
	}
	l.Schedule(0.5, e.crash)
	l.RunUntil(1)
	if lost != 3 {
		t.Errorf("%d requests were told of the crash, want 3", lost)
	}
	if r, _, _ := testRun(l, 0, 10, 1); e.submit(r) {
		t.Error("an engine that is down took a request")
	}
}
