// Package directory ranks the VMs that a caller should use.
package directory

import (
	"hash/fnv"
	"slices"
	"time"
)

const (
	// heartbeatTimeout is the age of the last heartbeat from which a VM counts as dead.
	heartbeatTimeout = 1500 * time.Millisecond
	// overloadThreshold is the queue utilization from which callers are directed to other VMs.
	overloadThreshold = 0.75
	// queueLoadStep is the step to which queue utilization is rounded down, so that small differences don't
	// move callers between VMs. A move loses cached prefix state and requires token transfers.
	queueLoadStep = 0.25
	// vmsPerWorkspace is the number of VMs of a region to which the callers of a workspace are directed if it
	// has no holder there.
	vmsPerWorkspace = 2
)

// VM is the known state of a VM of the roster.
type VM struct {
	// Slot is the unique name of the VM's place in the roster.
	Slot          string
	Region        string
	FailureDomain string
	// Heartbeat is the time of the last heartbeat, or zero if there was none. For the local VM it is the
	// current time.
	Heartbeat time.Time
	// Listed is set if the platform's list shows the VM as live, and ListedLeaving if it shows it as leaving.
	// The list is delayed, so both only count for VMs that never sent a heartbeat.
	Listed, ListedLeaving bool
	// Ready and Leaving are the states reported in the heartbeat.
	Ready, Leaving bool
	// Queue is the number of waiting requests, and QueueLimit its bound, above zero.
	Queue, QueueLimit int
}

// Query holds the properties of a caller's lookup.
type Query struct {
	Workspace string
	// Allowed are the regions that may run the request.
	Allowed []string
	// Holders are the slots of the VMs that hold a share of the workspace's tokens.
	Holders []string
	// Region is the caller's region, or empty if it is not known.
	Region string
	// Limit is the largest number of VMs to return; 0 means no limit.
	Limit int
}

// rank is the sort key of a VM. Fields are compared in their order, and lower values are preferred.
type rank struct {
	state        int
	otherRegion  int
	load         int
	notHolder    int
	notPreferred int
	hash         uint64
}

type candidate struct {
	vm   VM
	rank rank
}

// States of a VM in order of preference.
const (
	stateReady = iota
	stateOverloaded
	stateListedOnly // Shown by the platform's list, but never sent a heartbeat.
	stateNotReady
	stateLeaving
	stateDead
)

// Order returns the slots to use, best first. It returns at least one slot if any VM of an allowed region is
// live.
func Order(now time.Time, vms []VM, q Query) []string {
	list := make([]candidate, 0, len(vms))
	for _, vm := range vms {
		state := vm.state(now)
		if state == stateDead || !slices.Contains(q.Allowed, vm.Region) {
			continue
		}
		list = append(list, candidate{vm: vm, rank: rankOf(vm, state, q)})
	}
	markPreferred(list)
	slices.SortFunc(list, func(a, b candidate) int { return a.rank.compare(b.rank) })
	list = dropRefusing(list)
	if q.Limit > 0 && len(list) > q.Limit {
		list = limitAcrossDomains(list, q.Limit)
	}
	slots := make([]string, len(list))
	for i := range list {
		slots[i] = list[i].vm.Slot
	}
	return slots
}

// state returns the VM's state. A VM whose heartbeats have stopped is dead, even if the platform still lists
// it.
func (vm VM) state(now time.Time) int {
	if vm.Heartbeat.IsZero() {
		if vm.Listed && !vm.ListedLeaving {
			return stateListedOnly
		}
		return stateDead
	}
	switch {
	case now.Sub(vm.Heartbeat) >= heartbeatTimeout:
		return stateDead
	case vm.Leaving:
		return stateLeaving
	case !vm.Ready:
		return stateNotReady
	case vm.queueLoad() >= overloadThreshold:
		return stateOverloaded
	}
	return stateReady
}

func (vm VM) queueLoad() float64 { return float64(vm.Queue) / float64(max(vm.QueueLimit, 1)) }

func rankOf(vm VM, state int, q Query) rank {
	r := rank{state: state, notHolder: 1, hash: rendezvousHash(q.Workspace, vm.Slot)}
	if slices.Contains(q.Holders, vm.Slot) {
		r.notHolder = 0
	}
	if q.Region != "" && vm.Region != q.Region {
		r.otherRegion = 1
	}
	r.load = int(vm.queueLoad() / queueLoadStep)
	return r
}

// markPreferred marks the first ready VMs of each region in hash order, so that a workspace without holders
// uses few VMs too.
func markPreferred(list []candidate) {
	byHash := make([]int, len(list))
	for i := range list {
		byHash[i] = i
	}
	slices.SortFunc(byHash, func(a, b int) int {
		return list[a].rank.compareHash(list[b].rank)
	})
	marked := map[string]int{}
	for _, i := range byHash {
		c := &list[i]
		c.rank.notPreferred = 1
		if c.rank.state == stateReady && marked[c.vm.Region] < vmsPerWorkspace {
			marked[c.vm.Region]++
			c.rank.notPreferred = 0
		}
	}
}

// dropRefusing removes VMs that would refuse the caller, if another VM would not.
func dropRefusing(list []candidate) []candidate {
	n := len(list)
	for n > 1 && list[n-1].rank.state >= stateNotReady && list[0].rank.state < stateNotReady {
		n--
	}
	return list[:n]
}

// limitAcrossDomains returns the first entries up to the limit. If all of them are in one failure domain, it
// replaces the last one by the best VM of another domain.
func limitAcrossDomains(list []candidate, limit int) []candidate {
	kept := list[:limit]
	if limit < 2 {
		return kept
	}
	for _, c := range kept[1:] {
		if c.vm.FailureDomain != kept[0].vm.FailureDomain {
			return kept
		}
	}
	for _, c := range list[limit:] {
		if c.vm.FailureDomain != kept[0].vm.FailureDomain && c.rank.state <= stateOverloaded {
			return append(slices.Clone(kept[:limit-1]), c)
		}
	}
	return kept
}

func (r rank) compareHash(other rank) int {
	switch {
	case r.hash < other.hash:
		return -1
	case r.hash > other.hash:
		return 1
	}
	return 0
}

func (r rank) compare(other rank) int {
	a := [...]int{r.state, r.otherRegion, r.load, r.notHolder, r.notPreferred}
	b := [...]int{other.state, other.otherRegion, other.load, other.notHolder, other.notPreferred}
	if c := slices.Compare(a[:], b[:]); c != 0 {
		return c
	}
	return r.compareHash(other)
}

// rendezvousHash returns the rendezvous hash of a workspace and a slot.
func rendezvousHash(workspace, slot string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(workspace))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(slot))
	x := h.Sum64()
	// FNV mixes the last bytes badly into the high bits, which determine the order.
	x = (x ^ (x >> 33)) * 0xff51afd7ed558ccd
	return x ^ (x >> 33)
}
