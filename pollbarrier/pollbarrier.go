// Package pollbarrier tells when a process has handled what had arrived at its sockets. A process that waits for the processor runs its
// timers before it looks at its sockets, so that a timeout passes although what it waits for has arrived.
package pollbarrier

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

// ErrTimeout is the cancellation cause of a context of WithTimeout whose time has passed.
var ErrTimeout = errors.New("timed out")

// timeoutSteps is the number of parts of a timeout, each of which ends only once the process has caught up with its sockets.
const timeoutSteps = 4

// Barrier is a pipe that this process reads like its sockets: a byte that is written to it is read after what arrived at the sockets
// before. It is safe for concurrent use.
type Barrier struct {
	read, write *os.File

	mu sync.Mutex
	// passing is closed once the byte that is in the pipe has been read. It is nil if the pipe is empty.
	passing chan struct{}
	// next is closed once a byte has been read that is not written yet. It is nil if nobody waits for one.
	next chan struct{}
	// broken is set if the pipe cannot be used any more.
	broken bool
}

// New returns a barrier. It fails if the process may open no more files.
func New() (*Barrier, error) {
	r, w, err := os.Pipe()
	if err != nil {
		return nil, fmt.Errorf("open the pipe of the poll barrier: %w", err)
	}
	b := &Barrier{read: r, write: w}
	go b.loop()
	return b, nil
}

// Close ends the barrier, and all waits for it.
func (b *Barrier) Close() {
	_ = b.write.Close()
}

// Wait returns once the process has noticed what had arrived at its sockets when Wait was called, and has woken the goroutines that wait
// for it. It returns early with the error of ctx.
func (b *Barrier) Wait(ctx context.Context) error {
	passed := b.enter()
	select {
	case <-passed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// enter returns a channel that is closed once a byte has been read that was written after the call.
func (b *Barrier) enter() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.broken:
		passed := make(chan struct{})
		close(passed)
		return passed
	case b.passing == nil:
		b.passing = make(chan struct{})
		b.send()
		return b.passing
	case b.next == nil:
		b.next = make(chan struct{})
	}
	return b.next
}

// send writes a byte. The caller holds the mutex.
func (b *Barrier) send() {
	_, _ = b.write.Write([]byte{0}) // Fails only after Close, which ends loop.
}

func (b *Barrier) loop() {
	buf := make([]byte, 1)
	for {
		_, err := b.read.Read(buf)
		b.pass(err != nil)
		if err != nil {
			_ = b.read.Close()
			return
		}
	}
}

// pass ends the waits for the byte that was read, or all waits if the pipe is broken.
func (b *Barrier) pass(broken bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.broken = broken
	if b.passing != nil {
		close(b.passing)
	}
	b.passing, b.next = b.next, nil
	if b.passing == nil {
		return
	}
	if broken {
		close(b.passing)
		b.passing = nil
		return
	}
	b.send()
}

// WithTimeout returns a context that ends with ErrTimeout after a time in which the process has kept up with its sockets: what arrives within it
// is noticed before it has passed, however long the process waits for the processor.
func (b *Barrier) WithTimeout(parent context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	go b.runTimeout(ctx, cancel, timeout)
	return ctx, func() { cancel(nil) }
}

func (b *Barrier) runTimeout(ctx context.Context, cancel context.CancelCauseFunc, timeout time.Duration) {
	timer := time.NewTimer(timeout / timeoutSteps)
	defer timer.Stop()
	for range timeoutSteps {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		if b.Wait(ctx) != nil {
			return
		}
		timer.Reset(timeout / timeoutSteps)
	}
	cancel(ErrTimeout)
}

// Delay returns the time that the process takes to notice what has arrived at its sockets, at most limit.
func (b *Barrier) Delay(limit time.Duration) time.Duration {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	began := time.Now()
	if err := b.Wait(ctx); err != nil {
		return limit
	}
	return time.Since(began)
}
