package config

import (
	"fmt"
	"slices"
)

// Warnings returns what a valid configuration is unlikely to intend, in the order of its sections.
// A VM accepts a configuration with warnings.
func (s *Snapshot) Warnings() []Problem {
	var list []Problem
	list = append(list, s.missingLinks()...)
	list = append(list, s.sharedDomains()...)
	list = append(list, s.emptyRoutes()...)
	list = append(list, s.smallBursts()...)
	list = append(list, s.keylessWorkspaces()...)
	list = append(list, s.sharedAddresses()...)
	return append(list, s.idlePlacements()...)
}

// missingLinks warns of pairs of regions without a link: their delay and bandwidth are unknown.
func (s *Snapshot) missingLinks() []Problem {
	var pairs []string
	regions := s.File.Regions
	for i := range regions {
		for j := i + 1; j < len(regions); j++ {
			if s.Links[[2]string{regions[i].Name, regions[j].Name}] == nil {
				pairs = append(pairs, regions[i].Name+":"+regions[j].Name)
			}
		}
	}
	if len(pairs) == 0 {
		return nil
	}
	return []Problem{{Path: "links", Message: fmt.Sprintf("%d pairs of regions have no link, the first is %s", len(pairs), pairs[0])}}
}

// sharedDomains warns of a failure domain that is named in several regions.
func (s *Snapshot) sharedDomains() []Problem {
	var list []Problem
	region := map[string]string{}
	check := func(at place, domain, in string) {
		if was, ok := region[domain]; ok && was != in {
			list = append(list, Problem{Path: at.field("failureDomain"), Message: fmt.Sprintf("%q is also a failure domain of region %q", domain, was)})
			return
		}
		region[domain] = in
	}
	for i := range s.File.VMs {
		check(place{"vms", i}, s.File.VMs[i].FailureDomain, s.File.VMs[i].Region)
	}
	for i := range s.File.Upstreams {
		check(place{"upstreams", i}, s.File.Upstreams[i].FailureDomain, s.File.Upstreams[i].Region)
	}
	return list
}

// emptyRoutes warns of routes whose selector picks no active upstream in any allowed region.
func (s *Snapshot) emptyRoutes() []Problem {
	var list []Problem
	for i := range s.File.Routes {
		r := &s.File.Routes[i]
		usable := slices.ContainsFunc(s.RouteUpstreams[r.Name], func(u *Upstream) bool {
			return u.State != StateDraining && (len(r.Regions) == 0 || slices.Contains(r.Regions, u.Region))
		})
		if !usable {
			list = append(list, Problem{Path: place{"routes", i}.field("selector"), Message: fmt.Sprintf("%q picks no active upstream in any allowed region", r.Selector)})
		}
	}
	return list
}

// smallBursts warns of workspaces whose burst is below the answer or call charge of a route: such a
// request is always refused unless its caller asks for fewer tokens.
func (s *Snapshot) smallBursts() []Problem {
	var largest *Route
	for i := range s.File.Routes {
		if r := &s.File.Routes[i]; largest == nil || charge(r) > charge(largest) {
			largest = r
		}
	}
	if largest == nil {
		return nil
	}
	var list []Problem
	for i := range s.File.Workspaces {
		if w := &s.File.Workspaces[i]; w.Burst < charge(largest) {
			list = append(list, Problem{Path: place{"workspaces", i}.field("burst"), Message: fmt.Sprintf("%d is below the charge of %d tokens of route %q", w.Burst, charge(largest), largest.Name)})
		}
	}
	return list
}

// charge returns the tokens that a request charges at least unless its caller asks for fewer.
func charge(r *Route) int64 {
	if r.Kind == KindModel {
		return r.MaxTokens
	}
	return r.CallTokens
}

// keylessWorkspaces warns of workspaces that have no valid key and no open route.
func (s *Snapshot) keylessWorkspaces() []Problem {
	usable := map[string]bool{}
	for i := range s.File.Keys {
		if k := &s.File.Keys[i]; !k.Withdrawn {
			usable[k.Workspace] = true
		}
	}
	for i := range s.File.Routes {
		usable[s.File.Routes[i].Workspace] = true
	}
	var list []Problem
	for i := range s.File.Workspaces {
		if name := s.File.Workspaces[i].Name; !usable[name] {
			list = append(list, Problem{Path: place{"workspaces", i}.field(""), Message: fmt.Sprintf("%q has no valid key and no open route", name)})
		}
	}
	return list
}

// sharedAddresses warns of upstreams with one address: their load would be counted twice.
func (s *Snapshot) sharedAddresses() []Problem {
	var list []Problem
	seen := map[string]string{}
	for i := range s.File.Upstreams {
		u := &s.File.Upstreams[i]
		if was, ok := seen[u.Address]; ok {
			list = append(list, Problem{Path: place{"upstreams", i}.field("address"), Message: fmt.Sprintf("%q is also the address of upstream %q", u.Address, was)})
			continue
		}
		seen[u.Address] = u.Name
	}
	return list
}
