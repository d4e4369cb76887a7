package standin

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// EngineSettings configures an engine. A zero rate, size or duration means no limit or no delay.
type EngineSettings struct {
	// MaxBatch is the number of streams that run at once; 0 means 8.
	MaxBatch int
	// TokensPerSecond is the rate of one stream.
	TokensPerSecond float64
	// PrefillPerSecond is the rate at which prompt tokens are read.
	PrefillPerSecond float64
	// PieceTokens is the number of tokens in one event; 0 means 1.
	PieceTokens int
	// CacheTokens is the size of the prefix cache; 0 means no cache.
	CacheTokens int
	// KVBytesPerToken is the size of exported KV cache; 0 means 16.
	KVBytesPerToken int
	// LoadLag is the age of each load report.
	LoadLag time.Duration
	// CacheEventDelay is the time until a cache event becomes visible.
	CacheEventDelay time.Duration
	// CacheEventLoss is the probability that a cache event never becomes visible.
	CacheEventLoss float64
	// ChecksFencing makes the engine refuse orders with an old fencing number.
	ChecksFencing bool
	// Credential is the platform credential that every call must carry; empty means none.
	Credential string
	// Models are the loaded models; empty means that every model is served.
	Models []string
	// Model, Version, Adapters and Role are what a placed engine runs at first. An engine with Placed set
	// reports them, and serves only requests of its model.
	Placed   bool
	Model    string
	Version  string
	Adapters []string
	Role     string
	// WeightStore is the base URL of the platform that weights are read from; empty means none.
	WeightStore string
	// LoadTime is added to the time that a load takes.
	LoadTime time.Duration
	// PoisonWord crashes the engine when a prompt contains it; empty means none.
	PoisonWord string
	// RestartTime is how long the engine is down after a crash.
	RestartTime time.Duration
	// Seed fixes the lost cache events and the boot ids.
	Seed uint64
}

// Engine is a simulated model engine with continuous batching. It is an http.Handler.
type Engine struct {
	settings EngineSettings
	mux      *http.ServeMux
	host     host

	mu      sync.Mutex
	rng     *rand.Rand
	closed  bool
	down    bool
	up      chan struct{} // Closed unless a restart is pending.
	bootID  string
	life    context.Context // Ends at a crash.
	kill    context.CancelFunc
	thawed  chan struct{} // Closed unless the engine is frozen.
	batch   batch
	cache   prefixCache
	loads   loadHistory
	streams map[string]map[*stream]bool
	models  map[string]bool
	fencing uint64
	orders  []Order
	refused []Order
	loaded  loadedModel
	// stop ends when the engine is closed, which waits for loading.
	stop    context.Context
	end     context.CancelFunc
	loading sync.WaitGroup
	crashes int
	ran     map[string]int
	// processed counts the prompt tokens read and the answer tokens generated.
	processed int64
	authSeen  map[string]int
}

// stream is one running or waiting completion.
type stream struct {
	cancel context.CancelFunc
	life   context.Context // The engine's life that the stream belongs to.
	ran    bool            // The stream has a batch slot.
}

// NewEngine returns an engine that is up.
func NewEngine(settings EngineSettings) *Engine {
	settings.MaxBatch = orDefault(settings.MaxBatch, 8)
	settings.PieceTokens = orDefault(settings.PieceTokens, 1)
	settings.KVBytesPerToken = orDefault(settings.KVBytesPerToken, 16)
	e := &Engine{
		settings: settings,
		rng:      rand.New(rand.NewPCG(settings.Seed, 1)),
		streams:  map[string]map[*stream]bool{},
		models:   map[string]bool{},
		ran:      map[string]int{},
		authSeen: map[string]int{},
		thawed:   make(chan struct{}),
		up:       make(chan struct{}),
	}
	e.stop, e.end = context.WithCancel(context.Background())
	e.loaded = loadedModel{Model: settings.Model, Version: settings.Version, Adapters: settings.Adapters, Role: settings.Role}
	close(e.thawed)
	close(e.up)
	for _, m := range settings.Models {
		e.models[m] = true
	}
	e.boot()
	e.mux = e.routes()
	return e
}

func orDefault(value, fallback int) int {
	if value <= 0 {
		return fallback
	}
	return value
}

func (e *Engine) routes() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serveCompletion)
	mux.HandleFunc("DELETE /v1/streams/{id}", e.serveCancel)
	mux.HandleFunc("GET /v1/load", e.serveLoad)
	mux.HandleFunc("GET /v1/cacheevents", e.serveCacheEvents)
	mux.HandleFunc("GET /v1/orders/last", e.serveLastOrder)
	mux.HandleFunc("POST /v1/orders", e.serveOrder)
	mux.HandleFunc("GET /v1/kv/{prefix}", e.serveExportKV)
	mux.HandleFunc("PUT /v1/kv/{prefix}", e.serveImportKV)
	return mux
}

// ServeHTTP serves one call. A call to an engine that is down is aborted without an answer.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	auth := r.Header.Get("Authorization")
	e.mu.Lock()
	e.authSeen[auth]++
	down := e.down
	e.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	if !e.waitThawed(r.Context()) {
		return
	}
	if e.settings.Credential != "" && auth != "Bearer "+e.settings.Credential {
		refuse(w, http.StatusUnauthorized, "platform credential is missing or wrong")
		return
	}
	e.mux.ServeHTTP(w, r)
}

// Listen serves at the address, IP:port; port 0 picks a free one.
func (e *Engine) Listen(address string) error { return e.host.listen(e, address) }

// Address returns the address that Listen opened, IP:port.
func (e *Engine) Address() string { return e.host.addr() }

// Close stops the engine, cuts its connections and waits for a pending restart.
func (e *Engine) Close() {
	e.mu.Lock()
	e.closed = true
	e.kill()
	e.end()
	e.mu.Unlock()
	e.host.close()
	e.loading.Wait()
	e.waitUp()
}

// waitUp waits for the end of a pending restart.
func (e *Engine) waitUp() {
	e.mu.Lock()
	up := e.up
	e.mu.Unlock()
	<-up
}

// Crash aborts all connections, as a prompt with the poison word does.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down || e.closed {
		return
	}
	e.down = true
	e.crashes++
	e.kill()
	e.up = make(chan struct{})
	go e.runRestart(e.up)
}

func (e *Engine) runRestart(up chan struct{}) {
	defer close(up)
	e.host.suspend()
	time.Sleep(e.settings.RestartTime)
	e.mu.Lock()
	e.boot()
	e.down = false
	e.mu.Unlock()
	e.host.resume()
}

// boot starts a new life with an empty cache; mu is held or e is not yet shared.
func (e *Engine) boot() {
	e.bootID = fmt.Sprintf("%016x", e.rng.Uint64())
	e.life, e.kill = context.WithCancel(context.Background())
	if e.closed {
		e.kill()
	}
	e.batch = batch{size: e.settings.MaxBatch}
	e.cache.reset(e.settings.CacheTokens)
	e.loads = loadHistory{}
	e.streams = map[string]map[*stream]bool{}
	e.recordLoad(time.Now())
}

// Freeze stops all progress without closing connections.
func (e *Engine) Freeze() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if isClosed(e.thawed) {
		e.thawed = make(chan struct{})
	}
}

// Thaw ends Freeze.
func (e *Engine) Thaw() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !isClosed(e.thawed) {
		close(e.thawed)
	}
}

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// waitThawed returns false if the context ended first.
func (e *Engine) waitThawed(ctx context.Context) bool {
	e.mu.Lock()
	thawed := e.thawed
	e.mu.Unlock()
	select {
	case <-thawed:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// Crashes returns the number of crashes so far.
func (e *Engine) Crashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashes
}

// AuthorizationsSeen counts the Authorization headers of all calls.
func (e *Engine) AuthorizationsSeen() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.authSeen)
}

// Ran counts how often each request id entered the batch.
func (e *Engine) Ran() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.ran)
}

// Processed returns the tokens that the engine has worked on: prompts without their cached part, the
// tokens re-read by a resume, and answers.
func (e *Engine) Processed() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.processed
}

// Running lists the request ids in the batch now, with the number of their streams.
func (e *Engine) Running() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	running := map[string]int{}
	for id, set := range e.streams {
		for s := range set {
			if s.ran {
				running[id]++
			}
		}
	}
	return running
}
