package pollbarrier

import (
	"context"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against waits that never end: many at once, and those at the end of the barrier.
func TestWaitsEnd(t *testing.T) {
	b, err := New()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var wait sync.WaitGroup
	for range 200 {
		wait.Go(func() {
			for range 20 {
				if err := b.Wait(ctx); err != nil {
					t.Error(err)
				}
			}
		})
	}
	wait.Wait()
	b.Close()
	for range 3 {
		if err := b.Wait(ctx); err != nil {
			t.Errorf("after the end: %v", err)
		}
	}
}

// keepBusy makes everything in this process wait for the one processor until the returned function is called.
func keepBusy(loops int) (stop func()) {
	previous := runtime.GOMAXPROCS(1)
	var stopped atomic.Bool
	var wait sync.WaitGroup
	for range loops {
		wait.Go(func() {
			for spins := 0; !stopped.Load(); {
				spins++
			}
		})
	}
	return func() {
		stopped.Store(true)
		wait.Wait()
		runtime.GOMAXPROCS(previous)
	}
}

// Guards against a wait that ends before the goroutine has run for which data had arrived, in a process that is short of processor time.
func TestWaitComesAfterData(t *testing.T) {
	b, err := New()
	if err != nil {
		t.Fatal(err)
	}
	defer b.Close()
	near, far := connectedPair(t)
	var received atomic.Int64
	go func() {
		buf := make([]byte, 1)
		for {
			if _, err := near.Read(buf); err != nil {
				return
			}
			received.Add(1)
		}
	}()
	defer keepBusy(8)()
	for sent := int64(1); sent <= 5; sent++ {
		if _, err := far.Write([]byte{0}); err != nil {
			t.Fatal(err)
		}
		// The data wakes its goroutine before the first wait ends, and that has run before the second one does.
		for range 2 {
			if err := b.Wait(context.Background()); err != nil {
				t.Fatal(err)
			}
		}
		if got := received.Load(); got != sent {
			t.Fatalf("%d bytes received after %d were sent", got, sent)
		}
	}
}

func connectedPair(t *testing.T) (near, far net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	far, err = net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if near, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = near.Close()
		_ = far.Close()
	})
	return near, far
}
