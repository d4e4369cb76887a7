package edge

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"parsleyhatch/event"
	"parsleyhatch/fleet"
	"parsleyhatch/route"
)

const (
	// directoryTTL is the validity of an answer. It is short, since callers keep using a failed VM until the
	// answer expires.
	directoryTTL = 2 * time.Second
	// fallbackTTL is the validity of an answer with VMs of other regions. It is shorter, since these may refuse
	// requests that must not run there, and callers return once their own region or a home region has a ready VM.
	fallbackTTL = 500 * time.Millisecond
	// maxAddresses is the maximum number of VMs in an answer.
	maxAddresses = 64
)

// directoryAnswer lists the VMs that a caller should use.
type directoryAnswer struct {
	Addresses []string `json:"addresses"`
	TTL       float64  `json:"ttl_s"`
}

// serveDirectory answers from the local state of this VM, without calls to other VMs.
func (e *Edge) serveDirectory(w http.ResponseWriter, h *http.Request) {
	now := e.Now()
	query := h.URL.Query()
	addresses, ttl := e.Addresses(now, query.Get("region"), query.Get("name"))
	if len(addresses) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := json.Marshal(directoryAnswer{
		Addresses: addresses, TTL: min(ttl, e.Settings.Bounds.DirectoryTTL).Seconds(),
	})
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

// Addresses returns the addresses of the VMs of a caller's region that accept callers. If there are none, it
// returns the VMs of the region that are shutting down and still accept requests, and otherwise VMs of the
// regions that may run the most restricted routes of the host. The duration is the validity of the addresses.
func (e *Edge) Addresses(now time.Time, region, host string) ([]string, time.Duration) {
	ttl := directoryTTL
	addresses := e.addressesIn(now, region)
	if len(addresses) == 0 {
		addresses = e.leavingIn(now, region)
	}
	if len(addresses) == 0 {
		event.DirectoryFallback.Log(e.Log, "region", region, "host", host)
		addresses = e.fallbackAddresses(now, host)
		ttl = fallbackTTL
	}
	return addresses[:min(len(addresses), maxAddresses)], ttl
}

// addressesIn returns the VMs of a region that accept callers. VMs whose keys are stale refuse requests with
// keys, so they are returned only if there are no others.
func (e *Edge) addressesIn(now time.Time, region string) []string {
	var fresh, stale []string
	ready := e.Fleet.ReadyMembers(now, region)
	here := region == e.Settings.Region && e.Ready(now)
	maxWeight := 1
	if here {
		maxWeight = e.weight()
	}
	for _, m := range ready {
		maxWeight = max(maxWeight, m.Weight)
	}
	avoidCut := e.enoughReach(ready, here)
	for _, m := range ready {
		if avoidCut && len(m.CutServices) > 0 {
			continue
		}
		if rand.IntN(maxWeight) >= m.Weight {
			continue // Callers pick an address at random, so a VM with less capacity is listed less often.
		}
		if m.KeysCurrent {
			fresh = append(fresh, m.CallerAddress)
		} else {
			stale = append(stale, m.CallerAddress)
		}
	}
	if here && !(avoidCut && len(e.Replicas.CutServices()) > 0) && rand.IntN(maxWeight) < e.weight() {
		if e.keysFresh(now) {
			fresh = append(fresh, e.Settings.CallerListen)
		} else {
			stale = append(stale, e.Settings.CallerListen)
		}
	}
	if len(fresh) > 0 {
		return fresh
	}
	return stale
}

// enoughReach reports whether at least half of the VMs reach the upstreams of all services, so that callers need not use those that
// are cut. Otherwise too few VMs would take the connections of all callers.
func (e *Edge) enoughReach(ready []fleet.Member, here bool) bool {
	all, reaching := len(ready), 0
	for _, m := range ready {
		if len(m.CutServices) == 0 {
			reaching++
		}
	}
	if here {
		all++
		if len(e.Replicas.CutServices()) == 0 {
			reaching++
		}
	}
	return 2*reaching >= all
}

func (e *Edge) leavingIn(now time.Time, region string) []string {
	addresses := e.callerAddresses(e.Fleet.LeavingMembers(now, region))
	if leaving, _ := e.isLeaving(now); leaving && region == e.Settings.Region && e.acceptsRequests(now) {
		addresses = append(addresses, e.Settings.CallerListen)
	}
	return addresses
}

// fallbackAddresses returns the VMs of the regions that may run the most restricted routes of the host. VMs that are
// shutting down are returned only if no region with a ready VM may run any of these routes.
func (e *Edge) fallbackAddresses(now time.Time, host string) []string {
	t := e.table()
	if t == nil {
		return nil
	}
	ready := e.Fleet.Regions(now)
	if e.Ready(now) && !slices.Contains(ready, e.Settings.Region) {
		ready = append(ready, e.Settings.Region)
	}
	addresses, routes := mostRoutes(t, host, ready, func(region string) []string { return e.addressesIn(now, region) })
	if len(addresses) > 0 && routes > 0 {
		return addresses
	}
	leaving := e.Fleet.LeavingRegions(now)
	if !slices.Contains(leaving, e.Settings.Region) {
		leaving = append(leaving, e.Settings.Region)
	}
	leavingAddresses, leavingRoutes := mostRoutes(t, host, leaving, func(region string) []string { return e.leavingIn(now, region) })
	if len(addresses) == 0 || leavingRoutes > 0 {
		return leavingAddresses
	}
	return addresses
}

// mostRoutes returns the addresses in those regions that may run the most restricted routes of the host, and the
// number of these routes.
func mostRoutes(t *route.Table, host string, regions []string, addressesIn func(region string) []string) (addresses []string, routes int) {
	for _, region := range regions {
		in := addressesIn(region)
		n := t.RestrictedRoutes(host, region)
		switch {
		case len(in) == 0 || len(addresses) > 0 && n < routes:
		case len(addresses) > 0 && n == routes:
			addresses = append(addresses, in...)
		default:
			addresses, routes = in, n
		}
	}
	return addresses, routes
}

func (e *Edge) callerAddresses(members []fleet.Member) []string {
	addresses := make([]string, 0, len(members)+1)
	for _, m := range members {
		addresses = append(addresses, m.CallerAddress)
	}
	return addresses
}
