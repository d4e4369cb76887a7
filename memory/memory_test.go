package memory

import (
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
)

// Guards against more bytes in all, or for one holder, than the budget has, against one holder that stops the others, and against
// small buffers that are refused when it is full.
func TestBudgetLimits(t *testing.T) {
	const limit = 100 << 10
	b := NewBudget(limit, 0.5)
	first, second, third := b.Buffer("u1"), b.Buffer("u2"), b.Buffer("u3")
	steps := []struct {
		buffer *Buffer
		bytes  int64
		want   error
	}{
		{first, limit / 2, nil},
		{first, limit/2 + 1, ErrShareFull},
		{b.Buffer("u1"), UncountedBytes + 1, ErrShareFull},
		{b.Buffer("u1"), UncountedBytes, nil},
		{second, limit / 4, nil},
		{third, limit/4 + 1, ErrFull},
		{third, limit / 4, nil},
		{second, limit/4 + 1, ErrFull},
	}
	for i, s := range steps {
		if err := s.buffer.Reserve(s.bytes); !errors.Is(err, s.want) {
			t.Errorf("step %d: %v, want %v", i, err, s.want)
		}
	}
	if u := b.Usage(); u.Used != limit || u.Largest != "u1" || u.LargestUsed != limit/2 {
		t.Errorf("usage %+v", u)
	}
	if !b.IsShort("u3") {
		t.Error("a full budget is not short")
	}
	second.Release()
	if !b.IsShort("u1") || b.IsShort("u3") {
		t.Errorf("short for u1: %v, for u3: %v, want for u1 only", b.IsShort("u1"), b.IsShort("u3"))
	}
	second.Release()
	if err := second.Reserve(limit/2 + 1); !errors.Is(err, ErrFull) {
		t.Errorf("more than is left: %v", err)
	}
	first.Release()
	if err := second.Reserve(limit/2 + 1); err != nil {
		t.Errorf("a body above the share of a holder without another one: %v", err)
	}
	for _, buffer := range []*Buffer{first, second, third} {
		buffer.Release()
		buffer.Release()
	}
	if u := b.Usage(); u.Used != 0 || len(b.held) != 0 {
		t.Errorf("after the release: %+v, %v", u, b.held)
	}
}

// Guards against bytes that are lost, added or not given back as a buffer is filled and emptied.
func TestBufferKeepsBytes(t *testing.T) {
	b := NewBudget(1<<20, 1)
	buffer := b.Buffer("u1")
	text := strings.Repeat("0123456789", 30<<10)
	for _, c := range []struct {
		limit int
		want  error
	}{{len(text), nil}, {len(text) - 1, ErrTooLong}, {len(text) + 1, nil}} {
		if err := buffer.ReadAll(io.LimitReader(strings.NewReader(text), int64(len(text))), c.limit); !errors.Is(err, c.want) {
			t.Errorf("limit %d: %v, want %v", c.limit, err, c.want)
		}
		if got := string(buffer.Bytes()); got != text[:min(len(text), len(got))] || len(got) < min(len(text), c.limit) {
			t.Errorf("limit %d: %d bytes", c.limit, len(got))
		}
		if used := b.Usage().Used; used < int64(buffer.Len()) || used > 3*int64(buffer.Len())/2 {
			t.Errorf("%d bytes reserved for %d", used, buffer.Len())
		}
		buffer.Release()
	}
	for range 3 {
		if err := buffer.Append([]byte(text + "rest")); err != nil {
			t.Fatal(err)
		}
		buffer.Consume(len(text))
		if got := string(buffer.Bytes()); got != "rest" || b.Usage().Used != 0 {
			t.Errorf("%q is left, %d bytes reserved", got, b.Usage().Used)
		}
		buffer.Consume(len("rest"))
	}
}

// Guards against a budget that loses count when requests begin and end at the same time.
func TestBudgetIsSafeForConcurrentUse(t *testing.T) {
	b := NewBudget(64<<10, 0.5)
	var wait sync.WaitGroup
	for _, holder := range []string{"u1", "u2", "u3", "u4", "u1", "u2", "u3", "u4"} {
		wait.Go(func() {
			for range 1000 {
				buffer := b.Buffer(holder)
				_ = buffer.ReadAll(strings.NewReader(strings.Repeat("x", 20<<10)), 16<<10) // Any result is right.
				if u := b.Usage(); u.Used > u.Limit || u.LargestUsed > u.Limit/2 {
					t.Errorf("usage %+v", u)
				}
				buffer.Release()
			}
		})
	}
	wait.Wait()
	if used := b.Usage().Used; used != 0 {
		t.Errorf("%d bytes are left", used)
	}
}
