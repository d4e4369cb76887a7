package vm

import (
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// slowWriter is a log destination that delays each line.
type slowWriter struct {
	mu    sync.Mutex
	lines strings.Builder
}

func (l *slowWriter) Write(b []byte) (int, error) {
	time.Sleep(50 * time.Millisecond)
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lines.Write(b)
}

func (l *slowWriter) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lines.String()
}

// Guards against a refused connection that is closed before the refusal is logged.
func TestRefusalIsLoggedBeforeClose(t *testing.T) {
	log := &slowWriter{}
	e, err := NewEndpoint(Identity{Slot: "a", Incarnation: 1}, []byte("a key of sixteen bytes"), slog.New(slog.NewTextHandler(log, nil)))
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go func() { _ = e.Serve(l) }()
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := conn.Write([]byte(strings.Repeat("\xff", 1024))); err != nil {
		t.Fatal(err)
	}
	// The close can arrive as a TCP reset, since the endpoint has not read all bytes.
	_, _ = io.Copy(io.Discard, conn)
	if !strings.Contains(log.String(), "event=1203") {
		t.Error("the connection closed before the refusal was logged")
	}
}
