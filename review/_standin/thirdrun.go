package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	service     = "redator"
	host        = "assistant.example"
	longPath    = "/draft/"
	shortPath   = "/ask/"
	maxAttempts = 2
	// excused is the number of requests that may run on more than maxAttempts replicas.
	excused = 3
	// streams is the number of long streams, and eventCount the number of events of each, one every eventGap.
	streams    = 24
	eventCount = 90
	eventGap   = 100 * time.Millisecond
	// resetShare is the share of a VM's connections that are reset.
	resetShare = 0.55
	// shortInterval is the interval of the short requests of each of the shortCallers.
	shortInterval = 100 * time.Millisecond
	shortCallers  = 4
)

// replica is a stand-in for a model replica. VMs reach it through a proxy that can reset connections.
type replica struct {
	id, region, zone string
	born             int64
	proxy            *proxy
	record           *record
	runs             *runs
}

// runs holds the replicas on which each request has run.
type runs struct {
	mu        sync.Mutex
	byRequest map[string][]string
}

func (r *runs) add(request, replica string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !slices.Contains(r.byRequest[request], replica) {
		r.byRequest[request] = append(r.byRequest[request], replica)
	}
}

// over returns the requests that ran on more replicas than allowed.
func (r *runs) over(allowed int) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []string
	for request, replicas := range r.byRequest {
		if len(replicas) > allowed {
			list = append(list, fmt.Sprintf("%s on %s", request, strings.Join(replicas, ", ")))
		}
	}
	slices.Sort(list)
	return list
}

func (p *replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Request-Id")
	if id != "" {
		w.Header().Set("Request-Id", id)
	}
	switch {
	case r.URL.Path == "/health":
		w.Header().Set("Instance-Id", p.id)
		return
	case r.Header.Get("Target-Instance") != "" && r.Header.Get("Target-Instance") != p.id:
		w.Header().Set("Instance-Id", p.id)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case id == "":
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	last, count := 0, 2
	if strings.HasPrefix(r.URL.Path, longPath) {
		last, _ = strconv.Atoi(r.Header.Get("Last-Event-Id"))
		count = eventCount
		p.runs.add(id, p.id)
		p.record.add("replica %s (%s) runs %s after event %d", p.id, p.region, id, last)
	}
	w.Header().Set("Server-Stamp", "stamp."+p.id+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	for n := last + 1; n <= count; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: word %d of %s\n\n", n, n, r.URL.Path); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(eventGap):
		}
	}
}

func (p *replica) register(s *store, sequence int) {
	s.put("servers/"+p.id, map[string]any{
		"service": service, "address": p.proxy.address(), "zone": p.zone, "version": "v1", "slots": 64, "state": "ready",
		"warmup_left_ms": 0, "stage": "colocated", "sequence": sequence, "born": p.born,
	})
}

// runHeartbeats registers the replica again every 1.2 s.
func (p *replica) runHeartbeats(s *store) {
	for n := 2; ; n++ {
		time.Sleep(1200 * time.Millisecond)
		p.register(s, n)
	}
}

// proxy passes connections on to a replica and can reset them.
type proxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	conns    map[net.Conn]bool
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: map[net.Conn]bool{}}
	go p.runAccept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) runAccept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.runConnection(c)
	}
}

func (p *proxy) runConnection(c net.Conn) {
	defer c.Close()
	t, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer t.Close()
	p.mu.Lock()
	p.conns[c] = true
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	go runCopy(t, c, done)
	go runCopy(c, t, done)
	<-done
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

func runCopy(to io.Writer, from io.Reader, done chan<- struct{}) {
	_, _ = io.Copy(to, from)
	done <- struct{}{}
}

// reset resets a share of the connections and returns how many.
func (p *proxy) reset(share float64) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for c := range p.conns {
		if rand.Float64() < share {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
			n++
		}
	}
	return n
}

// deployment is the system with its surroundings.
type deployment struct {
	*system
	record   *record
	store    *store
	replicas []*replica
	runs     *runs
}

func (d *deployment) start() error {
	d.store.put("op/config", config())
	for _, region := range regions {
		for i := range 2 {
			if err := d.startReplica(region.name, region.zone, i); err != nil {
				return err
			}
		}
	}
	// The machines of the first region send their callers' requests to the other regions.
	d.store.put("op/evacuate/"+regions[0].zone, map[string]any{})
	return d.system.start()
}

func config() map[string]any {
	route := func(name, prefix string, timeout, attempts, priority int, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": prefix, "kind": "streaming", "timeout_ms": timeout, "target_latency_ms": 1000,
			"priority": priority, "service": service, "max_attempts": attempts, "public": true, "affinity": false,
			"resumable": resumable, "target_gap_ms": 400, "home_regions": []string{},
		}
	}
	return map[string]any{
		"version": 3,
		"routes": []any{
			route("draft", longPath, 15000, maxAttempts, 1, true),
			route("ask", shortPath, 3000, 1, 0, false),
		},
		"services": []any{map[string]any{
			"name": service, "health_path": "/health", "max_connections": 370, "warmup_s": 0.0, "warmup_per_s": 0.0,
			"engine": map[string]any{"slots": 64, "kv_capacity": 510837},
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

func (d *deployment) startReplica(region, zone string, i int) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	p, err := newProxy(l.Addr().String())
	if err != nil {
		return err
	}
	r := &replica{
		id: fmt.Sprintf("i-%s-%d", region, i+1), region: region, zone: zone, born: time.Now().Add(-time.Hour).UnixMilli(),
		proxy: p, record: d.record, runs: d.runs,
	}
	d.replicas = append(d.replicas, r)
	r.register(d.store, 1)
	go func() { _ = http.Serve(l, r) }()
	go r.runHeartbeats(d.store)
	return nil
}

// call sends a request to the VM of the first region and returns the status and the number of the last event.
func (d *deployment) call(client *http.Client, id, path string) (status, last int, err error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+d.address(0, 8221)+path, strings.NewReader("prompt"))
	if err != nil {
		return 0, 0, err
	}
	req.Host = host
	for name, value := range map[string]string{
		"Request-Id": id, "Deadline-Ms": "15000", "Model": "m", "Token-Usage": "100,600", "Prompt-Prefix": fmt.Sprintf("%x:100", rand.Uint32()),
	} {
		req.Header.Set(name, value)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if text, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			last, _ = strconv.Atoi(text)
		}
	}
	return resp.StatusCode, last, lines.Err()
}

// runShortCaller sends short requests until stop is closed. They are the usual traffic from which the retry budget follows.
func (d *deployment) runShortCaller(caller int, stop <-chan struct{}) {
	client := &http.Client{Timeout: 5 * time.Second}
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(shortInterval):
		}
		_, _, _ = d.call(client, fmt.Sprintf("5%03d%012x", caller, n), shortPath+"x")
	}
}

// runStream sends one long request and records the answer.
func (d *deployment) runStream(n int) {
	client := &http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{}}
	id := fmt.Sprintf("1000%012x", n)
	d.record.add("request %s sent", id)
	status, last, err := d.call(client, id, longPath+strconv.Itoa(n))
	d.record.add("request %s answered with status %d, events up to %d of %d, error %v", id, status, last, eventCount, err)
}

// disrupt resets connections of the VM that runs most streams, and kills it.
func (d *deployment) disrupt() {
	vm := d.busiestRegion()
	time.Sleep(1500 * time.Millisecond)
	n := 0
	for _, r := range d.replicas {
		if r.region == regions[vm].name {
			n += r.proxy.reset(resetShare)
		}
	}
	d.record.add("%d connections of the vm in %s to its replicas reset", n, regions[vm].name)
	time.Sleep(2 * time.Second)
	d.record.add("vm in %s killed", regions[vm].name)
	if err := d.system.kill(vm); err != nil {
		d.record.add("vm in %s not started again: %v", regions[vm].name, err)
		return
	}
	d.record.add("vm in %s started again", regions[vm].name)
}

// busiestRegion returns the index of the region in which most streams run.
func (d *deployment) busiestRegion() int {
	d.runs.mu.Lock()
	defer d.runs.mu.Unlock()
	counts := make([]int, len(regions))
	for _, replicas := range d.runs.byRequest {
		for i, region := range regions {
			if strings.HasPrefix(replicas[0], "i-"+region.name) {
				counts[i]++
			}
		}
	}
	best := 0
	for i, n := range counts {
		if n > counts[best] {
			best = i
		}
	}
	return best
}

// runThirdRun checks on how many replicas the streams of callers run when connections of a VM are reset and it is killed later.
func runThirdRun(c *surroundings, trouble bool) (int, error) {
	d := &deployment{system: c.system, record: c.record, store: c.store, runs: &runs{byRequest: map[string][]string{}}}
	if err := d.start(); err != nil {
		return 2, err
	}
	d.record.add("all vms are ready")
	stop := make(chan struct{})
	for i := range shortCallers {
		go d.runShortCaller(i, stop)
	}
	time.Sleep(12 * time.Second) // The retry budget and the sessions between the VMs settle.
	var running sync.WaitGroup
	for n := range streams {
		running.Go(func() { d.runStream(n) })
	}
	time.Sleep(time.Second)
	if trouble {
		d.disrupt()
	}
	running.Wait()
	close(stop)
	over := d.runs.over(maxAttempts)
	for _, line := range over {
		d.record.add("more than %d replicas: %s", maxAttempts, line)
	}
	d.record.add("%d of %d requests ran on more than %d replicas in one attempt; at most %d may", len(over), streams, maxAttempts, excused)
	if len(over) > excused {
		return 1, nil
	}
	return 0, nil
}
