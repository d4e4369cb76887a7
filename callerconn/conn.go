package callerconn

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"
)

// phase is the stage of the request that a connection carries.
type phase int

const (
	// waiting means that no complete header has arrived.
	waiting phase = iota
	// receiving means that the body of a request is being read.
	receiving
	// serving means that a complete request is open.
	serving
)

// maxWriteBytes bounds a single write to the connection, so that writingSince shows whether a caller that reads slowly makes progress.
const maxWriteBytes = 16 << 10

// Conn is a connection of a caller. It counts the reads that returned data, and records the progress of reads and writes.
type Conn struct {
	net.Conn
	limiter *Limiter
	address netip.Addr

	mu    sync.Mutex
	reads int64
	// stopped is set once the connection is about to be closed.
	stopped bool
	phase   phase
	// since is the time at which the phase began, and received the number of bytes that have arrived in it.
	since    time.Time
	received int64
	// readAt is the time of the latest read that returned data.
	readAt time.Time
	// heldHead is the number of bytes of a header section that the limiter counts.
	heldHead int64
	// writingSince is the time at which the present write began, zero if there is none.
	writingSince time.Time
}

// addressOf returns the IP address of the other end, the zero address if it has none.
func addressOf(c net.Conn) netip.Addr {
	tcp, ok := c.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return netip.Addr{}
	}
	return tcp.AddrPort().Addr().Unmap()
}

// Read reads from the connection. After stopReads it returns no data: the server would serve a request that arrives
// while the connection is closed, and could not answer it.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	head, ok := c.recordRead(int64(n))
	if !ok || head && !c.limiter.reserveHead(c, int64(n)) {
		return 0, net.ErrClosed
	}
	return n, err
}

// recordRead records that n bytes have arrived, and reports whether they belong to a header section. It returns false after stopReads.
func (c *Conn) recordRead(n int64) (head, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		return false, false
	}
	c.reads++
	c.received += n
	c.readAt = time.Now()
	return c.phase == waiting, true
}

// Write writes to the connection in pieces of at most maxWriteBytes.
func (c *Conn) Write(b []byte) (int, error) {
	defer c.setWriting(time.Time{})
	written := 0
	for {
		c.setWriting(time.Now())
		n, err := c.Conn.Write(b[written:min(len(b), written+maxWriteBytes)])
		written += n
		if err != nil || written == len(b) {
			return written, err
		}
	}
}

func (c *Conn) setWriting(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writingSince = at
}

// Close closes the connection. The limiter does not count it any more.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.limiter.release(c)
	return err
}

// holdHead adds to the bytes of a header section that the limiter counts.
func (c *Conn) holdHead(n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heldHead += n
}

func (c *Conn) heldHeadBytes() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.heldHead
}

// enter starts a phase and returns the bytes of a header section that the connection no longer holds.
func (c *Conn) enter(p phase, now time.Time) (head int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	head = c.heldHead
	c.phase, c.since, c.received, c.heldHead = p, now, 0, 0
	return head
}

// StartBody records that the body of a request is being read.
func (c *Conn) StartBody() {
	if c != nil {
		c.enter(receiving, time.Now())
	}
}

// EndBody records that the body has arrived completely, or is no longer read.
func (c *Conn) EndBody() {
	if c != nil {
		c.enter(serving, time.Now())
	}
}

// state is a copy of what decides whether a connection may be closed.
type state struct {
	phase        phase
	since        time.Time
	received     int64
	readAt       time.Time
	reads        int64
	writingSince time.Time
}

func (c *Conn) state() state {
	c.mu.Lock()
	defer c.mu.Unlock()
	return state{phase: c.phase, since: c.since, received: c.received, readAt: c.readAt, reads: c.reads, writingSince: c.writingSince}
}

func (c *Conn) readCount() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reads
}

// stopReads makes the connection return no more data, unless it has returned some after the given number of reads. It
// reports whether it did.
func (c *Conn) stopReads(reads int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = c.stopped || c.reads == reads
	return c.stopped
}

type contextKey struct{}

// ConnContext is the ConnContext hook of the http.Server.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, c)
}

// FromContext returns the connection of a request, nil if its server does not use ConnContext.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(contextKey{}).(*Conn)
	return c
}
