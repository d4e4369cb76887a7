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
	// modelKeys is the number of keys in use; so few that retries of one key are frequent.
	modelKeys = 3
	// modelVMs bounds the processes that run, including replaced ones.
	modelVMs = 5
)

// modelVM is one incarnation with the steps of its calls.
type modelVM struct {
	slot        string
	incarnation uint64
	table       *Table
	store       *HandoverStore
	paused      bool
	config      int
	stopped     bool
	calls       []*modelCall
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

// modelKey is one key that callers use.
type modelKey struct {
	key  Key
	used time.Time
}

// world is a region with VMs and a service that counts executions.
type world struct {
	now        time.Time
	signer     *Signer
	limits     Limits
	vms        []*modelVM
	current    map[string]*modelVM
	replaced   map[*modelVM]time.Time
	config     int
	changedAt  time.Time
	next       uint64
	keys       [modelKeys]*modelKey
	generation [modelKeys]int
	// last is the key of the last request; retries of it are more likely than other keys.
	last     int
	runs     map[Key]int
	bodyRuns map[Key]map[Digest]int
}

func newWorld() *world {
	signer, err := NewSigner([]byte("fleet key of the model"))
	if err != nil {
		panic(err)
	}
	limits := DefaultLimits()
	limits.Records = 4
	w := &world{
		now:      time.Now(),
		signer:   signer,
		limits:   limits,
		current:  map[string]*modelVM{},
		replaced: map[*modelVM]time.Time{},
		runs:     map[Key]int{},
		bodyRuns: map[Key]map[Digest]int{},
	}
	for _, slot := range modelRosters[1] {
		w.start(slot)
	}
	w.advance(w.limits.quiet())
	return w
}

// start adds a new incarnation of a slot.
func (w *world) start(slot string) {
	w.next++
	vm := &modelVM{
		slot:        slot,
		incarnation: w.next,
		table:       New(slot, w.next, w.now, w.signer, w.limits),
		store:       NewHandoverStore(DefaultStoreLimits()),
	}
	w.adopt(vm)
	if old := w.current[slot]; old != nil {
		w.replaced[old] = w.now
	}
	w.current[slot] = vm
	w.vms = append(w.vms, vm)
}

func (w *world) adopt(vm *modelVM) {
	vm.config = w.config
	vm.table.SetRoster(w.now, Roster{Slots: modelRosters[w.config%len(modelRosters)], Placement: "p"})
}

// advance passes time; VMs that run learn the configuration and get their confirmations.
func (w *world) advance(d time.Duration) {
	if d > rosterSkew {
		w.each(w.adoptIfOlder)
	}
	w.now = w.now.Add(d)
	if w.now.Sub(w.changedAt) >= rosterSkew {
		w.each(w.adoptIfOlder)
	}
	w.each(func(vm *modelVM) {
		vm.table.Tick(w.now)
		vm.store.Tick(w.now)
		if at, ok := w.replaced[vm]; !ok || w.now.Sub(at) <= rosterSkew {
			vm.table.Renew(w.now)
		}
	})
}

func (w *world) adoptIfOlder(vm *modelVM) {
	if vm.config != w.config {
		w.adopt(vm)
	}
}

// each visits the VMs that are not paused.
func (w *world) each(visit func(*modelVM)) {
	for _, vm := range w.vms {
		if !vm.paused {
			visit(vm)
		}
	}
}

// crash ends a VM; what it ran is lost.
func (w *world) crash(vm *modelVM) {
	for i, v := range w.vms {
		if v == vm {
			w.vms = append(w.vms[:i:i], w.vms[i+1:]...)
		}
	}
	if w.current[vm.slot] == vm {
		delete(w.current, vm.slot)
	}
}

func (w *world) drawVM(t *rapid.T) *modelVM {
	if len(w.vms) == 0 {
		t.Skip("no vm")
	}
	return rapid.SampledFrom(w.vms).Draw(t, "vm")
}

// drawRunning draws a VM that is not paused.
func (w *world) drawRunning(t *rapid.T) *modelVM {
	vm := w.drawVM(t)
	if vm.paused {
		t.Skip("paused")
	}
	return vm
}

func (w *world) drawCall(t *rapid.T) (*modelVM, *modelCall) {
	vm := w.drawRunning(t)
	if len(vm.calls) == 0 {
		t.Skip("no call")
	}
	return vm, rapid.SampledFrom(vm.calls).Draw(t, "call")
}

func (vm *modelVM) end(c *modelCall) {
	for i, o := range vm.calls {
		if o == c {
			vm.calls = append(vm.calls[:i:i], vm.calls[i+1:]...)
		}
	}
}

// drawKey draws a key that callers may use now; keys outside their contract are replaced by new ones.
func (w *world) drawKey(t *rapid.T) *modelKey {
	i := w.last
	if rapid.IntRange(0, 2).Draw(t, "another") == 0 {
		i = rapid.IntRange(0, modelKeys-1).Draw(t, "key")
	}
	w.last = i
	mk := w.keys[i]
	if mk != nil && (IsTicket(mk.key.Key) || mk.used.IsZero() || w.now.Sub(mk.used) <= w.limits.Horizon) &&
		rapid.IntRange(0, 30).Draw(t, "renew") > 0 {
		return mk
	}
	// Workspaces use the same opaque keys, which must not affect each other.
	w.generation[i]++
	k := Key{Workspace: fmt.Sprintf("w%d", i), Route: "deposit", Key: fmt.Sprintf("key%d", w.generation[i])}
	if i%3 == 0 {
		k.Key = w.drawRunning(t).table.Issue(w.now, k.Workspace)
	}
	w.keys[i] = &modelKey{key: k}
	return w.keys[i]
}

// request sends a key to a VM, which need not be its owner, and within the callers' contract.
func (w *world) request(t *rapid.T) {
	mk := w.drawKey(t)
	vm := w.drawRunning(t)
	if rapid.IntRange(0, 3).Draw(t, "route") > 0 {
		vm = w.route(mk.key)
	}
	if vm == nil || vm.paused {
		t.Skip("no owner")
	}
	if mk.used.IsZero() {
		mk.used = w.now
	}
	body := Digest{1}
	if rapid.IntRange(0, 9).Draw(t, "body") == 0 {
		body = Digest{2}
	}
	outcome, r := vm.table.Begin(w.now, mk.key, body)
	w.check(t, outcome, mk.key, body)
	if outcome == Run {
		r.Deadline = w.now.Add(30 * time.Second)
		c := &modelCall{key: mk.key, body: body, record: r}
		vm.calls = append(vm.calls, c)
		w.proceed(t, vm, c)
	}
	if outcome == Replay {
		w.checkReplay(t, vm, r, mk.key)
	}
}

// proceed runs the next steps of a call, up to a drawn number.
func (w *world) proceed(t *rapid.T, vm *modelVM, c *modelCall) {
	steps := rapid.IntRange(0, 4).Draw(t, "steps")
	if steps > 0 && w.sending(t, vm, c) && steps > 1 {
		w.deliver(t, c)
		if steps > 2 {
			w.finish(t, vm, c)
		}
	}
}

// route finds the owner of a key under the newest configuration.
func (w *world) route(k Key) *modelVM {
	if ticket, err := w.signer.Parse(k.Key, k.Workspace); err == nil {
		return w.current[ticket.Slot]
	}
	return w.current[Owner(modelRosters[w.config%len(modelRosters)], k)]
}

// check asserts that a refusal that says notRun is true.
func (w *world) check(t *rapid.T, o Outcome, k Key, body Digest) {
	if o == Run || o == Replay || o == Wait || o.Ran() != NotRun {
		return
	}
	if o == KeyReused {
		if w.bodyRuns[k][body] != 0 {
			t.Fatalf("keyReused says notRun, but this body of %v ran", k)
		}
		return
	}
	if w.runs[k] != 0 {
		t.Fatalf("outcome %d says notRun, but %v ran", o, k)
	}
	for _, vm := range w.vms {
		for _, c := range vm.calls {
			if c.key == k && c.sending {
				t.Fatalf("outcome %d says notRun, but %v is being sent", o, k)
			}
		}
	}
}

func (w *world) checkReplay(t *rapid.T, vm *modelVM, r *Record, k Key) {
	state, _ := vm.table.Result(r)
	if state.Ran() == DidRun && w.runs[k] != 1 {
		t.Fatalf("the record says that %v ran, executions: %d", k, w.runs[k])
	}
	if state.Ran() == NotRun {
		t.Fatalf("a kept record of %v says notRun", k)
	}
}

// step runs one more step of a call that stopped between two steps, for example by a pause.
func (w *world) step(t *rapid.T) {
	vm, c := w.drawCall(t)
	switch {
	case !c.sending:
		w.sending(t, vm, c)
	case !c.sent:
		w.deliver(t, c)
	default:
		w.finish(t, vm, c)
	}
}

func (w *world) sending(t *rapid.T, vm *modelVM, c *modelCall) bool {
	c.sending = vm.table.Sending(w.now, c.record)
	if c.sending && c.withdrawn {
		t.Fatalf("withdrawn call %v may be sent", c.key)
	}
	if c.sending {
		return true
	}
	if state, _ := vm.table.Result(c.record); state.Ran() != NotRun {
		t.Fatalf("Sending refused, but the record says %s", state.Ran())
	}
	vm.end(c)
	return false
}

// deliver is the first byte, at any time after Sending: the process may have paused between them.
func (w *world) deliver(t *rapid.T, c *modelCall) {
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

func (w *world) finish(t *rapid.T, vm *modelVM, c *modelCall) {
	vm.end(c)
	if rapid.IntRange(0, 4).Draw(t, "unknown") == 0 {
		vm.table.Unknown(w.now, c.record)
		return
	}
	vm.table.Finish(w.now, c.record, Answer{Status: 200, Body: []byte("done")})
}

// fail ends a call of which no byte was sent.
func (w *world) fail(t *rapid.T) {
	vm, c := w.drawCall(t)
	if c.sent {
		t.Skip("sent")
	}
	if c.sending && rapid.Bool().Draw(t, "again") {
		c.sending = false
		vm.table.Unsent(w.now, c.record)
		return
	}
	vm.end(c)
	vm.table.Abandon(w.now, c.record)
}

func (w *world) withdraw(t *rapid.T) {
	vm, c := w.drawCall(t)
	c.withdrawn = vm.table.Withdraw(w.now, c.record)
	if c.withdrawn && c.sending {
		t.Fatalf("%v was withdrawn after Sending", c.key)
	}
}

// stop is a planned stop of a VM whose handover goes to another VM, possibly with lost frames.
func (w *world) stop(t *rapid.T) {
	vm := w.drawRunning(t)
	keeper := w.drawRunning(t)
	if vm == keeper || vm.stopped {
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
		keeper.store.Put(w.now, f)
	}
	if rapid.IntRange(0, 3).Draw(t, "replace") > 0 && w.current[vm.slot] == vm {
		w.succeed(t, vm.slot)
	}
}

// replace starts a successor; the old process keeps running unless it crashed.
func (w *world) replace(t *rapid.T) {
	slot := rapid.SampledFrom(modelRosters[1]).Draw(t, "slot")
	if old := w.current[slot]; old != nil && rapid.Bool().Draw(t, "crash") {
		w.crash(old)
	}
	w.succeed(t, slot)
}

// endOldest ends the oldest replaced VM if there are too many.
func (w *world) endOldest() {
	for _, vm := range w.vms {
		if len(w.vms) > modelVMs && w.current[vm.slot] != vm {
			w.crash(vm)
			return
		}
	}
}

// succeed starts the next incarnation of a slot, which may fetch the handover.
func (w *world) succeed(t *rapid.T, slot string) {
	w.start(slot)
	w.endOldest()
	if rapid.Bool().Draw(t, "observed") {
		w.each(func(vm *modelVM) { vm.store.Observe(slot, w.current[slot].incarnation) })
	}
	if rapid.IntRange(0, 3).Draw(t, "take") > 0 {
		w.takeFrom(t, w.current[slot])
	}
	w.advance(time.Second)
}

func (w *world) take(t *rapid.T) { w.takeFrom(t, w.drawRunning(t)) }

// takeFrom asks all VMs; the response may get lost.
func (w *world) takeFrom(t *rapid.T, vm *modelVM) {
	lost := rapid.IntRange(0, 4).Draw(t, "lost") == 0
	w.each(func(keeper *modelVM) {
		var frames []vmwire.Handover
		if w.current[vm.slot] == vm {
			frames = keeper.store.Take(w.now, vm.slot, vm.incarnation)
		}
		if len(frames) > 0 && !lost {
			_ = vm.table.Import(w.now, frames) // A refused import leaves the table closed.
		}
	})
}

// resume ends all pauses.
func (w *world) resume(*rapid.T) {
	for _, vm := range w.vms {
		vm.paused = false
	}
}

func (w *world) reconfigure(t *rapid.T) {
	if w.now.Sub(w.changedAt) < rosterSkew {
		t.Skip("previous change is not in force")
	}
	w.config++
	w.changedAt = w.now
	w.each(func(vm *modelVM) {
		if rapid.Bool().Draw(t, "adopts") {
			w.adopt(vm)
		}
	})
}

// Guards against a call that runs twice, and against a notRun that is not true, under crashes,
// pauses, replacement, handover, roster changes and retries at any VM.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		t.Repeat(map[string]func(*rapid.T){
			"request":     w.request,
			"request2":    w.request,
			"request3":    w.request,
			"request4":    w.request,
			"step":        w.step,
			"step2":       w.step,
			"fail":        w.fail,
			"withdraw":    w.withdraw,
			"stop":        w.stop,
			"stop2":       w.stop,
			"stop3":       w.stop,
			"replace":     w.replace,
			"take":        w.take,
			"reconfigure": w.reconfigure,
			"crash":       func(t *rapid.T) { w.crash(w.drawVM(t)) },
			"pause":       func(t *rapid.T) { vm := w.drawVM(t); vm.paused = !vm.paused },
			"resume":      w.resume,
			"second":      func(*rapid.T) { w.advance(time.Second) },
			"later": func(t *rapid.T) {
				w.advance(rapid.SampledFrom([]time.Duration{5 * time.Second, time.Minute, 4 * time.Minute, 12 * time.Minute, time.Hour}).Draw(t, "by"))
			},
		})
	})
}
