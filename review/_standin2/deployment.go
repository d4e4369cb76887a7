package main

import (
	"context"
	"fmt"
	"math/rand/v2"
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

// Ports are the same on all machines. metricsPort is the one of the command in the deploy file.
const (
	frontPort     = 8221
	readyPort     = 8224
	controlPort   = 8229
	directoryPort = 8220
	storePort     = 8225
	replicaPort   = 8308
	metricsPort   = 7600
)

// startTime is the longest time in which VMs become ready.
const startTime = 15 * time.Second

// vmCommand is the command of the deploy file.
var vmCommand = []string{"vm", "-metrics-port", fmt.Sprint(metricsPort)}

// settingsLines are the settings of the small deployment Vessel Name Registry that are the same for all machines.
const settingsLines = `role=gateway
machine_class=front
serves=front,control,directory
zones.portroyal-1=portroyal
zones.ochorios-1=ochorios
zones.negril-1=negril
internal_ports=7600,7615
in_fault_budget=false
limits.cpu_share=0.4
limits.cores=1
limits.memory_mb=284
limits.max_fds=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=directory
heartbeat_ms=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,places,tenants,quota,platform
fault_tolerance.machines=2
fault_tolerance.zones=1
fault_tolerance.regions=1
bounds.seed_lag_s=3
bounds.addr_reuse_s=2
bounds.contact_ms=5000
bounds.ack_ms=6000
bounds.catch_up_s=4
bounds.drain_ms=3000
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.config_apply_ms=3000
bounds.rollback_slack_ms=250
bounds.max_stretch_ms=8000
bounds.strict_revoke=true
bounds.revoke_ms=5000
bounds.retry_budget_ratio=0.2
bounds.budget_window_s=10
bounds.retry_budget_slack=54
bounds.quota_window_s=8
bounds.quota_overage=0.25
bounds.quota_slack=140000
bounds.warmup_overage=1.5
bounds.warmup_slack=3
bounds.evacuate_ms=5000
bounds.recovery_s=12
bounds.pass_ms=600
bounds.reuse_window_s=10
bounds.ttl_max_s=5
platform.form=read
platform.writes_per_s=400
platform.reads_per_s=2000
platform.history_s=20
platform.value_bytes=1048576
platform.min_ttl_ms=1000
`

// zones are the failure domains of the deployment with their number of VMs. Each is a region of its own.
var zones = []struct {
	name, region string
	vms          int
}{{"portroyal-1", "portroyal", 3}, {"ochorios-1", "ochorios", 2}, {"negril-1", "negril", 2}}

// machine is a machine that runs a VM.
type machine struct {
	name, ip, zone, region string
	settings               string
	log                    *os.File
	process                *exec.Cmd
	ended                  chan struct{}
}

func (m *machine) front() string { return fmt.Sprintf("%s:%d", m.ip, frontPort) }

// deployment is a store, replicas and VMs on loopback addresses.
type deployment struct {
	// block holds the first two octets of all addresses.
	block    string
	dir      string
	program  string
	store    *store
	machines []*machine
	record   *record

	mu sync.Mutex
	// replicas are all replicas that have been started.
	replicas []*replica
}

// addReplica starts a replica and registers it.
func (d *deployment) addReplica(p *replica) {
	p.start()
	d.store.put("servers/"+p.id, p.registration())
	d.mu.Lock()
	defer d.mu.Unlock()
	d.replicas = append(d.replicas, p)
}

// allReplicas returns all replicas that have been started.
func (d *deployment) allReplicas() []*replica {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.replicas)
}

// newDeployment returns a deployment on addresses whose ports are free, with a store that is running.
func newDeployment(program, dir string, rec *record) *deployment {
	d := &deployment{program: program, dir: dir, store: newStore(), record: rec}
	for range maxBlocks {
		d.block = fmt.Sprintf("127.%d", 2+rand.IntN(250))
		if !d.isFree() {
			continue
		}
		l, err := net.Listen("tcp", d.storeAddress())
		if err != nil {
			continue
		}
		go d.store.serve(l)
		return d
	}
	fatal("no free loopback addresses")
	return nil
}

// maxBlocks is the number of address blocks that are tried.
const maxBlocks = 50

// isFree reports whether the ports of all machines are free.
func (d *deployment) isFree() bool {
	for z, zone := range zones {
		for n := range zone.vms {
			for _, port := range []int{frontPort, readyPort, controlPort, directoryPort, metricsPort} {
				l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", d.ip(z+1, n+1), port))
				if err != nil {
					return false
				}
				_ = l.Close()
			}
		}
	}
	return true
}

func (d *deployment) storeAddress() string { return fmt.Sprintf("%s:%d", d.ip(200, 1), storePort) }

// ip returns an address of the deployment.
func (d *deployment) ip(region, host int) string {
	return fmt.Sprintf("%s.%d.%d", d.block, region, host)
}

// addMachines adds the machines of all zones.
func (d *deployment) addMachines() {
	for z, zone := range zones {
		for n := range zone.vms {
			m := &machine{name: fmt.Sprintf("front-%s-%d", zone.name, n+1), ip: d.ip(z+1, n+1), zone: zone.name, region: zone.region}
			d.machines = append(d.machines, m)
		}
	}
	var seeds []string
	for z := range zones {
		seeds = append(seeds, fmt.Sprintf("%s:%d", d.ip(z+1, 1), controlPort))
	}
	for _, m := range d.machines {
		m.settings = filepath.Join(d.dir, m.name+".conf")
		lines := fmt.Sprintf("node_name=%s\nip=%s\nzone=%s\nregion=%s\n", m.name, m.ip, m.zone, m.region)
		for name, port := range map[string]int{"front": frontPort, "ready": readyPort, "control": controlPort, "directory": directoryPort} {
			lines += fmt.Sprintf("listen.%s=%s:%d\n", name, m.ip, port)
		}
		lines += fmt.Sprintf("seeds=%s\nbootstrap=true\nplatform.address=%s\n", strings.Join(seeds, ","), d.storeAddress())
		if err := os.WriteFile(m.settings, []byte(lines+settingsLines), 0o600); err != nil {
			fatal("write settings: %v", err)
		}
	}
}

// start starts the VM of a machine.
func (d *deployment) start(m *machine) {
	if m.log == nil {
		var err error
		if m.log, err = os.Create(filepath.Join(d.dir, m.name+".log")); err != nil {
			fatal("create log: %v", err)
		}
	}
	cmd := exec.Command(d.program, vmCommand...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PARSLEYHATCH_BOOT=" + m.settings}
	cmd.Stdout, cmd.Stderr = m.log, m.log
	if err := cmd.Start(); err != nil {
		fatal("start vm: %v", err)
	}
	ended := make(chan struct{})
	m.process, m.ended = cmd, ended
	d.record.add("vm %s started", m.name)
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
}

func (d *deployment) startAll() {
	for _, m := range d.machines {
		d.start(m)
	}
}

// startInTouch starts all VMs and waits until all machines are in touch and the store has been without disruption for contactTime.
func (d *deployment) startInTouch() {
	d.startAll()
	if !d.awaitReady(startTime) {
		fatal("the VMs do not become ready")
	}
	time.Sleep(contactTime + time.Second)
	d.record.add("all machines are in touch")
}

// signal sends a signal to the VM of a machine.
func (d *deployment) signal(m *machine, s syscall.Signal) {
	d.record.add("vm %s gets %v", m.name, s)
	_ = m.process.Process.Signal(s)
}

// stopAll kills all VMs and waits for their ends.
func (d *deployment) stopAll() {
	for _, m := range d.machines {
		if m.process != nil {
			_ = m.process.Process.Kill()
			<-m.ended
		}
	}
}

// awaitReady waits until all VMs are ready.
func (d *deployment) awaitReady(most time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), most)
	defer cancel()
	for _, m := range d.machines {
		for !isReady(ctx, m) {
			if ctx.Err() != nil {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}

func isReady(ctx context.Context, m *machine) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/ready", m.ip, readyPort), nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
