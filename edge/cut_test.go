package edge

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"parsleyhatch/replica"
	"parsleyhatch/route"
)

// cutForm is the way in which a VM is cut from all upstreams.
type cutForm int32

const (
	notCut cutForm = iota
	// cutHangs loses all data and answers no attempt to connect.
	cutHangs
	// cutResets resets the connections and refuses new ones.
	cutResets
	// cutRefuses refuses new connections and leaves the open ones alone.
	cutRefuses
	// cutNewHangs answers no attempt to connect and leaves the open connections alone.
	cutNewHangs
)

// upstreamLink connects one VM with all upstreams and can cut it from them.
type upstreamLink struct {
	form atomic.Int32
	mu   sync.Mutex
	open map[net.Conn]bool
}

// cutLink puts a link between a VM and its upstreams.
func cutLink(v *testVM) *upstreamLink {
	l := &upstreamLink{open: map[net.Conn]bool{}}
	v.Pool.DialFunc = l.dial
	return l
}

func (l *upstreamLink) set(form cutForm) {
	l.form.Store(int32(form))
	if form != cutResets {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		_ = c.Close()
	}
}

func (l *upstreamLink) dial(ctx context.Context, address string) (net.Conn, error) {
	switch cutForm(l.form.Load()) {
	case cutHangs, cutNewHangs:
		ctx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		<-ctx.Done()
		return nil, ctx.Err()
	case cutResets, cutRefuses:
		return nil, syscall.ECONNREFUSED
	}
	upstream, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	local, far := net.Pipe()
	l.mu.Lock()
	l.open[far] = true
	l.mu.Unlock()
	go l.copy(upstream, far)
	go l.copy(far, upstream)
	return local, nil
}

// copy relays one direction. Data of a cut that hangs is lost.
func (l *upstreamLink) copy(to, from net.Conn) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	buf := make([]byte, 16<<10)
	for lost := false; ; {
		n, err := from.Read(buf)
		lost = lost || cutForm(l.form.Load()) == cutHangs
		if err != nil {
			return
		}
		if lost {
			continue // A gap in the data would be worse than its loss.
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// cutContact is the time after the start of a cut from which the stated bound holds: callers of VMs that are cut are served at
// least two thirds as often as the others, or few of their requests fail.
const cutContact = 5 * time.Second

// Guards against callers of a VM that has lost the path to all upstreams and are served far worse than those of VMs that reach
// them, in the three forms of such a cut, and against a VM that does not use the upstreams itself after the cut.
func TestVMCutFromUpstreamsServesThroughOthers(t *testing.T) {
	for name, form := range map[string]cutForm{"hangs": cutHangs, "resets": cutResets, "refuses": cutRefuses} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newTestCluster(t, "north")
			w.publishConfig(1, routeJSON("a", "safe", "plain", "")+","+routeJSON("b", "unsafe", "plain", ""))
			for i := range 3 {
				w.startVM(fmt.Sprintf("vm%d", i), "north", true)
			}
			w.waitForMembership()
			for i := range 4 {
				w.addUpstream(fmt.Sprintf("u%d", i), "plain", "north", nil)
			}
			w.waitForUpstreams(4)
			cut := w.vms[0]
			link := cutLink(cut)
			before := startLoad(t, "/a/", 20*time.Millisecond, cut)
			time.Sleep(200 * time.Millisecond)
			link.set(form)
			time.Sleep(cutContact)
			loads := []*load{startLoad(t, "/a/", 20*time.Millisecond, cut), startLoad(t, "/b/", 20*time.Millisecond, cut)}
			time.Sleep(1500 * time.Millisecond)
			for i, l := range loads {
				if share := l.stop().share(http.StatusOK); share < 0.95 {
					t.Errorf("load %d: %.2f of the requests of a cut VM are served: %v", i, share, l.statuses)
				}
			}
			link.set(notCut)
			healed := cut.Pool.Stats()
			w.waitFor("the VM uses the upstreams again", func() bool { return cut.Pool.Stats().Reused > healed.Reused })
			before.stop()
			if n := cut.Pool.Stats().Dialed - healed.Dialed; n > 40 {
				t.Errorf("%d connections after the cut", n)
			}
		})
	}
}

// Guards against a cut that is taken for the loss of upstreams: other VMs that stop using them.
func TestCutOfOneVMLeavesUpstreamsToOthers(t *testing.T) {
	t.Parallel()
	w := newTestCluster(t, "north", "south")
	w.publishConfig(1, routeJSON("a", "safe", "plain", ""))
	cut, other := w.startVM("vm0", "north", true), w.startVM("vm1", "north", true)
	far := w.startVM("far", "south", true)
	w.waitForMembership()
	for i := range 4 {
		w.addUpstream(fmt.Sprintf("u%d", i), "plain", "north", nil)
	}
	w.waitForUpstreams(4)
	link := cutLink(cut)
	link.set(cutHangs)
	l := startLoad(t, "/a/", 20*time.Millisecond, w.vms...)
	time.Sleep(cutContact)
	_ = l.stop()
	l = startLoad(t, "/a/", 20*time.Millisecond, other, far)
	time.Sleep(time.Second)
	if share := l.stop().share(http.StatusOK); share < 0.99 {
		t.Errorf("%.2f of the requests at the other VMs are served: %v", share, l.statuses)
	}
	for range 20 {
		addresses, _ := other.Addresses(other.Now(), "north", "h")
		if len(addresses) != 1 || addresses[0] != other.Settings.CallerListen {
			t.Fatalf("the directory names %v, want only the VM that reaches the upstreams", addresses)
		}
	}
}

// Guards against a connection that is reset because an earlier request on it was to leave its upstream: the connection may carry
// another caller's request by then.
func TestEndedAttemptIsNotLeft(t *testing.T) {
	w := newTestCluster(t, "north")
	w.publishConfig(1, routeJSON("a", "safe", "plain", ""))
	v := w.startVM("vm0", "north", true)
	r := &request{admission: admission{route: &route.Route{Kind: route.Safe}, service: &route.Service{Name: "plain"}}}
	for _, ended := range []bool{false, true} {
		ctx, watch := v.watchPath(t.Context(), r, &replica.Pick{ID: "u1"})
		if ended {
			watch.stop()
		}
		watch.end()
		watch.stop()
		if left := ctx.Err() != nil; left == ended {
			t.Errorf("attempt that has ended %v: left %v", ended, left)
		}
	}
}
