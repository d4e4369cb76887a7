package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// regions are the regions of the deployment with their only failure domain. Each has one VM.
var regions = []struct{ name, zone string }{{"norte", "porto-a"}, {"centro", "coimbra-a"}, {"sul", "faro-a"}}

// restartDelay is the time after which the platform starts a process again that has ended.
const restartDelay = 500 * time.Millisecond

var errStopped = errors.New("the system is stopped")

// system holds the VMs of the gateway.
type system struct {
	program, settingsDir, subnet, storeAddress string

	mu sync.Mutex
	// vms holds the running process of each VM. No process is started once stopped is set.
	vms     map[int]*exec.Cmd
	stopped bool
}

func newSystem(program, settingsDir, storeAddress string) *system {
	subnet := fmt.Sprintf("127.%d.%d", 16+os.Getpid()%200, os.Getpid()/200%250)
	return &system{program: program, settingsDir: settingsDir, storeAddress: storeAddress, subnet: subnet, vms: map[int]*exec.Cmd{}}
}

// start starts the VMs and waits until they are ready.
func (s *system) start() error {
	for i := range regions {
		if err := s.startVM(i); err != nil {
			return err
		}
	}
	for i := range regions {
		if err := waitReady("http://" + s.address(i, 8224) + "/ready"); err != nil {
			return err
		}
	}
	return nil
}

// address returns an address of a VM.
func (s *system) address(vm, port int) string {
	return fmt.Sprintf("%s.%d:%d", s.subnet, vm+1, port)
}

// startVM starts a VM with the command of the deploy file.
func (s *system) startVM(i int) error {
	lines := []string{
		"node_name=front-" + regions[i].zone + "-1", "role=gateway", "machine_class=front", "serves=front,control,directory",
		"zone=" + regions[i].zone, "region=" + regions[i].name,
		"listen.front=" + s.address(i, 8221), "listen.ready=" + s.address(i, 8224),
		"listen.control=" + s.address(i, 8229), "listen.directory=" + s.address(i, 8220), "internal_ports=7600,7615",
		"seeds=" + s.address(0, 8229) + "," + s.address(1, 8229) + "," + s.address(2, 8229), "platform.address=" + s.storeAddress,
		"limits.cpu_share=0.4", "limits.cores=1", "limits.memory_mb=284", "limits.max_fds=4100", "limits.link_mbps=1000.0",
		"bounds.drain_ms=3000", "bounds.grace_s=8", "bounds.revoke_ms=5000", "bounds.retry_budget_ratio=0.2",
		"bounds.budget_window_s=10", "bounds.retry_budget_slack=58", "bounds.warmup_overage=1.5", "bounds.warmup_slack=3", "bounds.ttl_max_s=5",
	}
	for _, region := range regions {
		lines = append(lines, "zones."+region.zone+"="+region.name)
	}
	path := filepath.Join(s.settingsDir, fmt.Sprintf("vm%d.conf", i+1))
	if err := os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		return err
	}
	command := exec.Command(s.program, "vm", "-metrics-port", "7600")
	command.Env = append(os.Environ(), "PARSLEYHATCH_BOOT="+path)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return errStopped
	}
	if err := command.Start(); err != nil {
		return err
	}
	s.vms[i] = command
	return nil
}

func waitReady(url string) error {
	client := &http.Client{Timeout: time.Second}
	for range 100 {
		resp, err := client.Get(url)
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%s: not ready", url)
}

// kill ends the process of a VM as a SIGKILL does, and starts it again after restartDelay, as the platform does.
func (s *system) kill(i int) error {
	s.mu.Lock()
	command := s.vms[i]
	s.mu.Unlock()
	_ = command.Process.Kill()
	_ = command.Wait()
	time.Sleep(restartDelay)
	return s.startVM(i)
}

// stop ends all VMs.
func (s *system) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	for _, command := range s.vms {
		_ = command.Process.Kill()
		_ = command.Wait()
	}
	clear(s.vms)
}
