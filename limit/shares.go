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

// maxHolders is the maximum number of slots of a region that hold a share of a workspace.
const maxHolders = 2

// Share is the part of a workspace's rate and burst that one slot may admit.
type Share struct {
	Workspace string
	Slot      string
	// Rate is in tokens per second and Burst in tokens. Both are zero at a slot that is not a holder; such a
	// slot admits requests with borrowed tokens only.
	Rate  float64
	Burst int64
	// TotalRate and TotalBurst are the sums over the shares of all slots.
	TotalRate  float64
	TotalBurst int64
}

// Holders returns the slots of a region that hold the workspace's share: the first by rendezvous hashing, which is
// preferred, and the next one in another failure domain.
func Holders(workspace, region string, vms []config.VM) []string {
	domains := map[string]string{}
	var names []string
	for i := range vms {
		if vms[i].Region == region {
			names = append(names, vms[i].Name)
			domains[vms[i].Name] = vms[i].FailureDomain
		}
	}
	return pickHolders(member.Rank(workspace, names), domains)
}

// pickHolders returns the first names in different failure domains, at most maxHolders.
func pickHolders(ranked []string, domains map[string]string) []string {
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

// ComputeShares returns the share that the slot self has of each workspace, in the order of the workspaces. Rate and
// burst are divided over the regions by RegionShares, or belong to the home region if RegionShares is empty, and are
// then divided equally over the holders of a region. The shares never add up to more than the workspace's rate and
// burst.
func ComputeShares(workspaces []config.Workspace, vms []config.VM, self string) []Share {
	list := make([]Share, 0, len(workspaces))
	regions := groupByRegion(vms)
	for i := range workspaces {
		list = append(list, workspaceShare(&workspaces[i], regions, self))
	}
	return list
}

// regionSlots are the slots of a region and their failure domains.
type regionSlots struct {
	names   []string
	domains map[string]string
}

func groupByRegion(vms []config.VM) map[string]*regionSlots {
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

// workspaceShare computes the share that the slot self has of one workspace.
func workspaceShare(w *config.Workspace, regions map[string]*regionSlots, self string) Share {
	s := Share{Workspace: w.Name, Slot: self}
	for _, part := range splitByRegion(w) {
		r := regions[part.region]
		if r == nil {
			continue
		}
		s.TotalRate += part.rate
		s.TotalBurst += part.burst
		if _, here := r.domains[self]; !here {
			continue
		}
		holders := pickHolders(member.Rank(w.Name, r.names), r.domains)
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
		event.FailInvariant(nil, event.BrokenShares, "workspace", w.Name, "burst", s.TotalBurst, "rate", s.TotalRate)
	}
	return s
}

// regionShare is the part of a workspace's rate and burst that belongs to a region.
type regionShare struct {
	region string
	rate   float64
	burst  int64
}

// splitByRegion divides rate and burst over regions, in the order of their names. Each part is limited to the
// remainder of the earlier parts, so that rounding cannot make the sum exceed the workspace's rate and burst.
func splitByRegion(w *config.Workspace) []regionShare {
	if len(w.RegionShares) == 0 {
		return []regionShare{{region: w.Home, rate: float64(w.Rate), burst: w.Burst}}
	}
	names := make([]string, 0, len(w.RegionShares))
	for name := range w.RegionShares {
		names = append(names, name)
	}
	slices.Sort(names)
	rate, burst := float64(w.Rate), w.Burst
	parts := make([]regionShare, 0, len(names))
	for _, name := range names {
		f := w.RegionShares[name]
		p := regionShare{
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

// Level is the state of a workspace's bucket at one slot, in tokens.
type Level struct {
	Workspace string
	// Level is the number of available tokens, at most Cap. It is negative after requests used more than they
	// were charged.
	Level, Cap int64
}

// Levels returns the bucket levels of the workspaces of which this slot holds a share, ordered by name.
func (t *Table) Levels(now time.Time) []Level {
	t.mu.Lock()
	defer t.mu.Unlock()
	now = t.advanceClock(now)
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
