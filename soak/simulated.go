package soak

import (
	"time"

	"parsleyhatch/standin/faultyupstream"
	"parsleyhatch/standin/rawanswer"
	"parsleyhatch/standin/workload"
)

const (
	// slowUpstream is the id of the upstream that is slowness times as slow as the others if these are uneven.
	slowUpstream = "u1"
	slowness     = 2
)

// upstreamSettings returns the settings of an upstream under the load.
func (l *load) upstreamSettings(id, service, version string) faultyupstream.Settings {
	settings := faultyupstream.Settings{ID: id, Service: service, Version: version, Slots: l.slots, Shapes: map[string]workload.Shape{}}
	for _, kind := range requestKinds {
		shape := l.of(kind).Shape
		shape.Stream = kind.isStream()
		settings.Shapes[kind.path()] = shape
	}
	return settings
}

// startUpstream starts an upstream, in a process of its own if the load says so.
func (s *soak) startUpstream(id, service, version string) (*faultyupstream.Upstream, error) {
	settings := s.load.upstreamSettings(id, service, version)
	for path, shape := range settings.Shapes {
		if s.load.uneven && id == slowUpstream {
			shape.Work, shape.EventPause = slowness*shape.Work, slowness*shape.PauseBetweenEvents()
			settings.Shapes[path] = shape
		}
	}
	if !s.load.raw {
		return faultyupstream.New(settings, s.history.recorder())
	}
	settings.Seed = s.Seed
	u, err := faultyupstream.NewProcess(settings, s.history.recorder(), s.log)
	if err == nil {
		u.Allow(s.rawEnds)
	}
	return u, err
}

// recorder records what upstreams get and run.
func (h *history) recorder() *faultyupstream.Recorder {
	return &faultyupstream.Recorder{
		VMAt: h.vmAt, ContentID: h.contentID, Execution: h.recordExecution,
		Arrival: func(id, upstream, vm string, at time.Time) {
			record(h, &h.arrivals, arrival{id: id, upstream: upstream, vm: vm, at: at})
		},
		LimitedArrival: func(upstream string, limit float64) {
			record(h, &h.limitedArrivals, arrival{upstream: upstream, at: time.Now(), limit: limit})
		},
		HoldBack: func(upstream, vm, id string, wanted time.Duration) {
			record(h, &h.holdBacks, holdBack{upstreamAtVM: upstreamAtVM{upstream, vm}, id: id, at: time.Now(), wanted: wanted})
		},
		LateBody: func(id, upstream string, same bool, size int) {
			record(h, &h.lateBodies, lateBody{id: id, upstream: upstream, same: same, size: size})
		},
	}
}

// allowRawEnds changes the ends that raw upstreams play, and reverts it after the duration of the fault.
func (s *soak) allowRawEnds(f fault, change func(ends *rawanswer.Allowed, on bool)) {
	set := func(on bool) {
		s.mu.Lock()
		defer s.mu.Unlock()
		change(&s.rawEnds, on)
		for _, u := range s.upstreams {
			u.Allow(s.rawEnds)
		}
	}
	set(true)
	s.disturbFor(f.duration, partUpstreams)
	set(false)
}

// close stops the upstream without notice. Its links refuse connections before its process is killed, as the kernel of its machine
// would: a link accepts them in the name of the process.
func (u *registeredUpstream) close() {
	if u.IsProcess() {
		u.links.Refuse(false)
	}
	u.Upstream.Close()
}
