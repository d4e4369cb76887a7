// Package eventloop runs simulations: events in the order of their simulated times, without waiting.
package eventloop

import (
	"container/heap"
	"time"
)

// Seconds is a simulated time or duration.
type Seconds = float64

// epoch is the time of day at which simulations start.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// At returns the time of day for a simulated time.
func At(s Seconds) time.Time { return epoch.Add(time.Duration(s * float64(time.Second))) }

// Loop is an event loop. Events at one time run in the order of their creation. The zero value is ready.
type Loop struct {
	// Now is the simulated time.
	Now    Seconds
	seq    int
	events eventHeap
}

type timed struct {
	at  Seconds
	seq int
	run func()
}

// After runs a function after a duration.
func (l *Loop) After(d Seconds, run func()) {
	l.seq++
	heap.Push(&l.events, timed{at: l.Now + d, seq: l.seq, run: run})
}

// Every runs a function periodically, the first time after one period, until a time.
func (l *Loop) Every(period, until Seconds, run func()) {
	var again func()
	again = func() {
		run()
		if l.Now < until {
			l.After(period, again)
		}
	}
	l.After(period, again)
}

// Run runs all events up to a time.
func (l *Loop) Run(until Seconds) {
	for len(l.events) > 0 && l.events[0].at <= until {
		e := heap.Pop(&l.events).(timed)
		l.Now = e.at
		e.run()
	}
}

type eventHeap []timed

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at == h[j].at {
		return h[i].seq < h[j].seq
	}
	return h[i].at < h[j].at
}

// Push is for container/heap.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(timed)) }

// Pop is for container/heap.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}
