package operator

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"parsleyhatch/config"
	"parsleyhatch/standin"
)

var standinCommand = command{
	name:    "standin",
	summary: "run simulated engines, services and a simulated platform for a demo or a test",
	run:     runStandin,
}

// standins holds the simulated platform, engines and services of one deployment.
type standins struct {
	platform *standin.Platform
	engines  []*standin.Engine
	services []*standin.Service
}

func runStandin(e env) int {
	fs := newFlagSet("standin")
	configFile := fs.String("config", "", "configuration file; one engine or service is run for each upstream")
	address := fs.String("platform-listen", "127.0.0.1:9100", "address of the platform, IP:port")
	credential := fs.String("upstream-credential", "", "bearer token that upstreams require")
	tokenRate := fs.Float64("tokens-per-second", 100, "output rate of one stream, in tokens per second")
	prefillRate := fs.Float64("prefill-per-second", 20000, "rate at which an engine processes prompts, in tokens per second")
	cacheTokens := fs.Int("cache-tokens", 200000, "size of an engine's prefix cache, in tokens")
	loadLag := fs.Duration("load-lag", 500*time.Millisecond, "age of an engine's load reports")
	poisonWord := fs.String("poison-word", "", "word in a prompt that crashes an engine; empty means none")
	restartTime := fs.Duration("restart-time", 2*time.Second, "time after which a crashed engine restarts")
	readRate := fs.Float64("reads-per-second", 2000, "limit of reads from the configuration service per second, across all readers")
	if code, done := parseFlags(fs, e); done {
		return code
	}
	file, err := readValidConfig(*configFile)
	if err != nil {
		fmt.Fprintf(e.stderr, "parsleyhatch standin: setting config: %v\n", err)
		return exitUsage
	}
	s := &standins{platform: standin.NewPlatform(standin.PlatformSettings{ReadsPerSecond: *readRate})}
	defer s.close()
	settings := standin.EngineSettings{
		TokensPerSecond: *tokenRate, PrefillPerSecond: *prefillRate, CacheTokens: *cacheTokens, LoadLag: *loadLag,
		Credential: *credential, PoisonWord: *poisonWord, RestartTime: *restartTime,
	}
	if err := s.start(file, *address, settings); err != nil {
		fmt.Fprintf(e.stderr, "parsleyhatch standin: %v\n", err)
		return exitFailed
	}
	fmt.Fprintf(e.stdout, "stand-ins running: %d engines, %d services, platform at %s\n", len(s.engines), len(s.services), *address)
	stopCtx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	<-stopCtx.Done()
	return exitOK
}

// start starts an engine or a service for each upstream and the platform, and publishes the configuration.
func (s *standins) start(file *config.File, platformAddress string, settings standin.EngineSettings) error {
	for i := range file.Upstreams {
		u := &file.Upstreams[i]
		settings.MaxBatch, settings.ChecksFencing, settings.Seed = u.MaxBatch, u.ChecksFencing, uint64(i+1)
		if err := s.startUpstream(u, settings); err != nil {
			return fmt.Errorf("upstream %s: %w", u.Name, err)
		}
	}
	if err := s.platform.Listen(platformAddress); err != nil {
		return fmt.Errorf("platform: %w", err)
	}
	return s.platform.Publish(1, file)
}

func (s *standins) startUpstream(u *config.Upstream, settings standin.EngineSettings) error {
	if u.Kind == config.KindModel {
		engine := standin.NewEngine(settings)
		s.engines = append(s.engines, engine)
		return engine.Listen(u.Address)
	}
	service := standin.NewService(standin.ServiceSettings{Credential: settings.Credential})
	s.services = append(s.services, service)
	return service.Listen(u.Address)
}

func (s *standins) close() {
	for _, engine := range s.engines {
		engine.Close()
	}
	for _, service := range s.services {
		service.Close()
	}
	s.platform.Close()
}
