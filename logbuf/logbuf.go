// Package logbuf writes log lines asynchronously, so that logging never blocks. Lines are held in a bounded
// buffer, the rate of each message is limited, and dropped lines are counted.
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
	// bufferBytes is the maximum size of the buffered lines, in bytes.
	bufferBytes = 512 << 10
	// lineRate is the maximum sustained rate of one message, in lines per second, and lineBurst the maximum burst,
	// in lines. A VM serves at most about a hundred requests per second and logs one line for each.
	lineRate  = 200
	lineBurst = 400
	// flushInterval is the minimum time between two writes to the output.
	flushInterval = 50 * time.Millisecond
)

// Writer buffers lines, which Run writes to the output.
type Writer struct {
	out     io.Writer
	mu      sync.Mutex
	pending []byte
	wake    chan struct{}
	done    chan struct{}
	dropped atomic.Int64
}

// New returns a Writer for the output. Lines are written only while Run runs.
func New(out io.Writer) *Writer {
	return &Writer{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
}

// Write buffers a line, or drops it if the buffer is full. It never fails or blocks on the output.
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

// Dropped returns the number of lines dropped because of a full buffer or the rate limit.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Run writes buffered lines until ctx ends, and then writes the remaining ones.
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

// Wait blocks until Run has returned.
func (w *Writer) Wait() { <-w.done }

func (w *Writer) flush(spare []byte) []byte {
	w.mu.Lock()
	lines := w.pending
	w.pending = spare[:0]
	w.mu.Unlock()
	if len(lines) > 0 {
		_, _ = w.out.Write(lines) // A failure to write the log cannot be reported anywhere.
	}
	return lines
}

// Handler is a slog.Handler that limits the rate of each message.
type Handler struct {
	slog.Handler
	limiter *limiter
	writer  *Writer
}

// NewHandler returns a Handler that writes JSON lines to w.
func NewHandler(w *Writer, level slog.Leveler) *Handler {
	return &Handler{
		Handler: slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level}),
		limiter: &limiter{buckets: map[string]*bucket{}}, writer: w,
	}
}

// Handle logs a record, or drops it if its message exceeds the rate limit.
func (h *Handler) Handle(ctx context.Context, r slog.Record) error {
	if !h.limiter.allow(r.Time, r.Message) {
		h.writer.dropped.Add(1)
		return nil
	}
	return h.Handler.Handle(ctx, r)
}

// WithAttrs returns a Handler that adds attributes and shares the rate limits of h.
func (h *Handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Handler{Handler: h.Handler.WithAttrs(attrs), limiter: h.limiter, writer: h.writer}
}

// WithGroup returns a Handler that opens a group and shares the rate limits of h.
func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{Handler: h.Handler.WithGroup(name), limiter: h.limiter, writer: h.writer}
}

// limiter holds a token bucket for each message.
type limiter struct {
	mu      sync.Mutex
	buckets map[string]*bucket
}

type bucket struct {
	tokens    float64
	updatedAt time.Time
}

func (l *limiter) allow(now time.Time, message string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[message]
	if b == nil {
		b = &bucket{tokens: lineBurst, updatedAt: now}
		l.buckets[message] = b
	}
	if elapsed := now.Sub(b.updatedAt); elapsed > 0 {
		b.tokens = min(lineBurst, b.tokens+lineRate*elapsed.Seconds())
		b.updatedAt = now
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
