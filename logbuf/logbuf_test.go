package logbuf

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"testing"
)

// blocked is an output that never takes anything.
type blocked struct{ release chan struct{} }

func (b blocked) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

// Guards against a request that waits for the log.
func TestWriteNeverBlocks(t *testing.T) {
	out := blocked{release: make(chan struct{})}
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
		t.Error("no line was dropped from a buffer that is full")
	}
	close(out.release)
	cancel()
	w.Wait()
}

// Guards against a log whose volume grows with the load, and against one message that silences others.
func TestRateOfOneMessageIsBounded(t *testing.T) {
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
