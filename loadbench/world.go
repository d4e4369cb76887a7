package loadbench

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"time"

	"parsleyhatch/contention"
	"parsleyhatch/eventloop"
	"parsleyhatch/place"
	"parsleyhatch/replica"
	"parsleyhatch/route"
)

// world is one replay.
type world struct {
	eventloop.Loop
	deployment *deployment
	pattern    *pattern
	policy     *policy
	// arrivals draws what all policies share, noise what they do not.
	arrivals, noise *rand.Rand
	regions         []*region
	// capacity is the number of slots of each region.
	capacity map[string]int
	result   *measures
	// readBefore holds the parts that some engine has read, with the time.
	readBefore map[uint64]seconds
	// readers holds the engines that have read each shared part.
	readers map[uint64]map[string]bool
}

type region struct {
	name    string
	engines map[string]*engine
	servers map[string]server
	vms     []*vm
	// reported is the expected wait that the region's first VM reported to the other regions, by service and rank.
	reported map[string][]time.Duration
	// reportedAt is when that arrived.
	reportedAt time.Time
}

// server is an upstream of either service.
type server interface {
	submit(*run) bool
	cancel(*run)
}

// vm is a gateway VM: the product's table of upstreams, and what baselines count beside it.
type vm struct {
	region *region
	name   string
	table  *replica.Table
	// pressure counts the refusals of the most urgent kind.
	pressure contention.Pressure
	turn     int
	// outstanding are the requests at the upstreams that a baseline counts, and peers those that the other
	// VMs reported.
	outstanding map[string]int
	peers       map[string]map[string]int
	sent        place.SentTokens
}

func newWorld(d *deployment, p *pattern, policy *policy, seed uint64) *world {
	w := &world{
		deployment: d, pattern: p, policy: policy,
		arrivals: rand.New(rand.NewPCG(seed, 1)), noise: rand.New(rand.NewPCG(seed, 2)),
		capacity: map[string]int{}, result: newMeasures(d), readBefore: map[uint64]seconds{}, readers: map[uint64]map[string]bool{},
	}
	for _, size := range d.regions {
		w.regions = append(w.regions, w.newRegion(size))
	}
	return w
}

func (w *world) newRegion(size regionSize) *region {
	g := &region{name: size.name, engines: map[string]*engine{}, servers: map[string]server{}, reported: map[string][]time.Duration{}}
	var entries []replica.Registration
	for i := range size.engines {
		id := fmt.Sprintf("%s-engine-%d", size.name, i)
		e := newEngine(id, &w.deployment.model, &w.Loop, w.policy.inOrder)
		if speeds := w.deployment.speeds; len(speeds) > 0 {
			e.speed = speeds[i%len(speeds)]
		}
		g.engines[id], g.servers[id] = e, e
		entries = append(entries, replica.Registration{ID: id, Service: modelService.Name, Slots: e.model.slots, Born: 1})
	}
	for i := range size.plain {
		id := fmt.Sprintf("%s-plain-%d", size.name, i)
		m := w.deployment.plain
		g.servers[id] = &plainServer{id: id, loop: &w.Loop, slots: m.slots, queue: m.queue, work: m.work}
		entries = append(entries, replica.Registration{ID: id, Service: counterService.Name, Slots: m.slots, Born: 1})
	}
	w.capacity[size.name] = size.engines * w.deployment.model.slots
	var names []string
	for i := range size.vms {
		names = append(names, fmt.Sprintf("%s-vm-%d", size.name, i))
	}
	for _, name := range names {
		g.vms = append(g.vms, w.newVM(g, name, names, entries))
	}
	return g
}

func (w *world) newVM(g *region, name string, names []string, entries []replica.Registration) *vm {
	v := &vm{region: g, name: name, table: replica.New(), outstanding: map[string]int{}, peers: map[string]map[string]int{}}
	v.table.SetVMs(name, names, len(names))
	for _, e := range entries {
		v.table.Put(eventloop.WallTime(0), e, 0)
	}
	v.table.MarkLoaded()
	return v
}

func (w *world) time() time.Time { return eventloop.WallTime(w.Now) }

// run replays the pattern and returns what was measured.
func (w *world) run() *measures {
	w.arrive()
	for _, g := range w.regions {
		for _, v := range g.vms {
			w.Schedule(w.noise.Float64()*w.deployment.reportEvery, func() { w.reports(g, v) })
		}
		w.SchedulePeriodic(w.deployment.summaryEvery, runTime, func() { w.summary(g) })
	}
	w.crashes()
	w.scheduleFaults()
	w.RunUntil(runTime + 20)
	return w.result
}

// reports tells the other VMs of the region what a VM has running.
func (w *world) reports(g *region, v *vm) {
	w.SchedulePeriodic(w.deployment.reportEvery, runTime, func() {
		uses, outstanding := v.table.Uses(w.time()), maps.Clone(v.outstanding)
		w.Schedule(w.deployment.domainDelay, func() {
			for _, other := range g.vms {
				if other != v {
					other.table.SetPeerUse(w.time(), v.name, uses)
					other.peers[v.name] = outstanding
				}
			}
		})
	})
}

// summary tells the other regions the expected waits of a region.
func (w *world) summary(g *region) {
	waits := map[string][]time.Duration{}
	for i := range w.deployment.kinds {
		s := w.deployment.kinds[i].service
		if waits[s.Name] != nil {
			continue
		}
		for rank := range replica.RankCount {
			q := replica.Request{Service: s, Rank: rank, Stream: w.averageStream(g.vms[0], s, rank)}
			if pick, ok := g.vms[0].table.Estimate(w.time(), q); ok {
				if pick.Limit != contention.None {
					pick.Wait = fullWait
				}
				waits[s.Name] = append(waits[s.Name], pick.Wait)
			}
		}
	}
	w.Schedule(w.deployment.oneWay, func() { g.reported, g.reportedAt = waits, w.time() })
}

// averageStream returns a typical stream of a rank. A region reports to the others whether it has room for it.
func (w *world) averageStream(v *vm, s *route.Service, rank int) contention.Request {
	for i := range w.deployment.kinds {
		if k := &w.deployment.kinds[i]; k.service == s && k.rank == rank {
			r := &request{world: w, kind: k, answer: int(k.answer), arrived: w.Now}
			return r.stream(v)
		}
	}
	return contention.Request{}
}

func (w *world) crashes() {
	p := w.pattern
	if p.lost == 0 {
		return
	}
	for _, g := range w.regions {
		n := int(p.lost * float64(len(g.engines)))
		for i := range n {
			e := g.engines[fmt.Sprintf("%s-engine-%d", g.name, i)]
			w.Schedule(p.crashAt, e.crash)
			w.Schedule(p.crashAt+p.downFor, func() { w.restart(g, e) })
		}
	}
}

// scheduleFaults schedules the slow engines and cleared caches of the pattern.
func (w *world) scheduleFaults() {
	p := w.pattern
	for _, g := range w.regions {
		if p.slowFor > 0 {
			e := g.engines[fmt.Sprintf("%s-engine-0", g.name)]
			usual := e.speed
			w.Schedule(p.slowAt, func() { e.speed = usual * slowFactor })
			w.Schedule(p.slowAt+p.slowFor, func() { e.speed = usual })
		}
		for _, e := range g.engines {
			if p.coldAt > 0 {
				w.Schedule(p.coldAt, e.cache.clear)
			}
		}
	}
}

// restart restarts an engine and updates its registration at the VMs, as the store does.
func (w *world) restart(g *region, e *engine) {
	e.restart()
	for _, v := range g.vms {
		v.table.Put(w.time(), replica.Registration{ID: e.id, Service: modelService.Name, Slots: e.model.slots, Born: 2}, modelService.WarmUp)
	}
}

// home returns the region at which requests with the same beginning are brought together.
func (w *world) home(r *request) string {
	key, ok := r.prompt.AffinityPart(func(uint64) bool { return true })
	if !ok {
		return ""
	}
	capacity := map[string]int{}
	for region, slots := range w.capacity {
		if r.kind.allows(region) {
			capacity[region] = slots
		}
	}
	return place.HomeRegion(key, capacity)
}
