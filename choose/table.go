package choose

import (
	"time"
)

// Member is one configured upstream of the VM's own region.
type Member struct {
	// Name is unique.
	Name string
	// Routes are the routes whose selector picks the upstream.
	Routes []string
	// MaxBatch is the number of requests that it runs at once, above zero.
	MaxBatch int
	// Draining upstreams get no new work.
	Draining bool
}

// Table owns the upstreams and links of a VM. Only the control loop calls its methods; the views
// that it builds are read from any goroutine.
type Table struct {
	region    string
	upstreams map[string]*Upstream
	members   []Member
	// free are ids of removed upstreams.
	free     []int32
	nextID   int32
	remotes  map[string]*remote
	profiles map[string]Profile
	prefixes *prefixes
	random   *source
}

// Profile is what is known of a route's requests, from measurements of this VM.
type Profile struct {
	// FirstToken is the time to first token at an upstream with room in its batch.
	FirstToken time.Duration
	// Run is the mean time from first byte sent to the end of the answer.
	Run time.Duration
}

// New returns an empty table for a VM of the region. The seed fixes all random draws.
func New(region string, seed uint64) *Table {
	t := &Table{
		region:    region,
		upstreams: map[string]*Upstream{},
		remotes:   map[string]*remote{},
		profiles:  map[string]Profile{},
		prefixes:  &prefixes{},
		random:    &source{},
	}
	t.random.state.Store(seed)
	return t
}

// Configure replaces the members. Counters of upstreams that stay are kept. An upstream that is
// added later ramps up, since its cache is cold.
func (t *Table) Configure(now time.Time, members []Member) {
	first := len(t.upstreams) == 0
	kept := make(map[string]*Upstream, len(members))
	for _, m := range members {
		u := t.upstreams[m.Name]
		if u == nil {
			u = &Upstream{Name: m.Name}
			u.id.Store(t.newID())
			if !first {
				u.rampStart.Store(now.UnixNano())
			}
		}
		u.maxBatch.Store(int64(max(m.MaxBatch, 1)))
		kept[m.Name] = u
	}
	for name, u := range t.upstreams {
		if kept[name] == nil {
			t.free = append(t.free, u.id.Swap(-1))
		}
	}
	t.upstreams = kept
	t.members = members
}

func (t *Table) newID() int32 {
	if n := len(t.free); n > 0 {
		id := t.free[n-1]
		t.free = t.free[:n-1]
		return id
	}
	t.nextID++
	return t.nextID - 1
}

// Lookup returns the counters of an upstream, or nil.
func (t *Table) Lookup(name string) *Upstream { return t.upstreams[name] }

// SetProfile records the measured times of a route, used to compare regions.
func (t *Table) SetProfile(route string, p Profile) { t.profiles[route] = p }

// Cached applies a cache event of an upstream: it holds the prefix, or has evicted it.
func (t *Table) Cached(at time.Time, u *Upstream, prefix uint64, held bool) {
	if held {
		t.prefixes.add(prefix, u, at.UnixNano())
		return
	}
	t.prefixes.remove(prefix, u, at.UnixNano())
}

// EventsLost records a gap in the cache events of an upstream.
func (t *Table) EventsLost(now time.Time, u *Upstream) { u.gapAt.Store(now.UnixNano()) }

// View builds the index as of now. The control loop calls it each tick.
func (t *Table) View(now time.Time) *View {
	v := &View{
		region:   t.region,
		pools:    make(map[string]*pool, len(t.profiles)),
		prefixes: t.prefixes,
		random:   t.random,
	}
	v.remotes, v.order = t.reachable(now)
	for _, u := range t.upstreams {
		u.remember(now.UnixNano())
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
				p = &pool{has: make([]uint64, (t.nextID+63)/64)}
				v.pools[route] = p
			}
			p.members = append(p.members, u)
			id := u.id.Load()
			p.has[id>>6] |= 1 << (id & 63)
		}
	}
	for route, p := range v.pools {
		p.local.Profile = t.profiles[route]
		p.life = reportLife(p.local.Run)
		p.index(now.UnixNano())
	}
	return v
}

// index sorts the members by load class and fixes the window for sampling.
func (p *pool) index(now int64) {
	var counts, starts [loadClasses]int
	classes := make([]uint8, len(p.members))
	for i, u := range p.members {
		c := loadClasses - 1
		if u.downUntil.Load() <= now {
			c = min(int(u.score(now, p.life)*8), loadClasses-1)
			p.local.Slots += float64(u.maxBatch.Load()) * u.ramp(now)
		}
		p.local.Outstanding += u.total(now)
		classes[i] = uint8(c)
		counts[c]++
	}
	least := max(2, int(windowShare*float64(len(p.members))))
	total := 0
	for c, n := range counts {
		starts[c] = total
		total += n
		if p.window < least {
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
