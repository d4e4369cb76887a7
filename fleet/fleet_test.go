package fleet

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"parsleyhatch/vm"
	"parsleyhatch/vmwire"
)

// testFleet is the fleet of one VM on loopback.
type testFleet struct {
	*Fleet
	address string
	cancel  context.CancelFunc
	ready   atomic.Bool
	// mute makes the VM send nothing on its sessions.
	mute atomic.Bool
}

// muteConn drops what is written while mute is set, as a link that is cut silently does.
type muteConn struct {
	net.Conn
	mute *atomic.Bool
}

func (c muteConn) Write(b []byte) (int, error) {
	if c.mute.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func start(t *testing.T, name, region string, seeds ...string) *testFleet {
	t.Helper()
	return startAt(t, "127.0.0.1:0", name, region, seeds...)
}

func startAt(t *testing.T, address, name, region string, seeds ...string) *testFleet {
	t.Helper()
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	tf := &testFleet{address: l.Addr().String()}
	tf.ready.Store(true)
	identity := vm.Identity{Slot: name, Incarnation: vm.NewIncarnation(), Region: region, StartedAt: time.Now()}
	e := vm.NewPlainEndpoint(identity, slog.New(slog.NewTextHandler(io.Discard, nil)))
	dialer := &net.Dialer{}
	e.DialFunc = func(ctx context.Context, address string) (net.Conn, error) {
		c, err := dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		return muteConn{Conn: c, mute: &tf.mute}, nil
	}
	tf.Fleet = New(time.Now(), e, tf.address, "callers-of-"+name, seeds)
	tf.Now = time.Now
	tf.Describe = func(_ time.Time, p *vmwire.Presence, _, _ bool) {
		if tf.ready.Load() {
			p.Flags |= vmwire.FlagReady
		}
		p.Waits = []vmwire.ServiceWait{{Service: "s", Millis: []int32{40, 90}}}
	}
	tf.DescribeUses = func(bool) *vmwire.Uses { return nil }
	tf.OnPresence = func(time.Time, Member, *vmwire.Presence) {}
	ctx, cancel := context.WithCancel(context.Background())
	tf.cancel = cancel
	t.Cleanup(cancel)
	go tf.Run(ctx, l)
	return tf
}

func until(t *testing.T, limit time.Duration, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("not within %v: %s", limit, what)
}

func (tf *testFleet) readyIn(region string) int { return len(tf.Ready(time.Now(), region)) }

// Guards against VMs that are known only to the seeds.
func TestVMsFindEachOtherThroughSeeds(t *testing.T) {
	a := start(t, "a", "north")
	b := start(t, "b", "north", a.address)
	c := start(t, "c", "south", a.address)
	until(t, 8*time.Second, "b knows c", func() bool { return b.readyIn("south") == 1 })
	until(t, 8*time.Second, "c knows a and b", func() bool { return c.readyIn("north") == 2 })
	if n := b.Sharers(time.Now()); n != 2 {
		t.Errorf("%d sharers in the north, want 2", n)
	}
}

// Guards against a dead VM that is named for long, and against one that is dropped from shares of bounds
// while it may only be cut off.
func TestLostVM(t *testing.T) {
	a := start(t, "a", "north")
	b := start(t, "b", "north", a.address)
	until(t, 3*time.Second, "they meet", func() bool { return a.readyIn("north") == 1 && b.readyIn("north") == 1 })
	b.cancel()
	until(t, 2*aliveFor, "a does not name b", func() bool { return a.readyIn("north") == 0 })
	if n := a.Sharers(time.Now()); n != 2 {
		t.Errorf("%d sharers right after the loss, want 2", n)
	}
	if n := a.Sharers(time.Now().Add(2 * forgetAfter)); n != 1 {
		t.Errorf("%d sharers later, want 1", n)
	}
}

// Guards against sessions over a connection that went silent while new ones work.
func TestSilentSessionIsReplaced(t *testing.T) {
	a := start(t, "a", "north")
	b := start(t, "b", "north", a.address)
	until(t, 3*time.Second, "they meet", func() bool { return a.readyIn("north") == 1 })
	b.mute.Store(true)
	until(t, 2*aliveFor, "a does not hear b", func() bool { return a.readyIn("north") == 0 })
	until(t, 3*sessionSilence, "a has closed the session", func() bool { return a.session("b") == nil })
	b.mute.Store(false)
	until(t, 5*time.Second, "a hears b again", func() bool { return a.readyIn("north") == 1 })
}

func TestOpenNeedsAReadyVM(t *testing.T) {
	a := start(t, "a", "north")
	b := start(t, "b", "south", a.address)
	until(t, 3*time.Second, "they meet", func() bool { return a.readyIn("south") == 1 })
	if wait, _, ok := a.WaitIn(time.Now(), "south", "s", 1); !ok || wait != 90*time.Millisecond {
		t.Errorf("wait %v, known %v", wait, ok)
	}
	open := func(service string, tried ...string) error {
		_, st, err := a.Open(context.Background(), time.Now(), "south", service, &vmwire.Open{}, tried)
		if st != nil {
			st.Reset()
		}
		return err
	}
	if err := open("s"); err != nil {
		t.Errorf("open: %v", err)
	}
	for name, err := range map[string]error{"other service": open("other"), "tried vm": open("s", "b")} {
		if !errors.Is(err, ErrNoVM) {
			t.Errorf("%s: %v", name, err)
		}
	}
	b.ready.Store(false)
	until(t, 3*time.Second, "b is not ready", func() bool { return errors.Is(open("s"), ErrNoVM) })
}

// silentListener accepts connections at an address and says nothing, as a VM does that is just starting.
func silentListener(t *testing.T) (address string, release func()) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = c.Close() })
		}
	}()
	return l.Addr().String(), func() { _ = l.Close() }
}

// Guards against VMs that, after all of them lost power, know no VM of another region for over a second
// because the first attempt to reach a seed hangs.
func TestSeedThatStartsLater(t *testing.T) {
	address, release := silentListener(t)
	b := start(t, "b", "north", address)
	time.Sleep(100 * time.Millisecond)
	release()
	startAt(t, address, "a", "south")
	until(t, 900*time.Millisecond, "b knows a", func() bool { return b.readyIn("south") == 1 })
}
