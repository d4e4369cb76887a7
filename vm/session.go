package vm

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tinylib/msgp/msgp"

	"parsleyhatch/vmwire"
)

const (
	// handshakeTimeout bounds the TLS handshake and the exchange of hellos.
	handshakeTimeout = 5 * time.Second
	// writeTimeout bounds one write to the connection.
	writeTimeout = 10 * time.Second
	// outQueue is the number of encoded frames that may wait for the connection.
	outQueue = 256
	// maxStreams bounds the open streams of a session.
	maxStreams = 20000
)

// Errors of sessions and streams.
var (
	ErrSessionClosed = errors.New("vm session closed")
	ErrStreamReset   = errors.New("stream reset by the other vm")
	ErrTooMany       = errors.New("too many open streams")
)

// Session is a connection to another VM.
type Session struct {
	// Peer is the identity that the other VM announced.
	Peer Identity
	// Dialed says that this side opened the connection.
	Dialed bool

	endpoint *Endpoint
	conn     net.Conn
	reader   *bufio.Reader
	out      chan *[]byte
	done     chan struct{}
	once     sync.Once
	reason   error
	nextID   atomic.Uint64
	sent     atomic.Int64
	received atomic.Int64
	// heardAt is when the last frame arrived, in Unix nanoseconds.
	heardAt atomic.Int64
	// started is when the session was opened, and heardAfter how long after it the last frame arrived.
	started    time.Time
	heardAfter atomic.Int64

	mu      sync.Mutex
	streams map[uint64]*Stream
}

// newSession exchanges hellos on a connection until the deadline of ctx.
func newSession(ctx context.Context, e *Endpoint, conn net.Conn, dialed bool) (*Session, error) {
	s := &Session{
		Dialed:   dialed,
		endpoint: e,
		conn:     conn,
		reader:   bufio.NewReaderSize(conn, 16<<10),
		out:      make(chan *[]byte, outQueue),
		done:     make(chan struct{}),
		started:  time.Now(),
		streams:  map[uint64]*Stream{},
	}
	s.nextID.Store(2)
	if dialed {
		s.nextID.Store(1)
	}
	if limit, ok := ctx.Deadline(); ok {
		_ = conn.SetDeadline(limit)
	}
	if err := s.exchangeHello(); err != nil {
		return nil, err
	}
	return s, conn.SetDeadline(time.Time{})
}

func (s *Session) exchangeHello() error {
	hello := s.endpoint.Self.hello()
	body, err := hello.MarshalMsg(nil)
	if err != nil {
		return fmt.Errorf("encode hello: %w", err)
	}
	buf, err := appendFrame(nil, &vmwire.Frame{Kind: vmwire.KindHello, Body: body})
	if err != nil {
		return err
	}
	if _, err := s.conn.Write(buf); err != nil {
		return fmt.Errorf("send hello: %w", err)
	}
	f, err := ReadFrame(s.reader)
	if err != nil {
		return fmt.Errorf("receive hello: %w", err)
	}
	if f.Kind != vmwire.KindHello {
		return fmt.Errorf("receive hello: frame of kind %d", f.Kind)
	}
	var peer vmwire.Hello
	if err := Decode(f, &peer); err != nil {
		return err
	}
	if peer.Protocol != vmwire.Protocol {
		return fmt.Errorf("peer %q speaks protocol %d, want %d", peer.Slot, peer.Protocol, vmwire.Protocol)
	}
	s.Peer = identityOf(peer)
	return nil
}

// Done is closed when the session has ended.
func (s *Session) Done() <-chan struct{} { return s.done }

// BytesSent returns the bytes written to the session so far.
func (s *Session) BytesSent() int64 { return s.sent.Load() }

// BytesReceived returns the bytes of frames read from the session so far.
func (s *Session) BytesReceived() int64 { return s.received.Load() }

// HeardAt returns when the last frame arrived, on the steady clock; the start of the session counts as one.
func (s *Session) HeardAt() time.Time { return s.started.Add(time.Duration(s.heardAfter.Load())) }

// Close ends the session and all of its streams.
func (s *Session) Close(reason error) {
	s.once.Do(func() {
		s.reason = reason
		close(s.done)
		_ = s.conn.Close()
		s.mu.Lock()
		streams := s.streams
		s.streams = map[uint64]*Stream{}
		s.mu.Unlock()
		for _, st := range streams {
			st.fail(ErrSessionClosed)
		}
	})
}

// Control sends a message outside any stream. It reports false if the message was dropped, because
// the queue is full or the session has ended: control messages are repeated by their senders.
func (s *Session) Control(kind uint8, message msgp.Marshaler) bool {
	body, err := message.MarshalMsg(nil)
	if err != nil {
		return false
	}
	buf, err := encodeFrame(&vmwire.Frame{Kind: kind, Body: body})
	if err != nil {
		return false
	}
	select {
	case <-s.done:
		return false
	case s.out <- buf:
		return true
	default:
		return false
	}
}

// send queues an encoded frame, waiting for room until ctx ends.
func (s *Session) send(ctx context.Context, f *vmwire.Frame) error {
	buf, err := encodeFrame(f)
	if err != nil {
		return err
	}
	select {
	case s.out <- buf:
		return nil
	case <-s.done:
		return ErrSessionClosed
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Open starts a stream towards the other VM.
func (s *Session) Open(ctx context.Context, open *vmwire.Open) (*Stream, error) {
	body, err := open.MarshalMsg(nil)
	if err != nil {
		return nil, fmt.Errorf("encode open: %w", err)
	}
	st := newStream(s, s.nextID.Add(2)-2)
	if !s.add(st) {
		return nil, ErrTooMany
	}
	if err := s.send(ctx, &vmwire.Frame{Kind: vmwire.KindOpen, Stream: st.id, Body: body}); err != nil {
		s.remove(st.id)
		return nil, err
	}
	return st, nil
}

func (s *Session) add(st *Stream) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.streams) >= maxStreams {
		return false
	}
	s.streams[st.id] = st
	return true
}

func (s *Session) remove(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.streams, id)
}

func (s *Session) stream(id uint64) *Stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.streams[id]
}

// runWrite writes queued frames and flushes when the queue is empty.
func (s *Session) runWrite() {
	w := bufio.NewWriterSize(s.conn, 16<<10)
	for {
		select {
		case <-s.done:
			return
		case buf := <-s.out:
			_ = s.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
			size := len(*buf)
			_, err := w.Write(*buf)
			recycle(buf)
			if err != nil {
				s.Close(fmt.Errorf("write: %w", err))
				return
			}
			s.sent.Add(int64(size))
		}
		if len(s.out) > 0 {
			continue
		}
		if err := w.Flush(); err != nil {
			s.Close(fmt.Errorf("write: %w", err))
			return
		}
	}
}

// runRead dispatches incoming frames until the session ends. It never waits for a stream's reader.
func (s *Session) runRead() {
	for {
		f, err := ReadFrame(s.reader)
		if err != nil {
			s.Close(err)
			return
		}
		s.received.Add(int64(len(f.Body) + lengthBytes))
		now := time.Now()
		s.heardAt.Store(now.UnixNano())
		s.heardAfter.Store(int64(now.Sub(s.started)))
		if err := s.dispatch(f); err != nil {
			s.Close(err)
			return
		}
	}
}

func (s *Session) dispatch(f vmwire.Frame) error {
	switch f.Kind {
	case vmwire.KindOpen:
		return s.accept(f)
	case vmwire.KindData, vmwire.KindEnd, vmwire.KindReset, vmwire.KindWindow:
		st := s.stream(f.Stream)
		if st == nil {
			return nil // The stream ended here while the frame was under way.
		}
		return st.handle(f)
	case vmwire.KindHello:
		return errors.New("second hello")
	case vmwire.KindPing:
		return nil // Its arrival is what counts; the other side does not wait for an answer.
	default:
		if s.endpoint.OnControl != nil {
			s.endpoint.OnControl(s, f)
		}
		return nil
	}
}

// accept starts an incoming stream.
func (s *Session) accept(f vmwire.Frame) error {
	var open vmwire.Open
	if err := Decode(f, &open); err != nil {
		return err
	}
	own := f.Stream%2 == 1 == s.Dialed
	if f.Stream == 0 || own || s.stream(f.Stream) != nil {
		return fmt.Errorf("open: stream number %d is not the peer's to use", f.Stream)
	}
	st := newStream(s, f.Stream)
	if s.endpoint.OnStream == nil || !s.add(st) {
		return s.resetUnknown(f.Stream)
	}
	go s.endpoint.runStream(st, open)
	return nil
}

func (s *Session) resetUnknown(id uint64) error {
	buf, err := encodeFrame(&vmwire.Frame{Kind: vmwire.KindReset, Stream: id})
	if err != nil {
		return err
	}
	select {
	case s.out <- buf:
		return nil
	default:
		return errors.New("output queue full")
	}
}
