package fleet

import (
	"context"
	"testing"
	"time"

	"parsleyhatch/vm"
	"parsleyhatch/vmwire"
)

func (tf *testFleet) sessionCount(slot string) int {
	tf.mu.Lock()
	defer tf.mu.Unlock()
	return len(tf.sessions[slot])
}

// Guards against streams that are cut because a second session with the same VM opens, and against VMs that then use
// different sessions or keep both.
func TestDuplicateSessionEndsAfterItsStreams(t *testing.T) {
	a := startFleet(t, "a", "north")
	b := newFleet(t, "127.0.0.1:0", "b", "north", a.address)
	streams := make(chan *vm.Stream, 1)
	b.Endpoint.OnStream = func(st *vm.Stream, _ vmwire.Open) { streams <- st }
	b.start(t)
	waitUntil(t, 3*time.Second, "a lists b as ready", func() bool { return a.readyCount("north") == 1 })
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	st, err := a.session("b").OpenStream(ctx, &vmwire.Open{})
	if err != nil {
		t.Fatal(err)
	}
	served := <-streams
	preferred, err := a.Endpoint.Dial(ctx, b.address)
	if err != nil {
		t.Fatal(err)
	}
	waitUntil(t, time.Second, "both use the new session", func() bool {
		s := b.session("a")
		return a.session("b") == preferred && s != nil && !s.Dialed
	})
	// Longer than a session may be without a frame.
	time.Sleep(sessionReadTimeout + 2*tick)
	if a.sessionCount("b") != 2 || b.sessionCount("a") != 2 {
		t.Errorf("a has %d sessions and b %d while a stream is open, want 2", a.sessionCount("b"), b.sessionCount("a"))
	}
	if err := served.SendEnd(ctx, &vmwire.End{Code: "answered"}); err != nil {
		t.Errorf("send end: %v", err)
	}
	if _, end, err := st.Recv(ctx); err != nil || end == nil {
		t.Errorf("end %v, error %v, want the end of the stream", end, err)
	}
	waitUntil(t, 3*time.Second, "the duplicate session is closed", func() bool {
		return a.sessionCount("b") == 1 && b.sessionCount("a") == 1
	})
	if a.session("b") != preferred || b.session("a").Dialed {
		t.Error("the vms kept different sessions")
	}
}

// Guards against a session with a restarted VM that is closed in favor of the one with its ended process.
func TestSessionWithNewIncarnationIsKept(t *testing.T) {
	f := newFleet(t, "127.0.0.1:0", "b", "north")
	_ = f.listener.Close()
	old, _ := dialPeer(t, f, "a", 1)
	current, _ := dialPeer(t, f, "a", 2)
	waitUntil(t, time.Second, "the old session is closed", func() bool { return f.sessionCount("a") == 1 && f.session("a") != old })
	if f.session("a") != current {
		t.Error("the session with the new incarnation is not used")
	}
}
