package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sort"
	"time"
)

// fault is one planned fault.
type fault struct {
	kind faultKind
	// start is the time from the start of the run to the fault, and duration the time for which the fault lasts.
	start, duration time.Duration
	// target selects the VM, upstream or key, and variant how it fails; both are taken modulo the number of choices.
	target, variant int
}

const (
	// maxFaultExtension is the largest time by which a fault lasts longer than minFault.
	maxFaultExtension = 3 * time.Second
	minFault          = 200 * time.Millisecond
	// firstFault is the time without faults at the start of a run, and faultFreeTime that at its end, within which the service must recover.
	firstFault    = time.Second
	faultFreeTime = 9 * time.Second
	// burstInterval is the time between two bursts: a little less than the window of the retry budget. firstBurst is the time
	// within which the first one begins, and minBurst and maxBurst are the lengths of a burst.
	burstInterval = 9500 * time.Millisecond
	firstBurst    = 5 * time.Second
	minBurst      = 500 * time.Millisecond
	maxBurst      = 4 * time.Second
	// In each signalInterval, signalsPerInterval faults of signalFaultKinds begin before firstSignal. minSignal and maxSignal are
	// their lengths, which exceed the time that VMs have to obey.
	signalInterval     = 14 * time.Second
	signalsPerInterval = 2
	firstSignal        = 3 * time.Second
	minSignal          = 8 * time.Second
	maxSignal          = 12 * time.Second
	// surgeTime is the time for which a workspace sends ten times its usual load. It exceeds the 3 s that VMs may need to learn the shares.
	surgeTime = 8 * time.Second
	// One of seriesEvery faults is repeated seriesLength times at the same target, seriesGap after the fault before it began.
	seriesEvery  = 5
	seriesLength = 3
	seriesGap    = 300 * time.Millisecond
)

// planFunc returns some of the faults of a run.
type planFunc func(seed uint64, rng *rand.Rand, duration time.Duration) []fault

// planner plans some of the faults of a profile. Its random numbers depend on the seed and on stream, so that the plans of earlier seeds stay
// as they are when a profile gets another planner.
type planner struct {
	stream uint64
	plan   planFunc
}

// arriving returns a planner of faults of some kinds, which arrive as a Poisson process with a mean time between them. It is shorter than
// most faults, so that they overlap.
func arriving(stream uint64, meanInterval time.Duration, kinds []faultKind) planner {
	return planner{stream, func(_ uint64, rng *rand.Rand, duration time.Duration) []fault {
		return planKinds(rng, kinds, meanInterval, duration)
	}}
}

// throughout returns a planner of a fault that lasts for all the time with faults.
func throughout(kind faultKind) planner {
	return planner{0, func(seed uint64, _ *rand.Rand, duration time.Duration) []fault {
		return []fault{{kind: kind, start: firstFault, duration: duration - faultFreeTime - firstFault, target: int(seed)}}
	}}
}

// lightPlan are the planners of ProfileLight.
var lightPlan = []planner{arriving(17, 900*time.Millisecond, faultKinds), arriving(18, 4*time.Second, laterFaultKinds)}

// rawPlan are the planners of ProfileRaw.
var rawPlan = []planner{arriving(23, 700*time.Millisecond, rawFaultKinds), throughout(faultCutAnswers)}

// plans are the planners of each profile.
var plans = map[Profile][]planner{
	ProfileLight:    lightPlan,
	ProfileHeavy:    slices.Concat(lightPlan, []planner{arriving(19, 1500*time.Millisecond, heavyFaultKinds), {20, planBursts}}),
	ProfileStops:    {arriving(21, 2*time.Second, stopFaultKinds)},
	ProfileRetries:  {throughout(faultRegionWithout)},
	ProfileSignals:  slices.Concat(lightPlan, []planner{{22, planSignals}}),
	ProfileRaw:      rawPlan,
	ProfileUnmarked: slices.Concat(rawPlan, []planner{throughout(faultUnmarkedCuts)}),
	ProfileCallers: {
		ofCallers(23, 600*time.Millisecond, faultCallerLink),
		ofCallers(24, 1200*time.Millisecond, faultSplit),
		ofCallers(25, 1500*time.Millisecond, faultKillVM, faultFreezeVM, faultStopVM, faultPeerLink, faultUpstreamCrash),
		ofCallers(26, 3*time.Second, faultRollout),
	},
	ProfileOverload: {throughout(faultCallersRepeat), {35, planSurge}},
	ProfileTroubles: {
		{33, inSeries(arriving(31, 900*time.Millisecond, troubleFaultKinds), arriving(32, 900*time.Millisecond, earlierFaultKinds))},
		arriving(34, 6*time.Second, severeFaultKinds),
	},
}

// planProfile returns the faults for a seed and a profile, ordered by start time.
func planProfile(p Profile, seed uint64, duration time.Duration) []fault {
	faults := planAll(plans[cmp.Or(p, ProfileLight)], seed, duration)
	sort.SliceStable(faults, func(i, j int) bool { return faults[i].start < faults[j].start })
	return faults
}

// planAll returns the faults of some planners.
func planAll(planners []planner, seed uint64, duration time.Duration) []fault {
	var faults []fault
	for _, p := range planners {
		faults = append(faults, p.plan(seed, rand.New(rand.NewPCG(seed, p.stream)), duration)...)
	}
	return faults
}

// planSurge plans one fault hot workspace of at most surgeTime.
func planSurge(_ uint64, rng *rand.Rand, duration time.Duration) []fault {
	at := firstFault + time.Duration(rng.Float64()*float64(time.Second))
	return []fault{{kind: faultHotWorkspace, start: at, duration: min(surgeTime, duration-faultFreeTime-at)}}
}

// planBursts returns bursts of failing upstreams that are burstInterval apart.
func planBursts(_ uint64, rng *rand.Rand, duration time.Duration) []fault {
	var faults []fault
	at := firstFault + time.Duration(rng.Float64()*float64(firstBurst-firstFault))
	length := minBurst + time.Duration(rng.Float64()*float64(maxBurst-minBurst))
	target, variant := rng.IntN(1<<16), rng.IntN(1<<16)
	for ; at+length <= duration-faultFreeTime; at += burstInterval {
		faults = append(faults, fault{kind: faultBurst, start: at, duration: length, target: target, variant: variant})
	}
	return faults
}

// planSignals returns faults of two of signalFaultKinds in each signalInterval, since all of them together leave too little room at
// upstreams to tell a cut VM from the others. The last ones end with the faults of the run.
func planSignals(_ uint64, rng *rand.Rand, duration time.Duration) []fault {
	var faults []fault
	for round := time.Duration(0); ; round += signalInterval {
		for _, kind := range rng.Perm(len(signalFaultKinds))[:signalsPerInterval] {
			at := round + firstFault + time.Duration(rng.Float64()*float64(firstSignal-firstFault))
			length := minSignal + time.Duration(rng.Float64()*float64(maxSignal-minSignal))
			left := duration - faultFreeTime - at
			if left <= 0 {
				return faults
			}
			faults = append(faults, fault{kind: signalFaultKinds[kind], start: at, duration: min(length, left), target: rng.IntN(1 << 16), variant: rng.IntN(1 << 16)})
		}
	}
}

// planKinds returns faults of some kinds, which arrive as a Poisson process.
func planKinds(rng *rand.Rand, kinds []faultKind, meanInterval, duration time.Duration) []fault {
	var faults []fault
	for at := firstFault; ; {
		at += time.Duration(rng.ExpFloat64() * float64(meanInterval))
		f := fault{
			kind: kinds[rng.IntN(len(kinds))], start: at,
			duration: minFault + time.Duration(rng.Float64()*float64(maxFaultExtension)),
			target:   rng.IntN(1 << 16), variant: rng.IntN(1 << 16),
		}
		if f.start+f.duration > duration-faultFreeTime {
			return faults
		}
		faults = append(faults, f)
	}
}

// inSeries returns a plan that repeats some of the faults of other planners.
func inSeries(planners ...planner) planFunc {
	return func(seed uint64, rng *rand.Rand, duration time.Duration) []fault {
		faults := planAll(planners, seed, duration)
		for _, f := range faults {
			if rng.IntN(seriesEvery) == 0 {
				faults = append(faults, seriesAfter(f, duration)...)
			}
		}
		return faults
	}
}

// seriesAfter returns the repetitions of a fault.
func seriesAfter(f fault, duration time.Duration) []fault {
	var faults []fault
	for range seriesLength {
		f.start += seriesGap
		f.variant++
		if f.start+f.duration <= duration-faultFreeTime {
			faults = append(faults, f)
		}
	}
	return faults
}
