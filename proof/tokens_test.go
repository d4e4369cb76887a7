package proof

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sort"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"parsleyhatch/config"
	"parsleyhatch/gateway"
	"parsleyhatch/limit"
	"parsleyhatch/standin"
)

const (
	tokenRate  = 2000
	tokenBurst = 1000
	// maxGenerations bounds the VMs that follow each other under one slot of a test.
	maxGenerations = 20
	// maxOpenRequests bounds the callers of a test.
	maxOpenRequests = 600
)

// engineUse is what an engine has sent for one request id.
type engineUse struct {
	prompt, from, end int64
}

// tokenLedger counts the tokens that the stand-in engines sent, and the charges of the VMs.
type tokenLedger struct {
	mu      sync.Mutex
	uses    map[string]*engineUse
	charges map[string]gateway.ChargeRecord
	asks    map[string]int
}

func newTokenLedger() *tokenLedger {
	return &tokenLedger{uses: map[string]*engineUse{}, charges: map[string]gateway.ChargeRecord{}, asks: map[string]int{}}
}

func (l *tokenLedger) charged(c gateway.ChargeRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.charges[c.RequestID] = c
}

func (l *tokenLedger) asked(workspace string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asks[workspace]++
}

// begin counts the prompt once for all engines that a request is given to.
func (l *tokenLedger) begin(id string, prompt, from int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.uses[id]
	if u == nil {
		u = &engineUse{prompt: prompt, from: from, end: from}
		l.uses[id] = u
	}
	u.from = min(u.from, from)
}

func (l *tokenLedger) sent(id string, end int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if u := l.uses[id]; u != nil {
		u.end = max(u.end, end)
	}
}

// count puts a counting server in front of an engine and returns its address.
func (l *tokenLedger) count(t testing.TB, e *standin.Engine) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.ServeHTTP(&countingWriter{ResponseWriter: w, ledger: l, request: r}, r)
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// countingWriter reads the event ids "<request>:<start>:<end>" of an engine's answer.
type countingWriter struct {
	http.ResponseWriter
	ledger  *tokenLedger
	request *http.Request
}

func (w *countingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *countingWriter) WriteHeader(status int) {
	if prompt, err := strconv.ParseInt(w.Header().Get("X-Prompt-Tokens"), 10, 64); err == nil {
		from, _ := strconv.ParseInt(w.request.Header.Get("X-Resume-From"), 10, 64)
		w.ledger.begin(w.request.Header.Get("X-Request-Id"), prompt, from)
	}
	w.ResponseWriter.WriteHeader(status)
}

func (w *countingWriter) Write(p []byte) (int, error) {
	if rest, ok := bytes.CutPrefix(p, []byte("id: ")); ok {
		line, _, _ := bytes.Cut(rest, []byte("\n"))
		if i := bytes.LastIndexByte(line, ':'); i >= 0 {
			if end, err := strconv.ParseInt(string(line[i+1:]), 10, 64); err == nil {
				w.ledger.sent(w.request.Header.Get("X-Request-Id"), end)
			}
		}
	}
	return w.ResponseWriter.Write(p)
}

// admission is an admitted request with its use at the engines.
type admission struct {
	before, after time.Time
	used          int64
}

// admissions lists those of a workspace, in the order of After. It fails if an engine ran a
// request that no VM has charged.
func (l *tokenLedger) admissions(t testing.TB, workspace string) []admission {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []admission
	for id, u := range l.uses {
		c, ok := l.charges[id]
		if !ok {
			t.Errorf("request %s ran without a charge", id)
		}
		if c.Workspace == workspace {
			list = append(list, admission{before: c.Before, after: c.After, used: u.prompt + u.end - u.from})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].after.Before(list[j].after) })
	return list
}

// worstWindow returns the largest excess over burst + rate*window over all windows, and its window.
// A request is in a window only if the whole time of its charge is, so that no uncertainty of the
// time of admission makes an excess.
func worstWindow(list []admission, rate, burst float64) (excess float64, from, to time.Time) {
	excess = -burst
	for _, first := range list {
		sum := 0.0
		for _, a := range list {
			if a.before.Before(first.before) {
				continue
			}
			sum += float64(a.used)
			if e := sum - burst - rate*a.after.Sub(first.before).Seconds(); e > excess {
				excess, from, to = e, first.before, a.after
			}
		}
	}
	return excess, from, to
}

// load is an open-loop sequence of requests of one workspace.
type load struct {
	workspace string
	// factor is the offered rate as a multiple of the workspace's rate.
	factor float64
	// spread is where the callers connect: holders, any, one.
	spread string
	// leave is the percentage of callers that close the connection after the first piece.
	leave int
}

// offered is one request of a load.
type offered struct {
	at      time.Time
	took    time.Duration
	bound   int64
	used    int64
	refused bool
	failed  bool
}

// tokenRun is a fleet with loads.
type tokenRun struct {
	*fleet
	wan         *standin.WAN
	ledger      *tokenLedger
	clocks      map[string]*pausedClock
	generations map[string]int
	seams       gateway.TokenSeams
	perRegion   int
	counted     []*standin.Engine

	mu      sync.Mutex
	targets []config.VM
	results map[string][]offered
}

// pausedClock is the clock of one VM; each reader blocks while it is paused.
type pausedClock struct{ gate sync.RWMutex }

func (c *pausedClock) now() time.Time {
	c.gate.RLock()
	defer c.gate.RUnlock()
	return time.Now()
}

// endpointName names one generation of a slot in the simulated network.
func endpointName(slot string, generation int) string { return fmt.Sprintf("%s/%d", slot, generation) }

func (r *tokenRun) hostOf(index, generation int) string {
	return fmt.Sprintf("127.%d.%d.1", 20+index, generation)
}

// startTokenRun starts VMs whose connections and clocks can be disturbed.
func startTokenRun(t testing.TB, vms, engines int, workspaces []config.Workspace, seams gateway.TokenSeams) *tokenRun {
	r := &tokenRun{ledger: newTokenLedger(), clocks: map[string]*pausedClock{}, generations: map[string]int{}, results: map[string][]offered{}, seams: seams}
	r.seams.OnCharge, r.seams.OnAsk = r.ledger.charged, r.ledger.asked
	r.perRegion = engines
	o := fleetOptions{regions: []string{"norte", "centro"}, vmsPerRegion: vms}
	o.edit = func(file *config.File) { r.edit(t, file, workspaces) }
	o.prepare = r.prepare
	r.fleet = startFleet(t, o)
	r.targets = append(r.targets, r.file.VMs...)
	return r
}

func (r *tokenRun) edit(t testing.TB, file *config.File, workspaces []config.Workspace) {
	regions := map[string]string{}
	for i := range file.VMs {
		m := &file.VMs[i]
		for g := range maxGenerations {
			regions[r.hostOf(i, g)] = endpointName(m.Name, g)
		}
		m.CallerAddress, m.PeerAddress = onHost(m.CallerAddress, r.hostOf(i, 0)), onHost(m.PeerAddress, r.hostOf(i, 0))
	}
	r.wan = standin.NewWAN(regions, nil)
	t.Cleanup(r.wan.Close)
	file.Workspaces, file.Keys = workspaces, nil
	for _, w := range workspaces {
		file.Keys = append(file.Keys, config.Key{ID: w.Name, SHA256: hashOf("secret-" + w.Name), Workspace: w.Name})
	}
	for _, region := range file.Regions {
		for n := range r.perRegion {
			file.Upstreams = append(file.Upstreams, r.addCounted(t, region.Name, n))
		}
	}
}

// addCounted starts an engine behind a counting server.
func (r *tokenRun) addCounted(t testing.TB, region string, n int) config.Upstream {
	s := standin.EngineSettings{MaxBatch: 256, RestartTime: 300 * time.Millisecond, Credential: credential, Seed: uint64(len(r.counted) + 1)}
	if n > 0 { // The first engine of a region sends answers at once, the others take time.
		s.TokensPerSecond, s.PieceTokens = 400, 4
	}
	e := standin.NewEngine(s)
	if err := e.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	r.counted = append(r.counted, e)
	return config.Upstream{
		Name: fmt.Sprintf("%s-counted-%d", region, n), Kind: config.KindModel, Address: r.ledger.count(t, e), Region: region,
		FailureDomain: region + "-fd1", Labels: map[string]string{"model": "redator"}, MaxBatch: 256,
	}
}

func onHost(address, host string) string {
	_, port, _ := net.SplitHostPort(address)
	return net.JoinHostPort(host, port)
}

// prepare installs the clock, the network and the seams of a new VM.
func (r *tokenRun) prepare(g *gateway.Gateway) {
	slot := g.Self.Slot
	clock := &pausedClock{}
	r.clocks[slot] = clock
	g.Now = clock.now
	g.Endpoint.DialFunc = r.wan.Dialer(endpointName(slot, r.generations[slot]), nil)
	g.SetTokenSeams(r.seams)
}

// runUntil sends the loads until ctx ends, and waits for all answers.
func (r *tokenRun) runUntil(ctx context.Context, loads []load, seed uint64) {
	var wait sync.WaitGroup
	places := make(chan struct{}, maxOpenRequests)
	for i, l := range loads {
		rng := rand.New(rand.NewPCG(seed, uint64(i+1)))
		wait.Go(func() { r.runLoad(ctx, l, rng, places) })
	}
	wait.Wait()
	for range maxOpenRequests {
		places <- struct{}{}
	}
}

// meanUse is the mean of what a request of runLoad uses, in tokens.
const meanUse = 18 + 65

// runLoad sends requests at exponential intervals.
func (r *tokenRun) runLoad(ctx context.Context, l load, rng *rand.Rand, places chan struct{}) {
	next := time.Now()
	for n := 0; ; n++ {
		next = next.Add(time.Duration(rng.ExpFloat64() * meanUse / (l.factor * tokenRate) * float64(time.Second)))
		size, most, leaves, pick := 20+rng.IntN(80), 10+rng.IntN(110), rng.IntN(100) < l.leave, rng.IntN(1<<20)
		timer := time.NewTimer(time.Until(next))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		select {
		case places <- struct{}{}:
		default:
			continue // More callers would only measure this machine.
		}
		address := r.target(l, pick)
		prompt := fmt.Sprintf("%s %d %s", l.workspace, n, strings.Repeat("x", size))
		go func() {
			defer func() { <-places }()
			r.ask(l.workspace, address, prompt, most, leaves)
		}()
	}
}

// target picks the VM of a request.
func (r *tokenRun) target(l load, pick int) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l.spread == "any" {
		return r.targets[pick%len(r.targets)].CallerAddress
	}
	holders := limit.Holders(l.workspace, "norte", r.targets)
	if l.spread == "one" {
		holders = holders[:1]
	}
	slot := holders[pick%len(holders)]
	var same []config.VM // An old VM and its successor have the same slot.
	for _, m := range r.targets {
		if m.Name == slot {
			same = append(same, m)
		}
	}
	return same[pick/7%len(same)].CallerAddress
}

// ask sends one request and records how it ended.
func (r *tokenRun) ask(workspace, address, prompt string, most int, leaves bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	o := offered{at: time.Now(), bound: int64(len(prompt) + 1 + most)}
	o.used = int64(standin.PromptTokens([]standin.Message{{Content: prompt}}) + standin.AnswerTokens("redator", prompt, most))
	status, done := post429(ctx, workspace, address, prompt, most, leaves)
	o.took, o.refused, o.failed = time.Since(o.at), status == http.StatusTooManyRequests, !done
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results[workspace] = append(r.results[workspace], o)
}

// post429 returns the status, zero without an answer, and whether the answer was complete.
func post429(ctx context.Context, workspace, address, prompt string, most int, leaves bool) (status int, done bool) {
	body, _ := json.Marshal(map[string]any{
		"model": "redator", "stream": true, "max_tokens": most,
		"messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return 0, false
	}
	req.Header.Set("Authorization", "Bearer "+keyOf(workspace))
	resp, err := tokenClient.Do(req)
	if err != nil {
		return 0, false
	}
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if leaves {
			return resp.StatusCode, false
		}
		done = done || lines.Text() == "data: [DONE]"
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, done
}

var tokenClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// pairs calls f for each direction between two slots and all their generations.
func (r *tokenRun) pairs(from, to string, f func(a, b string)) {
	for g := range maxGenerations {
		for h := range maxGenerations {
			f(endpointName(from, g), endpointName(to, h))
		}
	}
}

// between calls f for each direction between the two regions.
func (r *tokenRun) between(f func(a, b string)) {
	for _, a := range r.file.VMs {
		for _, b := range r.file.VMs {
			if a.Region != b.Region {
				r.pairs(a.Name, b.Name, f)
			}
		}
	}
}

// fault is a disturbance; it returns what ends it.
type fault struct {
	name  string
	start func(r *tokenRun, rng *rand.Rand) (end func())
}

var tokenFaults = []fault{
	{"partition between regions", func(r *tokenRun, _ *rand.Rand) func() {
		r.between(r.wan.Cut)
		return func() { r.between(r.wan.Heal) }
	}},
	{"one-way cut inside a region", func(r *tokenRun, rng *rand.Rand) func() {
		vms := r.region("norte")
		at := rng.IntN(len(vms))
		from, to := vms[at].Name, vms[(at+1)%len(vms)].Name
		r.pairs(from, to, r.wan.Cut)
		return func() { r.pairs(from, to, r.wan.Heal) }
	}},
	{"vm paused", func(r *tokenRun, rng *rand.Rand) func() {
		vms := r.region("norte")
		clock := r.clocks[vms[rng.IntN(len(vms))].Name]
		clock.gate.Lock()
		return clock.gate.Unlock
	}},
	{"vm replaced while it runs", func(r *tokenRun, rng *rand.Rand) func() { return r.replace(rng, false) }},
	{"vm paused and replaced", func(r *tokenRun, rng *rand.Rand) func() { return r.replace(rng, true) }},
	{"shares moved", func(r *tokenRun, rng *rand.Rand) func() {
		for i := range r.file.Workspaces {
			if w := &r.file.Workspaces[i]; len(w.RegionShares) > 0 {
				part := float64(1+rng.IntN(9)) / 10
				w.RegionShares = map[string]float64{"norte": part, "centro": 1 - part}
			}
		}
		r.publish()
		return func() {}
	}},
	{"engine crashed", func(r *tokenRun, rng *rand.Rand) func() {
		r.counted[rng.IntN(len(r.counted))].Crash()
		return func() {}
	}},
}

func (r *tokenRun) region(name string) []config.VM {
	var vms []config.VM
	for _, m := range r.file.VMs {
		if m.Region == name {
			vms = append(vms, m)
		}
	}
	return vms
}

// replace starts a VM under a slot at a new address. The old VM still serves callers, and hears
// nothing of the others, or is paused, until the returned function is called.
func (r *tokenRun) replace(rng *rand.Rand, paused bool) func() {
	vms := r.region("norte")
	slot := vms[rng.IntN(len(vms))].Name
	generation := r.generations[slot] + 1
	if generation >= maxGenerations {
		return func() {}
	}
	oldName, clock := endpointName(slot, r.generations[slot]), r.clocks[slot]
	isolate := func(f func(a, b string)) {
		for _, m := range r.file.VMs {
			for g := range maxGenerations {
				f(endpointName(m.Name, g), oldName)
			}
		}
	}
	if paused {
		clock.gate.Lock()
	} else {
		isolate(r.wan.Cut)
	}
	r.generations[slot] = generation
	r.nodes[fmt.Sprintf("%s old %d", slot, generation)] = r.nodes[slot]
	for i := range r.file.VMs {
		if m := &r.file.VMs[i]; m.Name == slot {
			host := r.hostOf(i, generation)
			m.CallerAddress, m.PeerAddress = onHost(freeAddress(r.t), host), onHost(freeAddress(r.t), host)
			r.mu.Lock()
			r.targets = append(r.targets, *m)
			r.mu.Unlock()
		}
	}
	r.publish()
	r.startVM(slot)
	return func() {
		if paused {
			clock.gate.Unlock()
		} else {
			isolate(r.wan.Heal)
		}
	}
}

// disturb runs each fault in a random order until the time is over.
func (r *tokenRun) disturb(d time.Duration, rng *rand.Rand) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		for _, i := range rng.Perm(len(tokenFaults)) {
			f := tokenFaults[i]
			lasts := 1500*time.Millisecond + time.Duration(rng.IntN(2500))*time.Millisecond
			if strings.Contains(f.name, "replaced") {
				lasts += 4 * time.Second // The successor's authority begins while the old VM runs.
			}
			if testing.Verbose() {
				r.t.Logf("%s %s for %v", time.Now().Format("15:04:05.000"), f.name, lasts)
			}
			stop := f.start(r, rng)
			time.Sleep(lasts)
			stop()
		}
	}
}

func workspacesOf(names ...string) []config.Workspace {
	var list []config.Workspace
	for _, name := range names {
		list = append(list, config.Workspace{Name: name, Home: "norte", Rate: tokenRate, Burst: tokenBurst, Weight: 1})
	}
	return list
}

// Guards against a workspace that gets more than its rate and burst over all VMs in some window,
// counted at the engines, under partitions, one-way cuts, pauses, VMs that run on beside their
// successors, moved shares, crashed engines, callers that leave, and tenants above their rate.
func TestTokensWithinRateAndBurst(t *testing.T) {
	t.Parallel()
	d := time.Duration(0) // One round of all faults.
	if text := os.Getenv("PROOF_LONG"); text != "" {
		var err error
		if d, err = time.ParseDuration(text); err != nil {
			t.Fatal(err)
		}
	}
	const seed = 7
	workspaces := workspacesOf("steady", "spread", "flood", "home", "leaving")
	for i := range workspaces[:3] {
		workspaces[i].RegionShares = map[string]float64{"norte": 0.6, "centro": 0.4}
	}
	r := startTokenRun(t, 3, 2, workspaces, gateway.TokenSeams{})
	loads := []load{
		{"steady", 0.8, "holders", 0}, {"spread", 1.2, "any", 0}, {"flood", 5, "any", 0},
		{"home", 5, "holders", 0}, {"leaving", 2, "any", 30},
	}
	ended := make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		defer close(ended)
		r.runUntil(ctx, loads, seed)
	}()
	time.Sleep(6 * time.Second) // The first tokens accrue.
	r.disturb(max(d, time.Second), rand.New(rand.NewPCG(seed, 99)))
	time.Sleep(3 * time.Second)
	cancel()
	<-ended
	for _, l := range loads {
		r.checkWindows(l)
	}
}

// checkWindows compares the use of a workspace with an ideal bucket.
func (r *tokenRun) checkWindows(l load) {
	list := r.ledger.admissions(r.t, l.workspace)
	if len(list) == 0 {
		r.t.Errorf("%s: nothing was admitted", l.workspace)
		return
	}
	excess, from, to := worstWindow(list, tokenRate, tokenBurst)
	total := int64(0)
	for _, a := range list {
		total += a.used
	}
	r.t.Logf("%s: %d offered, %d admitted, %d tokens, worst window of %v: %.0f tokens above burst and rate",
		l.workspace, len(r.results[l.workspace]), len(list), total, to.Sub(from).Round(time.Millisecond), excess)
	if excess > 1 { // Levels are floating-point numbers.
		r.t.Errorf("%s: %.0f tokens above burst and rate from %s to %s", l.workspace, excess, from.Format("15:04:05.000"), to.Format("15:04:05.000"))
	}
}

// idealRefusals replays a load through one bucket for the whole workspace. With bounds it charges
// the upper bound and settles at the end of each answer, otherwise it charges the actual use.
func idealRefusals(list []offered, bounds bool) int {
	list = append([]offered(nil), list...)
	sort.Slice(list, func(i, j int) bool { return list[i].at.Before(list[j].at) })
	table, refused := limit.New("one"), 0
	if len(list) == 0 {
		return 0
	}
	type open struct {
		at   time.Time
		c    limit.Charge
		used int64
	}
	var charges []open
	now := list[0].at.Add(-limit.IncreaseDelay - 10*time.Second)
	table.Begin(now, 1)
	table.Configure(now, []limit.Share{{Workspace: "w", Slot: "one", Rate: tokenRate, Burst: tokenBurst, TotalRate: tokenRate, TotalBurst: tokenBurst}})
	advance := func(to time.Time) {
		for now.Before(to) {
			table.Authorise(now, now, now.Add(limit.MaxLease))
			now = now.Add(min(time.Second, to.Sub(now)))
			table.Tick(now)
		}
		table.Authorise(now, now, now.Add(limit.MaxLease))
	}
	for _, o := range list {
		sort.Slice(charges, func(i, j int) bool { return charges[i].at.Before(charges[j].at) })
		for len(charges) > 0 && charges[0].at.Before(o.at) {
			advance(charges[0].at)
			table.Settle(now, charges[0].c, charges[0].used)
			charges = charges[1:]
		}
		advance(o.at)
		tokens := o.used
		if bounds {
			tokens = o.bound
		}
		c, v := table.Take(now, "w", tokens)
		if !v.Admitted {
			refused++
			continue
		}
		took := o.took
		if o.refused {
			took = 100 * time.Millisecond
		}
		charges = append(charges, open{at: o.at.Add(took), c: c, used: o.used})
	}
	return refused
}

// Prints refusals of requests beyond those of an ideal bucket, by load and by where the callers
// connect, with and without transfers. PROOF_TOKENS is the number of seeds.
func TestTokenRefusals(t *testing.T) {
	seeds, _ := strconv.Atoi(os.Getenv("PROOF_TOKENS"))
	if seeds == 0 {
		t.Skip("a measurement: set PROOF_TOKENS=3")
	}
	var names []string
	var loads []load
	for _, mode := range []string{"static", "moved"} {
		for _, spread := range []string{"one", "any", "holders"} {
			for _, factor := range []float64{0.5, 0.8, 0.95, 1.2} {
				name := fmt.Sprintf("%s-%s-%v", mode, spread, factor)
				names = append(names, name)
				loads = append(loads, load{name, factor, spread, 0})
			}
		}
		names = append(names, mode+"-any-5")
		loads = append(loads, load{mode + "-any-5", 5, "any", 0})
	}
	workspaces := workspacesOf(names...)
	for i := range workspaces {
		workspaces[i].RegionShares = map[string]float64{"norte": 0.6, "centro": 0.4}
	}
	static := func(workspace string) bool { return strings.HasPrefix(workspace, "static") }
	r := startTokenRun(t, 3, 2, workspaces, gateway.TokenSeams{Static: static})
	time.Sleep(12 * time.Second) // All buckets are full.
	figures := map[string][][4]float64{}
	for seed := 1; seed <= seeds; seed++ {
		clear(r.results)
		clear(r.ledger.asks)
		ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
		r.runUntil(ctx, loads, uint64(seed))
		cancel()
		for _, l := range loads {
			list := r.results[l.workspace]
			refused := 0
			for _, o := range list {
				if o.refused {
					refused++
				}
			}
			n := float64(len(list)) / 100
			figures[l.workspace] = append(figures[l.workspace], [4]float64{
				float64(refused) / n, float64(idealRefusals(list, true)) / n, float64(idealRefusals(list, false)) / n,
				float64(r.ledger.asks[l.workspace]) / float64(max(len(list), 1)),
			})
		}
		time.Sleep(2 * time.Second)
	}
	fmt.Printf("%-20s %28s %28s %28s %8s %8s\n", "workspace", "refused % (least-most)", "ideal, bounds charged %", "ideal, use charged %", "asks/req", "excess")
	for _, l := range loads {
		row := fmt.Sprintf("%-20s", l.workspace)
		for column := range 3 {
			row += fmt.Sprintf(" %28s", spreadOf(figures[l.workspace], column))
		}
		excess, _, _ := worstWindow(r.ledger.admissions(t, l.workspace), tokenRate, tokenBurst)
		fmt.Printf("%s %8.2f %8.0f\n", row, figures[l.workspace][0][3], excess)
		if excess > 1 {
			t.Errorf("%s: %.0f tokens above burst and rate", l.workspace, excess)
		}
	}
}

// spreadOf shows the mean, the least and the most of a column.
func spreadOf(rows [][4]float64, column int) string {
	sum, least, most := 0.0, rows[0][column], rows[0][column]
	for _, row := range rows {
		sum, least, most = sum+row[column], min(least, row[column]), max(most, row[column])
	}
	return fmt.Sprintf("%.1f (%.1f-%.1f)", sum/float64(len(rows)), least, most)
}
