package proof

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"parsleyhatch/config"
	"parsleyhatch/standin"
)

// clockTicks is the unit of processor time in /proc, in ticks a second.
const clockTicks = 100

// vmProcess is a VM that runs as a process of its own.
type vmProcess struct {
	slot   config.VM
	admin  string
	cmd    *exec.Cmd
	before usage
}

// usage is what a process has used so far.
type usage struct {
	ticks int64
	bytes float64
}

// processFleet runs VMs as processes beside stand-ins in this process.
type processFleet struct {
	b         *testing.B
	binary    string
	file      *config.File
	number    uint64
	platform  *standin.Platform
	processes []*vmProcess
}

// capacityShape is one size of a deployment.
type capacityShape struct {
	regions, vms, engines, workspaces int
}

func (s capacityShape) String() string {
	return fmt.Sprintf("vms=%d/regions=%d/engines=%d/workspaces=%d", s.regions*s.vms, s.regions, s.regions*s.engines, s.workspaces)
}

// BenchmarkCapacity measures what control costs a VM without traffic: processor time, resident
// memory, bytes to other VMs, reads of the configuration service and the time until a change is in
// force at all VMs. Each VM is a process.
func BenchmarkCapacity(b *testing.B) {
	shapes := []capacityShape{
		{3, 1, 3, 10}, {3, 3, 9, 10}, {9, 3, 9, 10}, {9, 9, 9, 10}, // more VMs
		{1, 3, 9, 10}, {1, 9, 9, 10}, {1, 27, 9, 10}, // larger region
		{3, 3, 27, 10}, {3, 3, 81, 10}, // more engines
		{3, 3, 9, 600}, {3, 3, 9, 5900}, // more workspaces
	}
	for _, s := range shapes {
		b.Run(s.String(), func(b *testing.B) {
			f := startProcesses(b, s)
			for range b.N {
				f.measure()
			}
		})
	}
}

func startProcesses(b *testing.B, s capacityShape) *processFleet {
	b.Helper()
	f := &processFleet{b: b, platform: standin.NewPlatform(standin.PlatformSettings{})}
	f.binary = filepath.Join(b.TempDir(), "parsleyhatch")
	if out, err := exec.Command("go", "build", "-o", f.binary, "..").CombinedOutput(); err != nil {
		b.Fatalf("build: %v\n%s", err, out)
	}
	if err := f.platform.Listen("127.0.0.1:0"); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(f.platform.Close)
	f.file = f.config(s)
	f.publish()
	for i := range f.file.VMs {
		f.start(f.file.VMs[i], i)
	}
	b.Cleanup(f.stop)
	f.waitAll("ready", func(p *vmProcess) bool { return f.get("http://"+p.slot.CallerAddress+"/readyz") == "ready\n" })
	return f
}

// config builds the deployment with an engine in this process for each upstream.
func (f *processFleet) config(s capacityShape) *config.File {
	size := standin.Size{Regions: s.regions, VMs: s.vms, Upstreams: s.engines, Workspaces: s.workspaces, Models: 1}
	ip := func(r, i int) string { return fmt.Sprintf("127.%d.%d.%d", 10+r, 1+i%4, 1+i/4) }
	return size.File(ip, f.startEngine, hashOf)
}

func (f *processFleet) startEngine(region, number int) string {
	f.b.Helper()
	e := standin.NewEngine(standin.EngineSettings{Credential: credential, Seed: uint64(region*1000 + number)})
	if err := e.Listen("127.0.0.1:0"); err != nil {
		f.b.Fatal(err)
	}
	f.b.Cleanup(e.Close)
	return e.Address()
}

func (f *processFleet) publish() {
	f.b.Helper()
	f.number++
	if err := f.platform.Publish(f.number, f.file); err != nil {
		f.b.Fatal(err)
	}
}

func (f *processFleet) start(m config.VM, i int) {
	f.b.Helper()
	host, _, err := net.SplitHostPort(m.CallerAddress)
	if err != nil {
		f.b.Fatal(err)
	}
	p := &vmProcess{slot: m, admin: host + ":8081"}
	seed := f.file.VMs[(i+1)%len(f.file.VMs)].PeerAddress
	p.cmd = exec.Command(f.binary, "serve", "-slot", m.Name, "-region", m.Region, "-failure-domain", m.FailureDomain,
		"-listen", m.CallerAddress, "-peer-listen", m.PeerAddress, "-admin", p.admin,
		"-platform", "http://"+f.platform.Address(), "-seeds", seed, "-fleet-key", fleetKey,
		"-upstream-credential", credential, "-log-level", "error", "-drain-limit", "1s")
	p.cmd.Stderr = os.Stderr
	if err := p.cmd.Start(); err != nil {
		f.b.Fatal(err)
	}
	f.processes = append(f.processes, p)
}

// stop ends the processes by their ids.
func (f *processFleet) stop() {
	for _, p := range f.processes {
		_ = p.cmd.Process.Signal(syscall.SIGTERM)
	}
	for _, p := range f.processes {
		_ = p.cmd.Wait()
	}
}

func (f *processFleet) waitAll(what string, holds func(*vmProcess) bool) {
	f.b.Helper()
	limit := time.Now().Add(2 * waitLimit)
	for _, p := range f.processes {
		for !holds(p) {
			if time.Now().After(limit) {
				f.b.Fatalf("timed out: %s is not %s", p.slot.Name, what)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

func (f *processFleet) get(url string) string {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		f.b.Fatal(err)
	}
	resp, err := benchClient.Do(req)
	if err != nil {
		return ""
	}
	defer func() { _ = resp.Body.Close() }()
	var text strings.Builder
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		text.WriteString(lines.Text() + "\n")
	}
	return text.String()
}

// measure observes the idle fleet, and then publishes changes.
func (f *processFleet) measure() {
	const quiet = 15 * time.Second
	time.Sleep(3 * time.Second) // The announcements of the start are over.
	for _, p := range f.processes {
		p.before = f.usage(p)
	}
	callsBefore, _ := f.platform.Calls()
	time.Sleep(quiet)
	callsAfter, _ := f.platform.Calls()
	var cpu, bytes, memory, maxBytes float64
	for _, p := range f.processes {
		u := f.usage(p)
		cpu += float64(u.ticks-p.before.ticks) / clockTicks / quiet.Seconds() * 100
		perSecond := (u.bytes - p.before.bytes) / quiet.Seconds()
		bytes += perSecond
		maxBytes = max(maxBytes, perSecond)
		memory += residentMB(f.b, p.cmd.Process.Pid)
	}
	n := float64(len(f.processes))
	f.b.ReportMetric(cpu/n, "cpu-%/vm")
	f.b.ReportMetric(bytes/n, "B/s/vm")
	f.b.ReportMetric(maxBytes, "max-B/s")
	f.b.ReportMetric(memory/n, "MB/vm")
	f.b.ReportMetric(float64(callsAfter-callsBefore)/quiet.Seconds(), "reads/s")
	f.b.ReportMetric(f.change(), "change-ms")
	f.b.ReportMetric(0, "ns/op")
}

// change publishes five changes one after the other and returns the longest time until one was in
// force at all VMs, in milliseconds.
func (f *processFleet) change() float64 {
	longest := time.Duration(0)
	for range 5 {
		f.file.Workspaces[0].Rate++
		start := time.Now()
		f.publish()
		want := fmt.Sprintf(`"number":%d`, f.number)
		f.waitAll("on version "+want, func(p *vmProcess) bool {
			return strings.Contains(f.get("http://"+p.admin+"/admin/status"), want)
		})
		longest = max(longest, time.Since(start))
	}
	return float64(longest.Milliseconds())
}

func (f *processFleet) usage(p *vmProcess) usage {
	f.b.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		f.b.Fatal(err)
	}
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	u := usage{ticks: user + system}
	for line := range strings.Lines(f.get("http://" + p.admin + "/metrics")) {
		if strings.HasPrefix(line, "parsleyhatch_session_bytes_sent") {
			u.bytes, _ = strconv.ParseFloat(strings.Fields(line)[1], 64)
		}
	}
	return u
}

func residentMB(b *testing.B, pid int) float64 {
	b.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		b.Fatal(err)
	}
	for line := range strings.Lines(string(data)) {
		if strings.HasPrefix(line, "VmRSS:") {
			kb, _ := strconv.ParseFloat(strings.Fields(line)[1], 64)
			return kb / 1024
		}
	}
	return 0
}
