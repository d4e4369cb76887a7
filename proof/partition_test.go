package proof

import (
	"testing"
	"time"

	"parsleyhatch/config"
	"parsleyhatch/gateway"
	"parsleyhatch/standin"
)

// wanFleet is a fleet whose regions are joined by a simulated network.
type wanFleet struct {
	*fleet
	wan   *standin.WAN
	reads *readCounter
}

// startWANFleet starts three regions with engines. The model gamma runs in norte only, and the home
// of the workspace beta is centro.
func startWANFleet(t *testing.T) *wanFleet {
	t.Helper()
	w := &wanFleet{reads: newReadCounter()}
	w.fleet = startFleet(t, fleetOptions{
		regions: []string{"norte", "centro", "sul"}, vmsPerRegion: 2, engines: 1,
		engine: standin.EngineSettings{TokensPerSecond: 20, MaxBatch: 16},
		edit: func(file *config.File) {
			file.Workspaces[1].Home = "centro"
			file.Routes = append(file.Routes, config.Route{
				Name: "zone", Kind: config.KindModel, Model: "gamma", Selector: "model=redator", Regions: []string{"norte"},
				Idempotent: true, Class: config.ClassInteractive, DeadlineMillis: 30000, MaxTokens: 400,
			})
			for i := range file.Workspaces {
				file.Workspaces[i].RegionShares = map[string]float64{"norte": 0.4, "centro": 0.3, "sul": 0.3}
			}
			file.Keys = append(file.Keys, config.Key{ID: "gone", SHA256: hashOf("secret-gone"), Workspace: "beta"})
			w.wan = standin.NewWAN(standin.RegionsOf(file), file.Links)
			t.Cleanup(w.wan.Close)
		},
		prepare: func(g *gateway.Gateway) {
			w.reads.prepare(g)
			g.Endpoint.DialFunc = w.wan.Dialer(g.Self.Region, nil)
		},
	})
	return w
}

func (w *wanFleet) zone(vm string) chatOptions {
	return chatOptions{vm: vm, key: keyOf("alpha"), model: "gamma", prompt: "x", maxTokens: 2}
}

// answered sends a chat and fails the test if it has not ended within the wait limit.
func (w *wanFleet) answered(o chatOptions) answer {
	w.t.Helper()
	type result struct {
		answer answer
		err    error
	}
	ended := make(chan result, 1)
	go func() {
		a, err := w.chat(o)
		ended <- result{a, err}
	}()
	select {
	case r := <-ended:
		if r.err != nil {
			w.t.Fatalf("chat at %s: %v", o.vm, r.err)
		}
		return r.answer
	case <-time.After(waitLimit):
		w.t.Fatalf("chat at %s has no answer", o.vm)
		return answer{}
	}
}

// checkOwn checks that a region serves its own callers fully.
func (w *wanFleet) checkOwn(t *testing.T, vm, key, model string) {
	t.Helper()
	a := w.answered(chatOptions{vm: vm, key: keyOf(key), model: model, prompt: "own", maxTokens: 20})
	if !a.done || a.text != want(model, "own", 20) {
		t.Errorf("%s: own caller of %s got code %q, ran %q", vm, model, a.code, a.ran)
	}
}

// awaitZone waits until requests at the VM for the model of norte end with the code, and returns how
// long that took.
func (w *wanFleet) awaitZone(vm, code string) time.Duration {
	w.t.Helper()
	start := time.Now()
	w.waitFor(vm+" answers with code "+code, func() bool {
		a := w.answered(w.zone(vm))
		return a.code == code && (code != "" || a.done)
	})
	return time.Since(start)
}

// Guards against an isolated region that does not serve its own callers, that keeps callers waiting
// for what it cannot serve, that applies a withdrawal it cannot know, or that does not learn of the
// withdrawal afterwards.
func TestPartition(t *testing.T) {
	t.Parallel()
	w := startWANFleet(t)
	w.awaitZone("centro-1", "")
	through := w.start(chatOptions{vm: "centro-1", key: keyOf("alpha"), model: "gamma", prompt: longPrompt("through", 300), maxTokens: 300})
	inside := w.start(chatOptions{vm: "centro-2", key: keyOf("gone"), model: "balcao", prompt: longPrompt("inside", 400), maxTokens: 400})
	w.wan.CutBoth("centro", "norte")
	w.wan.CutBoth("centro", "sul")
	w.reads.setCut("centro", true)
	w.checkOwn(t, "centro-1", "beta", "balcao")
	w.checkOwn(t, "centro-2", "alpha", "redator")
	// The first request after the cut may have been on its way; it must end all the same.
	first := time.Now()
	a := w.answered(w.zone("centro-1"))
	t.Logf("measured: request at the time of the cut ended after %v with code %q", time.Since(first), a.code)
	t.Logf("measured: unreachableRegion %v later", w.awaitZone("centro-1", "unreachableRegion"))
	at := time.Now()
	if a := w.answered(w.zone("centro-2")); a.code != "unreachableRegion" || a.ran != "notRun" {
		t.Errorf("isolated region: code %q, ran %q", a.code, a.ran)
	}
	t.Logf("measured: refusal of an unreachable region after %v", time.Since(at))
	<-through.ended
	if through.answer.done || through.answer.code == "" {
		t.Errorf("stream over the cut link: done %v, code %q", through.answer.done, through.answer.code)
	}
	w.withdrawDuringCut(t)
	w.healCentro()
	<-inside.ended
	if inside.answer.code != "keyWithdrawn" {
		t.Errorf("stream of the withdrawn key after healing: done %v, code %q", inside.answer.done, inside.answer.code)
	}
	t.Logf("measured: served over the healed link after %v", w.awaitZone("centro-1", ""))
}

// withdrawDuringCut withdraws a key while centro is cut off.
func (w *wanFleet) withdrawDuringCut(t *testing.T) {
	t.Helper()
	v := w.change(func(file *config.File) { file.Keys[len(file.Keys)-1].Withdrawn = true })
	w.waitFor("withdrawal in norte", func() bool { return w.nodes["norte-1"].version() == v && w.nodes["sul-2"].version() == v })
	o := chatOptions{vm: "norte-1", key: keyOf("gone"), model: "redator", prompt: "x", maxTokens: 2}
	if a := w.answered(o); a.code != "unauthorized" {
		t.Errorf("norte: withdrawn key got code %q", a.code)
	}
	o.vm, o.model = "centro-1", "balcao"
	if a := w.answered(o); !a.done {
		t.Errorf("centro cannot know of the withdrawal, but answered %q", a.code)
	}
}

func (w *wanFleet) healCentro() {
	w.reads.setCut("centro", false)
	w.wan.HealBoth("centro", "norte")
	w.wan.HealBoth("centro", "sul")
}

// Guards against requests that wait for ever when only one direction of a link is cut.
func TestOneWayCut(t *testing.T) {
	t.Parallel()
	w := startWANFleet(t)
	for _, cut := range [][2]string{{"norte", "sul"}, {"sul", "norte"}} {
		w.awaitZone("sul-1", "")
		open := w.start(chatOptions{vm: "sul-1", key: keyOf("alpha"), model: "gamma", prompt: longPrompt("open", 400), maxTokens: 400})
		w.wan.Cut(cut[0], cut[1])
		a := w.answered(w.zone("sul-2"))
		if a.done || a.code == "" {
			t.Logf("request at the time of the cut was answered in time: code %q", a.code)
		}
		w.awaitZone("sul-1", "unreachableRegion")
		w.checkOwn(t, "sul-1", "alpha", "redator")
		w.checkOwn(t, "norte-1", "alpha", "balcao")
		select {
		case <-open.ended:
		case <-time.After(waitLimit):
			t.Fatalf("cut from %s to %s: an open stream neither goes on nor ends", cut[0], cut[1])
		}
		if !open.answer.done && open.answer.code == "" {
			t.Errorf("cut from %s to %s: open stream ended without a code: %v", cut[0], cut[1], open.err)
		}
		w.wan.Heal(cut[0], cut[1])
	}
	w.awaitZone("sul-1", "")
}
