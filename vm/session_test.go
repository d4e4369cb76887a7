package vm

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"parsleyhatch/vmwire"
)

var testKey = []byte("fleet key of the tests")

// dialPair returns a session from VM a to VM b, which serves streams with onStream.
func dialPair(t testing.TB, keyA, keyB []byte, onStream func(*Stream, vmwire.Open)) (*Session, error) {
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
	go func() { _ = b.Serve(l) }()
	s, err := a.Dial(context.Background(), l.Addr().String())
	if err == nil {
		t.Cleanup(func() { s.Close(nil) })
	}
	return s, err
}

// echoStream sends back the received data until the announced number of bytes has arrived, and then ends the stream.
func echoStream(st *Stream, open vmwire.Open) {
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

// Guards against a session with a VM that speaks another protocol, and against one that is refused without notice.
func TestOtherProtocolIsRefused(t *testing.T) {
	e := NewInsecureEndpoint(Identity{Slot: "a", Incarnation: 1}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	var met uint32
	e.OnOtherProtocol = func(protocol uint32) { met = protocol }
	conn, peer := net.Pipe()
	go func() {
		_, _ = ReadFrame(bufio.NewReader(peer))
		body, _ := (&vmwire.Hello{Protocol: vmwire.Protocol - 1, Slot: "b"}).MarshalMsg(nil)
		frame, _ := appendFrame(nil, &vmwire.Frame{Kind: vmwire.KindHello, Body: body})
		_, _ = peer.Write(frame)
	}()
	if _, err := newSession(t.Context(), e, conn, true); err == nil || met != vmwire.Protocol-1 {
		t.Errorf("error %v, met protocol %d", err, met)
	}
}

// Guards against lost, repeated or reordered data on a stream that carries more than one window, and against a
// stream that blocks others because nobody reads it.
func TestStreamsAreIndependent(t *testing.T) {
	s, err := dialPair(t, testKey, testKey, echoStream)
	if err != nil {
		t.Fatal(err)
	}
	ctx := context.Background()
	want := bytes.Repeat([]byte("0123456789abcdef"), 20<<10)
	unread, err := s.OpenStream(ctx, &vmwire.Open{BodyBytes: int64(len(want))})
	if err != nil {
		t.Fatal(err)
	}
	// Nobody reads this stream, so its sender blocks once the window is used up.
	go func() { _ = unread.Send(ctx, want) }()
	active, err := s.OpenStream(ctx, &vmwire.Open{BodyBytes: int64(len(want))})
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = active.Send(ctx, want) }()
	var got []byte
	for {
		data, end, err := active.Recv(ctx)
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
	unread.mu.Lock()
	defer unread.mu.Unlock()
	if unread.queuedBytes > WindowBytes {
		t.Errorf("%d bytes queued for a slow reader, limit %d", unread.queuedBytes, WindowBytes)
	}
}

// Guards against accepting a peer that does not hold the fleet key.
func TestOtherFleetKeyIsRefused(t *testing.T) {
	s, err := dialPair(t, testKey, []byte("another key of 16 bytes or more"), echoStream)
	if err != nil {
		return
	}
	// With TLS 1.3 the client's handshake can succeed before the server refuses its certificate.
	select {
	case <-s.Done():
	case <-time.After(10 * time.Second):
		t.Fatal("session with another fleet key is still open")
	}
}

// Guards against a stream that hangs after its session has closed.
func TestClosedSessionFailsStreams(t *testing.T) {
	s, err := dialPair(t, testKey, testKey, func(*Stream, vmwire.Open) {})
	if err != nil {
		t.Fatal(err)
	}
	st, err := s.OpenStream(context.Background(), &vmwire.Open{})
	if err != nil {
		t.Fatal(err)
	}
	s.Close(io.ErrUnexpectedEOF)
	if _, _, err := st.Recv(context.Background()); err == nil {
		t.Fatal("Recv succeeded on a closed session")
	}
	if err := st.Send(context.Background(), []byte("x")); err == nil {
		t.Fatal("Send succeeded on a closed session")
	}
}

// Guards against a stream that is opened while its session closes and that nothing ends.
func TestStreamOpenedWhileSessionCloses(t *testing.T) {
	for range 20 {
		s, err := dialPair(t, testKey, testKey, func(*Stream, vmwire.Open) {})
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		go s.Close(io.ErrUnexpectedEOF)
		for {
			st, err := s.OpenStream(ctx, &vmwire.Open{})
			if err != nil {
				break
			}
			if _, _, err := st.Recv(ctx); errors.Is(err, context.DeadlineExceeded) {
				t.Fatal("nothing ended a stream of a closed session")
			}
		}
		cancel()
	}
}

// Guards against a stream that is added after Close has failed the streams of the session.
func TestClosedSessionOpensNoStream(t *testing.T) {
	s, err := dialPair(t, testKey, testKey, func(*Stream, vmwire.Open) {})
	if err != nil {
		t.Fatal(err)
	}
	s.Close(io.ErrUnexpectedEOF)
	for range 100 {
		if _, err := s.OpenStream(context.Background(), &vmwire.Open{}); !errors.Is(err, ErrSessionClosed) {
			t.Fatalf("OpenStream on a closed session: %v, want %v", err, ErrSessionClosed)
		}
	}
}

// Guards against work that continues on the serving VM after the origin has reset the stream.
func TestResetReachesPeer(t *testing.T) {
	received := make(chan error, 1)
	s, err := dialPair(t, testKey, testKey, func(st *Stream, _ vmwire.Open) {
		_, _, err := st.Recv(context.Background())
		received <- err
	})
	if err != nil {
		t.Fatal(err)
	}
	st, err := s.OpenStream(context.Background(), &vmwire.Open{})
	if err != nil {
		t.Fatal(err)
	}
	st.Reset()
	if err := <-received; err == nil {
		t.Fatal("the peer's Recv returned no error after the reset")
	}
}

// Guards against a fault in one stream or in one message that ends the process.
func TestPanicEndsStreamOrSession(t *testing.T) {
	s, err := dialPair(t, testKey, testKey, func(*Stream, vmwire.Open) { panic("fault of a stream") })
	if err != nil {
		t.Fatal(err)
	}
	st, err := s.OpenStream(context.Background(), &vmwire.Open{})
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := st.Recv(context.Background()); !errors.Is(err, ErrStreamReset) {
		t.Errorf("stream whose handler panicked: %v, want %v", err, ErrStreamReset)
	}
	s.endpoint.OnControl = func(*Session, vmwire.Frame) { panic("fault of a message") }
	if err := s.dispatchRecovered(vmwire.Frame{Kind: vmwire.KindPresence}); err == nil {
		t.Error("a message whose handler panicked was handled without an error")
	}
}

// Guards against streams that hang on a link that drops all packets without closing the connection.
func TestUnresponsivePeerEndsSession(t *testing.T) {
	s, err := dialPair(t, testKey, testKey, func(*Stream, vmwire.Open) {})
	if err != nil {
		t.Fatal(err)
	}
	st, err := s.OpenStream(context.Background(), &vmwire.Open{})
	if err != nil {
		t.Fatal(err)
	}
	// Clearing the arrival time continuously has the same effect as a link that delivers nothing.
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			select {
			case <-stop:
				return
			default:
				s.lastReceivedOffset.Store(int64(-time.Hour))
				time.Sleep(time.Millisecond)
			}
		}
	}()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if _, _, err := st.Recv(ctx); err == nil || ctx.Err() != nil {
		t.Fatalf("Recv on a session without received frames: %v", err)
	}
}

// Guards against sessions that end when the time of day is set back, although frames arrive.
func TestClockStepKeepsSession(t *testing.T) {
	s, err := dialPair(t, testKey, testKey, func(*Stream, vmwire.Open) {})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.OpenStream(context.Background(), &vmwire.Open{}); err != nil {
		t.Fatal(err)
	}
	// The arrival of a frame is known on the monotonic clock only, so that the time of day has no part in the check.
	now := time.Now()
	s.lastReceivedOffset.Store(int64(now.Sub(s.startedAt)))
	k := &keepalive{activeSince: now.Add(-2 * activeReadTimeout), hasStreams: true}
	if !s.checkAlive(now, k) {
		t.Error("the session ends although a frame has just arrived")
	}
}

// Guards against a session that ends with all its streams, since a frame that a full queue did not take left a gap in the numbers of a stream.
func TestFrameThatIsNotSentLeavesNoGap(t *testing.T) {
	s := &Session{writeQueue: make(chan *[]byte), done: make(chan struct{})}
	st := newStream(s, 1)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := st.SendChunk(ctx, &vmwire.Chunk{RunRequest: 2}); err == nil {
		t.Fatal("the full queue has taken a frame")
	}
	if st.nextSendSeq != 0 || st.credit != WindowBytes {
		t.Errorf("next frame %d, credit %d, want 0 and %d", st.nextSendSeq, st.credit, WindowBytes)
	}
}
