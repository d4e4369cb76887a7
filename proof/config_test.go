package proof

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"parsleyhatch/audit"
	"parsleyhatch/config"
	"parsleyhatch/gateway"
	"parsleyhatch/standin"
	"parsleyhatch/vm"
	"parsleyhatch/vmwire"
)

// readCounter counts the reads of the configuration service by slot.
type readCounter struct {
	mu     sync.Mutex
	reads  map[string]int
	failed map[string]bool
}

func newReadCounter() *readCounter {
	return &readCounter{reads: map[string]int{}, failed: map[string]bool{}}
}

// prepare counts the reads of a VM, and refuses those of a region that is cut off.
func (c *readCounter) prepare(g *gateway.Gateway) {
	do := g.Platform.Do
	slot, region := g.Self.Slot, g.Self.Region
	g.Platform.Do = func(r *http.Request) (*http.Response, error) {
		c.mu.Lock()
		cut := c.failed[region]
		if !strings.HasSuffix(r.URL.Path, "/v1/vms") {
			c.reads[slot]++
		}
		c.mu.Unlock()
		if cut {
			return nil, io.ErrUnexpectedEOF
		}
		return do(r)
	}
}

func (c *readCounter) setCut(region string, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failed[region] = cut
}

func (c *readCounter) counts() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.reads)
}

// number returns the number of the version in force at a VM.
func (n *node) version() config.Version {
	if s := n.gateway.Snapshot(); s != nil {
		return s.Version
	}
	return config.Version{}
}

// watchVersions fails the test if a VM's version goes back, until the returned function is called.
func watchVersions(t *testing.T, nodes ...*node) func() {
	t.Helper()
	stop := make(chan struct{})
	var wait sync.WaitGroup
	for _, n := range nodes {
		wait.Go(func() {
			last := n.version()
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Millisecond):
				}
				v := n.version()
				if last.After(v) {
					t.Errorf("%s went back from %s to %s", n.gateway.Self.Slot, last, v)
					return
				}
				last = v
			}
		})
	}
	return func() { close(stop); wait.Wait() }
}

func (f *fleet) list() []*node {
	return slices.Collect(maps.Values(f.nodes))
}

// inForce waits until each VM has the version.
func (f *fleet) inForce(v config.Version) {
	f.t.Helper()
	f.waitFor("version "+v.String()+" at every vm", func() bool {
		for _, n := range f.nodes {
			if n.version() != v {
				return false
			}
		}
		return true
	})
}

// change edits the configuration, publishes it, and returns its version.
func (f *fleet) change(edit func(*config.File)) config.Version {
	f.t.Helper()
	edit(f.file)
	f.publish()
	return f.versionOf(f.number, f.file)
}

func (f *fleet) versionOf(number uint64, file *config.File) config.Version {
	f.t.Helper()
	parts, err := config.Split(file, 1000)
	if err != nil {
		f.t.Fatal(err)
	}
	return config.NewHead(number, parts).Version
}

// setRate is a change that differs for each value.
func setRate(rate int64) func(*config.File) {
	return func(file *config.File) { file.Workspaces[0].Rate = 1<<20 + rate }
}

// replaceReady replaces a VM and returns the version with which it became ready.
func (f *fleet) replaceReady(slot string) config.Version {
	f.t.Helper()
	f.kill(slot)
	n := f.startVM(slot)
	stop := watchVersions(f.t.(*testing.T), n)
	defer stop()
	f.waitFor("vm "+slot+" ready", n.gateway.Ready)
	return n.version()
}

func (f *fleet) setMode(mode standin.Mode, revision uint64) {
	f.t.Helper()
	if err := f.platform.SetMode(mode, revision); err != nil {
		f.t.Fatal(err)
	}
}

// Guards against a version that does not reach a VM, against more than two readers in a region, and
// against reads above the budget during a burst of changes.
func TestConfigReachesEveryVM(t *testing.T) {
	t.Parallel()
	for _, perRegion := range []int{1, 3, 5} {
		t.Run(fmt.Sprintf("%dVMs", 3*perRegion), func(t *testing.T) {
			t.Parallel()
			counter := newReadCounter()
			f := startFleet(t, fleetOptions{
				regions: []string{"norte", "centro", "sul"}, vmsPerRegion: perRegion, prepare: counter.prepare,
			})
			defer watchVersions(t, f.list()...)()
			var slowest time.Duration
			for i := range 3 {
				v := f.change(setRate(int64(i)))
				start := time.Now()
				f.inForce(v)
				slowest = max(slowest, time.Since(start))
			}
			t.Logf("measured: slowest of 3 changes in force at %d VMs after %v", len(f.nodes), slowest)
			f.checkBurst(t, counter)
		})
	}
}

// checkBurst publishes 40 versions in 4 s and checks who reads and how often.
func (f *fleet) checkBurst(t *testing.T, counter *readCounter) {
	t.Helper()
	before, start := counter.counts(), time.Now()
	var last config.Version
	for i := range 40 {
		last = f.change(setRate(int64(1000 + i)))
		time.Sleep(100 * time.Millisecond)
	}
	f.inForce(last)
	took := time.Since(start)
	readers, total := map[string]int{}, 0
	for slot, n := range counter.counts() {
		n -= before[slot]
		total += n
		if n == 0 {
			continue
		}
		readers[strings.Split(slot, "-")[0]]++
		// Four a second, and what may come at once.
		if bound := int(4*took.Seconds()) + gateway.ReadBurst; n > bound {
			t.Errorf("%s made %d reads in %v, above %d", slot, n, took, bound)
		}
	}
	for region, n := range readers {
		if n > 2 {
			t.Errorf("region %s has %d readers", region, n)
		}
	}
	t.Logf("measured: %d VMs, burst of 40 versions: %d reads in %v, %.1f a second", len(f.nodes), total, took, float64(total)/took.Seconds())
}

// Guards against a version that reverts: an older one from a stale service, at running VMs and at
// VMs that are replaced while the service is stale or down.
func TestConfigNeverReverts(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetOptions{regions: []string{"norte", "centro"}, vmsPerRegion: 2})
	defer watchVersions(t, f.list()...)()
	old := f.platform.Revision()
	v := f.change(setRate(1))
	f.inForce(v)
	f.setMode(standin.ModeStale, old)
	if got := f.replaceReady("norte-1"); got != v {
		t.Errorf("stale service: replaced vm became ready with %s, want %s", got, v)
	}
	f.inForce(v)
	f.setMode(standin.ModeDown, 0)
	if got := f.replaceReady("centro-1"); got != v {
		t.Errorf("service down: replaced vm became ready with %s, want %s", got, v)
	}
	f.setMode(standin.ModeUp, 0)
	f.inForce(f.change(setRate(2)))
}

// Guards against a replaced VM that serves the older version of a stale service because it is the
// only VM of its region and nobody there tells it of the later one.
func TestConfigOfOnlyVMOfRegion(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetOptions{regions: []string{"norte", "centro"}, vmsPerRegion: 1, prepare: slowDial})
	old := f.platform.Revision()
	v := f.change(setRate(1))
	f.inForce(v)
	f.setMode(standin.ModeStale, old)
	if got := f.replaceReady("centro-1"); got != v {
		t.Errorf("became ready with %s, want %s", got, v)
	}
}

// slowDial makes the platform answer long before other VMs do.
func slowDial(g *gateway.Gateway) {
	dial := g.Endpoint.DialFunc
	g.Endpoint.DialFunc = func(ctx context.Context, address string) (net.Conn, error) {
		time.Sleep(700 * time.Millisecond)
		return dial(ctx, address)
	}
}

// Guards against VMs that resolve two versions of one number differently, and against a version
// that is accepted in part although it is invalid.
func TestConfigConflictAndRejection(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetOptions{regions: []string{"norte", "centro"}, vmsPerRegion: 2})
	defer watchVersions(t, f.list()...)()
	for round := range 6 {
		f.number++
		var versions []config.Version
		for i := range 2 {
			setRate(int64(10*round + i))(f.file)
			versions = append(versions, f.versionOf(f.number, f.file))
			if err := f.platform.Publish(f.number, f.file); err != nil {
				t.Fatal(err)
			}
			if round%2 == 1 && i == 0 {
				f.waitFor("first version seen", func() bool { return f.list()[0].version() == versions[0] })
			}
		}
		// The service keeps the last one. The higher digest wins wherever both were seen.
		want := versions[1]
		if round%2 == 1 && versions[0].After(want) {
			want = versions[0]
		}
		f.waitFor("one content of the number everywhere", func() bool {
			first := f.list()[0].version()
			for _, n := range f.list() {
				if n.version() != first {
					return false
				}
			}
			return first == want || (round%2 == 0 && slices.Contains(versions, first) && !versions[1].After(first))
		})
	}
	f.checkRejection(t)
}

// checkRejection publishes a version with one bad and one good change.
func (f *fleet) checkRejection(t *testing.T) {
	t.Helper()
	before := f.list()[0].gateway.Snapshot()
	inForce, rate, model := before.Version, before.Workspaces["alpha"].Rate, f.file.Routes[0].Selector
	bad := f.change(func(file *config.File) {
		file.Workspaces[0].Rate = 7
		file.Routes[0].Selector = "model=="
	})
	f.awaitRejection(bad)
	f.awaitRejection(f.publishLargePart())
	for slot, n := range f.nodes {
		s := n.gateway.Snapshot()
		if s.Version != inForce || s.Workspaces["alpha"].Rate != rate {
			t.Errorf("%s: version %s with rate %d, want %s with %d", slot, s.Version, s.Workspaces["alpha"].Rate, inForce, rate)
		}
	}
	f.inForce(f.change(func(file *config.File) {
		file.Workspaces[0].Rate = rate
		file.Routes[0].Selector = model
	}))
}

// awaitRejection waits until the rejection of a version is in an audit trail.
func (f *fleet) awaitRejection(v config.Version) {
	f.t.Helper()
	f.waitFor("rejection of "+v.String()+" in an audit trail", func() bool {
		for _, n := range f.nodes {
			for _, e := range n.gateway.Audit.EntriesAfter(0, audit.TrailCapacity) {
				if e.Kind == audit.ConfigRejected && e.Version == v {
					return true
				}
			}
		}
		return false
	})
}

// publishLargePart publishes a version with a valid part that no VM could send to another.
func (f *fleet) publishLargePart() config.Version {
	f.t.Helper()
	f.number++
	part := append([]byte("{}"), bytes.Repeat([]byte(" "), config.MaxPartBytes)...)
	head := config.NewHead(f.number, [][]byte{part})
	data, err := json.Marshal(head)
	if err != nil {
		f.t.Fatal(err)
	}
	for key, value := range map[string][]byte{standin.PartKey + head.Parts[0]: part, standin.HeadKey: data} {
		if _, err := f.platform.Set(key, value); err != nil {
			f.t.Fatal(err)
		}
	}
	return head.Version
}

// Guards against a configuration that stays behind because one message of its transfer was lost.
func TestConfigMessageLost(t *testing.T) {
	t.Parallel()
	loss := &partLoss{lost: map[string]bool{}}
	f := startFleet(t, fleetOptions{regions: []string{"norte", "centro"}, vmsPerRegion: 4, prepare: loss.prepare})
	defer watchVersions(t, f.list()...)()
	loss.armed.Store(true)
	start := time.Now()
	f.inForce(f.change(setRate(1)))
	loss.mu.Lock()
	defer loss.mu.Unlock()
	t.Logf("measured: in force after %v with the first message of parts lost at %d VMs", time.Since(start), len(loss.lost))
	if len(loss.lost) == 0 {
		t.Error("no message was lost")
	}
}

// partLoss drops the first message that carries parts to each VM.
type partLoss struct {
	armed atomic.Bool
	mu    sync.Mutex
	lost  map[string]bool
}

func (l *partLoss) prepare(g *gateway.Gateway) {
	next := g.Endpoint.OnControl
	g.Endpoint.OnControl = func(s *vm.Session, frame vmwire.Frame) {
		var parts vmwire.ConfigParts
		if l.armed.Load() && frame.Kind == vmwire.KindConfigParts && vm.Decode(frame, &parts) == nil && len(parts.Parts) > 0 && l.first(g.Self.Slot) {
			return
		}
		next(s, frame)
	}
}

func (l *partLoss) first(slot string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := !l.lost[slot]
	l.lost[slot] = true
	return first
}

// Guards against a VM that reverts or stays behind under a random sequence of changes, replaced VMs
// and modes of the service. The seed is fixed; PROOF_LONG makes the run longer.
func TestConfigRandomised(t *testing.T) {
	t.Parallel()
	const seed = 20
	steps := 12
	if os.Getenv("PROOF_LONG") != "" {
		steps = 200
	}
	f := startFleet(t, fleetOptions{regions: []string{"norte", "centro"}, vmsPerRegion: 3})
	rng := rand.New(rand.NewPCG(seed, 1))
	slots := slices.Sorted(maps.Keys(f.nodes))
	for i := range steps {
		stop := watchVersions(t, f.list()...)
		v := f.change(setRate(int64(i)))
		f.inForce(v)
		f.randomMode(rng)
		switch slot := slots[rng.IntN(len(slots))]; rng.IntN(4) {
		case 0:
			if got := f.replaceReady(slot); v.After(got) {
				t.Errorf("step %d: %s became ready with %s, before %s", i, slot, got, v)
			}
		case 1: // Several versions while the VM restarts.
			f.kill(slot)
			for j := range 3 {
				f.change(setRate(int64(1000*i + j)))
			}
			f.startVM(slot)
		}
		f.setMode(standin.ModeUp, 0)
		f.inForce(f.change(setRate(int64(-i - 1))))
		stop()
	}
}

// randomMode draws a mode of the service.
func (f *fleet) randomMode(rng *rand.Rand) {
	mode := []standin.Mode{standin.ModeUp, standin.ModeDown, standin.ModeStale}[rng.IntN(3)]
	f.setMode(mode, max(1, f.platform.Revision()-uint64(rng.IntN(6))))
}
