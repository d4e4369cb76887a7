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

	"parsleyhatch/event"
	"parsleyhatch/vmwire"
)

const (
	// handshakeTimeout bounds the TLS handshake and the exchange of hellos.
	handshakeTimeout = 5 * time.Second
	// writeTimeout bounds each write to the connection.
	writeTimeout = 10 * time.Second
	// writeQueueFrames is the capacity of the queue of encoded frames to write.
	writeQueueFrames = 256
	// maxStreams bounds the open streams of a session.
	maxStreams = 20000
)

// Errors of sessions and streams. Their texts can reach callers.
var (
	ErrSessionClosed  = errors.New("vm session closed")
	ErrStreamReset    = errors.New("stream reset by the other vm")
	ErrStreamEnded    = errors.New("stream ended by the other vm")
	ErrTooManyStreams = errors.New("too many open streams")
)

// Session is a connection to another VM that carries control messages and streams.
type Session struct {
	// Peer is the identity that the other VM announced.
	Peer Identity
	// Dialed means that this side opened the connection.
	Dialed bool

	endpoint *Endpoint
	conn     net.Conn
	reader   *bufio.Reader
	// writeQueue holds encoded frames. A nil frame is the last one.
	writeQueue chan *[]byte
	done       chan struct{}
	once       sync.Once
	reason     error
	// finishing is the reason given to Finish, nil before.
	finishing     atomic.Pointer[error]
	nextID        atomic.Uint64
	bytesSent     atomic.Int64
	bytesReceived atomic.Int64
	// startedAt is when the session was opened. lastReceivedOffset is the time from then to the arrival of
	// the last frame, in nanoseconds on the monotonic clock.
	startedAt          time.Time
	lastReceivedOffset atomic.Int64

	mu sync.Mutex
	// streams holds the open streams. It is nil once the session has closed.
	streams map[uint64]*Stream
}

// newSession exchanges hellos on a connection, bounded by the deadline of ctx, and returns the session.
func newSession(ctx context.Context, e *Endpoint, conn net.Conn, dialed bool) (*Session, error) {
	s := &Session{
		Dialed:     dialed,
		endpoint:   e,
		conn:       conn,
		reader:     bufio.NewReaderSize(conn, 16<<10),
		writeQueue: make(chan *[]byte, writeQueueFrames),
		done:       make(chan struct{}),
		startedAt:  time.Now(),
		streams:    map[uint64]*Stream{},
	}
	s.nextID.Store(2)
	if dialed {
		s.nextID.Store(1)
	}
	if deadline, ok := ctx.Deadline(); ok {
		_ = conn.SetDeadline(deadline)
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
		if s.endpoint.OnOtherProtocol != nil {
			s.endpoint.OnOtherProtocol(peer.Protocol)
		}
		return fmt.Errorf("peer %q speaks protocol %d, want %d", peer.Slot, peer.Protocol, vmwire.Protocol)
	}
	s.Peer = identityFromHello(peer)
	return nil
}

// Done returns a channel that is closed when the session ends.
func (s *Session) Done() <-chan struct{} { return s.done }

// StartedAt returns when the session was opened, with a monotonic clock reading.
func (s *Session) StartedAt() time.Time { return s.startedAt }

// BytesSent returns the number of bytes of frames written so far.
func (s *Session) BytesSent() int64 { return s.bytesSent.Load() }

// BytesReceived returns the number of bytes of frame bodies and length prefixes read so far.
func (s *Session) BytesReceived() int64 { return s.bytesReceived.Load() }

// LastReceivedAt returns the arrival time of the last frame on the monotonic clock, or the start of the session if no
// frame has arrived.
func (s *Session) LastReceivedAt() time.Time {
	return s.startedAt.Add(time.Duration(s.lastReceivedOffset.Load()))
}

// Close ends the session and fails its streams with ErrSessionClosed. Queued frames may be lost. Only the first reason is kept.
func (s *Session) Close(reason error) {
	s.once.Do(func() {
		if r := s.finishing.Load(); r != nil {
			reason = *r
		}
		s.reason = reason
		close(s.done)
		_ = s.conn.Close()
		s.mu.Lock()
		streams := s.streams
		s.streams = nil
		s.mu.Unlock()
		for _, st := range streams {
			st.fail(ErrSessionClosed)
		}
	})
}

// SendControl queues a message that belongs to no stream. It reports false if the message was dropped because the
// queue is full or the session has ended; senders repeat control messages.
func (s *Session) SendControl(kind uint8, message msgp.Marshaler) bool {
	body, err := message.MarshalMsg(nil)
	if err != nil {
		return false
	}
	buf, err := encodeFrame(&vmwire.Frame{Kind: kind, Body: body})
	if err != nil {
		return false
	}
	size := len(*buf)
	select {
	case <-s.done:
		return false
	case s.writeQueue <- buf:
		s.endpoint.countSent(s, kind, size)
		return true
	default:
		return false
	}
}

// sendFrame encodes and queues a frame, waiting for room in the queue until ctx ends.
func (s *Session) sendFrame(ctx context.Context, f *vmwire.Frame) error {
	buf, err := encodeFrame(f)
	if err != nil {
		return err
	}
	size := len(*buf)
	select {
	case s.writeQueue <- buf:
		s.endpoint.countSent(s, f.Kind, size)
		return nil
	case <-s.done:
		return ErrSessionClosed
	case <-ctx.Done():
		return ctx.Err()
	}
}

// OpenStream starts a stream to the other VM.
func (s *Session) OpenStream(ctx context.Context, open *vmwire.Open) (*Stream, error) {
	body, err := open.MarshalMsg(nil)
	if err != nil {
		return nil, fmt.Errorf("encode open: %w", err)
	}
	st := newStream(s, s.nextID.Add(2)-2)
	if err := s.addStream(st); err != nil {
		return nil, err
	}
	if err := s.sendFrame(ctx, &vmwire.Frame{Kind: vmwire.KindOpen, Stream: st.id, Body: body}); err != nil {
		s.removeStream(st.id)
		return nil, err
	}
	return st, nil
}

// addStream registers a stream, which Close then fails. A closed session accepts none, since nothing would end it.
func (s *Session) addStream(st *Stream) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.streams == nil {
		return ErrSessionClosed
	}
	if len(s.streams) >= maxStreams {
		return ErrTooManyStreams
	}
	s.streams[st.id] = st
	return nil
}

func (s *Session) removeStream(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.streams, id)
}

func (s *Session) findStream(id uint64) *Stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.streams[id]
}

// runWrite writes queued frames and flushes whenever the queue is empty.
func (s *Session) runWrite() {
	w := bufio.NewWriterSize(s.conn, 16<<10)
	for {
		select {
		case <-s.done:
			return
		case buf := <-s.writeQueue:
			_ = s.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
			if buf == nil {
				if err := s.finishWriting(w); err != nil {
					s.Close(fmt.Errorf("write: %w", err))
				}
				return
			}
			size := len(*buf)
			_, err := w.Write(*buf)
			releaseBuffer(buf)
			if err != nil {
				s.Close(fmt.Errorf("write: %w", err))
				return
			}
			s.bytesSent.Add(int64(size))
		}
		if len(s.writeQueue) > 0 {
			continue
		}
		if err := w.Flush(); err != nil {
			s.Close(fmt.Errorf("write: %w", err))
			return
		}
	}
}

// runRead dispatches incoming frames until the session ends. It never blocks on the reader of a stream.
func (s *Session) runRead() {
	for {
		f, err := ReadFrame(s.reader)
		if err != nil {
			s.Close(err)
			return
		}
		s.bytesReceived.Add(int64(len(f.Body) + lengthPrefixBytes))
		s.lastReceivedOffset.Store(int64(time.Since(s.startedAt)))
		if err := s.dispatchRecovered(f); err != nil {
			s.Close(err)
			return
		}
	}
}

// dispatchRecovered dispatches a frame. A panic ends this session and not the process.
func (s *Session) dispatchRecovered(f vmwire.Frame) (err error) {
	defer func() {
		if value := recover(); value != nil {
			err = event.Recovered(s.endpoint.Log, event.PeerPanic, value, "peer", s.Peer.Slot, "kind", f.Kind)
		}
	}()
	return s.dispatch(f)
}

func (s *Session) dispatch(f vmwire.Frame) error {
	switch f.Kind {
	case vmwire.KindOpen:
		return s.acceptStream(f)
	case vmwire.KindData, vmwire.KindEnd, vmwire.KindReset, vmwire.KindWindow:
		st := s.findStream(f.Stream)
		if st == nil {
			return nil // The stream ended on this side while the frame was in transit.
		}
		return st.handleFrame(f)
	case vmwire.KindHello:
		return errors.New("unexpected hello after the handshake")
	case vmwire.KindPing:
		return nil // runRead has recorded its arrival. Pings are not acknowledged.
	default:
		if s.endpoint.OnControl != nil {
			s.endpoint.OnControl(s, f)
		}
		return nil
	}
}

// acceptStream registers an incoming stream and serves it in a new goroutine.
func (s *Session) acceptStream(f vmwire.Frame) error {
	var open vmwire.Open
	if err := Decode(f, &open); err != nil {
		return err
	}
	locallyNumbered := f.Stream%2 == 1 == s.Dialed
	if f.Stream == 0 || locallyNumbered || s.findStream(f.Stream) != nil {
		return fmt.Errorf("open: stream number %d is invalid for the peer or in use", f.Stream)
	}
	st := newStream(s, f.Stream)
	if s.endpoint.OnStream == nil || s.finishing.Load() != nil || s.addStream(st) != nil {
		s.sendReset(f.Stream)
		return nil
	}
	go s.endpoint.runStream(st, open)
	return nil
}

// sendReset notifies the other VM that a stream is reset, without blocking.
func (s *Session) sendReset(id uint64) {
	if !s.tryEnqueue(&vmwire.Frame{Kind: vmwire.KindReset, Stream: id}) {
		go s.runReset(id)
	}
}

// runReset sends a reset once the write queue has room. If that takes longer than a write may, it closes the session:
// the other VM would otherwise continue its work without a receiver.
func (s *Session) runReset(id uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	if err := s.sendFrame(ctx, &vmwire.Frame{Kind: vmwire.KindReset, Stream: id}); err != nil {
		s.Close(fmt.Errorf("reset stream %d: %w", id, err))
	}
}
