// Package fleet finds the other VMs from seeds, tells them what this VM shares, and passes requests on.
package fleet

import (
	"time"

	"parsleyhatch/vm"
	"parsleyhatch/vmwire"
)

const (
	// tick is the period of presences and of the checks of sessions.
	tick = 250 * time.Millisecond
	// aliveFor and farAliveFor are the times after a presence for which a VM of the own or of another region
	// counts as alive: two missed presences and their delay.
	aliveFor    = 1600 * time.Millisecond
	farAliveFor = 2800 * time.Millisecond
	// sessionSilence and farSessionSilence are the times without a frame after which a session is replaced.
	// A connection can go silent for good while a new one works.
	sessionSilence    = 1800 * time.Millisecond
	farSessionSilence = 3 * time.Second
	// smallRegion is the number of sessions within the region up to which a presence is sent each tick.
	// Above it, presences within the region are sent every second tick.
	smallRegion = 8
	// farSessions is the number of VMs of each other region to which a VM keeps sessions. It bounds the
	// sessions and the bytes between regions, and leaves two when one is lost.
	farSessions = 3
	// rowReceivers is the number of sessions over which a list of VMs is sent each time.
	rowReceivers = 3
	// failurePause is the time for which a VM that could not be reached is passed over.
	failurePause = 2 * time.Second
	// forgetAfter is the time after which a silent VM no longer counts for shares of bounds.
	forgetAfter = 60 * time.Second
	// dialPause is the time between two attempts to reach a VM.
	dialPause = 300 * time.Millisecond
	// rowsEvery is the number of ticks between two lists of VMs, and rowLife the age up to which a VM is
	// passed on or dialed by its row.
	rowsEvery = 8
	rowLife   = 10 * time.Second
	// patience is the time for which a VM waits for the session that the other side should open.
	patience = 1500 * time.Millisecond
)

// Member is another VM.
type Member struct {
	vm.Identity
	// Address takes sessions and CallerAddress callers, IP:port.
	Address       string
	CallerAddress string
	// HeardAt is the time of the latest presence.
	HeardAt time.Time
	Ready   bool
	Leaving bool
	// Fresh says that the VM knows the withdrawn keys.
	Fresh bool
	// StoreDown says that the store did not answer the VM's latest call.
	StoreDown bool
	// Open is the number of its open requests.
	Open int
	// Waits are the expected times to the first token in its region, by service and rank.
	Waits         map[string][]time.Duration
	ConfigVersion uint64
	// Weight is the VM's share of work, relative to others.
	Weight int
	// far says that the VM is in another region.
	far bool
}

// Alive reports whether the VM was heard of lately.
func (m *Member) Alive(now time.Time) bool {
	if m.far {
		return now.Sub(m.HeardAt) <= farAliveFor
	}
	return now.Sub(m.HeardAt) <= aliveFor
}

// apply takes over a presence.
func (m *Member) apply(now time.Time, p *vmwire.Presence) {
	m.Address, m.CallerAddress = p.Address, p.CallerAddress
	m.HeardAt = now
	m.Ready = p.Flags&vmwire.FlagReady != 0
	m.Leaving = p.Flags&vmwire.FlagLeaving != 0
	m.Fresh = p.Flags&vmwire.FlagFresh != 0
	m.StoreDown = p.Flags&vmwire.FlagStoreDown != 0
	m.Open = int(p.Open)
	m.ConfigVersion = p.ConfigVersion
	m.Weight = int(p.Weight)
	m.Waits = make(map[string][]time.Duration, len(p.Waits))
	for _, w := range p.Waits {
		waits := make([]time.Duration, len(w.Millis))
		for rank, ms := range w.Millis {
			waits[rank] = time.Duration(ms) * time.Millisecond
		}
		m.Waits[w.Service] = waits
	}
}

// candidate is a VM that is known by its address only.
type candidate struct {
	slot     string
	region   string
	seenAt   time.Time
	dialAt   time.Time
	failedAt time.Time
	// failures is the number of attempts to reach the VM that failed one after the other.
	failures int
	dialing  bool
	seed     bool
}

// usable reports whether the VM may be dialed.
func (c *candidate) usable(now time.Time) bool {
	return now.Sub(c.failedAt) > failurePause && (c.seed || now.Sub(c.seenAt) <= rowLife)
}
