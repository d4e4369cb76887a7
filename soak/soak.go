// Package soak runs VMs as child processes in front of simulated upstreams and a simulated store, injects randomly
// planned faults, and checks the history of requests, executions and responses against the documented guarantees.
package soak

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"parsleyhatch/platform"
	"parsleyhatch/standin"
	"parsleyhatch/standin/childprocess"
	"parsleyhatch/standin/faultlink"
	"parsleyhatch/standin/faultyupstream"
	"parsleyhatch/standin/rawanswer"
)

const (
	// slotsOfUnbounded is the number of slots in the registration of an upstream that runs all requests that it gets.
	slotsOfUnbounded = 16
	// firstUpstreamAge is the age of the upstreams at the start of a run.
	firstUpstreamAge = time.Minute
)

// Settings configure a soak.
type Settings struct {
	Seed   uint64
	Length time.Duration
	// Profile is ProfileLight if it is empty.
	Profile Profile
	// Deployment is the name of a deployment, DefaultDeployment if it is empty.
	Deployment string
	// Processors is the number of processors that each VM uses, that of the deployment if it is zero.
	Processors int
	// Program is the path of the gateway's executable, and SettingsDir the directory for the settings files of the
	// VMs.
	Program, SettingsDir string
	// Log receives the injected faults, the output of the VMs and all violations.
	Log io.Writer
}

// Report is the result of a soak.
type Report struct {
	Requests, Executions, Faults int
	// Succeeded is the number of requests with a complete response of status 200.
	Succeeded int
	// Retries is the window in which the retry budget was used most.
	Retries RetryPeak
	// Streams counts the streams that callers resume, empty if they don't.
	Streams string
	// Violations describes the first few violations of each invariant, with their total number.
	Violations []string
	// Order counts the streams with each form of disorder.
	Order OrderForms
}

// soak is one run.
type soak struct {
	Settings
	deployment  *deployment
	bounds      bounds
	load        load
	history     *history
	store       *standin.Store
	storeServer *http.Server
	vms         []*vmProcess
	log         *childprocess.Output
	// regionCuts and callerBehaviour are the faults between regions and of callers.
	regionCuts      regionCuts
	callerBehaviour callerBehaviour
	// faultsEnd is the begin of the time without faults.
	faultsEnd time.Time

	// writeMu guards written, the latest value of each key in the store.
	writeMu sync.Mutex
	written map[string]string

	mu        sync.Mutex
	upstreams []*registeredUpstream
	keys      []string
	version   uint64
	lastBorn  int64
	// rawEnds are the ends that raw upstreams may play.
	rawEnds rawanswer.Allowed
	// split holds the targets of the route of streams if it is split, and releases the number of times that the software version of
	// each service has changed.
	split    []platform.ConfigTarget
	releases map[string]int
	// upstreamAge is the age with which upstreams are registered: those at the start of the run have served for a while.
	upstreamAge time.Duration
	// periodBegan is the start of the first period of the deployment's traffic.
	periodBegan time.Time
}

// registeredUpstream is an upstream with the links through which VMs reach it.
type registeredUpstream struct {
	*faultyupstream.Upstream
	// links are the links of the VMs to the upstream, in the order of the VMs.
	links  faultlink.Links
	region string
	born   int64
	// startMillis is the start in Unix milliseconds, which the registration names. It is zero if software versions don't change: the
	// registration names born then.
	startMillis int64
	// slots is the number of slots that the registration names.
	slots int
	// portOf is the number of the upstream whose ports this one has taken over, zero if it has its own.
	portOf int64
	// replaced means that upstreams of another software version have taken its place.
	replaced bool
}

// Run runs a soak and returns its report.
func Run(ctx context.Context, settings Settings) (Report, error) {
	d, err := loadDeployment(settings.Deployment)
	if err != nil {
		return Report{}, err
	}
	s := newSoak(settings, d)
	defer s.close()
	if err := s.start(); err != nil {
		return Report{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, settings.Length)
	defer cancel()
	var running sync.WaitGroup
	s.startCallers(ctx, &running)
	faults := planProfile(settings.Profile, settings.Seed, settings.Length)
	s.runFaults(ctx, faults, &running)
	running.Wait()
	s.recordEndedVMs()
	return s.report(len(faults)), nil
}

// startCallers starts the callers, which end with ctx.
func (s *soak) startCallers(ctx context.Context, running *sync.WaitGroup) {
	if s.deployment.hasOwnTraffic() {
		s.startPeriod(time.Now())
		for i := range s.deployment.Regions {
			running.Go(func() { s.runTraffic(ctx, i) })
		}
		return
	}
	for i := range s.load.callers + s.load.surgeCallers {
		if s.load.resumes(i) {
			running.Go(func() { s.runStreamCaller(ctx, i) })
			continue
		}
		running.Go(func() { s.runCaller(ctx, i) })
	}
}

func newSoak(settings Settings, d *deployment) *soak {
	d.VM.Processors = cmp.Or(settings.Processors, d.VM.Processors)
	return &soak{
		Settings: settings, deployment: d, bounds: d.bounds(), load: d.load(settings.Profile), history: newHistory(), store: standin.NewStore(),
		written: map[string]string{}, releases: map[string]int{}, log: childprocess.NewOutput(settings.Log),
	}
}

func (s *soak) report(faults int) Report {
	found := s.history.check(s.bounds)
	s.history.mu.Lock() // Upstreams may still record.
	defer s.history.mu.Unlock()
	r := Report{
		Requests: len(s.history.requests), Faults: faults, Retries: s.history.retryPeak(s.bounds), Order: s.history.orderForms(),
	}
	for _, executions := range s.history.executions {
		r.Executions += len(executions)
	}
	for _, resp := range s.history.responses {
		if resp.succeeded() {
			r.Succeeded++
		}
	}
	if s.load.split || s.deployment.hasOwnTraffic() {
		r.Streams = s.history.countResumptions(s.bounds).String()
		s.history.describeResumptions(s.log)
	}
	for _, v := range found {
		_, _ = fmt.Fprintf(s.log, "violation %s\n", v)
	}
	if s.load.raw {
		writeRows(s.log, s.history.answerRows())
	}
	r.Violations = summarize(found)
	return r
}

// maxViolationsShown is the number of violations of one invariant that a report describes.
const maxViolationsShown = 3

// summarize describes the first violations of each invariant.
func summarize(found []violation) []string {
	count := map[string]int{}
	for _, v := range found {
		count[v.invariant]++
	}
	shown := map[string]int{}
	var lines []string
	for _, v := range found {
		if shown[v.invariant]++; shown[v.invariant] <= maxViolationsShown {
			lines = append(lines, fmt.Sprintf("%s (%d of %d)", v, shown[v.invariant], count[v.invariant]))
		}
	}
	return lines
}

func (s *soak) newRand(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(s.Seed, stream)) }

// start starts the store, the upstreams and the VMs.
func (s *soak) start() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen for the store: %w", err)
	}
	s.storeServer = &http.Server{Handler: http.HandlerFunc(s.serveStore)}
	go func() { _ = s.storeServer.Serve(listener) }() // Ends with close.
	for _, w := range s.deployment.Workspaces {
		for _, key := range w.Keys {
			s.keys = append(s.keys, key)
			s.history.workspaces[key] = w.Name
		}
	}
	if s.load.split {
		s.split = s.deployment.splits()[0]
		record(s.history, &s.history.splits, splitTime{split: s.split, at: time.Now()})
	}
	s.publishConfig()
	seeds, err := s.addVMs(listener.Addr().String())
	if err != nil {
		return err
	}
	if err := s.addFirstUpstreams(); err != nil {
		return err
	}
	return s.startVMs(seeds)
}

// addFirstUpstreams adds the upstreams of all regions and services.
func (s *soak) addFirstUpstreams() error {
	s.upstreamAge = firstUpstreamAge
	defer func() { s.upstreamAge = 0 }()
	for _, region := range s.deployment.Regions {
		for _, service := range s.deployment.services(s.load.split) {
			for range service.Upstreams[region.Name] {
				if err := s.addUpstream(region.Name, service.Name); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// addVMs adds the VMs, which don't run yet, with the links between them and to the store. It returns the addresses of the seeds.
func (s *soak) addVMs(store string) (seeds []string, err error) {
	faults := new(sync.Mutex)
	for _, region := range s.deployment.Regions {
		for i := range region.VMs + s.load.spareVMs {
			if s.Profile != ProfileStops {
				faults = new(sync.Mutex)
			}
			v := &vmProcess{faults: faults, name: fmt.Sprintf("%s-%d", region.Name, i), region: region.Name, deployment: s.deployment, program: s.Program, log: s.log}
			v.absent.Store(i >= region.VMs)
			if err := s.addLinks(v, store); err != nil {
				return nil, err
			}
			s.vms = append(s.vms, v)
			s.history.regions[v.name], s.history.vmsByIP[v.ip] = region.Name, v.name
			if i == 0 {
				seeds = append(seeds, v.peerLink.Address())
			}
		}
	}
	return seeds, nil
}

func (s *soak) startVMs(seeds []string) error {
	var startErr error
	for _, v := range s.vms {
		startErr = errors.Join(startErr, v.writeSettings(s.SettingsDir, seeds))
		if !v.absent.Load() {
			startErr = errors.Join(startErr, v.start())
		}
	}
	for _, v := range s.vms {
		if startErr == nil && !v.absent.Load() {
			startErr = v.waitReady()
		}
	}
	return startErr
}

// addLinks assigns the addresses of the next VM and opens the links from it to the store and from the other VMs to it. Links to
// VMs replace the addresses of VMs by those of their links, so that no VM learns an address that leads past a link.
func (s *soak) addLinks(v *vmProcess, store string) error {
	address := v.assignAddresses(len(s.vms))
	v.storeReader = s.store.NewReader(func(value string) string { return strings.ReplaceAll(value, sharedLinkHost, v.linkIP) })
	var err error
	delay := s.deployment.LinkDelayMillis.duration()
	if v.storeLink, err = s.newStoreLink(v, store); err != nil {
		return err
	}
	if v.peerLink, err = faultlink.Listen(address, faultlink.Settings{
		Target: v.peerAddress, NewRewrite: func() faultlink.RewriteFunc { return s.peerRewrite(v) }, Delays: delay > 0,
	}); err != nil || !s.load.split {
		return err
	}
	return v.openCallerLink()
}

// newStoreLink opens the link from a VM to the store, which is in the first region.
func (s *soak) newStoreLink(v *vmProcess, store string) (*faultlink.Link, error) {
	settings := faultlink.Settings{Target: store, LocalIP: v.ip}
	if v.region != s.deployment.Regions[0].Name {
		settings.Delay = s.deployment.LinkDelayMillis.duration()
	}
	return faultlink.Listen("127.0.0.1:0", settings)
}

func (s *soak) close() {
	for _, v := range s.vms {
		v.Kill()
		v.storeLink.Close()
		v.peerLink.Close()
		if v.callerLink != nil {
			v.callerLink.Close()
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range s.upstreams {
		u.shutDown()
	}
	if s.storeServer != nil {
		_ = s.storeServer.Close()
	}
}

// softwareVersion returns the version of the n-th upstream. Two versions serve side by side in each region.
func softwareVersion(n int64) string { return fmt.Sprintf("v%d", 1+n%3/2) }

// addUpstream starts an upstream of a service and registers it.
func (s *soak) addUpstream(region, service string) error { return s.addUpstreamAt(region, service, 0) }

// addUpstreamAt is addUpstream for an upstream that takes over the ports of an earlier one, or gets its own if portOf is zero.
func (s *soak) addUpstreamAt(region, service string, portOf int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastBorn++
	u, err := s.startUpstream(fmt.Sprintf("u%d", s.lastBorn), service, s.versionOf(service, s.lastBorn))
	if err != nil {
		return err
	}
	x := &registeredUpstream{Upstream: u, region: region, born: s.lastBorn, portOf: portOf}
	if err := s.linkUpstream(x); err != nil {
		return err
	}
	s.setService(x)
	s.upstreams = append(s.upstreams, x)
	s.history.mu.Lock()
	s.history.regions[u.ID], s.history.services[u.ID] = region, service
	s.history.mu.Unlock()
	s.registerUpstream(x, "ready")
	return nil
}

// setService sets what the service of a new upstream says of its start and of its slots, and its end after too many refusals.
func (s *soak) setService(u *registeredUpstream) {
	u.Room.OnCrash = func(refused []string) { go s.runOverloadCrash(u, refused) }
	service := s.deployment.service(u.Service)
	start := time.Now().Add(-s.upstreamAge)
	if s.load.split || service.WarmUpRate > 0 {
		u.startMillis = start.UnixMilli()
	}
	if service.WarmUpRate > 0 {
		record(s.history, &s.history.coldStarts, coldStart{upstream: u.ID, service: u.Service, at: start})
	}
	u.slots = cmp.Or(s.load.slots, slotsOfUnbounded)
	if service.Slots > 0 {
		u.slots, u.Room.Slots, u.Room.Queue = service.Slots, service.Slots, service.Queue
	}
}

// warmUpLeft returns the number of milliseconds for which an upstream is still cold.
func (s *soak) warmUpLeft(u *registeredUpstream) int64 {
	warmUp := int64(s.deployment.service(u.Service).WarmUpMillis)
	return max(0, u.startMillis+warmUp-time.Now().UnixMilli())
}

func (s *soak) registerUpstream(u *registeredUpstream, state string) {
	s.history.endServing(u.ID)
	if state == "ready" {
		s.history.beginServing(u.ID, originOf(u.Service, u.Version))
	}
	s.write(platform.UpstreamPrefix+u.ID, fmt.Sprintf(
		`{"service":%q,"address":%q,"zone":%q,"slots":%d,"state":%q,"born":%d,"version":%q,"warmup_left_ms":%d}`,
		u.Service, u.sharedAddress(), s.deployment.failureDomainOf(u.region), u.slots, state, cmp.Or(u.startMillis, u.born), u.Version, s.warmUpLeft(u)))
}

// write writes a value to the store, and erase deletes one. Both remember what the store must hold after a restore.
func (s *soak) write(key, value string) {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	s.written[key] = value
	s.store.Put(key, value)
}

func (s *soak) erase(key string) {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	delete(s.written, key)
	s.store.Remove(key)
}

// removeUpstream removes an upstream from the list, so that faults don't pick it.
func (s *soak) removeUpstream(u *registeredUpstream) {
	s.history.endServing(u.ID)
	s.removeFromFaults(u)
}

// removeFromFaults removes an upstream that goes on serving from the list.
func (s *soak) removeFromFaults(u *registeredUpstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.upstreams = slices.DeleteFunc(s.upstreams, func(x *registeredUpstream) bool { return x == u })
}

// pickUpstream returns the upstream at an index modulo the number of upstreams.
func (s *soak) pickUpstream(index int) *registeredUpstream { return s.someUpstreams(index, 0)[0] }

// pickKey returns the key at an index modulo the number of keys in use, and false if there is none.
func (s *soak) pickKey(index int) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.keys) == 0 {
		return "", false
	}
	return s.keys[index%len(s.keys)], true
}
