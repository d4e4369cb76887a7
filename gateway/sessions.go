package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"parsleyhatch/event"
	"parsleyhatch/vm"
	"parsleyhatch/vmwire"
)

const (
	// redialDelay is the wait between attempts to connect to a VM.
	redialDelay = 500 * time.Millisecond
	// dialTimeout bounds how long a request waits for a session.
	dialTimeout = 2 * time.Second
	// partsQueue is the number of configuration messages that may wait for an exchange.
	partsQueue = 64
)

// slotSessions are the sessions with the VMs of one slot.
type slotSessions struct {
	open     []*vm.Session
	dialing  chan struct{}
	nextDial time.Time
	// parts receives configuration messages for an exchange with the slot.
	parts chan vmwire.ConfigParts
}

// sessionTable holds the sessions with other VMs.
type sessionTable struct {
	mu   sync.Mutex
	rows map[string]*slotSessions
}

func (t *sessionTable) row(slot string) *slotSessions {
	r := t.rows[slot]
	if r == nil {
		r = &slotSessions{parts: make(chan vmwire.ConfigParts, partsQueue)}
		t.rows[slot] = r
	}
	return r
}

// get returns the latest open session with the slot, nil if there is none.
func (t *sessionTable) get(slot string) *vm.Session {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.rows[slot]
	if r == nil || len(r.open) == 0 {
		return nil
	}
	return r.open[len(r.open)-1]
}

// all returns the latest session with each slot.
func (t *sessionTable) all() []*vm.Session {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]*vm.Session, 0, len(t.rows))
	for _, r := range t.rows {
		if n := len(r.open); n > 0 {
			list = append(list, r.open[n-1])
		}
	}
	return list
}

// bytesSent adds up what was written to the open sessions.
func (t *sessionTable) bytesSent() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var total int64
	for _, r := range t.rows {
		for _, s := range r.open {
			total += s.BytesSent()
		}
	}
	return total
}

// exchange returns the channel of configuration messages from the slot.
func (t *sessionTable) exchange(slot string) chan vmwire.ConfigParts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.row(slot).parts
}

func (t *sessionTable) add(s *vm.Session) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.row(s.Peer.Slot)
	r.open = append(r.open, s)
}

func (t *sessionTable) remove(s *vm.Session) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.rows[s.Peer.Slot]
	if r == nil {
		return
	}
	for i, o := range r.open {
		if o == s {
			r.open = append(r.open[:i:i], r.open[i+1:]...)
			return
		}
	}
}

func (t *sessionTable) closeAll() {
	t.mu.Lock()
	var all []*vm.Session
	for _, r := range t.rows {
		all = append(all, r.open...)
	}
	t.mu.Unlock()
	for _, s := range all {
		s.Close(errors.New("vm is stopping"))
	}
}

// startDial returns a channel that is closed when the running attempt to connect has ended, and
// whether the caller has to make that attempt. Between attempts it returns nil.
func (t *sessionTable) startDial(now time.Time, slot string) (ended chan struct{}, shouldDial bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.row(slot)
	if r.dialing != nil {
		return r.dialing, false
	}
	if now.Before(r.nextDial) {
		return nil, false
	}
	r.dialing = make(chan struct{})
	return r.dialing, true
}

func (t *sessionTable) endDial(now time.Time, slot string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.row(slot)
	close(r.dialing)
	r.dialing = nil
	r.nextDial = now.Add(redialDelay)
}

// dial starts an attempt to connect to a slot, unless one runs or has just failed. The returned
// channel is closed when the attempt has ended; it is nil if there is none.
func (g *Gateway) dial(ctx context.Context, slot string) <-chan struct{} {
	snapshot := g.Snapshot()
	if snapshot == nil || snapshot.VMs[slot] == nil || slot == g.Self.Slot {
		return nil
	}
	ended, mine := g.sessions.startDial(g.Now(), slot)
	if mine {
		address := snapshot.VMs[slot].PeerAddress
		g.background.Go(func() { g.runDial(ctx, slot, address) })
	}
	return ended
}

func (g *Gateway) runDial(ctx context.Context, slot, address string) {
	s, err := g.Endpoint.Dial(ctx, address)
	if err == nil {
		// The session is already in the session table; the control loop handles it later.
		if s.Peer.Slot != slot {
			s.Close(errors.New("the VM at the address has another slot"))
		}
	}
	g.sessions.endDial(g.Now(), slot)
}

// sessionWith returns a session with the slot, connecting if there is none.
func (g *Gateway) sessionWith(ctx context.Context, slot string) *vm.Session {
	if s := g.sessions.get(slot); s != nil {
		return s
	}
	ended := g.dial(context.WithoutCancel(ctx), slot)
	if ended == nil {
		return nil
	}
	timer := time.NewTimer(dialTimeout)
	defer timer.Stop()
	select {
	case <-ended:
	case <-timer.C:
	case <-ctx.Done():
	}
	return g.sessions.get(slot)
}

// runSeed connects to a seed until a configuration is known, to learn it from there.
func (g *Gateway) runSeed(ctx context.Context, address string) {
	for ctx.Err() == nil && g.Snapshot() == nil {
		if s, err := g.Endpoint.Dial(ctx, address); err == nil {
			select {
			case <-s.Done():
			case <-ctx.Done():
			}
		}
		sleep(ctx, redialDelay)
	}
}

// onSessionChange updates the control tables after a session began or ended. The session table was
// already updated when that happened.
func (g *Gateway) onSessionChange(c sessionChange) {
	slot := c.session.Peer.Slot
	if c.up {
		event.PeerUp.Log(g.Log, "peer", slot, "dialed", c.session.Dialed)
		g.sendInitialState(g.Now(), c.session)
		return
	}
	delete(g.unackedSince, c.session)
	g.members.SessionEnded(slot, c.session.Peer.Incarnation)
	event.PeerDown.Log(g.Log, "peer", slot, "reason", errText(c.reason))
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
