package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"parsleyhatch/config"
	"parsleyhatch/event"
	"parsleyhatch/vm"
	"parsleyhatch/vmwire"
)

const (
	// heartbeatInterval is the period of heartbeats to each VM.
	heartbeatInterval = 500 * time.Millisecond
	// deadAfter is the silence after which a VM counts as dead.
	deadAfter = 1500 * time.Millisecond
	// redialPause is the wait between attempts to connect to a VM.
	redialPause = 500 * time.Millisecond
	// joinWait is how long a new VM waits for unreachable VMs before it serves.
	joinWait = 2 * time.Second
)

// peer is what this VM knows about another slot.
type peer struct {
	vm       *config.VM
	sessions []*vm.Session
	dialing  bool
	nextDial time.Time
	// heard is when the last heartbeat arrived.
	heard   time.Time
	ready   bool
	leaving bool
	queue   int32
	version config.Version
	// incarnation and startedAt are of the latest known run of the slot.
	incarnation uint64
	startedAt   time.Time
	parts       chan vmwire.ConfigParts
}

// peerTable is written by the control loop and read by traffic.
type peerTable struct {
	mu       sync.Mutex
	rows     map[string]*peer
	lastBeat time.Time
	seq      uint64
}

// reconcile brings the rows in line with the roster.
func (t *peerTable) reconcile(s *config.Snapshot, self vm.Identity) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, m := range s.VMs {
		if name == self.Slot {
			continue
		}
		t.ensure(name).vm = m
	}
	for name, p := range t.rows {
		if s.VMs[name] == nil && len(p.sessions) == 0 {
			delete(t.rows, name)
		}
	}
}

func (t *peerTable) ensure(name string) *peer {
	p := t.rows[name]
	if p == nil {
		p = &peer{parts: make(chan vmwire.ConfigParts, 64)}
		t.rows[name] = p
	}
	return p
}

func (t *peerTable) row(name string) *peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rows[name]
}

// session returns an open session with the slot, nil if there is none.
func (t *peerTable) session(name string) *vm.Session {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.rows[name]
	if p == nil || len(p.sessions) == 0 {
		return nil
	}
	return p.sessions[len(p.sessions)-1]
}

func (t *peerTable) closeAll() {
	t.mu.Lock()
	var all []*vm.Session
	for _, p := range t.rows {
		all = append(all, p.sessions...)
	}
	t.mu.Unlock()
	for _, s := range all {
		s.Close(errors.New("vm stops"))
	}
}

// allAsked reports whether each reachable VM has told its configuration version, or the wait for
// the others has passed.
func (t *peerTable) allAsked(now, startedAt time.Time) bool {
	if now.Sub(startedAt) > joinWait {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.rows {
		if p.vm != nil && p.heard.IsZero() {
			return false
		}
	}
	return true
}

// dialPeers opens the missing sessions. The slot with the smaller name dials.
func (g *Gateway) dialPeers(ctx context.Context, now time.Time) {
	g.peers.mu.Lock()
	defer g.peers.mu.Unlock()
	for name, p := range g.peers.rows {
		if p.vm == nil || p.dialing || len(p.sessions) > 0 || now.Before(p.nextDial) {
			continue
		}
		if g.Self.Slot > name && now.Sub(g.Self.StartedAt) > joinWait {
			continue
		}
		p.dialing = true
		g.wait.Go(func() { g.runDial(ctx, p, p.vm.PeerAddress) })
	}
}

func (g *Gateway) runDial(ctx context.Context, p *peer, address string) {
	_, _ = g.Endpoint.Dial(ctx, address)
	g.peers.mu.Lock()
	defer g.peers.mu.Unlock()
	p.dialing = false
	p.nextDial = g.Now().Add(redialPause)
}

// runSeed connects to a seed once at the start, to learn the configuration from it.
func (g *Gateway) runSeed(ctx context.Context, address string) {
	for ctx.Err() == nil && g.Snapshot() == nil {
		if s, err := g.Endpoint.Dial(ctx, address); err == nil {
			<-s.Done()
		}
		sleep(ctx, redialPause)
	}
}

// changeSession adds or removes a session.
func (g *Gateway) changeSession(c sessionChange) {
	slot := c.session.Peer.Slot
	g.peers.mu.Lock()
	defer g.peers.mu.Unlock()
	if c.up {
		p := g.peers.ensure(slot)
		p.sessions = append(p.sessions, c.session)
		event.PeerUp.Log(g.Log, "peer", slot, "dialed", c.session.Dialed)
		c.session.Control(vmwire.KindHeartbeat, g.heartbeat())
		return
	}
	p := g.peers.rows[slot]
	if p == nil {
		return
	}
	for i, s := range p.sessions {
		if s == c.session {
			p.sessions = append(p.sessions[:i:i], p.sessions[i+1:]...)
			break
		}
	}
	event.PeerDown.Log(g.Log, "peer", slot, "reason", errText(c.reason))
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// heartbeat returns the current heartbeat message.
func (g *Gateway) heartbeat() *vmwire.Heartbeat {
	h := &vmwire.Heartbeat{
		Leaving: g.leaving.Load(),
		Ready:   g.ready.Load(),
		Queue:   int32(g.streams.count()),
	}
	if s := g.Snapshot(); s != nil {
		h.ConfigNumber, h.ConfigDigest = s.Version.Number, s.Version.Digest
	}
	return h
}

func (g *Gateway) sendHeartbeats(now time.Time) {
	if now.Sub(g.peers.lastBeat) < heartbeatInterval {
		return
	}
	g.peers.lastBeat = now
	g.heartbeatAll()
}

// heartbeatAll sends a heartbeat to each connected VM.
func (g *Gateway) heartbeatAll() {
	h := g.heartbeat()
	g.peers.mu.Lock()
	defer g.peers.mu.Unlock()
	g.peers.seq++
	h.Sequence = g.peers.seq
	for _, p := range g.peers.rows {
		if n := len(p.sessions); n > 0 {
			p.sessions[n-1].Control(vmwire.KindHeartbeat, h)
		}
	}
}

func (g *Gateway) onHeartbeat(ctx context.Context, m message) {
	var h vmwire.Heartbeat
	if !g.decode(m, &h) {
		return
	}
	now := g.Now()
	g.peers.mu.Lock()
	p := g.peers.ensure(m.from.Peer.Slot)
	p.heard, p.ready, p.leaving, p.queue = now, h.Ready, h.Leaving, h.Queue
	p.version = config.Version{Number: h.ConfigNumber, Digest: h.ConfigDigest}
	p.incarnation, p.startedAt = m.from.Peer.Incarnation, m.from.Peer.StartedAt
	later := p.version.Number > 0
	if s := g.Snapshot(); s != nil {
		later = p.version.After(s.Version)
	}
	g.peers.mu.Unlock()
	if later {
		g.fetchFrom(ctx, m.from)
	}
}

// PeerInfo is what the directory and the status say of a VM.
type PeerInfo struct {
	Name        string `json:"name"`
	Region      string `json:"region"`
	Address     string `json:"address"`
	Alive       bool   `json:"alive"`
	Ready       bool   `json:"ready"`
	Leaving     bool   `json:"leaving"`
	Queue       int    `json:"queue"`
	Incarnation uint64 `json:"incarnation"`
}

// VMs lists the roster as this VM sees it, itself included.
func (g *Gateway) VMs(now time.Time) []PeerInfo {
	s := g.Snapshot()
	if s == nil {
		return nil
	}
	g.peers.mu.Lock()
	defer g.peers.mu.Unlock()
	list := make([]PeerInfo, 0, len(s.File.VMs))
	for i := range s.File.VMs {
		m := &s.File.VMs[i]
		info := PeerInfo{Name: m.Name, Region: m.Region, Address: m.CallerAddress}
		if m.Name == g.Self.Slot {
			info.Alive, info.Ready, info.Leaving = true, g.ready.Load(), g.leaving.Load()
			info.Queue, info.Incarnation = g.streams.count(), g.Self.Incarnation
		} else if p := g.peers.rows[m.Name]; p != nil {
			info.Alive = now.Sub(p.heard) < deadAfter
			info.Ready, info.Leaving = p.ready, p.leaving
			info.Queue, info.Incarnation = int(p.queue), p.incarnation
		}
		list = append(list, info)
	}
	return list
}
