package vm

import (
	"context"
	"fmt"
	"sync"

	"parsleyhatch/vmwire"
)

// WindowBytes is the flow-control window of a stream: the maximum number of bytes that the receiver has not yet
// acknowledged as read.
const WindowBytes = 64 << 10

// MaxDataBytes bounds the body of a Data frame of Send, in bytes. Larger data is split.
const MaxDataBytes = 16 << 10

// Stream carries a forwarded request between two VMs. Send and Recv may each be used by one goroutine at a time.
type Stream struct {
	id      uint64
	session *Session

	mu sync.Mutex
	// queue holds received bodies that were not read yet, at most WindowBytes in total.
	queue         [][]byte
	queuedBytes   int
	consumedBytes int64
	nextRecvSeq   uint64
	end           *vmwire.End
	err           error
	// credit is the number of bytes that may still be sent in the peer's window.
	credit      int64
	nextSendSeq uint64

	readable chan struct{}
	writable chan struct{}

	resetOnce sync.Once
}

func newStream(s *Session, id uint64) *Stream {
	return &Stream{
		id:       id,
		session:  s,
		credit:   WindowBytes,
		readable: make(chan struct{}, 1),
		writable: make(chan struct{}, 1),
	}
}

// Peer returns the identity of the VM at the other end.
func (st *Stream) Peer() Identity { return st.session.Peer }

// SessionDone returns a channel that is closed when the session of the stream ends.
func (st *Stream) SessionDone() <-chan struct{} { return st.session.done }

// Send sends data as one or more Data frames, waiting for credit in the peer's window. If the peer has ended the stream, it
// returns ErrStreamEnded, and Recv returns the end.
func (st *Stream) Send(ctx context.Context, data []byte) error {
	for len(data) > 0 {
		n := min(len(data), MaxDataBytes)
		if err := st.sendData(ctx, data[:n]); err != nil {
			return err
		}
		data = data[n:]
	}
	return nil
}

// SendChunk sends one chunk as a single Data frame. A chunk above WindowBytes is an error.
func (st *Stream) SendChunk(ctx context.Context, c *vmwire.Chunk) error {
	buf := bufferPool.Get().(*[]byte)
	defer releaseBuffer(buf)
	body, err := c.MarshalMsg((*buf)[:0])
	if err != nil {
		return fmt.Errorf("encode chunk: %w", err)
	}
	*buf = body
	if len(body) > WindowBytes {
		return fmt.Errorf("encode chunk: %d bytes, above the window of %d", len(body), WindowBytes)
	}
	return st.sendData(ctx, body)
}

func (st *Stream) sendData(ctx context.Context, body []byte) error {
	seq, err := st.reserveCredit(ctx, int64(len(body)))
	if err != nil {
		return err
	}
	f := vmwire.Frame{Kind: vmwire.KindData, Stream: st.id, Seq: seq, Body: body}
	if err := st.session.sendFrame(ctx, &f); err != nil {
		st.returnCredit(int64(len(body)))
		return err
	}
	return nil
}

// returnCredit gives back n bytes of credit and the latest sequence number, since the frame was not sent. The peer ends a session in which a
// number is missing.
func (st *Stream) returnCredit(n int64) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.credit += n
	st.nextSendSeq--
}

// reserveCredit waits for n bytes of credit, takes them and returns the next sequence number.
func (st *Stream) reserveCredit(ctx context.Context, n int64) (uint64, error) {
	for {
		st.mu.Lock()
		if err := st.sendError(); err != nil {
			st.mu.Unlock()
			return 0, err
		}
		if st.credit >= n {
			st.credit -= n
			seq := st.nextSendSeq
			st.nextSendSeq++
			st.mu.Unlock()
			return seq, nil
		}
		st.mu.Unlock()
		select {
		case <-st.writable:
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
}

// sendError returns the reason why no more data can be sent, or nil. The caller holds the mutex.
func (st *Stream) sendError() error {
	if st.end != nil {
		return ErrStreamEnded
	}
	return st.err
}

// SendEnd ends the stream with the outcome of the request.
func (st *Stream) SendEnd(ctx context.Context, end *vmwire.End) error {
	defer st.session.removeStream(st.id)
	body, err := end.MarshalMsg(nil)
	if err != nil {
		return fmt.Errorf("encode end: %w", err)
	}
	return st.session.sendFrame(ctx, &vmwire.Frame{Kind: vmwire.KindEnd, Stream: st.id, Body: body})
}

// Reset abandons the stream and makes the other VM cancel its work.
func (st *Stream) Reset() {
	st.session.removeStream(st.id)
	st.fail(ErrStreamReset)
	st.resetOnce.Do(func() { st.session.sendReset(st.id) })
}

// Recv returns the next body or the end of the stream. Exactly one of the three results is set.
func (st *Stream) Recv(ctx context.Context) ([]byte, *vmwire.End, error) {
	for {
		st.mu.Lock()
		if len(st.queue) > 0 {
			body := st.dequeue()
			credit := st.takeConsumed()
			st.mu.Unlock()
			st.sendWindow(credit)
			return body, nil, nil
		}
		end, err := st.end, st.err
		st.mu.Unlock()
		if end != nil {
			return nil, end, nil
		}
		if err != nil {
			return nil, nil, err
		}
		select {
		case <-st.readable:
		case <-ctx.Done():
			return nil, nil, ctx.Err()
		}
	}
}

func (st *Stream) dequeue() []byte {
	body := st.queue[0]
	st.queue[0] = nil
	st.queue = st.queue[1:]
	if len(st.queue) == 0 {
		st.queue = nil
	}
	st.queuedBytes -= len(body)
	st.consumedBytes += int64(len(body))
	return body
}

// takeConsumed returns the credit to give back to the sender, which is zero until half of the window has been read.
func (st *Stream) takeConsumed() int64 {
	if st.consumedBytes < WindowBytes/2 || st.end != nil {
		return 0
	}
	credit := st.consumedBytes
	st.consumedBytes = 0
	return credit
}

func (st *Stream) sendWindow(credit int64) {
	if credit == 0 {
		return
	}
	w := vmwire.Window{Bytes: credit}
	body, err := w.MarshalMsg(nil)
	if err != nil {
		return
	}
	_ = st.session.sendFrame(context.Background(), &vmwire.Frame{Kind: vmwire.KindWindow, Stream: st.id, Body: body})
}

// handleFrame processes an incoming frame. An error ends the session.
func (st *Stream) handleFrame(f vmwire.Frame) error {
	switch f.Kind {
	case vmwire.KindData:
		return st.receiveData(f)
	case vmwire.KindEnd:
		var end vmwire.End
		if err := Decode(f, &end); err != nil {
			return err
		}
		st.mu.Lock()
		st.end = &end
		st.mu.Unlock()
		st.session.removeStream(st.id)
		notify(st.readable)
		notify(st.writable) // The peer sends no more credit.
	case vmwire.KindReset:
		st.session.removeStream(st.id)
		st.fail(ErrStreamReset)
	case vmwire.KindWindow:
		var w vmwire.Window
		if err := Decode(f, &w); err != nil {
			return err
		}
		return st.addCredit(w.Bytes)
	}
	return nil
}

func (st *Stream) receiveData(f vmwire.Frame) error {
	st.mu.Lock()
	defer st.mu.Unlock()
	if f.Seq != st.nextRecvSeq {
		return fmt.Errorf("stream %d: data frame %d, want %d", st.id, f.Seq, st.nextRecvSeq)
	}
	if len(f.Body) == 0 {
		return fmt.Errorf("stream %d: empty data frame", st.id) // The window does not bound empty frames.
	}
	if st.queuedBytes+int(st.consumedBytes)+len(f.Body) > WindowBytes {
		return fmt.Errorf("stream %d: window exceeded", st.id)
	}
	st.nextRecvSeq++
	st.queue = append(st.queue, f.Body)
	st.queuedBytes += len(f.Body)
	notify(st.readable)
	return nil
}

func (st *Stream) addCredit(n int64) error {
	st.mu.Lock()
	defer st.mu.Unlock()
	if n < 0 || st.credit+n > WindowBytes {
		return fmt.Errorf("stream %d: window of %d bytes too large", st.id, n)
	}
	st.credit += n
	notify(st.writable)
	return nil
}

// fail ends the stream with an error. Only the first error is kept.
func (st *Stream) fail(err error) {
	st.mu.Lock()
	if st.err == nil {
		st.err = err
	}
	st.mu.Unlock()
	notify(st.readable)
	notify(st.writable)
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
