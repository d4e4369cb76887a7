package edge

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"syscall"
	"testing"

	"parsleyhatch/platform"
)

// tcpUserTimeout is the socket option TCP_USER_TIMEOUT, which package syscall does not define.
const tcpUserTimeout = 18

// socketOptions are the options of a socket that decide when a silent connection ends. Times are in seconds, but for
// userTimeoutMillis.
type socketOptions struct {
	keepAlive, idle, interval, probes, userTimeoutMillis int
}

// defaultKeepAlive is what Go sets on connections: it takes 15 s and nine probes, 150 s in all, until a silent one ends.
var defaultKeepAlive = socketOptions{keepAlive: 1, idle: 15, interval: 15, probes: 9}

func optionsOf(t *testing.T, c net.Conn) socketOptions {
	t.Helper()
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var o socketOptions
	err = raw.Control(func(fd uintptr) {
		for _, option := range []struct {
			level, name int
			value       *int
		}{
			{syscall.SOL_SOCKET, syscall.SO_KEEPALIVE, &o.keepAlive},
			{syscall.IPPROTO_TCP, syscall.TCP_KEEPIDLE, &o.idle},
			{syscall.IPPROTO_TCP, syscall.TCP_KEEPINTVL, &o.interval},
			{syscall.IPPROTO_TCP, syscall.TCP_KEEPCNT, &o.probes},
			{syscall.IPPROTO_TCP, tcpUserTimeout, &o.userTimeoutMillis},
		} {
			if *option.value, err = syscall.GetsockoptInt(int(fd), option.level, option.name); err != nil {
				return
			}
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	return o
}

// Guards against a library or a new version of Go that ends connections to peers which are silent for a second or two, by a user
// timeout or by short keep-alive probes.
func TestSocketsOutlastSilence(t *testing.T) {
	w := newTestCluster(t, "north")
	v := w.startVM("vm1", "north", false)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	dial := func(dial func(ctx context.Context, address string) (net.Conn, error)) (dialed, accepted net.Conn) {
		dialed, err := dial(context.Background(), l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if accepted, err = l.Accept(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _, _ = dialed.Close(), accepted.Close() })
		return dialed, accepted
	}
	upstream, accepted := dial(v.Pool.DialFunc)
	if o := optionsOf(t, upstream); o.keepAlive != 0 || o.userTimeoutMillis != 0 {
		t.Errorf("connection to an upstream: %+v, want no keep-alive probes and no user timeout", o)
	}
	peer, _ := dial(v.Fleet.Endpoint.DialFunc)
	for name, c := range map[string]net.Conn{"session with a vm": peer, "accepted connection": accepted, "connection to the store": storeConn(t, w)} {
		if o := optionsOf(t, c); o != defaultKeepAlive {
			t.Errorf("%s: %+v, want %+v", name, o, defaultKeepAlive)
		}
	}
}

// storeConn returns a connection of a client of the store.
func storeConn(t *testing.T, w *testCluster) net.Conn {
	t.Helper()
	store := platform.NewStore(w.storeAddress())
	var conn net.Conn
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { conn = info.Conn }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(context.Background(), trace), http.MethodGet, "http://"+store.Address+"/kv-range", nil)
	if err != nil {
		t.Fatal(err)
	}
	response, err := store.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = response.Body.Close() })
	return conn
}
