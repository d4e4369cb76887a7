package soak

import (
	"math/rand/v2"
	"time"
)

// callerFaultKinds are planned for ProfileCallers, besides rollouts.
var callerFaultKinds = []faultKind{
	faultCallerLink, faultCallerLink, faultCallerLink, faultSplit, faultSplit, faultKillVM, faultFreezeVM, faultPeerLink, faultUpstreamCrash,
}

const (
	// meanCallerFaultInterval is the mean time between the starts of two faults of callerFaultKinds, and meanRolloutInterval that
	// between two rollouts.
	meanCallerFaultInterval = 450 * time.Millisecond
	meanRolloutInterval     = 1500 * time.Millisecond
	// restartTime is the time for which a VM is down that starts while a software version changes.
	restartTime = 500 * time.Millisecond
	// companionTime is the time for which a VM is frozen, or has lost the others, while a software version changes, and companionLead
	// the time by which that begins earlier.
	companionTime = 1500 * time.Millisecond
	companionLead = 100 * time.Millisecond
)

// planCallers returns the faults of ProfileCallers, in no order.
func planCallers(seed uint64, duration time.Duration) []fault {
	faults := planKinds(rand.New(rand.NewPCG(seed, 23)), callerFaultKinds, meanCallerFaultInterval, duration)
	rng := rand.New(rand.NewPCG(seed, 24))
	for _, f := range planKinds(rng, []faultKind{faultRollout}, meanRolloutInterval, duration) {
		faults = append(faults, f)
		if c := companionOf(rng, f); c.kind != "" && c.start+c.duration <= duration-faultFreeTime {
			faults = append(faults, c)
		}
	}
	return faults
}

// companionOf returns a fault of a VM at the moment at which a software version joins or leaves: the VM starts, is frozen, or loses the
// others. For one of four rollouts there is none.
func companionOf(rng *rand.Rand, f fault) fault {
	at := f.start
	if rng.IntN(2) == 0 {
		at += f.duration // The old upstreams leave then.
	}
	c := fault{start: at - companionLead, duration: companionTime, target: rng.IntN(1 << 16)}
	switch rng.IntN(4) {
	case 0:
		c.kind, c.start, c.duration = faultKillVM, at-restartTime, restartTime
	case 1:
		c.kind = faultFreezeVM
	case 2:
		c.kind, c.variant = faultPeerLink, 1 // linkDropsAll
	}
	return c
}
