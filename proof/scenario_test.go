package proof

import (
	"context"
	"flag"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"parsleyhatch/config"
	"parsleyhatch/gateway"
	"parsleyhatch/loadgen"
	"parsleyhatch/standin"
)

var (
	scenarioSeeds = flag.Int("scenario.seeds", 3, "seeds of each scenario")
	scenarioTime  = flag.Duration("scenario.time", 15*time.Second, "time over which requests arrive")
	scenarioRate  = flag.Float64("scenario.rate", 60, "requests a second over all workspaces")
	scenarioFirst = flag.Int("scenario.first", 1, "first seed")
)

// rateFactor raises the example workspaces' rates, so that the engines and not the rates limit.
const rateFactor = 6

// fillTime is the time in which the buckets of a new fleet fill; the measure of refusals within the
// rate starts with full ones.
const fillTime = 15 * time.Second

// scenarioFleet is a deployment of the examples with emulated links.
type scenarioFleet struct {
	*fleet
	upstreams *standin.Fleet
	wan       *standin.WAN
	keys      map[string]string
	work      []loadgen.RequestType
}

// scenario changes the load, and what happens during a run.
type scenario struct {
	name string
	// load changes the workspaces' arrival rates.
	load func([]loadgen.Workspace)
	// during runs beside the load; the load takes the given time.
	during func(*scenarioFleet, time.Duration)
	// longer multiplies the time over which requests arrive; zero is one.
	longer time.Duration
}

func scenarios() []scenario {
	return []scenario{
		{name: "steady"},
		{name: "offset peaks", load: offsetPeaks},
		{name: "tenant at 5x", load: func(w []loadgen.Workspace) { w[len(w)-2].RequestsPerSecond *= 5 }},
		{name: "region lost, returns cold", during: loseRegion},
		{name: "partition", during: partition},
		{name: "rolling replacement", during: replaceAll, longer: 6},
		{name: "configuration down", during: platformDown},
	}
}

// offsetPeaks gives the first region twice its load and the last one a fifth.
func offsetPeaks(list []loadgen.Workspace) {
	factors := map[string]float64{"porto-a": 2, "faro-a": 0.2, "portroyal-1": 2, "negril-1": 0.2}
	for i := range list {
		if f, ok := factors[list[i].Region]; ok {
			list[i].RequestsPerSecond *= f
		}
	}
}

// loseRegion crashes all engines of the first region for a third of the time.
func loseRegion(f *scenarioFleet, d time.Duration) {
	time.Sleep(d / 3)
	end := time.Now().Add(d / 3)
	region := f.file.Regions[0].Name
	for time.Now().Before(end) {
		for i := range f.file.Upstreams {
			u := &f.file.Upstreams[i]
			if e := f.upstreams.Engines[u.Name]; e != nil && u.Region == region {
				e.Crash()
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// partition cuts the first region off for a third of the time.
func partition(f *scenarioFleet, d time.Duration) {
	time.Sleep(d / 3)
	for _, r := range f.file.Regions[1:] {
		f.wan.CutBoth(f.file.Regions[0].Name, r.Name)
	}
	time.Sleep(d / 3)
	for _, r := range f.file.Regions[1:] {
		f.wan.HealBoth(f.file.Regions[0].Name, r.Name)
	}
}

// replaceAll stops each VM gracefully and starts its successor, one after the other when the last one
// is ready.
func replaceAll(f *scenarioFleet, _ time.Duration) {
	for i := range f.file.VMs {
		slot := f.file.VMs[i].Name
		n := f.nodes[slot]
		n.gateway.Drain(context.Background())
		f.kill(slot)
		next := f.startVM(slot)
		f.waitFor("successor of "+slot+" ready", func() bool { return next.gateway.Ready() })
	}
}

// platformDown stops the configuration service for most of the time.
func platformDown(f *scenarioFleet, d time.Duration) {
	f.setMode(standin.ModeDown)
	time.Sleep(d)
	f.setMode(standin.ModeUp)
}

func (f *scenarioFleet) setMode(m standin.Mode) {
	f.t.Helper()
	if err := f.platform.SetMode(m, 0); err != nil {
		f.t.Fatal(err)
	}
}

// startScenarioFleet starts an example deployment in this process.
func startScenarioFleet(b *testing.B, name string, work []loadgen.RequestType) *scenarioFleet {
	b.Helper()
	data, err := os.ReadFile("../config/examples/" + name + ".json")
	if err != nil {
		b.Fatal(err)
	}
	file, err := config.Parse(data)
	if err != nil {
		b.Fatal(err)
	}
	for i := range file.Workspaces {
		file.Workspaces[i].Rate *= rateFactor
	}
	keyData, err := os.ReadFile("../config/examples/" + name + ".keys")
	if err != nil {
		b.Fatal(err)
	}
	f := &scenarioFleet{work: work, wan: standin.NewWAN(standin.RegionsOf(file), file.Links)}
	b.Cleanup(f.wan.Close)
	if f.keys, err = loadgen.ParseKeys(keyData); err != nil {
		b.Fatal(err)
	}
	f.upstreams, err = standin.StartFleet(file, standin.FleetSettings{
		Engine: standin.EngineSettings{
			TokensPerSecond: 100, PrefillPerSecond: 20000, CacheTokens: 20000, LoadLag: 500 * time.Millisecond,
			CacheEventDelay: time.Second, CacheEventLoss: 0.05, Credential: credential, RestartTime: time.Second, PieceTokens: 4,
		},
		Service: standin.ServiceSettings{Credential: credential, Latency: 5 * time.Millisecond},
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(f.upstreams.Close)
	f.fleet = startFleet(b, fleetOptions{
		regions: []string{"unused"},
		edit:    func(c *config.File) { *c = *file },
		prepare: func(g *gateway.Gateway) {
			dial := f.wan.Dialer(g.Self.Region, nil)
			g.Endpoint.DialFunc = func(ctx context.Context, address string) (net.Conn, error) { return dial(ctx, address) }
		},
	})
	time.Sleep(fillTime)
	return f
}

// runScenario sends one seeded load.
func (f *scenarioFleet) runScenario(b *testing.B, s scenario, seed uint64) *loadgen.Report {
	b.Helper()
	duration := *scenarioTime * max(s.longer, 1)
	settings := loadgen.Settings{
		Workspaces:   loadgen.WorkspacesFromConfig(f.file, f.keys, *scenarioRate),
		RequestTypes: f.work, Duration: duration, Seed: seed, UpstreamTokens: f.upstreams.Processed,
		MaxInFlight: 4000,
	}
	if s.load != nil {
		s.load(settings.Workspaces)
	}
	for i := range f.file.VMs {
		settings.DirectoryAddresses = append(settings.DirectoryAddresses, f.file.VMs[i].CallerAddress)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		if s.during != nil {
			s.during(f, duration)
		}
	}()
	report, err := loadgen.Run(context.Background(), settings)
	<-done
	if err != nil {
		b.Fatal(err)
	}
	return report
}

// BenchmarkScenarios prints the five measures for both deployments in each scenario, with real VMs,
// stand-ins and emulated links in one process: mean and range over the seeds.
func BenchmarkScenarios(b *testing.B) {
	deployments := []struct {
		name string
		work []loadgen.RequestType
	}{{"association", loadgen.AssociationWorkload()}, {"registry", loadgen.RegistryWorkload()}}
	for _, d := range deployments {
		for _, s := range scenarios() {
			b.Run(d.name+"/"+strings.ReplaceAll(s.name, " ", "-"), func(b *testing.B) {
				if b.N > 1 {
					b.Skip("one run is enough; use -benchtime 1x")
				}
				f := startScenarioFleet(b, d.name, ticketsOnly(d.work))
				var list []loadgen.Measures
				for i := range *scenarioSeeds {
					report := f.runScenario(b, s, uint64(*scenarioFirst+i))
					list = append(list, loadgen.MeasuresOf(report, f.file.Workspaces[len(f.file.Workspaces)-2].Name))
					for _, p := range report.Problems {
						b.Log(p)
					}
					b.Log(report.Refusals)
				}
				if err := loadgen.WriteMeasures(os.Stdout, d.name+", "+s.name, list); err != nil {
					b.Fatal(err)
				}
			})
		}
	}
}

// ticketsOnly lets all calls that may not be repeated use tickets: opaque keys are refused for the
// retry horizon after a start, which would hide everything else.
func ticketsOnly(work []loadgen.RequestType) []loadgen.RequestType {
	for i := range work {
		work[i].TicketShare = 1
	}
	return work
}
