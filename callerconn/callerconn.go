// Package callerconn closes connections of callers that send no request for too long, or take too long to send a
// header. net/http has fixed limits; these may change while connections are open.
package callerconn

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// sweepInterval is the period at which connections are checked; a connection stays open for so much longer.
const sweepInterval = 250 * time.Millisecond

// Limits bound the time for which a connection may wait for a request. Zero means no limit.
type Limits struct {
	// Header is the longest time from the first byte of a header, or from the start of a connection, to the end of
	// the header.
	Header time.Duration
	// Idle is the longest time between two requests.
	Idle time.Duration
}

// Watch watches the connections of one server. It is safe for concurrent use.
type Watch struct {
	mu    sync.Mutex
	conns map[net.Conn]*waiting
	// closed counts the connections that were closed.
	closed atomic.Int64
}

// waiting is a connection without a whole request.
type waiting struct {
	conn  *countedConn
	since time.Time
	// idle says that the connection has had a request before.
	idle bool
	// reads is the number of reads when the wait began, and begunAt when a later one was seen.
	reads   int64
	begunAt time.Time
}

// New returns a watch without connections.
func New() *Watch { return &Watch{conns: map[net.Conn]*waiting{}} }

// Closed returns the number of connections that were closed.
func (w *Watch) Closed() int64 { return w.closed.Load() }

// Listener returns a listener whose connections the watch can tell about.
func (w *Watch) Listener(l net.Listener) net.Listener { return countedListener{l} }

// ConnState is the hook of the server.
func (w *Watch) ConnState(c net.Conn, state http.ConnState) {
	counted, ok := c.(*countedConn)
	if !ok {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	switch state {
	case http.StateNew, http.StateIdle:
		w.conns[c] = &waiting{conn: counted, since: time.Now(), idle: state == http.StateIdle, reads: counted.reads.Load()}
	default:
		delete(w.conns, c)
	}
}

// Run closes connections that wait for too long until ctx ends. limits returns the present limits.
func (w *Watch) Run(ctx context.Context, limits func() Limits) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			w.sweep(time.Now(), limits())
		}
	}
}

func (w *Watch) sweep(now time.Time, limits Limits) {
	w.mu.Lock()
	var over []net.Conn
	for c, x := range w.conns {
		if x.over(now, limits) {
			over = append(over, c)
			delete(w.conns, c)
		}
	}
	w.mu.Unlock()
	for _, c := range over {
		w.closed.Add(1)
		_ = c.Close()
	}
}

// over reports whether the connection has waited for too long. The header of a next request may have begun.
func (x *waiting) over(now time.Time, limits Limits) bool {
	if x.begunAt.IsZero() && x.conn.reads.Load() != x.reads {
		x.begunAt = now
	}
	switch {
	case !x.idle:
		return limits.Header > 0 && now.Sub(x.since) > limits.Header
	case !x.begunAt.IsZero():
		return limits.Header > 0 && now.Sub(x.begunAt) > limits.Header
	default:
		return limits.Idle > 0 && now.Sub(x.since) > limits.Idle
	}
}

type countedListener struct{ net.Listener }

// Accept returns a connection that counts its reads.
func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: c}, nil
}

// countedConn counts the reads that returned data.
type countedConn struct {
	net.Conn
	reads atomic.Int64
}

// Read reads from the connection.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.reads.Add(1)
	}
	return n, err
}
