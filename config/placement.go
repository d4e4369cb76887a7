package config

import (
	"fmt"
	"slices"

	"parsleyhatch/selector"
)

// maxReplicas bounds the smallest pool of a placement.
const maxReplicas = 100_000

func (v *validator) checkPlacements() {
	names, models := map[string]bool{}, map[string]bool{}
	for i := range v.file.Placements {
		p, at := &v.file.Placements[i], place{"placements", i}
		v.name(names, at, "name", p.Name, "-_.")
		v.name(models, at, "model", p.Model, "-_./:")
		v.safe(at, "version", p.Version, "-_.")
		v.safe(at, "role", p.Role, "-_.")
		v.checkAdapters(at, p.Adapters)
		v.between(at, "minReplicas", int64(p.MinReplicas), 0, maxReplicas)
		if _, err := selector.Parse(p.Selector); err != nil {
			v.add(at.field("selector"), "%v", err)
		}
	}
}

func (v *validator) checkAdapters(at place, adapters []string) {
	seen := map[string]bool{}
	for j, name := range adapters {
		v.name(seen, at, fmt.Sprintf("adapters[%d]", j), name, "-_.")
	}
}

// Selected lists the engines of a region that the placement may use.
func (s *Snapshot) Selected(p *Placement, region string) []*Upstream {
	sel, err := selector.Parse(p.Selector)
	if err != nil {
		return nil // Validate has reported it.
	}
	var list []*Upstream
	for i := range s.File.Upstreams {
		u := &s.File.Upstreams[i]
		if u.Kind == KindModel && u.Region == region && sel.Matches(u.Labels) {
			list = append(list, u)
		}
	}
	return list
}

// idlePlacements warns of placements that order nothing, or for nobody.
func (s *Snapshot) idlePlacements() []Problem {
	var list []Problem
	for i := range s.File.Placements {
		p, at := &s.File.Placements[i], place{"placements", i}
		if s.Models[p.Model] == nil {
			list = append(list, Problem{Path: at.field("model"), Message: fmt.Sprintf("no route has the model %q", p.Model)})
		}
		unfenced, usable := s.countSelected(p)
		if usable == 0 {
			list = append(list, Problem{Path: at.field("selector"), Message: fmt.Sprintf("%q picks no active engine that checks fencing numbers", p.Selector)})
		}
		if unfenced > 0 {
			list = append(list, Problem{Path: at.field("selector"), Message: fmt.Sprintf("%d engines do not check fencing numbers and get no orders", unfenced)})
		}
	}
	return list
}

// countSelected counts the engines of all regions that get no orders, and those that may get them.
func (s *Snapshot) countSelected(p *Placement) (unfenced, usable int) {
	for i := range s.File.Regions {
		for _, u := range s.Selected(p, s.File.Regions[i].Name) {
			if !u.ChecksFencing {
				unfenced++
			} else if u.State != StateDraining {
				usable++
			}
		}
	}
	return unfenced, usable
}

// Runs reports whether an engine that runs the model with the version and adapters serves the
// placement. What the placement does not name does not matter.
func (p *Placement) Runs(model, version string, adapters []string) bool {
	if p.Model != model || p.Version != "" && p.Version != version {
		return false
	}
	for _, a := range p.Adapters {
		if !slices.Contains(adapters, a) {
			return false
		}
	}
	return true
}
