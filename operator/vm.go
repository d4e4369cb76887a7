package operator

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"
	"time"

	kratoshttp "github.com/go-kratos/kratos/v2/transport/http"

	"parsleyhatch/edge"
	"parsleyhatch/event"
	"parsleyhatch/logbuf"
	"parsleyhatch/platform"
)

const (
	// memoryShare is the part of the machine's memory that the Go runtime tries to stay under. The rest
	// is for bytes in sockets and what the runtime does not count.
	memoryShare = 0.7
	// stopMargin is kept between the end of the process and the platform's SIGKILL.
	stopMargin = 700 * time.Millisecond
	// stopPoll is the period at which a leaving VM checks whether its requests have ended.
	stopPoll = 50 * time.Millisecond
	// leaveTime is the shortest time for which a leaving VM still answers, so that callers have asked the
	// directory again. A longer one would leave a region without VMs while they are replaced in turn.
	leaveTime = edge.LeaveAccept + 300*time.Millisecond
)

var vmCommand = command{
	name:    "vm",
	summary: "run a VM on the operators' platform",
	run:     runVM,
}

func runVM(e env) int {
	signals := catchSignals()
	defer signals.release()
	fs := newFlags("vm")
	settingsPath := fs.String("settings", "", "settings file of the platform; without it, the environment variable "+platform.SettingsVariable+" names it")
	metricsPort := fs.Int("metrics-port", 0, "port of the metrics on the machine's address; 0 serves none")
	level := fs.String("log-level", "info", "lowest level to log: debug, info, warn or error")
	if code, done := parseSettings(fs, e); done {
		return code
	}
	var logLevel slog.Level
	if err := logLevel.UnmarshalText([]byte(*level)); err != nil {
		return fail(e, "vm", exitUsage, "setting log-level: %v", err)
	}
	if *settingsPath == "" {
		*settingsPath = lookup(e.environ, platform.SettingsVariable)
	}
	if *settingsPath == "" {
		return fail(e, "vm", exitUsage, "no settings file: set -settings or %s", platform.SettingsVariable)
	}
	s, err := platform.ReadSettings(*settingsPath)
	if err != nil {
		return fail(e, "vm", exitUsage, "%v", err)
	}
	writer := logbuf.New(e.stdout)
	logCtx, stopLog := context.WithCancel(context.Background())
	go writer.Run(logCtx)
	log := slog.New(logbuf.NewHandler(writer, logLevel)).With("vm", s.Name)
	err = runEdge(s, vmOptions{settingsPath: *settingsPath, metricsPort: *metricsPort, log: log, writer: writer, signals: signals})
	if err != nil {
		event.StartFailed.Log(log, "error", err.Error())
	}
	stopLog()
	writer.Wait()
	if err != nil {
		return exitFailed
	}
	return exitOK
}

// lookup returns the value of an environment variable.
func lookup(environ []string, name string) string {
	for _, entry := range environ {
		if value, ok := strings.CutPrefix(entry, name+"="); ok {
			return value
		}
	}
	return ""
}

// vmOptions are what a VM gets beside the platform's settings.
type vmOptions struct {
	settingsPath string
	metricsPort  int
	log          *slog.Logger
	writer       *logbuf.Writer
	signals      vmSignals
}

// vmSignals are the signals of the platform.
type vmSignals struct {
	terminate, reload chan os.Signal
}

// release gives the signals back.
func (s vmSignals) release() {
	signal.Stop(s.terminate)
	signal.Stop(s.reload)
}

// catchSignals takes over the signals. It comes first: the platform may send one while the VM starts, and
// SIGHUP would end it.
func catchSignals() vmSignals {
	s := vmSignals{terminate: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(s.terminate, syscall.SIGTERM, os.Interrupt)
	signal.Notify(s.reload, syscall.SIGHUP)
	return s
}

// edgeProcess holds the servers of a VM.
type edgeProcess struct {
	edge *edge.Edge
	log  *slog.Logger
	// callers is the server for requests of callers.
	callers *kratoshttp.Server
	failed  chan error
}

// runEdge runs a VM until SIGTERM, and then stops it without cutting requests.
func runEdge(s platform.Settings, o vmOptions) error {
	log := o.log
	debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryBytes)))
	g, err := edge.New(s, log)
	if err != nil {
		return err
	}
	p := &edgeProcess{edge: g, log: log, failed: make(chan error, 4)}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := p.listen(ctx, o.metricsPort); err != nil {
		return err
	}
	event.Started.Log(log, "region", s.Region, "failureDomain", s.FailureDomain, "machine", settingsSummary(s))
	go g.Source.Run(ctx)
	go g.Pool.Run(ctx)
	go g.Conns.Run(ctx, g.ConnLimits)
	go p.runWatch(ctx, o.settingsPath, o.writer, o.signals.reload)
	select {
	case <-o.signals.terminate:
		p.stop()
		event.Stopped.Log(log, "open", g.Open())
		return nil
	case err := <-p.failed:
		return err
	}
}

// listen opens all listeners and serves them.
func (p *edgeProcess) listen(ctx context.Context, metricsPort int) error {
	s := p.edge.Settings
	peers, err := net.Listen("tcp", s.PeerListen)
	if err != nil {
		return fmt.Errorf("listen for vms: %w", err)
	}
	go p.edge.Fleet.Run(ctx, peers)
	for _, address := range []string{s.ReadyListen, s.DirectoryListen} {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return fmt.Errorf("listen for the platform: %w", err)
		}
		go p.runServer(p.edge.OperatorServer(l))
	}
	callers, err := net.Listen("tcp", s.CallerListen)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	p.callers = p.edge.CallerServer(callers)
	go p.runServer(p.callers)
	if metricsPort == 0 {
		return nil
	}
	host, _, err := net.SplitHostPort(s.CallerListen)
	if err != nil {
		return fmt.Errorf("listen for metrics: %w", err)
	}
	l, err := net.Listen("tcp", net.JoinHostPort(host, strconv.Itoa(metricsPort)))
	if err != nil {
		return fmt.Errorf("listen for metrics: %w", err)
	}
	go p.runServer(p.edge.MetricsServer(l))
	return nil
}

func (p *edgeProcess) runServer(s *kratoshttp.Server) {
	if err := s.Start(context.Background()); err != nil {
		event.ListenerEnded.Log(p.log, "error", err.Error())
		p.failed <- fmt.Errorf("serve: %w", err)
	}
}

// stop leaves the fleet, answers what callers still send and ends before the platform's SIGKILL.
func (p *edgeProcess) stop() {
	started := time.Now()
	p.edge.Leave(p.edge.Now())
	event.Draining.Log(p.log, "open", p.edge.Open())
	limit := p.edge.Settings.Bounds.Grace - stopMargin
	for time.Since(started) < limit {
		time.Sleep(stopPoll)
		if time.Since(started) > leaveTime && p.edge.Open() == 0 {
			break
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopMargin/2)
	defer cancel()
	_ = p.callers.Shutdown(ctx) // What has not ended by now is ended by the exit of the process.
}
