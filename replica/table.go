package replica

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"parsleyhatch/route"
)

// Table holds the upstreams of the own region. It is safe for concurrent use.
type Table struct {
	// ColdBound returns the requests a second that all VMs together may send to a cold upstream of a
	// service. Set it before use.
	ColdBound func(s *route.Service) float64

	mu        sync.Mutex
	rows      map[string]*row
	byService map[string][]*row
	// changed says that byService is older than rows.
	changed   bool
	evacuated map[string]bool
	popular   popularity
	// used holds the upstreams at which this VM's use has changed since it was last told to the others.
	used map[string]bool
	// vms is the number of VMs that share the bound of a cold upstream, self the name of this one, and
	// names those that are known.
	vms   int
	self  string
	names []string
	// seen is false until the first registrations were read: those are of upstreams that are warm
	// unless they say otherwise.
	seen bool
}

// New returns an empty table.
func New() *Table {
	return &Table{
		ColdBound: func(s *route.Service) float64 { return s.WarmUpRate },
		rows:      map[string]*row{},
		byService: map[string][]*row{},
		evacuated: map[string]bool{},
		used:      map[string]bool{},
		popular:   popularity{counts: map[uint64]float64{}},
		vms:       1,
	}
}

// Put adds or replaces a registration. A new lifetime starts with nothing known.
func (t *Table) Put(now time.Time, e Entry, warmUp time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.rows[e.ID]
	if old != nil && old.Born == e.Born && old.Address == e.Address && old.Service == e.Service {
		old.Draining = old.Draining || e.Draining
		old.Slots = e.Slots
		t.warm(now, old, e.ColdFor)
		return
	}
	r := newRow(e)
	t.warm(now, r, e.ColdFor)
	if t.seen && !e.Draining {
		t.warm(now, r, warmUp)
	}
	t.rows[e.ID] = r
	t.changed = true
}

// warm extends the time for which an upstream counts as cold.
func (t *Table) warm(now time.Time, r *row, left time.Duration) {
	if until := now.Add(left); left > 0 && until.After(r.coldUntil) {
		r.coldUntil = until
	}
}

// Loaded says that the registrations of the store have been read once.
func (t *Table) Loaded() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seen = true
}

// Remove deletes a registration; requests that run at the upstream go on.
func (t *Table) Remove(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.rows[id] == nil {
		return
	}
	delete(t.rows, id)
	t.changed = true
}

// IDs returns the ids of all registrations.
func (t *Table) IDs() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	ids := make([]string, 0, len(t.rows))
	for id := range t.rows {
		ids = append(ids, id)
	}
	return ids
}

// Cold says that an upstream is cold for the time given.
func (t *Table) Cold(now time.Time, id string, left time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.rows[id]; r != nil {
		t.warm(now, r, left)
	}
}

// SetEvacuated names the failure domains that get no requests. The upstreams of a domain that is taken
// back count as cold for their warm-up, since they may have been restarted meanwhile.
func (t *Table) SetEvacuated(now time.Time, domains map[string]bool, warmUp func(service string) time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.rows {
		if t.evacuated[r.FailureDomain] && !domains[r.FailureDomain] {
			t.warm(now, r, warmUp(r.Service))
		}
	}
	t.evacuated = domains
}

// SetVMs sets the VMs that share the bounds of an upstream: their names, and their number if not all are
// known.
func (t *Table) SetVMs(self string, names []string, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self, t.names, t.vms = self, names, max(1, n, len(names))
}

// SetPeerUse replaces what another VM has running, by the ids of upstreams.
func (t *Table) SetPeerUse(now time.Time, vm string, uses map[string]Use) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, r := range t.rows {
		use, ok := uses[id]
		if !ok {
			delete(r.peers, vm)
			continue
		}
		r.peers[vm] = peerUse{Use: use, at: now}
	}
}

// ChangePeerUse takes over what has changed of what another VM has running.
func (t *Table) ChangePeerUse(now time.Time, vm string, uses map[string]Use) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, use := range uses {
		if r := t.rows[id]; r != nil {
			r.peers[vm] = peerUse{Use: use, at: now}
		}
	}
}

// Uses returns what this VM has running, by the ids of upstreams.
func (t *Table) Uses() map[string]Use {
	t.mu.Lock()
	defer t.mu.Unlock()
	uses := map[string]Use{}
	for id, r := range t.rows {
		if r.own != (Use{}) {
			uses[id] = r.own
		}
	}
	clear(t.used)
	return uses
}

// ChangedUses returns what this VM has running at the upstreams where that has changed since the last call
// of this method or of Uses.
func (t *Table) ChangedUses() map[string]Use {
	t.mu.Lock()
	defer t.mu.Unlock()
	uses := make(map[string]Use, len(t.used))
	for id := range t.used {
		if r := t.rows[id]; r != nil {
			uses[id] = r.own
		}
	}
	clear(t.used)
	return uses
}

// index rebuilds the list of each service if it has changed. Each VM has an order of its own, so that VMs that know the same
// load do not all choose the same upstream.
func (t *Table) index() {
	if !t.changed {
		return
	}
	t.changed = false
	t.byService = map[string][]*row{}
	for _, r := range t.rows {
		t.byService[r.Service] = append(t.byService[r.Service], r)
	}
	self := hashName(t.self)
	for _, rows := range t.byService {
		slices.SortFunc(rows, func(a, b *row) int {
			return cmp.Compare(Rendezvous(self, a.ID), Rendezvous(self, b.ID))
		})
	}
}
