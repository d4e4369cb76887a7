// Package faultlink relays TCP connections on loopback over links that delay, lose, cut and refuse them.
package faultlink

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Fault is what a link does to the data of its connections.
type Fault int32

// Faults of a link.
const (
	Normal Fault = iota
	// Delayed delays each chunk of data by chunkDelay.
	Delayed
	// DropsAll discards the data of both directions and leaves the connections open.
	DropsAll
	// DropsResponses discards the data from the target and leaves the connections open.
	DropsResponses
	// Reset resets all open connections once.
	Reset
	// DropsRequests discards the data to the target and leaves the connections open.
	DropsRequests
	// Silent holds all data back until the fault ends.
	Silent
	// Lossy holds some chunks of data back for a time, as TCP does for lost packets.
	Lossy
	// Closes ends all open connections once with FIN, as the kernel does for a proxy that ends, and passes resets on as FIN.
	Closes
)

const (
	chunkDelay = 80 * time.Millisecond
	// A lossy link holds one of lossyEvery chunks back, each for a time between minRetransmission and maxRetransmission.
	lossyEvery        = 6
	minRetransmission = 200 * time.Millisecond
	maxRetransmission = 900 * time.Millisecond
	// openBacklog is the number of connections that wait to be accepted at a link without faults, and maxWaitingConnections the
	// number of attempts within which a queue of length zero is full.
	openBacklog           = 128
	maxWaitingConnections = 4
	// fillTimeout is the time after which an attempt to connect counts as unanswered.
	fillTimeout = 20 * time.Millisecond
	// hangPollInterval is the interval at which a link looks whether it accepts connections again.
	hangPollInterval = 20 * time.Millisecond
)

var errBacklogNotFull = errors.New("connections are answered although the queue is full")

// RewriteFunc changes the data of one direction of a connection in place. It returns the delay of that direction, and reports whether it
// is cut.
type RewriteFunc func(data []byte, toClient bool) (delay time.Duration, cut bool)

// Settings configure a link.
type Settings struct {
	// Target is the address to which connections lead, and LocalIP the IP from which they come, any if it is empty.
	Target, LocalIP string
	// Cuts, if set, is the number of faults that discard the data of all links that share it.
	Cuts *atomic.Int32
	// NewRewrite, if set, returns a function that changes the data of a connection in place.
	NewRewrite func() RewriteFunc
	// Delay is the time by which data arrives later than it was sent. Delays means that NewRewrite returns it instead.
	Delay  time.Duration
	Delays bool
	// HoldsCloses means that the end of a connection does not pass a direction whose data is discarded or held back.
	HoldsCloses bool
}

// Link relays TCP connections. After it has discarded data of a connection in one direction, it discards all later data of that
// direction, too: the receiver must not see a stream with a gap.
type Link struct {
	settings Settings
	dialer   net.Dialer
	fault    atomic.Int32

	mu       sync.Mutex
	target   string
	listener net.Listener
	// paused is received from to wait until runAccept of the listener is outside of Accept. It is closed when runAccept ends.
	paused chan struct{}
	conns  map[net.Conn]bool
	// refusing counts the faults that refuse new connections.
	refusing int
	// hanging counts the faults that answer no new connections.
	hanging int
	closed  bool
}

// Listen returns a link that accepts connections at an address.
func Listen(address string, settings Settings) (*Link, error) {
	p := &Link{settings: settings, target: settings.Target, conns: map[net.Conn]bool{}}
	if settings.LocalIP != "" {
		p.dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(settings.LocalIP)}
	}
	return p, p.listen(address)
}

func (p *Link) listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen for the link to %s: %w", p.target, err)
	}
	p.listener = listener
	p.paused = make(chan struct{})
	go p.runAccept(listener, p.paused)
	return nil
}

// SetTarget sets the address to which later connections lead.
func (p *Link) SetTarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// targetAddress returns the address to which connections lead.
func (p *Link) targetAddress() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.target
}

// Address returns the address at which the link accepts connections, IP:port.
func (p *Link) Address() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listener.Addr().String()
}

// Close ends the link and resets its connections.
func (p *Link) Close() {
	p.mu.Lock()
	p.closed = true
	_ = p.listener.Close()
	p.mu.Unlock()
	p.ResetConnections()
}

// Refuse makes the link refuse new connections until Accept has been called as often.
func (p *Link) Refuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refusing++
	_ = p.listener.Close()
}

// Accept ends a Refuse.
func (p *Link) Accept() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refusing--
	if p.refusing > 0 || p.closed {
		return nil
	}
	if err := p.listen(p.listener.Addr().String()); err != nil || p.hanging == 0 {
		return err
	}
	return p.fillBacklog()
}

// Hang makes attempts to connect wait without an answer until Answer has been called as often.
func (p *Link) Hang() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hanging++
	if p.refusing > 0 || p.closed {
		return nil
	}
	return p.fillBacklog()
}

// Answer ends a Hang.
func (p *Link) Answer() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hanging--
	if p.hanging > 0 || p.refusing > 0 || p.closed {
		return nil
	}
	tcp := p.listener.(*net.TCPListener)
	return errors.Join(setBacklog(tcp, openBacklog), tcp.SetDeadline(time.Time{}))
}

// fillBacklog stops the acceptance of connections and fills the queue of those that wait for it. The kernel does not answer further
// attempts to connect then.
func (p *Link) fillBacklog() error {
	tcp := p.listener.(*net.TCPListener)
	if err := tcp.SetDeadline(time.Now()); err != nil {
		return err
	}
	// An Accept that passed its check of the deadline before may still take a connection from the queue.
	<-p.paused
	if err := setBacklog(tcp, 0); err != nil {
		return err
	}
	for range maxWaitingConnections {
		c, err := net.DialTimeout("tcp", tcp.Addr().String(), fillTimeout)
		if err != nil {
			return nil
		}
		_ = c.Close()
	}
	return errBacklogNotFull
}

// setBacklog sets the length of the queue of connections that wait to be accepted.
func setBacklog(listener *net.TCPListener, length int) error {
	raw, err := listener.SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	err = raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), length) })
	return errors.Join(err, listenErr)
}

// SetFault sets the fault of the link. Reset and Closes end the open connections; later ones work.
func (p *Link) SetFault(fault Fault) {
	p.fault.Store(int32(fault))
	switch fault {
	case Reset:
		p.ResetConnections()
	case Closes:
		p.closeConnections()
	}
}

// ClearFault ends a fault unless another one has taken its place.
func (p *Link) ClearFault(fault Fault) { p.fault.CompareAndSwap(int32(fault), int32(Normal)) }

func (p *Link) current() Fault { return Fault(p.fault.Load()) }

// closeConnections ends the open connections with FIN. Each is closed once its peer has ended it, too: a Close would reset it if data
// waits to be read.
func (p *Link) closeConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		closeWrite(c)
	}
}

// closeWrite ends a connection with FIN in one direction.
func closeWrite(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.CloseWrite() // Fails only if the connection is closed.
	}
}

// ResetConnections resets the open connections.
func (p *Link) ResetConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		ResetOnClose(c) // Holds for the Close of runConnection, too, which follows the first one below.
	}
	for c := range p.conns {
		_ = c.Close()
	}
}

// ResetOnClose makes Close send a reset.
func ResetOnClose(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // Fails only if the connection is closed.
	}
}

// runAccept relays the connections of a listener until the listener is closed. Past the deadline of the listener, it accepts none and
// sends on paused.
func (p *Link) runAccept(listener net.Listener, paused chan<- struct{}) {
	defer close(paused)
	for {
		c, err := listener.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			select {
			case paused <- struct{}{}:
			case <-time.After(hangPollInterval):
			}
			continue
		}
		if err != nil {
			return
		}
		go p.runConnection(c)
	}
}

func (p *Link) runConnection(clientConn net.Conn) {
	targetConn, err := p.dialer.Dial("tcp", p.targetAddress())
	if err != nil {
		ResetOnClose(clientConn)
		_ = clientConn.Close()
		return
	}
	p.trackConnections(clientConn, targetConn, true)
	done := make(chan bool, 2)
	rewrite := func([]byte, bool) (time.Duration, bool) { return p.settings.Delay, false }
	if p.settings.NewRewrite != nil {
		rewrite = p.settings.NewRewrite()
	}
	go p.runCopy(targetConn, clientConn, rewrite, false, done)
	go p.runCopy(clientConn, targetConn, rewrite, true, done)
	p.awaitClose(<-done, rewrite)
	_ = clientConn.Close()
	_ = targetConn.Close()
	<-done
	p.trackConnections(clientConn, targetConn, false)
}

func (p *Link) trackConnections(clientConn, targetConn net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range []net.Conn{clientConn, targetConn} {
		if open {
			p.conns[c] = true
			continue
		}
		delete(p.conns, c)
	}
}

// drops reports whether a fault discards the data of a direction.
func drops(fault Fault, toClient bool) bool {
	switch fault {
	case DropsAll:
		return true
	case DropsResponses:
		return toClient
	case DropsRequests:
		return !toClient
	}
	return false
}

// awaitClose waits until the end of a connection may pass in a direction.
func (p *Link) awaitClose(toClient bool, rewrite RewriteFunc) {
	for p.holdsEnd(toClient, rewrite) {
		time.Sleep(hangPollInterval)
	}
}

func (p *Link) holdsEnd(toClient bool, rewrite RewriteFunc) bool {
	_, cut := rewrite(nil, toClient)
	return cut || p.settings.HoldsCloses && (p.isCut() || p.current() == Silent || drops(p.current(), toClient))
}

// isCut reports whether a fault of all links that share cuts discards the data.
func (p *Link) isCut() bool { return p.settings.Cuts != nil && p.settings.Cuts.Load() > 0 }

// awaitRetransmission waits for some chunks of data as long as a lossy link holds them back.
func awaitRetransmission() {
	if rand.IntN(lossyEvery) == 0 {
		time.Sleep(minRetransmission + rand.N(maxRetransmission-minRetransmission))
	}
}

// awaitData waits while the link holds data back.
func (p *Link) awaitData() {
	for p.current() == Silent {
		time.Sleep(hangPollInterval)
	}
}

// runCopy copies the data of one direction and applies the current fault. It passes on how the direction ends, and sends the direction.
func (p *Link) runCopy(to, from net.Conn, rewrite RewriteFunc, toClient bool, done chan<- bool) {
	defer func() { done <- toClient }()
	write := func(data []byte, _ time.Duration) error {
		_, err := to.Write(data)
		return err
	}
	if p.settings.Delays || p.settings.Delay > 0 {
		line := NewLine(to, sleepUntil)
		defer func() { line.Finish(time.Now()) }()
		write = func(data []byte, delay time.Duration) error { return line.Write(data, time.Now().Add(delay)) }
	}
	buf := make([]byte, 16<<10)
	stalled := false
	for {
		n, err := from.Read(buf)
		if err != nil {
			switch wasReset := errors.Is(err, syscall.ECONNRESET); {
			case wasReset && !stalled && p.current() == Closes:
				closeWrite(to)
			case stalled || wasReset:
				ResetOnClose(to) // A reset is passed on as one, and a FIN never arrives behind data that was lost.
			}
			return
		}
		switch fault := p.current(); {
		case p.isCut() || drops(fault, toClient):
			stalled = true
		case fault == Silent:
			p.awaitData()
		case fault == Delayed:
			time.Sleep(chunkDelay)
		case fault == Lossy:
			awaitRetransmission()
		}
		delay, cut := rewrite(buf[:n], toClient)
		stalled = stalled || cut
		if stalled {
			continue
		}
		if err := write(buf[:n], delay); err != nil {
			ResetOnClose(from)
			return
		}
	}
}

// Links are links that have faults together.
type Links []*Link

// Each applies a change to all links.
func (all Links) Each(change func(link *Link) error) error {
	var err error
	for _, link := range all {
		err = errors.Join(err, change(link))
	}
	return err
}

// SetFault sets the fault of all links.
func (all Links) SetFault(fault Fault) {
	for _, link := range all {
		link.SetFault(fault)
	}
}

// Refuse makes all links refuse new connections, and resets the open ones if resets says so.
func (all Links) Refuse(resets bool) {
	for _, link := range all {
		link.Refuse()
		if resets {
			link.ResetConnections()
		}
	}
}

// Hang makes all links answer no new connections, at the same time: each one takes a while.
func (all Links) Hang() error {
	errs := make([]error, len(all))
	var hanging sync.WaitGroup
	for i, link := range all {
		hanging.Go(func() { errs[i] = link.Hang() })
	}
	hanging.Wait()
	return errors.Join(errs...)
}
