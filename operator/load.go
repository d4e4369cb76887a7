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
	summary: "send seeded open-loop load, check every response and print the measurements",
	run:     runLoad,
}

// loadSettings holds the flags of the load subcommand.
type loadSettings struct {
	configFile, keys, mix, jsonFile string
	duration, readyTimeout          time.Duration
	rate                            float64
	seed                            uint64
	showCount                       int
	ticketShare                     float64
}

func runLoad(e env) int {
	fs := newFlagSet("load")
	var s loadSettings
	fs.StringVar(&s.configFile, "config", "", "configuration file of the deployment")
	fs.StringVar(&s.keys, "keys", "", "file with one line \"workspace key\" for each workspace")
	fs.StringVar(&s.mix, "mix", "", "workload: association or registry (default: derived from the routes of the configuration)")
	fs.StringVar(&s.jsonFile, "json", "", "file to write the report to as JSON")
	fs.DurationVar(&s.duration, "duration", 10*time.Second, "time during which requests are sent")
	fs.DurationVar(&s.readyTimeout, "wait", 0, "maximum time to wait for all VMs to become ready before the load starts; 0 does not wait")
	fs.Float64Var(&s.rate, "rate", 20, "requests per second across all workspaces")
	fs.Uint64Var(&s.seed, "seed", 1, "seed of the arrival times and of the request contents")
	fs.Float64Var(&s.ticketShare, "tickets", -1, "share of non-idempotent calls that use a ticket, 0 to 1 (default: set by the mix)")
	fs.IntVar(&s.showCount, "show", 0, "number of requests to send and print one at a time before the load starts")
	if code, done := parseFlags(fs, e); done {
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
	file, err := readValidConfig(s.configFile)
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
	if err := waitUntilReady(ctx, file, s.readyTimeout); err != nil {
		return nil, err
	}
	workload, err := workloadForMix(s.mix, file)
	if err != nil {
		return nil, err
	}
	for i := range workload {
		if s.ticketShare >= 0 {
			workload[i].TicketShare = s.ticketShare
		}
	}
	settings := loadgen.Settings{
		Workspaces:   loadgen.WorkspacesFromConfig(file, keys, s.rate),
		RequestTypes: workload, Duration: s.duration, Seed: s.seed,
	}
	for _, vm := range file.VMs {
		settings.DirectoryAddresses = append(settings.DirectoryAddresses, vm.CallerAddress)
	}
	if s.showCount > 0 {
		if err := loadgen.PrintSamples(ctx, settings, s.showCount, w); err != nil {
			return nil, err
		}
	}
	report, err := loadgen.Run(ctx, settings)
	if err != nil {
		return nil, err
	}
	return report, s.writeReport(report, w)
}

func (s *loadSettings) writeReport(report *loadgen.Report, w io.Writer) error {
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

// workloadForMix returns the workload of a mix. An empty mix selects association if the configuration has a route
// for the model redator, and registry otherwise.
func workloadForMix(mix string, file *config.File) ([]loadgen.RequestType, error) {
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
		return loadgen.AssociationWorkload(), nil
	case "registry":
		return loadgen.RegistryWorkload(), nil
	default:
		return nil, fmt.Errorf("setting mix: %q is neither association nor registry", mix)
	}
}

// waitUntilReady waits until all VMs of the configuration are ready. After the timeout it returns an error that
// names the first VM that is not ready. A zero timeout skips the wait.
func waitUntilReady(ctx context.Context, file *config.File, timeout time.Duration) error {
	if timeout == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	client := &http.Client{Timeout: time.Second}
	for _, vm := range file.VMs {
		for !isReady(client, vm.CallerAddress) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("vm %s at %s is not ready", vm.Name, vm.CallerAddress)
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
