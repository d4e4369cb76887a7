package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// foreignRequests is the number of requests after the entries of the other writer were written.
	foreignRequests = 120
	// requestInterval is the time between two requests. It is below the time of a run, so that all that count as replicas get some.
	requestInterval = 4 * time.Millisecond
)

// playOtherWriter writes entries of another writer in which fields are missing, of another type or spelled otherwise. Such an entry names no
// replica to use. At the addresses that they name, servers of another installation answer.
func playOtherWriter(d *deployment, trouble bool) (bool, error) {
	const key = "key-of-review"
	d.putConfig(map[string]any{
		"version": 7,
		"routes": []any{
			route("r-order", "/sinal/", "unsafe", "balcao", 2000, 1, false),
			route("r-state", "/estado/", "safe", "balcao", 2000, 2, false),
		},
		"services": []any{service("balcao", 110)},
		"limits":   limits, "tenants": []any{tenant("tenant-of-review", key)},
	})
	for i := range 2 {
		if _, err := d.startReplica(i, fmt.Sprintf("i-own%d", i), "balcao", "norte", "-prefix", "own "); err != nil {
			return false, err
		}
	}
	for i := range 2 {
		if err := d.startVM(i, []string{"norte"}, "norte", []int{0, 1}); err != nil {
			return false, err
		}
	}
	if err := d.waitReady(15 * time.Second); err != nil {
		return false, err
	}
	entries := d.foreignEntries()
	for i, e := range entries {
		address, err := d.startForeign(10+i, e.id)
		if err != nil {
			return false, err
		}
		e.fields[e.addressField] = address
		if trouble {
			value, _ := json.Marshal(e.fields)
			d.store.put("servers/"+e.id, value)
			d.record.note("another writer writes servers/%s, %s: %s", e.id, e.what, value)
		}
	}
	time.Sleep(1500 * time.Millisecond)
	foreign, own := 0, 0
	c := d.newClient()
	var mu sync.Mutex
	var wait sync.WaitGroup
	for i := range foreignRequests {
		method, path := http.MethodPost, "/sinal/2f"
		if i%2 == 1 {
			method, path = http.MethodGet, "/estado/2f"
		}
		wait.Go(func() {
			a := c.send(d.vms[i/2%len(d.vms)], method, path, key, 2*time.Second)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case strings.HasPrefix(a.body, "foreign "):
				foreign++
				d.record.note("ROUTE broken: %s %s: %s, from a server that no entry names: %q", method, path, a.String(), strings.TrimSpace(a.body))
			case strings.HasPrefix(a.body, "own "):
				own++
			}
		})
		time.Sleep(requestInterval)
	}
	wait.Wait()
	d.record.note("%d requests were run by replicas, %d by servers that are none", own, foreign)
	if own+foreign == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return foreign > 0, nil
}

// foreignEntry is an entry of another writer that names no replica to use.
type foreignEntry struct {
	id, what     string
	fields       map[string]any
	addressField string
}

func (d *deployment) foreignEntries() []foreignEntry {
	return []foreignEntry{
		{id: "i-x1", what: "fields missing: version, warmup_left_ms, sequence, born", addressField: "address", fields: map[string]any{
			"service": "balcao", "zone": zoneOf("norte"), "slots": 16, "state": "ready",
		}},
		{id: "i-x2", what: "fields of another type: sequence", addressField: "address", fields: map[string]any{
			"service": "balcao", "zone": zoneOf("norte"), "version": "1.0", "slots": 16, "state": "ready", "warmup_left_ms": 0, "sequence": "n/a",
			"born": time.Now().UnixMilli(),
		}},
		{id: "i-x3", what: "all fields missing, others with capitals", addressField: "Address", fields: map[string]any{
			"Service": "balcao", "Zone": zoneOf("norte"), "Version": "1.0", "Slots": 16, "State": "ready",
		}},
	}
}

// startForeign starts a server of another installation, which nothing registers, and returns its address.
func (d *deployment) startForeign(index int, id string) (string, error) {
	if _, err := d.restartReplica(index, id, "-prefix", "foreign "); err != nil {
		return "", err
	}
	d.record.note("a server of another installation, %s, runs at %s", id, d.replicaAddress(index))
	return d.replicaAddress(index), nil
}
