package config

import (
	"fmt"
	"slices"

	"parsleyhatch/selector"
)

// maxReplicas is the upper limit of MinReplicas of a placement.
const maxReplicas = 100_000

func (v *validator) checkPlacements() {
	names, models := map[string]bool{}, map[string]bool{}
	for i := range v.file.Placements {
		p, entity := &v.file.Placements[i], entityRef{"placements", i}
		v.checkName(names, entity, "name", p.Name, "-_.")
		v.checkName(models, entity, "model", p.Model, "-_./:")
		v.checkCharacters(entity, "version", p.Version, "-_.")
		v.checkCharacters(entity, "role", p.Role, "-_.")
		v.checkAdapters(entity, p.Adapters)
		v.checkIntRange(entity, "minReplicas", int64(p.MinReplicas), 0, maxReplicas)
		if _, err := selector.Parse(p.Selector); err != nil {
			v.addProblem(entity.field("selector"), "%v", err)
		}
	}
}

func (v *validator) checkAdapters(entity entityRef, adapters []string) {
	seen := map[string]bool{}
	for j, name := range adapters {
		v.checkName(seen, entity, fmt.Sprintf("adapters[%d]", j), name, "-_.")
	}
}

// PlacementEngines returns the engines of a region that the placement's selector matches.
func (s *Snapshot) PlacementEngines(p *Placement, region string) []*Upstream {
	sel, err := selector.Parse(p.Selector)
	if err != nil {
		return nil // Not reached in a validated configuration.
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

// ineffectivePlacements warns about placements whose model no route has, and about placements whose
// engines get no orders because they are draining or do not check fencing numbers.
func (s *Snapshot) ineffectivePlacements() []Problem {
	var list []Problem
	for i := range s.File.Placements {
		p, entity := &s.File.Placements[i], entityRef{"placements", i}
		if s.Models[p.Model] == nil {
			list = append(list, Problem{Path: entity.field("model"), Message: fmt.Sprintf("no route has the model %q", p.Model)})
		}
		unfenced, usable := s.countEngines(p)
		if usable == 0 {
			list = append(list, Problem{Path: entity.field("selector"), Message: fmt.Sprintf("%q picks no active engine that checks fencing numbers", p.Selector)})
		}
		if unfenced > 0 {
			list = append(list, Problem{Path: entity.field("selector"), Message: fmt.Sprintf("%d engines do not check fencing numbers and get no orders", unfenced)})
		}
	}
	return list
}

// countEngines counts, over all regions, the selected engines that get no orders because they do not
// check fencing numbers, and those that may get orders.
func (s *Snapshot) countEngines(p *Placement) (unfenced, usable int) {
	for i := range s.File.Regions {
		for _, u := range s.PlacementEngines(p, s.File.Regions[i].Name) {
			if !u.ChecksFencing {
				unfenced++
			} else if u.State != StateDraining {
				usable++
			}
		}
	}
	return unfenced, usable
}

// SatisfiedBy reports whether an engine with the loaded model, version and adapters satisfies the placement.
// An empty version in the placement matches every version, and further adapters are ignored.
func (p *Placement) SatisfiedBy(model, version string, adapters []string) bool {
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
