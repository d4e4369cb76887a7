package standin

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"parsleyhatch/config"
	"parsleyhatch/standin/faultlink"
)

// segmentBytes is the largest unit that the network delays.
const segmentBytes = 16 << 10

// DialFunc opens a connection to an address, IP:port.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// WAN imposes the delay and bandwidth of the links between regions on connections.
type WAN struct {
	regionOf map[string]string
	ctx      context.Context
	cancel   context.CancelFunc

	mu    sync.Mutex
	paths map[[2]string]*path
}

// path is one direction between two regions, shared by all connections.
type path struct {
	link  pacer
	delay time.Duration

	mu   sync.Mutex
	open chan struct{} // Closed unless the path is cut.
}

// NewWAN returns a network of the links. regionOf maps an IP to its region. A pair of regions
// without a link has no delay and no limit; a link from a region to itself applies inside it.
func NewWAN(regionOf map[string]string, links []config.Link) *WAN {
	w := &WAN{regionOf: regionOf, paths: map[[2]string]*path{}}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	for _, l := range links {
		w.paths[[2]string{l.A, l.B}] = newPath(l)
		w.paths[[2]string{l.B, l.A}] = newPath(l)
	}
	return w
}

func newPath(l config.Link) *path {
	p := &path{
		link:  pacer{perSecond: l.MegabitsPerSecond * 1e6 / 8},
		delay: time.Duration(l.OneWayMillis * float64(time.Millisecond)),
		open:  make(chan struct{}),
	}
	close(p.open)
	return p
}

// RegionsOf maps the IPs of a configuration's VMs and upstreams to their regions.
func RegionsOf(f *config.File) map[string]string {
	regions := map[string]string{}
	add := func(address, region string) {
		if host, _, err := net.SplitHostPort(address); err == nil {
			regions[host] = region
		}
	}
	for _, m := range f.VMs {
		add(m.CallerAddress, m.Region)
		add(m.PeerAddress, m.Region)
	}
	for _, u := range f.Upstreams {
		add(u.Address, u.Region)
	}
	return regions
}

// Close ends all connections.
func (w *WAN) Close() { w.cancel() }

// Cut stops all bytes from one region to another until Heal. Connections stay open, as with a link
// that drops packets.
func (w *WAN) Cut(from, to string) { w.path(from, to).setCut(true) }

// Heal ends Cut; bytes on the way arrive.
func (w *WAN) Heal(from, to string) { w.path(from, to).setCut(false) }

// CutBoth cuts both directions of a pair.
func (w *WAN) CutBoth(a, b string) {
	w.Cut(a, b)
	w.Cut(b, a)
}

// HealBoth heals both directions of a pair.
func (w *WAN) HealBoth(a, b string) {
	w.Heal(a, b)
	w.Heal(b, a)
}

func (w *WAN) path(from, to string) *path {
	w.mu.Lock()
	defer w.mu.Unlock()
	key := [2]string{from, to}
	if w.paths[key] == nil {
		w.paths[key] = newPath(config.Link{})
	}
	return w.paths[key]
}

func (p *path) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case cut && isClosed(p.open):
		p.open = make(chan struct{})
	case !cut && !isClosed(p.open):
		close(p.open)
	}
}

// pass waits for the time and then until the path is not cut.
func (p *path) pass(ctx context.Context, due time.Time) bool {
	if !sleepUntil(ctx, due) {
		return false
	}
	p.mu.Lock()
	open := p.open
	p.mu.Unlock()
	select {
	case <-open:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// Dialer wraps a DialFunc for use in a region; nil means plain TCP. A dial takes one round trip,
// and waits for its context while either direction is cut.
func (w *WAN) Dialer(from string, dial DialFunc) DialFunc {
	if dial == nil {
		dial = func(ctx context.Context, address string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", address)
		}
	}
	return func(ctx context.Context, address string) (net.Conn, error) {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, fmt.Errorf("dial %s: %w", address, err)
		}
		to, ok := w.regionOf[host]
		if !ok {
			return nil, fmt.Errorf("dial %s: address belongs to no region", address)
		}
		out, back := w.path(from, to), w.path(to, from)
		if !out.pass(ctx, time.Now().Add(out.delay)) || !back.pass(ctx, time.Now().Add(back.delay)) {
			return nil, fmt.Errorf("dial %s: %w", address, ctx.Err())
		}
		raw, err := dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return w.connect(raw, out, back), nil
	}
}

// wanConn is the dialling end of a delayed connection.
type wanConn struct {
	net.Conn
	raw net.Conn
}

func (c *wanConn) LocalAddr() net.Addr  { return c.raw.LocalAddr() }
func (c *wanConn) RemoteAddr() net.Addr { return c.raw.RemoteAddr() }

// connect joins the raw connection to a pipe by a relay in each direction.
func (w *WAN) connect(raw net.Conn, out, back *path) net.Conn {
	near, far := net.Pipe()
	stop := context.AfterFunc(w.ctx, func() { _, _ = raw.Close(), far.Close() })
	for _, r := range []*relay{{path: out, source: far, target: raw}, {path: back, source: raw, target: far}} {
		r.ctx, r.stop = w.ctx, stop
		go r.run()
	}
	return &wanConn{Conn: near, raw: raw}
}

// relay carries the bytes of one direction of a connection.
type relay struct {
	path   *path
	source net.Conn
	target net.Conn
	ctx    context.Context
	stop   func() bool
}

// run delivers until the end of the direction, and then closes the target, which ends the other direction, too.
func (r *relay) run() {
	defer r.stop()
	defer func() { _ = r.target.Close() }()
	line := faultlink.NewLine(r.target, func(due time.Time) bool { return r.path.pass(r.ctx, due) })
	buffer := make([]byte, segmentBytes)
	for {
		n, err := r.source.Read(buffer)
		now := time.Now()
		if n > 0 && line.Write(buffer[:n], r.path.arrival(now, n)) != nil || err != nil {
			line.Finish(r.path.arrival(now, 0))
			return
		}
	}
}

// arrival returns the time at which bytes arrive that are sent now.
func (p *path) arrival(now time.Time, bytes int) time.Time {
	return p.link.reserve(now, bytes).Add(p.delay)
}
