package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of each machine. All machines have loopback addresses of their own.
const (
	portFront, portReady, portControl, portDirectory = 8221, 8224, 8229, 8220
	portMetrics                                      = 7600
	portStore, portReplica                           = 8225, 8308
)

// heartbeat is the interval at which replicas write their entries.
const heartbeat = 1200 * time.Millisecond

// networkTries is the number of loopback networks that are tried, and networkStep the distance between two of them.
const networkTries, networkStep = 20, 7919

const host = "review.example"

// deployment is a small deployment on loopback: the store, VMs and replicas.
type deployment struct {
	dir     string
	network string
	store   *store
	record  *record
	mu      sync.Mutex
	procs   []*exec.Cmd
	entries map[string]map[string]any
	vms     []string
}

// record collects what was sent, answered and run.
type record struct {
	mu sync.Mutex
	f  *os.File
}

func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%s %s\n", stamp(time.Now()), fmt.Sprintf(format, args...))
}

// newDeployment starts the store and the heartbeats of the replicas.
func newDeployment(recordPath string) (*deployment, error) {
	f, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	d := &deployment{dir: dir, store: newStore(), record: &record{f: f}, entries: map[string]map[string]any{}}
	l, err := d.takeNetwork()
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(l, d.store) }()
	go d.runHeartbeats()
	return d, nil
}

// takeNetwork chooses a loopback network that no other run uses, and returns the listener of the store, which holds it.
func (d *deployment) takeNetwork() (net.Listener, error) {
	var err error
	for try := range networkTries {
		n := os.Getpid() + try*networkStep
		d.network = fmt.Sprintf("127.%d.%d.", 64+n%120, n/120%250)
		var l net.Listener
		if l, err = net.Listen("tcp", d.storeAddress()); err == nil {
			return l, nil
		}
	}
	return nil, err
}

func (d *deployment) storeAddress() string { return fmt.Sprintf("%s1:%d", d.network, portStore) }

// close ends all processes and appends what the replicas have recorded.
func (d *deployment) close() {
	d.mu.Lock()
	for _, p := range d.procs {
		_ = p.Process.Kill()
		_ = p.Wait()
	}
	d.mu.Unlock()
	logs, _ := filepath.Glob(filepath.Join(d.dir, "*.runs"))
	for _, path := range logs {
		if text, err := os.ReadFile(path); err == nil {
			_, _ = d.record.f.Write(text)
		}
	}
	_ = d.record.f.Close()
	_ = os.RemoveAll(d.dir)
}

// start starts a process that ends with this one.
func (d *deployment) start(env []string, name string, args ...string) (*exec.Cmd, error) {
	out, err := os.Create(filepath.Join(d.dir, fmt.Sprintf("out-%d", time.Now().UnixNano())))
	if err != nil {
		return nil, err
	}
	c := exec.Command(name, args...)
	c.Env = append(os.Environ(), env...)
	c.Stdout, c.Stderr = out, out
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.procs = append(d.procs, c)
	return c, nil
}

// zoneOf returns the zone of a region.
func zoneOf(region string) string { return region + "-a" }

// startVM starts a VM as the deploy file does, with the settings of a small deployment.
func (d *deployment) startVM(index int, regions []string, region string, seeds []int) error {
	ip := fmt.Sprintf("%s%d", d.network, 10+index)
	name := fmt.Sprintf("front-%s-%d", zoneOf(region), index)
	lines := []string{
		"node_name=" + name, "role=gateway", "machine_class=front", "serves=front,control,directory", "ip=" + ip,
		"zone=" + zoneOf(region), "region=" + region,
		fmt.Sprintf("listen.front=%s:%d", ip, portFront), fmt.Sprintf("listen.ready=%s:%d", ip, portReady),
		fmt.Sprintf("listen.control=%s:%d", ip, portControl), fmt.Sprintf("listen.directory=%s:%d", ip, portDirectory),
		"internal_ports=7600,7615", "bootstrap=true", "in_fault_budget=false",
		"limits.cpu_share=0.4", "limits.cores=1", "limits.memory_mb=284", "limits.max_fds=4100", "limits.link_mbps=1000.0", "limits.disk_mb=0",
		"discovery=platform", "entry=directory", "heartbeat_ms=1200",
		"contracts=base,drain,config,cost,retry,recover,engine,stream,places,tenants,quota,platform",
		"fault_tolerance.machines=2", "fault_tolerance.zones=1", "fault_tolerance.regions=1",
		"bounds.seed_lag_s=3", "bounds.addr_reuse_s=2", "bounds.contact_ms=5000", "bounds.ack_ms=6000", "bounds.catch_up_s=4",
		"bounds.drain_ms=3000", "bounds.grace_s=8", "bounds.loss_slack_ms=200", "bounds.config_apply_ms=3000", "bounds.rollback_slack_ms=250",
		"bounds.max_stretch_ms=8000", "bounds.strict_revoke=true", "bounds.revoke_ms=5000", "bounds.retry_budget_ratio=0.2",
		"bounds.budget_window_s=10", "bounds.retry_budget_slack=58", "bounds.quota_window_s=8", "bounds.quota_overage=0.25",
		"bounds.quota_slack=140000", "bounds.warmup_overage=1.5", "bounds.warmup_slack=3", "bounds.evacuate_ms=5000", "bounds.recovery_s=12",
		"bounds.pass_ms=600", "bounds.reuse_window_s=10", "bounds.ttl_max_s=5",
		"platform.address=" + d.storeAddress(), "platform.form=read", "platform.writes_per_s=400", "platform.reads_per_s=2000",
		"platform.history_s=20", "platform.value_bytes=1048576", "platform.min_ttl_ms=1000",
	}
	for _, r := range regions {
		lines = append(lines, "zones."+zoneOf(r)+"="+r)
	}
	var list []string
	for _, s := range seeds {
		list = append(list, fmt.Sprintf("%s%d:%d", d.network, 10+s, portControl))
	}
	lines = append(lines, "seeds="+strings.Join(list, ","))
	path := filepath.Join(d.dir, name+".conf")
	if err := os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		return err
	}
	if _, err := d.start([]string{"PARSLEYHATCH_BOOT=" + path}, "target/parsleyhatch", "vm", "-metrics-port", fmt.Sprint(portMetrics)); err != nil {
		return err
	}
	if !slices.Contains(d.vms, ip) {
		d.vms = append(d.vms, ip)
	}
	d.record.note("started vm %s at %s", name, ip)
	return nil
}

// waitReady waits until all VMs are ready.
func (d *deployment) waitReady(timeout time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	deadline := time.Now().Add(timeout)
	for _, ip := range d.vms {
		for {
			resp, err := client.Get(fmt.Sprintf("http://%s:%d/ready", ip, portReady))
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("vm %s did not become ready", ip)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// startReplica starts a replica and registers it.
func (d *deployment) startReplica(index int, id, service, region string, args ...string) (*exec.Cmd, error) {
	c, err := d.restartReplica(index, id, args...)
	if err != nil {
		return nil, err
	}
	address := d.replicaAddress(index)
	d.mu.Lock()
	d.entries[id] = map[string]any{
		"service": service, "address": address, "zone": zoneOf(region), "version": "1.0", "slots": 16, "state": "ready",
		"warmup_left_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	}
	d.mu.Unlock()
	d.writeEntry(id)
	d.record.note("replica %s of %s runs at %s", id, service, address)
	return c, nil
}

// replicaAddress returns the address at which a replica listens.
func (d *deployment) replicaAddress(index int) string {
	return fmt.Sprintf("%s%d:%d", d.network, 100+index, portReplica)
}

// restartReplica starts the process of a replica and waits until it accepts channels.
func (d *deployment) restartReplica(index int, id string, args ...string) (*exec.Cmd, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	all := append([]string{"replica", "-id", id, "-address", d.replicaAddress(index), "-log", filepath.Join(d.dir, id+".runs")}, args...)
	c, err := d.start(nil, self, all...)
	if err != nil {
		return nil, err
	}
	for deadline := time.Now().Add(3 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		conn, err := net.Dial("tcp", d.replicaAddress(index))
		if err == nil {
			_ = conn.Close()
			return c, nil
		}
		if time.Now().After(deadline) {
			return nil, err
		}
	}
}

// change changes fields of a replica's entry and writes it.
func (d *deployment) change(id string, fields map[string]any) {
	d.mu.Lock()
	for name, value := range fields {
		d.entries[id][name] = value
	}
	d.mu.Unlock()
	d.writeEntry(id)
}

func (d *deployment) writeEntry(id string) {
	d.mu.Lock()
	entry := d.entries[id]
	if entry == nil {
		d.mu.Unlock()
		return
	}
	entry["sequence"] = entry["sequence"].(int) + 1
	value, _ := json.Marshal(entry)
	d.mu.Unlock()
	d.store.put("servers/"+id, value)
}

// silence ends the heartbeats of a replica that is gone; its entry is removed after three intervals.
func (d *deployment) silence(id string) {
	d.mu.Lock()
	delete(d.entries, id)
	d.mu.Unlock()
	time.AfterFunc(3*heartbeat, func() { d.store.remove("servers/" + id) })
}

func (d *deployment) runHeartbeats() {
	for range time.Tick(heartbeat) {
		d.mu.Lock()
		var ids []string
		for id := range d.entries {
			ids = append(ids, id)
		}
		d.mu.Unlock()
		for _, id := range ids {
			d.writeEntry(id)
		}
	}
}

// putConfig writes a configuration and returns the time of its ack.
func (d *deployment) putConfig(config map[string]any) time.Time {
	value, _ := json.Marshal(config)
	at := d.store.put("op/config", value)
	d.record.note("configuration %v is acknowledged", config["version"])
	return at
}

// answer is what a client has seen of a request.
type answer struct {
	id      string
	status  int
	body    string
	stamped bool
	// complete means that the answer has ended as HTTP says, err what ended it otherwise.
	complete bool
	err      error
	sentAt   time.Time
	endedAt  time.Time
}

// client is a stand-in of a client that keeps its channels.
type client struct {
	d    *deployment
	http *http.Client
}

func (d *deployment) newClient() *client {
	t := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second}
	return &client{d: d, http: &http.Client{Transport: t}}
}

// send sends one attempt to a VM, and records it and its answer.
func (c *client) send(vm, method, path, key string, deadline time.Duration) answer {
	a := answer{id: newID()}
	c.d.record.note("client: sends %s %s %s to %s", a.id, method, path, vm)
	c.exchange(&a, vm, method, path, key, deadline)
	a.endedAt = time.Now()
	c.d.record.note("client: %s%s", a.String(), a.cause())
	return a
}

// exchange sends an attempt and reads its answer.
func (c *client) exchange(a *answer, vm, method, path, key string, deadline time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("order " + a.id)
	}
	req, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", vm, portFront, path), body)
	if err != nil {
		a.err = err
		return
	}
	req.Host = host
	req.Header.Set("Request-Id", a.id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	if key != "" {
		req.Header.Set("X-Api-Key", key)
	}
	a.sentAt = time.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		a.err = err
		return
	}
	defer func() { _ = resp.Body.Close() }()
	a.status, a.stamped = resp.StatusCode, resp.Header.Get("Server-Stamp") != ""
	data, err := io.ReadAll(resp.Body)
	a.body, a.err, a.complete = string(data), err, err == nil
}

func (a *answer) String() string {
	end := "complete"
	switch {
	case a.status == 0:
		end = "no answer"
	case !a.complete:
		end = "broken off"
	}
	return fmt.Sprintf("request %s: status %d, %d bytes, %s", a.id, a.status, len(a.body), end)
}

// cause returns what ended an answer that is not complete, or the beginning of a refusal.
func (a *answer) cause() string {
	switch {
	case a.err != nil:
		return ": " + a.err.Error()
	case a.status != http.StatusOK:
		return fmt.Sprintf(": %.90q", a.body)
	}
	return ""
}

func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

var errNoBuild = errors.New("target/parsleyhatch is missing: build it first")
