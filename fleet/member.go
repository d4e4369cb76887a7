// Package fleet discovers the other VMs from seeds, maintains sessions with them, exchanges presences and opens
// streams for forwarded requests.
package fleet

import (
	"time"

	"parsleyhatch/vm"
	"parsleyhatch/vmwire"
)

const (
	// tick is the interval at which presences are sent and sessions are checked.
	tick = 250 * time.Millisecond
	// livenessTimeout and remoteLivenessTimeout are the times after the latest presence for which a VM of this
	// region or of another region counts as alive. They tolerate two lost presences plus their delay.
	livenessTimeout       = 1600 * time.Millisecond
	remoteLivenessTimeout = 2800 * time.Millisecond
	// presenceDelay is the delay after which a presence is overdue.
	presenceDelay = 2 * tick
	// livenessIntervals is the number of intervals of a VM's presences for which it counts as alive, if that is longer
	// than livenessTimeout.
	livenessIntervals = 3
	// percent is the unit of shares in messages.
	percent = 100
	// maxWeight bounds the capacity that a VM can claim, in hundredths of a core.
	maxWeight = 100_000
	// maxPresenceInterval bounds the interval that another VM can announce.
	maxPresenceInterval = 5 * time.Second
	// sessionReadTimeout and remoteSessionReadTimeout are the times without a received frame after which a
	// session within the region or to another region is closed and dialed again. A connection can stay dead
	// while a new one to the same VM works.
	sessionReadTimeout       = 1800 * time.Millisecond
	remoteSessionReadTimeout = 3 * time.Second
	// maxFullRateSessions is the number of sessions within the region up to which a presence is sent at each
	// tick. With more sessions, presences are sent half as often to limit traffic, and in a large region at an interval
	// that grows by presenceIntervalPerVM for each VM, so that the number of messages does not grow.
	maxFullRateSessions   = 8
	presenceIntervalPerVM = 15 * time.Millisecond
	// sessionsPerRemoteRegion is the number of VMs of each other region with which a VM keeps sessions. It limits
	// the sessions and the traffic between regions, and leaves two sessions when one is lost.
	sessionsPerRemoteRegion = 3
	// usageReporters is the number of VMs of a large region that report the usage of the region to other regions. A VM needs
	// the report of one of them.
	usageReporters = 3
	// vmListReceivers is the number of random sessions over which the VM list is sent each time.
	vmListReceivers = 2
	// vmListRegionSize is the number of VMs of each region in a list, but for the list that opens a session. A VM needs a
	// few VMs of another region and is connected with those of its own.
	vmListRegionSize = 32
	// fullListTime is the time after its start in which a VM sends lists of all VMs, since all may have started at once.
	fullListTime = 20 * time.Second
	// dialFailureCooldown is the time for which a VM of another region is not preferred to others of its region after a failed dial.
	dialFailureCooldown = 2 * time.Second
	// memberRetention is the time after the latest presence for which a VM still counts as a sharer of the bounds of
	// upstreams, since it may only be cut off from this one. leftRetention is the same for a VM that was leaving, and the
	// time for which a lost VM is expected to send requests.
	memberRetention = 10 * time.Minute
	leftRetention   = time.Minute
	// maxRegionVMs bounds the number of VMs of a region that another VM can report.
	maxRegionVMs = 1000
	// redialInterval is the minimum time between two attempts to dial a VM.
	redialInterval = 300 * time.Millisecond
	// finishTimeout bounds the time in which the other VM reads the rest of a session that is not needed any more.
	finishTimeout = time.Second
	// maxRemotePresenceTicks is the largest number of ticks between two presences to another region, which divide the
	// rates of workspaces by them.
	maxRemotePresenceTicks = 4
	// vmListTicks is the number of ticks between two VM lists.
	vmListTicks = 8
	// vmListMaxAge is the time since a VM was last seen up to which it is listed for other VMs and dialed.
	vmListMaxAge = 10 * time.Second
	// inboundSessionWait is the time for which a VM waits for a session from a newly listed VM with a lower name before
	// it dials that VM itself. Sessions dialed by the lower name are kept.
	inboundSessionWait = 1500 * time.Millisecond
)

// Member is another VM as described by its latest presence.
type Member struct {
	vm.Identity
	// Address accepts sessions and CallerAddress accepts callers, as IP:port. Both are empty until the first full
	// presence.
	Address       string
	CallerAddress string
	// LastPresenceAt is the time of the latest presence.
	LastPresenceAt time.Time
	Ready          bool
	Leaving        bool
	// ReportsUsage means that the VM reports the usage of its region to this one.
	ReportsUsage bool
	// KeysCurrent means that the VM's list of withdrawn keys is current.
	KeysCurrent bool
	// StoreDown means that the store did not respond to the VM's latest call.
	StoreDown bool
	// OpenRequests is the number of requests open at the VM.
	OpenRequests int
	// ExpectedWaits holds the expected times to the first token in the VM's region, by service and priority rank.
	ExpectedWaits map[string][]time.Duration
	// FullServices are the services with expected waits whose upstreams have no room now.
	FullServices []string
	// FullFrom holds the most urgent rank of routes whose streams find no room in the VM's region, plus one, by service. Services
	// without an entry have room for all.
	FullFrom map[string]int
	// Pressures are the recent shares of the most urgent requests of services that the VM has refused, from 0 to 1.
	Pressures map[string]float64
	// CutServices are the services from whose upstreams the VM is cut.
	CutServices []string
	// cutSince holds the times of the first presences that named them.
	cutSince      map[string]time.Time
	ConfigVersion uint64
	// Weight is the VM's relative share of the work.
	Weight int
	// RegionVMs is the number of VMs of its region that the VM knows.
	RegionVMs int
	// PresenceInterval is the interval of the VM's presences to VMs of its region.
	PresenceInterval time.Duration
	// FirstPresenceAt is the time of the first presence of the VM's process, and Running its run time at LastPresenceAt.
	FirstPresenceAt time.Time
	Running         time.Duration
	// DisconnectedAt is when the last session with the VM ended, zero while there is one.
	DisconnectedAt time.Time
	// remote means that the VM is in another region.
	remote bool
}

// Alive reports whether the latest presence is recent enough for the VM to count as alive.
func (m *Member) Alive(now time.Time) bool {
	if m.remote {
		return now.Sub(m.LastPresenceAt) <= remoteLivenessTimeout
	}
	if !m.DisconnectedAt.IsZero() && now.Sub(m.DisconnectedAt) > livenessTimeout {
		return false // Its process has ended, and no presence is due for some time in a large region.
	}
	return now.Sub(m.LastPresenceAt) <= m.timeout()
}

// accepts reports whether the VM accepts callers, and is leaving or not.
func (m *Member) accepts(now time.Time, leaving bool) bool {
	return m.Ready && m.Leaving == leaving && m.Alive(now)
}

// sharesBounds reports whether the VM counts as a sharer of the bounds of upstreams.
func (m *Member) sharesBounds(now time.Time) bool {
	if m.Leaving {
		return now.Sub(m.LastPresenceAt) <= leftRetention
	}
	return now.Sub(m.LastPresenceAt) <= memberRetention
}

// ProcessStartedAt returns when the VM's process started, by the clock of this VM. It is up to the delay of a presence late.
func (m *Member) ProcessStartedAt() time.Time { return m.LastPresenceAt.Add(-m.Running) }

// timeout returns the time after the latest presence for which a VM of this region counts as alive.
func (m *Member) timeout() time.Duration {
	return max(livenessTimeout, livenessIntervals*m.PresenceInterval+tick)
}

// responsive reports whether the latest presence is not overdue.
func (m *Member) responsive(now time.Time) bool {
	interval := m.PresenceInterval
	if m.remote {
		interval = min(2*interval, maxRemotePresenceTicks*tick)
	}
	return now.Sub(m.LastPresenceAt) <= interval+presenceDelay
}

// hasCounted reports whether the VM's count of the VMs of its region includes all that it had discovered before it knew this one: two of
// its presences were due since then.
func (m *Member) hasCounted(now time.Time) bool {
	return now.Sub(m.FirstPresenceAt) >= 2*m.PresenceInterval+tick && m.LastPresenceAt.After(m.FirstPresenceAt)
}

// apply updates the member from a presence.
func (m *Member) apply(now time.Time, p *vmwire.Presence) {
	if p.Address != "" {
		m.Address, m.CallerAddress = p.Address, p.CallerAddress
	}
	m.LastPresenceAt = now
	if m.FirstPresenceAt.IsZero() {
		m.FirstPresenceAt = now
	}
	m.Running = time.Duration(min(p.RunningSeconds, vmwire.MaxRunningSeconds)) * time.Second
	m.DisconnectedAt = time.Time{}
	m.PresenceInterval = min(time.Duration(p.IntervalMillis)*time.Millisecond, maxPresenceInterval)
	m.Ready = p.Flags&vmwire.FlagReady != 0
	m.Leaving = p.Flags&vmwire.FlagLeaving != 0
	m.ReportsUsage = p.Flags&vmwire.FlagRegionUsage != 0
	m.KeysCurrent = p.Flags&vmwire.FlagKeysCurrent != 0
	m.StoreDown = p.Flags&vmwire.FlagStoreDown != 0
	m.OpenRequests = int(p.Open)
	m.ConfigVersion = p.ConfigVersion
	m.Weight = int(min(max(p.Weight, 1), maxWeight))
	m.RegionVMs = int(min(p.RegionVMs, maxRegionVMs))
	m.setCutServices(now, p.CutServices)
	m.Pressures = nil
	for _, s := range p.Pressures {
		if m.Pressures == nil {
			m.Pressures = map[string]float64{}
		}
		m.Pressures[s.Service] = min(float64(s.Percent)/percent, 1)
	}
	m.ExpectedWaits = make(map[string][]time.Duration, len(p.Waits))
	m.FullServices, m.FullFrom = nil, nil
	for _, w := range p.Waits {
		if w.FullFrom > 0 {
			if m.FullFrom == nil {
				m.FullFrom = map[string]int{}
			}
			m.FullFrom[w.Service] = int(w.FullFrom)
		}
		if w.Full {
			m.FullServices = append(m.FullServices, w.Service)
		}
		waits := make([]time.Duration, len(w.Millis))
		for rank, ms := range w.Millis {
			waits[rank] = time.Duration(ms) * time.Millisecond
		}
		m.ExpectedWaits[w.Service] = waits
	}
}

// candidate is a peer address to dial. slot and region are empty until they are known.
type candidate struct {
	slot          string
	region        string
	lastSeenAt    time.Time
	nextDialAt    time.Time
	lastFailureAt time.Time
	// failures is the number of consecutive failed dials.
	failures int
	dialing  bool
	seed     bool
}

// listed reports whether the address is recent enough to dial.
func (c *candidate) listed(now time.Time) bool {
	return c.seed || now.Sub(c.lastSeenAt) <= vmListMaxAge
}

// failedRecently reports whether a dial of the address has failed a short time ago.
func (c *candidate) failedRecently(now time.Time) bool {
	return now.Sub(c.lastFailureAt) <= dialFailureCooldown
}
