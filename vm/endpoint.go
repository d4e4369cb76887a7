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

// maxHandshakes bounds the incoming connections that have not yet shown the fleet key.
const maxHandshakes = 64

// Endpoint is this VM's side of all its sessions. The function fields are set before use.
type Endpoint struct {
	Self Identity
	Log  *slog.Logger
	// DialFunc opens a connection; tests replace it to impose delay, bandwidth and cuts.
	DialFunc func(ctx context.Context, address string) (net.Conn, error)
	// OnStream serves an incoming stream in a goroutine of its own.
	OnStream func(st *Stream, open vmwire.Open)
	// OnControl receives control messages. It must not block.
	OnControl func(s *Session, f vmwire.Frame)
	// OnUp and OnDown tell of sessions. They must not block.
	OnUp   func(s *Session)
	OnDown func(s *Session, reason error)

	// tls is nil on networks that only VMs reach.
	tls *tls.Config
}

// NewPlainEndpoint returns an endpoint without encryption, for networks that only VMs reach.
func NewPlainEndpoint(self Identity, log *slog.Logger) *Endpoint {
	dialer := &net.Dialer{Timeout: handshakeTimeout}
	return &Endpoint{
		Self: self,
		Log:  log,
		DialFunc: func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		},
	}
}

// NewEndpoint returns an endpoint that accepts only holders of the fleet key.
func NewEndpoint(self Identity, fleetKey []byte, log *slog.Logger) (*Endpoint, error) {
	config, err := TLSConfig(fleetKey)
	if err != nil {
		return nil, err
	}
	e := NewPlainEndpoint(self, log)
	e.tls = config
	return e, nil
}

// Dial opens a session with the VM at the address, IP:port.
func (e *Endpoint) Dial(ctx context.Context, address string) (*Session, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	raw, err := e.DialFunc(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("dial vm %s: %w", address, err)
	}
	conn, err := e.secure(ctx, raw, tls.Client)
	if err != nil {
		_ = raw.Close()
		return nil, fmt.Errorf("handshake with vm %s: %w", address, err)
	}
	return e.start(ctx, conn, true)
}

// secure makes the TLS handshake, if the endpoint uses TLS. It leaves the connection open on failure.
func (e *Endpoint) secure(ctx context.Context, raw net.Conn, side func(net.Conn, *tls.Config) *tls.Conn) (net.Conn, error) {
	if e.tls == nil {
		return raw, nil
	}
	conn := side(raw, e.tls)
	if err := conn.HandshakeContext(ctx); err != nil {
		return nil, err
	}
	return conn, nil
}

// RunListener accepts sessions until the listener is closed.
func (e *Endpoint) RunListener(l net.Listener) error {
	slots := make(chan struct{}, maxHandshakes)
	for {
		raw, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond) // Out of file descriptors: try again.
			continue
		}
		select {
		case slots <- struct{}{}:
			go e.runAccept(raw, slots)
		default:
			_ = raw.Close()
		}
	}
}

func (e *Endpoint) runAccept(raw net.Conn, slots chan struct{}) {
	defer func() { <-slots }()
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	conn, err := e.secure(ctx, raw, tls.Server)
	if err != nil {
		// The line comes first: who sees the connection close finds it in the log.
		event.PeerRefused.Log(e.Log, "address", raw.RemoteAddr().String(), "error", err.Error())
		_ = raw.Close()
		return
	}
	if _, err := e.start(ctx, conn, false); err != nil {
		event.PeerRefused.Log(e.Log, "address", raw.RemoteAddr().String(), "error", err.Error())
	}
}

// start exchanges hellos, which ends with ctx, and starts the session's goroutines.
func (e *Endpoint) start(ctx context.Context, conn net.Conn, dialed bool) (*Session, error) {
	s, err := newSession(ctx, e, conn, dialed)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	if e.OnUp != nil {
		e.OnUp(s)
	}
	go s.runWrite()
	go s.runKeepalive()
	go e.runSession(s)
	return s, nil
}

func (e *Endpoint) runSession(s *Session) {
	s.runRead()
	if e.OnDown != nil {
		e.OnDown(s, s.reason)
	}
}

func (e *Endpoint) runStream(st *Stream, open vmwire.Open) {
	e.OnStream(st, open)
}
