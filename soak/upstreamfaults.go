package soak

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"parsleyhatch/platform"
	"parsleyhatch/standin/faultlink"
)

const (
	// addressReuse is the time after the end of an upstream from which another one may have its address.
	addressReuse = 2 * time.Second
	// flapTime is the time for which an upstream that flaps can, and then can't, be reached.
	flapTime = 150 * time.Millisecond
)

// reuseAddress crashes an upstream, or lets it fall silent, and gives its address to one of another service. Every other variant of each
// form removes the registration of the earlier upstream only after that.
func (s *soak) reuseAddress(f fault) error {
	u := s.pickUpstream(f.target)
	s.removeUpstream(u)
	defer s.history.startDisturbance(partUpstreams)()
	var err error
	if silent := f.variant%2 == 1; silent {
		u.links.SetFault(faultlink.DropsAll)
		err = u.links.Hang()
	}
	u.close()
	keeps := f.variant/2%2 == 1
	if !keeps {
		s.erase(platform.UpstreamPrefix + u.ID)
	}
	time.Sleep(addressReuse)
	u.shutDown()
	u.links.SetFault(faultlink.Normal)
	services := s.deployment.services(s.load.split)
	current := slices.IndexFunc(services, func(x deployedService) bool { return x.Name == u.Service })
	next := services[(current+1)%len(services)].Name
	err = errors.Join(err, s.addUpstreamAt(u.region, next, u.number()), s.addUpstream(u.region, u.Service))
	time.Sleep(f.duration)
	s.erase(platform.UpstreamPrefix + u.ID)
	return err
}

// crashBehindCut cuts upstreams from all VMs, crashes them, and starts them again with the ids that they had.
func (s *soak) crashBehindCut(f fault, upstreams []*registeredUpstream) error {
	var ends []func()
	var links faultlink.Links
	for _, u := range upstreams {
		ends = append(ends, s.history.startDisturbance(partLinkTo(u.ID)))
		s.history.endServing(u.ID)
		u.links.SetFault(faultlink.DropsAll)
		links = append(links, u.links...)
	}
	err := links.Hang()
	s.disturbFor(f.duration/2, partUpstreams)
	for _, u := range upstreams {
		u.close()
	}
	s.disturbFor(f.duration/2, partUpstreams)
	for i, u := range upstreams {
		err = errors.Join(err, s.restartUpstream(u), u.links.Each(func(link *faultlink.Link) error {
			link.SetFault(faultlink.Normal)
			link.ResetConnections()
			return link.Answer()
		}))
		ends[i]()
	}
	return err
}

// restartUpstream starts an upstream again, with its id, address and software version, unless another fault has removed it.
func (s *soak) restartUpstream(u *registeredUpstream) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	index := slices.Index(s.upstreams, u)
	if index < 0 {
		return nil
	}
	server, err := s.startUpstream(u.ID, u.Service, u.Version)
	if err != nil {
		return err
	}
	s.lastBorn++
	x := &registeredUpstream{Upstream: server, links: u.links, region: u.region, born: s.lastBorn, portOf: u.number(), startMillis: time.Now().UnixMilli()}
	x.replaced = u.replaced
	s.setService(x)
	for _, link := range x.links {
		link.SetTarget(x.Address())
	}
	s.upstreams[index] = x
	s.registerUpstream(x, "ready")
	return nil
}

// flap resets the connections to an upstream and refuses new ones, in turns, for the duration of the fault.
func (s *soak) flap(f fault) error {
	u := s.pickUpstream(f.target)
	defer s.history.startDisturbance(partUpstreams, partLinkTo(u.ID))()
	for end := time.Now().Add(f.duration); time.Now().Before(end); time.Sleep(flapTime) {
		u.links.Refuse(true)
		time.Sleep(flapTime)
		if err := u.links.Each((*faultlink.Link).Accept); err != nil {
			return err
		}
	}
	return nil
}

// number is the number from which the ports of the upstream derive.
func (u *registeredUpstream) number() int64 { return cmp.Or(u.portOf, u.born) }

// isListed reports whether an upstream is among those that faults pick.
func (s *soak) isListed(u *registeredUpstream) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Contains(s.upstreams, u)
}
