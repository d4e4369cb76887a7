package replica

import (
	"slices"
	"time"
)

// SetCutVMs sets the VMs that have reported, by service, that they are cut from its upstreams. Their shares of the slots and of the rate limits
// fall to the others; those of cold upstreams do not, since a VM that returns asks its upstreams at once whether they are cold. Where only
// some VMs know that one is cut, no share is used twice: the share of a VM only grows with the number of VMs that it knows to be cut.
func (t *Table) SetCutVMs(byService map[string][]string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cutVMs = map[string][]string{}
	for service, names := range byService {
		for _, name := range names {
			if name != t.localVM && slices.Contains(t.vmNames, name) {
				t.cutVMs[service] = append(t.cutVMs[service], name)
			}
		}
	}
}

// LendShares returns the services from whose upstreams this VM is cut, to be reported to the other VMs now. These may use this VM's shares
// of the bounds for the time lent, so it does not use them itself until that has passed after its latest report.
func (t *Table) LendShares(now time.Time, lent time.Duration) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	services := t.cutServices()
	for _, service := range services {
		t.paths[service].lentUntil = now.Add(lent)
	}
	return services
}

// hasLent reports whether other VMs may use this VM's shares of the bounds of a service's upstreams.
func (t *Table) hasLent(now time.Time, service string) bool {
	p := t.paths[service]
	return p != nil && now.Before(p.lentUntil)
}

// sharers returns the number of VMs with a share in the bounds of a service's upstreams.
func (t *Table) sharers(service string) int { return max(1, t.vmCount-len(t.cutVMs[service])) }
