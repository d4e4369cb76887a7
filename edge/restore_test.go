package edge

import (
	"net/http"
	"testing"
	"time"
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
