package once

import (
	"bytes"
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"parsleyhatch/vmwire"
)

var testSlots = []string{"vm.a", "vm-b", "c"}

func testSigner(t testing.TB) *Signer {
	t.Helper()
	s, err := NewSigner([]byte("fleet key of the tests"))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// openTable returns a table that accepts opaque keys at the returned time.
func openTable(t testing.TB, slot string, slots []string, limits Limits) (*Table, time.Time) {
	t.Helper()
	now := time.Now()
	tb := New(slot, 1, now, testSigner(t), limits)
	tb.SetRoster(now, Roster{Slots: slots, Placement: "p"})
	now = now.Add(limits.quiet())
	tb.Renew(now)
	return tb, now
}

// ownedKey returns an opaque key that the slot owns under the rosters.
func ownedKey(slot string, n int, rosters ...[]string) Key {
	for i := n * 1000; ; i++ {
		k := Key{Workspace: "w", Route: "deposit", Key: fmt.Sprintf("key%d", i)}
		owned := true
		for _, r := range rosters {
			owned = owned && Owner(r, k) == slot
		}
		if owned {
			return k
		}
	}
}

func begin(t *testing.T, tb *Table, now time.Time, k Key, want Outcome) *Record {
	t.Helper()
	got, r := tb.Begin(now, k, Digest{1})
	if got != want {
		t.Fatalf("Begin(%v) = %d, want %d", k, got, want)
	}
	return r
}

// run executes a call to its end.
func run(t *testing.T, tb *Table, now time.Time, k Key, body string) {
	t.Helper()
	r := begin(t, tb, now, k, Run)
	if !tb.Sending(now, r) {
		t.Fatal("Sending refused")
	}
	tb.Finish(now, r, Answer{Status: 200, Body: []byte(body)})
}

// Guards against a ticket that is accepted after a change of any byte, for another workspace or fleet,
// and against slot names that break the format.
func TestTicket(t *testing.T) {
	s := testSigner(t)
	other, err := NewSigner([]byte("another fleet key"))
	if err != nil {
		t.Fatal(err)
	}
	for _, slot := range []string{"a", "a.b", "a-b.c_d", "pt1..x", "é"} {
		want := Ticket{Slot: slot, Incarnation: 0xfedcba9876543210, IssuedAt: 1234 * time.Millisecond}
		key := s.Issue(want, "w")
		if got, err := s.Parse(key, "w"); err != nil || got != want {
			t.Fatalf("Parse(%q) = %+v, %v", key, got, err)
		}
		if _, err := s.Parse(key, "w2"); err == nil {
			t.Errorf("ticket of another workspace accepted")
		}
		if _, err := other.Parse(key, "w"); err == nil {
			t.Errorf("ticket of another fleet accepted")
		}
		for i := range key {
			changed := []byte(key)
			changed[i] ^= 1
			if _, err := s.Parse(string(changed), "w"); err == nil {
				t.Errorf("ticket with byte %d changed accepted", i)
			}
		}
	}
}

// Guards against the answer of one workspace or route reaching another, and against another body
// getting the answer of the first.
func TestIsolation(t *testing.T) {
	tb, now := openTable(t, "a", []string{"a"}, DefaultLimits())
	k := Key{Workspace: "w", Route: "deposit", Key: "k"}
	run(t, tb, now, k, "secret")
	begin(t, tb, now, Key{Workspace: "w2", Route: "deposit", Key: "k"}, Run)
	begin(t, tb, now, Key{Workspace: "w", Route: "filing", Key: "k"}, Run)
	if got, _ := tb.Begin(now, k, Digest{2}); got != KeyReused {
		t.Errorf("another body: %d, want KeyReused", got)
	}
	r := begin(t, tb, now, k, Replay)
	if s, a := tb.Result(r); s != Answered || string(a.Body) != "secret" {
		t.Errorf("Result = %d %q", s, a.Body)
	}
}

// Guards against waiters that are not woken and against keys that stay taken after Abandon.
func TestWaitAndAbandon(t *testing.T) {
	tb, now := openTable(t, "a", []string{"a"}, DefaultLimits())
	k := Key{Workspace: "w", Route: "deposit", Key: "k"}
	r := begin(t, tb, now, k, Run)
	waiting := begin(t, tb, now, k, Wait)
	tb.Abandon(now, r)
	<-waiting.Done()
	if s, _ := tb.Result(waiting); s.Ran() != NotRun {
		t.Errorf("waiter gets %s", s.Ran())
	}
	r = begin(t, tb, now, k, Run)
	r.Deadline = now
	if tb.Sending(now, r) {
		t.Error("sent at its deadline")
	}
}

// Guards against two goroutines that both run one key.
func TestConcurrentBegin(t *testing.T) {
	tb, now := openTable(t, "a", []string{"a"}, DefaultLimits())
	var runs atomic.Int32
	var group sync.WaitGroup
	for range 32 {
		group.Go(func() {
			outcome, r := tb.Begin(now, Key{Workspace: "w", Route: "deposit", Key: "k"}, Digest{1})
			if outcome == Run && tb.Sending(now, r) {
				runs.Add(1)
				tb.Finish(now, r, Answer{Status: 200, Body: []byte("done")})
			}
			<-r.Done()
			if _, a := tb.Result(r); string(a.Body) != "done" {
				t.Errorf("answer %q", a.Body)
			}
		})
	}
	group.Wait()
	if runs.Load() != 1 {
		t.Errorf("%d runs", runs.Load())
	}
}

// Guards against unbounded memory: too many records, too large answers, records that never expire.
func TestBounds(t *testing.T) {
	limits := DefaultLimits()
	limits.Records, limits.AnswerBytes, limits.TotalBytes = 3, 10, 15
	tb, now := openTable(t, "a", []string{"a"}, limits)
	key := func(i int) Key { return Key{Workspace: "w", Route: "deposit", Key: fmt.Sprint(i)} }
	for i, want := range []State{Answered, AnswerDropped, AnswerDropped} {
		run(t, tb, now, key(i), []string{"0123456789", "too large to keep", "0123456"}[i])
		if s, _ := tb.Result(begin(t, tb, now, key(i), Replay)); s != want {
			t.Errorf("call %d: state %d, want %d", i, s, want)
		}
	}
	begin(t, tb, now, key(3), TableFull)
	tb.Tick(now.Add(limits.quiet() - 1))
	if n, b := tb.Len(); n != 3 || b != 10 {
		t.Errorf("before expiry: %d records, %d bytes", n, b)
	}
	tb.Tick(now.Add(limits.quiet()))
	if n, b := tb.Len(); n != 0 || b != 0 {
		t.Errorf("after expiry: %d records, %d bytes", n, b)
	}
}

// Guards against a key that runs at its former and at its present owner.
func TestRosterChange(t *testing.T) {
	two := []string{"vm.a", "vm-b"}
	tb, now := openTable(t, "c", two, DefaultLimits())
	tb.SetRoster(now, Roster{Slots: testSlots, Placement: "p"})
	k := ownedKey("c", 1, testSlots)
	begin(t, tb, now, k, KeyMoved)
	now = now.Add(tb.limits.quiet() - 1)
	tb.Renew(now)
	begin(t, tb, now, k, KeyMoved)
	now = now.Add(1)
	begin(t, tb, now, k, Run)
	tb.Moved(now, "w")
	begin(t, tb, now, ownedKey("c", 2, testSlots), KeyMoved)
}

// handedOver returns the frames of a sealed table with n answered calls.
func handedOver(t *testing.T, n int) (*Table, time.Time, []vmwire.Handover) {
	t.Helper()
	tb, now := openTable(t, "vm.a", testSlots, DefaultLimits())
	for i := range n {
		run(t, tb, now, ownedKey("vm.a", i, testSlots), string(bytes.Repeat([]byte("x"), 60<<10)))
	}
	tb.Seal(now)
	begin(t, tb, now, ownedKey("vm.a", n, testSlots), Sealed)
	return tb, now, tb.Export(now)
}

// successor returns the next incarnation of vm.a.
func successor(t *testing.T, now time.Time, incarnation uint64, slots []string) *Table {
	t.Helper()
	tb := New("vm.a", incarnation, now, testSigner(t), DefaultLimits())
	tb.SetRoster(now, Roster{Slots: slots, Placement: "p"})
	tb.Renew(now)
	return tb
}

// Guards against frames over their bound, records lost in a handover, and a successor that opens
// without all frames.
func TestHandover(t *testing.T) {
	_, now, frames := handedOver(t, 7)
	if len(frames) < 3 {
		t.Fatalf("%d frames", len(frames))
	}
	for _, f := range frames {
		if b, err := f.MarshalMsg(nil); err != nil || len(b) > MaxHandoverBytes {
			t.Errorf("frame of %d bytes: %v", len(b), err)
		}
	}
	tb := successor(t, now, 2, testSlots)
	begin(t, tb, now, ownedKey("vm.a", 0, testSlots), Horizon)
	for i := range frames {
		missing := append(append([]vmwire.Handover{}, frames[:i]...), frames[i+1:]...)
		if tb.Import(now, missing) == nil {
			t.Fatalf("import without frame %d succeeded", i)
		}
	}
	if err := tb.Import(now, frames); err != nil {
		t.Fatal(err)
	}
	for i := range 7 {
		begin(t, tb, now, ownedKey("vm.a", i, testSlots), Replay)
	}
	begin(t, tb, now, ownedKey("vm.a", 8, testSlots), Run)
}

// Guards against a successor that runs keys which another slot owned under the roster before its start.
func TestHandoverRoster(t *testing.T) {
	_, now, frames := handedOver(t, 1)
	two := []string{"vm.a", "vm-b"}
	tb := successor(t, now, 2, two)
	if err := tb.Import(now, frames); err != nil {
		t.Fatal(err)
	}
	moved := ownedKey("vm.a", 5, two)
	for i := 5; Owner(testSlots, moved) == "vm.a"; i++ {
		moved = ownedKey("vm.a", i, two)
	}
	begin(t, tb, now, moved, KeyMoved)
	begin(t, tb, now, ownedKey("vm.a", 9, two, testSlots), Run)
	elsewhere := New("vm.a", 3, now, testSigner(t), DefaultLimits())
	elsewhere.SetRoster(now, Roster{Slots: testSlots, Placement: "another"})
	if elsewhere.Import(now, frames) == nil {
		t.Error("handover of another placement accepted")
	}
}

// Guards against a handover that misses calls: exported late after a pause, or by a table that does
// not know its own predecessor's calls.
func TestExportRefused(t *testing.T) {
	tb, now := openTable(t, "vm.a", testSlots, DefaultLimits())
	tb.Seal(now)
	now = now.Add(exportWithin + 1)
	tb.Renew(now)
	if tb.Export(now) != nil {
		t.Error("late export")
	}
	closed := successor(t, now, 2, testSlots)
	closed.Seal(now)
	if closed.Export(now) != nil {
		t.Error("export within the horizon")
	}
}

// Guards against a call that is tried at another upstream after its record was handed over.
func TestSealedAfterUnsent(t *testing.T) {
	tb, now := openTable(t, "a", []string{"a"}, DefaultLimits())
	r := begin(t, tb, now, Key{Workspace: "w", Route: "deposit", Key: "k"}, Run)
	if !tb.Sending(now, r) {
		t.Fatal("Sending refused")
	}
	tb.Seal(now)
	tb.Unsent(now, r)
	if tb.Sending(now, r) {
		t.Error("sent after Seal")
	}
}

// Guards against a handover that is used by two successors, or by one that is not the next.
func TestStoreHandsOutOnce(t *testing.T) {
	_, now, frames := handedOver(t, 2)
	fill := func() *HandoverStore {
		s := NewHandoverStore(DefaultStoreLimits())
		s.Observe("vm.a", 1)
		for _, f := range frames {
			if !s.Put(now, f) {
				t.Fatal("Put refused")
			}
		}
		return s
	}
	s := fill()
	if s.Take(now, "vm.a", 2) == nil || s.Take(now, "vm.a", 2) != nil || s.Take(now, "vm.a", 3) != nil {
		t.Error("handover not handed out exactly once")
	}
	s = fill()
	s.Observe("vm.a", 2)
	if s.Take(now, "vm.a", 3) != nil {
		t.Error("handed out to an incarnation that is not the next")
	}
	s.Observe("vm.a", 3)
	if s.Take(now, "vm.a", 3) != nil || s.Put(now, frames[0]) {
		t.Error("handover not superseded")
	}
	s = fill()
	if s.Take(now.Add(s.limits.KeepFor), "vm.a", 2) != nil {
		t.Error("handed out too late")
	}
	s = fill()
	s.limits.Bytes = s.bytes
	if s.Put(now, vmwire.Handover{Slot: "b", Incarnation: 9, Count: 1}) {
		t.Error("byte bound not kept")
	}
}

func BenchmarkBeginFinish(b *testing.B) {
	limits := DefaultLimits()
	limits.Records, limits.TotalBytes = b.N+1, 1<<40
	tb, now := openTable(b, "a", []string{"a"}, limits)
	keys := make([]string, b.N)
	for i := range keys {
		keys[i] = fmt.Sprintf("opaque-%d", i)
	}
	answer := Answer{Status: 200, Body: []byte("done")}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		_, r := tb.Begin(now, Key{Workspace: "w", Route: "deposit", Key: keys[i]}, Digest{1})
		tb.Sending(now, r)
		tb.Finish(now, r, answer)
	}
}

func BenchmarkTicketBegin(b *testing.B) {
	tb, now := openTable(b, "a", []string{"a"}, DefaultLimits())
	k := Key{Workspace: "w", Route: "deposit", Key: tb.Issue(now, "w")}
	_, r := tb.Begin(now, k, Digest{1})
	tb.Sending(now, r)
	tb.Finish(now, r, Answer{Status: 200})
	b.ReportAllocs()
	for b.Loop() {
		tb.Begin(now, k, Digest{1})
	}
}

// BenchmarkRecordBytes reports the heap of one record with a key of 120 bytes and no kept answer.
func BenchmarkRecordBytes(b *testing.B) {
	const records = 100_000
	for b.Loop() {
		tb, now := openTable(b, "a", []string{"a"}, DefaultLimits())
		before := heapBytes()
		for i := range records {
			_, r := tb.Begin(now, Key{Workspace: "w", Route: "deposit", Key: fmt.Sprintf("%0120d", i)}, Digest{1})
			tb.Sending(now, r)
			tb.Finish(now, r, Answer{Status: 200})
		}
		b.ReportMetric(float64(heapBytes()-before)/records, "B/record")
		runtime.KeepAlive(tb)
	}
}

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
