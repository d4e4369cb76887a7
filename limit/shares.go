package limit

import (
	"math"
	"slices"
	"strings"
	"time"

	"parsleyhatch/config"
	"parsleyhatch/event"
	"parsleyhatch/member"
)

// maxHolders is the number of slots of a region that hold a share of a workspace.
const maxHolders = 2

// Share is what one slot may admit for a workspace.
type Share struct {
	Workspace string
	Slot      string
	// Rate is in tokens a second and Burst in tokens. Both are zero at a slot that is no holder,
	// which admits requests with borrowed tokens only.
	Rate  float64
	Burst int64
	// TotalRate and TotalBurst add up the shares of all slots.
	TotalRate  float64
	TotalBurst int64
}

// Holders returns the slots of a region that hold the workspace's share, the preferred one first:
// the first by rendezvous hashing and the next one in another failure domain.
func Holders(workspace, region string, vms []config.VM) []string {
	domains := map[string]string{}
	var names []string
	for i := range vms {
		if vms[i].Region == region {
			names = append(names, vms[i].Name)
			domains[vms[i].Name] = vms[i].FailureDomain
		}
	}
	return pick(member.Rank(workspace, names), domains)
}

// pick takes at most maxHolders names in different failure domains.
func pick(ranked []string, domains map[string]string) []string {
	holders := make([]string, 0, maxHolders)
	for _, name := range ranked {
		shared := slices.ContainsFunc(holders, func(h string) bool { return domains[h] == domains[name] })
		if shared {
			continue
		}
		if holders = append(holders, name); len(holders) == maxHolders {
			break
		}
	}
	return holders
}

// Shares returns the share of the slot self of each workspace, in the order of the workspaces.
// Rate and burst are divided over regions by RegionShares, or all at home if that is empty, and
// then equally over the holders of a region. The parts never add up to more than the whole.
func Shares(workspaces []config.Workspace, vms []config.VM, self string) []Share {
	list := make([]Share, 0, len(workspaces))
	regions := byRegion(vms)
	for i := range workspaces {
		list = append(list, share(&workspaces[i], regions, self))
	}
	return list
}

// regionSlots are the slots of a region and their failure domains.
type regionSlots struct {
	names   []string
	domains map[string]string
}

func byRegion(vms []config.VM) map[string]*regionSlots {
	regions := map[string]*regionSlots{}
	for i := range vms {
		r := regions[vms[i].Region]
		if r == nil {
			r = &regionSlots{domains: map[string]string{}}
			regions[vms[i].Region] = r
		}
		r.names = append(r.names, vms[i].Name)
		r.domains[vms[i].Name] = vms[i].FailureDomain
	}
	return regions
}

// share computes the share of one workspace.
func share(w *config.Workspace, regions map[string]*regionSlots, self string) Share {
	s := Share{Workspace: w.Name, Slot: self}
	for _, part := range regionParts(w) {
		r := regions[part.region]
		if r == nil {
			continue
		}
		s.TotalRate += part.rate
		s.TotalBurst += part.burst
		if _, here := r.domains[self]; !here {
			continue
		}
		holders := pick(member.Rank(w.Name, r.names), r.domains)
		at := slices.Index(holders, self)
		if at < 0 {
			continue
		}
		n := int64(len(holders))
		s.Rate = part.rate / float64(n)
		s.Burst = part.burst / n
		if int64(at) < part.burst%n {
			s.Burst++
		}
	}
	if s.TotalBurst > w.Burst || s.TotalRate > float64(w.Rate)*(1+1e-9) {
		event.Broken(nil, event.BrokenShares, "workspace", w.Name, "burst", s.TotalBurst, "rate", s.TotalRate)
	}
	return s
}

// regionPart is the part of a region.
type regionPart struct {
	region string
	rate   float64
	burst  int64
}

// regionParts divides rate and burst over regions, in the order of their names. Each part is
// limited to what the earlier ones left, so rounding cannot exceed the whole.
func regionParts(w *config.Workspace) []regionPart {
	if len(w.RegionShares) == 0 {
		return []regionPart{{region: w.Home, rate: float64(w.Rate), burst: w.Burst}}
	}
	names := make([]string, 0, len(w.RegionShares))
	for name := range w.RegionShares {
		names = append(names, name)
	}
	slices.Sort(names)
	rate, burst := float64(w.Rate), w.Burst
	parts := make([]regionPart, 0, len(names))
	for _, name := range names {
		f := w.RegionShares[name]
		p := regionPart{
			region: name,
			rate:   math.Max(0, math.Min(rate, f*float64(w.Rate))),
			burst:  max(0, min(burst, int64(f*float64(w.Burst)))),
		}
		rate -= p.rate
		burst -= p.burst
		parts = append(parts, p)
	}
	return parts
}

// Level is what a slot holds of a workspace's tokens.
type Level struct {
	Workspace string
	// Level may be spent now; it is negative after more was used than charged. Cap bounds it.
	Level, Cap int64
}

// Levels lists the workspaces of which this slot holds a share, in the order of their names.
func (t *Table) Levels(now time.Time) []Level {
	t.mu.Lock()
	defer t.mu.Unlock()
	now = t.advance(now)
	var list []Level
	for name, b := range t.buckets {
		if b.cap == 0 {
			continue
		}
		t.sync(b, now)
		list = append(list, Level{Workspace: name, Level: int64(b.level), Cap: int64(b.cap)})
	}
	slices.SortFunc(list, func(a, b Level) int { return strings.Compare(a.Workspace, b.Workspace) })
	return list
}
