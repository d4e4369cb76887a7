// Package policybench compares the choice of upstream and region with baselines on a deterministic
// event loop. Nothing on the serving path imports it.
package policybench

import (
	"math"
	"time"

	"parsleyhatch/admit"
	"parsleyhatch/eventloop"
)

type seconds = eventloop.Seconds

const (
	// runTime and warmTime are the simulated length of a run and the part that isn't measured.
	runTime  seconds = 480
	warmTime seconds = 60
	// disturbFrom and disturbTo bound the disturbance of a scenario.
	disturbFrom seconds = 180
	disturbTo   seconds = 300
	// homeBoundShare is the share of requests that must stay in their home region.
	homeBoundShare = 0.36
	// prefixesPerWorkspace and enginePrefixes set how many prompt prefixes are in use, and how many
	// an engine can cache.
	prefixesPerWorkspace = 24
	enginePrefixes       = 20
	// rateFactor is a workspace's rate relative to its mean traffic.
	rateFactor = 2.0
)

// pool is a model's engines and traffic.
type pool struct {
	route    string
	class    admit.Class
	replicas int // Over all regions.
	batch    int
	// prefillRate is in tokens a second; stepBase and stepSlope give the time of a decoding step
	// as stepBase + stepSlope*batch.
	prefillRate         float64
	stepBase, stepSlope seconds
	prompt, prefix, out int // Mean tokens.
	body                int64
	deadline            seconds
}

// runSeconds is the mean time of a request in a batch of n, without waiting.
func (p *pool) runSeconds(n float64) seconds {
	return float64(p.prompt)/p.prefillRate + float64(p.out)*(p.stepBase+p.stepSlope*n)
}

// capacity is the requests a second that one replica can complete with half of the prefixes cached.
func (p *pool) capacity() float64 {
	prefill := (float64(p.prompt) - 0.5*float64(p.prefix)) / p.prefillRate
	decode := float64(p.out) * (p.stepBase + p.stepSlope*float64(p.batch)) / float64(p.batch)
	return 1 / (prefill + decode)
}

// workspace is a tenant; its share is of the whole traffic.
type workspace struct {
	name  string
	home  int
	share float64
}

// deployment is one of the two deployments of the design page.
type deployment struct {
	name    string
	regions []string
	oneWay  time.Duration
	// domainDelay is the delay between failure domains, linkBytes the link's bytes a second.
	domainDelay time.Duration
	linkBytes   float64
	vmsPerZone  int
	pools       []*pool
	workspaces  []workspace
}

func deployments() []deployment {
	return []deployment{
		{
			name:    "association",
			regions: []string{"porto-a", "coimbra-a", "faro-a"},
			oneWay:  55 * time.Millisecond, domainDelay: time.Millisecond, linkBytes: 2000e6 / 8, vmsPerZone: 3,
			pools: []*pool{
				{route: "redator", class: admit.Draft, replicas: 18, batch: 16, prefillRate: 8000, stepBase: 0.015, stepSlope: 0.001, prompt: 4000, prefix: 3000, out: 1200, body: 60e3, deadline: 60},
				{route: "balcao", class: admit.Interactive, replicas: 3, batch: 16, prefillRate: 12000, stepBase: 0.008, stepSlope: 0.0005, prompt: 600, prefix: 400, out: 120, body: 4e3, deadline: 10},
			},
			workspaces: tenants(),
		},
		{
			name:    "registry",
			regions: []string{"portroyal-1", "ochorios-1", "negril-1"},
			oneWay:  55 * time.Millisecond, domainDelay: 500 * time.Microsecond, linkBytes: 140e6 / 8, vmsPerZone: 3,
			pools: []*pool{
				{route: "parsley-pool", class: admit.Draft, replicas: 12, batch: 16, prefillRate: 8000, stepBase: 0.015, stepSlope: 0.001, prompt: 8000, prefix: 5000, out: 700, body: 600e3, deadline: 60},
				{route: "counter-app", class: admit.Interactive, replicas: 3, batch: 24, prefillRate: 15000, stepBase: 0.006, stepSlope: 0.0004, prompt: 300, prefix: 200, out: 40, body: 2e3, deadline: 5},
			},
			workspaces: tenants(),
		},
	}
}

// largeDeployment has pools of a size at which candidates are drawn instead of compared.
func largeDeployment() deployment {
	d := deployments()[0]
	d.name, d.vmsPerZone = "large", 8
	d.pools[0].replicas, d.pools[1].replicas = 180, 30
	return d
}

// tenants are five workspaces of which two are large.
func tenants() []workspace {
	return []workspace{{"w1", 0, 0.33}, {"w2", 1, 0.30}, {"w3", 2, 0.25}, {"w4", 0, 0.07}, {"w5", 1, 0.05}}
}

// scenario is a course of load and faults.
type scenario struct {
	name string
	// load is the mean traffic relative to the capacity.
	load float64
	// peak is the amplitude of the peaks, a third of a period apart between the regions.
	peak float64
	// flood multiplies the traffic of w2 during the disturbance.
	flood float64
	// loss takes the engines of the last region during the disturbance.
	loss bool
	// partition cuts the last region's links during the disturbance.
	partition bool
}

func scenarios() []scenario {
	return []scenario{
		{name: "steady", load: 0.65},
		{name: "offset peaks", load: 0.65, peak: 0.6},
		{name: "tenant x5", load: 0.55, flood: 5},
		{name: "region lost", load: 0.5, loss: true},
		{name: "partition", load: 0.65, peak: 0.3, partition: true},
	}
}

// factor is the traffic of a workspace at a time relative to its mean.
func (s *scenario) factor(w *workspace, index int, t seconds) float64 {
	f := 1 + s.peak*math.Sin(2*math.Pi*(t/240+float64(w.home)/3))
	if s.flood > 0 && index == 1 && disturbed(t) {
		f *= s.flood
	}
	return f
}

func disturbed(t seconds) bool { return t >= disturbFrom && t < disturbTo }
