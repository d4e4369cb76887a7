package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
)

// call sends a request and returns status and body, or an error if the answer broke off.
func call(t *testing.T, method, url, body string, headers ...string) (int, string, error) {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

func startEngine(t *testing.T, settings EngineSettings) (*Engine, string) {
	t.Helper()
	e := NewEngine(settings)
	if err := e.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	return e, "http://" + e.Address()
}

func chatBody(t *testing.T, model, prompt string, maxTokens int) string {
	t.Helper()
	data, err := json.Marshal(chatRequest{Model: model, MaxTokens: maxTokens, Messages: []Message{{Role: "user", Content: prompt}}})
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// answerText checks that the event ids are contiguous and returns the text.
func answerText(t *testing.T, stream, id string, from int) string {
	t.Helper()
	var text strings.Builder
	for _, line := range strings.Split(stream, "\n") {
		if rest, ok := strings.CutPrefix(line, "id: "+id+":"); ok {
			var start, end int
			if _, err := fmt.Sscanf(rest, "%d:%d", &start, &end); err != nil || start != from {
				t.Fatalf("event %q does not start at %d", line, from)
			}
			from = end
		}
		data, ok := strings.CutPrefix(line, "data: {")
		if !ok {
			continue
		}
		var c Chunk
		if err := json.Unmarshal([]byte("{"+data), &c); err != nil {
			t.Fatal(err)
		}
		text.WriteString(c.Choices[0].Delta.Content)
	}
	if !strings.HasSuffix(stream, "data: [DONE]\n\n") {
		t.Fatal("stream has no end")
	}
	return text.String()
}

// Guards against engines that disagree on an answer, or on its rest after a resume.
func TestResumedAnswerEqualsWhole(t *testing.T) {
	_, first := startEngine(t, EngineSettings{PieceTokens: 3})
	_, second := startEngine(t, EngineSettings{PieceTokens: 1, Seed: 7})
	body := chatBody(t, "redator", "write the proposal", 50)
	n := AnswerTokens("redator", "write the proposal", 50)
	want := Answer("redator", "write the proposal", n)
	_, whole, err := call(t, "POST", first+"/v1/chat/completions", body, "X-Request-Id", "r1")
	if err != nil || answerText(t, whole, "r1", 0) != strings.Join(want, "") {
		t.Fatalf("answer differs from the pure function (error %v)", err)
	}
	_, rest, err := call(t, "POST", second+"/v1/chat/completions", body, "X-Request-Id", "r1", "X-Resume-From", "17")
	if err != nil || answerText(t, rest, "r1", 17) != strings.Join(want[17:], "") {
		t.Fatalf("resumed answer differs from the rest of the whole (error %v)", err)
	}
}

// Guards against an engine that accepts the order of a VM that woke late.
func TestOldFencingNumberRefused(t *testing.T) {
	e, url := startEngine(t, EngineSettings{ChecksFencing: true})
	for i, step := range []struct{ fencing, status int }{{5, 200}, {5, 409}, {4, 409}, {6, 200}} {
		body := fmt.Sprintf(`{"fencing":%d,"kind":"load","model":"redator"}`, step.fencing)
		status, _, err := call(t, "POST", url+"/v1/orders", body)
		if err != nil || status != step.status {
			t.Errorf("order %d: status %d, error %v; want %d", i, status, err, step.status)
		}
	}
	if _, last, _ := call(t, "GET", url+"/v1/orders/last", ""); last != "{\"fencing\":6}\n" || len(e.Orders()) != 2 {
		t.Errorf("last order %q, %d accepted", last, len(e.Orders()))
	}
}

// Guards against a poisoned prompt that leaves the engine, its streams or its cache intact.
func TestPoisonCrashesEngine(t *testing.T) {
	e, url := startEngine(t, EngineSettings{PoisonWord: "venom", CacheTokens: 100})
	before := e.bootID
	if _, _, err := call(t, "PUT", url+"/v1/kv/p", strings.Repeat("k", 160)); err != nil {
		t.Fatal(err)
	}
	_, _, err := call(t, "POST", url+"/v1/chat/completions", chatBody(t, "m", "drink venom", 5), "X-Request-Id", "r1")
	if err == nil {
		t.Fatal("a crashed engine ended the answer properly")
	}
	e.waitUp()
	var load Load
	_, data, err := call(t, "GET", url+"/v1/load", "")
	if err != nil || json.Unmarshal([]byte(data), &load) != nil {
		t.Fatalf("load after the restart: %v", err)
	}
	if load.BootID == before || load.CachedTokens != 0 || e.Crashes() != 1 || e.Ran()["r1"] != 1 {
		t.Errorf("after the crash: %+v, %d crashes, ran %v", load, e.Crashes(), e.Ran())
	}
}

// Guards against batch slots that stay taken after a cancellation or a closed connection.
func TestEndedStreamFreesSlot(t *testing.T) {
	_, url := startEngine(t, EngineSettings{MaxBatch: 1, TokensPerSecond: 1e-6})
	// start returns once the stream has the slot, since the engine sends headers only then.
	start := func(id string) *http.Response {
		req, _ := http.NewRequest("POST", url+"/v1/chat/completions", strings.NewReader(chatBody(t, "m", "p", 5)))
		req.Header.Set("X-Request-Id", id)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		return resp
	}
	first := start("r1")
	if status, _, err := call(t, "DELETE", url+"/v1/streams/r1", ""); err != nil || status != 204 {
		t.Fatalf("cancel: status %d, error %v", status, err)
	}
	if _, err := io.ReadAll(first.Body); err == nil {
		t.Error("a cancelled stream ended properly")
	}
	second := start("r2")
	_ = second.Body.Close()
	_ = start("r3").Body.Close()
}

// Guards against reads that exceed the budget, and against a stale service that shows new values.
func TestPlatformBudgetAndStaleValues(t *testing.T) {
	p := NewPlatform(PlatformSettings{ReadsPerSecond: 1e-9, ReadBurst: 4})
	if err := p.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	old, _ := p.Set("a/b", []byte("old"))
	_, _ = p.Set("a/b", []byte("new"))
	if _, err := p.Set("big", bytes.Repeat([]byte{1}, MaxValueBytes+1)); err == nil {
		t.Error("a value above the limit was stored")
	}
	url := "http://" + p.Address()
	check := func(path string, status int, body string) {
		t.Helper()
		got, data, err := call(t, "GET", url+path, "")
		if err != nil || got != status || !strings.HasPrefix(data, body) {
			t.Errorf("%s: %d %q, error %v; want %d %q", path, got, data, err, status, body)
		}
	}
	check("/v1/values/a/b", 200, "new")
	check("/v1/watch?after=1&timeoutMillis=0", 200, `{"revision":2,"keys":["a/b"]}`)
	_ = p.SetMode(ModeStale, old)
	check("/v1/values/a/b", 200, "old")
	_ = p.SetMode(ModeDown, 0)
	check("/v1/values/a/b", 503, "")
	check("/v1/values/a/b", 429, "")
}

// Guards against executions that are lost or merged, since tests count them to find repeated calls.
func TestServiceCountsExecutions(t *testing.T) {
	s := NewService(ServiceSettings{})
	if err := s.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	deposit := func(key string) (int, error) {
		status, _, err := call(t, "POST", "http://"+s.Address()+"/deposit", "body", "Idempotency-Key", key)
		return status, err
	}
	if status, err := deposit("k1"); err != nil || status != 200 {
		t.Fatalf("status %d, error %v", status, err)
	}
	_ = s.SetMode(ServiceRefuse, 1)
	if status, err := deposit("k2"); err != nil || status != 503 {
		t.Errorf("refused call: status %d, error %v", status, err)
	}
	if _, err := deposit("k1"); err != nil {
		t.Errorf("the mode did not end: %v", err)
	}
	_ = s.SetMode(ServiceCrash, 0)
	if _, err := deposit("k3"); err == nil {
		t.Error("a crashed call was answered")
	}
	_ = s.SetMode(ServiceDown, 0)
	if _, err := deposit("k4"); err == nil {
		t.Error("a call reached a service that is down")
	}
	got := map[string]int{}
	for _, x := range s.Executions() {
		got[x.Key] = x.Count
	}
	// The HTTP client repeats calls with an Idempotency-Key on a reused connection that breaks, so
	// the crashed call may have been executed more than once.
	if got["k1"] != 2 || got["k2"] != 0 || got["k3"] == 0 || got["k4"] != 0 {
		t.Errorf("executions %v", got)
	}
}
