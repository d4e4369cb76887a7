// Package logbuf writes log lines without ever blocking the caller: lines wait in a bounded buffer, each
// event has a bounded rate, and what is dropped is counted.
package logbuf

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// bufferBytes bounds the lines that wait, in bytes.
	bufferBytes = 512 << 10
	// lineRate is the number of lines a second of one message, and lineBurst the number at once. A VM
	// serves about a hundred requests a second at the most, with a line each.
	lineRate  = 200
	lineBurst = 400
	// flushInterval is the time for which lines are collected.
	flushInterval = 50 * time.Millisecond
)

// Writer collects lines and writes them in a goroutine of its own.
type Writer struct {
	to      io.Writer
	mu      sync.Mutex
	pending []byte
	wake    chan struct{}
	done    chan struct{}
	dropped atomic.Int64
}

// New returns a writer that must be run.
func New(to io.Writer) *Writer {
	return &Writer{to: to, wake: make(chan struct{}, 1), done: make(chan struct{})}
}

// Write takes a line, or drops it if the buffer is full. It never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.pending)+len(line) > bufferBytes {
		w.dropped.Add(1)
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Run writes until ctx ends, and then what is left.
func (w *Writer) Run(ctx context.Context) {
	defer close(w.done)
	var spare []byte
	for {
		select {
		case <-ctx.Done():
			w.flush(nil)
			return
		case <-w.wake:
		}
		spare = w.flush(spare)
		select {
		case <-ctx.Done():
		case <-time.After(flushInterval):
		}
	}
}

// Wait returns when Run has written everything.
func (w *Writer) Wait() { <-w.done }

func (w *Writer) flush(spare []byte) []byte {
	w.mu.Lock()
	lines := w.pending
	w.pending = spare[:0]
	w.mu.Unlock()
	if len(lines) > 0 {
		_, _ = w.to.Write(lines) // There is nowhere to report that the log cannot be written.
	}
	return lines
}

// Handler bounds the rate of each message.
type Handler struct {
	slog.Handler
	limiter *limiter
	writer  *Writer
}

// NewHandler returns a JSON handler that writes to the writer.
func NewHandler(w *Writer, level slog.Leveler) *Handler {
	return &Handler{
		Handler: slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level}),
		limiter: &limiter{budgets: map[string]*budget{}}, writer: w,
	}
}

// Handle passes a record on, or drops it if its message is over its rate.
func (h *Handler) Handle(ctx context.Context, r slog.Record) error {
	if !h.limiter.allow(r.Time, r.Message) {
		h.writer.dropped.Add(1)
		return nil
	}
	return h.Handler.Handle(ctx, r)
}

// WithAttrs returns a handler with attributes.
func (h *Handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Handler{Handler: h.Handler.WithAttrs(attrs), limiter: h.limiter, writer: h.writer}
}

// WithGroup returns a handler with a group.
func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{Handler: h.Handler.WithGroup(name), limiter: h.limiter, writer: h.writer}
}

// limiter holds a token bucket for each message.
type limiter struct {
	mu      sync.Mutex
	budgets map[string]*budget
}

type budget struct {
	level float64
	at    time.Time
}

func (l *limiter) allow(now time.Time, message string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.budgets[message]
	if b == nil {
		b = &budget{level: lineBurst, at: now}
		l.budgets[message] = b
	}
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.level = min(lineBurst, b.level+lineRate*elapsed.Seconds())
		b.at = now
	}
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}
