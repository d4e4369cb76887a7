package replica

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"parsleyhatch/pace"
	"parsleyhatch/route"
)

// Table holds the upstreams of the VM's own region. It is safe for concurrent use.
type Table struct {
	// ColdBound returns the number of requests per second that all VMs together may send to a cold upstream
	// of a service. It must be set before use.
	ColdBound func(s *route.Service) float64

	mu        sync.Mutex
	upstreams map[string]*upstreamState
	byService map[string][]*upstreamState
	// indexStale is set if byService does not reflect upstreams.
	indexStale bool
	evacuated  map[string]bool
	partCounts popularity
	// services holds the figures of all upstreams of each service together.
	services map[string]*pace.Service
	// limits holds the limits that upstreams have announced, by id.
	limits map[string]*announcedLimits
	// holds holds the times for which upstreams want nothing from this VM, by id.
	holds map[string]*hold
	// changedUses holds the ids of upstreams at which this VM's use has changed since it was last reported to
	// other VMs.
	changedUses map[string]bool
	// paths holds the state of this VM's path to the upstreams of each service.
	paths map[string]*servicePath
	// sumsAt is the time of the latest sums of a collector, zero if this VM has none or collects itself.
	sumsAt time.Time
	// vmCount is the number of VMs that share the bound of a cold upstream, localVM the name of this one, and
	// vmNames the names of those that are known.
	vmCount int
	localVM string
	vmNames []string
	// cutVMs holds the known VMs that are cut from the upstreams of a service and have lent their parts of its bounds.
	cutVMs map[string][]string
	// loaded is set once the first registrations were read. Upstreams in the first registrations count as
	// warm unless they state otherwise.
	loaded bool
}

// New returns an empty table.
func New() *Table {
	return &Table{
		ColdBound:   func(s *route.Service) float64 { return s.WarmUpRate },
		upstreams:   map[string]*upstreamState{},
		byService:   map[string][]*upstreamState{},
		evacuated:   map[string]bool{},
		changedUses: map[string]bool{},
		limits:      map[string]*announcedLimits{},
		holds:       map[string]*hold{},
		paths:       map[string]*servicePath{},
		partCounts:  popularity{counts: map[uint64]float64{}},
		services:    map[string]*pace.Service{},
		vmCount:     1,
	}
}

// Put adds or replaces a registration. A new lifetime of an upstream starts without recorded state.
func (t *Table) Put(now time.Time, e Registration, warmUp time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.upstreams[e.ID]
	if old != nil && old.Born == e.Born && old.Address == e.Address && old.Service == e.Service {
		old.Draining = old.Draining || e.Draining
		old.Slots, old.Version = e.Slots, e.Version
		t.extendWarmUp(now, old, e.WarmUpLeft)
		return
	}
	r := newUpstreamState(e)
	r.announced, r.hold = t.limitsOf(e), t.holdOf(e)
	if old != nil && old.Address == e.Address {
		r.coldRequests = old.coldRequests // They may have reached the new lifetime before it was registered.
	}
	t.extendWarmUp(now, r, e.WarmUpLeft)
	if t.loaded && !e.Draining {
		t.extendWarmUp(now, r, warmUp)
	}
	t.upstreams[e.ID] = r
	t.indexStale = true
}

// extendWarmUp extends the time for which an upstream counts as cold.
func (t *Table) extendWarmUp(now time.Time, r *upstreamState, left time.Duration) {
	if until := now.Add(left); left > 0 && until.After(r.coldUntil) {
		r.coldUntil = until
	}
}

// MarkLoaded marks the initial registrations of the store as read.
func (t *Table) MarkLoaded() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.loaded = true
}

// Remove deletes a registration. Requests that run at the upstream continue.
func (t *Table) Remove(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.upstreams[id] == nil {
		return
	}
	delete(t.upstreams, id)
	t.indexStale = true
}

// IDs returns the ids of all registrations.
func (t *Table) IDs() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	ids := make([]string, 0, len(t.upstreams))
	for id := range t.upstreams {
		ids = append(ids, id)
	}
	return ids
}

// MarkCold marks an upstream as cold for the given time. It reports whether the upstream was warm before.
func (t *Table) MarkCold(now time.Time, id string, left time.Duration) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.upstreams[id]
	if r == nil {
		return false
	}
	wasCold := r.isCold(now)
	t.extendWarmUp(now, r, left)
	return !wasCold && r.isCold(now)
}

// Sharers returns the number of VMs among which this one divides the bounds of an upstream.
func (t *Table) Sharers() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.vmCount
}

// SetEvacuated sets the failure domains that receive no requests. The upstreams of a domain that is no longer
// evacuated count as cold for their warm-up, since they may have been restarted in the meantime.
func (t *Table) SetEvacuated(now time.Time, domains map[string]bool, warmUp func(service string) time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.upstreams {
		if t.evacuated[r.FailureDomain] && !domains[r.FailureDomain] {
			t.extendWarmUp(now, r, warmUp(r.Service))
		}
	}
	t.evacuated = domains
}

// SetVMs sets the VMs that share the bounds of an upstream: the names of the known ones, and the total number
// if not all are known. SetCutVMs must be called after it.
func (t *Table) SetVMs(localVM string, vmNames []string, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.localVM, t.vmNames, t.vmCount = localVM, vmNames, max(1, n, len(vmNames))
	t.cutVMs = nil
}

// rebuildIndex rebuilds the upstream list of each service after a change. The order differs between VMs, so
// that VMs with the same load figures do not all choose the same upstream.
func (t *Table) rebuildIndex() {
	if !t.indexStale {
		return
	}
	t.indexStale = false
	t.byService = map[string][]*upstreamState{}
	for _, r := range t.upstreams {
		t.byService[r.Service] = append(t.byService[r.Service], r)
	}
	localVM := hashName(t.localVM)
	for _, upstreams := range t.byService {
		slices.SortFunc(upstreams, func(a, b *upstreamState) int {
			return cmp.Compare(RendezvousWeight(localVM, a.ID), RendezvousWeight(localVM, b.ID))
		})
	}
}
