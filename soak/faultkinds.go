package soak

import "slices"

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
	faultReuseAddress      faultKind = "address of an upstream goes to another service"
	faultReborn            faultKind = "upstreams crash behind a cut and start again"
	faultLostAnswer        faultKind = "upstreams lose answers after the run"
	faultEarlyRefusal      faultKind = "upstreams refuse before the body is in"
	faultFlap              faultKind = "upstream flaps"
	faultPowerLoss         faultKind = "part of a region without power"
	faultAllVMs            faultKind = "all vms lost"
	faultAddVM             faultKind = "vm added"
	faultRemoveVM          faultKind = "vm removed"
	faultSlowVM            faultKind = "vm slowed"
	faultReloadSeries      faultKind = "vms reload in series"
	faultLossyLinks        faultKind = "links lose packets"
	faultRegionCut         faultKind = "regions cut from each other"
	faultStoreSlow         faultKind = "store slow"
	faultStoreRefuses      faultKind = "store refuses a vm"
	faultCallersLeave      faultKind = "callers leave"
	faultCallersRepeat     faultKind = "callers repeat at once"
	faultHotWorkspace      faultKind = "hot workspace"
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
