package edge

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"parsleyhatch/platform"
)

// scriptedCluster has upstreams in two regions that answer the attempts of each request as its script says. The VM of the caller is in the
// region "north"; requests of the route "b" run in the region "south" only, and streams of the route "c" cannot be resumed.
type scriptedCluster struct {
	*testCluster
	caller *testVM

	mu      sync.Mutex
	scripts map[string]*script
}

// script says how the attempts of a request go.
type script struct {
	attempts []string
	// first is the event after which the first attempt was to go on, negative before it.
	first int
}

// headerScript names the script of a request.
const headerScript = "Script"

const (
	// lastScripted is the number of the last event of each stream.
	lastScripted = 8
	// scriptAttempts is the number of attempts that routes of scripted clusters allow.
	scriptAttempts = 4
)

func newScriptedCluster(t testing.TB) *scriptedCluster {
	t.Helper()
	w := &scriptedCluster{testCluster: newTestCluster(t, "north", "south"), scripts: map[string]*script{}}
	var routes []string
	for name, extra := range map[string]string{"a": `,"resumable":true`, "b": `,"resumable":true,"home_regions":["south"]`, "c": ""} {
		r := routeJSON(name, "streaming", "plain", extra)
		r = strings.Replace(r, `"timeout_ms":3000`, `"timeout_ms":8000`, 1)
		routes = append(routes, strings.Replace(r, `"max_attempts":2`, fmt.Sprintf(`"max_attempts":%d`, scriptAttempts), 1))
	}
	w.publishConfig(1, strings.Join(routes, ","))
	const upstreams = 4
	for i := range upstreams {
		w.addUpstream(fmt.Sprintf("n%d", i), "plain", "north", w.play)
		w.addUpstream(fmt.Sprintf("s%d", i), "plain", "south", w.play)
	}
	w.caller = w.startVM("vm1", "north", true)
	w.startVM("vm2", "south", true)
	w.waitForMembership()
	w.waitFor("the upstreams are known", func() bool { return w.caller.knowsUpstreams("plain", 2*upstreams) })
	return w
}

// read sends a request of a route, whose attempts go as given, and returns the events of its answer. lastEvent is the last event that the
// caller has, empty if it does not resume a stream.
func (w *scriptedCluster) read(t *testing.T, route, lastEvent string, attempts []string) (string, error) {
	t.Helper()
	resp, err := http.DefaultClient.Do(w.request(t, route, lastEvent, attempts))
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if resp.StatusCode != http.StatusOK {
		t.Errorf("status %d: %s", resp.StatusCode, body)
	}
	return string(body), err
}

// request returns a request of a route, whose attempts go as given. Further ones go on after the last event and are complete.
func (w *scriptedCluster) request(t *testing.T, route, lastEvent string, attempts []string) *http.Request {
	t.Helper()
	id := "script-" + strconv.FormatInt(nextID.Add(1), 10)
	w.mu.Lock()
	w.scripts[id] = &script{attempts: attempts, first: -1}
	w.mu.Unlock()
	header := extraHeaders{headerScript: id, platform.HeaderDeadline: "8000"}
	if lastEvent != "" {
		header[platform.HeaderLastEventID] = lastEvent
	}
	// A path of its own keeps the request apart from others that lost their upstreams.
	return w.caller.request(t, "/"+route+"/"+id, "x", header)
}

// next returns the next attempt of a script, and the event after which the first one was to go on.
func (w *scriptedCluster) next(id string, lastEvent int) (attempt string, first int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.scripts[id]
	if s.first < 0 {
		s.first = lastEvent
	}
	if len(s.attempts) == 0 {
		return strings.Repeat("+ ", max(0, lastScripted-lastEvent)) + ".", s.first
	}
	attempt, s.attempts = s.attempts[0], s.attempts[1:]
	return attempt, s.first
}

// play answers an attempt with the tokens of its script:
//
//	3 *3    the event 3, or that of a run with another text
//	+ = <   the event after, at or before the latest one
//	>       the event after the next one, if a VM can know that one is missing; otherwise the next one
//	/4      the next event with a pause after four bytes
//	- :     an event without an id, or a comment
//	!4 |    breaks off after four bytes of the next event, or between events
//	~       is silent until streams resume elsewhere
//	? .     refuses the request, or is complete
func (w *scriptedCluster) play(rw http.ResponseWriter, r *http.Request) {
	last, _ := strconv.Atoi(r.Header.Get(platform.HeaderLastEventID))
	attempt, first := w.next(r.Header.Get(headerScript), last)
	rw.Header().Set("Content-Type", "text/event-stream")
	rw.Header().Set(platform.HeaderServerStamp, "stamp")
	write := func(s string) {
		fmt.Fprint(rw, s)
		rw.(http.Flusher).Flush()
	}
	for token := range strings.FieldsSeq(attempt) {
		n, _ := strconv.Atoi(token[1:])
		switch token[0] {
		case '.':
			return
		case '?':
			rw.Header().Set(platform.HeaderNotExecuted, "1")
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		case '!':
			write(pieces(last+1, last+1)[:n])
			panic(http.ErrAbortHandler)
		case '|':
			panic(http.ErrAbortHandler)
		case '~':
			time.Sleep(minStallTimeout + 200*time.Millisecond)
		case '-':
			write("data: text\n\n")
		case '*':
			last = n
			write(otherPieces(n, n))
		case ':':
			write(":\n\n")
		case '/':
			last++
			write(pieces(last, last)[:n])
			time.Sleep(time.Millisecond)
			write(pieces(last, last)[n:])
		default:
			last = numberAfter(token, last, first)
			write(pieces(last, last))
		}
	}
}

// knownEvents is the number of events of one answer from which a VM knows their step.
const knownEvents = 3

// numberAfter returns the number of an event of a script.
func numberAfter(token string, last, first int) int {
	switch {
	case token == ">" && last-first >= knownEvents:
		return last + 2
	case token == "+" || token == ">":
		return last + 1
	case token == "=":
		return max(1, last)
	case token == "<":
		return max(1, last-1)
	}
	n, _ := strconv.Atoi(token)
	return n
}

// pieces returns the events from first to last as the caller gets them.
func pieces(first, last int) string {
	var b strings.Builder
	for i := first; i <= last; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return b.String()
}

// otherPieces returns the events from first to last of a run with another text.
func otherPieces(first, last int) string {
	return strings.ReplaceAll(pieces(first, last), "piece", "other")
}
