package fleet

import (
	"cmp"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"parsleyhatch/vmwire"
)

// sendVMLists sends a full presence to a few random VMs.
func (f *Fleet) sendVMLists() {
	slots := f.connectedSlots()
	rand.Shuffle(len(slots), func(i, j int) { slots[i], slots[j] = slots[j], slots[i] })
	for _, slot := range slots[:min(vmListReceivers, len(slots))] {
		if s := f.session(slot); s != nil {
			f.sendFullPresence(s, f.Now().Sub(f.startedAt) < fullListTime)
		}
	}
}

// knownVMs returns the VMs that were seen recently.
func (f *Fleet) knownVMs(now time.Time) []vmwire.KnownVM {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]vmwire.KnownVM, 0, len(f.candidates))
	for address, c := range f.candidates {
		if age := now.Sub(c.lastSeenAt); age < vmListMaxAge && c.slot != "" {
			list = append(list, vmwire.KnownVM{Slot: c.slot, Region: c.region, Address: address, Age: vmwire.AgeOf(now, c.lastSeenAt)})
		}
	}
	return list
}

// listedVMs returns up to vmListRegionSize VMs of each region. Of other regions all VMs choose the same ones, so that they
// stay known, and those that may report the usage of the region; of its own region each VM lists random ones.
func (f *Fleet) listedVMs(known []vmwire.KnownVM) []vmwire.KnownVM {
	byRegion := map[string][]vmwire.KnownVM{}
	for _, row := range known {
		byRegion[row.Region] = append(byRegion[row.Region], row)
	}
	var listed []vmwire.KnownVM
	for region, rows := range byRegion {
		if region == f.Endpoint.Self.Region {
			rand.Shuffle(len(rows), func(i, j int) { rows[i], rows[j] = rows[j], rows[i] })
		} else {
			slices.SortFunc(rows, func(a, b vmwire.KnownVM) int { return cmp.Compare(a.Slot, b.Slot) })
			rest := rows[min(usageReporters, len(rows)):]
			slices.SortFunc(rest, func(a, b vmwire.KnownVM) int { return cmp.Compare(addressHash(a.Address), addressHash(b.Address)) })
		}
		listed = append(listed, rows[:min(vmListRegionSize, len(rows))]...)
	}
	return listed
}

// addressHash orders VMs in a way that all VMs agree on.
func addressHash(address string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(address))
	return h.Sum64() * 0x9e3779b97f4a7c15
}

// addCandidates adds or refreshes dial candidates from the VM list of another VM.
func (f *Fleet) addCandidates(now time.Time, rows []vmwire.KnownVM) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, row := range rows {
		age := row.Age.Duration()
		if row.Slot == f.Endpoint.Self.Slot || age > vmListMaxAge {
			continue
		}
		c := f.candidates[row.Address]
		if c == nil {
			c = &candidate{slot: row.Slot, region: row.Region}
			if row.Slot < f.Endpoint.Self.Slot {
				c.nextDialAt = now.Add(inboundSessionWait)
			}
			f.candidates[row.Address] = c
		}
		if seenAt := now.Add(-age); seenAt.After(c.lastSeenAt) {
			c.lastSeenAt = seenAt
		}
	}
}
