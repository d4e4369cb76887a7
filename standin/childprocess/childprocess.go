// Package childprocess runs a program as a child process that is signalled, ended and started again.
package childprocess

import (
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// Process is a program that runs at most once at a time. It is safe for concurrent use.
type Process struct {
	// Command returns the command of a start.
	Command func() *exec.Cmd

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

// Start starts the program, which must not be running.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	command := p.Command()
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.command, p.exited = command, exited
	go func() {
		_ = command.Wait() // The exit status is ignored, since tests end processes on purpose.
		close(exited)
	}()
	return nil
}

// HasStarted reports whether the program was started at least once.
func (p *Process) HasStarted() bool { return p.end() != nil }

// end returns a channel that is closed when the program ends, nil before its first start.
func (p *Process) end() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exited
}

// ID returns the id of the latest process, zero before the first start.
func (p *Process) ID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return 0
	}
	return p.command.Process.Pid
}

// Ended reports whether the program was started and does not run.
func (p *Process) Ended() bool {
	select {
	case <-p.end():
		return true
	default:
		return false
	}
}

// Signal sends a signal to the program. It returns os.ErrProcessDone if that is not running.
func (p *Process) Signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return os.ErrProcessDone
	}
	select {
	case <-p.exited:
		return os.ErrProcessDone
	default:
		return p.command.Process.Signal(s)
	}
}

// Stop ends the program with SIGTERM, and with SIGKILL if it is still running after the grace period.
func (p *Process) Stop(grace time.Duration) {
	if !p.HasStarted() {
		return
	}
	_ = p.Signal(syscall.SIGTERM) // The process may have exited in the meantime.
	select {
	case <-p.end():
	case <-time.After(grace):
		p.Kill()
	}
}

// Kill ends the program with SIGKILL and waits until it has exited. SIGCONT is sent first for one that is stopped.
func (p *Process) Kill() {
	if !p.HasStarted() {
		return
	}
	_ = p.Signal(syscall.SIGCONT)
	_ = p.Signal(syscall.SIGKILL)
	<-p.end()
}
