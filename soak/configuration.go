package soak

import (
	"cmp"
	"encoding/json"
	"slices"

	"parsleyhatch/platform"
)

// kindNames are the names of the kinds of requests in the configuration.
var kindNames = map[requestKind]string{kindSafe: "safe", kindUnsafe: "unsafe", kindStream: "streaming", kindUnresumable: "streaming"}

// publishConfig writes the configuration to the store. The caller holds mu, except during startup.
func (s *soak) publishConfig() {
	s.version++
	config := platform.Config{Version: s.version, Workspaces: s.workspaceConfigs()}
	for i := range s.deployment.Routes {
		config.Routes = append(config.Routes, s.routeConfig(&s.deployment.Routes[i]))
	}
	s.splitRoute(config.Routes)
	for _, x := range s.deployment.services(s.load.split) {
		config.Services = append(config.Services, x.config())
	}
	text, err := json.Marshal(config)
	if err != nil {
		panic(err) // Unreachable: all values above can be encoded.
	}
	s.write(platform.ConfigKey, string(text))
}

func (s *soak) routeConfig(r *routeLoad) platform.ConfigRoute {
	timeout := cmp.Or(r.TimeoutMillis, millis(s.load.deadline.Milliseconds()))
	return platform.ConfigRoute{
		Name: string(r.Kind), Host: s.deployment.Host, PathPrefix: "/" + string(r.Kind) + "/", Kind: kindNames[r.Kind], Service: r.Service,
		TimeoutMS: float64(timeout), TargetLatencyMS: float64(r.TargetMillis), TargetGapMS: float64(r.TargetGapMillis),
		MaxAttempts: r.MaxAttempts, Priority: r.Priority, Public: r.Public, Affinity: r.Prompt != (prompt{}),
		Resumable: r.Kind == kindStream, HomeRegions: r.HomeRegions,
	}
}

// workspaceConfigs returns the workspaces that have keys in use.
func (s *soak) workspaceConfigs() []platform.ConfigWorkspace {
	var configs []platform.ConfigWorkspace
	for _, w := range s.deployment.Workspaces {
		c := platform.ConfigWorkspace{Name: w.Name, PlainTokens: float64(w.PlainTokens), RatePerS: w.Rate, Burst: w.Burst}
		if w.Rate > 0 {
			c.Unit = "tokens"
		}
		c.APIKeys = slices.DeleteFunc(slices.Clone(s.keys), func(key string) bool {
			_, withdrawn := s.withdrawnAt(key) // Callers go on using it for a while.
			return withdrawn || s.history.workspaces[key] != w.Name
		})
		if len(c.APIKeys) > 0 {
			configs = append(configs, c)
		}
	}
	return configs
}

func (x *deployedService) config() platform.ConfigService {
	c := platform.ConfigService{
		Name: x.Name, MaxConnections: x.MaxConnections, WarmupS: x.WarmUpMillis.duration().Seconds(), WarmupPerS: x.WarmUpRate,
	}
	if x.Capacity > 0 {
		c.Engine = &platform.ConfigEngine{Slots: x.Slots, KVCapacity: float64(x.Capacity)}
	}
	return c
}
