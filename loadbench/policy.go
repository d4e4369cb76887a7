package loadbench

import (
	"time"

	"parsleyhatch/contention"
	"parsleyhatch/place"
)

// policy is a way to handle requests. A nil upstream is the product's choice.
type policy struct {
	name string
	// here keeps requests in the region of their caller.
	here bool
	// accept sends requests on although they are expected to be late.
	accept bool
	// inOrder makes the engines serve first come, first served.
	inOrder  bool
	upstream func(w *world, v *vm, r *request) (target, bool)
}

// fullWait is the wait that a region without room reports to the others.
const fullWait = time.Minute

// product is the policy that VMs follow.
var product = policy{name: "product"}

func policies() []policy {
	return []policy{
		product,
		{name: "own region only", here: true},
		{name: "without refusals", accept: true},
		{name: "first come, first served", accept: true, inOrder: true},
		{name: "round robin", accept: true, upstream: roundRobin},
		{name: "random of two", accept: true, upstream: randomOfTwo},
		{name: "least outstanding", accept: true, upstream: leastOutstanding},
	}
}

// route decides what a VM does with a request of a caller.
func (p *policy) route(w *world, v *vm, r *request) {
	best, ok := place.Best(p.regions(w, v, r), place.Request{
		HomeRegion: w.home(r), Tokens: r.prompt.Tokens, SharedTokens: r.prompt.SharedTokens(), Speed: v.speed(r),
	})
	if !ok {
		r.refused(place.RetryAfter(0, w.noise.Float64()))
		return
	}
	if p.refuses(v, r, best.Wait, best.Full) {
		return
	}
	if best.Region == v.region.name {
		p.send(w, v, r)
		return
	}
	p.forward(w, v, r, w.byName(best.Region))
}

// refuses reports whether a request is not sent now, because it is expected to be late or there is no room. It then refuses the request, or
// schedules its next attempt if it may wait for room at its VM.
func (p *policy) refuses(v *vm, r *request, wait time.Duration, full bool) bool {
	idle := v.table.IdleFirstTokenTime(r.world.time(), r.kind.service.Name, r.prompt, r.kind.rank)
	target := r.objective()
	if target > 0 {
		target = max(target-toDuration(r.waited), time.Millisecond)
	}
	limit := place.MaxWait(toDuration(r.left()), target, idle)
	refused := !p.accept && (wait > limit || full)
	if r.kind.service.Engine != nil && r.kind.rank == 0 {
		v.pressure.Record(r.world.time(), refused)
	}
	if !refused {
		return false
	}
	if r.waited+waitStep < waitShare*r.kind.target && target > idle+2*toDuration(waitStep) {
		r.waited += waitStep
		r.world.Schedule(waitStep, func() { p.route(r.world, v, r) })
		return true
	}
	r.refused(place.RetryAfter(max(0, wait-limit), r.world.noise.Float64()))
	return true
}

// waitShare is the part of its objective for which a request may wait, as in edge.
const waitShare = 0.25

// waitStep is the interval at which a request that waits is checked for room, as in edge.
const waitStep seconds = 0.025

func (r *request) objective() time.Duration {
	if r.kind.service.Engine == nil {
		return 0
	}
	return toDuration(r.kind.target)
}

func (p *policy) regions(w *world, v *vm, r *request) []place.Region {
	var list []place.Region
	if pick, ok := v.table.Estimate(w.time(), r.choice(v)); ok && r.kind.allows(v.region.name) {
		list = append(list, place.Region{
			Name: v.region.name, Local: true, Wait: pick.FirstToken, Penalty: pick.Wait - pick.FirstToken, Full: pick.Limit != contention.None,
		})
	}
	if p.here {
		return list
	}
	for _, g := range w.regions {
		waits := g.reported[r.kind.service.Name]
		if g == v.region || r.kind.rank >= len(waits) || !r.kind.allows(g.name) {
			continue
		}
		list = append(list, place.Region{Name: g.name, Wait: waits[r.kind.rank], Queued: v.queued(w, g, r), Full: waits[r.kind.rank] >= fullWait})
	}
	return list
}

func (v *vm) speed(r *request) float64 { return v.table.Speed(r.kind.service.Name) }

// queued is the time for the prompts that were sent to a region since its report.
func (v *vm) queued(w *world, g *region, r *request) time.Duration {
	report := place.Report{ReceivedAt: g.reportedAt, Replicas: g.replicas(r.kind), Speed: v.speed(r)}
	return v.sent.Queued(w.time(), r.awayKey(g), report, float64(len(v.region.vms)-1))
}

func (r *request) awayKey(g *region) place.ServiceKey {
	return place.ServiceKey{Service: r.kind.service.Name, Region: g.name}
}

func (g *region) replicas(k *kind) int {
	if k.service.Engine != nil {
		return len(g.engines)
	}
	return len(g.servers) - len(g.engines)
}

func (w *world) byName(name string) *region {
	for _, g := range w.regions {
		if g.name == name {
			return g
		}
	}
	return nil
}

// forward sends the request to a VM of another region, which decides again.
func (p *policy) forward(w *world, v *vm, r *request, to *region) {
	v.sent.Add(w.time(), r.awayKey(to), r.prompt.Tokens)
	other := to.vms[w.noise.IntN(len(to.vms))]
	w.Schedule(w.deployment.oneWay, func() {
		pick, ok := other.table.Estimate(w.time(), r.choice(other))
		if !ok {
			r.refused(place.RetryAfter(0, w.noise.Float64()))
			return
		}
		if !p.refuses(other, r, pick.FirstToken, pick.Limit != contention.None) {
			p.send(w, other, r)
		}
	})
}

// send sends the request to an upstream of the VM's region.
func (p *policy) send(w *world, v *vm, r *request) {
	if p.upstream != nil {
		to, ok := p.upstream(w, v, r)
		if !ok {
			r.refused(place.RetryAfter(0, w.noise.Float64()))
			return
		}
		r.send(v, to)
		return
	}
	pick, ok := v.table.Pick(w.time(), r.choice(v))
	if !ok {
		r.refused(place.RetryAfter(0, w.noise.Float64()))
		return
	}
	r.send(v, v.productTarget(w, pick))
}

func toDuration(s seconds) time.Duration { return time.Duration(s * float64(time.Second)) }
