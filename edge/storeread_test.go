package edge

import (
	"fmt"
	"math"
	"testing"
	"time"

	"parsleyhatch/source"
	"parsleyhatch/vmwire"
)

// Guards against a VM that takes the first part of many changes for the present state of the store: it would accept keys that a
// later part withdraws.
func TestPartOfChangesIsNotCurrent(t *testing.T) {
	w := newTestCluster(t, "north")
	w.publishConfig(1, routeJSON("a", "safe", "plain", ""))
	reader, other := w.startVM("vm1", "north", true), w.startVM("vm2", "north", true)
	w.waitForMembership()
	before := source.Position{Revision: 1}
	value := fmt.Sprintf("%0100000d", 0)
	for i := range 4 {
		w.store.Put(fmt.Sprintf("other/%d", i), value)
	}
	w.waitFor("the reader knows the changes", func() bool {
		a, err := reader.Watcher.History.Watch(t.Context(), before, time.Time{}, 0)
		return err == nil && len(a.Events) == 2
	})
	a, err := other.watchThroughVM(t.Context(), before, time.Second)
	if err != nil || len(a.Events) != 2 || !a.KnownAt.IsZero() {
		t.Errorf("answer with %d of 4 changes, known at %v, error %v, want 2 changes that are known at no time", len(a.Events), a.KnownAt, err)
	}
}

// Guards against a faulty VM that makes the state of another one look newer than the present.
func TestReplyIsNotNewerThanPresent(t *testing.T) {
	v := newTestCluster(t, "north").startVM("vm1", "north", false)
	sentAt := v.Now().Add(-time.Second)
	for _, held := range []int64{math.MinInt64, -1, 0, 1 << 40, math.MaxInt64} {
		for _, age := range []vmwire.Age{math.MinInt64, vmwire.UnknownAge, 0, 1 << 40, math.MaxInt64} {
			a, err := v.decodeAnswer(sentAt, "vm2", vmwire.StoreReply{HeldMillis: held, KnownAge: age, ReturnedAge: age})
			if now := v.Now(); err != nil || a.KnownAt.After(now) || a.StoreReturnedAt.After(now) || (age < 0) != a.KnownAt.IsZero() {
				t.Errorf("held %d, age %d: known at %v, store returned at %v, now %v, error %v", held, age, a.KnownAt, a.StoreReturnedAt, now, err)
			}
		}
	}
}
