package fleet

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"parsleyhatch/vm"
	"parsleyhatch/vmwire"
)

// Guards against an undetected pause: the first tick after the pause has not run yet, or ran shortly before.
func TestPauseDetector(t *testing.T) {
	var p pauseDetector
	now := time.Unix(1000, 0)
	if p.pausedRecently(now) {
		t.Error("pause reported before the first tick")
	}
	for range 5 {
		p.tick(now)
		now = now.Add(tick)
		if p.pausedRecently(now) {
			t.Error("pause reported between regular ticks")
		}
	}
	now = now.Add(3 * time.Second)
	if !p.pausedRecently(now) {
		t.Error("no pause reported after three seconds without a tick")
	}
	p.tick(now)
	if !p.pausedRecently(now.Add(PauseSettleTime / 2)) {
		t.Error("no pause reported within the settle time after the pause")
	}
	p.tick(now.Add(tick))
	if p.pausedRecently(now.Add(PauseSettleTime + time.Millisecond)) {
		t.Error("pause reported after the end of the settle time")
	}
}

// Guards against sound sessions that are closed after a pause of this process, before the frames that arrived during it
// are read, and against silent ones that are then kept.
func TestSessionsAreReadAfterPause(t *testing.T) {
	for name, wantOpen := range map[string]bool{"peer sent frames": true, "peer is silent": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, "127.0.0.1:0", "a", "north")
			_ = f.listener.Close()
			var offset atomic.Int64
			start := time.Now()
			f.Now = func() time.Time { return start.Add(time.Duration(offset.Load())) }
			s, peer := dialPeer(t, f, "b", 1)
			maintainAfter := func(d time.Duration) {
				offset.Add(int64(d))
				f.maintain(t.Context())
			}
			maintainAfter(0)
			time.Sleep(sessionReadTimeout + tick) // The age of the latest frame is read from the real clock.
			maintainAfter(sessionReadTimeout + tick)
			if wantOpen {
				before := s.LastReceivedAt()
				peer.SendControl(vmwire.KindPresence, &vmwire.Presence{})
				waitUntil(t, time.Second, "the frame is read", func() bool { return s.LastReceivedAt() != before })
			}
			for range 1 + PauseSettleTime/tick {
				maintainAfter(tick)
			}
			open := true
			select {
			case <-s.Done():
				open = false
			default:
			}
			if open != wantOpen {
				t.Errorf("session open after the pause: %v, want %v", open, wantOpen)
			}
		})
	}
}

// dialPeer opens a session from a fleet to a VM of its region that sends nothing by itself, and returns both ends.
func dialPeer(t *testing.T, f *testFleet, name string, incarnation uint64) (own, peer *vm.Session) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	e := vm.NewInsecureEndpoint(vm.Identity{Slot: name, Incarnation: incarnation, Region: f.Endpoint.Self.Region}, f.Log)
	opened := make(chan *vm.Session, 1)
	e.OnSessionOpened = func(s *vm.Session) { opened <- s }
	go func() { _ = e.Serve(l) }()
	own, err = f.Endpoint.Dial(t.Context(), l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { own.Close(nil) })
	return own, <-opened
}
