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
	"sync/atomic"
	"time"

	"parsleyhatch/platform"
	"parsleyhatch/standin"
	"parsleyhatch/standin/childprocess"
	"parsleyhatch/standin/faultlink"
)

// readyTimeout is the time within which a VM must become ready.
const readyTimeout = 10 * time.Second

// vmProcess is a VM that runs as a child process.
type vmProcess struct {
	name   string
	region string
	// deployment states what the VM has of its machine and which bounds hold.
	deployment *deployment
	// program is the executable. It finds its settings file at settingsPath through the environment.
	program      string
	settingsPath string
	log          io.Writer
	// storeLink is the VM's link to the store.
	storeLink *faultlink.Link
	// peerLink is the link through which the other VMs reach this one.
	peerLink *faultlink.Link
	// callerLink is the link through which callers that resume their streams reach the VM.
	callerLink *faultlink.Link
	// upstreamLinks are the VM's links to all upstreams, gone ones among them. hangingCuts and refusingCuts count the cuts that
	// let these links hang and that refuse new connections. The soak's mu guards them.
	upstreamLinks faultlink.Links
	hangingCuts   atomic.Int32
	refusingCuts  int
	// dark means that the machine of the VM has no power, and absent that the VM has not been added yet or was removed for good.
	dark, absent atomic.Bool
	// storeReader serves the store to the VM.
	storeReader *standin.StoreReader

	// faults is held by the fault that stops or signals the process. In ProfileStops all VMs have the same one: they are stopped in turn.
	faults *sync.Mutex

	callerAddress, readyAddress, peerAddress, directoryAddress string
	// ip is the VM's IP, from which its requests reach upstreams, and linkIP that of the links to it and of its links to upstreams.
	ip, linkIP string

	childprocess.Process
}

// firstPort is the first of the consecutive ports of each VM. It is below the ephemeral port range: an outgoing
// connection of this machine could otherwise take the port while the VM is down.
const firstPort = 20001

// firstHost and firstLinkHost are the last bytes of the IP of the first VM and of the link to it. Both have as many digits for
// all VMs, so that links may replace one address by the other in what VMs send.
const (
	firstHost     = 100
	firstLinkHost = 200
)

// assignAddresses assigns the listen addresses of the VM on a loopback IP of its own. The IP depends on the process id,
// so that soaks that run at the same time don't collide. It returns the address of the link to the VM.
func (v *vmProcess) assignAddresses(index int) (link string) {
	network := fmt.Sprintf("127.%d.%d.", 16+os.Getpid()%200, os.Getpid()/200%250)
	v.ip, v.linkIP = network+strconv.Itoa(firstHost+index), network+strconv.Itoa(firstLinkHost+index)
	port := firstPort
	for _, address := range []*string{&v.callerAddress, &v.readyAddress, &v.peerAddress, &v.directoryAddress} {
		*address = net.JoinHostPort(v.ip, strconv.Itoa(port))
		port++
	}
	_, peerPort, _ := net.SplitHostPort(v.peerAddress)
	return net.JoinHostPort(v.linkIP, peerPort)
}

// writeSettings writes the settings file in the platform's format.
func (v *vmProcess) writeSettings(dir string, seeds []string) error {
	v.settingsPath = filepath.Join(dir, v.name+".settings")
	lines := []string{
		"node_name=" + v.name, "zone=" + v.deployment.failureDomainOf(v.region), "region=" + v.region,
		"listen.front=" + v.callerAddress, "listen.ready=" + v.readyAddress, "listen.control=" + v.peerAddress, "listen.directory=" + v.directoryAddress,
		"platform.address=" + v.storeLink.Address(), "platform.history_s=20", "seeds=" + strings.Join(seeds, ","),
	}
	lines = append(lines, v.deployment.settings()...)
	if err := os.WriteFile(v.settingsPath, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		return fmt.Errorf("write settings of vm %s: %w", v.name, err)
	}
	return nil
}

// start starts the process.
func (v *vmProcess) start() error {
	v.Command = v.newCommand
	if err := v.Start(); err != nil {
		return fmt.Errorf("start vm %s: %w", v.name, err)
	}
	return nil
}

func (v *vmProcess) newCommand() *exec.Cmd {
	command := exec.Command(v.program, "vm", "-log-level", "info")
	command.Env = append(os.Environ(), platform.SettingsPathEnv+"="+v.settingsPath, fmt.Sprintf("GOMAXPROCS=%d", v.deployment.VM.Processors))
	if limit := v.deployment.VM.MemoryLimitMB; limit > 0 {
		command.Env = append(command.Env, fmt.Sprintf("GOMEMLIMIT=%dMiB", limit))
	}
	command.Stdout, command.Stderr = v.log, v.log
	return command
}

// startAfter starts the process after a pause and waits until it handles signals.
func (v *vmProcess) startAfter(pause time.Duration) error {
	time.Sleep(pause)
	if err := v.start(); err != nil {
		return err
	}
	time.Sleep(signalSetupTime)
	return nil
}

// stop ends the process as an operator does.
func (v *vmProcess) stop() { v.Stop(v.deployment.Bounds.GraceMillis.duration()) }

var errNotReady = errors.New("did not become ready in time")

// waitReady polls the readiness endpoint until the VM reports that it is ready.
func (v *vmProcess) waitReady() error {
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + v.readyAddress + "/ready")
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
