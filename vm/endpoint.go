package vm

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"time"

	"parsleyhatch/event"
	"parsleyhatch/vmwire"
)

// maxHandshakes bounds the incoming connections whose handshake is in progress.
const maxHandshakes = 64

// Endpoint dials and accepts the sessions of this VM. The function fields must be set before use.
type Endpoint struct {
	Self Identity
	Log  *slog.Logger
	// DialFunc opens a connection. Tests replace it to emulate delay, limited bandwidth and broken links.
	DialFunc func(ctx context.Context, address string) (net.Conn, error)
	// OnStream handles an incoming stream. Each call runs in its own goroutine.
	OnStream func(st *Stream, open vmwire.Open)
	// OnControl handles a control message. It must not block.
	OnControl func(s *Session, f vmwire.Frame)
	// OnSessionOpened is called when a session opens and OnSessionClosed when it ends. They must not block.
	OnSessionOpened func(s *Session)
	OnSessionClosed func(s *Session, reason error)
	// OnOtherProtocol, if set, is called when a VM that speaks another protocol is refused a session. It must not block.
	OnOtherProtocol func(protocol uint32)
	// SentSameRegion and SentOtherRegions count what was sent to VMs of this region and of other regions.
	SentSameRegion, SentOtherRegions SentCounts

	// tls is nil if sessions are not encrypted.
	tls *tls.Config
}

// NewInsecureEndpoint returns an endpoint without encryption or authentication, for networks that only VMs can reach.
func NewInsecureEndpoint(self Identity, log *slog.Logger) *Endpoint {
	dialer := &net.Dialer{Timeout: handshakeTimeout}
	return &Endpoint{
		Self: self,
		Log:  log,
		DialFunc: func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		},
	}
}

// NewEndpoint returns an endpoint whose sessions use TLS and require the peer to hold the fleet key.
func NewEndpoint(self Identity, fleetKey []byte, log *slog.Logger) (*Endpoint, error) {
	config, err := TLSConfig(fleetKey)
	if err != nil {
		return nil, err
	}
	e := NewInsecureEndpoint(self, log)
	e.tls = config
	return e, nil
}

// Dial opens a session with the VM at an address, IP:port.
func (e *Endpoint) Dial(ctx context.Context, address string) (*Session, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	raw, err := e.DialFunc(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("dial vm %s: %w", address, err)
	}
	conn, err := e.handshakeTLS(ctx, raw, tls.Client)
	if err != nil {
		_ = raw.Close()
		return nil, fmt.Errorf("handshake with vm %s: %w", address, err)
	}
	return e.startSession(ctx, conn, true)
}

// handshakeTLS performs the TLS handshake if the endpoint uses TLS. On failure the caller must close the connection.
func (e *Endpoint) handshakeTLS(ctx context.Context, raw net.Conn, newTLSConn func(net.Conn, *tls.Config) *tls.Conn) (net.Conn, error) {
	if e.tls == nil {
		return raw, nil
	}
	conn := newTLSConn(raw, e.tls)
	if err := conn.HandshakeContext(ctx); err != nil {
		return nil, err
	}
	return conn, nil
}

// Serve accepts sessions until the listener is closed. Connections above maxHandshakes are closed at once.
func (e *Endpoint) Serve(l net.Listener) error {
	handshakes := make(chan struct{}, maxHandshakes)
	for {
		raw, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond) // Retry after a transient error, such as exhausted file descriptors.
			continue
		}
		select {
		case handshakes <- struct{}{}:
			go e.runAccept(raw, handshakes)
		default:
			_ = raw.Close()
		}
	}
}

func (e *Endpoint) runAccept(raw net.Conn, handshakes chan struct{}) {
	defer func() { <-handshakes }()
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	conn, err := e.handshakeTLS(ctx, raw, tls.Server)
	if err != nil {
		// Log before closing, so that the refusal is in the log once the peer sees the connection close.
		event.PeerRefused.Log(e.Log, "address", raw.RemoteAddr().String(), "error", err.Error())
		_ = raw.Close()
		return
	}
	if _, err := e.startSession(ctx, conn, false); err != nil {
		event.PeerRefused.Log(e.Log, "address", raw.RemoteAddr().String(), "error", err.Error())
	}
}

// startSession exchanges hellos until the deadline of ctx and starts the goroutines of the session.
func (e *Endpoint) startSession(ctx context.Context, conn net.Conn, dialed bool) (*Session, error) {
	s, err := newSession(ctx, e, conn, dialed)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	if e.OnSessionOpened != nil {
		e.OnSessionOpened(s)
	}
	go s.runWrite()
	go s.runKeepalive()
	go e.runSession(s)
	return s, nil
}

func (e *Endpoint) runSession(s *Session) {
	s.runRead()
	if e.OnSessionClosed != nil {
		e.OnSessionClosed(s, s.reason)
	}
}

// runStream serves a stream. A panic resets this stream and does not end the process.
func (e *Endpoint) runStream(st *Stream, open vmwire.Open) {
	defer func() {
		if value := recover(); value != nil {
			_ = event.Recovered(e.Log, event.PeerPanic, value, "peer", st.Peer().Slot, "request", open.RequestID)
			st.Reset()
		}
	}()
	e.OnStream(st, open)
}
