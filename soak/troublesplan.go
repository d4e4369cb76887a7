package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Kinds of faults of ProfileTroubles.
const (
	faultReuseAddress  faultKind = "address of an upstream goes to another service"
	faultReborn        faultKind = "upstreams crash behind a cut and start again"
	faultLostAnswer    faultKind = "upstreams lose answers after the run"
	faultEarlyRefusal  faultKind = "upstreams refuse before the body is in"
	faultFlap          faultKind = "upstream flaps"
	faultPowerLoss     faultKind = "part of a region without power"
	faultAllVMs        faultKind = "all vms lost"
	faultAddVM         faultKind = "vm added"
	faultRemoveVM      faultKind = "vm removed"
	faultSlowVM        faultKind = "vm slowed"
	faultReloadSeries  faultKind = "vms reload in series"
	faultLossyLinks    faultKind = "links lose packets"
	faultRegionCut     faultKind = "regions cut from each other"
	faultStoreSlow     faultKind = "store slow"
	faultStoreRefuses  faultKind = "store refuses a vm"
	faultCallersLeave  faultKind = "callers leave"
	faultCallersRepeat faultKind = "callers repeat at once"
	faultHotWorkspace  faultKind = "hot workspace"
)

// troubleFaultKinds are planned for ProfileTroubles besides those of the other profiles.
var troubleFaultKinds = []faultKind{
	faultReuseAddress, faultReborn, faultLostAnswer, faultEarlyRefusal, faultFlap, faultAddVM, faultRemoveVM, faultSlowVM, faultReloadSeries,
	faultLossyLinks, faultStoreSlow, faultStoreRefuses, faultCallersLeave, faultCallersRepeat, faultHotWorkspace,
}

// earlierFaultKinds are those of the other profiles that ProfileTroubles plans, too. Faults of raw upstreams are not among them, since its
// upstreams change their behaviour while they run.
var earlierFaultKinds = slices.Concat(faultKinds, laterFaultKinds, heavyFaultKinds, signalFaultKinds, []faultKind{faultCallerLink, faultSplit, faultRollout})

// severeFaultKinds disturb all VMs, a whole region or most upstreams. They are planned apart, so that requests are served between them.
var severeFaultKinds = []faultKind{faultPowerLoss, faultAllVMs, faultRegionCut, faultBurst, faultRegionWithout}

const (
	// meanTroubleInterval, meanEarlierInterval and meanSevereInterval are the mean times between the starts of two faults of
	// troubleFaultKinds, earlierFaultKinds and severeFaultKinds.
	meanTroubleInterval = 900 * time.Millisecond
	meanEarlierInterval = 900 * time.Millisecond
	meanSevereInterval  = 6 * time.Second
	// One of seriesEvery faults is repeated seriesLength times at the same target, seriesGap after the fault before it began.
	seriesEvery  = 5
	seriesLength = 3
	seriesGap    = 300 * time.Millisecond
)

// planTroubles returns the faults of ProfileTroubles, in no order.
func planTroubles(seed uint64, duration time.Duration) []fault {
	faults := planKinds(rand.New(rand.NewPCG(seed, 31)), troubleFaultKinds, meanTroubleInterval, duration)
	faults = append(faults, planKinds(rand.New(rand.NewPCG(seed, 32)), earlierFaultKinds, meanEarlierInterval, duration)...)
	rng := rand.New(rand.NewPCG(seed, 33))
	for _, f := range faults {
		if rng.IntN(seriesEvery) == 0 {
			faults = append(faults, seriesAfter(f, duration)...)
		}
	}
	return append(faults, planKinds(rand.New(rand.NewPCG(seed, 34)), severeFaultKinds, meanSevereInterval, duration)...)
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
