package policybench

import (
	"math/rand/v2"
	"slices"

	"parsleyhatch/choose"
	"parsleyhatch/retry"
)

// clientDelay is the one-way latency to callers.
const clientDelay seconds = 0.001

// maxRefused is the number of connections that may be refused before a request is given up.
const maxRefused = 6

// request is one call of a workspace.
type request struct {
	sim       *sim
	id        int
	workspace int
	pool      *pool
	arrive    seconds
	prefix    uint64
	// prompt and out are in tokens.
	prompt, out float64
	allowed     []string
	entry       *vm
	// tried are the engines that failed the request.
	tried    []string
	attempts int
	refused  int
	first    seconds // Time to first token; negative before it.
	produced float64
	remote   bool
	attempt  *attempt
}

// attempt is a request at an engine.
type attempt struct {
	request  *request
	vm       *vm
	engine   *engine
	upstream *choose.Upstream
	running  choose.RunningRequest
	left     float64
}

// arrivals draws all requests of a run before it starts, so that every policy gets the same.
func (m *sim) arrivals() {
	for pi, p := range m.deployment.pools {
		for wi := range m.deployment.workspaces {
			m.workspaceArrivals(pi, p, wi)
		}
	}
}

func (m *sim) workspaceArrivals(pi int, p *pool, wi int) {
	w := &m.deployment.workspaces[wi]
	zipf := rand.NewZipf(m.random, 1.2, 1, prefixesPerWorkspace-1)
	rate := m.scenario.load * float64(p.replicas) * p.capacity() * w.share
	most := (1 + m.scenario.peak) * max(1, m.scenario.flood)
	level, filled := rate*15+2, seconds(0)
	for t := m.random.ExpFloat64() / (rate * most); t < runTime; t += m.random.ExpFloat64() / (rate * most) {
		r := &request{sim: m, workspace: wi, pool: p, arrive: t, first: -1}
		r.prefix = uint64(pi*100000+wi*1000+1) + zipf.Uint64()
		r.prompt = float64(p.prefix) + float64(p.prompt-p.prefix)*m.random.ExpFloat64()
		r.out = float64(p.out) * (0.3 + 0.7*m.random.ExpFloat64())
		r.allowed = m.deployment.regions
		if m.random.Float64() < homeBoundShare {
			r.allowed = m.deployment.regions[w.home : w.home+1]
		}
		r.entry = m.zones[w.home].vms[m.random.IntN(m.deployment.vmsPerZone)]
		if m.random.Float64()*most > m.scenario.factor(w, wi, t) {
			continue
		}
		level = min(rate*15+2, level+(t-filled)*rate*rateFactor)
		filled = t
		if level < 1 {
			continue // Above the workspace's rate: refused by its bucket, not by a choice.
		}
		level--
		m.Schedule(t, func() { m.arrived(r) })
	}
}

func (m *sim) arrived(r *request) {
	r.id = m.nextID
	m.nextID++
	m.active[r.id] = r
	r.entry.budget.RecordFirst(at(m.Now), r.entry.zone.name)
	r.dispatch()
}

// dispatch chooses the region and sends the request to a VM there.
func (r *request) dispatch() {
	m := r.sim
	name := m.policy.region(m, r.entry, r)
	z := m.byName[name]
	if z == nil {
		r.end(false)
		return
	}
	r.remote = z != r.entry.zone
	if !r.remote {
		m.Schedule(m.deployment.domainDelay.Seconds(), func() { r.place(r.entry) })
		return
	}
	if m.cut(r.entry.zone.index, z.index) {
		m.Schedule(cutDetect, r.again)
		return
	}
	target := z.vms[m.noise.IntN(m.deployment.vmsPerZone)]
	m.Schedule(m.transfer(r.entry.zone.index, z.index, r.pool.body), func() { r.place(target) })
}

// transfer returns the time to send a body over the link, behind those already being sent.
func (m *sim) transfer(from, to int, body int64) seconds {
	pair := [2]int{from, to}
	end := max(m.Now, m.linkFree[pair]) + float64(body)/m.deployment.linkBytes
	m.linkFree[pair] = end
	return end - m.Now + m.deployment.oneWay.Seconds()
}

// place chooses the upstream at a VM and sends the request.
func (r *request) place(v *vm) {
	m := r.sim
	var exclude []*choose.Upstream
	for _, name := range r.tried {
		if u := v.table.Lookup(name); u != nil {
			exclude = append(exclude, u)
		}
	}
	u := m.policy.upstream(m, v, r, exclude)
	if u == nil {
		r.end(false)
		return
	}
	a := &attempt{request: r, vm: v, upstream: u, engine: m.engines[u.Name], left: r.out - r.produced}
	a.running = u.Begin()
	v.view.RecordPrefix(at(m.Now), r.prefix, u)
	r.attempt = a
	m.Schedule(m.deployment.domainDelay.Seconds(), a.arrive)
}

func (a *attempt) arrive() {
	r := a.request
	if a.engine.submit(a) {
		return
	}
	// The connection was refused before any byte was sent, so that another try is free.
	a.running.End()
	a.upstream.RecordFailure(at(r.sim.Now))
	r.attempt = nil
	r.tried = append(r.tried, a.engine.name)
	r.refused++
	if r.refused >= maxRefused {
		r.end(false)
		return
	}
	r.dispatch()
}

// again repeats a failed request if the budget allows it.
func (r *request) again() {
	m := r.sim
	r.attempts++
	c := retry.Call{Idempotent: true, Attempt: r.attempts, Region: r.entry.zone.name}
	if r.entry.budget.Allow(at(m.Now), c) != retry.Allowed {
		r.end(false)
		return
	}
	r.dispatch()
}

// fail ends an attempt whose engine crashed or whose link is cut, and resumes the stream elsewhere.
func (a *attempt) fail(crashed bool) {
	r := a.request
	r.attempt = nil
	r.produced = r.out - max(0, a.left)
	a.running.End()
	if crashed {
		a.upstream.RecordFailure(at(r.sim.Now))
		r.tried = append(r.tried, a.engine.name)
	}
	r.again()
}

// prompt returns the tokens to prefill: a resumed stream's answer so far is part of its prompt.
func (a *attempt) prompt() float64 { return a.request.prompt + a.request.produced }

// expired gives a request up that has waited past its deadline.
func (a *attempt) expired() bool {
	r := a.request
	if r.first >= 0 || r.sim.Now-r.arrive <= r.pool.deadline {
		return false
	}
	a.running.End()
	r.attempt = nil
	r.end(false)
	return true
}

func (a *attempt) firstToken() {
	r := a.request
	a.running.FirstToken()
	a.upstream.RecordSuccess(at(r.sim.Now))
	if r.first < 0 {
		r.first = r.sim.Now - r.arrive + r.returnDelay()
	}
}

func (a *attempt) complete() {
	a.running.End()
	a.request.attempt = nil
	a.request.end(true)
}

func (r *request) returnDelay() seconds {
	d := r.sim.deployment.domainDelay.Seconds() + 2*clientDelay
	if r.remote {
		d += r.sim.deployment.oneWay.Seconds()
	}
	return d
}

func (r *request) end(ok bool) {
	delete(r.sim.active, r.id)
	r.sim.result.add(r, ok)
}

// allows reports whether the request may run in the region.
func (r *request) allows(region string) bool { return slices.Contains(r.allowed, region) }
