package upstream

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// maxSyncWriteBytes is the size of the largest request that is written before the response is read. A
// larger one is written concurrently, since an upstream may respond before it has read all of it.
const maxSyncWriteBytes = 4 << 10

// errResetWhileSending means that an answer without a length ended with a reset, which only the write of the request has seen.
var errResetWhileSending = errors.New("the connection was reset while the request was sent")

// requestWrite is the write of a request to a connection. It is used by one goroutine at a time.
type requestWrite struct {
	to *conn
	// done receives the result once.
	done chan error
	// ended is set once the result was received, and err is that result.
	ended bool
	err   error
}

// startWrite writes a request. A large one is written in the background, and its body without a copy, since a VM has no
// memory for a second one.
func startWrite(to *conn, head, body []byte) *requestWrite {
	w := &requestWrite{to: to, done: make(chan error, 1)}
	if len(head)+len(body) <= maxSyncWriteBytes {
		w.run(net.Buffers{append(head, body...)})
		return w
	}
	go w.run(net.Buffers{head, body})
	return w
}

// run writes data, with one system call on a TCP connection.
func (w *requestWrite) run(data net.Buffers) {
	_, err := data.WriteTo(w.to.Conn)
	w.done <- err
}

// succeeded reports whether the request has been written without error.
func (w *requestWrite) succeeded() bool {
	select {
	case w.err = <-w.done:
		w.ended = true
	default:
	}
	return w.ended && w.err == nil
}

// wasReset ends the write and reports whether it has failed because the connection ended other than with FIN. The kernel reports that
// once: a reader sees a regular end if the write was first. EPIPE means that FIN had arrived before.
func (w *requestWrite) wasReset() bool {
	if !w.ended {
		_ = w.to.SetWriteDeadline(time.Unix(1, 0)) // Ends a write that waits. One that has taken an error still returns it.
		w.err, w.ended = <-w.done, true
	}
	return w.err != nil && !IsTimeout(w.err) && !errors.Is(w.err, syscall.EPIPE)
}
