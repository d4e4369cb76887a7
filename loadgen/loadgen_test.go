package loadgen

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"parsleyhatch/standin"
)

// fakeGateway simulates a gateway that responds correctly unless a fault is set.
type fakeGateway struct {
	fault  string
	engine *standin.Engine

	mu    sync.Mutex
	calls int
}

func (g *fakeGateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Request-Id", "r1")
	w.Header().Set("X-Served-Region", "a")
	switch {
	case r.URL.Path == "/v1/directory":
		_ = json.NewEncoder(w).Encode(Directory{VMs: []DirectoryVM{{Address: r.Host}}, Tickets: []string{"pt1.x"}})
	case strings.HasPrefix(r.URL.Path, "/v1/services/"):
		g.serveCall(w, r)
	default:
		g.serveChat(w, r)
	}
}

func (g *fakeGateway) isFirstCall() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.calls++
	return g.calls == 1
}

func (g *fakeGateway) serveCall(w http.ResponseWriter, r *http.Request) {
	ran, ok := strings.CutPrefix(g.fault, "refuse ")
	if ok && g.isFirstCall() {
		w.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprintf(w, `{"error":{"code":"overload","message":"m","ran":%q,"retryAfterMs":1,"requestId":"r1"}}`, ran)
		return
	}
	service := standin.NewService(standin.ServiceSettings{})
	if g.fault == "run twice" {
		body, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(bytes.NewReader(body))
		service.ServeHTTP(httptest.NewRecorder(), r)
		r.Body = io.NopCloser(bytes.NewReader(body))
	}
	service.ServeHTTP(w, r)
}

// serveChat replaces the engine's event ids by those of the gateway and applies the fault.
func (g *fakeGateway) serveChat(w http.ResponseWriter, r *http.Request) {
	r.Header.Set("X-Request-Id", "r1")
	_, offset, _ := strings.Cut(r.Header.Get("Last-Event-ID"), ":")
	r.Header.Set("X-Resume-From", offset)
	rec := httptest.NewRecorder()
	g.engine.ServeHTTP(rec, r)
	events := strings.SplitAfter(rec.Body.String(), "\n\n")
	for i, ev := range events {
		var start, end int
		if _, err := fmt.Sscanf(ev, "id: r1:%d:%d", &start, &end); err == nil {
			_, rest, _ := strings.Cut(ev, "\n")
			ev = fmt.Sprintf("id: r1:%d\n%s", end, rest)
		}
		switch {
		case g.fault == "break" && i == 5 && g.isFirstCall():
			panic(http.ErrAbortHandler)
		case g.fault == "skip" && i == 5:
			continue
		case g.fault == "cross" && i == 5:
			ev = strings.Replace(ev, "id: r1", "id: r2", 1)
		case g.fault == "truncate" && i == len(events)-3:
			continue
		}
		_, _ = io.WriteString(w, ev)
		_ = http.NewResponseController(w).Flush()
	}
}

// runWorkload sends requests of one kind to a gateway with a fault and returns the row for all requests.
func runWorkload(t *testing.T, kind Kind, fault string) Row {
	t.Helper()
	server := httptest.NewServer(&fakeGateway{fault: fault, engine: standin.NewEngine(standin.EngineSettings{})})
	defer server.Close()
	report, err := Run(context.Background(), Settings{
		DirectoryAddresses: []string{strings.TrimPrefix(server.URL, "http://")},
		Workspaces:         []Workspace{{Name: "w", Key: "ph_a_b", Region: "a", RequestsPerSecond: 100}},
		RequestTypes:       []RequestType{{Name: "n", Kind: kind, Class: "c", Route: "m", Weight: 1, MaxUserBytes: 40, MaxTokens: 20, TicketShare: 0.5}},
		Duration:           50 * time.Millisecond,
		Seed:               3,
	})
	if err != nil {
		t.Fatal(err)
	}
	return report.Rows[len(report.Rows)-1]
}

// Guards against a load generator that accepts an invalid response, counts a valid one as invalid,
// resumes a stream at the wrong offset, or retries a call that may have run.
func TestOutcomes(t *testing.T) {
	for _, c := range []struct {
		kind  Kind
		fault string
		check func(Row) bool
	}{
		{KindChat, "", func(r Row) bool { return r.Done == r.Sent && r.AttemptsPerDone == 1 }},
		{KindChat, "break", func(r Row) bool { return r.Done == r.Sent && r.Resumes == 1 }},
		{KindChat, "skip", func(r Row) bool { return r.Invalid == r.Sent }},
		{KindChat, "cross", func(r Row) bool { return r.Invalid == r.Sent }},
		{KindChat, "truncate", func(r Row) bool { return r.Invalid == r.Sent }},
		{KindCall, "", func(r Row) bool { return r.Done == r.Sent }},
		{KindCall, "run twice", func(r Row) bool { return r.Invalid == r.Sent }},
		{KindCall, "refuse notRun", func(r Row) bool { return r.Done == r.Sent && r.AttemptsPerDone > 1 }},
		{KindCall, "refuse unknown", func(r Row) bool { return r.Unknown == 1 && r.Done == r.Sent-1 && r.Service < 1 }},
	} {
		if row := runWorkload(t, c.kind, c.fault); row.Sent < 2 || !c.check(row) {
			t.Errorf("%s with fault %q: %+v", c.kind, c.fault, row)
		}
	}
}

// Guards against load that differs between two runs with the same seed, which would make runs incomparable.
func TestScheduleDependsOnSeedOnly(t *testing.T) {
	build := func(seed uint64) []request {
		s := Settings{RequestTypes: AssociationWorkload(), Duration: 2 * time.Second, Seed: seed,
			Workspaces: []Workspace{{Name: "w", RequestsPerSecond: 20, Rate: 500, Burst: 2000}, {Name: "v", RequestsPerSecond: 5}}}
		var list []request
		for _, r := range schedule(&s) {
			r.workspace, r.requestType = nil, nil
			list = append(list, *r)
		}
		return list
	}
	if !reflect.DeepEqual(build(1), build(1)) {
		t.Error("two schedules of one seed differ")
	}
	if reflect.DeepEqual(build(1), build(2)) {
		t.Error("schedules of two seeds are equal")
	}
}
