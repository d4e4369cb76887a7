package faultyupstream

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"sync"

	"parsleyhatch/standin/rawanswer"
)

// ProcessArgument is the first argument with which a program starts its own executable as an upstream.
const ProcessArgument = "soak-upstream"

var errNoAddress = errors.New("no address reported")

// process is a raw upstream that runs as a child process.
type process struct {
	address string
	command *exec.Cmd
	reports *json.Decoder
	exited  chan struct{}

	// controlMu guards control.
	controlMu sync.Mutex
	control   io.WriteCloser
}

// NewProcess starts an upstream in a process of its own, which is the executable of this one with ProcessArgument.
func NewProcess(settings Settings, record *Recorder, log io.Writer) (*Upstream, error) {
	p, err := startProcess(settings, record, log)
	if err != nil {
		return nil, err
	}
	return &Upstream{Settings: settings, record: record, process: p}, nil
}

// IsProcess reports whether the upstream is a process of its own.
func (u *Upstream) IsProcess() bool { return u.process != nil }

// Allow sets the ends of answers that the process may play from now on.
func (u *Upstream) Allow(ends rawanswer.Allowed) { u.process.send(ends) }

// startProcess starts a process whose arrivals and executions are recorded.
func startProcess(settings Settings, record *Recorder, log io.Writer) (*process, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, fmt.Errorf("locate the executable: %w", err)
	}
	p := &process{command: exec.Command(program, ProcessArgument), exited: make(chan struct{})}
	p.command.Env = append(os.Environ(), "GOMAXPROCS=2")
	p.command.Stderr = log
	output, err := p.command.StdoutPipe()
	if err != nil {
		return nil, fmt.Errorf("output of upstream %s: %w", settings.ID, err)
	}
	if p.control, err = p.command.StdinPipe(); err != nil {
		return nil, fmt.Errorf("input of upstream %s: %w", settings.ID, err)
	}
	if err := p.command.Start(); err != nil {
		return nil, fmt.Errorf("start upstream %s: %w", settings.ID, err)
	}
	p.reports = json.NewDecoder(bufio.NewReader(output))
	p.send(settings)
	var first report
	if err := p.reports.Decode(&first); err != nil || first.Address == "" {
		_ = p.command.Process.Kill()
		return nil, errors.Join(fmt.Errorf("start upstream %s: %w", settings.ID, errNoAddress), err, p.command.Wait())
	}
	p.address = first.Address
	go p.run(settings.ID, record)
	return p, nil
}

// send writes a line to the standard input of the process.
func (p *process) send(line any) {
	p.controlMu.Lock()
	defer p.controlMu.Unlock()
	_ = json.NewEncoder(p.control).Encode(line) // The process may have been killed.
}

// run records what the process reports until it ends. Executions that are open then broke off.
func (p *process) run(id string, record *Recorder) {
	defer close(p.exited)
	open := map[string]func(brokeOff bool){}
	for {
		var r report
		if p.reports.Decode(&r) != nil {
			break
		}
		switch {
		case r.Arrival != nil:
			record.Arrival(r.Arrival.ID, id, record.VMAt(r.Arrival.From), r.Arrival.At)
		case r.Start != nil:
			r.Start.VM = record.VMAt(r.Start.VM)
			open[r.Start.Run] = record.Execution(*r.Start)
		case r.End != nil:
			if end := open[r.End.Run]; end != nil {
				end(r.End.BrokeOff)
				delete(open, r.End.Run)
			}
		}
	}
	for _, end := range open {
		end(true)
	}
	_ = p.command.Wait() // It was killed.
}

// kill ends the process with SIGKILL and waits until all that it reported is recorded.
func (p *process) kill() {
	_ = p.command.Process.Kill() // It may have been killed before.
	<-p.exited
}
