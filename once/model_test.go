package once

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"parsleyhatch/vmwire"
)

// rosterSkew is the longest time in which VMs of the model use different rosters.
const rosterSkew = 3 * time.Second

var modelRosters = [][]string{{"vm.a", "vm-b"}, {"vm.a", "vm-b", "c"}, {"vm-b", "c"}}

const (
	// modelKeys is the number of keys in use. It is small so that retries of the same key are frequent.
	modelKeys = 3
	// modelVMs is the maximum number of running processes, including replaced ones.
	modelVMs = 5
)

// modelVM is one incarnation with its running calls.
type modelVM struct {
	slot          string
	incarnation   uint64
	table         *Table
	store         *HandoverStore
	paused        bool
	configVersion int
	stopped       bool
	calls         []*modelCall
}

// modelCall is one call that a VM runs.
type modelCall struct {
	key       Key
	body      Digest
	record    *Record
	sending   bool
	sent      bool
	withdrawn bool
}

// modelKey is one key that callers use; firstUsedAt is zero before its first use.
type modelKey struct {
	key         Key
	firstUsedAt time.Time
}

// regionModel simulates a region with VMs and a service that counts executions.
type regionModel struct {
	now             time.Time
	signer          *Signer
	limits          Limits
	vms             []*modelVM
	current         map[string]*modelVM
	replaced        map[*modelVM]time.Time
	configVersion   int
	configChangedAt time.Time
	lastIncarnation uint64
	keys            [modelKeys]*modelKey
	keyGenerations  [modelKeys]int
	// lastKeyIndex is the index of the last request's key, which is drawn more often than the others.
	lastKeyIndex int
	runs         map[Key]int
	bodyRuns     map[Key]map[Digest]int
}

func newRegionModel() *regionModel {
	signer, err := NewSigner([]byte("fleet key of the model"))
	if err != nil {
		panic(err)
	}
	limits := DefaultLimits()
	limits.Records = 4
	w := &regionModel{
		now:      time.Now(),
		signer:   signer,
		limits:   limits,
		current:  map[string]*modelVM{},
		replaced: map[*modelVM]time.Time{},
		runs:     map[Key]int{},
		bodyRuns: map[Key]map[Digest]int{},
	}
	for _, slot := range modelRosters[1] {
		w.startVM(slot)
	}
	w.advance(w.limits.opaqueKeyRetention())
	return w
}

// startVM starts a new incarnation of a slot.
func (w *regionModel) startVM(slot string) {
	w.lastIncarnation++
	vm := &modelVM{
		slot:        slot,
		incarnation: w.lastIncarnation,
		table:       New(slot, w.lastIncarnation, w.now, w.signer, w.limits),
		store:       NewHandoverStore(DefaultStoreLimits()),
	}
	w.acceptConfig(vm)
	if old := w.current[slot]; old != nil {
		w.replaced[old] = w.now
	}
	w.current[slot] = vm
	w.vms = append(w.vms, vm)
}

func (w *regionModel) acceptConfig(vm *modelVM) {
	vm.configVersion = w.configVersion
	vm.table.SetRoster(w.now, Roster{Slots: modelRosters[w.configVersion%len(modelRosters)], Placement: "p"})
}

// advance moves the time forward. VMs that are not paused receive the configuration and, unless they were replaced
// more than rosterSkew ago, renew their lease.
func (w *regionModel) advance(d time.Duration) {
	if d > rosterSkew {
		w.forEachRunning(w.acceptNewestConfig)
	}
	w.now = w.now.Add(d)
	if w.now.Sub(w.configChangedAt) >= rosterSkew {
		w.forEachRunning(w.acceptNewestConfig)
	}
	w.forEachRunning(func(vm *modelVM) {
		vm.table.Tick(w.now)
		vm.store.Tick(w.now)
		if at, ok := w.replaced[vm]; !ok || w.now.Sub(at) <= rosterSkew {
			vm.table.RenewLease(w.now)
		}
	})
}

func (w *regionModel) acceptNewestConfig(vm *modelVM) {
	if vm.configVersion != w.configVersion {
		w.acceptConfig(vm)
	}
}

// forEachRunning calls visit for each VM that is not paused.
func (w *regionModel) forEachRunning(visit func(*modelVM)) {
	for _, vm := range w.vms {
		if !vm.paused {
			visit(vm)
		}
	}
}

// crash removes a VM together with its records.
func (w *regionModel) crash(vm *modelVM) {
	for i, v := range w.vms {
		if v == vm {
			w.vms = append(w.vms[:i:i], w.vms[i+1:]...)
		}
	}
	if w.current[vm.slot] == vm {
		delete(w.current, vm.slot)
	}
}

func (w *regionModel) drawVM(t *rapid.T) *modelVM {
	if len(w.vms) == 0 {
		t.Skip("no vm")
	}
	return rapid.SampledFrom(w.vms).Draw(t, "vm")
}

// drawRunning draws a VM that is not paused.
func (w *regionModel) drawRunning(t *rapid.T) *modelVM {
	vm := w.drawVM(t)
	if vm.paused {
		t.Skip("paused")
	}
	return vm
}

func (w *regionModel) drawCall(t *rapid.T) (*modelVM, *modelCall) {
	vm := w.drawRunning(t)
	if len(vm.calls) == 0 {
		t.Skip("no call")
	}
	return vm, rapid.SampledFrom(vm.calls).Draw(t, "call")
}

func (vm *modelVM) removeCall(c *modelCall) {
	for i, o := range vm.calls {
		if o == c {
			vm.calls = append(vm.calls[:i:i], vm.calls[i+1:]...)
		}
	}
}

// drawKey draws a key that callers may use now. An opaque key that was first used longer than the horizon ago is
// replaced by a new one.
func (w *regionModel) drawKey(t *rapid.T) *modelKey {
	i := w.lastKeyIndex
	if rapid.IntRange(0, 2).Draw(t, "another") == 0 {
		i = rapid.IntRange(0, modelKeys-1).Draw(t, "key")
	}
	w.lastKeyIndex = i
	entry := w.keys[i]
	if entry != nil && (IsTicket(entry.key.Key) || entry.firstUsedAt.IsZero() || w.now.Sub(entry.firstUsedAt) <= w.limits.Horizon) &&
		rapid.IntRange(0, 30).Draw(t, "renew") > 0 {
		return entry
	}
	// Different workspaces use the same opaque keys and must not affect each other.
	w.keyGenerations[i]++
	k := Key{Workspace: fmt.Sprintf("w%d", i), Route: "deposit", Key: fmt.Sprintf("key%d", w.keyGenerations[i])}
	if i%3 == 0 {
		k.Key = w.drawRunning(t).table.IssueTicket(w.now, k.Workspace)
	}
	w.keys[i] = &modelKey{key: k}
	return w.keys[i]
}

// request sends a call to a VM, which is not always the owner of the key.
func (w *regionModel) request(t *rapid.T) {
	entry := w.drawKey(t)
	vm := w.drawRunning(t)
	if rapid.IntRange(0, 3).Draw(t, "route") > 0 {
		vm = w.keyOwner(entry.key)
	}
	if vm == nil || vm.paused {
		t.Skip("no owner")
	}
	if entry.firstUsedAt.IsZero() {
		entry.firstUsedAt = w.now
	}
	body := Digest{1}
	if rapid.IntRange(0, 9).Draw(t, "body") == 0 {
		body = Digest{2}
	}
	outcome, r := vm.table.Begin(w.now, entry.key, body)
	w.checkRefusal(t, outcome, entry.key, body)
	if outcome == Run {
		r.Deadline = w.now.Add(30 * time.Second)
		c := &modelCall{key: entry.key, body: body, record: r}
		vm.calls = append(vm.calls, c)
		w.runSteps(t, vm, c)
	}
	if outcome == Replay {
		w.checkReplay(t, vm, r, entry.key)
	}
}

// runSteps runs a drawn number of steps of a call.
func (w *regionModel) runSteps(t *rapid.T, vm *modelVM, c *modelCall) {
	steps := rapid.IntRange(0, 4).Draw(t, "steps")
	if steps > 0 && w.sending(t, vm, c) && steps > 1 {
		w.sendFirstByte(t, c)
		if steps > 2 {
			w.finish(t, vm, c)
		}
	}
}

// keyOwner returns the owner of a key under the newest configuration.
func (w *regionModel) keyOwner(k Key) *modelVM {
	if ticket, err := w.signer.Parse(k.Key, k.Workspace); err == nil {
		return w.current[ticket.Slot]
	}
	return w.current[Owner(modelRosters[w.configVersion%len(modelRosters)], k)]
}

// checkRefusal fails the test if a refusal reports notRun for a call that ran or is being sent.
func (w *regionModel) checkRefusal(t *rapid.T, o Outcome, k Key, body Digest) {
	if o == Run || o == Replay || o == Wait || o.Ran() != NotRun {
		return
	}
	if o == KeyReused {
		if w.bodyRuns[k][body] != 0 {
			t.Fatalf("keyReused reports notRun, but this body of %v ran", k)
		}
		return
	}
	if w.runs[k] != 0 {
		t.Fatalf("outcome %d reports notRun, but %v ran", o, k)
	}
	for _, vm := range w.vms {
		for _, c := range vm.calls {
			if c.key == k && c.sending {
				t.Fatalf("outcome %d reports notRun, but %v is being sent", o, k)
			}
		}
	}
}

func (w *regionModel) checkReplay(t *rapid.T, vm *modelVM, r *Record, k Key) {
	state, _ := vm.table.Result(r)
	if state.Ran() == HasRun && w.runs[k] != 1 {
		t.Fatalf("the record reports that %v ran, but it was executed %d times", k, w.runs[k])
	}
	if state.Ran() == NotRun {
		t.Fatalf("a stored record of %v reports notRun", k)
	}
}

// resumeCall runs the next step of a call that was interrupted between two steps, for example by a pause.
func (w *regionModel) resumeCall(t *rapid.T) {
	vm, c := w.drawCall(t)
	switch {
	case !c.sending:
		w.sending(t, vm, c)
	case !c.sent:
		w.sendFirstByte(t, c)
	default:
		w.finish(t, vm, c)
	}
}

func (w *regionModel) sending(t *rapid.T, vm *modelVM, c *modelCall) bool {
	c.sending = vm.table.MarkSending(w.now, c.record)
	if c.sending && c.withdrawn {
		t.Fatalf("withdrawn call %v may be sent", c.key)
	}
	if c.sending {
		return true
	}
	if state, _ := vm.table.Result(c.record); state.Ran() != NotRun {
		t.Fatalf("MarkSending refused, but the record reports %s", state.Ran())
	}
	vm.removeCall(c)
	return false
}

// sendFirstByte sends the first byte of a call. It may happen at any time after MarkSending, since the process may be
// paused in between.
func (w *regionModel) sendFirstByte(t *rapid.T, c *modelCall) {
	c.sent = true
	w.runs[c.key]++
	if w.bodyRuns[c.key] == nil {
		w.bodyRuns[c.key] = map[Digest]int{}
	}
	w.bodyRuns[c.key][c.body]++
	if w.runs[c.key] > 1 {
		t.Fatalf("%v ran %d times", c.key, w.runs[c.key])
	}
}

func (w *regionModel) finish(t *rapid.T, vm *modelVM, c *modelCall) {
	vm.removeCall(c)
	if rapid.IntRange(0, 4).Draw(t, "unknown") == 0 {
		vm.table.FinishUnknown(w.now, c.record)
		return
	}
	vm.table.Finish(w.now, c.record, Answer{Status: 200, Body: []byte("done")})
}

// failUnsent fails a call before any byte was sent, and either returns it to Claimed or abandons it.
func (w *regionModel) failUnsent(t *rapid.T) {
	vm, c := w.drawCall(t)
	if c.sent {
		t.Skip("sent")
	}
	if c.sending && rapid.Bool().Draw(t, "again") {
		c.sending = false
		vm.table.MarkUnsent(w.now, c.record)
		return
	}
	vm.removeCall(c)
	vm.table.Abandon(w.now, c.record)
}

func (w *regionModel) withdraw(t *rapid.T) {
	vm, c := w.drawCall(t)
	c.withdrawn = vm.table.Withdraw(w.now, c.record)
	if c.withdrawn && c.sending {
		t.Fatalf("%v was withdrawn after MarkSending", c.key)
	}
}

// stop stops a VM as planned. Its handover goes to another VM, and its last frame may be lost.
func (w *regionModel) stop(t *rapid.T) {
	vm := w.drawRunning(t)
	receiver := w.drawRunning(t)
	if vm == receiver || vm.stopped {
		t.Skip("no stop")
	}
	vm.stopped = true
	vm.table.Seal(w.now)
	if rapid.IntRange(0, 9).Draw(t, "pause") == 0 {
		w.advance(5 * time.Second)
	}
	frames := vm.table.Export(w.now)
	if rapid.IntRange(0, 9).Draw(t, "lose") == 0 && len(frames) > 0 {
		frames = frames[:len(frames)-1]
	}
	for _, f := range frames {
		receiver.store.Put(w.now, f)
	}
	if rapid.IntRange(0, 3).Draw(t, "replace") > 0 && w.current[vm.slot] == vm {
		w.startSuccessor(t, vm.slot)
	}
}

// replace starts a successor of a slot. The old process keeps running unless it crashed.
func (w *regionModel) replace(t *rapid.T) {
	slot := rapid.SampledFrom(modelRosters[1]).Draw(t, "slot")
	if old := w.current[slot]; old != nil && rapid.Bool().Draw(t, "crash") {
		w.crash(old)
	}
	w.startSuccessor(t, slot)
}

// stopOldestReplaced removes the oldest replaced VM if there are more than modelVMs VMs.
func (w *regionModel) stopOldestReplaced() {
	for _, vm := range w.vms {
		if len(w.vms) > modelVMs && w.current[vm.slot] != vm {
			w.crash(vm)
			return
		}
	}
}

// startSuccessor starts the next incarnation of a slot, which may fetch the handover.
func (w *regionModel) startSuccessor(t *rapid.T, slot string) {
	w.startVM(slot)
	w.stopOldestReplaced()
	if rapid.Bool().Draw(t, "observed") {
		w.forEachRunning(func(vm *modelVM) { vm.store.ObserveIncarnation(slot, w.current[slot].incarnation) })
	}
	if rapid.IntRange(0, 3).Draw(t, "take") > 0 {
		w.takeHandoverFor(t, w.current[slot])
	}
	w.advance(time.Second)
}

func (w *regionModel) takeHandover(t *rapid.T) { w.takeHandoverFor(t, w.drawRunning(t)) }

// takeHandoverFor fetches the handover for a VM from all VMs. The responses may be lost.
func (w *regionModel) takeHandoverFor(t *rapid.T, vm *modelVM) {
	lost := rapid.IntRange(0, 4).Draw(t, "lost") == 0
	w.forEachRunning(func(peer *modelVM) {
		var frames []vmwire.Handover
		if w.current[vm.slot] == vm {
			frames = peer.store.Take(w.now, vm.slot, vm.incarnation)
		}
		if len(frames) > 0 && !lost {
			_ = vm.table.Import(w.now, frames) // A refused import leaves the predecessor's calls unknown.
		}
	})
}

// resumeAll ends all pauses.
func (w *regionModel) resumeAll(*rapid.T) {
	for _, vm := range w.vms {
		vm.paused = false
	}
}

func (w *regionModel) reconfigure(t *rapid.T) {
	if w.now.Sub(w.configChangedAt) < rosterSkew {
		t.Skip("previous change is not in force")
	}
	w.configVersion++
	w.configChangedAt = w.now
	w.forEachRunning(func(vm *modelVM) {
		if rapid.Bool().Draw(t, "adopts") {
			w.acceptConfig(vm)
		}
	})
}

// Guards against a call that runs twice, and against notRun being reported for a call that ran, under crashes,
// pauses, replacements, handovers, roster changes and retries at any VM.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newRegionModel()
		t.Repeat(map[string]func(*rapid.T){
			"request":     w.request,
			"request2":    w.request,
			"request3":    w.request,
			"request4":    w.request,
			"step":        w.resumeCall,
			"step2":       w.resumeCall,
			"fail":        w.failUnsent,
			"withdraw":    w.withdraw,
			"stop":        w.stop,
			"stop2":       w.stop,
			"stop3":       w.stop,
			"replace":     w.replace,
			"take":        w.takeHandover,
			"reconfigure": w.reconfigure,
			"crash":       func(t *rapid.T) { w.crash(w.drawVM(t)) },
			"pause":       func(t *rapid.T) { vm := w.drawVM(t); vm.paused = !vm.paused },
			"resume":      w.resumeAll,
			"second":      func(*rapid.T) { w.advance(time.Second) },
			"later": func(t *rapid.T) {
				w.advance(rapid.SampledFrom([]time.Duration{5 * time.Second, time.Minute, 4 * time.Minute, 12 * time.Minute, time.Hour}).Draw(t, "by"))
			},
		})
	})
}
