package soak

import (
	"slices"
	"sync"
)

// applyTrouble injects a fault of troubleFaultKinds or severeFaultKinds.
func (s *soak) applyTrouble(f fault, v *vmProcess, vmLocks []sync.Mutex) error {
	switch f.kind {
	case faultReuseAddress:
		return s.reuseAddress(f)
	case faultReborn:
		return s.crashBehindCut(f, s.someUpstreams(f.target, rebornShare))
	case faultLostAnswer:
		behaviour := []int32{closesAfterRun, resetsAfterRun}[f.variant%2]
		s.misbehave(f.duration, s.someUpstreams(f.target, lostAnswerShare), setBehaviour(behaviour))
	case faultEarlyRefusal:
		s.misbehave(f.duration, s.someUpstreams(f.target, lostAnswerShare), setBehaviour(refusesEarly))
	case faultFlap:
		return s.flap(f)
	case faultPowerLoss:
		return s.cutPower(f, v, vmLocks)
	case faultAllVMs:
		return s.loseAllVMs(f, vmLocks)
	case faultAddVM:
		return s.addVM(f, vmLocks)
	case faultRemoveVM:
		s.removeVM(v, vmLocks)
	case faultSlowVM:
		s.slowVM(f, v, vmLocks)
	case faultReloadSeries:
		s.reloadInSeries(f, vmLocks)
	case faultLossyLinks:
		s.losePackets(f, v)
	case faultRegionCut:
		s.cutRegions(f, v)
	case faultStoreSlow:
		s.slowStore(f)
	case faultStoreRefuses:
		s.refuseAtStore(f, v)
	case faultCallersLeave, faultCallersRepeat, faultHotWorkspace:
		s.changeCallers(f)
	}
	return nil
}

// presentIndex returns the index of the first VM from an index modulo the number of VMs that is in use.
func (s *soak) presentIndex(index int) int {
	for i := range s.vms {
		if at := (index + i) % len(s.vms); !s.vms[at].absent.Load() {
			return at
		}
	}
	return index % len(s.vms)
}

// pickVM returns the first VM from an index modulo the number of VMs that is in use.
func (s *soak) pickVM(index int) *vmProcess { return s.vms[s.presentIndex(index)] }

// isListed reports whether an upstream is among those that faults pick.
func (s *soak) isListed(u *registeredUpstream) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Contains(s.upstreams, u)
}
