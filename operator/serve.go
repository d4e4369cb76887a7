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
	fs := newFlags("serve")
	var s gateway.Settings
	fs.StringVar(&s.Slot, "slot", "", "name of this VM in the roster")
	fs.StringVar(&s.Region, "region", "", "region of this VM")
	fs.StringVar(&s.FailureDomain, "failure-domain", "", "failure domain of this VM")
	fs.StringVar(&s.CallerListen, "listen", "127.0.0.1:8080", "address for callers, IP:port")
	fs.StringVar(&s.PeerListen, "peer-listen", "127.0.0.1:7000", "address for other VMs, IP:port")
	fs.StringVar(&s.AdminListen, "admin", "127.0.0.1:8081", "address for operators, IP:port")
	fs.StringVar(&s.PlatformURL, "platform", "", "base URL of the platform's configuration service")
	fs.DurationVar(&s.DrainLimit, "drain-limit", 10*time.Minute, "longest time for running requests at a planned stop")
	fs.IntVar(&s.MaxStreams, "max-streams", 20000, "most requests open at a time")
	fs.StringVar(&s.UpstreamCredential, "upstream-credential", "", "bearer token that the platform gave for upstreams")
	seeds := fs.String("seeds", "", "peer addresses of VMs to learn the configuration from, IP:port, separated by commas")
	fleetKey := fs.String("fleet-key", "", "secret shared by all VMs, 16 bytes or more; prefer the environment variable")
	emulate := fs.String("emulate-links", "", "for tests and demos: configuration file whose links' delay and bandwidth are imposed on connections to other VMs")
	level := fs.String("log-level", "info", "lowest level to log: debug, info, warn or error")
	if code, done := parseSettings(fs, e); done {
		return code
	}
	if fs.NArg() > 0 {
		fmt.Fprintf(e.stderr, "parsleyhatch serve: unexpected argument %q\n", fs.Arg(0))
		return exitUsage
	}
	var logLevel slog.Level
	if err := logLevel.UnmarshalText([]byte(*level)); err != nil {
		fmt.Fprintf(e.stderr, "parsleyhatch serve: setting log-level: %v\n", err)
		return exitUsage
	}
	log := slog.New(slog.NewJSONHandler(e.stderr, &slog.HandlerOptions{Level: logLevel}))
	s.FleetKey = []byte(*fleetKey)
	if *seeds != "" {
		s.Seeds = strings.Split(*seeds, ",")
	}
	dial, err := emulatedDial(*emulate, s.Region)
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

// serve runs a VM until a signal, and then stops it gracefully. A second signal stops it at once.
func serve(s gateway.Settings, dial standin.DialFunc, log *slog.Logger) error {
	g, err := gateway.New(s, log)
	if err != nil {
		return err
	}
	if dial != nil {
		g.Endpoint.DialFunc = dial
	}
	p, err := newProcess(g, log)
	if err != nil {
		return err
	}
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	p.start()
	select {
	case <-stop.Done():
	case <-g.Superseded():
	case err := <-p.failed:
		p.halt()
		return err
	}
	cancel() // A second signal ends the process.
	p.stop()
	return nil
}

// emulatedDial returns a dial function that imposes the links of a configuration file, nil if no
// file is named.
func emulatedDial(name, region string) (standin.DialFunc, error) {
	if name == "" {
		return nil, nil
	}
	file, err := readConfig(name)
	if err != nil {
		return nil, err
	}
	return standin.NewWAN(standin.RegionsOf(file), file.Links).Dialer(region, nil), nil
}
