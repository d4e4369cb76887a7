package standin

import (
	"context"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"parsleyhatch/config"
)

// wanPair returns both ends of a connection from region a to region b over a link of 8 Mbit/s
// (1,000 bytes a millisecond) and 50 ms. It must run in a synctest bubble, whose clock is virtual.
func wanPair(t *testing.T) (*WAN, net.Conn, net.Conn) {
	t.Helper()
	w := NewWAN(map[string]string{"127.2.1.1": "b"}, []config.Link{{A: "a", B: "b", MegabitsPerSecond: 8, OneWayMillis: 50}})
	var accepted net.Conn
	dial := w.Dialer("a", func(context.Context, string) (net.Conn, error) {
		raw, other := net.Pipe()
		accepted = other
		return raw, nil
	})
	start := time.Now()
	conn, err := dial(context.Background(), "127.2.1.1:7000")
	if err != nil {
		t.Fatal(err)
	}
	if took := time.Since(start); took != 100*time.Millisecond {
		t.Errorf("dial took %v, want one round trip of 100ms", took)
	}
	return w, conn, accepted
}

// receive reads n bytes and returns how long that took on the virtual clock.
func receive(t *testing.T, conn net.Conn, n int) time.Duration {
	t.Helper()
	start := time.Now()
	if _, err := io.ReadFull(conn, make([]byte, n)); err != nil {
		t.Fatal(err)
	}
	return time.Since(start)
}

// Guards against a network that loses its delay, or gives each connection a bandwidth of its own.
func TestWANDelayAndBandwidth(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, near, far := wanPair(t)
		defer w.Close()
		go func() { _, _ = near.Write(make([]byte, 10_000)) }()
		if took := receive(t, far, 10_000); took != 60*time.Millisecond {
			t.Errorf("10,000 bytes took %v, want 10ms on the link and 50ms of delay", took)
		}
		go func() { _, _ = far.Write([]byte("x")) }()
		if took := receive(t, near, 1); took != 50*time.Millisecond+time.Microsecond {
			t.Errorf("one byte back took %v", took)
		}
		_ = near.Close()
		if _, err := far.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("after the close: %v, want EOF", err)
		}
	})
}

// Guards against a cut that stops the other direction too, breaks the connection or loses bytes.
func TestWANOneWayCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, near, far := wanPair(t)
		defer w.Close()
		w.Cut("a", "b")
		go func() { _, _ = near.Write([]byte("x")) }()
		go func() { _, _ = far.Write([]byte("y")) }()
		receive(t, near, 1)
		_ = far.SetReadDeadline(time.Now().Add(time.Minute))
		if _, err := far.Read(make([]byte, 1)); err == nil {
			t.Error("a byte passed the cut direction")
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if _, err := w.Dialer("a", nil)(ctx, "127.2.1.1:7000"); err == nil {
			t.Error("a dial passed the cut direction")
		}
		w.Heal("a", "b")
		_ = far.SetReadDeadline(time.Time{})
		receive(t, far, 1)
	})
}
