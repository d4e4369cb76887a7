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
	// memoryLimitShare is the Go runtime's memory limit as a fraction of the machine's memory. The rest is for
	// socket buffers and other memory that the runtime does not account for.
	memoryLimitShare = 0.7
	// programBytes is the memory of the program itself, such as its code, which the runtime's limit does not include. The limit leaves
	// that much on machines where memoryLimitShare would leave less, those below 67 MB.
	programBytes = 20 << 20
	// minRuntimeBytes is the smallest memory limit: with a lower one, the runtime would spend most of its time on garbage collection.
	minRuntimeBytes = 16 << 20
	// maxSessionDrainTime is the maximum time for which a leaving VM waits until other VMs have read what it sent.
	maxSessionDrainTime = time.Second
	// drainPollInterval is the interval at which a leaving VM checks whether its requests have completed.
	drainPollInterval = 50 * time.Millisecond
	// A leaving VM has answered the requests that it ends, drained its sessions and shut down its server for callers at the latest
	// these times after it has ended them. They are within edge.KillMargin.
	answersEnd  = 125 * time.Millisecond
	sessionsEnd = 225 * time.Millisecond
	serverEnd   = 350 * time.Millisecond
	// endPollInterval is the interval at which a VM checks whether the requests that it ends have their answers.
	endPollInterval = 5 * time.Millisecond
	// minDrainTime is the minimum time for which a leaving VM keeps responding, so that callers can query the
	// directory again. A longer time would leave a region without VMs during a rolling replacement.
	minDrainTime = edge.ShutdownAcceptTime + 300*time.Millisecond
)

var vmCommand = command{
	name:    "vm",
	summary: "run a VM on the operators' platform",
	run:     runVM,
}

func runVM(e env) int {
	signals := catchSignals()
	defer signals.release()
	fs := newFlagSet("vm")
	settingsPath := fs.String("settings", "", "settings file of the platform (default: the value of the environment variable "+platform.SettingsPathEnv+")")
	metricsPort := fs.Int("metrics-port", 0, "port of the metrics endpoint on the address for callers; 0 disables it")
	level := fs.String("log-level", "info", "lowest level to log: debug, info, warn or error")
	clients := clientFlags(fs)
	if code, done := parseFlags(fs, e); done {
		return code
	}
	if err := clients.Check(); err != nil {
		return failf(e, "vm", exitUsage, "%v", err)
	}
	var logLevel slog.Level
	if err := logLevel.UnmarshalText([]byte(*level)); err != nil {
		return failf(e, "vm", exitUsage, "setting log-level: %v", err)
	}
	if *settingsPath == "" {
		*settingsPath = lookupEnv(e.environ, platform.SettingsPathEnv)
	}
	if *settingsPath == "" {
		return failf(e, "vm", exitUsage, "no settings file: set -settings or %s", platform.SettingsPathEnv)
	}
	s, err := platform.ReadSettings(*settingsPath)
	if err != nil {
		return failf(e, "vm", exitUsage, "%v", err)
	}
	logWriter := logbuf.New(e.stdout)
	logCtx, stopLog := context.WithCancel(context.Background())
	go logWriter.Run(logCtx)
	log := slog.New(logbuf.NewHandler(logWriter, logLevel)).With("vm", s.Name)
	err = runEdge(s, vmOptions{settingsPath: *settingsPath, metricsPort: *metricsPort, clients: *clients, log: log, logWriter: logWriter, signals: signals})
	if err != nil {
		event.StartFailed.Log(log, "error", err.Error())
	}
	stopLog()
	logWriter.Wait()
	if err != nil {
		return exitFailed
	}
	return exitOK
}

// lookupEnv returns the value of an environment variable, empty if it is not set.
func lookupEnv(environ []string, name string) string {
	for _, entry := range environ {
		if value, ok := strings.CutPrefix(entry, name+"="); ok {
			return value
		}
	}
	return ""
}

// runtimeMemory returns the Go runtime's memory limit for a machine, in bytes.
func runtimeMemory(machine int64) int64 {
	return max(minRuntimeBytes, min(int64(memoryLimitShare*float64(machine)), machine-programBytes))
}

// vmOptions holds the options of a VM that are not part of the platform's settings.
type vmOptions struct {
	settingsPath string
	metricsPort  int
	clients      edge.ClientLimits
	log          *slog.Logger
	logWriter    *logbuf.Writer
	signals      vmSignals
}

// vmSignals holds the channels that receive the platform's signals.
type vmSignals struct {
	terminate, reload chan os.Signal
}

// release stops the delivery of signals to the channels.
func (s vmSignals) release() {
	signal.Stop(s.terminate)
	signal.Stop(s.reload)
}

// catchSignals starts the delivery of signals. It must be called first because the platform may send a signal while
// the VM starts, and an unhandled SIGHUP ends the process.
func catchSignals() vmSignals {
	s := vmSignals{terminate: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(s.terminate, syscall.SIGTERM, os.Interrupt)
	signal.Notify(s.reload, syscall.SIGHUP)
	return s
}

// edgeProcess is a VM run by the vm subcommand: the edge and its servers.
type edgeProcess struct {
	edge *edge.Edge
	log  *slog.Logger
	// callers serves the requests of callers.
	callers      *kratoshttp.Server
	serverErrors chan error
}

// runEdge runs a VM until a termination signal, and then stops it gracefully.
func runEdge(s platform.Settings, options vmOptions) error {
	log := options.log
	debug.SetMemoryLimit(runtimeMemory(s.MemoryBytes))
	vm, err := edge.New(s, log)
	if err != nil {
		return err
	}
	vm.SetClientLimits(options.clients)
	p := &edgeProcess{edge: vm, log: log, serverErrors: make(chan error, 4)}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := p.listen(ctx, options.metricsPort); err != nil {
		return err
	}
	event.Started.Log(log, "region", s.Region, "failureDomain", s.FailureDomain, "machine", settingsSummary(s))
	go vm.Watcher.Run(ctx)
	go vm.Pool.Run(ctx)
	go vm.RunProbes(ctx)
	go vm.RunWaiting(ctx)
	go vm.ConnLimiter.Run(ctx, vm.ConnLimits)
	go p.runMonitor(ctx, options.settingsPath, options.logWriter, options.signals.reload)
	select {
	case <-options.signals.terminate:
		started := time.Now()
		p.stop()
		p.logStop(event.Stopped, started)
		return nil
	case err := <-p.serverErrors:
		return err
	}
}

// listen opens all listeners and starts their servers.
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
		go p.runServer(p.edge.ReadinessServer(l))
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
		event.ListenerStopped.Log(p.log, "error", err.Error())
		p.serverErrors <- fmt.Errorf("serve: %w", err)
	}
}

// stop leaves the fleet, serves requests for at least minDrainTime, waits for open requests to complete, ends those that do not in
// time, sends the rest of forwarded answers and returns before the platform's SIGKILL.
func (p *edgeProcess) stop() {
	started := time.Now()
	p.edge.BeginShutdown(p.edge.Now())
	event.Draining.Log(p.log, "open", p.edge.OpenRequests())
	limit := edge.NewStopSchedule(p.edge.Settings.Bounds.ShutdownGrace).End
	for time.Since(started) < limit {
		time.Sleep(drainPollInterval)
		if time.Since(started) > minDrainTime && p.edge.OpenRequests() == 0 {
			break
		}
	}
	if time.Since(started) >= limit {
		p.endRequests(started)
	}
	p.logStop(event.Ending, started)
	p.drainSessions(min(maxSessionDrainTime, limit+sessionsEnd-time.Since(started)))
	ctx, cancel := context.WithTimeout(context.Background(), min(serverEnd, limit+serverEnd-time.Since(started)))
	defer cancel()
	_ = p.callers.Shutdown(ctx) // Waits until the last answers are written. What is open then ends with the process.
}

// logStop logs a step of a planned stop, with the connections of callers that are still open.
func (p *edgeProcess) logStop(step event.Event, started time.Time) {
	c := p.edge.ConnLimiter.Stages()
	step.Log(p.log, "open", p.edge.OpenRequests(), "leavingMillis", time.Since(started).Milliseconds(),
		"idle", c.Idle, "header", c.Header, "body", c.Body, "serving", c.Serving, "writing", c.Writing)
}

// endRequests ends the requests that are still open, and waits for their answers.
func (p *edgeProcess) endRequests(started time.Time) {
	open := p.edge.OpenRequests()
	if open == 0 {
		return
	}
	p.edge.Metrics.AddCounter("requests_cut_by_stop", int64(open))
	event.RequestsCut.Log(p.log, "requests", open, "leavingMillis", time.Since(started).Milliseconds())
	p.edge.EndRequests()
	for ended := time.Now(); time.Since(ended) < answersEnd && p.edge.OpenRequests() > 0; {
		time.Sleep(endPollInterval)
	}
}

// drainSessions sends what other VMs still have to get. The end of the process would drop it, and reset connections with unread
// messages.
func (p *edgeProcess) drainSessions(timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	p.edge.CloseSessions(ctx)
}
