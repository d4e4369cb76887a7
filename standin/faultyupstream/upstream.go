// Package faultyupstream simulates upstreams of the platform that misbehave, in this process or in one of their own.
package faultyupstream

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"parsleyhatch/platform"
	"parsleyhatch/standin/rawanswer"
	"parsleyhatch/standin/workload"
)

// Behaviour is what an upstream does.
type Behaviour int32

// Behaviours of an upstream.
const (
	RespondsNormally Behaviour = iota
	// RespondsWithError responds with status 500 after recording the execution.
	RespondsWithError
	// RejectsRequests responds with status 503 and the not-run header without running the request.
	RejectsRequests
	// RespondsSlowly responds after slowResponseTime.
	RespondsSlowly
	// AbortsConnections closes the connection before the response or in the middle of a stream.
	AbortsConnections
	// FailsPartly responds to half of the requests as RespondsWithError and to the others normally.
	FailsPartly
	// RepeatsEvents sends an event of a stream twice.
	RepeatsEvents
	// ResumesEarly begins a resumed stream with events that the caller has, ResumesLate with one after the next.
	ResumesEarly
	ResumesLate
	// ClosesAfterRun and ResetsAfterRun run half of the requests and end the connection before the answer, with FIN or RST.
	ClosesAfterRun
	ResetsAfterRun
	// RefusesEarly refuses half of the requests before it has read their bodies.
	RefusesEarly
)

// behaviourNames describe the behaviours that a report names.
var behaviourNames = map[Behaviour]string{
	AbortsConnections: "breaks off", FailsPartly: "fails partly", RepeatsEvents: "repeats events", ResumesEarly: "resumes too early", ResumesLate: "resumes too late",
}

// String names the behaviour if a report does.
func (b Behaviour) String() string { return behaviourNames[b] }

const (
	// resumeError is the number of events by which a faulty upstream begins a resumed stream too early or too late.
	resumeError = 2
	// slowResponseTime is the response time of a slow upstream.
	slowResponseTime = 600 * time.Millisecond
)

// Settings configure an upstream.
type Settings struct {
	ID string `json:"id"`
	// Service and Version are the service and its software version, which each event of a stream names.
	Service string `json:"service"`
	Version string `json:"version"`
	// Shapes are the forms of the requests with each path.
	Shapes map[string]workload.Shape `json:"shapes"`
	// Slots is the number of requests that the upstream runs at once, zero for all. A process runs all.
	Slots int `json:"slots"`
	// Seed is that of the answers that a process draws.
	Seed uint64 `json:"seed"`
}

// Upstream simulates an upstream. It is an http.Handler.
type Upstream struct {
	Settings
	record    *Recorder
	runs      *workload.RunNames
	behaviour atomic.Int32
	// Late selects when the upstream sends second responses, zero for never.
	Late atomic.Int64
	Room Room
	// Leaving means that the upstream says in its answers that it leaves.
	Leaving atomic.Bool
	// RetryAfter is the number of seconds for which the upstream wants nothing from a VM that it refuses, zero if it refuses none.
	RetryAfter atomic.Int64
	// Limit is the rate limit that the upstream announces, in hundredths of a request per second, zero for none.
	Limit    atomic.Int64
	listener net.Listener
	server   *http.Server
	closed   atomic.Bool
	// process, if set, is the process that serves in place of server.
	process *process
}

// New starts an upstream in this process.
func New(settings Settings, record *Recorder) (*Upstream, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for upstream %s: %w", settings.ID, err)
	}
	u := NewHandler(settings, record)
	u.listener = listener
	u.server = &http.Server{Handler: u, ConnContext: withLateConn, ConnState: watchIdle}
	go func() { _ = u.server.Serve(lateListener{listener}) }() // Ends with Close.
	return u, nil
}

// NewHandler returns an upstream without a listener.
func NewHandler(settings Settings, record *Recorder) *Upstream {
	u := &Upstream{Settings: settings, record: record, runs: workload.NewRunNames(settings.ID, time.Now())}
	u.Room.Slots, u.Room.Queue = settings.Slots, MaxWaiting
	return u
}

// Address returns the address at which the upstream listens, IP:port.
func (u *Upstream) Address() string {
	if u.process != nil {
		return u.process.address
	}
	return u.listener.Addr().String()
}

// Close closes the listener and all connections immediately, as a crash does.
func (u *Upstream) Close() {
	u.closed.Store(true)
	if u.process != nil {
		u.process.kill()
		return
	}
	_ = u.server.Close()
}

// SetBehaviour begins a behaviour.
func (u *Upstream) SetBehaviour(b Behaviour) { u.behaviour.Store(int32(b)) }

// EndBehaviour ends a behaviour unless another one has taken its place.
func (u *Upstream) EndBehaviour(b Behaviour) {
	u.behaviour.CompareAndSwap(int32(b), int32(RespondsNormally))
}

func (u *Upstream) does() Behaviour { return Behaviour(u.behaviour.Load()) }

// shape returns the form of a request.
func (s *Settings) shape(r *http.Request) *workload.Shape {
	shape := s.Shapes[r.URL.Path]
	return &shape
}

// vmOf returns the VM that sent a request.
func (r *Recorder) vmOf(call *http.Request) string {
	ip, _, _ := net.SplitHostPort(call.RemoteAddr)
	return r.VMAt(ip)
}

// ServeHTTP records the arrival of the request and, unless it is rejected, an execution, and responds according to the behaviour.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(platform.HeaderRequestID)
	vm := u.record.vmOf(r)
	u.record.Arrival(id, u.ID, vm, time.Now())
	if u.does() == RefusesEarly && workload.IsOneOf(id, "early", 2) {
		u.refuseEarly(w, r, id)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set(platform.HeaderRequestID, id)
	if target := r.Header.Get(platform.HeaderTargetInstance); target != "" && target != u.ID {
		w.Header().Set(platform.HeaderNotExecuted, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	u.announceLimit(w)
	leaving := u.Leaving.Load()
	if leaving {
		w.Header().Set(platform.HeaderLeaving, "1")
	}
	u.Room.announce(w)
	if u.holdsBack(w, vm, id) || u.does() == RejectsRequests {
		w.Header().Set(platform.HeaderNotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !u.Room.enter(r.Context(), vm) {
		w.Header().Set(platform.HeaderNotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer u.Room.leave()
	crashes := u.Room.crashes.Load()
	content := u.record.ContentID(id)
	run := workload.Run{Service: u.Service, Version: u.Version, Request: id, Name: u.runs.Next(), After: workload.ParseLastEventID(r.Header.Get(platform.HeaderLastEventID))}
	end := u.record.Execution(Execution{
		ID: id, Upstream: u.ID, Run: run.Name, VM: vm, StartedAt: time.Now(), Leaving: leaving, Fault: u.does(), LastEvent: r.Header.Get(platform.HeaderLastEventID), Workspace: r.Header.Get(platform.HeaderWorkspace),
		KeyPresent: r.Header.Get(platform.HeaderAPIKey) != "", Unmodified: r.Method == http.MethodPost && u.isBodyOf(r, id, body) && r.URL.RawQuery == "q="+content,
	})
	w.Header().Set(platform.HeaderServerStamp, "stamp-"+id)
	aborts := true
	defer func() { end(aborts || u.closed.Load() || u.Room.crashes.Load() > crashes) }()
	u.respond(w, r, &run)
	aborts = false
}

// isBodyOf reports whether a body is the one that the caller of a request sent.
func (u *Upstream) isBodyOf(r *http.Request, id string, body []byte) bool {
	return string(body) == u.shape(r).RequestBody(u.record.ContentID(id))
}

// announceLimit records the arrival of a request and announces the rate limit, if there is one.
func (u *Upstream) announceLimit(w http.ResponseWriter) {
	limit := float64(u.Limit.Load()) / 100
	if limit == 0 {
		return
	}
	u.record.LimitedArrival(u.ID, limit)
	w.Header().Set(platform.HeaderRateLimit, strconv.FormatFloat(limit, 'f', -1, 64))
}

func (u *Upstream) respond(w http.ResponseWriter, r *http.Request, run *workload.Run) {
	id, shape := run.Request, u.shape(r)
	time.Sleep(shape.WorkTime(id))
	u.loseAnswer(r.Context(), id)
	if u.fails(id) {
		w.WriteHeader(http.StatusInternalServerError)
		u.planLateAnswer(r.Context(), id)
		return
	}
	switch u.does() {
	case RespondsSlowly:
		time.Sleep(slowResponseTime)
	case AbortsConnections:
		if len(id)%2 == 0 {
			panic(http.ErrAbortHandler)
		}
	}
	if shape.Stream {
		u.stream(w, run, shape)
	} else {
		_, _ = io.WriteString(w, workload.ResponseBody(id)) // The VM may have closed the connection.
	}
	u.planLateAnswer(r.Context(), id)
}

// fails reports whether the upstream responds with status 500 to a request. An upstream that sends second responses fails half
// of the requests, so that they are sent again.
func (u *Upstream) fails(id string) bool {
	switch u.does() {
	case RespondsWithError:
		return true
	case FailsPartly:
		return workload.IsOneOf(id, "fail", 2)
	}
	return u.Late.Load() > 0 && workload.IsOneOf(id, "fail", 2)
}

func (u *Upstream) stream(w http.ResponseWriter, run *workload.Run, shape *workload.Shape) {
	w.Header().Set("Content-Type", "text/event-stream")
	var text strings.Builder
	for n := u.firstEvent(run.After); n <= shape.Events; n++ {
		if u.does() == AbortsConnections && n == shape.Events/2 {
			breakOff(w, text.String()+event(run, n, shape), shape)
		}
		text.WriteString(event(run, n, shape))
		if u.does() == RepeatsEvents && n == shape.Events/2 {
			text.WriteString(event(run, n, shape))
		}
		if n%shape.EventsPerWrite != 0 && n < shape.Events {
			continue
		}
		if _, err := io.WriteString(w, text.String()); err != nil {
			return
		}
		text.Reset()
		w.(http.Flusher).Flush()
		time.Sleep(shape.PauseBetweenEvents())
	}
}

// breakOff ends the connection. Under a load with long events it sends half of an event before.
func breakOff(w http.ResponseWriter, text string, shape *workload.Shape) {
	if shape.LongEvery > 0 {
		_, _ = io.WriteString(w, text[:len(text)/2]) // The VM may have closed the connection.
		w.(http.Flusher).Flush()
	}
	panic(http.ErrAbortHandler)
}

// firstEvent returns the number of the first event to send after the last one that the VM names, zero if it names none.
func (u *Upstream) firstEvent(last int) int {
	switch behaviour := u.does(); {
	case behaviour == ResumesEarly && last >= resumeError:
		last -= resumeError
	case behaviour == ResumesLate && last > 0:
		last += resumeError
	}
	return last + 1
}

func event(run *workload.Run, n int, shape *workload.Shape) string {
	return rawanswer.EventStyle{}.Event(run.EventLines(n, shape), n).Text
}

// holdsBack reports whether the upstream refuses a request because it wants nothing from the VM, and says for how long.
func (u *Upstream) holdsBack(w http.ResponseWriter, vm, id string) bool {
	seconds := u.RetryAfter.Load()
	if seconds == 0 {
		return false
	}
	w.Header().Set(platform.HeaderRetryAfter, strconv.FormatInt(seconds, 10))
	u.record.HoldBack(u.ID, vm, id, time.Duration(seconds)*time.Second)
	return true
}
