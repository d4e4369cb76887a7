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
)

// watchInterval is the period at which a VM looks whether its settings file or its readiness has changed, and
// updates the gauges.
const watchInterval = time.Second

// runWatch keeps an eye on the settings file, on the readiness and on the log, until ctx ends.
func (p *edgeProcess) runWatch(ctx context.Context, path string, writer *logbuf.Writer, reload <-chan os.Signal) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	w := &watch{process: p, path: path, writer: writer, settings: p.edge.Settings, modified: modifiedAt(path)}
	for {
		select {
		case <-ctx.Done():
			return
		case <-reload:
			w.reload()
		case <-ticker.C:
			// The platform may change the file without a signal.
			if at := modifiedAt(path); !at.Equal(w.modified) {
				w.reload()
			}
			w.report()
		}
	}
}

// watch is what runWatch saw last.
type watch struct {
	process  *edgeProcess
	path     string
	writer   *logbuf.Writer
	settings platform.Settings
	modified time.Time
	ready    bool
	dropped  int64
}

// modifiedAt returns the time of the file's last change, zero if it cannot be read.
func modifiedAt(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload reads the settings again. Seeds and the memory limit take effect at once, everything else at the
// next start. A file that cannot be read changes nothing.
func (w *watch) reload() {
	w.modified = modifiedAt(w.path)
	next, err := platform.ReadSettings(w.path)
	if err != nil {
		event.SettingsBad.Log(w.process.log, "error", err.Error())
		return
	}
	changed := changedSettings(w.settings, next)
	event.SettingsRead.Log(w.process.log, "changed", strings.Join(changed, ","))
	w.process.edge.Fleet.AddSeeds(w.process.edge.Now(), next.Seeds)
	debug.SetMemoryLimit(int64(memoryShare * float64(next.MemoryBytes)))
	w.settings = next
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

// report logs changes of the readiness and of the lines dropped, and sets the gauges.
func (w *watch) report() {
	e := w.process.edge
	now := e.Now()
	if ready := e.Ready(now); ready != w.ready {
		w.ready = ready
		event.ReadyChanged.Log(w.process.log, "ready", ready)
	}
	if dropped := w.writer.Dropped(); dropped != w.dropped {
		event.LinesDropped.Log(w.process.log, "lines", dropped-w.dropped, "since start", dropped)
		e.Metrics.Count("log_lines_dropped", dropped-w.dropped)
		w.dropped = dropped
	}
	pool := e.Pool.Stats()
	for name, value := range map[string]int64{
		"open_requests":                  int64(e.Open()),
		"keys_age_milliseconds":          now.Sub(e.Source.FreshAt()).Milliseconds(),
		"upstream_connections_dialed":    pool.Dialed,
		"upstream_connections_reused":    pool.Reused,
		"upstream_connections_discarded": pool.Discarded,
		"upstreams":                      int64(len(e.Replicas.IDs())),
		"vms_of_region":                  int64(e.Fleet.Sharers(now)),
	} {
		e.Metrics.Gauge(name, float64(value))
	}
}

// settingsSummary describes the settings for the line at the start.
func settingsSummary(s platform.Settings) string {
	return fmt.Sprintf("%.3g cores, %d MiB, %.4g Mbit/s, %d seeds", s.Cores, s.MemoryBytes>>20, s.LinkMbps, len(s.Seeds))
}
