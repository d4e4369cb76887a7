package standin

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"parsleyhatch/config"
)

const (
	// MaxValueBytes bounds a value of the configuration service.
	MaxValueBytes = 1 << 20
	// HeadKey holds the head of the published configuration.
	HeadKey = "parsleyhatch/head"
	// PartKey starts the keys of the parts; the part's digest follows.
	PartKey = "parsleyhatch/parts/"

	// keptVersions bounds the older versions of a value for the stale mode.
	keptVersions = 16
	// entriesPerPart keeps a part of the published configuration well below MaxValueBytes.
	entriesPerPart = 1000
)

// Mode is how the configuration service behaves.
type Mode string

// Modes of the configuration service.
const (
	ModeUp    Mode = "up"
	ModeDown  Mode = "down"
	ModeStale Mode = "stale"
)

// PlatformSettings configures a platform. A zero rate or duration means no limit or no delay.
type PlatformSettings struct {
	// ReadsPerSecond is the budget of configuration reads over all readers.
	ReadsPerSecond float64
	// ReadBurst is the number of reads that may come at once; 0 means one second's budget.
	ReadBurst float64
	// VMLag is the age of the VM list.
	VMLag time.Duration
	// WeightBytesPerSecond is the rate of the weight store over all readers.
	WeightBytesPerSecond float64
}

// VMState is one entry of the VM list.
type VMState struct {
	Name string `json:"name"`
	// State is "live" or "leaving".
	State string `json:"state"`
}

// Platform simulates the configuration service, the VM list and the weight store. It is an
// http.Handler.
type Platform struct {
	settings PlatformSettings
	mux      *http.ServeMux
	host     host
	weight   pacer

	mu       sync.Mutex
	mode     Mode
	staleAt  uint64
	revision uint64
	values   map[string][]version
	changed  chan struct{} // Closed and replaced at each change of values or mode.
	closed   chan struct{}
	vms      []vmList
	weights  map[string]int64
	calls    int
	refused  int
	tokens   float64
	filled   time.Time
}

// version is a value since a revision.
type version struct {
	revision uint64
	data     []byte
}

// vmList is the VM list since a time.
type vmList struct {
	since time.Time
	list  []VMState
}

// NewPlatform returns a platform that is up and has no values.
func NewPlatform(settings PlatformSettings) *Platform {
	if settings.ReadBurst <= 0 {
		settings.ReadBurst = settings.ReadsPerSecond
	}
	p := &Platform{
		settings: settings,
		weight:   pacer{perSecond: settings.WeightBytesPerSecond},
		mode:     ModeUp,
		values:   map[string][]version{},
		changed:  make(chan struct{}),
		closed:   make(chan struct{}),
		weights:  map[string]int64{},
		tokens:   settings.ReadBurst,
		filled:   time.Now(),
	}
	p.mux = p.routes()
	return p
}

func (p *Platform) routes() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/values/{key...}", p.counted(p.serveValue))
	mux.HandleFunc("GET /v1/watch", p.counted(p.serveWatch))
	mux.HandleFunc("GET /v1/vms", p.serveVMs)
	mux.HandleFunc("GET /v1/weights/{name}", p.serveWeights)
	mux.HandleFunc("PUT /standin/values/{key...}", p.serveSetValue)
	mux.HandleFunc("PUT /standin/mode", p.serveSetMode)
	mux.HandleFunc("PUT /standin/vms", p.serveSetVMs)
	mux.HandleFunc("PUT /standin/weights/{name}", p.serveSetWeights)
	mux.HandleFunc("GET /standin/calls", p.serveCalls)
	return mux
}

// ServeHTTP serves one call.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

// Listen serves at the address, IP:port; port 0 picks a free one.
func (p *Platform) Listen(address string) error { return p.host.listen(p, address) }

// Address returns the address that Listen opened, IP:port.
func (p *Platform) Address() string { return p.host.addr() }

// Close ends waiting watches and stops the platform.
func (p *Platform) Close() {
	p.mu.Lock()
	select {
	case <-p.closed:
	default:
		close(p.closed)
	}
	p.mu.Unlock()
	p.host.close()
}

// Set stores a value and returns its revision. A value above MaxValueBytes is an error.
func (p *Platform) Set(key string, data []byte) (uint64, error) {
	if len(data) > MaxValueBytes {
		return 0, fmt.Errorf("value %s: %d bytes are above the limit of %d", key, len(data), MaxValueBytes)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	kept := append(p.values[key], version{revision: p.revision, data: slices.Clone(data)})
	if len(kept) > keptVersions {
		kept = kept[len(kept)-keptVersions:]
	}
	p.values[key] = kept
	p.signal()
	return p.revision, nil
}

// signal wakes the watches; mu is held.
func (p *Platform) signal() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Revision returns the revision of the last change.
func (p *Platform) Revision() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.revision
}

// SetMode changes the behaviour of the configuration service. In ModeStale it serves the values as
// they were at the revision; 0 means as they are now.
func (p *Platform) SetMode(mode Mode, revision uint64) error {
	if !slices.Contains([]Mode{ModeUp, ModeDown, ModeStale}, mode) {
		return fmt.Errorf("unknown mode %q", mode)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	p.staleAt = revision
	if revision == 0 {
		p.staleAt = p.revision
	}
	p.signal()
	return nil
}

// SetVMs replaces the VM list, which readers see after the lag.
func (p *Platform) SetVMs(list []VMState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms = append(p.vms, vmList{since: time.Now(), list: slices.Clone(list)})
}

// SetWeights adds weights of a size in bytes to the weight store.
func (p *Platform) SetWeights(name string, bytes int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.weights[name] = bytes
}

// Calls returns the configuration calls so far, including refused ones, and the refused ones.
func (p *Platform) Calls() (all, refused int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls, p.refused
}

// Publish stores the parts of a configuration and then its head, so that a head never names a part
// that is missing.
func (p *Platform) Publish(number uint64, file *config.File) error {
	parts, err := config.Split(file, entriesPerPart)
	if err != nil {
		return fmt.Errorf("publish version %d: %w", number, err)
	}
	for _, part := range parts {
		if _, err := p.Set(PartKey+config.PartDigest(part), part); err != nil {
			return fmt.Errorf("publish version %d: %w", number, err)
		}
	}
	head, err := json.Marshal(config.NewHead(number, parts))
	if err != nil {
		return fmt.Errorf("publish version %d: %w", number, err)
	}
	_, err = p.Set(HeadKey, head)
	return err
}

// errDown is returned for reads while the configuration service is down.
var errDown = errors.New("configuration service is down")

// visible returns the revision that readers see; mu is held.
func (p *Platform) visible() (uint64, error) {
	switch p.mode {
	case ModeDown:
		return 0, errDown
	case ModeStale:
		return p.staleAt, nil
	default:
		return p.revision, nil
	}
}

// read returns a value and the revision that the read saw.
func (p *Platform) read(key string) (data []byte, revision uint64, found bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	revision, err = p.visible()
	if err != nil {
		return nil, 0, false, err
	}
	versions := p.values[key]
	for i := len(versions) - 1; i >= 0; i-- {
		if versions[i].revision <= revision {
			return versions[i].data, revision, true, nil
		}
	}
	return nil, revision, false, nil
}

// changes returns the keys changed after a revision, and a channel that is closed at the next change.
func (p *Platform) changes(after uint64) (Watch, <-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	revision, err := p.visible()
	if err != nil {
		return Watch{}, nil, err
	}
	watch := Watch{Revision: revision, Keys: []string{}}
	for key, versions := range p.values {
		changed := func(v version) bool { return v.revision > after && v.revision <= revision }
		if slices.ContainsFunc(versions, changed) {
			watch.Keys = append(watch.Keys, key)
		}
	}
	slices.Sort(watch.Keys)
	return watch, p.changed, nil
}

// spend takes one call from the budget.
func (p *Platform) spend(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	budget := p.settings.ReadsPerSecond
	if budget <= 0 {
		return true
	}
	p.tokens = min(p.settings.ReadBurst, p.tokens+now.Sub(p.filled).Seconds()*budget)
	p.filled = now
	if p.tokens < 1 {
		p.refused++
		return false
	}
	p.tokens--
	return true
}
