package soak

import (
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Faults of a link.
const (
	passes int32 = iota
	// delays adds linkDelay to each piece, silences drops nothing but passes nothing on either, silencesAnswers does
	// so with what comes back, and resets ends all connections at once.
	delays
	silences
	silencesAnswers
	resets
)

const linkDelay = 80 * time.Millisecond

// proxy is a link on loopback that can be disturbed. A connection that was silent stays so: what was lost on it
// does not come again.
type proxy struct {
	target   string
	listener net.Listener
	fault    atomic.Int32

	mu    sync.Mutex
	conns map[net.Conn]bool
}

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for the link to %s: %w", target, err)
	}
	p := &proxy{target: target, listener: listener, conns: map[net.Conn]bool{}}
	go p.run()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) close() {
	_ = p.listener.Close()
	p.reset()
}

// set changes the fault. Resetting is done once.
func (p *proxy) set(fault int32) {
	p.fault.Store(fault)
	if fault == resets {
		p.reset()
	}
}

func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // Close with a reset.
		}
		_ = c.Close()
	}
}

func (p *proxy) run() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.runLink(c)
	}
}

func (p *proxy) runLink(near net.Conn) {
	far, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = near.Close()
		return
	}
	p.keep(near, far, true)
	done := make(chan struct{}, 2)
	go p.runCopy(far, near, false, done)
	go p.runCopy(near, far, true, done)
	<-done
	_ = near.Close()
	_ = far.Close()
	<-done
	p.keep(near, far, false)
}

func (p *proxy) keep(near, far net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range []net.Conn{near, far} {
		if open {
			p.conns[c] = true
			continue
		}
		delete(p.conns, c)
	}
}

// runCopy passes one direction on.
func (p *proxy) runCopy(to io.Writer, from io.Reader, back bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, 16<<10)
	lost := false
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		switch fault := p.fault.Load(); {
		case fault == silences || fault == silencesAnswers && back:
			lost = true
		case fault == delays:
			time.Sleep(linkDelay)
		}
		if lost {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}
