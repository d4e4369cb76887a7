package retry

import (
	"testing"
	"time"
)

// Guards against retries above the share of requests, including after a pause longer than the window.
func TestWindowBoundsRetries(t *testing.T) {
	w := NewWindow(10*time.Second, 0.2, 1)
	now := time.Unix(5000, 0)
	for range 10 {
		w.Request(now, "s")
	}
	for i := range 3 {
		if !w.Retry(now, "s") {
			t.Fatalf("retry %d refused", i)
		}
	}
	if w.Retry(now, "s") || w.Room(now, "s") {
		t.Error("fourth retry of ten requests allowed")
	}
	w.SetSlack(2)
	if !w.Retry(now, "s") {
		t.Error("retry refused after the slack grew")
	}
	w.SetSlack(1)
	if !w.Retry(now, "other") {
		t.Error("a service without retries was refused the slack")
	}
	now = now.Add(30 * time.Second)
	if !w.Retry(now, "s") || w.Retry(now, "s") {
		t.Error("the retries allowed after the window differ from the slack")
	}
}
