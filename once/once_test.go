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
	table := New(slot, 1, now, testSigner(t), limits)
	table.SetRoster(now, Roster{Slots: slots, Placement: "p"})
	now = now.Add(limits.opaqueKeyRetention())
	table.RenewLease(now)
	return table, now
}

// ownedKey returns an opaque key that the slot owns under all the rosters.
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

func begin(t *testing.T, table *Table, now time.Time, k Key, want Outcome) *Record {
	t.Helper()
	got, r := table.Begin(now, k, Digest{1})
	if got != want {
		t.Fatalf("Begin(%v) = %d, want %d", k, got, want)
	}
	return r
}

// run runs a call to completion.
func run(t *testing.T, table *Table, now time.Time, k Key, body string) {
	t.Helper()
	r := begin(t, table, now, k, Run)
	if !table.MarkSending(now, r) {
		t.Fatal("MarkSending refused")
	}
	table.Finish(now, r, Answer{Status: 200, Body: []byte(body)})
}

// Guards against a ticket that is accepted although a byte was changed or it belongs to another workspace or
// fleet, and against slot names that cannot be encoded in a ticket.
func TestTicketVerification(t *testing.T) {
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
func TestKeyIsolation(t *testing.T) {
	table, now := openTable(t, "a", []string{"a"}, DefaultLimits())
	k := Key{Workspace: "w", Route: "deposit", Key: "k"}
	run(t, table, now, k, "secret")
	begin(t, table, now, Key{Workspace: "w2", Route: "deposit", Key: "k"}, Run)
	begin(t, table, now, Key{Workspace: "w", Route: "filing", Key: "k"}, Run)
	if got, _ := table.Begin(now, k, Digest{2}); got != KeyReused {
		t.Errorf("another body: %d, want KeyReused", got)
	}
	r := begin(t, table, now, k, Replay)
	if s, a := table.Result(r); s != Answered || string(a.Body) != "secret" {
		t.Errorf("Result = %d %q", s, a.Body)
	}
}

// Guards against waiting requests that are not woken, keys that stay claimed after Abandon, and calls that are
// sent after their deadline.
func TestAbandonReleasesWaiters(t *testing.T) {
	table, now := openTable(t, "a", []string{"a"}, DefaultLimits())
	k := Key{Workspace: "w", Route: "deposit", Key: "k"}
	r := begin(t, table, now, k, Run)
	waiting := begin(t, table, now, k, Wait)
	table.Abandon(now, r)
	<-waiting.Done()
	if s, _ := table.Result(waiting); s.Ran() != NotRun {
		t.Errorf("the waiting request gets %s", s.Ran())
	}
	r = begin(t, table, now, k, Run)
	r.Deadline = now
	if table.MarkSending(now, r) {
		t.Error("the call was sent at its deadline")
	}
}

// Guards against two goroutines that both run one key.
func TestConcurrentBegin(t *testing.T) {
	table, now := openTable(t, "a", []string{"a"}, DefaultLimits())
	var runs atomic.Int32
	var group sync.WaitGroup
	for range 32 {
		group.Go(func() {
			outcome, r := table.Begin(now, Key{Workspace: "w", Route: "deposit", Key: "k"}, Digest{1})
			if outcome == Run && table.MarkSending(now, r) {
				runs.Add(1)
				table.Finish(now, r, Answer{Status: 200, Body: []byte("done")})
			}
			<-r.Done()
			if _, a := table.Result(r); string(a.Body) != "done" {
				t.Errorf("answer %q", a.Body)
			}
		})
	}
	group.Wait()
	if runs.Load() != 1 {
		t.Errorf("%d runs", runs.Load())
	}
}

// Guards against unbounded memory use by too many records, large answers, or records that never expire.
func TestTableLimits(t *testing.T) {
	limits := DefaultLimits()
	limits.Records, limits.AnswerBytes, limits.TotalBytes = 3, 10, 15
	table, now := openTable(t, "a", []string{"a"}, limits)
	key := func(i int) Key { return Key{Workspace: "w", Route: "deposit", Key: fmt.Sprint(i)} }
	for i, want := range []State{Answered, AnswerDropped, AnswerDropped} {
		run(t, table, now, key(i), []string{"0123456789", "too large to keep", "0123456"}[i])
		if s, _ := table.Result(begin(t, table, now, key(i), Replay)); s != want {
			t.Errorf("call %d: state %d, want %d", i, s, want)
		}
	}
	begin(t, table, now, key(3), TableFull)
	table.Tick(now.Add(limits.opaqueKeyRetention() - 1))
	if n, b := table.Size(); n != 3 || b != 10 {
		t.Errorf("before expiry: %d records, %d bytes", n, b)
	}
	table.Tick(now.Add(limits.opaqueKeyRetention()))
	if n, b := table.Size(); n != 0 || b != 0 {
		t.Errorf("after expiry: %d records, %d bytes", n, b)
	}
}

// Guards against a key that runs at both its former and its current owner after a roster change.
func TestRosterChange(t *testing.T) {
	two := []string{"vm.a", "vm-b"}
	table, now := openTable(t, "c", two, DefaultLimits())
	table.SetRoster(now, Roster{Slots: testSlots, Placement: "p"})
	k := ownedKey("c", 1, testSlots)
	begin(t, table, now, k, KeyMoved)
	now = now.Add(table.limits.opaqueKeyRetention() - 1)
	table.RenewLease(now)
	begin(t, table, now, k, KeyMoved)
	now = now.Add(1)
	begin(t, table, now, k, Run)
	table.MarkWorkspaceMoved(now, "w")
	begin(t, table, now, ownedKey("c", 2, testSlots), KeyMoved)
}

// sealedHandover returns a sealed table with n answered calls and its handover frames.
func sealedHandover(t *testing.T, n int) (*Table, time.Time, []vmwire.Handover) {
	t.Helper()
	table, now := openTable(t, "vm.a", testSlots, DefaultLimits())
	for i := range n {
		run(t, table, now, ownedKey("vm.a", i, testSlots), string(bytes.Repeat([]byte("x"), 60<<10)))
	}
	table.Seal(now)
	begin(t, table, now, ownedKey("vm.a", n, testSlots), Sealed)
	return table, now, table.Export(now)
}

// successor returns the next incarnation of vm.a.
func successor(t *testing.T, now time.Time, incarnation uint64, slots []string) *Table {
	t.Helper()
	table := New("vm.a", incarnation, now, testSigner(t), DefaultLimits())
	table.SetRoster(now, Roster{Slots: slots, Placement: "p"})
	table.RenewLease(now)
	return table
}

// Guards against handover frames above the size limit, records lost in a handover, and a successor that accepts an
// incomplete handover.
func TestHandover(t *testing.T) {
	_, now, frames := sealedHandover(t, 7)
	if len(frames) < 3 {
		t.Fatalf("%d frames", len(frames))
	}
	for _, f := range frames {
		if b, err := f.MarshalMsg(nil); err != nil || len(b) > MaxHandoverBytes {
			t.Errorf("frame of %d bytes: %v", len(b), err)
		}
	}
	table := successor(t, now, 2, testSlots)
	begin(t, table, now, ownedKey("vm.a", 0, testSlots), PredecessorUnknown)
	for i := range frames {
		missing := append(append([]vmwire.Handover{}, frames[:i]...), frames[i+1:]...)
		if table.Import(now, missing) == nil {
			t.Fatalf("import without frame %d succeeded", i)
		}
	}
	if err := table.Import(now, frames); err != nil {
		t.Fatal(err)
	}
	for i := range 7 {
		begin(t, table, now, ownedKey("vm.a", i, testSlots), Replay)
	}
	begin(t, table, now, ownedKey("vm.a", 8, testSlots), Run)
}

// Guards against a successor that runs keys which another slot owned under the predecessor's roster.
func TestHandoverRoster(t *testing.T) {
	_, now, frames := sealedHandover(t, 1)
	two := []string{"vm.a", "vm-b"}
	table := successor(t, now, 2, two)
	if err := table.Import(now, frames); err != nil {
		t.Fatal(err)
	}
	moved := ownedKey("vm.a", 5, two)
	for i := 5; Owner(testSlots, moved) == "vm.a"; i++ {
		moved = ownedKey("vm.a", i, two)
	}
	begin(t, table, now, moved, KeyMoved)
	begin(t, table, now, ownedKey("vm.a", 9, two, testSlots), Run)
	otherPlacement := New("vm.a", 3, now, testSigner(t), DefaultLimits())
	otherPlacement.SetRoster(now, Roster{Slots: testSlots, Placement: "another"})
	if otherPlacement.Import(now, frames) == nil {
		t.Error("handover of another placement accepted")
	}
}

// Guards against a handover with missing calls, because it was exported too late after Seal or by a table that
// does not know its own predecessor's calls.
func TestExportRefusedWhenIncomplete(t *testing.T) {
	table, now := openTable(t, "vm.a", testSlots, DefaultLimits())
	table.Seal(now)
	now = now.Add(maxExportDelay + 1)
	table.RenewLease(now)
	if table.Export(now) != nil {
		t.Error("a late export returned frames")
	}
	unresolved := successor(t, now, 2, testSlots)
	unresolved.Seal(now)
	if unresolved.Export(now) != nil {
		t.Error("a table without its predecessor's calls exported frames")
	}
}

// Guards against a call that is retried at another upstream after the table was sealed and its record handed over.
func TestSealedAfterUnsent(t *testing.T) {
	table, now := openTable(t, "a", []string{"a"}, DefaultLimits())
	r := begin(t, table, now, Key{Workspace: "w", Route: "deposit", Key: "k"}, Run)
	if !table.MarkSending(now, r) {
		t.Fatal("MarkSending refused")
	}
	table.Seal(now)
	table.MarkUnsent(now, r)
	if table.MarkSending(now, r) {
		t.Error("the call was sent after Seal")
	}
}

// Guards against a handover that is used by two successors, or by an incarnation that does not directly follow its
// sender.
func TestHandoverStoreTakesOnce(t *testing.T) {
	_, now, frames := sealedHandover(t, 2)
	fill := func() *HandoverStore {
		s := NewHandoverStore(DefaultStoreLimits())
		s.ObserveIncarnation("vm.a", 1)
		for _, f := range frames {
			if !s.Put(now, f) {
				t.Fatal("Put refused")
			}
		}
		return s
	}
	s := fill()
	if s.Take(now, "vm.a", 2) == nil || s.Take(now, "vm.a", 2) != nil || s.Take(now, "vm.a", 3) != nil {
		t.Error("the handover was not returned exactly once")
	}
	s = fill()
	s.ObserveIncarnation("vm.a", 2)
	if s.Take(now, "vm.a", 3) != nil {
		t.Error("the handover was returned to an incarnation that is not the next")
	}
	s.ObserveIncarnation("vm.a", 3)
	if s.Take(now, "vm.a", 3) != nil || s.Put(now, frames[0]) {
		t.Error("the handover or a frame of an old incarnation was accepted after a later incarnation was observed")
	}
	s = fill()
	if s.Take(now.Add(s.limits.Retention), "vm.a", 2) != nil {
		t.Error("the handover was returned after its retention time")
	}
	s = fill()
	s.limits.Bytes = s.bytes
	if s.Put(now, vmwire.Handover{Slot: "b", Incarnation: 9, Count: 1}) {
		t.Error("a frame above the size limit was stored")
	}
}

// BenchmarkBeginFinish measures a call with an opaque key from Begin to Finish.
func BenchmarkBeginFinish(b *testing.B) {
	limits := DefaultLimits()
	limits.Records, limits.TotalBytes = b.N+1, 1<<40
	table, now := openTable(b, "a", []string{"a"}, limits)
	keys := make([]string, b.N)
	for i := range keys {
		keys[i] = fmt.Sprintf("opaque-%d", i)
	}
	answer := Answer{Status: 200, Body: []byte("done")}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		_, r := table.Begin(now, Key{Workspace: "w", Route: "deposit", Key: keys[i]}, Digest{1})
		table.MarkSending(now, r)
		table.Finish(now, r, answer)
	}
}

// BenchmarkTicketBegin measures Begin for a ticket whose call has ended.
func BenchmarkTicketBegin(b *testing.B) {
	table, now := openTable(b, "a", []string{"a"}, DefaultLimits())
	k := Key{Workspace: "w", Route: "deposit", Key: table.IssueTicket(now, "w")}
	_, r := table.Begin(now, k, Digest{1})
	table.MarkSending(now, r)
	table.Finish(now, r, Answer{Status: 200})
	b.ReportAllocs()
	for b.Loop() {
		table.Begin(now, k, Digest{1})
	}
}

// BenchmarkRecordBytes reports the heap size of one record with a key of 120 bytes and an empty answer.
func BenchmarkRecordBytes(b *testing.B) {
	const records = 100_000
	for b.Loop() {
		table, now := openTable(b, "a", []string{"a"}, DefaultLimits())
		before := heapBytes()
		for i := range records {
			_, r := table.Begin(now, Key{Workspace: "w", Route: "deposit", Key: fmt.Sprintf("%0120d", i)}, Digest{1})
			table.MarkSending(now, r)
			table.Finish(now, r, Answer{Status: 200})
		}
		b.ReportMetric(float64(heapBytes()-before)/records, "B/record")
		runtime.KeepAlive(table)
	}
}

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
