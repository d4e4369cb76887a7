package proof

import (
	"fmt"
	"testing"

	"parsleyhatch/config"
	"parsleyhatch/standin"
)

// longPrompt returns a prompt whose answer has at least tokens tokens.
func longPrompt(name string, tokens int) string {
	for i := 0; ; i++ {
		prompt := fmt.Sprintf("%s %d", name, i)
		if standin.AnswerTokens("redator", prompt, 0) >= tokens {
			return prompt
		}
	}
}

// running is a chat that runs in the background.
type running struct {
	options chatOptions
	started chan struct{}
	ended   chan struct{}
	answer  answer
	err     error
}

// start begins a chat and returns once its first event has come.
func (f *fleet) start(o chatOptions) *running {
	f.t.Helper()
	r := &running{options: o, started: make(chan struct{}), ended: make(chan struct{})}
	r.options.onChunk = func(n int) {
		if n == 1 {
			close(r.started)
		}
	}
	go func() {
		defer close(r.ended)
		r.answer, r.err = f.chat(r.options)
	}()
	select {
	case <-r.started:
	case <-r.ended:
		f.t.Fatalf("chat at %s ended before its first event: %s, %v", o.vm, r.answer.code, r.err)
	}
	return r
}

// whole fails the test unless the chat got its whole answer.
func (r *running) whole(t *testing.T) {
	t.Helper()
	<-r.ended
	if o := r.options; r.err != nil || !r.answer.done || r.answer.text != want(o.model, o.prompt, o.maxTokens) {
		t.Errorf("chat at %s: %d bytes, code %q, error %v: not the whole answer", o.vm, len(r.answer.text), r.answer.code, r.err)
	}
}

// keepEngines drops the upstreams of all regions but one.
func keepEngines(region string) func(*config.File) {
	return func(file *config.File) {
		kept := file.Upstreams[:0]
		for _, u := range file.Upstreams {
			if u.Region == region {
				kept = append(kept, u)
			}
		}
		file.Upstreams = kept
	}
}

func (f *fleet) runningStreams() int {
	total := 0
	for _, e := range f.engines {
		for _, n := range e.Running() {
			total += n
		}
	}
	return total
}

// Guards against a withdrawn or replaced key whose streams go on, also through a second VM, against
// an engine that goes on for nobody, and against the loss of streams of other keys.
func TestKeyWithdrawn(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetOptions{
		regions: []string{"norte", "centro"}, vmsPerRegion: 2, engines: 2,
		engine: standin.EngineSettings{TokensPerSecond: 60, MaxBatch: 16},
		edit: func(file *config.File) {
			keepEngines("norte")(file)
			file.Keys = append(file.Keys, config.Key{ID: "rotated", SHA256: hashOf("secret-rotated"), Workspace: "beta"})
		},
	})
	begin := func(vm, key string) *running {
		return f.start(chatOptions{vm: vm, key: keyOf(key), model: "redator", prompt: longPrompt(vm+key, 300), maxTokens: 300})
	}
	var cut, kept []*running
	for _, vm := range []string{"norte-1", "norte-2", "centro-1", "centro-2"} {
		cut = append(cut, begin(vm, "alpha"), begin(vm, "rotated"))
		kept = append(kept, begin(vm, "beta"))
	}
	f.inForce(f.change(func(file *config.File) {
		file.Keys[0].Withdrawn = true
		file.Keys[2].SHA256 = hashOf("another secret")
	}))
	for _, r := range cut {
		<-r.ended
		if r.err != nil || r.answer.done || r.answer.code != "keyWithdrawn" {
			t.Errorf("%s: done %v, code %q, error %v; want keyWithdrawn", r.options.vm, r.answer.done, r.answer.code, r.err)
		}
	}
	f.waitFor("engines run only other keys' streams", func() bool { return f.runningStreams() <= len(kept) })
	for slot := range f.nodes {
		for _, key := range []string{"alpha", "rotated"} {
			a, err := f.chat(chatOptions{vm: slot, key: keyOf(key), model: "redator", prompt: "x", maxTokens: 5})
			if err != nil || a.code != "unauthorized" || a.ran != "notRun" {
				t.Errorf("%s: new request of key %s: code %q ran %q error %v", slot, key, a.code, a.ran, err)
			}
		}
	}
	for _, r := range kept {
		r.whole(t)
	}
}
