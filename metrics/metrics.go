// Package metrics holds the measured values of a VM, built on tally and exposed for scraping in the
// Prometheus text format.
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

// reportInterval is the period at which tally passes values to the scrape page.
const reportInterval = time.Second

// latencyBuckets cover a first token within a millisecond up to long drafts.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 18)

// Metrics are the values of one VM.
type Metrics struct {
	scope    tally.Scope
	closer   io.Closer
	registry *prometheus.Registry
	// outcomes holds *outcomeValues by outcomeKey, firstTokens tally.Histogram by route, and estimates
	// *estimateValues by service.
	outcomes    sync.Map
	firstTokens sync.Map
	estimates   sync.Map
}

// New returns metrics whose values carry the VM's slot and region.
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

// Handler serves the values to scrapers.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// outcomeKey holds the tags of a finished request.
type outcomeKey struct{ route, code, ran string }

// outcomeValues are the values with the tags of one outcomeKey.
type outcomeValues struct {
	scope    tally.Scope
	requests tally.Counter
	tokens   tally.Counter
	duration tally.Histogram
}

// Request counts a finished request.
func (m *Metrics) Request(route, code, ran string, forwarded bool, took time.Duration, tokens int64) {
	v := m.outcome(outcomeKey{route: route, code: code, ran: ran})
	v.requests.Inc(1)
	if forwarded {
		v.scope.Counter("requests_sent_away").Inc(1)
	}
	v.tokens.Inc(tokens)
	v.duration.RecordDuration(took)
}

// outcome returns the values of a key. They are kept, since tally builds a map, a sorted key and a
// lock for each look-up of tagged values. Two requests that create them get the same ones of tally.
func (m *Metrics) outcome(key outcomeKey) *outcomeValues {
	if v, ok := m.outcomes.Load(key); ok {
		return v.(*outcomeValues)
	}
	scope := m.scope.Tagged(map[string]string{"route": key.route, "code": key.code, "ran": key.ran})
	v, _ := m.outcomes.LoadOrStore(key, &outcomeValues{
		scope:    scope,
		requests: scope.Counter("requests"),
		tokens:   scope.Counter("answer_tokens"),
		duration: scope.Histogram("request_duration", latencyBuckets),
	})
	return v.(*outcomeValues)
}

// FirstToken records the time from arrival to the first byte of an answer.
func (m *Metrics) FirstToken(route string, took time.Duration) {
	v, ok := m.firstTokens.Load(route)
	if !ok {
		scope := m.scope.Tagged(map[string]string{"route": route})
		v, _ = m.firstTokens.LoadOrStore(route, scope.Histogram("first_token", latencyBuckets))
	}
	v.(tally.Histogram).RecordDuration(took)
}

// estimateValues are the errors of expected times to the first token of a service.
type estimateValues struct {
	early, late tally.Histogram
}

// FirstTokenError records by how much a first token came earlier or later than expected when its upstream was
// chosen.
func (m *Metrics) FirstTokenError(service string, expected, took time.Duration) {
	v, ok := m.estimates.Load(service)
	if !ok {
		scope := m.scope.Tagged(map[string]string{"service": service})
		v, _ = m.estimates.LoadOrStore(service, &estimateValues{
			early: scope.Histogram("first_token_early", latencyBuckets),
			late:  scope.Histogram("first_token_late", latencyBuckets),
		})
	}
	values := v.(*estimateValues)
	if took > expected {
		values.late.RecordDuration(took - expected)
		return
	}
	values.early.RecordDuration(expected - took)
}

// Count adds to a counter without tags.
func (m *Metrics) Count(name string, n int64) { m.scope.Counter(name).Inc(n) }

// Gauge sets a value without tags.
func (m *Metrics) Gauge(name string, v float64) { m.scope.Gauge(name).Update(v) }
