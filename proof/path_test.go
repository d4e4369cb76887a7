package proof

import (
	"fmt"
	"testing"

	"parsleyhatch/config"
	"parsleyhatch/standin"
)

// Guards against an answer that is not the whole answer to its own request, at the VM of the own
// region and through a second VM where the upstreams are in another region.
func TestWholePath(t *testing.T) {
	f := startFleet(t, fleetOptions{
		regions: []string{"norte", "centro"}, vmsPerRegion: 2, engines: 2,
		edit: func(file *config.File) {
			// The second region has VMs, but no upstream.
			kept := file.Upstreams[:0]
			for _, u := range file.Upstreams {
				if u.Region == "norte" {
					kept = append(kept, u)
				}
			}
			file.Upstreams = kept
		},
	})
	for _, slot := range []string{"norte-1", "norte-2", "centro-1", "centro-2"} {
		for i := range 5 {
			prompt := fmt.Sprintf("draft %d of %s", i, slot)
			a, err := f.chat(chatOptions{vm: slot, key: keyOf("alpha"), model: "redator", prompt: prompt, maxTokens: 50})
			if err != nil {
				t.Fatal(err)
			}
			if !a.done || a.text != want("redator", prompt, 50) {
				t.Errorf("%s: answer of %d bytes (%s) is not the whole answer", slot, len(a.text), a.code)
			}
			if region := a.header.Get("X-Served-Region"); region != "norte" {
				t.Errorf("%s: served in region %q", slot, region)
			}
		}
	}
}

// Guards against a lost or repeated part of an answer when the engine dies in the middle of it.
func TestStreamSurvivesEngineCrash(t *testing.T) {
	f := startFleet(t, fleetOptions{
		regions: []string{"norte"}, vmsPerRegion: 1, engines: 2,
		engine: standin.EngineSettings{TokensPerSecond: 500},
	})
	prompt := "a long draft"
	a, err := f.chat(chatOptions{
		vm: "norte-1", key: keyOf("alpha"), model: "redator", prompt: prompt, maxTokens: 200,
		onChunk: func(n int) {
			if n == 10 {
				f.crashBusy()
			}
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	if !a.done || a.text != want("redator", prompt, 200) {
		t.Errorf("answer of %d bytes (%s) is not the whole answer", len(a.text), a.code)
	}
}

// crashBusy crashes each engine that runs something.
func (f *fleet) crashBusy() {
	for _, e := range f.engines {
		if len(e.Running()) > 0 {
			e.Crash()
		}
	}
}

// Guards against requests without a valid key, and against a home-bound request in a wrong region.
func TestRefusals(t *testing.T) {
	f := startFleet(t, fleetOptions{regions: []string{"norte", "centro"}, vmsPerRegion: 1, engines: 1})
	cases := []struct{ name, vm, key, model, code string }{
		{"no key", "norte-1", "", "redator", "unauthorized"},
		{"wrong secret", "norte-1", "ph_alpha_guess", "redator", "unauthorized"},
		{"unknown model", "norte-1", keyOf("alpha"), "none", "notFound"},
		{"wrong region", "centro-1", keyOf("alpha"), "balcao", "wrongRegion"},
	}
	for _, c := range cases {
		a, err := f.chat(chatOptions{vm: c.vm, key: c.key, model: c.model, prompt: "x", maxTokens: 5})
		if err != nil {
			t.Fatal(err)
		}
		if a.code != c.code || a.ran != "notRun" {
			t.Errorf("%s: code %q ran %q, want %q and notRun", c.name, a.code, a.ran, c.code)
		}
	}
	for name, e := range f.engines {
		if len(e.Ran()) > 0 {
			t.Errorf("engine %s ran a refused request", name)
		}
	}
}

// Guards against a status page that leaves out what operators look for: tokens, VMs, upstreams.
func TestStatusIsComplete(t *testing.T) {
	f := startFleet(t, fleetOptions{regions: []string{"norte"}, vmsPerRegion: 1, engines: 1})
	s := f.nodes["norte-1"].gateway.Status()
	if len(s.VMs) != 1 || len(s.Upstreams) != 1 || len(s.Workspaces) != 2 || s.ConfigVersion.Number != f.number {
		t.Errorf("status is incomplete: %+v", s)
	}
	if s.Workspaces[0].Cap == 0 {
		t.Errorf("workspace %s has no cap", s.Workspaces[0].Name)
	}
}
