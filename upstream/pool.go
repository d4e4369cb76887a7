package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// errTooManyConnections means that this VM has reached its connection limit for an upstream.
var errTooManyConnections = errors.New("no connection to the upstream is free")

// errTooManyInAll means that this VM has reached its limit of connections to all upstreams together.
var errTooManyInAll = fmt.Errorf("%w: the limit for all upstreams is reached", errTooManyConnections)

// errClosedAtOnce means that an upstream has taken a connection and ended it without a request.
var errClosedAtOnce = errors.New("the connection was closed at once")

// IsClosedAtOnce reports whether an error means that an upstream has taken a connection and ended it without a request: it ends, or has too many.
func IsClosedAtOnce(err error) bool { return errors.Is(err, errClosedAtOnce) }

// IsPoolFull reports whether an error means that the connection limit of an upstream is reached.
func IsPoolFull(err error) bool { return errors.Is(err, errTooManyConnections) }

const (
	// connectTimeout bounds an attempt to connect. An upstream is in the region of its VMs, and a lost packet is sent again after a
	// second only.
	connectTimeout = 500 * time.Millisecond
	// maxConnectTime bounds it if the process does not keep up with its sockets.
	maxConnectTime = 5 * time.Second
)

// idleCheckInterval is the interval at which expired idle connections are closed.
const idleCheckInterval = 2 * time.Second

// Pool is a pool of connections to upstreams. It is safe for concurrent use.
type Pool struct {
	// DialFunc opens a connection. Tests replace it.
	DialFunc func(ctx context.Context, address string) (net.Conn, error)
	// WithTimeout bounds the attempts to connect of the default DialFunc. The default is context.WithTimeout.
	WithTimeout func(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc)
	// Now returns the current time. Tests replace it.
	Now func() time.Time
	// OnUnexpected, if set, is called for bytes that belong to no request. It must not block. It is set before the first request.
	OnUnexpected func(b UnexpectedBytes)

	mu    sync.Mutex
	hosts map[string]*hostConns
	stats PoolStats
	// maxOpen is the maximum number of open connections for requests to all addresses, zero for no limit, and openCount the present number.
	maxOpen, openCount int
}

// PoolStats counts the connections that the pool dialed, reused and discarded.
type PoolStats struct {
	Dialed, Reused, Discarded int64
}

// hostConns holds the connections to one address.
type hostConns struct {
	idle []*conn
	open map[*conn]bool
	// openCount is the number of open connections and of those that are being opened.
	openCount int
	// lastReadAt is the time at which something was last read from a connection, in nanoseconds, zero before.
	lastReadAt atomic.Int64
}

// NewPool returns an empty pool.
func NewPool(now func() time.Time) *Pool {
	p := &Pool{WithTimeout: context.WithTimeout, Now: now, hosts: map[string]*hostConns{}}
	p.DialFunc = p.dialTCP
	return p
}

// dialTCP opens a TCP connection within connectTimeout.
func (p *Pool) dialTCP(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := p.WithTimeout(ctx, connectTimeout)
	defer cancel()
	dialer := &net.Dialer{Timeout: maxConnectTime, KeepAlive: -1}
	c, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil && ctx.Err() != nil {
		return nil, context.Cause(ctx)
	}
	return c, err
}

// Stats returns the current counts.
func (p *Pool) Stats() PoolStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stats
}

// acquire returns an idle connection for a request, or dials one if fewer than limit are open; a limit of zero means no limit.
// It fails before any byte of a request is sent. A response names the id of its request, which all attempts share: a connection that
// has carried one attempt carries no other, since a late second response to the first one could not be distinguished from the expected one.
func (p *Pool) acquire(ctx context.Context, address, id string, limit int) (*conn, error) {
	c := p.takeIdle(address, id)
	if c == nil {
		var err error
		if c, err = p.dialReplacing(ctx, address, limit); err != nil {
			return nil, err
		}
	}
	c.carried.add(id)
	return c, nil
}

// maxReplacements is the number of attempts to close an idle connection for a new one. More than one may be needed, since another request may
// open a connection before this one does.
const maxReplacements = 4

// dialReplacing is dial, but at the limit it closes an idle connection, which cannot carry the request, to make room.
func (p *Pool) dialReplacing(ctx context.Context, address string, limit int) (*conn, error) {
	c, err := p.dialWithin(ctx, address, limit, p.maxConnections())
	for range maxReplacements {
		if !IsPoolFull(err) {
			return c, err
		}
		replaced := address
		if errors.Is(err, errTooManyInAll) {
			replaced = p.addressWithIdle()
		}
		idle := p.pop(replaced, "")
		if idle == nil {
			return nil, err
		}
		p.discard(replaced, idle)
		c, err = p.dialWithin(ctx, address, limit, p.maxConnections())
	}
	return c, err
}

// dial opens a connection if fewer than limit are open to the address; zero means no limit.
func (p *Pool) dial(ctx context.Context, address string, limit int) (*conn, error) {
	return p.dialWithin(ctx, address, limit, 0)
}

// dialWithin is dial if fewer than maxOpen are open to all addresses; zero means no limit.
func (p *Pool) dialWithin(ctx context.Context, address string, limit, maxOpen int) (*conn, error) {
	h, err := p.reserve(address, limit, maxOpen)
	if err != nil {
		return nil, err
	}
	netConn, err := p.DialFunc(ctx, address)
	if err != nil {
		p.release(address)
		return nil, fmt.Errorf("dial upstream %s: %w", address, err)
	}
	c := newConn(netConn, p.Now, func(at time.Time) { h.lastReadAt.Store(at.UnixNano()) })
	p.mu.Lock()
	defer p.mu.Unlock()
	h.open[c] = true
	return c, nil
}

// Connect opens a connection to an upstream for later requests, in order to find out whether it is reachable. It fails if the upstream ends the
// connection within the given time, as a process does that ends.
func (p *Pool) Connect(ctx context.Context, address string, openTime time.Duration) error {
	c, err := p.dial(ctx, address, 0)
	if err != nil {
		return err
	}
	if openTime > 0 && !c.staysOpen(openTime) {
		p.discard(address, c)
		return fmt.Errorf("dial upstream %s: %w", address, errClosedAtOnce)
	}
	p.putIdle(address, c, defaultIdleTimeout)
	return nil
}

// KeepsConnection reports whether a connection to an address that was opened before a time is still open at the upstream: something
// was read since another time from one that is in use, or one that is idle was not closed although something was read from others.
func (p *Pool) KeepsConnection(address string, openedBefore, readSince time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	if h == nil || !readSince.IsZero() && h.lastReadAt.Load() < readSince.UnixNano() {
		return false
	}
	for c := range h.open {
		if c.openedAt.Before(openedBefore) && h.keeps(c, readSince) {
			return true
		}
	}
	return false
}

// keeps reports whether an open connection is still open at the upstream.
func (h *hostConns) keeps(c *conn, readSince time.Time) bool {
	if !slices.Contains(h.idle, c) {
		return c.hasReadSince(readSince)
	}
	idle, _ := c.idleState()
	return idle
}

// LastReadAt returns the time at which something was last read from a connection to an address, zero if nothing was.
func (p *Pool) LastReadAt(address string) time.Time {
	p.mu.Lock()
	h := p.hosts[address]
	p.mu.Unlock()
	if h == nil {
		return time.Time{}
	}
	if at := h.lastReadAt.Load(); at != 0 {
		return time.Unix(0, at)
	}
	return time.Time{}
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(address string) {
	for c := p.pop(address, ""); c != nil; c = p.pop(address, "") {
		p.discard(address, c)
	}
}

// takeIdle returns the most recently used idle connection that can be reused for a request, or nil. It discards the ones
// that cannot be reused at all.
func (p *Pool) takeIdle(address, id string) *conn {
	for {
		c := p.pop(address, id)
		if c == nil {
			return nil
		}
		idle, unread := c.idleState()
		if unread {
			p.reportUnexpected(UnexpectedBytes{Address: address, Reason: BytesWhileIdle})
		}
		if p.Now().Before(c.idleUntil) && idle {
			p.updateStats(func(s *PoolStats) { s.Reused++ })
			c.reused = true
			return c
		}
		p.discard(address, c)
	}
}

// pop removes and returns the most recently used idle connection that has not carried a request with the id, or nil.
func (p *Pool) pop(address, id string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	if h == nil {
		return nil
	}
	for i, c := range slices.Backward(h.idle) {
		if !c.carried.contains(id) {
			h.idle = slices.Delete(h.idle, i, i+1)
			return c
		}
	}
	return nil
}

// reserve counts a connection to an address, or fails if a limit is reached.
func (p *Pool) reserve(address string, limit, maxOpen int) (*hostConns, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if maxOpen > 0 && p.openCount >= maxOpen {
		return nil, errTooManyInAll
	}
	h := p.hosts[address]
	if h == nil {
		h = &hostConns{open: map[*conn]bool{}}
		p.hosts[address] = h
	}
	if limit > 0 && h.openCount >= limit {
		return nil, errTooManyConnections
	}
	h.openCount++
	p.openCount++
	p.stats.Dialed++
	return h, nil
}

func (p *Pool) release(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	h.openCount--
	p.openCount--
	if h.openCount == 0 {
		delete(p.hosts, address)
	}
}

// putIdle makes a connection available to later requests for the idle timeout.
func (p *Pool) putIdle(address string, c *conn, idle time.Duration) {
	c.idleUntil = p.Now().Add(idle)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts[address].idle = append(p.hosts[address].idle, c)
}

func (p *Pool) discard(address string, c *conn) {
	_ = c.Close()
	p.forget(address, c)
	p.release(address)
	p.updateStats(func(s *PoolStats) { s.Discarded++ })
}

func (p *Pool) forget(address string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.hosts[address].open, c)
}

func (p *Pool) updateStats(change func(*PoolStats)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(&p.stats)
}

// Run closes expired idle connections until ctx ends.
func (p *Pool) Run(ctx context.Context) {
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.closeExpired()
		}
	}
}

func (p *Pool) closeExpired() {
	now := p.Now()
	p.mu.Lock()
	expired := map[string][]*conn{}
	for address, h := range p.hosts {
		valid := h.idle[:0]
		for _, c := range h.idle {
			if now.Before(c.idleUntil) {
				valid = append(valid, c)
				continue
			}
			expired[address] = append(expired[address], c)
		}
		h.idle = valid
	}
	p.mu.Unlock()
	for address, conns := range expired {
		for _, c := range conns {
			p.discard(address, c)
		}
	}
}
