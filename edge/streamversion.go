package edge

import (
	"time"

	"parsleyhatch/replica"
	"parsleyhatch/version"
)

const (
	// versionCheckInterval is the interval at which a VM looks whether the version of a stream has become certain.
	versionCheckInterval = 250 * time.Millisecond
	// versionCheckTime is the time after which it no longer does. It exceeds the time for which an upstream is doubted.
	versionCheckTime = 6 * time.Second
)

// streamVersion is the software version that a stream is bound to.
type streamVersion struct {
	bound   bool
	version string
	// source is set if a caller has resumed the stream.
	source versionSource
	// upstream is the one that sent the first event, if the version is uncertain.
	upstream string
}

// streamBeganAt binds a stream to the version of the upstream that sent its first event. An upstream that was not reachable may have started
// again, and its registration may name the version of its earlier process.
func (e *Edge) streamBeganAt(r *request, pick *replica.Pick) {
	if !pick.VersionDoubted {
		e.streamBegan(r, pick.Version)
		return
	}
	wasBound := r.streamVersion.bound
	e.streamBegan(r, version.Uncertain)
	if wasBound || !r.streamVersion.bound {
		return
	}
	r.streamVersion.upstream = pick.ID
	if !r.forwarded {
		e.awaitVersion(r.id, r.service.Name, pick.ID, e.Now().Add(versionCheckTime))
	}
}

// awaitVersion records the version of a stream once that of its upstream is certain.
func (e *Edge) awaitVersion(id, service, upstream string, until time.Time) {
	time.AfterFunc(versionCheckInterval, func() {
		now := e.Now()
		v, certain := e.Replicas.CertainVersion(now, upstream)
		switch {
		case certain:
			e.Streams.Begin(now, id, version.Stream{Service: service, Version: v})
			e.scheduleReports()
		case now.Before(until):
			e.awaitVersion(id, service, upstream, until)
		}
	})
}

// settleVersion binds a stream whose version was uncertain to that of its upstream once that is certain.
func (e *Edge) settleVersion(now time.Time, r *request) {
	if r.streamVersion.upstream == "" {
		return
	}
	if v, certain := e.Replicas.CertainVersion(now, r.streamVersion.upstream); certain {
		r.streamVersion = streamVersion{bound: true, version: v}
	}
}
