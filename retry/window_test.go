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
		w.RecordRequest(now, "s")
	}
	for i := range 3 {
		if !w.TryRetry(now, "s") {
			t.Fatalf("retry %d refused", i)
		}
	}
	if w.TryRetry(now, "s") || w.HasCapacity(now, "s") {
		t.Error("fourth retry of ten requests allowed")
	}
	w.SetSlack(2)
	if !w.TryRetry(now, "s") {
		t.Error("retry refused after the slack grew")
	}
	w.SetSlack(1)
	if !w.TryRetry(now, "other") {
		t.Error("a service without retries was refused the slack")
	}
	now = now.Add(30 * time.Second)
	if !w.TryRetry(now, "s") || w.TryRetry(now, "s") {
		t.Error("the retries allowed after the window differ from the slack")
	}
}
