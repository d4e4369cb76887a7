package edge

import (
	"net/http"
	"testing"
	"time"

	"parsleyhatch/platform"
)

// newRestoreCluster returns a cluster with an upstream and three VMs of one region, of which one reads the store for the others.
func newRestoreCluster(t *testing.T) *testCluster {
	w := newTestCluster(t, "north")
	w.publishConfig(1, routeJSON("a", "safe", "plain", ""))
	w.addUpstream("u1", "plain", "north", nil)
	for _, name := range []string{"vm0", "vm1", "vm2"} {
		w.startVM(name, "north", true)
	}
	w.waitForMembership()
	w.waitForUpstreams(1)
	return w
}

// version returns the version of the configuration that is in force at a VM.
func (v *testVM) version() uint64 { return v.table().Config.Version }

// Guards against a configuration that VMs never get because its revision was given out before the store was restored from a
// copy, and against VMs that pass on such revisions.
func TestChangeAfterRestoreReachesAllVMs(t *testing.T) {
	t.Parallel()
	w := newRestoreCluster(t)
	copied := w.store.Copy()
	w.publishConfig(2, routeJSON("a", "safe", "plain", ""))
	for _, v := range w.vms {
		w.waitFor(v.Settings.Name+" has version 2", func() bool { return v.version() == 2 })
	}
	w.store.SetDown(true)
	time.Sleep(100 * time.Millisecond)
	w.store.Restore(copied)
	w.publishConfig(3, routeJSON("b", "safe", "plain", ""))
	w.store.SetDown(false)
	for _, v := range w.vms {
		w.waitFor(v.Settings.Name+" has version 3", func() bool { return v.version() == 3 })
		if status, body, _ := v.call(t, "/b/", "x", nil); status != http.StatusOK {
			t.Errorf("%s answers %d %q on the route of version 3", v.Settings.Name, status, body)
		}
	}
}

// Guards against a VM that starts after a restore of the store and serves the older configuration of the copy, with keys and routes
// that were withdrawn since.
func TestVMStartingAfterRestoreUsesLatestConfiguration(t *testing.T) {
	t.Parallel()
	w := newRestoreCluster(t)
	copied := w.store.Copy()
	w.store.Put(platform.ConfigKey, `{"version":2,"routes":[`+routeJSON("a", "safe", "plain", "")+`],"services":[{"name":"plain"}],
		"tenants":[{"name":"w1","api_keys":["other"]}]}`)
	for _, v := range w.vms {
		w.waitFor(v.Settings.Name+" has version 2", func() bool { return v.version() == 2 })
	}
	w.store.Restore(copied)
	v := w.startVM("vm3", "north", false)
	accepted := 0
	for deadline := time.Now().Add(2 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if status, _, _ := v.call(t, "/a/", "x", nil); status == http.StatusOK {
			accepted++
		}
	}
	if accepted > 0 {
		t.Errorf("the new VM accepted a withdrawn key %d times", accepted)
	}
	w.waitFor("the new VM is ready", func() bool { return v.Ready(v.Now()) })
	if status, body, _ := v.call(t, "/a/", "x", extraHeaders{platform.HeaderAPIKey: "other"}); status != http.StatusOK || v.version() != 2 {
		t.Errorf("answer %d %q with version %d", status, body, v.version())
	}
}

// Guards against a VM that keeps an older configuration than another one because the store does not show it the newer one.
func TestVMTakesNewerConfigurationOfOtherVM(t *testing.T) {
	t.Parallel()
	w := newRestoreCluster(t)
	w.vms[0].Watcher.AcceptConfig([]byte(`{"version":2,"routes":[` + routeJSON("b", "safe", "plain", "") + `],"services":[{"name":"plain"}]}`))
	for _, v := range w.vms {
		w.waitFor(v.Settings.Name+" has version 2", func() bool { return v.version() == 2 })
	}
}
