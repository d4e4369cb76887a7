// Package metrics records the metrics of a VM with tally and exposes them in the Prometheus text format.
package metrics

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is how often tally copies recorded values to the Prometheus registry.
const reportInterval = time.Second

// latencyBuckets range from 1 ms, a fast first token, to 131 s, a long generated answer.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 18)

// Metrics are the values of one VM.
type Metrics struct {
	scope    tally.Scope
	closer   io.Closer
	registry *prometheus.Registry
	// beyondShare counts requests by workspace, up to maxBeyondShareWorkspaces of them.
	beyondShare beyondShare
	// outcomes maps outcomeKey to *outcomeMetrics, firstTokens maps routes to tally.Histogram, tokenErrors
	// maps services to *firstTokenErrors, and budgetRequests maps services to tally.Counter.
	outcomes       sync.Map
	firstTokens    sync.Map
	tokenErrors    sync.Map
	budgetRequests sync.Map
}

// New returns metrics that are labeled with the VM's slot and region.
func New(slot, region string) *Metrics {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reporter := tallyprom.NewReporter(tallyprom.Options{Registerer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "parsleyhatch",
		Tags:                   map[string]string{"slot": slot, "region": region},
		CachedReporter:         reporter,
		Separator:              tallyprom.DefaultSeparator,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{scope: scope, closer: closer, registry: registry}
}

// Close stops reporting.
func (m *Metrics) Close() error { return m.closer.Close() }

// Handler returns the HTTP handler that Prometheus scrapes.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// outcomeKey holds the tags of the metrics of finished requests.
type outcomeKey struct{ route, code, ran string }

// outcomeMetrics are the metrics with the tags of one outcomeKey.
type outcomeMetrics struct {
	scope    tally.Scope
	requests tally.Counter
	tokens   tally.Counter
	duration tally.Histogram
}

// ObserveRequest records a finished request: its outcome, duration and number of answer tokens.
func (m *Metrics) ObserveRequest(route, code, ran string, forwarded bool, elapsed time.Duration, tokens int64) {
	v := m.outcome(outcomeKey{route: route, code: code, ran: ran})
	v.requests.Inc(1)
	if forwarded {
		v.scope.Counter("requests_sent_away").Inc(1)
	}
	v.tokens.Inc(tokens)
	v.duration.RecordDuration(elapsed)
}

// outcome returns the metrics of a key. They are cached, since each lookup of tagged metrics in tally builds
// a map and a sorted key and takes a lock. Concurrent requests that create the same metrics get the same
// instances from tally.
func (m *Metrics) outcome(key outcomeKey) *outcomeMetrics {
	if v, ok := m.outcomes.Load(key); ok {
		return v.(*outcomeMetrics)
	}
	scope := m.scope.Tagged(map[string]string{"route": key.route, "code": key.code, "ran": key.ran})
	v, _ := m.outcomes.LoadOrStore(key, &outcomeMetrics{
		scope:    scope,
		requests: scope.Counter("requests"),
		tokens:   scope.Counter("answer_tokens"),
		duration: scope.Histogram("request_duration", latencyBuckets),
	})
	return v.(*outcomeMetrics)
}

// ObserveFirstToken records the time from the arrival of a request to the first byte of its answer.
func (m *Metrics) ObserveFirstToken(route string, elapsed time.Duration) {
	v, ok := m.firstTokens.Load(route)
	if !ok {
		scope := m.scope.Tagged(map[string]string{"route": route})
		v, _ = m.firstTokens.LoadOrStore(route, scope.Histogram("first_token", latencyBuckets))
	}
	v.(tally.Histogram).RecordDuration(elapsed)
}

// firstTokenErrors are the metrics of the difference between the actual and the expected time to the first
// token of a service.
type firstTokenErrors struct {
	early, late tally.Histogram
}

// ObserveFirstTokenError records how much earlier or later the first token arrived than was expected when the upstream
// was selected.
func (m *Metrics) ObserveFirstTokenError(service string, expected, elapsed time.Duration) {
	v, ok := m.tokenErrors.Load(service)
	if !ok {
		scope := m.scope.Tagged(map[string]string{"service": service})
		v, _ = m.tokenErrors.LoadOrStore(service, &firstTokenErrors{
			early: scope.Histogram("first_token_early", latencyBuckets),
			late:  scope.Histogram("first_token_late", latencyBuckets),
		})
	}
	values := v.(*firstTokenErrors)
	if elapsed > expected {
		values.late.RecordDuration(elapsed - expected)
		return
	}
	values.early.RecordDuration(expected - elapsed)
}

// CountBudgetRequest counts a request that earns a share of a retry at its service.
func (m *Metrics) CountBudgetRequest(service string) {
	v, ok := m.budgetRequests.Load(service)
	if !ok {
		scope := m.scope.Tagged(map[string]string{"service": service})
		v, _ = m.budgetRequests.LoadOrStore(service, scope.Counter("retry_budget_requests"))
	}
	v.(tally.Counter).Inc(1)
}

// CountRetry counts a decision about another attempt of a request to a service: its cause, and whether the retry budget was
// charged.
func (m *Metrics) CountRetry(service, cause, budget string) {
	m.scope.Tagged(map[string]string{"service": service, "cause": cause, "budget": budget}).Counter("retries").Inc(1)
}

// CountStreamEnd counts a stream whose end its last answer does not show, by what is known of the end.
func (m *Metrics) CountStreamEnd(evidence string) {
	m.scope.Tagged(map[string]string{"evidence": evidence}).Counter("stream_ends_checked").Inc(1)
}

// CountMemoryFull counts data of requests for which there was no memory.
func (m *Metrics) CountMemoryFull(data string) {
	m.scope.Tagged(map[string]string{"data": data}).Counter("memory_full").Inc(1)
}

// AddCounter adds to a counter without tags.
func (m *Metrics) AddCounter(name string, n int64) { m.scope.Counter(name).Inc(n) }

// SetSent sets the gauges of the frames of a kind that were sent to VMs, and of their bytes. peers says to which VMs.
func (m *Metrics) SetSent(kind, peers string, frames, bytes int64) {
	scope := m.scope.Tagged(map[string]string{"kind": kind, "peers": peers})
	scope.Gauge("vm_frames_sent").Update(float64(frames))
	scope.Gauge("vm_bytes_sent").Update(float64(bytes))
}

// SetGauge sets a gauge without tags.
func (m *Metrics) SetGauge(name string, v float64) { m.scope.Gauge(name).Update(v) }
