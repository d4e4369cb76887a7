package audit

import (
	"encoding/json"
	"os"
	"reflect"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"parsleyhatch/config"
	"parsleyhatch/fixedseed"
)

// TestMain fixes the seed of the randomised tests.
func TestMain(m *testing.M) { os.Exit(fixedseed.RunTests(m, fixedseed.Defaults{Seed: "1"})) }

var startTime = time.Unix(1_700_000_000, 0).UTC()

// Guards against lost, repeated or misordered entries after the ring has overwritten its oldest ones.
func TestSince(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 9).Draw(t, "size")
		trail := New(size)
		var all []uint64
		for range rapid.IntRange(0, 40).Draw(t, "entries") {
			all = append(all, trail.Add(startTime, Entry{Kind: VMJoined}))
		}
		kept := all[max(0, len(all)-size):]
		after := rapid.Uint64Range(0, 50).Draw(t, "after")
		limit := rapid.IntRange(0, 50).Draw(t, "limit")
		want := []uint64{}
		for _, n := range kept {
			if n > after && len(want) < limit {
				want = append(want, n)
			}
		}
		got := []uint64{}
		for _, e := range trail.EntriesAfter(after, limit) {
			got = append(got, e.Sequence)
		}
		if !reflect.DeepEqual(got, want) {
			t.Fatalf("EntriesAfter(%d, %d) = %v, want %v", after, limit, got, want)
		}
	})
}

// Guards against a data race between the control loop, which adds entries, and the admin page, which
// reads them, and against gaps in the sequence.
func TestConcurrentUse(t *testing.T) {
	trail := New(TrailCapacity)
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for range 500 {
				trail.Add(startTime, Entry{Kind: OrderIssued})
				trail.EntriesAfter(trail.LastSequence()-1, 10)
			}
		})
	}
	wg.Wait()
	list := trail.EntriesAfter(0, TrailCapacity)
	if len(list) != 2000 {
		t.Fatalf("%d entries, want 2000", len(list))
	}
	for i, e := range list {
		if e.Sequence != uint64(i+1) {
			t.Fatalf("entry %d has sequence %d", i, e.Sequence)
		}
	}
}

// Guards against a change of the JSON encoding, which operators' tools parse.
func TestEntryJSON(t *testing.T) {
	trail := New(1)
	trail.Add(startTime, Entry{Kind: KeyWithdrawn, Subject: "key/k1", Version: config.Version{Number: 7, Digest: "ab"}})
	data, err := json.Marshal(trail.EntriesAfter(0, 1))
	if err != nil {
		t.Fatal(err)
	}
	want := `[{"sequence":1,"time":"2023-11-14T22:13:20Z","kind":"keyWithdrawn","subject":"key/k1","version":{"number":7,"digest":"ab"}}]`
	if string(data) != want {
		t.Errorf("got  %s\nwant %s", data, want)
	}
}

// Guards against a withdrawn key or a draining upstream that is recorded as an ordinary change.
func TestFromChanges(t *testing.T) {
	cases := map[config.Change]Kind{
		{Action: config.ActionAdded, Entity: config.EntityKey}:         KeyAdded,
		{Action: config.ActionWithdrawn, Entity: config.EntityKey}:     KeyWithdrawn,
		{Action: config.ActionRemoved, Entity: config.EntityKey}:       EntityRemoved,
		{Action: config.ActionDraining, Entity: config.EntityUpstream}: UpstreamDraining,
		{Action: config.ActionAdded, Entity: config.EntityRegion}:      EntityAdded,
		{Action: config.ActionChanged, Entity: config.EntityWorkspace}: EntityChanged,
	}
	for change, want := range cases {
		entries := FromChanges(config.Version{Number: 3}, []config.Change{change})
		if len(entries) != 1 || entries[0].Kind != want || entries[0].Version.Number != 3 {
			t.Errorf("%v gives %v, want kind %s", change, entries, want)
		}
	}
}
