// Package proof holds the tests of what must always hold. They run real VMs, sessions and stand-ins
// over loopback sockets.
package proof

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"parsleyhatch/caller"
	"parsleyhatch/config"
	"parsleyhatch/gateway"
	"parsleyhatch/standin"
)

const (
	fleetKey   = "fleet key of the proof tests"
	credential = "platform-credential"
	poisonWord = "POISON"
	// waitLimit bounds waits for a condition. It is far above what a healthy run takes, so that a
	// slow machine does not change a verdict.
	waitLimit = 60 * time.Second
)

// node is one running VM.
type node struct {
	gateway *gateway.Gateway
	server  *caller.Server
	cancel  context.CancelFunc
	done    chan struct{}
}

// fleet is a deployment in this process.
type fleet struct {
	t        testing.TB
	file     *config.File
	number   uint64
	platform *standin.Platform
	engines  map[string]*standin.Engine
	nodes    map[string]*node
	log      *slog.Logger
	// prepare is called on each new gateway before it runs.
	prepare func(*gateway.Gateway)
}

// fleetOptions shapes a deployment.
type fleetOptions struct {
	regions      []string
	vmsPerRegion int
	engines      int
	engine       standin.EngineSettings
	edit         func(*config.File)
	prepare      func(*gateway.Gateway)
	// logTo gets all lines of all VMs.
	logTo io.Writer
}

// fleets counts the fleets of this process. Each has loopback IPs of its own and fixed ports below
// the range of outgoing connections, so that no port is lost between its choice and its use.
var fleets atomic.Int32

// freeAddress reserves a port of a loopback IP.
func freeAddress(t testing.TB, ip string) string {
	t.Helper()
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func hashOf(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// startFleet starts the platform, the engines and the VMs, and waits until all VMs are ready.
func startFleet(t testing.TB, o fleetOptions) *fleet {
	t.Helper()
	level := slog.LevelError
	if os.Getenv("PROOF_LOG") != "" {
		level = slog.LevelDebug
	}
	f := &fleet{
		t:        t,
		engines:  map[string]*standin.Engine{},
		nodes:    map[string]*node{},
		prepare:  o.prepare,
		log:      slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})),
		platform: standin.NewPlatform(standin.PlatformSettings{}),
	}
	if o.logTo != nil {
		f.log = slog.New(slog.NewTextHandler(o.logTo, &slog.HandlerOptions{Level: slog.LevelDebug}))
	}
	if err := f.platform.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.platform.Close)
	f.file = f.baseConfig(o)
	if o.edit != nil {
		o.edit(f.file)
	}
	f.publish()
	for i := range f.file.VMs {
		f.startVM(f.file.VMs[i].Name)
	}
	t.Cleanup(f.stopAll)
	for name := range f.nodes {
		f.waitFor("vm "+name+" ready", func() bool { return f.nodes[name].gateway.Ready() })
	}
	f.waitFor("vms see each other", f.connected)
	return f
}

// summaryEntries is the largest number of VMs of another region that a VM hears of.
const summaryEntries = 4

// connected reports whether each VM sees all others of its region alive and ready, and of each
// other region as many as its summary names.
func (f *fleet) connected() bool {
	vms := map[string]int{}
	for i := range f.file.VMs {
		vms[f.file.VMs[i].Region]++
	}
	for _, n := range f.nodes {
		seen := map[string]int{}
		for _, info := range n.gateway.VMs() {
			if info.Alive && info.Ready {
				seen[info.Region]++
			}
		}
		for region, count := range vms {
			if region != n.gateway.Self.Region {
				count = min(count, summaryEntries)
			}
			if seen[region] < count {
				return false
			}
		}
	}
	return true
}

// baseConfig builds a configuration with one engine pool and two workspaces.
func (f *fleet) baseConfig(o fleetOptions) *config.File {
	file := &config.File{}
	number := fleets.Add(1)
	for i, region := range o.regions {
		file.Regions = append(file.Regions, config.Region{Name: region})
		for j := range i {
			file.Links = append(file.Links, config.Link{A: o.regions[j], B: region, MegabitsPerSecond: 1000, OneWayMillis: 55})
		}
		for n := range o.vmsPerRegion {
			ip := fmt.Sprintf("127.%d.%d.%d", 64+number, 10*(os.Getpid()%25)+i+1, n+1)
			file.VMs = append(file.VMs, config.VM{
				Name:          fmt.Sprintf("%s-%d", region, n+1),
				Region:        region,
				FailureDomain: fmt.Sprintf("%s-fd%d", region, n+1),
				CallerAddress: ip + ":8080",
				PeerAddress:   ip + ":7000",
			})
		}
		for n := range o.engines {
			f.addEngine(file, region, n, o.engine)
		}
	}
	home := o.regions[0]
	file.Routes = []config.Route{
		{Name: "chat", Kind: config.KindModel, Model: "redator", Selector: "model=redator", Idempotent: true, Class: config.ClassDraft, DeadlineMillis: 30000, MaxTokens: 400},
		{Name: "homechat", Kind: config.KindModel, Model: "balcao", Selector: "model=redator", HomeBound: true, Idempotent: true, Class: config.ClassInteractive, DeadlineMillis: 30000, MaxTokens: 400},
	}
	for _, w := range []string{"alpha", "beta"} {
		file.Workspaces = append(file.Workspaces, config.Workspace{Name: w, Home: home, Rate: 1 << 20, Burst: 1 << 20, Weight: 1})
		file.Keys = append(file.Keys, config.Key{ID: w, SHA256: hashOf("secret-" + w), Workspace: w})
	}
	return file
}

func keyOf(workspace string) string { return "ph_" + workspace + "_secret-" + workspace }

func (f *fleet) addEngine(file *config.File, region string, n int, s standin.EngineSettings) {
	f.t.Helper()
	s.Credential, s.PoisonWord = credential, poisonWord
	s.Seed += uint64(len(f.engines) + 1)
	e := standin.NewEngine(s)
	if err := e.Listen("127.0.0.1:0"); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(e.Close)
	name := fmt.Sprintf("%s-engine-%d", region, n+1)
	f.engines[name] = e
	file.Upstreams = append(file.Upstreams, config.Upstream{
		Name: name, Kind: config.KindModel, Address: e.Address(), Region: region,
		FailureDomain: region + "-fd1", Labels: map[string]string{"model": "redator"}, MaxBatch: max(s.MaxBatch, 8),
	})
}

// publish stores the configuration under the next number.
func (f *fleet) publish() {
	f.t.Helper()
	f.number++
	if err := f.platform.Publish(f.number, f.file); err != nil {
		f.t.Fatal(err)
	}
}

// startVM starts the VM of a slot.
func (f *fleet) startVM(slot string) *node {
	f.t.Helper()
	var m *config.VM
	for i := range f.file.VMs {
		if f.file.VMs[i].Name == slot {
			m = &f.file.VMs[i]
		}
	}
	g, err := gateway.New(f.settings(m), f.log)
	if err != nil {
		f.t.Fatal(err)
	}
	if f.prepare != nil {
		f.prepare(g)
	}
	peers := f.listen(m.PeerAddress)
	callers := f.listen(m.CallerAddress)
	ctx, cancel := context.WithCancel(context.Background())
	n := &node{gateway: g, server: caller.New(g, callers, f.log), cancel: cancel, done: make(chan struct{})}
	var wait sync.WaitGroup
	wait.Go(func() { _ = g.Run(ctx, peers) })
	wait.Go(func() { _ = n.server.Run(ctx) })
	go func() { wait.Wait(); close(n.done) }()
	f.nodes[slot] = n
	return n
}

func (f *fleet) settings(m *config.VM) gateway.Settings {
	s := gateway.Settings{
		Slot: m.Name, Region: m.Region, FailureDomain: m.FailureDomain,
		CallerListen: m.CallerAddress, PeerListen: m.PeerAddress, AdminListen: "127.0.0.1:0",
		PlatformURL: "http://" + f.platform.Address(), FleetKey: []byte(fleetKey),
		UpstreamCredential: credential, DrainLimit: waitLimit, MaxStreams: 1000,
	}
	for i := range f.file.VMs {
		if f.file.VMs[i].Name != m.Name {
			s.Seeds = append(s.Seeds, f.file.VMs[i].PeerAddress)
		}
	}
	return s
}

func (f *fleet) listen(address string) net.Listener {
	f.t.Helper()
	var l net.Listener
	f.waitFor("address "+address+" free", func() bool {
		var err error
		l, err = net.Listen("tcp", address)
		return err == nil
	})
	return l
}

// kill ends a VM without any goodbye.
func (f *fleet) kill(slot string) {
	n := f.nodes[slot]
	n.server.Close()
	n.cancel()
	<-n.done
	delete(f.nodes, slot)
}

func (f *fleet) stopAll() {
	for slot := range f.nodes {
		f.kill(slot)
	}
}

// waitFor polls a condition until it holds.
func (f *fleet) waitFor(what string, holds func() bool) {
	f.t.Helper()
	limit := time.Now().Add(waitLimit)
	for !holds() {
		if time.Now().After(limit) {
			f.t.Fatalf("timed out: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// answer is what a caller got.
type answer struct {
	status int
	header http.Header
	text   string
	// lastID is the id of the last event of a stream.
	lastID string
	done   bool
	code   string
	ran    string
	// instead counts the VMs that a refusal names.
	instead int
}

type chatOptions struct {
	vm, key, model, prompt string
	maxTokens              int
	lastID                 string
	// onChunk is called after each event of the stream.
	onChunk func(n int)
}

// chat sends a streaming chat completion and reads its answer to the end.
func (f *fleet) chat(o chatOptions) (answer, error) {
	body, err := json.Marshal(map[string]any{
		"model": o.model, "stream": true, "max_tokens": o.maxTokens,
		"messages": []map[string]string{{"role": "user", "content": o.prompt}},
	})
	if err != nil {
		return answer{}, err
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+f.callerAddress(o.vm)+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return answer{}, err
	}
	req.Header.Set("Content-Type", "application/json")
	if o.key != "" {
		req.Header.Set("Authorization", "Bearer "+o.key)
	}
	if o.lastID != "" {
		req.Header.Set("Last-Event-ID", o.lastID)
	}
	resp, err := callerClient.Do(req)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	a := answer{status: resp.StatusCode, header: resp.Header}
	if resp.StatusCode != http.StatusOK {
		data, _ := io.ReadAll(resp.Body)
		a.setError(data)
		return a, nil
	}
	return a, a.read(resp.Body, o.onChunk)
}

var callerClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func (f *fleet) callerAddress(slot string) string {
	for i := range f.file.VMs {
		if f.file.VMs[i].Name == slot {
			return f.file.VMs[i].CallerAddress
		}
	}
	f.t.Fatalf("unknown vm %s", slot)
	return ""
}

func (a *answer) setError(data []byte) {
	var e struct {
		Error struct {
			Code, Ran string
			VMs       []struct{ Name string }
		}
	}
	if json.Unmarshal(data, &e) == nil {
		a.code, a.ran, a.instead = e.Error.Code, e.Error.Ran, len(e.Error.VMs)
	}
}

// read consumes a stream of events.
func (a *answer) read(body io.Reader, onChunk func(int)) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, 1<<20)
	isError := false
	events := 0
	for lines.Scan() {
		line := lines.Text()
		switch {
		case strings.HasPrefix(line, "id: "):
			a.lastID = strings.TrimPrefix(line, "id: ")
		case line == "event: error":
			isError = true
		case line == "data: [DONE]":
			a.done = true
		case strings.HasPrefix(line, "data: ") && isError:
			a.setError([]byte(strings.TrimPrefix(line, "data: ")))
		case strings.HasPrefix(line, "data: "):
			var c standin.Chunk
			if err := json.Unmarshal([]byte(strings.TrimPrefix(line, "data: ")), &c); err != nil {
				return err
			}
			for _, choice := range c.Choices {
				a.text += choice.Delta.Content
			}
			events++
			if onChunk != nil {
				onChunk(events)
			}
		}
	}
	return lines.Err()
}

// want returns the whole answer to a prompt.
func want(model, prompt string, maxTokens int) string {
	return strings.Join(standin.Answer(model, prompt, standin.AnswerTokens(model, prompt, maxTokens)), "")
}
