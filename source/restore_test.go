package source

import (
	"strings"
	"testing"

	"parsleyhatch/platform"
	"parsleyhatch/replica"
	"parsleyhatch/route"
)

var plainRequest = replica.Request{Service: &route.Service{Name: "s"}}

// usable reports whether the watcher's table has an upstream for a request.
func (ts *testSource) usable() bool {
	_, ok := ts.Replicas.Estimate(ts.now, plainRequest)
	return ok
}

func drainingItem(id, domain string) string {
	return itemJSON(platform.UpstreamPrefix+id, `{"service":"s","address":"10.0.0.1:80","zone":"`+domain+`","slots":4,"state":"draining"}`, 1)
}

// Guards against requests to an upstream that was leaving or gone before the store was restored, and whose registration is ready
// in the copy.
func TestRestoreKeepsUpstreamsOut(t *testing.T) {
	key := platform.UpstreamPrefix + "u1"
	for name, events := range map[string][]string{
		"draining": {drainingItem("u1", "a")},
		"gone":     {deletionJSON(key, 7)},
		"left":     {drainingItem("u1", "a"), deletionJSON(key, 7)},
	} {
		t.Run(name, func(t *testing.T) {
			copied := "era 1 " + rangeJSON(5, configItem(1), upstreamItem("u1", "a"))
			ts := newSource(t, rangeJSON(5, configItem(1), upstreamItem("u1", "a")), watchJSON(7, events...), "gone", copied,
				"era 1 "+watchJSON(5), "era 1 "+watchJSON(6, deletionJSON(key, 6)), "era 1 "+watchJSON(6))
			ts.readTimes(2)
			if ts.usable() {
				t.Error("usable before the restore")
			}
			ts.readTimes(2)
			if ts.usable() || ts.Capacity("s")["region-a"] != 0 {
				t.Errorf("usable after the restore, capacity %v", ts.Capacity("s"))
			}
			ts.readTimes(1)
			ts.now = ts.now.Add(2 * restoreSettleTime)
			ts.readTimes(2)
			ts.checkUpstreamCount(0)
		})
	}
}

// Guards against an upstream that is never used again because its registration lapsed before the store was restored.
func TestRestoreReturnsUpstreams(t *testing.T) {
	key := platform.UpstreamPrefix + "u1"
	first := rangeJSON(5, configItem(1), upstreamItem("u1", "a"))
	for name, c := range map[string]struct {
		event string
		waits bool
	}{
		"written again":    {event: upstreamItem("u1", "a")},
		"still registered": {waits: true},
	} {
		t.Run(name, func(t *testing.T) {
			ts := newSource(t, first, watchJSON(7, deletionJSON(key, 7)), "gone", "era 1 "+first, "era 1 "+watchJSON(6, strings.Fields(c.event)...), "era 1 "+watchJSON(6))
			ts.readTimes(5)
			if ts.usable() == c.waits {
				t.Errorf("usable %v after the answers, want %v", ts.usable(), !c.waits)
			}
			ts.now = ts.now.Add(restoreSettleTime)
			ts.readTimes(1)
			if !ts.usable() {
				t.Error("the upstream is not used again")
			}
		})
	}
}

// Guards against upstreams that are removed, and failure domains that get requests again, because the copy from which the store
// was restored is older than their registration or evacuation.
func TestRestoreKeepsLostItems(t *testing.T) {
	written := watchJSON(7, upstreamItem("u2", "a"), itemJSON(platform.EvacuatePrefix+"a", "{}", 7))
	restored := "era 1 " + rangeJSON(5, configItem(1), upstreamItem("u1", "a"))
	again := "era 1 " + watchJSON(7, upstreamItem("u2", "a"), itemJSON(platform.EvacuatePrefix+"a", "{}", 7))
	empty := "era 1 " + watchJSON(7)
	for name, c := range map[string]struct {
		answer    string
		upstreams int
		evacuated bool
	}{"written again": {again, 2, true}, "not written again": {empty, 1, false}} {
		t.Run(name, func(t *testing.T) {
			ts := newSource(t, rangeJSON(5, configItem(1), upstreamItem("u1", "a")), written, empty, restored, c.answer, empty)
			ts.readTimes(4)
			ts.checkUpstreamCount(2)
			if ts.usable() {
				t.Error("the evacuated failure domain gets requests after the restore")
			}
			ts.readTimes(1)
			ts.now = ts.now.Add(restoreSettleTime)
			ts.readTimes(1)
			ts.checkUpstreamCount(c.upstreams)
			if ts.usable() == c.evacuated {
				t.Errorf("usable %v after the settle time", ts.usable())
			}
		})
	}
}

// Guards against a VM that starts after a restore and gets the older configuration of the copy from another VM.
func TestRestoreKeepsConfigurationForOtherVMs(t *testing.T) {
	ts := newSource(t, rangeJSON(5, configItem(7)), watchJSON(7, configItem(9)), "gone", "era 1 "+rangeJSON(5, configItem(7)), "era 1 "+watchJSON(6, configItem(8)))
	for i, want := range []string{`{"version":7}`, `{"version":9}`, `{"version":9}`, `{"version":9}`, `{"version":9}`} {
		ts.readTimes(1)
		a, err := ts.RangeForVM()
		if err != nil || len(a.Items) != 1 || string(a.Items[0].Value) != want {
			t.Errorf("after call %d: %+v, %v, want %s", i, a.Items, err, want)
		}
	}
}

// Guards against an evacuation that ends, and a registration that is used, because a second range after a restore showed otherwise
// and was not taken into account.
func TestSecondRangeAfterRestore(t *testing.T) {
	first := rangeJSON(5, configItem(1), upstreamItem("u1", "a"), upstreamItem("u2", "b"))
	events := watchJSON(8, deletionJSON(platform.UpstreamPrefix+"u2", 7), itemJSON(platform.EvacuatePrefix+"a", "{}", 8))
	again := rangeJSON(9, configItem(1), upstreamItem("u1", "a"), itemJSON(platform.EvacuatePrefix+"a", "{}", 6))
	ts := newSource(t, first, events, "gone", "era 1 "+first, "gone", "era 1 "+again, "era 1 "+watchJSON(9))
	ts.readTimes(6)
	ts.now = ts.now.Add(restoreSettleTime)
	ts.readTimes(1)
	if ts.usable() {
		t.Error("the failure domain is in use although its evacuation was written again")
	}
	if c := ts.Capacity("s"); c["region-b"] != 0 {
		t.Errorf("capacity %v of an upstream that is not registered any more", c)
	}
}
