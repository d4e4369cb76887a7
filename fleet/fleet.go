package fleet

import (
	"cmp"
	"context"
	"errors"
	"hash/fnv"
	"log/slog"
	"net"
	"slices"
	"sync"
	"time"

	"parsleyhatch/event"
	"parsleyhatch/vm"
	"parsleyhatch/vmwire"
)

const (
	// firstDialTimeout bounds the opening of a session at the first attempt: three round trips between
	// regions. A VM that is starting takes connections that it loses; waiting longer would delay the next attempt.
	firstDialTimeout = 400 * time.Millisecond
	// dialTimeout bounds the later attempts.
	dialTimeout = time.Second
)

// Reasons to close a session.
var (
	errSilent    = errors.New("the other vm is silent")
	errDuplicate = errors.New("another session with the vm exists")
	errSurplus   = errors.New("sessions with other vms of the region suffice")
	errReplaced  = errors.New("the vm was replaced by a newer one")
)

// Fleet holds the sessions with the other VMs. The function fields are set before Run.
type Fleet struct {
	Endpoint *vm.Endpoint
	// Address and CallerAddress are announced to the other VMs, IP:port.
	Address       string
	CallerAddress string
	Log           *slog.Logger
	// Now returns the present time.
	Now func() time.Time
	// Describe fills in what the VM shares with those of its region, or of other regions: all of it, or what
	// has changed lately.
	Describe func(now time.Time, p *vmwire.Presence, sameRegion, whole bool)
	// DescribeUses returns what the VM has running at the upstreams of its region: at all, or where that has
	// changed since the last call; nil if there is nothing to tell.
	DescribeUses func(whole bool) *vmwire.Uses
	// OnPresence receives what another VM shares. It must not block.
	OnPresence func(now time.Time, m Member, p *vmwire.Presence)
	// OnControl receives other control messages. It must not block.
	OnControl func(s *vm.Session, f vmwire.Frame)

	mu         sync.Mutex
	members    map[string]*Member
	sessions   map[string][]*vm.Session
	candidates map[string]*candidate
	// ticks belongs to Run.
	ticks  int
	pauses pauses
}

// New returns a fleet that knows only the seeds.
func New(now time.Time, e *vm.Endpoint, address, callerAddress string, seeds []string) *Fleet {
	f := &Fleet{
		Endpoint: e, Address: address, CallerAddress: callerAddress, Log: e.Log,
		members: map[string]*Member{}, sessions: map[string][]*vm.Session{}, candidates: map[string]*candidate{},
	}
	f.AddSeeds(now, seeds)
	e.OnUp, e.OnDown, e.OnControl = f.up, f.down, f.control
	return f
}

// AddSeeds adds peer addresses of VMs to begin with.
func (f *Fleet) AddSeeds(now time.Time, seeds []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, seed := range seeds {
		if seed != f.Address && f.candidates[seed] == nil {
			f.candidates[seed] = &candidate{seenAt: now, seed: true}
		}
	}
}

// Run keeps the sessions until ctx ends.
func (f *Fleet) Run(ctx context.Context, l net.Listener) {
	go f.runListener(l)
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	go f.runUses(ctx)
	f.beat(ctx)
	for {
		select {
		case <-ctx.Done():
			_ = l.Close()
			f.closeAll()
			return
		case <-ticker.C:
			f.beat(ctx)
		}
	}
}

func (f *Fleet) runListener(l net.Listener) {
	if err := f.Endpoint.RunListener(l); err != nil {
		event.PeerRefused.Log(f.Log, "error", err.Error())
	}
}

// beat checks the sessions, opens missing ones and sends presences.
func (f *Fleet) beat(ctx context.Context) {
	now := f.Now()
	f.pauses.tick(now)
	f.dropSilent()
	if f.ticks%rowsEvery == 0 {
		f.dropSurplus(now)
	}
	for _, address := range f.due(now) {
		go f.runDial(ctx, address)
	}
	f.ticks++
	f.announce()
}

// dropSilent closes sessions over connections that went silent.
func (f *Fleet) dropSilent() {
	for _, s := range f.allSessions() {
		limit := sessionSilence
		if f.far(s) {
			limit = farSessionSilence
		}
		if time.Since(s.HeardAt()) > limit {
			s.Close(errSilent)
		}
	}
}

// far reports whether a session is with a VM of another region.
func (f *Fleet) far(s *vm.Session) bool { return s.Peer.Region != f.Endpoint.Self.Region }

func (f *Fleet) allSessions() []*vm.Session {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []*vm.Session
	for _, list := range f.sessions {
		all = append(all, list...)
	}
	return all
}

// due returns the addresses to dial now: all VMs of the own region, and a few of each other one.
func (f *Fleet) due(now time.Time) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	chosen := f.chosen(now)
	var list []string
	for address, c := range f.candidates {
		if now.Sub(c.seenAt) > rowLife && !c.seed {
			delete(f.candidates, address)
			continue
		}
		if c.slot != "" && (c.slot == f.Endpoint.Self.Slot || len(f.sessions[c.slot]) > 0) {
			continue
		}
		if c.dialing || now.Before(c.dialAt) || f.isFar(c) && !chosen[address] {
			continue
		}
		c.dialing = true
		list = append(list, address)
	}
	return list
}

// isFar reports whether a candidate is known to be in another region.
func (f *Fleet) isFar(c *candidate) bool { return c.region != "" && c.region != f.Endpoint.Self.Region }

// chosen returns the addresses of the VMs of other regions to keep sessions with. Rendezvous hashing spreads
// the sessions of a region over the VMs of the other.
func (f *Fleet) chosen(now time.Time) map[string]bool {
	byRegion := map[string][]string{}
	for address, c := range f.candidates {
		if f.isFar(c) && c.usable(now) {
			byRegion[c.region] = append(byRegion[c.region], address)
		}
	}
	chosen := map[string]bool{}
	for _, addresses := range byRegion {
		slices.SortFunc(addresses, func(a, b string) int { return cmp.Compare(f.weight(b), f.weight(a)) })
		for _, address := range addresses[:min(farSessions, len(addresses))] {
			chosen[address] = true
		}
	}
	return chosen
}

func (f *Fleet) weight(address string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(address))
	_, _ = h.Write([]byte(f.Endpoint.Self.Slot))
	return h.Sum64() * 0x9e3779b97f4a7c15
}

// dropSurplus closes the sessions that this VM opened to VMs of other regions that it no longer chooses,
// such as the seeds.
func (f *Fleet) dropSurplus(now time.Time) {
	f.mu.Lock()
	chosen := f.chosen(now)
	var surplus []*vm.Session
	for slot, list := range f.sessions {
		m := f.members[slot]
		for _, s := range list {
			if s.Dialed && f.far(s) && m != nil && !chosen[m.Address] && len(chosen) >= farSessions && s.OpenStreams() == 0 {
				surplus = append(surplus, s)
			}
		}
	}
	f.mu.Unlock()
	for _, s := range surplus {
		s.Close(errSurplus)
	}
}

func (f *Fleet) runDial(ctx context.Context, address string) {
	dialCtx, cancel := context.WithTimeout(ctx, f.dialLimit(address))
	defer cancel()
	s, err := f.Endpoint.Dial(dialCtx, address)
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.candidates[address]
	if c == nil {
		return
	}
	c.dialing = false
	c.dialAt = f.Now().Add(dialPause)
	if err != nil {
		c.failedAt = f.Now()
		c.failures++
		return
	}
	c.failures = 0
	c.slot, c.region = s.Peer.Slot, s.Peer.Region
}

// dialLimit returns the time for the next attempt to reach an address.
func (f *Fleet) dialLimit(address string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c := f.candidates[address]; c != nil && c.failures == 0 {
		return firstDialTimeout
	}
	return dialTimeout
}

// up adds a session. Of several with one VM, that dialed by the lower name stays.
func (f *Fleet) up(s *vm.Session) {
	if s.Peer.Slot == f.Endpoint.Self.Slot {
		go s.Close(errDuplicate)
		return
	}
	f.mu.Lock()
	list := append(f.sessions[s.Peer.Slot], s)
	f.sessions[s.Peer.Slot] = list
	var surplus []*vm.Session
	for _, other := range list {
		switch {
		case other.Peer.Incarnation != s.Peer.Incarnation:
			surplus = append(surplus, other)
		case len(list) > 1 && !f.wanted(other):
			surplus = append(surplus, other)
		}
	}
	if len(surplus) == len(list) {
		surplus = surplus[1:]
	}
	f.mu.Unlock()
	for _, other := range surplus {
		go other.Close(errDuplicate)
	}
	event.PeerUp.Log(f.Log, "vm", s.Peer.Slot, "region", s.Peer.Region, "dialed", s.Dialed)
	go f.announceTo(s)
}

// wanted reports whether the VM with the lower name dialed the session.
func (f *Fleet) wanted(s *vm.Session) bool {
	return s.Dialed == (f.Endpoint.Self.Slot < s.Peer.Slot)
}

func (f *Fleet) down(s *vm.Session, reason error) {
	f.mu.Lock()
	list := f.sessions[s.Peer.Slot]
	kept := list[:0]
	for _, other := range list {
		if other != s {
			kept = append(kept, other)
		}
	}
	f.sessions[s.Peer.Slot] = kept
	if len(kept) == 0 {
		delete(f.sessions, s.Peer.Slot)
	}
	lost := len(kept) == 0
	f.mu.Unlock()
	if lost && s.Peer.Slot != f.Endpoint.Self.Slot {
		event.PeerDown.Log(f.Log, "vm", s.Peer.Slot, "region", s.Peer.Region, "reason", reason)
	}
}

func (f *Fleet) closeAll() {
	for _, s := range f.allSessions() {
		s.Close(vm.ErrSessionClosed)
	}
}

// session returns the session to use with a VM, or nil.
func (f *Fleet) session(slot string) *vm.Session {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := f.sessions[slot]
	for _, s := range list {
		if f.wanted(s) {
			return s
		}
	}
	if len(list) > 0 {
		return list[0]
	}
	return nil
}
