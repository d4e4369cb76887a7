package retry

import (
	"testing"
	"time"
)

// Guards against retries beyond the share of requests, also after a pause longer than the window.
func TestWindow(t *testing.T) {
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
		t.Error("the slack of another service is used up")
	}
	now = now.Add(30 * time.Second)
	if !w.Retry(now, "s") || w.Retry(now, "s") {
		t.Error("after the window only the slack is left")
	}
}
