package operator

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"parsleyhatch/admin"
	"parsleyhatch/caller"
	"parsleyhatch/gateway"
)

// stopGrace is the time that open connections get after the last request has ended.
const stopGrace = 2 * time.Second

// process is a running VM: the gateway and its listeners.
type process struct {
	gateway   *gateway.Gateway
	peers     net.Listener
	callers   *caller.Server
	operators *admin.Server
	// failed receives the error of a server that ended by itself.
	failed chan error
	ctx    context.Context
	cancel context.CancelFunc
	wait   sync.WaitGroup
}

// newProcess opens the listeners of a VM. An error names the setting of the address.
func newProcess(g *gateway.Gateway, log *slog.Logger) (*process, error) {
	addresses := []struct{ setting, address string }{
		{"peer-listen", g.Settings.PeerListen}, {"listen", g.Settings.CallerListen}, {"admin", g.Settings.AdminListen},
	}
	var listeners []net.Listener
	for _, a := range addresses {
		l, err := net.Listen("tcp", a.address)
		if err != nil {
			return nil, errors.Join(fmt.Errorf("setting %s: %w", a.setting, err), closeAll(listeners))
		}
		listeners = append(listeners, l)
	}
	p := &process{
		gateway: g, peers: listeners[0], callers: caller.New(g, listeners[1], log),
		operators: admin.New(g, listeners[2]), failed: make(chan error, 2),
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	return p, nil
}

func closeAll(listeners []net.Listener) error {
	var errs []error
	for _, l := range listeners {
		errs = append(errs, l.Close())
	}
	return errors.Join(errs...)
}

// start runs the VM.
func (p *process) start() {
	p.wait.Go(p.runGateway)
	go p.runCallers()
	go p.runOperators()
}

func (p *process) runGateway()   { _ = p.gateway.Run(p.ctx, p.peers) }
func (p *process) runCallers()   { p.failed <- p.callers.Run(p.ctx) }
func (p *process) runOperators() { p.failed <- p.operators.Run(p.ctx) }

// stop ends the VM when its requests have ended.
func (p *process) stop() {
	p.gateway.Drain(context.Background())
	grace, cancel := context.WithTimeout(context.Background(), stopGrace)
	defer cancel()
	_ = p.callers.Stop(grace)
	_ = p.operators.Stop(grace)
	p.halt()
}

// halt ends the VM at once.
func (p *process) halt() {
	p.cancel()
	p.wait.Wait()
}
