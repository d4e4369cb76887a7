package vm

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"parsleyhatch/vmwire"
)

var testKey = []byte("fleet key of the tests")

// pair returns a session from a to b; b serves streams with onStream.
func pair(t testing.TB, keyA, keyB []byte, onStream func(*Stream, vmwire.Open)) (*Session, error) {
	t.Helper()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	a, err := NewEndpoint(Identity{Slot: "a", Incarnation: 1}, keyA, log)
	if err != nil {
		t.Fatal(err)
	}
	b, err := NewEndpoint(Identity{Slot: "b", Incarnation: 2}, keyB, log)
	if err != nil {
		t.Fatal(err)
	}
	b.OnStream = onStream
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() { _ = b.RunListener(l) }()
	s, err := a.Dial(context.Background(), l.Addr().String())
	if err == nil {
		t.Cleanup(func() { s.Close(nil) })
	}
	return s, err
}

// echo returns what it receives until the announced number of bytes has come, and then ends.
func echo(st *Stream, open vmwire.Open) {
	ctx := context.Background()
	for n := int64(0); n < open.BodyBytes; {
		data, end, err := st.Recv(ctx)
		if err != nil || end != nil {
			return
		}
		n += int64(len(data))
		if err := st.Send(ctx, data); err != nil {
			return
		}
	}
	_ = st.SendEnd(ctx, &vmwire.End{Ran: "ran"})
}

// Guards against lost, repeated or reordered data beyond one window, and against a stream that
// blocks another one whose reader is slow.
func TestStreamsAreIndependent(t *testing.T) {
	s, err := pair(t, testKey, testKey, echo)
	if err != nil {
		t.Fatal(err)
	}
	ctx := context.Background()
	want := bytes.Repeat([]byte("0123456789abcdef"), 20<<10)
	idle, err := s.Open(ctx, &vmwire.Open{BodyBytes: int64(len(want))})
	if err != nil {
		t.Fatal(err)
	}
	// Nobody reads the answers of this stream: its sender stops at the window.
	go func() { _ = idle.Send(ctx, want) }()
	busy, err := s.Open(ctx, &vmwire.Open{BodyBytes: int64(len(want))})
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = busy.Send(ctx, want) }()
	var got []byte
	for {
		data, end, err := busy.Recv(ctx)
		if err != nil {
			t.Fatal(err)
		}
		if end != nil {
			break
		}
		got = append(got, data...)
	}
	if !bytes.Equal(got, want) {
		t.Fatalf("got %d bytes, want %d equal ones", len(got), len(want))
	}
	idle.mu.Lock()
	defer idle.mu.Unlock()
	if idle.queued > WindowBytes {
		t.Errorf("%d bytes queued for a slow reader, limit %d", idle.queued, WindowBytes)
	}
}

// Guards against a network peer that poses as a VM without the fleet key.
func TestOtherFleetKeyIsRefused(t *testing.T) {
	s, err := pair(t, testKey, []byte("another key of 16 bytes or more"), echo)
	if err != nil {
		return
	}
	// With TLS 1.3 the client may learn of the refusal after its own handshake.
	select {
	case <-s.Done():
	case <-time.After(10 * time.Second):
		t.Fatal("session with another fleet key stands")
	}
}

// Guards against a stream that hangs when its session breaks.
func TestBrokenSessionFailsStreams(t *testing.T) {
	s, err := pair(t, testKey, testKey, func(*Stream, vmwire.Open) {})
	if err != nil {
		t.Fatal(err)
	}
	st, err := s.Open(context.Background(), &vmwire.Open{})
	if err != nil {
		t.Fatal(err)
	}
	s.Close(io.ErrUnexpectedEOF)
	if _, _, err := st.Recv(context.Background()); err == nil {
		t.Fatal("Recv succeeded on a broken session")
	}
	if err := st.Send(context.Background(), []byte("x")); err == nil {
		t.Fatal("Send succeeded on a broken session")
	}
}

// Guards against work that goes on after its origin has abandoned the stream.
func TestResetReachesTheOtherSide(t *testing.T) {
	seen := make(chan error, 1)
	s, err := pair(t, testKey, testKey, func(st *Stream, _ vmwire.Open) {
		_, _, err := st.Recv(context.Background())
		seen <- err
	})
	if err != nil {
		t.Fatal(err)
	}
	st, err := s.Open(context.Background(), &vmwire.Open{})
	if err != nil {
		t.Fatal(err)
	}
	st.Reset()
	if err := <-seen; err == nil {
		t.Fatal("the other side saw no reset")
	}
}

// Guards against streams that hang on a link that drops all bytes without closing the connection.
func TestSilentPeerEndsSession(t *testing.T) {
	s, err := pair(t, testKey, testKey, func(*Stream, vmwire.Open) {})
	if err != nil {
		t.Fatal(err)
	}
	st, err := s.Open(context.Background(), &vmwire.Open{})
	if err != nil {
		t.Fatal(err)
	}
	// Frames that arrive are no longer noted, as if the link had been cut.
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			select {
			case <-stop:
				return
			default:
				s.heardAt.Store(0)
				time.Sleep(time.Millisecond)
			}
		}
	}()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if _, _, err := st.Recv(ctx); err == nil || ctx.Err() != nil {
		t.Fatalf("Recv on a silent session: %v", err)
	}
}
