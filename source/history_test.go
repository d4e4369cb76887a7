package source

import (
	"context"
	"errors"
	"testing"
	"time"

	"parsleyhatch/platform"
)

// watchResult is what History.Watch returned.
type watchResult struct {
	answer Answer
	err    error
}

// startWatch returns a history that is known at knownAt, and the result of a watch that waits for it.
func startWatch(t *testing.T, knownAt time.Time) (*History, <-chan watchResult) {
	t.Helper()
	h := &History{}
	h.add(Answer{Page: platform.Page{Revision: 5, Items: []platform.Item{{Key: "a", Revision: 5}}}}, Position{Revision: 5}, knownAt, time.Time{})
	result := make(chan watchResult, 1)
	go func() {
		a, err := h.Watch(context.Background(), Position{Revision: 5}, knownAt, time.Minute)
		result <- watchResult{a, err}
	}()
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		h.mu.Lock()
		waiting := h.changed != nil
		h.mu.Unlock()
		if waiting {
			return h, result
		}
		if time.Now().After(deadline) {
			t.Fatal("the watch does not wait")
		}
	}
}

func receive(t *testing.T, result <-chan watchResult) watchResult {
	t.Helper()
	select {
	case r := <-result:
		return r
	case <-time.After(5 * time.Second):
		t.Fatal("the watch has not returned")
		return watchResult{}
	}
}

// Guards against knowledge of the store that ages at its reader before other VMs get it.
func TestWatchReturnsNewerKnowledge(t *testing.T) {
	knownAt := time.Unix(1000, 0)
	h, result := startWatch(t, knownAt)
	h.add(Answer{}, Position{Revision: 5}, knownAt.Add(time.Second), time.Time{})
	if r := receive(t, result); r.err != nil || len(r.answer.Events) != 0 || !r.answer.KnownAt.Equal(knownAt.Add(time.Second)) {
		t.Errorf("answer %+v, error %v", r.answer, r.err)
	}
}

// Guards against VMs that wait for a reader that has lost the store.
func TestWatchFailsWhenReaderLosesStore(t *testing.T) {
	h, result := startWatch(t, time.Unix(1000, 0))
	h.interrupt()
	if r := receive(t, result); !errors.Is(r.err, ErrStateUnknown) {
		t.Errorf("error %v, want %v", r.err, ErrStateUnknown)
	}
	if _, err := h.Watch(context.Background(), Position{Revision: 5}, time.Unix(1001, 0), 0); !errors.Is(err, ErrStateUnknown) {
		t.Errorf("watch after the loss: error %v, want %v", err, ErrStateUnknown)
	}
	h.add(Answer{}, Position{Revision: 5}, time.Unix(1001, 0), time.Time{})
	if _, err := h.Watch(context.Background(), Position{Revision: 5}, time.Unix(1001, 0), 0); err != nil {
		t.Errorf("watch after newer knowledge arrived: %v", err)
	}
}

// Guards against a VM that waits for the next answer of the store although its reader already knows more.
func TestWatchReturnsWhatReaderKnows(t *testing.T) {
	knownAt := time.Unix(1000, 0)
	h := &History{}
	h.add(Answer{Page: platform.Page{Revision: 5, Items: []platform.Item{{Key: "a", Revision: 5}}}}, Position{Revision: 5}, knownAt, time.Time{})
	result := make(chan watchResult, 1)
	go func() {
		a, err := h.Watch(context.Background(), Position{Revision: 5}, knownAt.Add(-time.Second), time.Minute)
		result <- watchResult{a, err}
	}()
	if r := receive(t, result); r.err != nil || !r.answer.KnownAt.Equal(knownAt) {
		t.Errorf("answer %+v, error %v", r.answer, r.err)
	}
}

// Guards against a change that is too large for a frame between VMs and is dropped there: the asking VM would learn of it
// only after its question has timed out.
func TestWatchFailsOnOversizedChange(t *testing.T) {
	h, result := startWatch(t, time.Unix(1000, 0))
	item := platform.Item{Key: "config", Value: make([]byte, 500_000), Revision: 6}
	h.add(Answer{Page: platform.Page{Revision: 6, Events: []platform.Item{item}}}, Position{Revision: 6}, time.Unix(1001, 0), time.Time{})
	if r := receive(t, result); !errors.Is(r.err, ErrStateUnknown) {
		t.Errorf("answer with %d changes, error %v, want %v", len(r.answer.Events), r.err, ErrStateUnknown)
	}
}

// Guards against VMs that miss the changes of a restored store because they ask another VM for those after a revision of the era
// before, or that go back to that era.
func TestWatchOfAnotherEra(t *testing.T) {
	h := &History{}
	h.add(Answer{Page: platform.Page{Items: []platform.Item{{Key: "a", Revision: 5}}}}, Position{Era: 2, Revision: 9}, time.Unix(1000, 0), time.Time{})
	for era, want := range map[uint64]error{1: platform.ErrCompacted, 2: nil, 3: ErrStateUnknown} {
		if _, err := h.Watch(context.Background(), Position{Era: era, Revision: 9}, time.Time{}, time.Minute); !errors.Is(err, want) {
			t.Errorf("watch of era %d: %v, want %v", era, err, want)
		}
	}
	h.add(Answer{}, Position{Era: 3, Revision: 0}, time.Unix(1001, 0), time.Time{})
	if a, err := h.Range(); err != nil || len(a.Items) != 0 || a.Era != 3 {
		t.Errorf("range of an empty store after a restore: %+v, %v", a, err)
	}
}

// Guards against a VM whose memory is filled by the values of changes that it keeps for other VMs.
func TestHistoryIsBounded(t *testing.T) {
	for name, c := range map[string]struct{ changes, valueBytes, want int }{
		"small changes": {maxHistoryEvents + 10, 100, maxHistoryEvents},
		"large changes": {3 * maxHistoryBytes / (1 << 20), 1<<20 - 1, maxHistoryBytes / (1 << 20)},
	} {
		h := &History{}
		for i := range c.changes {
			revision := uint64(i + 1)
			change := platform.Item{Key: "c", Value: make([]byte, c.valueBytes), Revision: revision}
			h.add(Answer{Page: platform.Page{Events: []platform.Item{change}, Revision: revision}}, Position{Revision: revision}, time.Unix(1, 0), time.Time{})
		}
		if len(h.events) != c.want || h.compactedRevision != h.events[0].Revision-1 {
			t.Errorf("%s: %d changes are kept, from %d on, want %d", name, len(h.events), h.compactedRevision+1, c.want)
		}
	}
}
