package edge

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"parsleyhatch/event"
	"parsleyhatch/fleet"
)

const (
	// directoryTTL is the validity of an answer. It is short, since callers use a lost VM up to then.
	directoryTTL = 2 * time.Second
	// maxAddresses is the number of VMs that an answer names at most.
	maxAddresses = 64
)

// directoryAnswer names the VMs that a caller should use.
type directoryAnswer struct {
	Addresses []string `json:"addresses"`
	TTL       float64  `json:"ttl_s"`
}

// serveDirectory answers at once from what this VM knows.
func (e *Edge) serveDirectory(w http.ResponseWriter, h *http.Request) {
	now := e.Now()
	query := h.URL.Query()
	addresses := e.Addresses(now, query.Get("region"), query.Get("name"))
	if len(addresses) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := json.Marshal(directoryAnswer{
		Addresses: addresses, TTL: min(directoryTTL, e.Settings.Bounds.DirectoryTTL).Seconds(),
	})
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

// Addresses returns the VMs of a caller's region that take callers, or those that leave and still do. If
// there are none, it returns those of the regions that may run most routes of the host.
func (e *Edge) Addresses(now time.Time, region, host string) []string {
	list := e.addressesIn(now, region)
	if len(list) == 0 {
		list = e.leavingIn(now, region)
	}
	if len(list) == 0 {
		event.NamedElsewhere.Log(e.Log, "region", region, "host", host)
		list = e.addressesElsewhere(now, host)
	}
	return list[:min(len(list), maxAddresses)]
}

// addressesIn returns the VMs of a region that take callers. Those that must refuse requests with keys, since
// they do not reach the store, are named only if there are no others.
func (e *Edge) addressesIn(now time.Time, region string) []string {
	var fresh, stale []string
	ready := e.Fleet.Ready(now, region)
	here := region == e.Settings.Region && e.Ready(now)
	most := 1
	if here {
		most = e.weight()
	}
	for _, m := range ready {
		most = max(most, m.Weight)
	}
	for _, m := range ready {
		if rand.IntN(most) >= m.Weight {
			continue // A caller picks one at random, so a weaker VM is named less often.
		}
		if m.Fresh {
			fresh = append(fresh, m.CallerAddress)
		} else {
			stale = append(stale, m.CallerAddress)
		}
	}
	if here && rand.IntN(most) < e.weight() {
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

func (e *Edge) leavingIn(now time.Time, region string) []string {
	list := e.callers(e.Fleet.Leaving(now, region))
	if leaving, _ := e.isLeaving(now); leaving && region == e.Settings.Region && e.accepts(now) {
		list = append(list, e.Settings.CallerListen)
	}
	return list
}

// addressesElsewhere returns the VMs of the regions that may run most routes of the host.
func (e *Edge) addressesElsewhere(now time.Time, host string) []string {
	regions := e.Fleet.Regions(now)
	if e.Ready(now) && !slices.Contains(regions, e.Settings.Region) {
		regions = append(regions, e.Settings.Region)
	}
	t := e.table()
	if t == nil {
		return nil
	}
	most := 0
	for _, region := range regions {
		most = max(most, t.Homed(host, region))
	}
	var list []string
	for _, region := range regions {
		if t.Homed(host, region) == most {
			list = append(list, e.addressesIn(now, region)...)
		}
	}
	return list
}

func (e *Edge) callers(members []fleet.Member) []string {
	list := make([]string, 0, len(members)+1)
	for _, m := range members {
		list = append(list, m.CallerAddress)
	}
	return list
}
