package vm

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	"parsleyhatch/vmwire"
)

// gatedConn is a connection whose writes wait while its gate is closed, as on a link that is congested.
type gatedConn struct {
	net.Conn
	mu     sync.Mutex
	opened chan struct{}
	// waiting receives a value when a write begins to wait.
	waiting chan struct{}
}

func newGatedConn(c net.Conn) *gatedConn {
	return &gatedConn{Conn: c, waiting: make(chan struct{}, 1)}
}

// shut closes the gate and returns the function that opens it.
func (g *gatedConn) shut() (open func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	opened := make(chan struct{})
	g.opened = opened
	return sync.OnceFunc(func() { close(opened) })
}

// Write waits until the gate is open.
func (g *gatedConn) Write(b []byte) (int, error) {
	g.mu.Lock()
	opened := g.opened
	g.mu.Unlock()
	if opened != nil {
		notify(g.waiting)
		<-opened
	}
	return g.Conn.Write(b)
}

// Guards against a session that ends, with all its streams, because one of them is reset while the connection takes no
// data for a moment, and against a reset that is lost then.
func TestResetOnCongestedSessionKeepsStreams(t *testing.T) {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	a := NewInsecureEndpoint(Identity{Slot: "a", Incarnation: 1}, log)
	b := NewInsecureEndpoint(Identity{Slot: "b", Incarnation: 2}, log)
	wasReset := make(chan struct{})
	b.OnStream = func(st *Stream, open vmwire.Open) {
		if open.BodyBytes > 0 {
			echoStream(st, open)
			return
		}
		if _, _, err := st.Recv(context.Background()); errors.Is(err, ErrStreamReset) {
			close(wasReset)
		}
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go func() { _ = b.Serve(l) }()
	var conn *gatedConn
	a.DialFunc = func(_ context.Context, address string) (net.Conn, error) {
		c, err := net.Dial("tcp", address)
		conn = newGatedConn(c)
		return conn, err
	}
	s, err := a.Dial(context.Background(), l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close(nil)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	abandoned, err := s.OpenStream(ctx, &vmwire.Open{})
	if err != nil {
		t.Fatal(err)
	}
	other, err := s.OpenStream(ctx, &vmwire.Open{BodyBytes: 4})
	if err != nil {
		t.Fatal(err)
	}
	open := conn.shut()
	defer open()
	// Larger than the buffer of the writer, so that the first one blocks it.
	filler := &vmwire.Chunk{Data: make([]byte, 20<<10)}
	s.SendControl(vmwire.KindPing, filler)
	<-conn.waiting
	for s.SendControl(vmwire.KindPing, filler) {
		continue
	}
	abandoned.Reset()
	open()
	if err := other.Send(ctx, []byte("data")); err != nil {
		t.Fatalf("another stream of the session: %v", err)
	}
	if data, end, err := other.Recv(ctx); err != nil || string(data) != "data" {
		t.Errorf("another stream of the session: got %q, end %v, error %v", data, end, err)
	}
	select {
	case <-wasReset:
	case <-ctx.Done():
		t.Error("the other vm was not notified of the reset")
	}
}
