// Package callerconn closes connections of callers that are idle for too long or take too long to send a header, and bounds the
// number of connections and the memory of incomplete header sections. Unlike the timeouts of net/http, these limits may change while
// connections are open.
package callerconn

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// sweepInterval is the interval at which connections are checked. A connection may exceed its limit by up to this
// time.
const sweepInterval = 250 * time.Millisecond

// Limits are the timeouts of connections that wait for a request. Zero means no limit.
type Limits struct {
	// Header is the maximum time to receive a header, counted from the start of the connection for the first
	// request and from the first byte of the header for later requests.
	Header time.Duration
	// Idle is the maximum time between two requests.
	Idle time.Duration
}

// Limiter enforces the limits on the connections of one server. It is safe for concurrent use.
type Limiter struct {
	mu    sync.Mutex
	conns map[*Conn]*waitingConn
	room  room
	// closed is the number of connections that were closed for exceeding a limit.
	closed atomic.Int64
}

// waitingConn is a connection that has not received a complete request header.
type waitingConn struct {
	conn         *Conn
	waitingSince time.Time
	// idle is set if the connection has served a request before.
	idle bool
	// reads is the number of reads at the start of the wait. headerStartedAt is the time of the first sweep that
	// saw another read, zero before.
	reads           int64
	headerStartedAt time.Time
}

// New returns a Limiter without connections.
func New() *Limiter {
	return &Limiter{conns: map[*Conn]*waitingConn{}, room: room{open: map[*Conn]bool{}, addresses: map[netip.Addr]int{}}}
}

// Closed returns the number of connections that were closed for exceeding a limit.
func (w *Limiter) Closed() int64 { return w.closed.Load() }

// ConnState is the ConnState hook of the http.Server. Connections not accepted by Listener are ignored.
func (w *Limiter) ConnState(c net.Conn, state http.ConnState) {
	cc, ok := c.(*Conn)
	if !ok {
		return
	}
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	switch state {
	case http.StateNew, http.StateIdle:
		w.room.usage.HeadBytes -= cc.enter(waiting, now)
		w.conns[cc] = &waitingConn{conn: cc, waitingSince: now, idle: state == http.StateIdle, reads: cc.readCount()}
	case http.StateActive:
		w.room.usage.HeadBytes -= cc.enter(serving, now)
		delete(w.conns, cc)
	default:
		w.removeLocked(cc)
	}
}

// Run closes connections that exceed a limit until ctx ends. limits returns the current limits.
func (w *Limiter) Run(ctx context.Context, limits func() Limits) {
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

func (w *Limiter) sweep(now time.Time, limits Limits) {
	w.mu.Lock()
	var expired []*Conn
	for c, wc := range w.conns {
		reads := wc.conn.readCount()
		if wc.expired(now, limits, reads) && wc.conn.stopReads(reads) {
			expired = append(expired, c)
			delete(w.conns, c)
		}
	}
	w.mu.Unlock()
	for _, c := range expired {
		w.closed.Add(1)
		_ = c.Close()
	}
}

// expired reports whether the connection has exceeded a limit after a number of reads. On an idle connection, the header
// limit applies once the next header has started to arrive.
func (wc *waitingConn) expired(now time.Time, limits Limits, reads int64) bool {
	if wc.headerStartedAt.IsZero() && reads != wc.reads {
		wc.headerStartedAt = now
	}
	switch {
	case !wc.idle:
		return limits.Header > 0 && now.Sub(wc.waitingSince) > limits.Header
	case !wc.headerStartedAt.IsZero():
		return limits.Header > 0 && now.Sub(wc.headerStartedAt) > limits.Header
	default:
		return limits.Idle > 0 && now.Sub(wc.waitingSince) > limits.Idle
	}
}
