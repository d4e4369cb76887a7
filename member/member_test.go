package member

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"parsleyhatch/config"
	"parsleyhatch/fixedseed"
)

// TestMain fixes the seed of the randomised tests.
func TestMain(m *testing.M) { os.Exit(fixedseed.RunTests(m, fixedseed.Defaults{Seed: "7"})) }

var epoch = time.UnixMilli(1_700_000_000_000)

// roster returns regions r0, r1, ... of size VMs each, spread over domains failure domains.
func roster(regions, size, domains int) []config.VM {
	var vms []config.VM
	for r := range regions {
		for i := range size {
			vms = append(vms, config.VM{Name: fmt.Sprintf("r%d-%02d", r, i), Region: fmt.Sprint("r", r), FailureDomain: fmt.Sprintf("r%d-d%d", r, i%domains)})
		}
	}
	return vms
}

// process is one incarnation in the simulated deployment.
type process struct {
	slot, region  string
	table         *Table
	dead          bool
	pausedUntil   time.Time
	isolatedUntil time.Time
	nextRound     time.Time
	leaseEnd      time.Time
}

type message struct {
	deliverAt time.Time
	from, to  *process
	heartbeat *Heartbeat
	ack       *Ack
}

// simulation passes heartbeats between processes and records their leases.
type simulation struct {
	fatalf       func(string, ...any)
	rng          *rand.Rand
	now          time.Time
	vms          []config.VM
	processes    []*process
	messages     []message
	lossPercent  int
	incarnations uint64
	sentViews    int
	died         []string
}

func newSimulation(fatalf func(string, ...any), seed uint64, vms []config.VM) *simulation {
	w := &simulation{fatalf: fatalf, rng: rand.New(rand.NewPCG(seed, 1)), now: epoch, vms: vms}
	for _, vm := range vms {
		w.start(vm)
	}
	return w
}

func (w *simulation) start(vm config.VM) *process {
	w.incarnations++
	p := &process{slot: vm.Name, region: vm.Region, nextRound: w.now.Add(w.randomMillis(500))}
	p.table = New(w.now, vm.Name, Incarnation{Number: w.incarnations, StartedAtUnixMilli: w.now.UnixMilli()})
	p.table.SetRoster(w.vms)
	w.processes = append(w.processes, p)
	return p
}

func (w *simulation) randomMillis(most int) time.Duration {
	return time.Duration(w.rng.IntN(most+1)) * time.Millisecond
}

// step advances the time by 50 ms.
func (w *simulation) step() {
	w.now = w.now.Add(50 * time.Millisecond)
	for _, p := range w.processes {
		if p.dead || p.pausedUntil.After(w.now) {
			continue
		}
		w.tick(p)
	}
	var due []message
	w.messages = slices.DeleteFunc(w.messages, func(m message) bool {
		if m.deliverAt.After(w.now) || m.to.pausedUntil.After(w.now) {
			return false
		}
		due = append(due, m)
		return true
	})
	for _, m := range due {
		w.deliver(m)
	}
	w.checkSingleHolder()
}

// tick runs one process. The platform's list shows every slot with a running process as live.
func (w *simulation) tick(p *process) {
	if p.nextRound.After(w.now) {
		w.recordChanges(p, p.table.Tick(w.now))
		return
	}
	p.nextRound = w.now.Add(HeartbeatInterval)
	var list []PlatformVM
	for _, o := range w.processes {
		if !o.dead {
			list = append(list, PlatformVM{Slot: o.slot, Live: true})
		}
	}
	p.table.SetPlatformList(list)
	w.recordChanges(p, p.table.Tick(w.now))
	sequence := p.table.StartRound(w.now)
	for _, target := range p.table.Targets(w.now) {
		h := p.table.Heartbeat(w.now, target, sequence)
		w.sentViews += len(h.Views)
		for _, o := range w.processes {
			if o.slot == target {
				w.send(message{from: p, to: o, heartbeat: &h})
			}
		}
	}
}

func (w *simulation) recordChanges(p *process, c Changes) {
	w.died = append(w.died, c.NewlyDead...)
	if c.PauseDuration > 0 {
		p.leaseEnd = earlier(p.leaseEnd, w.now)
	}
	w.recordLease(p, c.Lease)
}

func (w *simulation) recordLease(p *process, l Lease) {
	if l.Valid() {
		p.leaseEnd = later(p.leaseEnd, l.To)
	}
	if p.table.Superseded() {
		p.leaseEnd = earlier(p.leaseEnd, w.now)
	}
}

func (w *simulation) send(m message) {
	if m.from.isolatedUntil.After(w.now) || m.to.isolatedUntil.After(w.now) || w.rng.IntN(100) < w.lossPercent {
		return
	}
	m.deliverAt = w.now.Add(w.randomMillis(20))
	w.messages = append(w.messages, m)
}

func (w *simulation) deliver(m message) {
	if m.to.dead {
		return
	}
	if m.ack != nil {
		w.recordLease(m.to, m.to.table.RecordAck(w.now, *m.ack))
		return
	}
	m.to.table.RecordHeartbeat(w.now, *m.heartbeat)
	if a, ok := m.to.table.Acknowledge(w.now, *m.heartbeat); ok {
		w.send(message{from: m.to, to: m.from, ack: &a})
	}
}

// checkSingleHolder fails if two incarnations of a slot have authority at once. Authority counts
// for one more second after a lease, since tokens in transfer outlive it by that time.
func (w *simulation) checkSingleHolder() {
	holders := map[string]*process{}
	for _, p := range w.processes {
		if p.dead || !p.leaseEnd.Add(time.Second).After(w.now) {
			continue
		}
		if o := holders[p.slot]; o != nil && (p.leaseEnd.After(w.now) || o.leaseEnd.After(w.now)) {
			w.fatalf("two incarnations of %s have authority at %v", p.slot, w.now.Sub(epoch))
		}
		holders[p.slot] = p
	}
}

// Guards against two incarnations of a slot that accrue its tokens at the same time, after
// replacements, restarts, pauses, network partitions and lost messages.
func TestSingleLeaseHolder(t *testing.T) {
	leased, total := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		vms := roster(1, rapid.IntRange(2, 10).Draw(rt, "size"), 3)
		w := newSimulation(rt.Fatalf, rapid.Uint64().Draw(rt, "seed"), vms)
		w.lossPercent = []int{0, 10, 30}[w.rng.IntN(3)]
		for range 900 {
			p := w.processes[w.rng.IntN(len(w.processes))]
			switch w.rng.IntN(300) {
			case 0: // Replaced while the old process still runs, possibly partitioned.
				p.isolatedUntil = w.now.Add(w.randomMillis(8000))
				w.start(vms[slices.IndexFunc(vms, func(v config.VM) bool { return v.Name == p.slot })])
			case 1: // Restarted, which loses the state of the process.
				p.dead = true
				w.start(vms[slices.IndexFunc(vms, func(v config.VM) bool { return v.Name == p.slot })])
			case 2:
				p.pausedUntil = w.now.Add(w.randomMillis(4000))
			case 3:
				p.isolatedUntil = w.now.Add(w.randomMillis(5000))
			}
			w.step()
			for _, p := range w.processes {
				if p.leaseEnd.After(w.now) {
					leased++
				}
			}
			total += len(vms)
		}
	})
	t.Logf("slots had authority for %.1f%% of the time", 100*float64(leased)/float64(total))
}

// Guards against VMs of a large region that count each other as dead without a failure, and against
// a failure that is detected late.
func TestLivenessInLargeRegion(t *testing.T) {
	w := newSimulation(t.Fatalf, 1, roster(3, 21, 4))
	run := func(d time.Duration) {
		for end := w.now.Add(d); w.now.Before(end); {
			w.step()
		}
	}
	run(5 * time.Second)
	w.died, w.sentViews = nil, 0
	run(20 * time.Second)
	inRegion := slices.DeleteFunc(w.died, func(s string) bool { return s[:2] != "r0" })
	if len(inRegion) > 0 {
		t.Errorf("VMs counted as dead without a failure: %v", inRegion)
	}
	t.Logf("%.0f views per second and VM", float64(w.sentViews)/20/float64(len(w.vms)))
	for _, p := range w.processes[1:] {
		if p.region == "r0" && len(p.table.LiveSlots(w.now, "r0")) != 21 {
			t.Errorf("%s sees %d of 21 VMs", p.slot, len(p.table.LiveSlots(w.now, "r0")))
		}
	}
	w.processes[0].dead = true
	for range 60 {
		w.step()
		seen := 0
		for _, p := range w.processes[1:21] {
			if p.table.Alive(w.now, w.processes[0].slot) {
				seen++
			}
		}
		if seen == 0 {
			return
		}
	}
	t.Error("a dead VM still counted as live after 3 s")
}

// Guards against VMs with equal views that choose different readers, watchers or representatives,
// and against dead VMs that are given a role.
func TestRolesAgree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		vms := roster(rapid.IntRange(1, 3).Draw(rt, "regions"), rapid.IntRange(1, 12).Draw(rt, "size"), 3)
		state := map[string]int{} // 0 is live, 1 is leaving, 2 is dead.
		for _, vm := range vms {
			state[vm.Name] = rapid.IntRange(0, 2).Draw(rt, vm.Name)
		}
		first := map[string]string{}
		for _, self := range vms {
			if state[self.Name] == 2 {
				continue
			}
			table := New(epoch, self.Name, Incarnation{Number: 1})
			table.SetRoster(vms)
			table.SetOwnState(true, state[self.Name] == 1)
			for _, vm := range vms {
				if vm.Name != self.Name && state[vm.Name] < 2 {
					table.RecordHeartbeat(epoch, Heartbeat{Slot: vm.Name, Incarnation: Incarnation{Number: 1}, Ready: true, Leaving: state[vm.Name] == 1})
				}
			}
			for _, vm := range vms {
				roles := map[string][]string{
					"readers":         table.ConfigReaders(epoch, vm.Region),
					"representatives": table.Representatives(epoch, vm.Region, "r1"),
					"watcher":         {table.Watcher(epoch, "u"+vm.Name, vm.Region, vm.FailureDomain)},
				}
				for role, slots := range roles {
					key := role + vm.Name
					if got := fmt.Sprint(slots); first[key] == "" {
						first[key] = got
					} else if first[key] != got {
						rt.Fatalf("%s of %s: %s and %s", role, vm.Name, first[key], got)
					}
					if len(slots) > 2 || slices.ContainsFunc(slots, func(s string) bool { return state[s] == 2 && s != "" }) {
						rt.Fatalf("%s of %s are %v", role, vm.Name, slots)
					}
				}
			}
		}
	})
}

// Guards against target lists that leave VMs of a small region without heartbeats or that send too
// many heartbeats in a large one.
func TestTargets(t *testing.T) {
	cases := []struct {
		name                   string
		regions, size, domains int
		least, most            int
	}{
		{"one VM", 1, 1, 1, 0, 0},
		{"full mesh of 8", 1, 8, 3, 7, 7},
		{"large region", 1, 21, 4, 7, 8},
		{"three regions", 3, 3, 3, 2, 6},
		{"35 regions", 35, 21, 4, 7, 8 + 34},
	}
	for _, c := range cases {
		vms := roster(c.regions, c.size, c.domains)
		for _, self := range vms {
			table := New(epoch, self.Name, Incarnation{Number: 1})
			table.SetRoster(vms)
			table.announcedAt = epoch
			for _, vm := range vms {
				table.RecordHeartbeat(epoch, Heartbeat{Slot: vm.Name, Incarnation: Incarnation{Number: 1}})
			}
			got := table.Targets(epoch)
			if len(got) < c.least || len(got) > c.most || slices.Contains(got, self.Name) {
				t.Errorf("%s: %s has %d targets %v, want %d to %d", c.name, self.Name, len(got), got, c.least, c.most)
			}
		}
	}
}

// Guards against a lease that is granted after a pause for a heartbeat sent before it, and against
// a newer incarnation that goes unnoticed because both started in the same millisecond.
func TestLeaseEndsWhenSupersededOrPaused(t *testing.T) {
	w := newSimulation(t.Fatalf, 1, roster(1, 3, 3))
	for range 200 {
		w.step()
	}
	p := w.processes[0]
	if !p.leaseEnd.After(w.now) {
		t.Fatal("no authority after 10 s")
	}
	sequence := p.table.StartRound(w.now)
	ack := Ack{Slot: "r0-01", Incarnation: w.processes[1].table.incarnation, Sequence: sequence, NewestIncarnation: p.table.incarnation, Confirms: true}
	if !p.table.RecordAck(w.now, ack).Valid() {
		t.Error("an acknowledged heartbeat granted no lease")
	}
	late := w.now.Add(MaxTickGap + 100*time.Millisecond)
	if p.table.RecordAck(late, ack).Valid() {
		t.Error("lease granted for a heartbeat sent before a pause that Tick has not detected")
	}
	if c := p.table.Tick(late); c.PauseDuration == 0 || len(c.NewlyDead) > 0 {
		t.Errorf("pause not detected, or others counted as dead: %+v", c)
	}
	if p.table.RecordAck(late, ack).Valid() {
		t.Error("lease granted for a heartbeat sent before the pause")
	}
	newer := p.table.incarnation
	newer.Number += 100
	p.table.RecordHeartbeat(late, Heartbeat{Slot: "r0-01", Incarnation: ack.Incarnation, Views: []View{{Slot: p.slot, Incarnation: newer}}})
	if !p.table.Superseded() {
		t.Error("a newer incarnation with the same start time was not detected")
	}
}

// Guards against an incarnation that completes its announcement while a VM that may confirm its
// predecessor does not know it, and against a missing or outdated platform list that blocks the
// announcement forever.
func TestAnnouncement(t *testing.T) {
	cases := []struct {
		name   string
		list   []PlatformVM
		silent bool // The second peer does not respond.
		after  time.Duration
		want   bool
	}{
		{"all acknowledged", nil, false, 0, true},
		{"silent and listed live", []PlatformVM{{Slot: "r0-02", Live: true}}, true, time.Minute, false},
		{"silent and not listed, at once", []PlatformVM{{Slot: "r0-01", Live: true}}, true, time.Second, false},
		{"silent and not listed", []PlatformVM{{Slot: "r0-01", Live: true}}, true, HeartbeatTimeout, true},
		{"silent without a list, early", nil, true, platformListTimeout - time.Second, false},
		{"silent without a list", nil, true, platformListTimeout, true},
	}
	for _, c := range cases {
		table := New(epoch, "r0-00", Incarnation{Number: 9})
		table.SetRoster(roster(1, 3, 3))
		if c.list != nil {
			table.SetPlatformList(c.list)
		}
		sequence := table.StartRound(epoch)
		for _, slot := range []string{"r0-01", "r0-02"} {
			if slot == "r0-01" || !c.silent {
				table.RecordAck(epoch, Ack{Slot: slot, Incarnation: Incarnation{Number: 1}, Sequence: sequence, NewestIncarnation: table.incarnation})
			}
		}
		if got := table.announcementComplete(epoch.Add(c.after)); got != c.want {
			t.Errorf("%s: announced %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against a VM that has just started confirming a superseded incarnation, since it may not
// know the newest ones.
func TestRestartedVMDoesNotConfirm(t *testing.T) {
	vms := roster(1, 2, 2)
	old, fresh := New(epoch, "r0-00", Incarnation{Number: 1}), New(epoch, "r0-01", Incarnation{Number: 2})
	old.SetRoster(vms)
	fresh.SetRoster(vms)
	now := epoch
	for ; now.Before(epoch.Add(6 * time.Second)); now = now.Add(HeartbeatInterval) {
		old.Tick(now)
		fresh.Tick(now)
		for _, pair := range [][2]*Table{{old, fresh}, {fresh, old}} {
			h := pair[0].Heartbeat(now, pair[1].self, pair[0].StartRound(now))
			pair[1].RecordHeartbeat(now, h)
			a, _ := pair[1].Acknowledge(now, h)
			pair[0].RecordAck(now, a)
		}
	}
	restarted := New(now, "r0-01", Incarnation{Number: 3, StartedAtUnixMilli: 1})
	restarted.SetRoster(vms)
	for _, acker := range []*Table{fresh, restarted} {
		h := old.Heartbeat(now, "r0-01", old.StartRound(now))
		acker.RecordHeartbeat(now, h)
		a, _ := acker.Acknowledge(now, h)
		if got := old.RecordAck(now, a).Valid(); got != (acker == fresh) {
			t.Errorf("incarnation %d confirmed: %v", acker.incarnation.Number, got)
		}
	}
}

// Guards against an order of the other names that changes when a name is added, and against an
// uneven distribution of first places.
func TestRank(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		names := rapid.SliceOfNDistinct(rapid.StringN(1, 6, 6), 1, 20, rapid.ID).Draw(rt, "names")
		key := rapid.String().Draw(rt, "key")
		with := Rank(key, names)
		without := Rank(key, names[1:])
		if got := slices.DeleteFunc(with, func(s string) bool { return s == names[0] }); !slices.Equal(got, without) {
			rt.Fatalf("order without a name %v, with it %v", without, got)
		}
	})
	first := map[string]int{}
	names := []string{"a1", "a2", "a3", "a4"}
	for i := range 4000 {
		first[Rank(fmt.Sprint("workspace-", i), names)[0]]++
	}
	for _, n := range names {
		if first[n] < 900 || first[n] > 1100 {
			t.Errorf("%s is first for %d of 4000 keys", n, first[n])
		}
	}
}

// Guards against the last live VM of a region never getting a lease, and against a lease granted by
// another region while other VMs of its own region may be live.
func TestLastVMOfRegion(t *testing.T) {
	vms := roster(2, 3, 3)
	self := Incarnation{Number: 1, StartedAtUnixMilli: epoch.UnixMilli()}
	for _, listedLive := range []bool{false, true} {
		table := New(epoch, vms[0].Name, self)
		table.SetRoster(vms)
		abroad := Incarnation{Number: 2, StartedAtUnixMilli: epoch.UnixMilli()}
		confirmed := false
		for now := epoch; now.Before(epoch.Add(30 * time.Second)); now = now.Add(HeartbeatInterval) {
			table.SetPlatformList([]PlatformVM{{Slot: vms[1].Name, Live: listedLive}, {Slot: vms[3].Name, Live: true}})
			table.Tick(now)
			table.RecordHeartbeat(now, Heartbeat{Slot: vms[3].Name, Incarnation: abroad, Ready: true})
			ack := Ack{Slot: vms[3].Name, Incarnation: abroad, Sequence: table.StartRound(now), NewestIncarnation: self, Confirms: true}
			if table.RecordAck(now, ack).Valid() {
				confirmed = true
			}
		}
		if confirmed == listedLive {
			t.Errorf("confirmed by another region = %v while a VM of the region is listed as live = %v", confirmed, listedLive)
		}
	}
}
