package soak

import (
	"math/rand/v2"
	"sort"
	"time"
)

// faultKind is a kind of fault.
type faultKind string

// Kinds of faults. The target of a fault is the index of a VM, an upstream or a key, depending on its kind.
const (
	faultKillVM            faultKind = "kill vm"
	faultStopVM            faultKind = "stop vm"
	faultFreezeVM          faultKind = "freeze vm"
	faultReloadVM          faultKind = "reload vm"
	faultStoreDown         faultKind = "store down"
	faultStoreLink         faultKind = "store link"
	faultUpstreamLink      faultKind = "upstream link"
	faultUpstreamCrash     faultKind = "upstream crashes"
	faultUpstreamBehaviour faultKind = "upstream misbehaves"
	faultUpstreamLeave     faultKind = "upstream leaves"
	faultWithdrawKey       faultKind = "key withdrawn"
	faultUpstreamLimit     faultKind = "upstream announces a rate limit"
	faultStoreRestore      faultKind = "store restored from a copy"
	faultPeerLink          faultKind = "link between vms"
	faultLateAnswer        faultKind = "upstreams send late second responses"
	faultEventOrder        faultKind = "upstreams send events out of order"
	faultStopDisturbed     faultKind = "stop vm with a reload and a kill"
	faultBurst             faultKind = "many upstreams misbehave"
	faultBrittle           faultKind = "upstreams are brittle"
	faultLeaveByAnswers    faultKind = "upstream says in its answers only that it leaves"
	faultRetryAfter        faultKind = "upstreams refuse with Retry-After"
	faultCut               faultKind = "vms cut from all upstreams"
	faultRegionWithout     faultKind = "region without upstreams, the others fail partly"
	faultCutAnswers        faultKind = "upstreams cut answers"
	faultUnmarkedCuts      faultKind = "upstreams cut answers without a mark"
	faultCallerLink        faultKind = "link between callers and a vm"
	faultSplit             faultKind = "split of a route changes"
	faultRollout           faultKind = "software version of a service changes"
)

var faultKinds = []faultKind{
	faultKillVM, faultStopVM, faultFreezeVM, faultReloadVM, faultStoreDown, faultStoreLink, faultUpstreamLink,
	faultUpstreamCrash, faultUpstreamBehaviour, faultUpstreamLeave, faultWithdrawKey,
}

// laterFaultKinds are planned apart from faultKinds, so that the plans of earlier seeds stay as they were and the new faults are
// added to them.
var laterFaultKinds = []faultKind{faultUpstreamLimit, faultStoreRestore}

// heavyFaultKinds are planned apart from the others for ProfileHeavy.
var heavyFaultKinds = []faultKind{faultPeerLink, faultLateAnswer, faultEventOrder, faultStopDisturbed}

// stopFaultKinds are planned for ProfileStops.
var stopFaultKinds = []faultKind{faultStopVM, faultStopVM, faultStopVM, faultReloadVM}

// signalFaultKinds are planned for ProfileSignals, besides those of ProfileLight.
var signalFaultKinds = []faultKind{faultBrittle, faultLeaveByAnswers, faultRetryAfter, faultCut}

// rawFaultKinds are planned for ProfileRaw, besides faultCutAnswers for the whole time with faults.
var rawFaultKinds = []faultKind{
	faultUpstreamCrash, faultUpstreamCrash, faultUpstreamCrash, faultUpstreamLeave, faultUpstreamLink, faultPeerLink, faultKillVM, faultFreezeVM,
}

// fault is one planned fault.
type fault struct {
	kind faultKind
	// start is the time from the start of the run to the fault, and duration the time for which the fault lasts.
	start, duration time.Duration
	// target selects the VM, upstream or key, and variant how it fails; both are taken modulo the number of choices.
	target, variant int
}

const (
	// meanFaultInterval is the mean time between the starts of two faults. It is shorter than most faults, so that they
	// overlap.
	meanFaultInterval = 900 * time.Millisecond
	// meanLaterFaultInterval is the same for laterFaultKinds.
	meanLaterFaultInterval = 4 * time.Second
	// meanHeavyFaultInterval is the same for heavyFaultKinds, and meanStopInterval for stopFaultKinds.
	meanHeavyFaultInterval = 1500 * time.Millisecond
	meanStopInterval       = 2 * time.Second
	// meanRawFaultInterval is the same for rawFaultKinds.
	meanRawFaultInterval = 700 * time.Millisecond
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
	// maxFaultExtension is the largest time by which a fault lasts longer than the minimum of 200 ms.
	maxFaultExtension = 3 * time.Second
	// faultFreeTime is the time without faults at the end of a run, within which the service must recover.
	faultFreeTime = 9 * time.Second
)

// planFaults returns the faults for a seed, ordered by start time.
func planFaults(seed uint64, duration time.Duration) []fault {
	faults := planKinds(rand.New(rand.NewPCG(seed, 17)), faultKinds, meanFaultInterval, duration)
	faults = append(faults, planKinds(rand.New(rand.NewPCG(seed, 18)), laterFaultKinds, meanLaterFaultInterval, duration)...)
	sort.SliceStable(faults, func(i, j int) bool { return faults[i].start < faults[j].start })
	return faults
}

// planProfile returns the faults for a seed and a profile, ordered by start time.
func planProfile(p Profile, seed uint64, duration time.Duration) []fault {
	var faults []fault
	switch p {
	case ProfileStops:
		faults = planKinds(rand.New(rand.NewPCG(seed, 21)), stopFaultKinds, meanStopInterval, duration)
	case ProfileRetries:
		faults = []fault{{kind: faultRegionWithout, start: time.Second, duration: duration - faultFreeTime - time.Second, target: int(seed)}}
	case ProfileHeavy:
		faults = planFaults(seed, duration)
		faults = append(faults, planKinds(rand.New(rand.NewPCG(seed, 19)), heavyFaultKinds, meanHeavyFaultInterval, duration)...)
		faults = append(faults, planBursts(rand.New(rand.NewPCG(seed, 20)), duration)...)
	case ProfileSignals:
		faults = append(planFaults(seed, duration), planSignals(rand.New(rand.NewPCG(seed, 22)), duration)...)
	case ProfileRaw, ProfileUnmarked:
		faults = planKinds(rand.New(rand.NewPCG(seed, 23)), rawFaultKinds, meanRawFaultInterval, duration)
		cuts := fault{kind: faultCutAnswers, start: time.Second, duration: duration - faultFreeTime - time.Second}
		faults = append(faults, cuts)
		if p == ProfileUnmarked {
			cuts.kind = faultUnmarkedCuts
			faults = append(faults, cuts)
		}
	case ProfileCallers:
		faults = planCallers(seed, duration)
	case ProfileTroubles:
		faults = planTroubles(seed, duration)
	default:
		faults = planFaults(seed, duration)
	}
	sort.SliceStable(faults, func(i, j int) bool { return faults[i].start < faults[j].start })
	return faults
}

// planBursts returns bursts of failing upstreams that are burstInterval apart.
func planBursts(rng *rand.Rand, duration time.Duration) []fault {
	var faults []fault
	at := time.Second + time.Duration(rng.Float64()*float64(firstBurst-time.Second))
	length := minBurst + time.Duration(rng.Float64()*float64(maxBurst-minBurst))
	target, variant := rng.IntN(1<<16), rng.IntN(1<<16)
	for ; at+length <= duration-faultFreeTime; at += burstInterval {
		faults = append(faults, fault{kind: faultBurst, start: at, duration: length, target: target, variant: variant})
	}
	return faults
}

// planSignals returns faults of two of signalFaultKinds in each signalInterval, since all of them together leave too little room at
// upstreams to tell a cut VM from the others. The last ones end with the faults of the run.
func planSignals(rng *rand.Rand, duration time.Duration) []fault {
	var faults []fault
	for round := time.Duration(0); ; round += signalInterval {
		for _, kind := range rng.Perm(len(signalFaultKinds))[:signalsPerInterval] {
			at := round + time.Second + time.Duration(rng.Float64()*float64(firstSignal-time.Second))
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
	for at := time.Second; ; {
		at += time.Duration(rng.ExpFloat64() * float64(meanInterval))
		f := fault{
			kind: kinds[rng.IntN(len(kinds))], start: at,
			duration: 200*time.Millisecond + time.Duration(rng.Float64()*float64(maxFaultExtension)),
			target:   rng.IntN(1 << 16), variant: rng.IntN(1 << 16),
		}
		if f.start+f.duration > duration-faultFreeTime {
			return faults
		}
		faults = append(faults, f)
	}
}
