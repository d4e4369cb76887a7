package policybench

import (
	"math"

	"parsleyhatch/choose"
)

// policy is a way to choose the region and the upstream. An empty region or nil upstream refuses.
type policy struct {
	name     string
	region   func(m *sim, v *vm, r *request) string
	upstream func(m *sim, v *vm, r *request, exclude []*choose.Upstream) *choose.Upstream
}

func policies() []*policy {
	return []*policy{
		{"choose", chooseRegion, chooseUpstream},
		{"choose, no prefix", chooseRegion, chooseNoPrefix},
		{"choose, own region only", ownRegion, chooseUpstream},
		{"round robin", chooseRegion, roundRobin},
		{"random of two", chooseRegion, randomOfTwo},
		{"least outstanding", chooseRegion, leastOutstanding},
		{"regions in turn, least outst.", regionsInTurn, leastOutstanding},
		{"region of two, least outst.", regionOfTwo, leastOutstanding},
		{"least loaded region, least outst.", leastRegion, leastOutstanding},
		{"least loaded region, choose", leastRegion, chooseUpstream},
	}
}

func chooseRegion(m *sim, v *vm, r *request) string {
	region, _ := v.view.ChooseRegion(at(m.Now), choose.Request{
		Route: r.pool.route, Allowed: r.allowed, BodyBytes: r.pool.body, ReplyBytes: int64(5 * r.out),
	})
	return region
}

func chooseUpstream(m *sim, v *vm, r *request, exclude []*choose.Upstream) *choose.Upstream {
	p, _ := v.view.ChooseUpstream(at(m.Now), choose.Request{Route: r.pool.route, Prefix: r.prefix, Exclude: exclude})
	return p.Upstream
}

func chooseNoPrefix(m *sim, v *vm, r *request, exclude []*choose.Upstream) *choose.Upstream {
	p, _ := v.view.ChooseUpstream(at(m.Now), choose.Request{Route: r.pool.route, Exclude: exclude})
	return p.Upstream
}

// candidates are the upstreams that a baseline may use: like the product, it avoids failing ones.
func candidates(m *sim, v *vm, r *request, exclude []*choose.Upstream) []*choose.Upstream {
	var list []*choose.Upstream
	for _, u := range v.members[r.pool.route] {
		if u.Failing(at(m.Now)) {
			continue
		}
		skip := false
		for _, x := range exclude {
			skip = skip || x == u
		}
		if !skip {
			list = append(list, u)
		}
	}
	return list
}

func roundRobin(m *sim, v *vm, r *request, exclude []*choose.Upstream) *choose.Upstream {
	list := candidates(m, v, r, exclude)
	if len(list) == 0 {
		return nil
	}
	v.turns[r.pool.route]++
	return list[v.turns[r.pool.route]%len(list)]
}

func randomOfTwo(m *sim, v *vm, r *request, exclude []*choose.Upstream) *choose.Upstream {
	list := candidates(m, v, r, exclude)
	if len(list) == 0 {
		return nil
	}
	a, b := list[m.noise.IntN(len(list))], list[m.noise.IntN(len(list))]
	if b.Outstanding() < a.Outstanding() {
		return b
	}
	return a
}

func leastOutstanding(m *sim, v *vm, r *request, exclude []*choose.Upstream) *choose.Upstream {
	list := candidates(m, v, r, exclude)
	if len(list) == 0 {
		return nil
	}
	start := m.noise.IntN(len(list))
	best := list[start]
	for i := range list {
		if u := list[(start+i)%len(list)]; u.Outstanding() < best.Outstanding() {
			best = u
		}
	}
	return best
}

func ownRegion(_ *sim, v *vm, r *request) string {
	if r.allows(v.zone.name) {
		return v.zone.name
	}
	return ""
}

// open are the allowed regions with a summary of the last 5 s that shows capacity.
func open(m *sim, v *vm, r *request) []string {
	var list []string
	for _, name := range m.deployment.regions {
		if !r.allows(name) {
			continue
		}
		if regionLoad(m, v, r, name) < math.Inf(1) {
			list = append(list, name)
		}
	}
	return list
}

// regionLoad is the outstanding work relative to the slots in the last summary.
func regionLoad(m *sim, v *vm, r *request, name string) float64 {
	c := v.view.Capacity(r.pool.route)
	if name != v.zone.name {
		if _, ok := v.loads[name]; !ok || m.Now-v.summary[name] >= 5 {
			return math.Inf(1)
		}
		c = v.loads[name][r.pool.route]
	}
	if c.Slots < 0.5 {
		return math.Inf(1)
	}
	return c.Outstanding / c.Slots
}

func regionsInTurn(m *sim, v *vm, r *request) string {
	list := open(m, v, r)
	if len(list) == 0 {
		return ""
	}
	v.turns["region"]++
	return list[v.turns["region"]%len(list)]
}

func regionOfTwo(m *sim, v *vm, r *request) string {
	list := open(m, v, r)
	if len(list) == 0 {
		return ""
	}
	a, b := list[m.noise.IntN(len(list))], list[m.noise.IntN(len(list))]
	if regionLoad(m, v, r, b) < regionLoad(m, v, r, a) {
		return b
	}
	return a
}

func leastRegion(m *sim, v *vm, r *request) string {
	best, least := "", math.Inf(1)
	for _, name := range open(m, v, r) {
		if l := regionLoad(m, v, r, name); l < least {
			best, least = name, l
		}
	}
	return best
}
