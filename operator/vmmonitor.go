package operator

import (
	"context"
	"fmt"
	"os"
	"reflect"
	"runtime/debug"
	"strings"
	"time"

	"parsleyhatch/event"
	"parsleyhatch/logbuf"
	"parsleyhatch/platform"
	"parsleyhatch/vm"
	"parsleyhatch/vmwire"
)

// monitorInterval is the interval at which a VM checks its settings file and its readiness for changes and updates
// the gauges.
const monitorInterval = time.Second

// sentReportTicks is the number of ticks between two updates of the gauges of what was sent to other VMs.
const sentReportTicks = 5

// runMonitor reloads changed settings, logs changes of the readiness and dropped log lines, and updates the gauges
// until ctx is done.
func (p *edgeProcess) runMonitor(ctx context.Context, path string, logWriter *logbuf.Writer, reload <-chan os.Signal) {
	ticker := time.NewTicker(monitorInterval)
	defer ticker.Stop()
	m := &monitor{process: p, path: path, logWriter: logWriter, settings: p.edge.Settings, lastModified: modTime(path)}
	for {
		select {
		case <-ctx.Done():
			return
		case <-reload:
			m.reload()
		case <-ticker.C:
			// The platform may change the file without a signal.
			if at := modTime(path); !at.Equal(m.lastModified) {
				m.reload()
			}
			m.report()
		}
	}
}

// monitor holds the last observed state of the settings file, the readiness and the number of dropped log lines.
type monitor struct {
	process      *edgeProcess
	path         string
	logWriter    *logbuf.Writer
	settings     platform.Settings
	lastModified time.Time
	ready        bool
	dropped      int64
	// ticks counts the calls of report.
	ticks int
}

// modTime returns the modification time of a file, zero if it cannot be determined.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload reads the settings again. New seeds and the limits of memory and descriptors take effect immediately, all other changes at the
// next start. An unreadable or invalid file changes nothing.
func (m *monitor) reload() {
	m.lastModified = modTime(m.path)
	next, err := platform.ReadSettings(m.path)
	if err != nil {
		event.SettingsInvalid.Log(m.process.log, "error", err.Error())
		return
	}
	changed := changedSettings(m.settings, next)
	event.SettingsReloaded.Log(m.process.log, "changed", strings.Join(changed, ","))
	m.process.edge.Fleet.AddSeeds(m.process.edge.Now(), next.Seeds)
	debug.SetMemoryLimit(runtimeMemory(next.MemoryBytes))
	m.process.edge.SetMachine(next.MemoryBytes, next.MaxDescriptors)
	m.settings = next
}

// changedSettings returns the names of the fields that differ.
func changedSettings(a, b platform.Settings) []string {
	var names []string
	old, next := reflect.ValueOf(a), reflect.ValueOf(b)
	for i := range old.NumField() {
		if !reflect.DeepEqual(old.Field(i).Interface(), next.Field(i).Interface()) {
			names = append(names, old.Type().Field(i).Name)
		}
	}
	return names
}

// report logs changes of the readiness and of the number of dropped log lines, and sets the gauges.
func (m *monitor) report() {
	e := m.process.edge
	now := e.Now()
	if ready := e.Ready(now); ready != m.ready {
		m.ready = ready
		event.ReadyChanged.Log(m.process.log, "ready", ready)
	}
	if dropped := m.logWriter.Dropped(); dropped != m.dropped {
		event.LinesDropped.Log(m.process.log, "lines", dropped-m.dropped, "since start", dropped)
		e.Metrics.AddCounter("log_lines_dropped", dropped-m.dropped)
		m.dropped = dropped
	}
	e.ReportClients(now)
	pool := e.Pool.Stats()
	suspected, quarantined := e.Parts.Counts(now)
	bodyBytes, answerBytes := e.HeldBytes()
	for name, value := range map[string]int64{
		"open_requests":                  int64(e.OpenRequests()),
		"keys_age_milliseconds":          int64(vmwire.AgeOf(now, e.Watcher.FreshAt())),
		"upstream_connections_dialed":    pool.Dialed,
		"upstream_connections_reused":    pool.Reused,
		"upstream_connections_discarded": pool.Discarded,
		"held_body_bytes":                bodyBytes,
		"held_answer_bytes":              answerBytes,
		"upstreams":                      int64(len(e.Replicas.IDs())),
		"prompt_parts_suspected":         int64(suspected),
		"prompt_parts_quarantined":       int64(quarantined),
		"vms_of_region":                  int64(e.Fleet.SameRegionCount(now)),
	} {
		e.Metrics.SetGauge(name, float64(value))
	}
	if m.ticks++; m.ticks%sentReportTicks == 0 {
		m.reportSent()
	}
}

// reportSent sets the gauges of what was sent to other VMs, by kind of message.
func (m *monitor) reportSent() {
	e := m.process.edge
	endpoint := e.Fleet.Endpoint
	for peers, counts := range map[string]*vm.SentCounts{"sameRegion": &endpoint.SentSameRegion, "otherRegions": &endpoint.SentOtherRegions} {
		for kind, name := range vmwire.KindNames {
			if frames, bytes := counts.Sent(kind); frames > 0 {
				e.Metrics.SetSent(name, peers, frames, bytes)
			}
		}
	}
}

// settingsSummary describes the machine and the seeds for the log line of the start.
func settingsSummary(s platform.Settings) string {
	return fmt.Sprintf("%.3g cores, %d MiB, %.4g Mbit/s, %d seeds", s.Cores, s.MemoryBytes>>20, s.LinkMbps, len(s.Seeds))
}
