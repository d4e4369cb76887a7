package config

import (
	"fmt"
	"slices"
)

// Warnings returns settings that are valid but probably unintended, grouped by kind of warning. A VM
// accepts a configuration with warnings.
func (s *Snapshot) Warnings() []Problem {
	var list []Problem
	list = append(list, s.missingLinks()...)
	list = append(list, s.sharedFailureDomains()...)
	list = append(list, s.routesWithoutUpstreams()...)
	list = append(list, s.burstsBelowCharge()...)
	list = append(list, s.workspacesWithoutKey()...)
	list = append(list, s.sharedAddresses()...)
	return append(list, s.ineffectivePlacements()...)
}

// missingLinks warns about pairs of regions without a link, whose delay and bandwidth are unknown.
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

// sharedFailureDomains warns about failure domains that are used in several regions.
func (s *Snapshot) sharedFailureDomains() []Problem {
	var list []Problem
	regionOf := map[string]string{}
	check := func(entity entityRef, domain, region string) {
		if firstRegion, ok := regionOf[domain]; ok && firstRegion != region {
			list = append(list, Problem{Path: entity.field("failureDomain"), Message: fmt.Sprintf("%q is also a failure domain of region %q", domain, firstRegion)})
			return
		}
		regionOf[domain] = region
	}
	for i := range s.File.VMs {
		check(entityRef{"vms", i}, s.File.VMs[i].FailureDomain, s.File.VMs[i].Region)
	}
	for i := range s.File.Upstreams {
		check(entityRef{"upstreams", i}, s.File.Upstreams[i].FailureDomain, s.File.Upstreams[i].Region)
	}
	return list
}

// routesWithoutUpstreams warns about routes whose selector matches no active upstream in any allowed
// region.
func (s *Snapshot) routesWithoutUpstreams() []Problem {
	var list []Problem
	for i := range s.File.Routes {
		r := &s.File.Routes[i]
		usable := slices.ContainsFunc(s.RouteUpstreams[r.Name], func(u *Upstream) bool {
			return u.State != StateDraining && (len(r.Regions) == 0 || slices.Contains(r.Regions, u.Region))
		})
		if !usable {
			list = append(list, Problem{Path: entityRef{"routes", i}.field("selector"), Message: fmt.Sprintf("%q picks no active upstream in any allowed region", r.Selector)})
		}
	}
	return list
}

// burstsBelowCharge warns about workspaces whose burst is below the default charge of a route. Requests
// to such a route are always rejected unless the caller asks for fewer tokens.
func (s *Snapshot) burstsBelowCharge() []Problem {
	var largest *Route
	for i := range s.File.Routes {
		if r := &s.File.Routes[i]; largest == nil || defaultCharge(r) > defaultCharge(largest) {
			largest = r
		}
	}
	if largest == nil {
		return nil
	}
	var list []Problem
	for i := range s.File.Workspaces {
		if w := &s.File.Workspaces[i]; w.Burst < defaultCharge(largest) {
			list = append(list, Problem{Path: entityRef{"workspaces", i}.field("burst"), Message: fmt.Sprintf("%d is below the charge of %d tokens of route %q", w.Burst, defaultCharge(largest), largest.Name)})
		}
	}
	return list
}

// defaultCharge returns the smallest charge of a request to the route, in tokens, unless the caller asks
// for fewer tokens.
func defaultCharge(r *Route) int64 {
	if r.Kind == KindModel {
		return r.MaxTokens
	}
	return r.CallTokens
}

// workspacesWithoutKey warns about workspaces that have no valid key and no open route.
func (s *Snapshot) workspacesWithoutKey() []Problem {
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
			list = append(list, Problem{Path: entityRef{"workspaces", i}.field(""), Message: fmt.Sprintf("%q has no valid key and no open route", name)})
		}
	}
	return list
}

// sharedAddresses warns about upstreams with the same address, whose load would be counted twice.
func (s *Snapshot) sharedAddresses() []Problem {
	var list []Problem
	seen := map[string]string{}
	for i := range s.File.Upstreams {
		u := &s.File.Upstreams[i]
		if firstUpstream, ok := seen[u.Address]; ok {
			list = append(list, Problem{Path: entityRef{"upstreams", i}.field("address"), Message: fmt.Sprintf("%q is also the address of upstream %q", u.Address, firstUpstream)})
			continue
		}
		seen[u.Address] = u.Name
	}
	return list
}
