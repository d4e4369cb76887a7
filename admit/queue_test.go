package admit

import (
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"parsleyhatch/fixedseed"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestMain fixes the seed of the randomised tests.
func TestMain(m *testing.M) { os.Exit(fixedseed.RunTests(m, fixedseed.Defaults{Seed: "1"})) }

func settings() Settings {
	return Settings{Total: 1000, PerWorkspace: 300, DraftShare: 0.2, Rate: 1000}
}

func item(id uint64, workspace string, class Class) Item {
	return Item{ID: id, Workspace: workspace, Weight: 1, Class: class, Deadline: start.Add(time.Hour), Cost: 1}
}

// Guards against queues that exceed their bounds, lost or repeated items, and counts that are never removed.
func TestQueueBounds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		q := New(Settings{Total: 20, PerWorkspace: 8, DraftShare: 0.2, Rate: 100})
		now := start
		waiting := map[uint64]string{}
		markRemoved := func(id uint64) {
			if _, ok := waiting[id]; !ok {
				rt.Fatalf("item %d left the queue twice", id)
			}
			delete(waiting, id)
		}
		for id := range uint64(200) {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(rt, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 9).Draw(rt, "step") {
			case 0:
				for _, late := range q.TakeExpired(now) {
					if !now.After(late.Deadline) {
						rt.Fatalf("item %d returned as expired before its deadline", late.ID)
					}
					markRemoved(late.ID)
				}
			case 1, 2:
				if got, ok := q.Dequeue(now); ok {
					if now.After(got.Deadline) {
						rt.Fatalf("item %d served after its deadline", got.ID)
					}
					markRemoved(got.ID)
				}
			case 3:
				victim := rapid.Uint64Range(0, id).Draw(rt, "victim")
				if q.Remove(victim) {
					markRemoved(victim)
				}
			default:
				it := item(id, rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(rt, "workspace"), Class(rapid.IntRange(0, 1).Draw(rt, "class")))
				it.Cost = rapid.Float64Range(0, 20).Draw(rt, "cost")
				it.Deadline = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(rt, "deadline")) * time.Millisecond)
				out := q.Enqueue(now, it)
				if out.Verdict == Queued {
					waiting[id] = it.Workspace
				} else if out.RetryAfter <= 0 {
					rt.Fatalf("refusal %v without a retry delay", out.Verdict)
				}
			}
			itemsPerWorkspace := map[string]int{}
			for _, w := range waiting {
				itemsPerWorkspace[w]++
				if itemsPerWorkspace[w] > 8 {
					rt.Fatalf("%d items of one workspace", itemsPerWorkspace[w])
				}
			}
			if q.Len() != len(waiting) || q.Len() > 20 {
				rt.Fatalf("length %d, want %d and at most 20", q.Len(), len(waiting))
			}
		}
		for range waiting {
			q.Dequeue(now)
		}
		q.TakeExpired(now.Add(time.Hour))
		if q.Len() != 0 || len(q.waiting) != 0 || len(q.classQueues[0].flows)+len(q.classQueues[1].flows) != 0 {
			rt.Fatalf("state left in an empty queue: %d items, %d counts", q.Len(), len(q.waiting))
		}
	})
}

// Guards against service that doesn't follow the weights while all workspaces have waiting items.
func TestWeightedShares(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		q := New(Settings{Total: 100000, PerWorkspace: 20000, Rate: 1e9})
		n := rapid.IntRange(2, 6).Draw(rt, "workspaces")
		weights := make([]float64, n)
		sum, id := 0.0, uint64(0)
		const largest = 5.0 // Cost of the most expensive item.
		for w := range n {
			weights[w] = rapid.Float64Range(1, 10).Draw(rt, "weight")
			sum += weights[w]
			for range 250 {
				id++
				it := item(id, fmt.Sprint(w), Draft)
				it.Weight = weights[w]
				it.Cost = 1 + float64(id%5)
				q.Enqueue(start, it)
			}
		}
		served := map[string]float64{}
		total := 0.0
		for total < 500 {
			it, _ := q.Dequeue(start)
			served[it.Workspace] += it.Cost
			total += it.Cost
		}
		for w := range n {
			want := total * weights[w] / sum
			if got := served[fmt.Sprint(w)]; got < want-float64(n+1)*largest || got > want+float64(n+1)*largest {
				rt.Fatalf("workspace with weight %.1f of %.1f received %.0f of the served cost %.0f", weights[w], sum, got, total)
			}
		}
	})
}

// Guards against starvation of drafts while interactive requests arrive continuously, and against drafts that
// receive more than their share in that case.
func TestDraftShare(t *testing.T) {
	q := New(settings())
	id := uint64(0)
	served := map[Class]float64{}
	for range 5000 {
		for q.classQueues[Interactive].count < 5 {
			id++
			q.Enqueue(start, item(id, "busy", Interactive))
		}
		for q.classQueues[Draft].count < 5 {
			id++
			it := item(id, "writer", Draft)
			it.Cost = 7
			q.Enqueue(start, it)
		}
		it, _ := q.Dequeue(start)
		served[it.Class] += it.Cost
	}
	share := served[Draft] / (served[Draft] + served[Interactive])
	if share < 0.19 || share > 0.21 {
		t.Errorf("drafts received %.3f of the cost, want 0.2", share)
	}
}

// Guards against starvation of a workspace by a sequence of new workspaces. Equal workspaces are served in
// the order in which they began to wait.
func TestNewWorkspacesServedAfterWaitingOnes(t *testing.T) {
	q := New(settings())
	for id := range uint64(5) {
		q.Enqueue(start, item(id, fmt.Sprint("w", 1000-id), Draft))
	}
	for want := range uint64(40) {
		q.Enqueue(start, item(want+5, fmt.Sprint("w", 995-want), Draft))
		if it, _ := q.Dequeue(start); it.ID != want {
			t.Fatalf("served item %d, want %d", it.ID, want)
		}
	}
}

// Guards against a workspace or the whole queue that exceeds its bound.
func TestOfferRefusesAboveBounds(t *testing.T) {
	q := New(Settings{Total: 10, PerWorkspace: 4, Rate: 1e6})
	want := []Verdict{Queued, Queued, Queued, Queued, WorkspaceFull}
	for i, v := range want {
		if out := q.Enqueue(start, item(uint64(i), "a", Class(i%2))); out.Verdict != v {
			t.Errorf("offer %d: %v, want %v", i, out.Verdict, v)
		}
	}
	for i := range uint64(6) {
		q.Enqueue(start, item(10+i, fmt.Sprint("b", i), Draft))
	}
	if out := q.Enqueue(start, item(20, "c", Draft)); out.Verdict != QueueFull || out.RetryAfter <= 0 {
		t.Errorf("eleventh item: %v, retry after %v", out.Verdict, out.RetryAfter)
	}
	q.Remove(0)
	if out := q.Enqueue(start, item(21, "a", Draft)); out.Verdict != Queued {
		t.Errorf("after a removal: %v", out.Verdict)
	}
}

// Guards against serving an item with a later deadline first within a workspace.
func TestEarliestDeadlineFirst(t *testing.T) {
	q := New(settings())
	for id, d := range []int{30, 10, 20} {
		it := item(uint64(id), "a", Interactive)
		it.Deadline = start.Add(time.Duration(d) * time.Second)
		q.Enqueue(start, it)
	}
	for _, want := range []uint64{1, 2, 0} {
		if it, _ := q.Dequeue(start); it.ID != want {
			t.Errorf("got item %d, want %d", it.ID, want)
		}
	}
}

// Guards against queueing items that cannot be served in time. The refusal is immediate and states the retry
// delay; other workspaces are not affected.
func TestOfferRefusesLateItemImmediately(t *testing.T) {
	q := New(Settings{Total: 1000, PerWorkspace: 300, DraftShare: 0.2, Rate: 10})
	for id := range uint64(100) {
		q.Enqueue(start, item(id, "flood", Interactive))
	}
	late := item(200, "flood", Interactive)
	late.Deadline = start.Add(2 * time.Second)
	for _, e := range q.classQueues[Interactive].flows["flood"].items {
		e.Deadline = start.Add(time.Second)
	}
	out := q.Enqueue(start, late)
	if out.Verdict != ExceedsDeadline || out.RetryAfter < 7*time.Second || out.RetryAfter > 9*time.Second {
		t.Errorf("got %v with retry after %v, want too late after 8 s", out.Verdict, out.RetryAfter)
	}
	other := late
	other.Workspace = "small"
	if out := q.Enqueue(start, other); out.Verdict != Queued {
		t.Errorf("small workspace: %v (wait %v)", out.Verdict, out.Wait)
	}
}

// Guards against an expected wait that does not grow when the queue is no longer served.
func TestExpectedWaitGrowsWhileStalled(t *testing.T) {
	q := New(Settings{Total: 1000, PerWorkspace: 300, Rate: 10})
	for id := range uint64(50) {
		q.Enqueue(start, item(id, "a", Interactive))
	}
	q.Dequeue(start)
	probe := item(99, "a", Interactive)
	before := q.expectedWait(start, &probe)
	after := q.expectedWait(start.Add(10*time.Second), &probe)
	if after < 2*before {
		t.Errorf("expected wait %v, then %v after a stall of 10 s", before, after)
	}
}

func BenchmarkOfferNext(b *testing.B) {
	for _, flows := range []int{5, 500} {
		b.Run(fmt.Sprintf("workspaces=%d", flows), func(b *testing.B) {
			q := New(settings())
			names := make([]string, flows)
			for i := range names {
				names[i] = fmt.Sprint("w", i)
				q.Enqueue(start, item(uint64(i), names[i], Draft))
			}
			b.ReportAllocs()
			id := uint64(flows)
			for b.Loop() {
				id++
				q.Enqueue(start, item(id, names[id%uint64(flows)], Class(id%2)))
				q.Dequeue(start)
			}
		})
	}
}
