package workload

import (
	"io"
	"sync/atomic"
	"time"
)

// bodyParts is the number of parts in which a slow body is sent.
const bodyParts = 8

// SlowReader reads a text in bodyParts parts with a pause before each one.
type SlowReader struct {
	text  string
	part  int
	pause time.Duration
	// reads is the number of reads that returned a part.
	reads int
	// ended is the time at which the last part was read, in nanoseconds, zero before.
	ended atomic.Int64
}

// NewSlowReader returns a reader that takes a time for all parts.
func NewSlowReader(text string, duration time.Duration) *SlowReader {
	return &SlowReader{text: text, part: (len(text) + bodyParts - 1) / bodyParts, pause: duration / bodyParts}
}

// Read reads the next part.
func (s *SlowReader) Read(b []byte) (int, error) {
	if s.text == "" {
		return 0, io.EOF
	}
	time.Sleep(s.pause)
	s.reads++
	limit := len(b)
	if s.pause > 0 {
		limit = min(limit, s.part)
	}
	n := copy(b[:limit], s.text)
	s.text = s.text[n:]
	if s.text == "" {
		s.ended.Store(time.Now().UnixNano())
	}
	return n, nil
}

// EndedAt returns the time at which the last part was read, zero before.
func (s *SlowReader) EndedAt() time.Time {
	if at := s.ended.Load(); at != 0 {
		return time.Unix(0, at)
	}
	return time.Time{}
}

// IdleTimer gives up an attempt that brings nothing for a time.
type IdleTimer struct {
	limit time.Duration
	timer *time.Timer
	// expired means that the attempt was given up.
	expired atomic.Bool
	body    io.ReadCloser
}

// NewIdleTimer starts a timer that calls giveUp when it expires. It never does if the limit is zero.
func NewIdleTimer(limit time.Duration, giveUp func()) *IdleTimer {
	t := &IdleTimer{limit: limit}
	if limit > 0 {
		t.timer = time.AfterFunc(limit, func() {
			t.expired.Store(true)
			giveUp()
		})
	}
	return t
}

// Watch returns a body whose data restarts the timer.
func (t *IdleTimer) Watch(body io.ReadCloser) io.ReadCloser {
	if t.timer == nil {
		return body
	}
	t.timer.Reset(t.limit)
	t.body = body
	return t
}

// Read reads the body.
func (t *IdleTimer) Read(b []byte) (int, error) {
	n, err := t.body.Read(b)
	if n > 0 {
		t.timer.Reset(t.limit)
	}
	return n, err
}

// Close closes the body.
func (t *IdleTimer) Close() error { return t.body.Close() }

// Stop stops the timer, and reports whether it had expired.
func (t *IdleTimer) Stop() bool {
	if t.timer != nil {
		t.timer.Stop()
	}
	return t.expired.Load()
}
