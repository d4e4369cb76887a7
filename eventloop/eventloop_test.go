package eventloop

import (
	"slices"
	"testing"
)

// Guards against events that run out of order, and against an unstable order of events with the same time.
func TestEventOrder(t *testing.T) {
	var l Loop
	var got []int
	record := func(n int) func() { return func() { got = append(got, n) } }
	l.Schedule(2, record(4))
	l.Schedule(1, func() {
		record(1)()
		l.Schedule(0, record(3))
	})
	l.Schedule(1, record(2))
	l.Schedule(9, record(5))
	l.RunUntil(5)
	if want := []int{1, 2, 3, 4}; !slices.Equal(got, want) {
		t.Errorf("order %v, want %v", got, want)
	}
	if l.Now != 2 {
		t.Errorf("time %v after the last event, want 2", l.Now)
	}
}

// Guards against periodic events that continue after their end time.
func TestEveryStopsAtEnd(t *testing.T) {
	var l Loop
	n := 0
	l.SchedulePeriodic(1, 3, func() { n++ })
	l.RunUntil(10)
	if n != 3 {
		t.Errorf("ran %d times, want 3", n)
	}
}
