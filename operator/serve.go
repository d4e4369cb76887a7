package operator

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"parsleyhatch/event"
	"parsleyhatch/gateway"
	"parsleyhatch/standin"
)

var serveCommand = command{
	name:    "serve",
	summary: "run a VM",
	run:     runServe,
}

func runServe(e env) int {
	fs := newFlagSet("serve")
	var s gateway.Settings
	fs.StringVar(&s.Slot, "slot", "", "name of this VM in the roster")
	fs.StringVar(&s.Region, "region", "", "region of this VM")
	fs.StringVar(&s.FailureDomain, "failure-domain", "", "failure domain of this VM")
	fs.StringVar(&s.CallerListen, "listen", "127.0.0.1:8080", "address for callers, IP:port")
	fs.StringVar(&s.PeerListen, "peer-listen", "127.0.0.1:7000", "address for other VMs, IP:port")
	fs.StringVar(&s.AdminListen, "admin", "127.0.0.1:8081", "address for operators, IP:port")
	fs.StringVar(&s.PlatformURL, "platform", "", "base URL of the platform's configuration service")
	fs.DurationVar(&s.DrainLimit, "drain-limit", 10*time.Minute, "maximum time for running requests to complete during a planned stop")
	fs.IntVar(&s.MaxStreams, "max-streams", 20000, "maximum number of open requests")
	fs.StringVar(&s.UpstreamCredential, "upstream-credential", "", "bearer token issued by the platform for upstreams")
	seeds := fs.String("seeds", "", "peer addresses of VMs to fetch the configuration from, IP:port, separated by commas")
	fleetKey := fs.String("fleet-key", "", "secret shared by all VMs, 16 bytes or more; prefer the environment variable")
	emulatedLinks := fs.String("emulate-links", "", "for tests and demos: configuration file with links whose delay and bandwidth are emulated on connections to other VMs")
	levelName := fs.String("log-level", "info", "lowest level to log: debug, info, warn or error")
	if code, done := parseFlags(fs, e); done {
		return code
	}
	if fs.NArg() > 0 {
		fmt.Fprintf(e.stderr, "parsleyhatch serve: unexpected argument %q\n", fs.Arg(0))
		return exitUsage
	}
	var logLevel slog.Level
	if err := logLevel.UnmarshalText([]byte(*levelName)); err != nil {
		fmt.Fprintf(e.stderr, "parsleyhatch serve: setting log-level: %v\n", err)
		return exitUsage
	}
	log := slog.New(slog.NewJSONHandler(e.stderr, &slog.HandlerOptions{Level: logLevel}))
	s.FleetKey = []byte(*fleetKey)
	if *seeds != "" {
		s.Seeds = strings.Split(*seeds, ",")
	}
	dial, err := emulatedDial(*emulatedLinks, s.Region)
	if err != nil {
		fmt.Fprintf(e.stderr, "parsleyhatch serve: setting emulate-links: %v\n", err)
		return exitUsage
	}
	if err := serve(s, dial, log); err != nil {
		event.StartFailed.Log(log, "error", err.Error())
		return exitFailed
	}
	return exitOK
}

// serve runs a VM until it receives a signal or is superseded, and then stops it gracefully. A second signal
// terminates the process immediately.
func serve(s gateway.Settings, dial standin.DialFunc, log *slog.Logger) error {
	g, err := gateway.New(s, log)
	if err != nil {
		return err
	}
	if dial != nil {
		g.Endpoint.DialFunc = dial
	}
	p, err := newGatewayProcess(g, log)
	if err != nil {
		return err
	}
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	p.start()
	select {
	case <-stop.Done():
	case <-g.Superseded():
	case err := <-p.serverErrors:
		p.stopNow()
		return err
	}
	cancel() // Restore the default handling, so that a second signal ends the process.
	p.stop()
	return nil
}

// emulatedDial returns a dial function that emulates the links of a configuration file, nil if name is empty.
func emulatedDial(name, region string) (standin.DialFunc, error) {
	if name == "" {
		return nil, nil
	}
	file, err := readValidConfig(name)
	if err != nil {
		return nil, err
	}
	return standin.NewWAN(standin.RegionsOf(file), file.Links).Dialer(region, nil), nil
}
