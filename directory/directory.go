// Package directory decides which VMs a caller should use.
package directory

import (
	"hash/fnv"
	"slices"
	"time"
)

const (
	// heartbeatLimit is the age of the last heartbeat at which a VM counts as dead.
	heartbeatLimit = 1500 * time.Millisecond
	// overloadShare is the filled part of the queue at which callers are steered elsewhere.
	overloadShare = 0.75
	// busyStep groups VMs of similar queue length, so that small differences don't move callers
	// between VMs, which costs prefix knowledge and token transfers.
	busyStep = 0.25
	// spread is the number of VMs of a region on which a workspace's callers concentrate when it
	// has no holder there.
	spread = 2
)

// VM is what is known of a VM of the roster.
type VM struct {
	// Slot is unique.
	Slot          string
	Region        string
	FailureDomain string
	// Heartbeat is when the last heartbeat came; zero if none. The VM itself uses now.
	Heartbeat time.Time
	// Listed says that the platform's list shows the VM as live, ListedLeaving that it shows it as
	// leaving. The list lags: they only count for VMs from which no heartbeat ever came.
	Listed, ListedLeaving bool
	// Ready and Leaving are from the heartbeat.
	Ready, Leaving bool
	// Queue is the number of waiting requests and QueueLimit its bound, above zero.
	Queue, QueueLimit int
}

// Query is what a caller asks for.
type Query struct {
	Workspace string
	// Allowed are the regions that may run the request.
	Allowed []string
	// Holders are the workspace's holder slots.
	Holders []string
	// Region is the caller's region, or empty if not known.
	Region string
	// Limit is the largest number of VMs to return; 0 is no limit.
	Limit int
}

// rank orders VMs: each field matters only if the ones before are equal; less is better.
type rank struct {
	state  int
	far    int
	load   int
	holder int
	chosen int
	hash   uint64
}

type candidate struct {
	vm   VM
	rank rank
}

// States of a VM in the order of preference.
const (
	stateReady = iota
	stateOverloaded
	stateUnheard // Only the platform's list shows it.
	stateNotReady
	stateLeaving
	stateDead
)

// Order returns the slots to use, best first. It returns at least one if any VM of an allowed
// region is live.
func Order(now time.Time, vms []VM, q Query) []string {
	list := make([]candidate, 0, len(vms))
	for _, vm := range vms {
		state := vm.state(now)
		if state == stateDead || !slices.Contains(q.Allowed, vm.Region) {
			continue
		}
		list = append(list, candidate{vm: vm, rank: rankOf(vm, state, q)})
	}
	concentrate(list)
	slices.SortFunc(list, func(a, b candidate) int { return a.rank.compare(b.rank) })
	list = useful(list)
	if q.Limit > 0 && len(list) > q.Limit {
		list = spreadDomains(list, q.Limit)
	}
	slots := make([]string, len(list))
	for i := range list {
		slots[i] = list[i].vm.Slot
	}
	return slots
}

// state returns the VM's state. A VM that sent heartbeats before and is silent now is dead, even if
// the platform still lists it.
func (vm VM) state(now time.Time) int {
	if vm.Heartbeat.IsZero() {
		if vm.Listed && !vm.ListedLeaving {
			return stateUnheard
		}
		return stateDead
	}
	switch {
	case now.Sub(vm.Heartbeat) >= heartbeatLimit:
		return stateDead
	case vm.Leaving:
		return stateLeaving
	case !vm.Ready:
		return stateNotReady
	case vm.filled() >= overloadShare:
		return stateOverloaded
	}
	return stateReady
}

func (vm VM) filled() float64 { return float64(vm.Queue) / float64(max(vm.QueueLimit, 1)) }

func rankOf(vm VM, state int, q Query) rank {
	r := rank{state: state, holder: 1, hash: weight(q.Workspace, vm.Slot)}
	if slices.Contains(q.Holders, vm.Slot) {
		r.holder = 0
	}
	if q.Region != "" && vm.Region != q.Region {
		r.far = 1
	}
	r.load = int(vm.filled() / busyStep)
	return r
}

// concentrate marks the first VMs by hash of each region, as long as they are ready, so that a
// workspace without holders uses few VMs too.
func concentrate(list []candidate) {
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
		c.rank.chosen = 1
		if c.rank.state == stateReady && marked[c.vm.Region] < spread {
			marked[c.vm.Region]++
			c.rank.chosen = 0
		}
	}
}

// useful drops VMs that would refuse, as long as another one would not.
func useful(list []candidate) []candidate {
	n := len(list)
	for n > 1 && list[n-1].rank.state >= stateNotReady && list[0].rank.state < stateNotReady {
		n--
	}
	return list[:n]
}

// spreadDomains keeps the first entries, and replaces the last one by the best VM of another failure
// domain if all of them would fail together.
func spreadDomains(list []candidate, limit int) []candidate {
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

func (r rank) compareHash(o rank) int {
	switch {
	case r.hash < o.hash:
		return -1
	case r.hash > o.hash:
		return 1
	}
	return 0
}

func (r rank) compare(o rank) int {
	a := [...]int{r.state, r.far, r.load, r.holder, r.chosen}
	b := [...]int{o.state, o.far, o.load, o.holder, o.chosen}
	if c := slices.Compare(a[:], b[:]); c != 0 {
		return c
	}
	return r.compareHash(o)
}

// weight is the rendezvous hash of a workspace and a slot.
func weight(workspace, slot string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(workspace))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(slot))
	x := h.Sum64()
	// FNV mixes the last bytes badly into the high bits, which decide the order.
	x = (x ^ (x >> 33)) * 0xff51afd7ed558ccd
	return x ^ (x >> 33)
}
