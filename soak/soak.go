// Package soak runs VMs as processes of their own before simulated upstreams and a simulated store, disturbs them
// from outside by a random plan of faults, and checks what callers and upstreams see against the promises of
// the operators' pages.
package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"parsleyhatch/platform"
	"parsleyhatch/standin"
)

const (
	host    = "soak.example"
	service = "worker"
	// callers is the number of callers that send requests side by side.
	callers = 8
	// upstreamsPerRegion and vmsPerRegion are the sizes of a region.
	upstreamsPerRegion = 3
	vmsPerRegion       = 2
)

var regions = []string{"north", "south"}

// defaultBounds are those that the settings of the VMs tell, and the pages' for the rest.
var defaultBounds = bounds{
	revoke: 5 * time.Second, drain: 3 * time.Second, contact: 5 * time.Second,
	answerSlack: time.Second, recovered: 0.95,
}

// Settings say what a soak runs.
type Settings struct {
	Seed   uint64
	Length time.Duration
	// Program is the executable of the product, and Dir a directory for settings files.
	Program, Dir string
	// Log takes the faults and the lines of the VMs.
	Log io.Writer
}

// Report is the result of a soak.
type Report struct {
	Requests, Runs, Faults int
	// Served is the number of requests that succeeded.
	Served int
	// Violations are the promises that were not kept: of each the number and the first few requests.
	Violations []string
}

// soak is one run.
type soak struct {
	Settings
	ledger *ledger
	store  *standin.Store
	web    *http.Server
	vms    []*vmProcess
	log    *lockedWriter

	mu        sync.Mutex
	upstreams []*upstreamLink
	keys      []string
	version   int
	born      int64
}

// upstreamLink is an upstream with the link that VMs reach it by.
type upstreamLink struct {
	*upstreamServer
	link   *proxy
	region string
	born   int64
}

// lockedWriter takes lines of several processes.
type lockedWriter struct {
	mu sync.Mutex
	w  io.Writer
}

// Write passes on what a process wrote.
func (l *lockedWriter) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.w.Write(b)
}

// Run runs a soak.
func Run(ctx context.Context, settings Settings) (Report, error) {
	s := &soak{Settings: settings, ledger: newLedger(), store: standin.NewStore(), log: &lockedWriter{w: settings.Log}}
	defer s.close()
	if err := s.start(); err != nil {
		return Report{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, settings.Length)
	defer cancel()
	var running sync.WaitGroup
	for i := range callers {
		running.Go(func() { s.runCaller(ctx, i) })
	}
	faults := plan(settings.Seed, settings.Length)
	s.runFaults(ctx, faults, &running)
	running.Wait()
	return s.report(len(faults)), nil
}

func (s *soak) report(faults int) Report {
	found := s.ledger.check(defaultBounds)
	r := Report{Requests: len(s.ledger.attempts), Faults: faults}
	for _, runs := range s.ledger.runs {
		r.Runs += len(runs)
	}
	for _, a := range s.ledger.answers {
		if a.status == http.StatusOK && a.whole {
			r.Served++
		}
	}
	r.Violations = summarize(found)
	return r
}

// maxShown is the number of violations of one promise that a report shows.
const maxShown = 3

// summarize describes violations that are sorted by promise.
func summarize(found []violation) []string {
	count := map[string]int{}
	for _, v := range found {
		count[v.promise]++
	}
	shown := map[string]int{}
	var lines []string
	for _, v := range found {
		if shown[v.promise]++; shown[v.promise] <= maxShown {
			lines = append(lines, fmt.Sprintf("%s (%d of %d)", v, shown[v.promise], count[v.promise]))
		}
	}
	return lines
}

func (s *soak) random(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(s.Seed, stream)) }

// start starts the store, the upstreams and the VMs.
func (s *soak) start() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen for the store: %w", err)
	}
	s.web = &http.Server{Handler: s.store}
	go func() { _ = s.web.Serve(listener) }() // Ends with close.
	s.keys = []string{"key-1", "key-2"}
	for i, key := range s.keys {
		s.ledger.workspaces[key] = fmt.Sprintf("workspace-%d", i+1)
	}
	s.publish()
	for _, region := range regions {
		for range upstreamsPerRegion {
			if err := s.addUpstream(region); err != nil {
				return err
			}
		}
	}
	return s.startVMs(listener.Addr().String())
}

func (s *soak) startVMs(store string) error {
	var seeds []string
	for _, region := range regions {
		for i := range vmsPerRegion {
			link, err := newProxy(store)
			if err != nil {
				return err
			}
			v := &vmProcess{name: fmt.Sprintf("%s-%d", region, i), region: region, program: s.Program, log: s.log, store: link}
			v.assign(len(s.vms))
			s.vms = append(s.vms, v)
			s.ledger.regions[v.name] = region
			if i == 0 {
				seeds = append(seeds, v.peers)
			}
		}
	}
	var failed error
	for _, v := range s.vms {
		failed = errors.Join(failed, v.writeSettings(s.Dir, regions, seeds), v.start())
	}
	for _, v := range s.vms {
		if failed == nil {
			failed = v.waitReady()
		}
	}
	return failed
}

func (s *soak) close() {
	for _, v := range s.vms {
		v.kill()
		v.store.close()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range s.upstreams {
		u.close()
		u.link.close()
	}
	if s.web != nil {
		_ = s.web.Close()
	}
}

// addUpstream starts an upstream and registers it.
func (s *soak) addUpstream(region string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.born++
	u, err := newUpstream(fmt.Sprintf("u%d", s.born), s.ledger)
	if err != nil {
		return err
	}
	link, err := newProxy(u.address())
	if err != nil {
		return err
	}
	x := &upstreamLink{upstreamServer: u, link: link, region: region, born: s.born}
	s.upstreams = append(s.upstreams, x)
	s.ledger.mu.Lock()
	s.ledger.regions[u.id] = region
	s.ledger.mu.Unlock()
	s.register(x, "ready")
	return nil
}

func (s *soak) register(u *upstreamLink, state string) {
	s.store.Put(platform.UpstreamPrefix+u.id, fmt.Sprintf(
		`{"service":%q,"address":%q,"zone":%q,"slots":16,"state":%q,"born":%d}`,
		service, u.link.address(), u.region+"-a", state, u.born))
}

// remove takes an upstream out of the list.
func (s *soak) remove(u *upstreamLink) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, x := range s.upstreams {
		if x == u {
			s.upstreams = append(s.upstreams[:i], s.upstreams[i+1:]...)
			return
		}
	}
}

// pickUpstream returns an upstream that is in the list.
func (s *soak) pickUpstream(index int) *upstreamLink {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.upstreams[index%len(s.upstreams)]
}

// key returns one of the keys that callers use.
func (s *soak) key(index int) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.keys) == 0 {
		return "", false
	}
	return s.keys[index%len(s.keys)], true
}

type workspaceText struct {
	Name string   `json:"name"`
	Keys []string `json:"api_keys"`
}

type routeText struct {
	Name          string  `json:"name"`
	Host          string  `json:"host"`
	Prefix        string  `json:"path_prefix"`
	Kind          string  `json:"kind"`
	TimeoutMillis float64 `json:"timeout_ms"`
	TargetMillis  float64 `json:"target_latency_ms"`
	Service       string  `json:"service"`
	MaxAttempts   int     `json:"max_attempts"`
	Resumable     bool    `json:"resumable"`
}

// publish writes the configuration. The caller holds mu, or nothing runs yet.
func (s *soak) publish() {
	s.version++
	var list []workspaceText
	for _, key := range s.keys {
		list = append(list, workspaceText{Name: s.ledger.workspaces[key], Keys: []string{key}})
	}
	var routes []routeText
	for name, kind := range map[kind]string{safe: "safe", unsafe: "unsafe", stream: "streaming"} {
		routes = append(routes, routeText{
			Name: string(name), Host: host, Prefix: "/" + string(name) + "/", Kind: kind, Service: service,
			TimeoutMillis: float64(callDeadline.Milliseconds()), TargetMillis: 1000, MaxAttempts: 2, Resumable: name == stream,
		})
	}
	text, err := json.Marshal(map[string]any{
		"version": s.version, "routes": routes, "services": []map[string]string{{"name": service}}, "tenants": list,
	})
	if err != nil {
		panic(err) // The types above can be encoded.
	}
	s.store.Put(platform.ConfigKey, string(text))
}
