package eventloop

import (
	"slices"
	"testing"
)

// Guards against simulations that run events out of order, or run those of one time in another order each time.
func TestOrder(t *testing.T) {
	var l Loop
	var got []int
	note := func(n int) func() { return func() { got = append(got, n) } }
	l.After(2, note(4))
	l.After(1, func() {
		note(1)()
		l.After(0, note(3))
	})
	l.After(1, note(2))
	l.After(9, note(5))
	l.Run(5)
	if want := []int{1, 2, 3, 4}; !slices.Equal(got, want) {
		t.Errorf("order %v, want %v", got, want)
	}
	if l.Now != 2 {
		t.Errorf("time %v after the last event, want 2", l.Now)
	}
}

// Guards against periodic work that goes on after the end.
func TestEvery(t *testing.T) {
	var l Loop
	n := 0
	l.Every(1, 3, func() { n++ })
	l.Run(10)
	if n != 3 {
		t.Errorf("ran %d times, want 3", n)
	}
}
