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
	"sync/atomic"
	"time"

	"parsleyhatch/event"
	"parsleyhatch/vm"
	"parsleyhatch/vmwire"
)

const (
	// firstDialTimeout bounds the first attempt to open a session: three round trips between regions.
	// A starting VM can accept connections that it never serves; a longer timeout would delay the retry.
	firstDialTimeout = 400 * time.Millisecond
	// dialTimeout bounds each later attempt to open a session.
	dialTimeout = time.Second
)

// Reasons to close a session.
var (
	errReadTimeout = errors.New("no frame from the other vm within the read timeout")
	errDuplicate   = errors.New("duplicate session with the vm")
	errSurplus     = errors.New("session not needed: enough sessions with other vms of the region")
	errReplaced    = errors.New("a newer incarnation of the vm is connected")
)

// Fleet tracks the other VMs and maintains the sessions with them. The function fields must be set before Run.
type Fleet struct {
	Endpoint *vm.Endpoint
	// Address is the peer address and CallerAddress the caller address that are announced to other VMs, as IP:port.
	Address       string
	CallerAddress string
	Log           *slog.Logger
	// Now returns the current time.
	Now func() time.Time
	// FillPresence fills in the presence for VMs of the same region or of other regions: the full state if full
	// is set, otherwise recent changes.
	FillPresence func(now time.Time, p *vmwire.Presence, sameRegion, full bool)
	// LoadReport returns the load that this VM puts on the upstreams of its region: on all of them if full
	// is set, otherwise on those where it changed since the last call. It returns nil if there is none to report.
	LoadReport func(full bool) *vmwire.UpstreamLoads
	// LoadSums returns a function that returns the load that all VMs of the region except one put on its upstreams.
	LoadSums func(now time.Time) func(slot string) *vmwire.UpstreamSums
	// OnSums handles the load of the other VMs of the region as a collector reported it.
	OnSums func(now time.Time, sums *vmwire.UpstreamSums)
	// OnCollecting is called when this VM starts or stops to collect the load reports of its region.
	OnCollecting func(collecting bool)
	// OnSession is called when a session has opened, to send what its VM must know. It may block.
	OnSession func(s *vm.Session)
	// OnPresence handles the presence of another VM. It must not block.
	OnPresence func(now time.Time, m Member, p *vmwire.Presence)
	// OnControl handles the other control messages. It must not block.
	OnControl func(s *vm.Session, f vmwire.Frame)

	startedAt time.Time

	mu         sync.Mutex
	members    map[string]*Member
	sessions   map[string][]*vm.Session
	candidates map[string]*candidate
	// processes holds the processes of other VMs from which presences have come, by incarnation.
	processes map[uint64]*process
	// ownPresence is the latest presence of this VM.
	ownPresence *vmwire.Presence
	// lastSumsAt is the time of the latest sums of another collector.
	lastSumsAt time.Time
	// collecting is set while this VM collects load reports.
	collecting atomic.Bool
	// ticks counts the calls of maintain. It is accessed only by the goroutine of Run.
	ticks int
	// presenceInterval is the interval of the presences to VMs of this region, in nanoseconds.
	presenceInterval atomic.Int64
	// sentFlags are the flags of the latest presence, and sentCuts is the number of its CutServices. They are accessed only by the
	// goroutine of Run.
	sentFlags     uint8
	sentCuts      int
	pauseDetector pauseDetector
}

// New returns a fleet whose only dial candidates are the seeds.
func New(now time.Time, e *vm.Endpoint, address, callerAddress string, seeds []string) *Fleet {
	f := &Fleet{
		Endpoint: e, Address: address, CallerAddress: callerAddress, Log: e.Log, startedAt: now,
		members: map[string]*Member{}, sessions: map[string][]*vm.Session{}, candidates: map[string]*candidate{},
		processes: map[uint64]*process{},
	}
	f.AddSeeds(now, seeds)
	e.OnSessionOpened, e.OnSessionClosed, e.OnControl = f.addSession, f.removeSession, f.handleControl
	return f
}

// AddSeeds adds the peer addresses from which other VMs are discovered.
func (f *Fleet) AddSeeds(now time.Time, seeds []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, seed := range seeds {
		if seed != f.Address && f.candidates[seed] == nil {
			f.candidates[seed] = &candidate{lastSeenAt: now, seed: true}
		}
	}
}

// Run maintains the sessions until ctx ends.
func (f *Fleet) Run(ctx context.Context, l net.Listener) {
	go f.runListener(l)
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	go f.runUses(ctx)
	f.maintain(ctx)
	for {
		select {
		case <-ctx.Done():
			_ = l.Close()
			f.closeAll()
			return
		case <-ticker.C:
			f.maintain(ctx)
		}
	}
}

func (f *Fleet) runListener(l net.Listener) {
	if err := f.Endpoint.Serve(l); err != nil {
		event.PeerRefused.Log(f.Log, "error", err.Error())
	}
}

// maintain closes timed-out and surplus sessions, dials missing ones and sends the presences that are due.
func (f *Fleet) maintain(ctx context.Context) {
	now := f.Now()
	f.pauseDetector.tick(now)
	if !f.PausedRecently(now) {
		f.closeTimedOut()
	}
	f.closeDuplicates(now)
	if f.ticks%vmListTicks == 0 {
		f.closeSurplus(now)
	}
	for _, address := range f.addressesToDial(now) {
		go f.runDial(ctx, address)
	}
	f.ticks++
	f.sendDuePresences()
}

// closeTimedOut closes the sessions that received no frame within the read timeout. After a pause of this process, frames
// that arrived meanwhile must be read first.
func (f *Fleet) closeTimedOut() {
	for _, s := range f.allSessions() {
		if time.Since(s.LastReceivedAt()) > f.readTimeout(s) {
			s.Close(errReadTimeout)
		}
	}
}

// readTimeout returns the read timeout of a session, which is longer than the time for which its VM counts as alive.
func (f *Fleet) readTimeout(s *vm.Session) time.Duration {
	if f.remote(s) {
		return remoteSessionReadTimeout
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.members[s.Peer.Slot]; m != nil {
		return max(sessionReadTimeout, m.timeout()+tick)
	}
	return max(sessionReadTimeout, livenessIntervals*time.Duration(f.presenceInterval.Load())+tick)
}

// remote reports whether a session is with a VM of another region.
func (f *Fleet) remote(s *vm.Session) bool { return s.Peer.Region != f.Endpoint.Self.Region }

func (f *Fleet) allSessions() []*vm.Session {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []*vm.Session
	for _, list := range f.sessions {
		all = append(all, list...)
	}
	return all
}

// addressesToDial returns the addresses to dial now and marks them as being dialed: all VMs of this region and the
// preferred ones of each other region. It removes outdated candidates.
func (f *Fleet) addressesToDial(now time.Time) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	preferredRemotes := f.preferredRemotes(now)
	var list []string
	for address, c := range f.candidates {
		if now.Sub(c.lastSeenAt) > vmListMaxAge && !c.seed {
			delete(f.candidates, address)
			continue
		}
		if c.slot != "" && (c.slot == f.Endpoint.Self.Slot || len(f.sessions[c.slot]) > 0) {
			continue
		}
		if c.dialing || now.Before(c.nextDialAt) || f.isRemoteCandidate(c) && !preferredRemotes[address] {
			continue
		}
		c.dialing = true
		list = append(list, address)
	}
	return list
}

// isRemoteCandidate reports whether a candidate is known to be in another region.
func (f *Fleet) isRemoteCandidate(c *candidate) bool {
	return c.region != "" && c.region != f.Endpoint.Self.Region
}

// preferredRemotes returns the addresses of the VMs of other regions to keep sessions with: the VM with the lowest name of
// each region, which reports the usage of the region, and others that rendezvous hashing distributes over the VMs.
func (f *Fleet) preferredRemotes(now time.Time) map[string]bool {
	preferredRemotes := map[string]bool{}
	for _, addresses := range f.remoteAddresses(now) {
		lowest := slices.MinFunc(addresses, func(a, b string) int { return cmp.Compare(f.candidates[a].slot, f.candidates[b].slot) })
		preferredRemotes[lowest] = true
		addresses = slices.DeleteFunc(addresses, func(address string) bool { return address == lowest })
		slices.SortFunc(addresses, func(a, b string) int { return cmp.Compare(f.rendezvousWeight(b), f.rendezvousWeight(a)) })
		for _, address := range addresses[:min(sessionsPerRemoteRegion-1, len(addresses))] {
			preferredRemotes[address] = true
		}
	}
	return preferredRemotes
}

// remoteAddresses returns the addresses of each other region that can be dialed. If the latest dials of all VMs of a region have
// failed, they are dialed all the same: they may have been lost together and start again.
func (f *Fleet) remoteAddresses(now time.Time) map[string][]string {
	byRegion, failed := map[string][]string{}, map[string][]string{}
	for address, c := range f.candidates {
		switch {
		case !f.isRemoteCandidate(c) || !c.listed(now):
		case c.failedRecently(now):
			failed[c.region] = append(failed[c.region], address)
		default:
			byRegion[c.region] = append(byRegion[c.region], address)
		}
	}
	for region, addresses := range failed {
		if byRegion[region] == nil {
			byRegion[region] = addresses
		}
	}
	return byRegion
}

func (f *Fleet) rendezvousWeight(address string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(address))
	_, _ = h.Write([]byte(f.Endpoint.Self.Slot))
	return h.Sum64() * 0x9e3779b97f4a7c15
}

// closeSurplus closes the sessions without open streams that this VM dialed to VMs of other regions that are no
// longer preferred, such as the seeds.
func (f *Fleet) closeSurplus(now time.Time) {
	f.mu.Lock()
	preferredRemotes := f.preferredRemotes(now)
	var surplus []*vm.Session
	for slot, list := range f.sessions {
		m := f.members[slot]
		for _, s := range list {
			if s.Dialed && f.remote(s) && m != nil && m.Address != "" && !preferredRemotes[m.Address] && len(preferredRemotes) >= sessionsPerRemoteRegion && s.OpenStreams() == 0 {
				surplus = append(surplus, s)
			}
		}
	}
	f.mu.Unlock()
	for _, s := range surplus {
		s.Finish(errSurplus, finishTimeout)
	}
}

func (f *Fleet) runDial(ctx context.Context, address string) {
	dialCtx, cancel := context.WithTimeout(ctx, f.nextDialTimeout(address))
	defer cancel()
	s, err := f.Endpoint.Dial(dialCtx, address)
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.candidates[address]
	if c == nil {
		return
	}
	c.dialing = false
	c.nextDialAt = f.Now().Add(redialInterval)
	if err != nil {
		c.lastFailureAt = f.Now()
		c.failures++
		return
	}
	c.failures = 0
	c.slot, c.region = s.Peer.Slot, s.Peer.Region
}

// nextDialTimeout returns the timeout of the next attempt to dial an address.
func (f *Fleet) nextDialTimeout(address string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c := f.candidates[address]; c != nil && c.failures == 0 {
		return firstDialTimeout
	}
	return dialTimeout
}

// addSession registers a session. It closes those with other incarnations of the VM; closeDuplicates closes the others that
// are not used.
func (f *Fleet) addSession(s *vm.Session) {
	if s.Peer.Slot == f.Endpoint.Self.Slot {
		go s.Close(errDuplicate)
		return
	}
	f.mu.Lock()
	list := append(f.sessions[s.Peer.Slot], s)
	f.sessions[s.Peer.Slot] = list
	var replaced []*vm.Session
	for _, other := range list {
		if other.Peer.Incarnation != s.Peer.Incarnation {
			replaced = append(replaced, other)
		}
	}
	f.mu.Unlock()
	for _, other := range replaced {
		go other.Close(errReplaced)
	}
	event.PeerUp.Log(f.Log, "peer", s.Peer.Slot, "region", s.Peer.Region, "dialed", s.Dialed)
	go f.runOpened(s)
}

// runOpened sends what the VM of a new session must know.
func (f *Fleet) runOpened(s *vm.Session) {
	f.sendFullPresence(s, true)
	if f.OnSession != nil {
		f.OnSession(s)
	}
}

func (f *Fleet) removeSession(s *vm.Session, reason error) {
	f.mu.Lock()
	list := f.sessions[s.Peer.Slot]
	remaining := list[:0]
	for _, other := range list {
		if other != s {
			remaining = append(remaining, other)
		}
	}
	f.sessions[s.Peer.Slot] = remaining
	if len(remaining) == 0 {
		delete(f.sessions, s.Peer.Slot)
	}
	disconnected := len(remaining) == 0
	if m := f.members[s.Peer.Slot]; m != nil && disconnected && m.Incarnation == s.Peer.Incarnation {
		m.DisconnectedAt = f.Now()
	}
	f.mu.Unlock()
	if disconnected && s.Peer.Slot != f.Endpoint.Self.Slot {
		event.PeerDown.Log(f.Log, "peer", s.Peer.Slot, "region", s.Peer.Region, "reason", reason)
	}
}

func (f *Fleet) closeAll() {
	for _, s := range f.allSessions() {
		s.Close(vm.ErrSessionClosed)
	}
}

// Drain sends what is queued for other VMs and ends all sessions once it has been read, at the latest when ctx ends.
func (f *Fleet) Drain(ctx context.Context) {
	var wait sync.WaitGroup
	for _, s := range f.allSessions() {
		wait.Go(func() { s.Drain(ctx) })
	}
	wait.Wait()
}

// session returns the session to use with a VM, or nil if there is none.
func (f *Fleet) session(slot string) *vm.Session {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sessionToUse(f.sessions[slot])
}
