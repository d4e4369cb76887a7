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

// shutdownTimeout is the time limit for closing the servers' connections after the last request has completed.
const shutdownTimeout = 2 * time.Second

// gatewayProcess is a VM run by the serve subcommand: the gateway and its servers.
type gatewayProcess struct {
	gateway      *gateway.Gateway
	peerListener net.Listener
	callerServer *caller.Server
	adminServer  *admin.Server
	// serverErrors receives the result of each HTTP server when it stops.
	serverErrors chan error
	ctx          context.Context
	cancel       context.CancelFunc
	wg           sync.WaitGroup
}

// newGatewayProcess opens the listeners of a VM. An error names the setting that holds the address.
func newGatewayProcess(g *gateway.Gateway, log *slog.Logger) (*gatewayProcess, error) {
	addresses := []struct{ setting, address string }{
		{"peer-listen", g.Settings.PeerListen}, {"listen", g.Settings.CallerListen}, {"admin", g.Settings.AdminListen},
	}
	var listeners []net.Listener
	for _, a := range addresses {
		l, err := net.Listen("tcp", a.address)
		if err != nil {
			return nil, errors.Join(fmt.Errorf("setting %s: %w", a.setting, err), closeListeners(listeners))
		}
		listeners = append(listeners, l)
	}
	p := &gatewayProcess{
		gateway: g, peerListener: listeners[0], callerServer: caller.New(g, listeners[1], log),
		adminServer: admin.New(g, listeners[2]), serverErrors: make(chan error, 2),
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	return p, nil
}

func closeListeners(listeners []net.Listener) error {
	var errs []error
	for _, l := range listeners {
		errs = append(errs, l.Close())
	}
	return errors.Join(errs...)
}

// start starts the gateway and its servers in the background.
func (p *gatewayProcess) start() {
	p.wg.Go(p.runGateway)
	go p.runCallerServer()
	go p.runAdminServer()
}

func (p *gatewayProcess) runGateway()      { _ = p.gateway.Run(p.ctx, p.peerListener) }
func (p *gatewayProcess) runCallerServer() { p.serverErrors <- p.callerServer.Run(p.ctx) }
func (p *gatewayProcess) runAdminServer()  { p.serverErrors <- p.adminServer.Run(p.ctx) }

// stop drains the gateway and then stops the servers and the VM.
func (p *gatewayProcess) stop() {
	p.gateway.Drain(context.Background())
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	_ = p.callerServer.Stop(ctx)
	_ = p.adminServer.Stop(ctx)
	p.stopNow()
}

// stopNow stops the gateway without draining it and waits until it has stopped.
func (p *gatewayProcess) stopNow() {
	p.cancel()
	p.wg.Wait()
}
