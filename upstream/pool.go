package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
)

// errTooManyConnections says that this VM holds all the connections to an upstream that it may.
var errTooManyConnections = errors.New("no connection to the upstream is free")

// PoolFull reports whether an error says that this VM holds all the connections that it may.
func PoolFull(err error) bool { return errors.Is(err, errTooManyConnections) }

// sweepInterval is the period at which idle connections are checked.
const sweepInterval = 2 * time.Second

// Pool keeps connections to upstreams. It is safe for concurrent use.
type Pool struct {
	// DialFunc opens a connection; tests replace it.
	DialFunc func(ctx context.Context, address string) (net.Conn, error)
	// Now returns the present time; tests replace it.
	Now func() time.Time

	mu    sync.Mutex
	hosts map[string]*host
	stats PoolStats
}

// PoolStats counts what the pool has done.
type PoolStats struct {
	Dialed, Reused, Discarded int64
}

// host holds the connections to one address.
type host struct {
	idle []*conn
	open int
}

// NewPool returns an empty pool.
func NewPool(now func() time.Time) *Pool {
	dialer := &net.Dialer{Timeout: time.Second, KeepAlive: -1}
	return &Pool{
		DialFunc: func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		},
		Now:   now,
		hosts: map[string]*host{},
	}
}

// Stats returns the counts.
func (p *Pool) Stats() PoolStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stats
}

// get returns a kept connection, or a new one while fewer than limit are open. No byte of a request has
// left if it fails.
func (p *Pool) get(ctx context.Context, address string, limit int) (*conn, error) {
	if c := p.kept(address); c != nil {
		return c, nil
	}
	if !p.reserve(address, limit) {
		return nil, errTooManyConnections
	}
	raw, err := p.DialFunc(ctx, address)
	if err != nil {
		p.release(address)
		return nil, fmt.Errorf("dial upstream %s: %w", address, err)
	}
	return newConn(raw), nil
}

// kept returns the connection that was used last and is still usable, or nil.
func (p *Pool) kept(address string) *conn {
	for {
		c := p.pop(address)
		if c == nil {
			return nil
		}
		if p.Now().Before(c.idleUntil) && c.quiet() {
			p.count(func(s *PoolStats) { s.Reused++ })
			c.reused = true
			return c
		}
		p.discard(address, c)
	}
}

func (p *Pool) pop(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	if h == nil || len(h.idle) == 0 {
		return nil
	}
	c := h.idle[len(h.idle)-1]
	h.idle = h.idle[:len(h.idle)-1]
	return c
}

func (p *Pool) reserve(address string, limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	if h == nil {
		h = &host{}
		p.hosts[address] = h
	}
	if limit > 0 && h.open >= limit {
		return false
	}
	h.open++
	p.stats.Dialed++
	return true
}

func (p *Pool) release(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	h.open--
	if h.open == 0 {
		delete(p.hosts, address)
	}
}

// put keeps a connection for the next request.
func (p *Pool) put(address string, c *conn, idle time.Duration) {
	c.idleUntil = p.Now().Add(idle)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts[address].idle = append(p.hosts[address].idle, c)
}

func (p *Pool) discard(address string, c *conn) {
	_ = c.Close()
	p.release(address)
	p.count(func(s *PoolStats) { s.Discarded++ })
}

func (p *Pool) count(change func(*PoolStats)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(&p.stats)
}

// Run closes idle connections that must not be used again, until ctx ends.
func (p *Pool) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.sweep()
		}
	}
}

func (p *Pool) sweep() {
	now := p.Now()
	p.mu.Lock()
	expired := map[string][]*conn{}
	for address, h := range p.hosts {
		kept := h.idle[:0]
		for _, c := range h.idle {
			if now.Before(c.idleUntil) {
				kept = append(kept, c)
				continue
			}
			expired[address] = append(expired[address], c)
		}
		h.idle = kept
	}
	p.mu.Unlock()
	for address, conns := range expired {
		for _, c := range conns {
			p.discard(address, c)
		}
	}
}
