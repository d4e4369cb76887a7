package soak

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"parsleyhatch/platform"
)

// graceTime is the time from SIGTERM to SIGKILL, and readyTimeout that in which a VM must become ready.
const (
	graceTime    = 8 * time.Second
	readyTimeout = 10 * time.Second
)

// vmProcess is a VM in a process of its own.
type vmProcess struct {
	name   string
	region string
	// program and arguments start the VM; its settings file is told in the environment.
	program  string
	settings string
	log      io.Writer
	// store is the VM's link to the store.
	store *proxy

	callers, ready, peers, directory string

	mu    sync.Mutex
	child *exec.Cmd
	ended chan struct{}
}

// firstPort is the first port of each VM. It is below those that the system gives to connections that begin on this
// machine: one of them could take the port while the VM is down.
const firstPort = 20001

// assign gives the VM addresses on a loopback address of its own. Soaks that run side by side differ in their
// process.
func (v *vmProcess) assign(index int) {
	ip := fmt.Sprintf("127.%d.%d.%d", 16+os.Getpid()%200, os.Getpid()/200%250, index+1)
	for i, address := range []*string{&v.callers, &v.ready, &v.peers, &v.directory} {
		*address = net.JoinHostPort(ip, strconv.Itoa(firstPort+i))
	}
}

// writeSettings writes the settings file as the platform does.
func (v *vmProcess) writeSettings(dir string, regions, seeds []string) error {
	v.settings = filepath.Join(dir, v.name+".settings")
	lines := []string{
		"node_name=" + v.name, "zone=" + v.region + "-a", "region=" + v.region,
		"listen.front=" + v.callers, "listen.ready=" + v.ready, "listen.control=" + v.peers, "listen.directory=" + v.directory,
		"platform.address=" + v.store.address(), "seeds=" + strings.Join(seeds, ","),
		"limits.memory_mb=256", "limits.cpu_share=1", "limits.cores=1", "limits.link_mbps=1000",
		"bounds.grace_s=8", "bounds.revoke_ms=5000", "bounds.retry_budget_ratio=0.2", "bounds.retry_budget_slack=60",
		"bounds.budget_window_s=10", "bounds.warmup_overage=1.5", "bounds.warmup_slack=3", "bounds.ttl_max_s=5",
	}
	for _, region := range regions {
		lines = append(lines, "zones."+region+"-a="+region)
	}
	if err := os.WriteFile(v.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		return fmt.Errorf("write settings of vm %s: %w", v.name, err)
	}
	return nil
}

// start starts the process.
func (v *vmProcess) start() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	child := exec.Command(v.program, "vm", "-log-level", "info")
	child.Env = append(os.Environ(), platform.SettingsPathEnv+"="+v.settings, "GOMAXPROCS=2")
	child.Stdout, child.Stderr = v.log, v.log
	if err := child.Start(); err != nil {
		return fmt.Errorf("start vm %s: %w", v.name, err)
	}
	ended := make(chan struct{})
	v.child, v.ended = child, ended
	go func() {
		_ = child.Wait() // A VM that was killed has no status worth telling.
		close(ended)
	}()
	return nil
}

// startAfter starts the process after a pause, and returns once it takes signals.
func (v *vmProcess) startAfter(pause time.Duration) error {
	time.Sleep(pause)
	if err := v.start(); err != nil {
		return err
	}
	time.Sleep(bootTime)
	return nil
}

// signal sends a signal to the process, if it runs.
func (v *vmProcess) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.child == nil {
		return
	}
	select {
	case <-v.ended:
	default:
		_ = v.child.Process.Signal(s) // It may have ended just now.
	}
}

// stop ends the process with SIGTERM, and after the grace time with SIGKILL.
func (v *vmProcess) stop() {
	v.mu.Lock()
	ended := v.ended
	v.mu.Unlock()
	if ended == nil {
		return
	}
	v.signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(graceTime):
		v.kill()
	}
}

// kill ends the process at once and waits for its end.
func (v *vmProcess) kill() {
	v.mu.Lock()
	ended := v.ended
	v.mu.Unlock()
	if ended == nil {
		return
	}
	v.signal(syscall.SIGCONT)
	v.signal(syscall.SIGKILL)
	<-ended
}

var errNotReady = errors.New("the vm is not ready in time")

// waitReady waits until the VM says that it is ready.
func (v *vmProcess) waitReady() error {
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + v.ready + "/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("vm %s: %w", v.name, errNotReady)
}
