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
	// aliveFor is the time after a presence for which a VM counts as alive.
	aliveFor = 1200 * time.Millisecond
	// sessionSilence is the time without a frame after which a session is replaced. A connection can go
	// silent for good while a new one works.
	sessionSilence = 1500 * time.Millisecond
	// forgetAfter is the time after which a silent VM no longer counts for shares of bounds.
	forgetAfter = 60 * time.Second
	// dialPause is the time between two attempts to reach a VM.
	dialPause = 700 * time.Millisecond
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
	// Costs are the expected times to the first token in its region, by service.
	Costs         map[string]time.Duration
	ConfigVersion uint64
}

// Alive reports whether the VM was heard of lately.
func (m *Member) Alive(now time.Time) bool { return now.Sub(m.HeardAt) <= aliveFor }

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
	m.Costs = make(map[string]time.Duration, len(p.Costs))
	for _, c := range p.Costs {
		m.Costs[c.Service] = time.Duration(c.CostMillis) * time.Millisecond
	}
}

// candidate is a VM that is known by its address only.
type candidate struct {
	slot    string
	region  string
	seenAt  time.Time
	dialAt  time.Time
	dialing bool
	seed    bool
}
