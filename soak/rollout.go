package soak

import (
	"fmt"
	"time"

	"parsleyhatch/platform"
)

const (
	// softwareVersions is the number of software versions of a service, which follow each other in a circle.
	softwareVersions = 3
	// leavingTime is the time from the end of its registration until an upstream stops.
	leavingTime = 1500 * time.Millisecond
)

// leaveForm is the way in which an upstream of an old software version leaves.
type leaveForm int

const (
	// leavesDraining is registered as draining before it stops.
	leavesDraining leaveForm = iota
	// leavesUnregistered ends its registration before it stops.
	leavesUnregistered
	// leavesAtOnce ends its registration and stops.
	leavesAtOnce
	leaveForms
)

// splits returns the splits of the route of streams. The last two move the route to one of the services.
func (d *deployment) splits() [][]platform.ConfigTarget {
	first, second := d.Split[0].targetOf, d.Split[1].targetOf
	return [][]platform.ConfigTarget{
		{first(50), second(50)}, {first(85), second(15)}, {first(20), second(80)}, {second(40), first(60)}, {first(100)}, {second(100)},
	}
}

func (x deployedService) targetOf(weight int) platform.ConfigTarget {
	return platform.ConfigTarget{Service: x.Name, Weight: weight}
}

// originOf names a service and a software version of it. The versions of all services have the same names.
func originOf(service, version string) string { return service + "/" + version }

// splitRoute sets the targets of the route of streams. A route with one target names it as its service.
func (s *soak) splitRoute(routes []platform.ConfigRoute) {
	for i := range routes {
		if routes[i].Name != string(kindStream) || len(s.split) == 0 {
			continue
		}
		routes[i].Service = s.split[0].Service
		if len(s.split) > 1 {
			routes[i].Service, routes[i].TrafficSplit = "", s.split
		}
	}
}

// changeSplit changes the split of the route of streams. After the duration of the fault, every other variant restores the split of before.
func (s *soak) changeSplit(f fault) {
	splits := s.deployment.splits()
	before := s.setSplit(splits[f.variant%len(splits)])
	if restores := f.target%2 == 0; restores {
		time.Sleep(f.duration)
		s.setSplit(before)
	}
}

// setSplit publishes a configuration with a split, and returns the one of before.
func (s *soak) setSplit(split []platform.ConfigTarget) (before []platform.ConfigTarget) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before, s.split = s.split, split
	record(s.history, &s.history.splits, splitTime{split: split, at: time.Now()})
	s.publishConfig()
	_, _ = fmt.Fprintf(s.log, "configuration %d splits streams as %v\n", s.version, split)
	return before
}

// versionOf returns the software version of a new upstream. The caller holds mu.
func (s *soak) versionOf(service string, born int64) string {
	if s.deployment.MixedVersions && !s.load.split {
		return softwareVersion(born)
	}
	return fmt.Sprintf("v%d", 1+s.releases[service]%softwareVersions)
}

// rollOut adds upstreams of the next software version of a service, in one region or in both, and after the duration of the fault lets
// those leave that they replace.
func (s *soak) rollOut(f fault) error {
	services := s.deployment.services(s.load.split)
	service := services[f.target%len(services)].Name
	old := s.beginRollout(service, f.target/2%(len(s.deployment.Regions)+1))
	for _, u := range old {
		if err := s.addUpstream(u.region, service); err != nil {
			return err
		}
		s.removeFromFaults(u)
	}
	s.disturbFor(f.duration, partUpstreams)
	defer s.history.startDisturbance(partUpstreams)()
	for _, u := range old {
		s.leave(u, leaveForm(f.variant)%leaveForms)
	}
	time.Sleep(leavingTime)
	for _, u := range old {
		s.erase(platform.UpstreamPrefix + u.ID)
		u.shutDown()
	}
	return nil
}

// beginRollout returns the upstreams of a service that the next software version replaces: those of one region, or of both if the region
// is no index.
func (s *soak) beginRollout(service string, region int) []*registeredUpstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releases[service]++
	regions := s.deployment.regionNames()
	var old []*registeredUpstream
	for _, u := range s.upstreams {
		if u.Service == service && !u.replaced && (region >= len(regions) || u.region == regions[region]) {
			u.replaced = true
			old = append(old, u)
		}
	}
	_, _ = fmt.Fprintf(s.log, "version %s replaces %d upstreams of %s\n", s.versionOf(service, 0), len(old), service)
	return old
}

// leave begins the end of an upstream.
func (s *soak) leave(u *registeredUpstream, form leaveForm) {
	s.history.endServing(u.ID)
	switch form {
	case leavesDraining:
		s.drainUpstream(u)
	case leavesUnregistered:
		s.erase(platform.UpstreamPrefix + u.ID)
	case leavesAtOnce:
		s.erase(platform.UpstreamPrefix + u.ID)
		u.close()
	}
}
