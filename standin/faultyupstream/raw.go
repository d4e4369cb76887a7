package faultyupstream

import (
	"bufio"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"parsleyhatch/platform"
	"parsleyhatch/standin/rawanswer"
	"parsleyhatch/standin/workload"
)

// report is a line that a process writes to its standard output. One field is set.
type report struct {
	// Address is that of the listener, in the first line.
	Address string   `json:"address,omitempty"`
	Arrival *arrival `json:"arrival,omitempty"`
	// Start is the start of an execution, with the IP from which the request came as its VM.
	Start *Execution `json:"start,omitempty"`
	End   *runEnd    `json:"end,omitempty"`
}

// arrival is the arrival of a request from an IP.
type arrival struct {
	ID   string    `json:"id"`
	From string    `json:"from"`
	At   time.Time `json:"at"`
}

// runEnd is the end of an execution.
type runEnd struct {
	Run      string `json:"run"`
	BrokeOff bool   `json:"brokeOff"`
}

// rawUpstream is an upstream in a process of its own that writes its answers to TCP connections byte by byte, in all framings, pieces
// and ends that a process on another machine may use.
type rawUpstream struct {
	settings Settings
	ends     atomic.Pointer[rawanswer.Allowed]
	runs     *workload.RunNames

	// outMu guards out.
	outMu sync.Mutex
	out   *json.Encoder
}

// ServeProcess runs a raw upstream until its input ends, as the program that started the process says.
func ServeProcess(in io.Reader, out io.Writer) error {
	control := json.NewDecoder(in)
	u := &rawUpstream{out: json.NewEncoder(out)}
	if err := control.Decode(&u.settings); err != nil {
		return fmt.Errorf("read settings: %w", err)
	}
	u.runs = workload.NewRunNames(u.settings.ID, time.Now())
	u.ends.Store(&rawanswer.Allowed{})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen for upstream %s: %w", u.settings.ID, err)
	}
	u.report(report{Address: listener.Addr().String()})
	go u.runAccept(listener)
	for {
		ends := new(rawanswer.Allowed)
		if control.Decode(ends) != nil {
			return nil // The program has ended.
		}
		u.ends.Store(ends)
	}
}

func (u *rawUpstream) report(r report) {
	u.outMu.Lock()
	defer u.outMu.Unlock()
	_ = u.out.Encode(r) // Fails only when the program has ended.
}

func (u *rawUpstream) runAccept(listener net.Listener) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		go u.runConnection(c.(*net.TCPConn))
	}
}

// runConnection answers the requests of a connection until it ends.
func (u *rawUpstream) runConnection(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		from, _, _ := net.SplitHostPort(c.RemoteAddr().String())
		came := arrival{ID: r.Header.Get(platform.HeaderRequestID), From: from, At: time.Now()}
		u.report(report{Arrival: &came})
		body, err := io.ReadAll(r.Body)
		if err != nil || !u.serve(c, r, string(body), came) {
			return
		}
	}
}

// serve runs a request and reports whether the connection stays open.
func (u *rawUpstream) serve(c *net.TCPConn, r *http.Request, body string, came arrival) bool {
	if target := r.Header.Get(platform.HeaderTargetInstance); target != "" && target != u.settings.ID {
		_, err := io.WriteString(c, head("421 Misdirected Request", came.ID, platform.HeaderNotExecuted+": 1")+"Content-Length: 0\r\n\r\n")
		return err == nil
	}
	lastEvent := r.Header.Get(platform.HeaderLastEventID)
	rng := u.newRand(came.ID, lastEvent)
	shape := u.settings.shape(r)
	answer := rawanswer.Draw(rng, *u.ends.Load(), shape.Stream, workload.UsualEventPause)
	run := workload.Run{
		Service: u.settings.Service, Version: u.settings.Version, Request: came.ID, Name: u.runs.Next(), After: workload.ParseLastEventID(lastEvent),
	}
	wire := EncodeAnswer(&answer, rng, &run, shape)
	u.report(report{Start: &Execution{
		ID: came.ID, Upstream: u.settings.ID, Run: run.Name, VM: came.From, StartedAt: time.Now(), Workspace: r.Header.Get(platform.HeaderWorkspace),
		KeyPresent: r.Header.Get(platform.HeaderAPIKey) != "", LastEvent: lastEvent, Answer: answer.String(), Row: answer.Row(),
		Unmodified: r.Method == http.MethodPost && body == shape.RequestBody(came.ID) && r.URL.RawQuery == "q="+came.ID,
	}})
	err := wire.Write(c)
	u.report(report{End: &runEnd{Run: run.Name, BrokeOff: answer.End != rawanswer.EndComplete}})
	if err != nil {
		return false
	}
	if answer.Resets() {
		_ = c.SetLinger(0) // Makes Close send a reset.
	}
	return answer.KeepsConnection()
}

// newRand returns the source of the draws for one answer, which depend on the seed, the upstream and the request only.
func (u *rawUpstream) newRand(id, lastEvent string) *rand.Rand {
	sum := fnv.New64a()
	_, _ = io.WriteString(sum, u.settings.ID+" "+id+" "+lastEvent)
	return rand.New(rand.NewPCG(u.settings.Seed, sum.Sum64()))
}

// EncodeAnswer encodes the answer of a run.
func EncodeAnswer(a *rawanswer.Answer, rng *rand.Rand, run *workload.Run, shape *workload.Shape) *rawanswer.Wire {
	fields := "Server-Stamp: stamp-" + run.Request
	if !shape.Stream {
		return a.Encode(rng, head("200 OK", run.Request, fields), []rawanswer.Event{{Text: workload.ResponseBody(run.Request)}})
	}
	var events []rawanswer.Event
	for n := run.After + 1; n <= shape.Events; n++ {
		events = append(events, a.Style.Event(run.EventLines(n, shape), n))
	}
	return a.Encode(rng, head("200 OK", run.Request, fields+"\r\nContent-Type: text/event-stream"), events)
}
