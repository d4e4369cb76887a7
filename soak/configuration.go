package soak

import (
	"encoding/json"
	"slices"

	"parsleyhatch/platform"
)

// workspaceConfig, routeConfig, serviceConfig and engineConfig are parts of the configuration in the platform's format.
type workspaceConfig struct {
	Name        string   `json:"name"`
	Keys        []string `json:"api_keys"`
	Unit        string   `json:"unit,omitempty"`
	PlainTokens int      `json:"plain_tokens,omitempty"`
	Rate        float64  `json:"rate_per_s,omitempty"`
	Burst       float64  `json:"burst,omitempty"`
}

type routeConfig struct {
	Name            string   `json:"name"`
	Host            string   `json:"host"`
	Prefix          string   `json:"path_prefix"`
	Kind            string   `json:"kind"`
	TimeoutMillis   float64  `json:"timeout_ms"`
	TargetMillis    float64  `json:"target_latency_ms"`
	TargetGapMillis float64  `json:"target_gap_ms,omitempty"`
	Service         string   `json:"service"`
	MaxAttempts     int      `json:"max_attempts"`
	Priority        int      `json:"priority,omitempty"`
	Public          bool     `json:"public,omitempty"`
	Affinity        bool     `json:"affinity,omitempty"`
	Resumable       bool     `json:"resumable"`
	HomeRegions     []string `json:"home_regions,omitempty"`
	// Split replaces Service if it is not empty.
	Split []splitTarget `json:"traffic_split,omitempty"`
}

type serviceConfig struct {
	Name           string        `json:"name"`
	MaxConnections int           `json:"max_connections,omitempty"`
	WarmUpSeconds  float64       `json:"warmup_s,omitempty"`
	WarmUpRate     float64       `json:"warmup_per_s,omitempty"`
	Engine         *engineConfig `json:"engine,omitempty"`
}

type engineConfig struct {
	Slots    int `json:"slots"`
	Capacity int `json:"kv_capacity"`
}

type operatorConfig struct {
	Version    int               `json:"version"`
	Routes     []routeConfig     `json:"routes"`
	Services   []serviceConfig   `json:"services"`
	Workspaces []workspaceConfig `json:"tenants"`
}

// kindNames are the names of the kinds of requests in the configuration.
var kindNames = map[requestKind]string{kindSafe: "safe", kindUnsafe: "unsafe", kindStream: "streaming", kindUnresumable: "streaming"}

// publishConfig writes the configuration to the store. The caller holds mu, except during startup.
func (s *soak) publishConfig() {
	s.version++
	config := operatorConfig{Version: s.version, Workspaces: s.workspaceConfigs()}
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

func (s *soak) routeConfig(r *routeLoad) routeConfig {
	timeout := r.TimeoutMillis
	if timeout == 0 {
		timeout = millis(s.load.deadline.Milliseconds())
	}
	return routeConfig{
		Name: string(r.Kind), Host: s.deployment.Host, Prefix: "/" + string(r.Kind) + "/", Kind: kindNames[r.Kind], Service: r.Service,
		TimeoutMillis: float64(timeout), TargetMillis: float64(r.TargetMillis), TargetGapMillis: float64(r.TargetGapMillis),
		MaxAttempts: r.MaxAttempts, Priority: r.Priority, Public: r.Public, Affinity: r.Prompt != (prompt{}),
		Resumable: r.Kind == kindStream, HomeRegions: r.HomeRegions,
	}
}

// workspaceConfigs returns the workspaces that have keys in use.
func (s *soak) workspaceConfigs() []workspaceConfig {
	var configs []workspaceConfig
	for _, w := range s.deployment.Workspaces {
		c := workspaceConfig{Name: w.Name, PlainTokens: w.PlainTokens, Rate: w.Rate, Burst: w.Burst}
		if w.Rate > 0 {
			c.Unit = "tokens"
		}
		c.Keys = slices.DeleteFunc(slices.Clone(s.keys), func(key string) bool {
			_, withdrawn := s.withdrawnAt(key) // Callers go on using it for a while.
			return withdrawn || s.history.workspaces[key] != w.Name
		})
		if len(c.Keys) > 0 {
			configs = append(configs, c)
		}
	}
	return configs
}

func (x *deployedService) config() serviceConfig {
	c := serviceConfig{
		Name: x.Name, MaxConnections: x.MaxConnections, WarmUpSeconds: x.WarmUpMillis.duration().Seconds(), WarmUpRate: x.WarmUpRate,
	}
	if x.Capacity > 0 {
		c.Engine = &engineConfig{Slots: x.Slots, Capacity: x.Capacity}
	}
	return c
}
