package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	// entries is the number of entries of another writer, and entryBytes the size of each: the largest value that the store takes.
	entries, entryBytes = 8, 1 << 20
	// configApply is config_apply_ms of the settings.
	configApply = 3 * time.Second
	// contact is contact_ms of the settings.
	contact = 5 * time.Second
	// watchTime is the time for which requests are sent after the change of the configuration.
	watchTime = 30 * time.Second
)

// playLargeEntries writes entries that name no replica beside the others, and then a configuration that moves a public route to another service.
// Requests that are sent later than config_apply_ms after its ack must not be run by the old service.
func playLargeEntries(d *deployment, trouble bool) (bool, error) {
	config := func(version int, service1 string) map[string]any {
		return map[string]any{
			"version": version,
			"routes": []any{
				route("r-public", "/pub/", "safe", service1, 2000, 2, true),
				route("r-keyed", "/key/", "safe", "new", 2000, 2, false),
			},
			"services": []any{service("old", 110), service("new", 110)},
			"limits":   limits, "tenants": []any{tenant("tenant-of-review", "key-of-review")},
		}
	}
	d.putConfig(config(7, "old"))
	for i, name := range []string{"old", "new"} {
		if _, err := d.startReplica(i, "i-"+name, name, "norte", "-prefix", name+" "); err != nil {
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
	c := d.newClient()
	time.Sleep(contact)
	if trouble {
		for i := range entries {
			d.store.put(fmt.Sprintf("servers/other-%d", i), []byte(strings.Repeat("x", entryBytes)))
		}
		d.record.note("another writer has written %d entries of %d bytes", entries, entryBytes)
	}
	time.Sleep(time.Second)
	ack := d.putConfig(config(12, "new"))
	var old, moved, keyed, refused int
	for n := 0; time.Since(ack) < watchTime; n++ {
		a := c.send(d.vms[n%len(d.vms)], http.MethodGet, "/pub/x", "", 2*time.Second)
		after := a.sentAt.Sub(ack)
		switch {
		case strings.HasPrefix(a.body, "old ") && after > configApply:
			old++
			d.record.note("CONFIG broken: %s, sent %v after the ack, was run by the old service", a.String(), after.Round(time.Millisecond))
		case strings.HasPrefix(a.body, "new "):
			moved++
		}
		b := c.send(d.vms[n%len(d.vms)], http.MethodGet, "/key/x", "key-of-review", 2*time.Second)
		if b.status == http.StatusOK {
			keyed++
		} else {
			refused++
		}
		time.Sleep(200 * time.Millisecond)
	}
	d.record.note("public route: %d run by the old service later than %v after the ack, %d by the new one; with a key: %d served, %d not", old, configApply, moved, keyed, refused)
	if old+moved == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return old > 0, nil
}
