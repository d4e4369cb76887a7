package vm

import (
	"bufio"
	"context"
	"time"
)

// Finish ends the session once the other VM has read the queued frames, at the latest after timeout, and does not wait for that. Close
// would lose what the other VM has not read, such as the end of a stream. Streams that the other VM opens from then on are refused. Only
// the first call has an effect.
func (s *Session) Finish(reason error, timeout time.Duration) {
	if s.finishing.CompareAndSwap(nil, &reason) {
		go s.runFinish(timeout)
	}
}

func (s *Session) runFinish(timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	s.Drain(ctx)
}

// Drain sends the queued frames and ends the session once the other VM has read them, at the latest when ctx ends. Frames
// that are queued later are not sent.
func (s *Session) Drain(ctx context.Context) {
	select {
	case s.writeQueue <- nil:
	case <-s.done:
	case <-ctx.Done():
	}
	select {
	case <-s.done:
	case <-ctx.Done():
	}
	s.Close(ErrSessionClosed)
}

// finishWriting flushes the written frames and closes the sending side of the connection, so that the other VM reads all of
// them before it closes its own side.
func (s *Session) finishWriting(w *bufio.Writer) error {
	if err := w.Flush(); err != nil {
		return err
	}
	if c, ok := s.conn.(interface{ CloseWrite() error }); ok {
		return c.CloseWrite()
	}
	return ErrSessionClosed
}
