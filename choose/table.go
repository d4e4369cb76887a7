package choose

import (
	"time"
)

// UpstreamConfig is a configured upstream in the VM's own region.
type UpstreamConfig struct {
	// Name is unique.
	Name string
	// Routes are the routes whose selector matches the upstream.
	Routes []string
	// MaxBatch is the number of requests that the upstream runs at once. It is at least 1.
	MaxBatch int
	// Draining reports that the upstream gets no new requests.
	Draining bool
}

// Table owns the upstreams and links of a VM. Only the control loop calls its methods. Any
// goroutine may read the views that it builds.
type Table struct {
	region    string
	upstreams map[string]*Upstream
	members   []UpstreamConfig
	// freeIDs are the ids of removed upstreams, to be reused.
	freeIDs     []int32
	nextID      int32
	remotes     map[string]*remoteRegion
	profiles    map[string]Profile
	prefixTable *prefixTable
	random      *randomSource
}

// Profile holds times of a route's requests as measured by this VM.
type Profile struct {
	// FirstToken is the time to first token at an upstream with free slots in its batch.
	FirstToken time.Duration
	// RunTime is the mean time from the first byte sent to the end of the response.
	RunTime time.Duration
}

// New returns an empty table for a VM of the region. The seed determines all random draws.
func New(region string, seed uint64) *Table {
	t := &Table{
		region:      region,
		upstreams:   map[string]*Upstream{},
		remotes:     map[string]*remoteRegion{},
		profiles:    map[string]Profile{},
		prefixTable: &prefixTable{},
		random:      &randomSource{},
	}
	t.random.state.Store(seed)
	return t
}

// Configure replaces the members. It keeps the counters of upstreams that remain. An upstream added
// by a later call starts with a ramp, since its cache is cold.
func (t *Table) Configure(now time.Time, members []UpstreamConfig) {
	initial := len(t.upstreams) == 0
	kept := make(map[string]*Upstream, len(members))
	for _, m := range members {
		u := t.upstreams[m.Name]
		if u == nil {
			u = &Upstream{Name: m.Name}
			u.id.Store(t.allocateID())
			if !initial {
				u.rampStart.Store(now.UnixNano())
			}
		}
		u.maxBatch.Store(int64(max(m.MaxBatch, 1)))
		kept[m.Name] = u
	}
	for name, u := range t.upstreams {
		if kept[name] == nil {
			t.freeIDs = append(t.freeIDs, u.id.Swap(-1))
		}
	}
	t.upstreams = kept
	t.members = members
}

// allocateID returns an id for a new upstream. It reuses the ids of removed ones.
func (t *Table) allocateID() int32 {
	if n := len(t.freeIDs); n > 0 {
		id := t.freeIDs[n-1]
		t.freeIDs = t.freeIDs[:n-1]
		return id
	}
	t.nextID++
	return t.nextID - 1
}

// Lookup returns the counters of an upstream, or nil if it is not configured.
func (t *Table) Lookup(name string) *Upstream { return t.upstreams[name] }

// SetProfile records the measured times of a route, which are used to compare regions.
func (t *Table) SetProfile(route string, p Profile) { t.profiles[route] = p }

// ApplyCacheEvent applies a cache event of an upstream: the upstream holds the prefix, or has
// evicted it.
func (t *Table) ApplyCacheEvent(at time.Time, u *Upstream, prefix uint64, held bool) {
	if held {
		t.prefixTable.add(prefix, u, at.UnixNano())
		return
	}
	t.prefixTable.remove(prefix, u, at.UnixNano())
}

// RecordCacheEventGap records a gap in the cache events of an upstream.
func (t *Table) RecordCacheEventGap(now time.Time, u *Upstream) { u.eventGapAt.Store(now.UnixNano()) }

// BuildView builds the index as of now. The control loop calls it once per tick.
func (t *Table) BuildView(now time.Time) *View {
	v := &View{
		region:      t.region,
		pools:       make(map[string]*pool, len(t.profiles)),
		prefixTable: t.prefixTable,
		random:      t.random,
	}
	v.remotes, v.remoteNames = t.reachableRegions(now)
	for _, u := range t.upstreams {
		u.recordOutstanding(now.UnixNano())
	}
	for i := range t.members {
		m := &t.members[i]
		if m.Draining {
			continue
		}
		u := t.upstreams[m.Name]
		for _, route := range m.Routes {
			p := v.pools[route]
			if p == nil {
				p = &pool{memberBits: make([]uint64, (t.nextID+63)/64)}
				v.pools[route] = p
			}
			p.members = append(p.members, u)
			id := u.id.Load()
			p.memberBits[id>>6] |= 1 << (id & 63)
		}
	}
	for route, p := range v.pools {
		p.capacity.Profile = t.profiles[route]
		p.halfLife = reportHalfLife(p.capacity.RunTime)
		p.buildIndex(now.UnixNano())
	}
	return v
}

// buildIndex sorts the members by load class, computes the pool's capacity, and sets the window
// from which candidates are drawn.
func (p *pool) buildIndex(now int64) {
	var counts, starts [loadClasses]int
	classes := make([]uint8, len(p.members))
	for i, u := range p.members {
		c := loadClasses - 1
		if u.downUntil.Load() <= now {
			c = min(int(u.score(now, p.halfLife)*8), loadClasses-1)
			p.capacity.Slots += float64(u.maxBatch.Load()) * u.rampShare(now)
		}
		p.capacity.Outstanding += u.total(now)
		classes[i] = uint8(c)
		counts[c]++
	}
	minWindow := max(2, int(minWindowShare*float64(len(p.members))))
	total := 0
	for c, n := range counts {
		starts[c] = total
		total += n
		if p.window < minWindow {
			p.window = total
		}
	}
	sorted := make([]*Upstream, len(p.members))
	for i, u := range p.members {
		sorted[starts[classes[i]]] = u
		starts[classes[i]]++
	}
	p.members = sorted
}
