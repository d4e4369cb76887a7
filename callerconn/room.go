package callerconn

import (
	"net"
	"net/netip"
	"time"
)

// stallTime is the time after which a connection that makes too little progress may be closed for a new one. It exceeds the time in which a
// lost packet is sent again.
const stallTime = time.Second

// Bounds bound what all connections of a server hold together. Zero means no bound.
type Bounds struct {
	// Connections is the maximum number of open connections.
	Connections int
	// AddressShare is the share of Connections above which a new connection from an address is accepted only if another one of that address
	// can be closed for it.
	AddressShare float64
	// HeadBytes is the maximum number of bytes of header sections that are not complete.
	HeadBytes int64
	// MinBodyRate is the minimum rate of a body, in bytes per second, at which its connection is not closed for another one.
	MinBodyRate int64
}

// Usage holds the present use of the bounds, and the numbers of connections that were closed since the start because a bound was reached.
type Usage struct {
	Connections int
	HeadBytes   int64
	// Refused counts new connections that were closed at once, Replaced those that were closed for new ones, and Heads those that were closed
	// because of HeadBytes.
	Refused, Replaced, Heads int64
}

// room tracks the open connections of a server against their bounds. The mutex of the limiter guards it.
type room struct {
	bounds    Bounds
	open      map[*Conn]bool
	addresses map[netip.Addr]int
	usage     Usage
}

// SetBounds changes the bounds. Connections above lower bounds stay open until new ones arrive.
func (w *Limiter) SetBounds(b Bounds) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.room.bounds = b
}

// Usage returns the present usage.
func (w *Limiter) Usage() Usage {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.room.usage.Connections = len(w.room.open)
	return w.room.usage
}

// Stages is the number of open connections by the stage of their request.
type Stages struct {
	// Idle connections have received no part of a request. Header and Body are those from which a part of one has been read, and Serving those
	// with a complete request, of which Writing have a write that is not taken.
	Idle, Header, Body, Serving, Writing int
}

// Stages returns the present stages of the connections.
func (w *Limiter) Stages() Stages {
	w.mu.Lock()
	defer w.mu.Unlock()
	var n Stages
	for c := range w.room.open {
		switch s := c.state(); {
		case s.phase == serving:
			n.Serving++
			if !s.writingSince.IsZero() {
				n.Writing++
			}
		case s.phase == receiving:
			n.Body++
		case s.received > 0:
			n.Header++
		default:
			n.Idle++
		}
	}
	return n
}

// Listener returns a listener whose connections the limiter bounds.
func (w *Limiter) Listener(l net.Listener) net.Listener { return limitedListener{l, w} }

type limitedListener struct {
	net.Listener
	limiter *Limiter
}

// Accept returns the next connection for which there is room.
func (l limitedListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: accepted, limiter: l.limiter, address: addressOf(accepted), since: time.Now()}
		if l.limiter.add(c, time.Now()) {
			return c, nil
		}
		_ = accepted.Close()
	}
}

// add counts a new connection, and closes another one for it if there is no room. It returns false if none can be closed.
func (w *Limiter) add(c *Conn, now time.Time) bool {
	w.mu.Lock()
	var replaced *Conn
	if w.room.isFull(c.address) {
		if replaced = w.room.replaceable(c.address, now); replaced == nil {
			w.room.usage.Refused++
			w.mu.Unlock()
			return false
		}
		w.room.usage.Replaced++
		w.removeLocked(replaced)
	}
	w.room.open[c] = true
	w.room.addresses[c.address]++
	w.mu.Unlock()
	if replaced != nil {
		_ = replaced.Close()
	}
	return true
}

// isFull reports whether there is no room for another connection from an address.
func (r *room) isFull(from netip.Addr) bool {
	b := r.bounds
	return b.Connections > 0 && (len(r.open) >= b.Connections || r.hasShare(from))
}

// hasShare reports whether an address has all connections that it may have beside those of others.
func (r *room) hasShare(from netip.Addr) bool {
	b := r.bounds
	return b.AddressShare > 0 && r.addresses[from] >= max(1, int(b.AddressShare*float64(b.Connections)))
}

// replaceable returns the connection to close for a new one, and stops its reads, or nil: of the address with the most connections, the one
// that has made no progress for the longest time. If the share of the new one's address is used up, it is one of that address.
func (r *room) replaceable(from netip.Addr, now time.Time) *Conn {
	onlyOwn := r.hasShare(from)
	var best *Conn
	var bestState state
	for c := range r.open {
		if onlyOwn && c.address != from {
			continue
		}
		s := c.state()
		if !r.mayClose(s, now) || best != nil && !r.closesBefore(c, s, best, bestState) {
			continue
		}
		best, bestState = c, s
	}
	if best == nil || !best.stopReads(bestState.reads) {
		return nil
	}
	return best
}

// isIncomplete reports whether a part of a request has arrived.
func (s *state) isIncomplete() bool { return s.received > 0 && s.phase != serving }

// mayClose reports whether a connection may be closed for another one: it has no complete request, or its caller makes too little progress.
func (r *room) mayClose(s state, now time.Time) bool {
	age := now.Sub(s.since)
	switch {
	case s.phase == waiting && s.received > 0:
		return now.Sub(s.readAt) > stallTime // Within stallTime its header may just have become complete, and its request be served.
	case s.phase == waiting:
		return true // Callers retry a request on a new connection if an idle one was closed.
	case s.phase == receiving:
		return age > stallTime && float64(s.received) < float64(r.bounds.MinBodyRate)*age.Seconds()
	default:
		return !s.writingSince.IsZero() && now.Sub(s.writingSince) > stallTime
	}
}

// closesBefore reports whether connection a is closed before b: incomplete requests go first, then connections of the address with the most.
func (r *room) closesBefore(a *Conn, sa state, b *Conn, sb state) bool {
	if ia, ib := sa.isIncomplete(), sb.isIncomplete(); ia != ib {
		return ia
	}
	if na, nb := r.addresses[a.address], r.addresses[b.address]; na != nb {
		return na > nb
	}
	return sa.since.Before(sb.since)
}

// uncountedHeadBytes is the size of a header section up to which the arrival of its bytes does not close its own connection.
const uncountedHeadBytes = 4 << 10

// reserveHead counts bytes of a header section that is not complete. If the bound is exceeded, it closes the connection with the longest one
// that makes no progress, or c itself, and returns false for c.
func (w *Limiter) reserveHead(c *Conn, n int64) bool {
	w.mu.Lock()
	if !w.room.open[c] {
		w.mu.Unlock()
		return false
	}
	w.room.usage.HeadBytes += n
	c.holdHead(n)
	var closed *Conn
	if b := w.room.bounds.HeadBytes; b > 0 && w.room.usage.HeadBytes > b {
		if closed = w.room.longestHead(time.Now()); closed == nil && c.heldHeadBytes() > uncountedHeadBytes {
			closed = c // Read does not return the bytes then, so that the request is not served.
		}
	}
	if closed != nil {
		w.room.usage.Heads++
		w.removeLocked(closed)
	}
	w.mu.Unlock()
	if closed != nil {
		_ = closed.Close()
	}
	return closed != c
}

// longestHead returns the connection with the longest header section that makes no progress, and stops its reads, or nil.
func (r *room) longestHead(now time.Time) *Conn {
	var longest *Conn
	var longestState state
	for c := range r.open {
		if s := c.state(); s.phase == waiting && s.received > longestState.received && r.mayClose(s, now) {
			longest, longestState = c, s
		}
	}
	if longest == nil || !longest.stopReads(longestState.reads) {
		return nil
	}
	return longest
}

// release stops counting a connection that is closed.
func (w *Limiter) release(c *Conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.removeLocked(c)
}

// removeLocked stops counting a connection. The caller holds the mutex.
func (w *Limiter) removeLocked(c *Conn) {
	delete(w.conns, c)
	if !w.room.open[c] {
		return
	}
	delete(w.room.open, c)
	if w.room.addresses[c.address]--; w.room.addresses[c.address] == 0 {
		delete(w.room.addresses, c.address)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	w.room.usage.HeadBytes -= c.heldHead
	c.heldHead = 0
}
