package proof

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"parsleyhatch/config"
	"parsleyhatch/standin"
)

// wantWhole checks that an answer is the whole answer.
func wantWhole(t *testing.T, what string, a answer, prompt string, tokens int) {
	t.Helper()
	if !a.done || a.text != want("redator", prompt, tokens) {
		t.Errorf("%s: answer of %d bytes (status %d, code %s) is not the whole answer", what, len(a.text), a.status, a.code)
	}
}

// Guards against a lost or repeated part of an answer when the engine stops sending in the middle of it.
func TestEngineFreeze(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetOptions{regions: []string{"norte"}, vmsPerRegion: 1, engines: 2, engine: standin.EngineSettings{TokensPerSecond: 200}})
	t.Cleanup(func() {
		for _, e := range f.engines {
			e.Thaw()
		}
	})
	a, err := f.chat(chatOptions{vm: "norte-1", key: keyOf("alpha"), model: "redator", prompt: "freeze", maxTokens: 100, onChunk: func(n int) {
		if n != 10 {
			return
		}
		for _, e := range f.engines {
			if len(e.Running()) > 0 {
				e.Freeze()
			}
		}
	}})
	if err != nil {
		t.Fatal(err)
	}
	wantWhole(t, "engine froze", a, "freeze", 100)
}

// resume reads an answer to its end, at one VM after the other.
func (f *fleet) resume(o chatOptions, vms ...string) answer {
	f.t.Helper()
	var whole answer
	next := 0
	f.t.Cleanup(func() {
		if !whole.done {
			f.t.Logf("%s: last outcome %s, ran %q, after %d sends and %d bytes", o.prompt, whole.code, whole.ran, next, len(whole.text))
		}
	})
	f.waitFor("whole answer to "+o.prompt, func() bool {
		o.vm, o.lastID = vms[next%len(vms)], whole.lastID
		next++
		a, _ := f.chat(o) // The stream breaks when its VM is killed.
		whole.text += a.text
		whole.done = a.done
		whole.status, whole.code, whole.ran = a.status, a.code, a.ran
		if a.lastID != "" {
			whole.lastID = a.lastID
		}
		o.onChunk = nil
		return a.done
	})
	return whole
}

// Guards against a lost or repeated part of an answer when the VM of the caller is killed in the middle
// of it, and the caller resumes at another VM.
func TestResumeAtAnotherVM(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetOptions{regions: []string{"norte"}, vmsPerRegion: 3, engines: 2, engine: standin.EngineSettings{TokensPerSecond: 200, MaxBatch: 32}})
	// The callers of the killed VM read at the same time and have got different parts.
	const callers = 8
	var reading atomic.Int32
	var wait sync.WaitGroup
	kill := make(chan struct{})
	for i := range callers {
		prompt := fmt.Sprintf("resume %d", i)
		wait.Go(func() {
			at := 5 + 7*i
			a := f.resume(chatOptions{key: keyOf("alpha"), model: "redator", prompt: prompt, maxTokens: 200, onChunk: func(n int) {
				if n == at && reading.Add(1) == callers {
					close(kill)
				}
			}}, "norte-1", "norte-2", "norte-3")
			wantWhole(t, prompt, a, prompt, 200)
		})
	}
	<-kill
	f.kill("norte-1")
	wait.Wait()
}

// Guards against a lost or repeated part of a forwarded answer when the VM that runs it is killed.
func TestForwardedVMKilled(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetOptions{
		regions: []string{"norte", "centro"}, vmsPerRegion: 2, engines: 2, engine: standin.EngineSettings{TokensPerSecond: 100, MaxBatch: 32},
		edit: func(file *config.File) {
			file.Upstreams = file.Upstreams[:2] // Only norte has upstreams.
		},
	})
	var wait sync.WaitGroup
	started := make(chan struct{})
	var once sync.Once
	for i := range 8 {
		prompt := fmt.Sprintf("forwarded %d", i)
		wait.Go(func() {
			a := f.resume(chatOptions{key: keyOf("alpha"), model: "redator", prompt: prompt, maxTokens: 150, onChunk: func(n int) {
				if n == 20 {
					once.Do(func() { close(started) })
				}
			}}, "centro-1", "centro-2")
			wantWhole(t, prompt, a, prompt, 150)
		})
	}
	<-started
	// The VM that has the forwarded streams is killed; the other one stays.
	victim := "norte-1"
	if f.nodes["norte-2"].gateway.Status().OpenStreams > 0 {
		victim = "norte-2"
	}
	f.kill(victim)
	wait.Wait()
}

// faultyEngine sends an answer with one fault, and is whole from the third attempt of a request on.
type faultyEngine struct {
	fault string

	mu       sync.Mutex
	attempts map[string]int
}

func (e *faultyEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/chat/completions" {
		_, _ = fmt.Fprint(w, `{"bootId":"1"}`)
		return
	}
	var body struct {
		Model    string            `json:"model"`
		Messages []standin.Message `json:"messages"`
		Max      int               `json:"max_tokens"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var from int
	_, _ = fmt.Sscan(r.Header.Get("X-Resume-From"), &from)
	id, prompt := r.Header.Get("X-Request-Id"), standin.Prompt(body.Messages)
	e.mu.Lock()
	e.attempts[id]++
	faulty := e.attempts[id] < 3
	e.mu.Unlock()
	tokens := standin.Answer(body.Model, prompt, standin.AnswerTokens(body.Model, prompt, body.Max))
	for i := from; i < len(tokens); i++ {
		if faulty && i == from+5 {
			e.sendFault(w, id, i, tokens)
		}
		sendEvent(w, id, i, i+1, tokens[i])
	}
	sendEvent(w, id, len(tokens), len(tokens), "")
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

// sendFault sends what does not belong before token i.
func (e *faultyEngine) sendFault(w http.ResponseWriter, id string, i int, tokens []string) {
	switch e.fault {
	case "repeated":
		sendEvent(w, id, i-1, i, tokens[i-1])
	case "late":
		sendEvent(w, id, i-3, i-2, tokens[i-3])
	case "crossed":
		sendEvent(w, "another-request", i, i+1, "CROSSED ")
	case "skipped":
		sendEvent(w, id, i+1, i+2, tokens[i+1])
	case "overlapping":
		sendEvent(w, id, i-1, i+1, tokens[i-1]+tokens[i])
	case "low end":
		sendEvent(w, id, i-1, i-1, "")
	case "early end":
		_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
	case "no id":
		_, _ = fmt.Fprint(w, "data: {}\n\n")
	}
}

func sendEvent(w http.ResponseWriter, id string, start, end int, text string) {
	c := standin.Chunk{ID: id, Choices: []standin.ChunkChoice{{Delta: standin.ChunkDelta{Content: text}}}}
	data, _ := json.Marshal(c)
	_, _ = fmt.Fprintf(w, "id: %s:%d:%d\ndata: %s\n\n", id, start, end, data)
}

var engineFaults = []string{"repeated", "late", "crossed", "skipped", "overlapping", "low end", "early end", "no id"}

// Guards against chunks of a faulty engine that reach a caller late, twice, out of order, or in the
// answer to another request.
func TestFaultyEngine(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetOptions{regions: []string{"norte", "centro"}, vmsPerRegion: 1, edit: func(file *config.File) {
		file.Routes = nil
		for _, fault := range engineFaults {
			label := strings.ReplaceAll(fault, " ", "-")
			file.Routes = append(file.Routes, config.Route{
				Name: label, Kind: config.KindModel, Model: label, Selector: "model=" + label, Idempotent: true,
				Class: config.ClassDraft, DeadlineMillis: 30000, MaxTokens: 400,
			})
			for n := range 4 {
				server := httptest.NewServer(&faultyEngine{fault: fault, attempts: map[string]int{}})
				t.Cleanup(server.Close)
				file.Upstreams = append(file.Upstreams, config.Upstream{
					Name: fmt.Sprintf("%s-%d", label, n+1), Kind: config.KindModel, Address: strings.TrimPrefix(server.URL, "http://"),
					Region: "norte", FailureDomain: "norte-fd1", Labels: map[string]string{"model": label}, MaxBatch: 8,
				})
			}
		}
	}})
	for _, fault := range engineFaults {
		for _, slot := range []string{"norte-1", "centro-1"} {
			t.Run(fault+"/"+slot, func(t *testing.T) {
				t.Parallel()
				f.testFault(t, strings.ReplaceAll(fault, " ", "-"), slot)
			})
		}
	}
}

// testFault checks that what a caller gets is a part of its own answer without a gap, and that the
// parts make up the whole.
func (f *fleet) testFault(t *testing.T, model, slot string) {
	prompt := "faulty " + slot
	whole := want(model, prompt, 60)
	text, lastID := "", ""
	f.waitFor("whole answer", func() bool {
		a, err := f.chat(chatOptions{vm: slot, key: keyOf("alpha"), model: model, prompt: prompt, maxTokens: 60, lastID: lastID})
		if err != nil {
			t.Fatal(err)
		}
		text += a.text
		if !strings.HasPrefix(whole, text) {
			t.Fatalf("the caller got %q, which is not the start of its answer", text)
		}
		if a.lastID != "" {
			lastID = a.lastID
		}
		return a.done
	})
	if text != whole {
		t.Errorf("answer of %d bytes, want %d", len(text), len(whole))
	}
}
