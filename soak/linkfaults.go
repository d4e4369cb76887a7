package soak

import (
	"sync"
	"time"

	"parsleyhatch/standin"
	"parsleyhatch/standin/faultlink"
)

// linkFaults are the faults of links other than those to callers.
var linkFaults = []faultlink.Fault{faultlink.Delayed, faultlink.DropsAll, faultlink.DropsResponses, faultlink.Reset}

// linkFaultOf returns the fault with a variant. Every other one that resets connections ends them with FIN instead.
func linkFaultOf(faults []faultlink.Fault, variant int) faultlink.Fault {
	fault := faults[variant%len(faults)]
	if fault == faultlink.Reset && variant/len(faults)%2 == 1 {
		return faultlink.Closes
	}
	return fault
}

// partRegions is the part that stands for the links between regions.
const partRegions = "links between regions"

// regionCuts counts the faults that cut one region from another. The zero value is ready to use.
type regionCuts struct {
	mu     sync.RWMutex
	counts map[[2]string]int
}

// add changes the number of faults that cut what one region sends to another.
func (c *regionCuts) add(from, to string, change int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[[2]string]int{}
	}
	c.counts[[2]string{from, to}] += change
}

// has reports whether what one region sends to another is discarded.
func (c *regionCuts) has(from, to string) bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.counts[[2]string{from, to}] > 0
}

// cutRegions cuts the region of a VM from all others for the duration of the fault: what it sends, what it gets, or both.
func (s *soak) cutRegions(f fault, v *vmProcess) {
	change := func(by int) {
		for _, other := range s.deployment.regionNames() {
			if other != v.region && f.variant%3 != 0 {
				s.regionCuts.add(v.region, other, by)
			}
			if other != v.region && f.variant%3 != 1 {
				s.regionCuts.add(other, v.region, by)
			}
		}
	}
	change(1)
	s.disturbFor(f.duration, partRegions)
	change(-1)
}

// losePackets makes links of the VMs of a region lossy for the duration of the fault: those to other VMs and to the store, those to
// callers, or those to upstreams.
func (s *soak) losePackets(f fault, v *vmProcess) {
	vms := s.presentVMs(v.region)
	links := s.linksOf(vms, f.variant%3)
	var names []string
	for _, v := range vms {
		names = append(names, v.name)
	}
	end := s.history.startDisturbance(names...)
	links.SetFault(faultlink.Lossy)
	time.Sleep(f.duration)
	for _, link := range links {
		link.ClearFault(faultlink.Lossy)
	}
	end()
}

// linksOf returns the links of VMs to other VMs and to the store, to their callers, or to upstreams.
func (s *soak) linksOf(vms []*vmProcess, form int) faultlink.Links {
	s.mu.Lock()
	defer s.mu.Unlock()
	var links faultlink.Links
	for _, v := range vms {
		switch form {
		case 0:
			links = append(links, v.peerLink, v.storeLink)
		case 1:
			links = append(links, v.callerLink)
		default:
			links = append(links, v.upstreamLinks...)
		}
	}
	return links
}

// slowStoreTime is the time that a slow store takes for an answer.
const slowStoreTime = 250 * time.Millisecond

// refuseAtStore lets the store refuse a VM for the duration of the fault, and cuts the calls that wait.
func (s *soak) refuseAtStore(f fault, v *vmProcess) {
	refusal := []standin.StoreRefusal{standin.StoreIsBusy, standin.StoreSaysMany, standin.StoreResets, standin.StoreIsSilent}[f.variant%4]
	v.storeReader.Refuse(refusal)
	v.storeLink.ResetConnections()
	s.disturbFor(f.duration, v.name)
	v.storeReader.EndRefusal(refusal)
}
