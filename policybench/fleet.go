package policybench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"parsleyhatch/choose"
	"parsleyhatch/eventloop"
	"parsleyhatch/retry"
)

const (
	// viewTick, reportTick, eventTick and summaryTick are the periods of the control loop, load
	// reports, cache events and summaries.
	viewTick    seconds = 0.25
	reportTick  seconds = 0.5
	eventTick   seconds = 1
	summaryTick seconds = 1
	// eventLoss is the share of cache event batches that get lost.
	eventLoss = 0.1
	// cutDetect is the time until a VM notices that a link is cut.
	cutDetect seconds = 1.5
)

var at = eventloop.WallTime

// zone is a region of the simulation.
type zone struct {
	index   int
	name    string
	engines []*engine
	vms     []*vm
}

// vm is a gateway VM with its own tables.
type vm struct {
	zone   *zone
	table  *choose.Table
	view   *choose.View
	budget *retry.Budget
	// turns are the positions of the round-robin baselines, by route.
	turns map[string]int
	// members are the upstreams by route, for the baselines.
	members map[string][]*choose.Upstream
	// loads are the last summaries of the regions, for the baselines.
	loads   map[string]map[string]choose.Capacity
	summary map[string]seconds
}

// sim is one run.
type sim struct {
	eventloop.Loop
	deployment *deployment
	scenario   *scenario
	policy     *policy
	random     *rand.Rand // Draws that all policies share: arrivals.
	noise      *rand.Rand // Draws of the policies and of lost events.
	zones      []*zone
	byName     map[string]*zone
	engines    map[string]*engine
	active     map[int]*request
	linkFree   map[[2]int]seconds
	nextID     int
	result     *measures
}

func newSim(d *deployment, s *scenario, p *policy, seed uint64) *sim {
	m := &sim{
		deployment: d, scenario: s, policy: p,
		random: rand.New(rand.NewPCG(seed, 1)), noise: rand.New(rand.NewPCG(seed, 2)),
		byName: map[string]*zone{}, engines: map[string]*engine{}, active: map[int]*request{},
		linkFree: map[[2]int]seconds{}, result: newMeasures(d),
	}
	for i, name := range d.regions {
		z := &zone{index: i, name: name}
		m.zones = append(m.zones, z)
		m.byName[name] = z
		m.addEngines(z)
	}
	for _, z := range m.zones {
		m.addVMs(z, seed)
	}
	return m
}

func (m *sim) addEngines(z *zone) {
	for _, p := range m.deployment.pools {
		for i := range p.replicas / len(m.deployment.regions) {
			e := &engine{name: fmt.Sprintf("%s/%s/%d", z.name, p.route, i), pool: p, clock: &m.Loop, up: true}
			z.engines = append(z.engines, e)
			m.engines[e.name] = e
		}
	}
}

func (m *sim) addVMs(z *zone, seed uint64) {
	var members []choose.UpstreamConfig
	for _, e := range z.engines {
		members = append(members, choose.UpstreamConfig{Name: e.name, Routes: []string{e.pool.route}, MaxBatch: e.pool.batch})
	}
	for i := range m.deployment.vmsPerZone {
		v := &vm{
			zone: z, table: choose.New(z.name, seed*1000+uint64(z.index*10+i)),
			budget: retry.New(seed, m.deployment.regions), turns: map[string]int{},
			members: map[string][]*choose.Upstream{}, loads: map[string]map[string]choose.Capacity{},
			summary: map[string]seconds{},
		}
		v.table.Configure(at(0), members)
		for _, e := range z.engines {
			v.members[e.pool.route] = append(v.members[e.pool.route], v.table.Lookup(e.name))
		}
		for _, p := range m.deployment.pools {
			v.table.SetProfile(p.route, profile(p))
		}
		for _, o := range m.deployment.regions {
			if o != z.name {
				v.table.SetLink(at(0), choose.Link{Region: o, OneWay: m.deployment.oneWay, BytesPerSecond: m.deployment.linkBytes, VMs: m.deployment.vmsPerZone})
			}
		}
		v.view = v.table.BuildView(at(0))
		z.vms = append(z.vms, v)
	}
}

// profile is what a VM would measure under moderate load.
func profile(p *pool) choose.Profile {
	first := float64(p.prompt) / p.prefillRate
	return choose.Profile{
		FirstToken: time.Duration(first * float64(time.Second)),
		RunTime:    time.Duration(p.runSeconds(float64(p.batch)) * float64(time.Second)),
	}
}

func (m *sim) startControl() {
	m.SchedulePeriodic(viewTick, runTime, func() {
		for _, z := range m.zones {
			for _, v := range z.vms {
				v.view = v.table.BuildView(at(m.Now))
			}
		}
	})
	m.SchedulePeriodic(reportTick, runTime, m.report)
	m.SchedulePeriodic(eventTick, runTime, m.cacheEvents)
	m.SchedulePeriodic(summaryTick, runTime, m.summaries)
}

// report gives the VMs the loads sampled two periods ago.
func (m *sim) report() {
	for _, z := range m.zones {
		for _, e := range z.engines {
			if !e.up {
				continue
			}
			for _, v := range z.vms {
				v.table.Lookup(e.name).RecordLoad(at(m.Now-2*reportTick), e.reports[0])
			}
			e.reports[0], e.reports[1] = e.reports[1], e.load()
		}
	}
}

// cacheEvents delivers events of the last period late, or loses them.
func (m *sim) cacheEvents() {
	for _, z := range m.zones {
		for _, e := range z.engines {
			batch := e.events
			e.events = nil
			lost := m.noise.Float64() < eventLoss
			m.Schedule(1+m.noise.Float64(), func() { m.deliver(z, e, batch, lost) })
		}
	}
}

func (m *sim) deliver(z *zone, e *engine, batch []cacheEvent, lost bool) {
	for _, v := range z.vms {
		u := v.table.Lookup(e.name)
		if lost {
			v.table.RecordCacheEventGap(at(m.Now), u)
			continue
		}
		for _, c := range batch {
			v.table.ApplyCacheEvent(at(c.at), u, c.prefix, c.held)
		}
	}
}

// summaries sends each region's state to the VMs of the others.
func (m *sim) summaries() {
	for _, from := range m.zones {
		pools := map[string]choose.Capacity{}
		for _, p := range m.deployment.pools {
			pools[p.route] = from.vms[0].view.Capacity(p.route)
		}
		sent := m.Now
		m.Schedule(m.deployment.oneWay.Seconds(), func() {
			for _, to := range m.zones {
				if to == from || m.cut(from.index, to.index) {
					continue
				}
				for _, v := range to.vms {
					v.table.RecordSummary(at(sent), from.name, pools)
					v.loads[from.name], v.summary[from.name] = pools, sent
				}
			}
		})
	}
}

// cut reports whether the link between two regions is cut.
func (m *sim) cut(a, b int) bool {
	last := len(m.zones) - 1
	return a != b && m.scenario.partition && disturbed(m.Now) && (a == last || b == last)
}

func (m *sim) startFaults() {
	last := m.zones[len(m.zones)-1]
	if m.scenario.loss {
		m.Schedule(disturbFrom, func() {
			for _, e := range last.engines {
				for _, a := range e.crash() {
					a.fail(true)
				}
			}
		})
		m.Schedule(disturbTo, func() {
			for _, e := range last.engines {
				e.up, e.last = true, m.Now
			}
			for _, z := range m.zones {
				for _, v := range z.vms {
					v.budget.RegionRecovered(at(m.Now), last.name)
				}
			}
		})
	}
	if m.scenario.partition {
		m.Schedule(disturbFrom+cutDetect, m.breakStreams)
	}
}

// breakStreams fails the streams that cross a cut link, in the order of their ids.
func (m *sim) breakStreams() {
	for id := range m.nextID {
		r := m.active[id]
		if r == nil || r.attempt == nil || !m.cut(r.entry.zone.index, r.attempt.vm.zone.index) {
			continue
		}
		a := r.attempt
		a.engine.cancel(a)
		a.fail(false)
	}
}
