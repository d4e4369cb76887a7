// Package loadbench replays patterns of load on simulated engines, and compares the product's choice of
// upstream, region and refusal with baselines. The decisions run as they do in a VM; only time, the network and
// the engines are simulated.
package loadbench

import (
	"math/rand/v2"
	"slices"
	"time"

	"parsleyhatch/route"
)

// kind is a kind of request.
type kind struct {
	name    string
	service *route.Service
	rank    int
	// target is the latency objective, and deadline the time after which the caller leaves.
	target, deadline seconds
	// worth is what an answer in time is worth, and late the share of it that a late one is worth.
	worth, late float64
	// share is the part of all requests.
	share float64
	// homes are the regions that may run the requests; none means all.
	homes []string
	// chains are the shared parts: from each list one part is drawn.
	chains []chain
	// tokens and answer are the means of the request's own prompt and of its answer, in tokens. Both are
	// drawn from a distribution with a long tail.
	tokens, answer, most float64
}

// allows reports whether a region may run the requests.
func (k *kind) allows(region string) bool {
	return len(k.homes) == 0 || slices.Contains(k.homes, region)
}

// chain is a list of parts of which each request has one.
type chain struct {
	parts  int
	tokens int64
}

// deployment is a set of regions with their engines and VMs.
type deployment struct {
	name    string
	regions []regionSize
	model   engineModel
	// speeds are the speeds of the engines of a region in turn, relative to the model. None means that all have the model's.
	speeds []float64
	plain  plainModel
	kinds  []kind
	// oneWay is the delay between regions, domainDelay that within one.
	oneWay, domainDelay seconds
	// reportEvery is the period at which VMs of a region tell each other their load, and summaryEvery that
	// at which regions tell each other the expected wait.
	reportEvery, summaryEvery seconds
	// rate is the number of requests a second in all regions at a load of one.
	rate float64
	// workspaces have shares of the requests in proportion to their numbers, the first the most.
	workspaces int
}

// kind returns the kind of a name.
func (d *deployment) kind(name string) *kind {
	return &d.kinds[slices.IndexFunc(d.kinds, func(k kind) bool { return k.name == name })]
}

type regionSize struct {
	name    string
	engines int
	plain   int
	vms     int
}

// plainModel describes the upstreams of the plain service.
type plainModel struct {
	slots, queue int
	work         seconds
}

var (
	modelService   = &route.Service{Name: "model", WarmUp: 3 * time.Second, WarmUpRate: 3, Engine: &route.Engine{Slots: 64, Capacity: 500_000}}
	counterService = &route.Service{Name: "counter"}
)

func engineOf() engineModel {
	return engineModel{
		slots: 64, queue: 192, memory: 500_000, chunk: 2048, tokensPerMilli: 68,
		stepBase: 3.8, stepPerRun: 0.023, stepPerThousand: 0.0026, perMillionPairs: 0.24,
		overhead: 30, tokensPerEvent: 6,
	}
}

func kinds() []kind {
	return []kind{
		{
			name: "draft", service: modelService, rank: 1, target: 1, deadline: 15, worth: 6.3, late: 0.1, share: 0.15,
			chains: []chain{{1, 512}, {180, 4870}}, tokens: 6600, answer: 380, most: 55_000,
		},
		{
			name: "question", service: modelService, rank: 0, target: 0.6, deadline: 3, worth: 1.9, late: 0.1, share: 0.59,
			homes:  []string{"a", "b"},
			chains: []chain{{40, 340}, {315, 230}}, tokens: 1800, answer: 22, most: 7000,
		},
		{
			name: "lookup", service: counterService, rank: 0, target: 0.4, deadline: 4, worth: 1, late: 0.1, share: 0.26,
		},
	}
}

// small has nine VMs before 18 engines, large 75 before 90.
func small() *deployment {
	return &deployment{
		name:    "small",
		regions: []regionSize{{"a", 9, 1, 3}, {"b", 6, 1, 3}, {"c", 3, 1, 3}},
		model:   engineOf(), plain: plainModel{slots: 6, queue: 24, work: 0.03}, kinds: kinds(),
		oneWay: 0.055, domainDelay: 0.001, reportEvery: 0.1, summaryEvery: 0.5, rate: 200, workspaces: 5,
	}
}

func large() *deployment {
	return &deployment{
		name:    "large",
		regions: []regionSize{{"a", 46, 2, 25}, {"b", 28, 2, 25}, {"c", 16, 2, 25}},
		model:   engineOf(), plain: plainModel{slots: 6, queue: 24, work: 0.015}, kinds: kinds(),
		oneWay: 0.055, domainDelay: 0.001, reportEvery: 0.1, summaryEvery: 1, rate: 1000, workspaces: 16,
	}
}

// pattern is a load over time.
type pattern struct {
	name string
	// load multiplies the deployment's rate.
	load float64
	// region returns the load of a region, relative to its mean, at a time.
	region func(region int, t seconds) float64
	// lost is the share of each region's engines that crash at crashAt and come back cold after downFor.
	lost             float64
	crashAt, downFor seconds
	// impatient is the number of times that refused callers retry at once. If it is zero, they retry once, after the announced time.
	impatient int
	// slowAt is the time at which the first engine of each region slows down by slowFactor, and slowFor the time for which it stays so;
	// zero means that none does.
	slowAt, slowFor seconds
	// bursts add requests to those of the load.
	bursts []kindBurst
	// coldAt is the time at which the engines lose what they have cached and do not use, zero for never.
	coldAt seconds
}

// kindBurst is a number of requests of one kind that arrive in each region within burstLength.
type kindBurst struct {
	kind  string
	at    seconds
	count int
}

const (
	// slowFactor is the speed of an engine that slows down, relative to its usual one.
	slowFactor = 0.5
	// burstLength is the time in which the requests of a kindBurst arrive.
	burstLength seconds = 0.2
	// runTime is the length of a replay and warmTime the part at its start that is not measured.
	runTime  seconds = 40
	warmTime seconds = 4
	// windowLength is that of the windows of which the worst is reported.
	windowLength seconds = 2
	// peakLoad and restLoad are the loads of a region at its peak and away from it.
	peakLoad, restLoad = 2.3, 0.3
	// quietLoad makes as many requests a second as a quiet day of the users' smaller site.
	quietLoad = 0.69
	// peakEvery is the time from one peak of a region to the next.
	peakEvery seconds = 34
)

// offsetPeaks gives each region a peak of 12 s that begins when that of the one before ends.
func offsetPeaks(region int, t seconds) float64 {
	phase := t - float64(region)*peakEvery/3
	for phase < 0 {
		phase += peakEvery
	}
	for phase >= peakEvery {
		phase -= peakEvery
	}
	if phase < peakEvery/3 {
		return peakLoad
	}
	return restLoad
}

func steady(int, seconds) float64 { return 1 }

func burst(_ int, t seconds) float64 {
	if t > 10 && t < 14 {
		return 3
	}
	return 1
}

func patterns() []pattern {
	return []pattern{
		{name: "quiet", load: quietLoad, region: offsetPeaks},
		{name: "offset peaks", load: 1, region: offsetPeaks},
		{name: "offset peaks, high load", load: 1.5, region: offsetPeaks},
		{name: "burst", load: 1.2, region: burst},
		{name: "engines lost at a peak", load: 1.2, region: offsetPeaks, lost: 0.25, crashAt: 8, downFor: 2},
		{name: "impatient callers", load: 1.5, region: offsetPeaks, impatient: 3},
	}
}

// draw returns a number with a long tail around a mean.
func draw(r *rand.Rand, mean, most float64) float64 {
	x := mean * r.ExpFloat64() * (0.5 + r.Float64())
	return min(max(x, 1), most)
}
