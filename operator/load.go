package operator

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"parsleyhatch/config"
	"parsleyhatch/loadgen"
)

var loadCommand = command{
	name:    "load",
	summary: "send seeded open-loop load, check every answer and print the measures",
	run:     runLoad,
}

// loadSettings are the flags of the subcommand.
type loadSettings struct {
	config, keys, mix, jsonFile string
	duration, wait              time.Duration
	rate                        float64
	seed                        uint64
	show                        int
	tickets                     float64
}

func runLoad(e env) int {
	fs := newFlags("load")
	var s loadSettings
	fs.StringVar(&s.config, "config", "", "configuration file of the deployment")
	fs.StringVar(&s.keys, "keys", "", "file with one line \"workspace key\" for each workspace")
	fs.StringVar(&s.mix, "mix", "", "workload: association or registry (default: by the configuration's routes)")
	fs.StringVar(&s.jsonFile, "json", "", "file to write the report to as JSON")
	fs.DurationVar(&s.duration, "duration", 10*time.Second, "time over which requests arrive")
	fs.DurationVar(&s.wait, "wait", 0, "longest wait for all VMs to become ready before the load starts")
	fs.Float64Var(&s.rate, "rate", 20, "requests a second over all workspaces")
	fs.Uint64Var(&s.seed, "seed", 1, "seed of the arrivals and of the requests")
	fs.Float64Var(&s.tickets, "tickets", -1, "share of the calls that must not be repeated that use a ticket, 0 to 1 (default: by the mix)")
	fs.IntVar(&s.show, "show", 0, "number of requests to send first, one after the other, and to print")
	if code, done := parseSettings(fs, e); done {
		return code
	}
	report, err := s.run(e.stdout)
	if err != nil {
		fmt.Fprintf(e.stderr, "parsleyhatch load: %v\n", err)
		return exitFailed
	}
	if len(report.Problems) > 0 {
		return exitFailed
	}
	return exitOK
}

func (s *loadSettings) run(w io.Writer) (*loadgen.Report, error) {
	file, err := readConfig(s.config)
	if err != nil {
		return nil, fmt.Errorf("setting config: %w", err)
	}
	data, err := os.ReadFile(s.keys)
	if err != nil {
		return nil, fmt.Errorf("setting keys: %w", err)
	}
	keys, err := loadgen.ParseKeys(data)
	if err != nil {
		return nil, fmt.Errorf("setting keys: %w", err)
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	if err := waitReady(ctx, file, s.wait); err != nil {
		return nil, err
	}
	work, err := workOf(s.mix, file)
	if err != nil {
		return nil, err
	}
	for i := range work {
		if s.tickets >= 0 {
			work[i].Tickets = s.tickets
		}
	}
	settings := loadgen.Settings{
		Workspaces: loadgen.Workspaces(file, keys, s.rate),
		Work:       work, Duration: s.duration, Seed: s.seed,
	}
	for _, m := range file.VMs {
		settings.Entries = append(settings.Entries, m.CallerAddress)
	}
	if s.show > 0 {
		if err := loadgen.Show(ctx, settings, s.show, w); err != nil {
			return nil, err
		}
	}
	report, err := loadgen.Run(ctx, settings)
	if err != nil {
		return nil, err
	}
	return report, s.write(report, w)
}

func (s *loadSettings) write(report *loadgen.Report, w io.Writer) error {
	if err := report.WriteTable(w); err != nil {
		return err
	}
	if s.jsonFile == "" {
		return nil
	}
	f, err := os.Create(s.jsonFile)
	if err != nil {
		return fmt.Errorf("setting json: %w", err)
	}
	if err := report.WriteJSON(f); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}

// workOf returns the workload of a deployment.
func workOf(mix string, file *config.File) ([]loadgen.Work, error) {
	if mix == "" {
		mix = "registry"
		for i := range file.Routes {
			if file.Routes[i].Model == "redator" {
				mix = "association"
			}
		}
	}
	switch mix {
	case "association":
		return loadgen.Association(), nil
	case "registry":
		return loadgen.Registry(), nil
	default:
		return nil, fmt.Errorf("setting mix: %q is neither association nor registry", mix)
	}
}

// waitReady waits until each VM of the roster is ready, or returns the first that is not in time.
func waitReady(ctx context.Context, file *config.File, wait time.Duration) error {
	if wait == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	client := &http.Client{Timeout: time.Second}
	for _, m := range file.VMs {
		for !isReady(client, m.CallerAddress) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("vm %s at %s is not ready", m.Name, m.CallerAddress)
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	return nil
}

func isReady(client *http.Client, address string) bool {
	resp, err := client.Get("http://" + address + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
