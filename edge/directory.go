package edge

import (
	"encoding/json"
	"net/http"
	"time"

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
	addresses := e.Addresses(now, h.URL.Query().Get("region"))
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

// Addresses returns the VMs of a caller's region that take callers, or those of all regions if there are
// none. A VM in the caller's region may pass every request on to any home.
func (e *Edge) Addresses(now time.Time, region string) []string {
	list := e.addressesIn(now, region)
	if len(list) > 0 {
		return list
	}
	for _, other := range e.Fleet.Regions(now) {
		list = append(list, e.callers(e.Fleet.Ready(now, other))...)
	}
	if e.Ready(now) {
		list = append(list, e.Settings.CallerListen)
	}
	return list[:min(len(list), maxAddresses)]
}

func (e *Edge) addressesIn(now time.Time, region string) []string {
	list := e.callers(e.Fleet.Ready(now, region))
	if region == e.Settings.Region && e.Ready(now) {
		list = append(list, e.Settings.CallerListen)
	}
	return list[:min(len(list), maxAddresses)]
}

func (e *Edge) callers(members []fleet.Member) []string {
	list := make([]string, 0, len(members)+1)
	for _, m := range members {
		list = append(list, m.CallerAddress)
	}
	return list
}
