// Package metrics holds the measured values of a VM, built on tally and exposed for scraping in the
// Prometheus text format.
package metrics

import (
	"io"
	"net/http"
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

// Request counts a finished request.
func (m *Metrics) Request(route, code, ran string, forwarded bool, took time.Duration, tokens int64) {
	tags := map[string]string{"route": route, "code": code, "ran": ran}
	scope := m.scope.Tagged(tags)
	scope.Counter("requests").Inc(1)
	if forwarded {
		scope.Counter("requests_sent_away").Inc(1)
	}
	scope.Counter("answer_tokens").Inc(tokens)
	scope.Histogram("request_duration", latencyBuckets).RecordDuration(took)
}

// FirstToken records the time from arrival to the first byte of an answer.
func (m *Metrics) FirstToken(route string, took time.Duration) {
	m.scope.Tagged(map[string]string{"route": route}).Histogram("first_token", latencyBuckets).RecordDuration(took)
}

// Count adds to a counter without tags.
func (m *Metrics) Count(name string, n int64) { m.scope.Counter(name).Inc(n) }

// Gauge sets a value without tags.
func (m *Metrics) Gauge(name string, v float64) { m.scope.Gauge(name).Update(v) }
