// Package eventloop provides an event loop for discrete-event simulations: callbacks run in the order of their simulated
// times, without waiting in real time.
package eventloop

import (
	"container/heap"
	"time"
)

// Seconds is a simulated time or duration.
type Seconds = float64

// epoch is the wall-clock time at which simulations start.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// WallTime returns the wall-clock time for a simulated time.
func WallTime(s Seconds) time.Time { return epoch.Add(time.Duration(s * float64(time.Second))) }

// Loop is an event loop. Events with the same time run in the order in which they were scheduled. The zero value is ready
// to use.
type Loop struct {
	// Now is the current simulated time.
	Now    Seconds
	seq    int
	events eventHeap
}

type scheduledEvent struct {
	at       Seconds
	seq      int
	callback func()
}

// Schedule schedules a function to run after a duration.
func (l *Loop) Schedule(d Seconds, run func()) {
	l.seq++
	heap.Push(&l.events, scheduledEvent{at: l.Now + d, seq: l.seq, callback: run})
}

// SchedulePeriodic schedules a function to run periodically, the first time after one period. The last run is the
// first at or after the time until.
func (l *Loop) SchedulePeriodic(period, until Seconds, run func()) {
	var tick func()
	tick = func() {
		run()
		if l.Now < until {
			l.Schedule(period, tick)
		}
	}
	l.Schedule(period, tick)
}

// RunUntil runs all events up to and including a time.
func (l *Loop) RunUntil(until Seconds) {
	for len(l.events) > 0 && l.events[0].at <= until {
		e := heap.Pop(&l.events).(scheduledEvent)
		l.Now = e.at
		e.callback()
	}
}

type eventHeap []scheduledEvent

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at == h[j].at {
		return h[i].seq < h[j].seq
	}
	return h[i].at < h[j].at
}

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(scheduledEvent)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}
