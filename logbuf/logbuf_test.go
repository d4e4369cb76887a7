package logbuf

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"testing"
)

// blockedWriter is an output whose writes block until release is closed.
type blockedWriter struct{ release chan struct{} }

func (b blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

// Guards against requests that are blocked by a slow log output.
func TestWriteNeverBlocks(t *testing.T) {
	out := blockedWriter{release: make(chan struct{})}
	w := New(out)
	ctx, cancel := context.WithCancel(context.Background())
	go w.Run(ctx)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	for range 4 * bufferBytes / len(line) {
		if _, err := w.Write(line); err != nil {
			t.Fatal(err)
		}
	}
	if w.Dropped() == 0 {
		t.Error("no line was dropped although the buffer was full")
	}
	close(out.release)
	cancel()
	w.Wait()
}

// Guards against a log volume that grows with the load, and against a frequent message that uses up the rate limit
// of other messages.
func TestRateIsLimitedPerMessage(t *testing.T) {
	var out bytes.Buffer
	w := New(&out)
	ctx, cancel := context.WithCancel(context.Background())
	go w.Run(ctx)
	log := slog.New(NewHandler(w, slog.LevelInfo)).With("vm", "a")
	for range 10 * lineBurst {
		log.Info("often")
	}
	log.Info("once")
	cancel()
	w.Wait()
	if n := strings.Count(out.String(), `"often"`); n < lineBurst || n > 2*lineBurst {
		t.Errorf("%d lines of one message", n)
	}
	if !strings.Contains(out.String(), `"once"`) {
		t.Error("another message was dropped")
	}
}
