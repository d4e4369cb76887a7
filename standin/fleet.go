package standin

import (
	"fmt"

	"parsleyhatch/config"
)

// Fleet runs a stand-in for each upstream of a configuration.
type Fleet struct {
	// Engines and Services are keyed by the upstream's name.
	Engines  map[string]*Engine
	Services map[string]*Service
}

// FleetSettings configures the stand-ins of a fleet.
type FleetSettings struct {
	// Engine applies to every engine. The configuration decides on MaxBatch and ChecksFencing; the
	// seed is increased by one for each upstream.
	Engine EngineSettings
	// Service applies to every plain service.
	Service ServiceSettings
}

// StartFleet listens at the address of each upstream.
func StartFleet(f *config.File, settings FleetSettings) (*Fleet, error) {
	fleet := &Fleet{Engines: map[string]*Engine{}, Services: map[string]*Service{}}
	for i := range f.Upstreams {
		if err := fleet.start(&f.Upstreams[i], uint64(i), settings); err != nil {
			fleet.Close()
			return nil, fmt.Errorf("upstream %s: %w", f.Upstreams[i].Name, err)
		}
	}
	return fleet, nil
}

func (f *Fleet) start(u *config.Upstream, number uint64, settings FleetSettings) error {
	if u.Kind == config.KindService {
		s := NewService(settings.Service)
		f.Services[u.Name] = s
		return s.Listen(u.Address)
	}
	es := settings.Engine
	es.MaxBatch, es.ChecksFencing = u.MaxBatch, u.ChecksFencing
	es.Seed += number
	e := NewEngine(es)
	f.Engines[u.Name] = e
	return e.Listen(u.Address)
}

// Processed returns the tokens that all engines have worked on.
func (f *Fleet) Processed() int64 {
	total := int64(0)
	for _, e := range f.Engines {
		total += e.Processed()
	}
	return total
}

// Close stops all stand-ins.
func (f *Fleet) Close() {
	for _, e := range f.Engines {
		e.Close()
	}
	for _, s := range f.Services {
		s.Close()
	}
}
