package vm

import (
	"context"
	"fmt"
	"sync"

	"parsleyhatch/vmwire"
)

// WindowBytes is the number of bytes that a sender may have unread at the receiver of a stream.
const WindowBytes = 64 << 10

// MaxDataBytes bounds the body of one Data frame, in bytes; larger sends are split.
const MaxDataBytes = 16 << 10

// Stream is one forwarded request between two VMs. Send and Recv may be used by one goroutine each.
type Stream struct {
	id      uint64
	session *Session

	mu sync.Mutex
	// queue holds received bodies, at most WindowBytes in total.
	queue    [][]byte
	queued   int
	consumed int64
	recvSeq  uint64
	end      *vmwire.End
	err      error
	// credit is the number of bytes that may be sent.
	credit  int64
	sendSeq uint64

	readable chan struct{}
	writable chan struct{}
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

// Peer is the identity of the VM at the other end.
func (st *Stream) Peer() Identity { return st.session.Peer }

// Done is closed when the session of the stream has ended.
func (st *Stream) Done() <-chan struct{} { return st.session.done }

// Send sends data as one or more Data frames, waiting for the receiver's window.
func (st *Stream) Send(ctx context.Context, data []byte) error {
	for len(data) > 0 {
		n := min(len(data), MaxDataBytes)
		if err := st.sendOne(ctx, data[:n]); err != nil {
			return err
		}
		data = data[n:]
	}
	return nil
}

// SendChunk sends one chunk as a single Data frame. A chunk above WindowBytes is an error.
func (st *Stream) SendChunk(ctx context.Context, c *vmwire.Chunk) error {
	buf := buffers.Get().(*[]byte)
	defer recycle(buf)
	body, err := c.MarshalMsg((*buf)[:0])
	if err != nil {
		return fmt.Errorf("encode chunk: %w", err)
	}
	*buf = body
	if len(body) > WindowBytes {
		return fmt.Errorf("encode chunk: %d bytes, above the window of %d", len(body), WindowBytes)
	}
	return st.sendOne(ctx, body)
}

func (st *Stream) sendOne(ctx context.Context, body []byte) error {
	seq, err := st.reserve(ctx, int64(len(body)))
	if err != nil {
		return err
	}
	f := vmwire.Frame{Kind: vmwire.KindData, Stream: st.id, Seq: seq, Body: body}
	return st.session.send(ctx, &f)
}

// reserve takes n bytes of credit and the next sequence number.
func (st *Stream) reserve(ctx context.Context, n int64) (uint64, error) {
	for {
		st.mu.Lock()
		if st.err != nil {
			st.mu.Unlock()
			return 0, st.err
		}
		if st.credit >= n {
			st.credit -= n
			seq := st.sendSeq
			st.sendSeq++
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

// SendEnd ends the stream with an outcome.
func (st *Stream) SendEnd(ctx context.Context, end *vmwire.End) error {
	defer st.session.remove(st.id)
	body, err := end.MarshalMsg(nil)
	if err != nil {
		return fmt.Errorf("encode end: %w", err)
	}
	return st.session.send(ctx, &vmwire.Frame{Kind: vmwire.KindEnd, Stream: st.id, Body: body})
}

// Reset abandons the stream; the other VM cancels its work.
func (st *Stream) Reset() {
	st.session.remove(st.id)
	st.fail(ErrStreamReset)
	select {
	case <-st.session.done:
	default:
		if st.session.resetUnknown(st.id) != nil {
			// The queue is full: the peer would go on working for nobody. Ending the session
			// is the only way left to tell it.
			st.session.Close(fmt.Errorf("reset stream %d: output queue full", st.id))
		}
	}
}

// Recv returns the next body, or the end of the stream. Exactly one of the results is set.
func (st *Stream) Recv(ctx context.Context) ([]byte, *vmwire.End, error) {
	for {
		st.mu.Lock()
		if len(st.queue) > 0 {
			body := st.pop()
			grant := st.takeGrant()
			st.mu.Unlock()
			st.sendGrant(grant)
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

func (st *Stream) pop() []byte {
	body := st.queue[0]
	st.queue[0] = nil
	st.queue = st.queue[1:]
	if len(st.queue) == 0 {
		st.queue = nil
	}
	st.queued -= len(body)
	st.consumed += int64(len(body))
	return body
}

// takeGrant returns the bytes to give back to the sender once half the window has been read.
func (st *Stream) takeGrant() int64 {
	if st.consumed < WindowBytes/2 || st.end != nil {
		return 0
	}
	grant := st.consumed
	st.consumed = 0
	return grant
}

func (st *Stream) sendGrant(grant int64) {
	if grant == 0 {
		return
	}
	w := vmwire.Window{Bytes: grant}
	body, err := w.MarshalMsg(nil)
	if err != nil {
		return
	}
	_ = st.session.send(context.Background(), &vmwire.Frame{Kind: vmwire.KindWindow, Stream: st.id, Body: body})
}

// handle processes an incoming frame. An error ends the session.
func (st *Stream) handle(f vmwire.Frame) error {
	switch f.Kind {
	case vmwire.KindData:
		return st.receive(f)
	case vmwire.KindEnd:
		var end vmwire.End
		if err := Decode(f, &end); err != nil {
			return err
		}
		st.mu.Lock()
		st.end = &end
		st.mu.Unlock()
		st.session.remove(st.id)
		notify(st.readable)
	case vmwire.KindReset:
		st.session.remove(st.id)
		st.fail(ErrStreamReset)
	case vmwire.KindWindow:
		var w vmwire.Window
		if err := Decode(f, &w); err != nil {
			return err
		}
		return st.grant(w.Bytes)
	}
	return nil
}

func (st *Stream) receive(f vmwire.Frame) error {
	st.mu.Lock()
	defer st.mu.Unlock()
	if f.Seq != st.recvSeq {
		return fmt.Errorf("stream %d: data frame %d, want %d", st.id, f.Seq, st.recvSeq)
	}
	if st.queued+int(st.consumed)+len(f.Body) > WindowBytes {
		return fmt.Errorf("stream %d: window exceeded", st.id)
	}
	st.recvSeq++
	st.queue = append(st.queue, f.Body)
	st.queued += len(f.Body)
	notify(st.readable)
	return nil
}

func (st *Stream) grant(n int64) error {
	st.mu.Lock()
	defer st.mu.Unlock()
	if n < 0 || st.credit+n > WindowBytes {
		return fmt.Errorf("stream %d: window of %d bytes too large", st.id, n)
	}
	st.credit += n
	notify(st.writable)
	return nil
}

// fail ends the stream with an error.
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
