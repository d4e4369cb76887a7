package soak

import (
	"bytes"
	"cmp"
	"embed"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"slices"
	"strings"
	"time"
)

// DefaultDeployment is the name of the deployment that is small enough for short runs.
const DefaultDeployment = "default"

//go:embed deployments
var deploymentFiles embed.FS

// ErrUnknownDeployment means that no deployment has the name.
var ErrUnknownDeployment = errors.New("unknown deployment")

// millis is a time in milliseconds.
type millis int64

func (m millis) duration() time.Duration { return time.Duration(m) * time.Millisecond }

// deployment describes the VMs, upstreams, routes and callers of a run. All numbers without a unit in their name are counts.
type deployment struct {
	// Host is the host of all routes.
	Host     string             `json:"host"`
	Regions  []deploymentRegion `json:"regions"`
	VM       vmLimits           `json:"vm"`
	Services []deployedService  `json:"services"`
	// Split are the services of the route of streams if it is split. They replace those of Services with the same name.
	Split []deployedService `json:"split"`
	// MixedVersions means that two software versions of each service serve side by side from the start.
	MixedVersions bool          `json:"mixedVersions"`
	Routes        []routeLoad   `json:"routes"`
	Workspaces    []workspace   `json:"workspaces"`
	Bounds        allowedBounds `json:"bounds"`
	// LinkDelayMillis is the delay of data from a VM to one of another region, one way.
	LinkDelayMillis millis `json:"linkDelayMillis"`
	// RateScale scales the rates of all regions. If it is zero, the number of callers and their pauses are those of the profile.
	RateScale float64 `json:"rateScale"`
	// PeriodMillis is the time after which the levels of all regions repeat.
	PeriodMillis millis `json:"periodMillis"`
}

// deploymentRegion is a region with one failure domain.
type deploymentRegion struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failureDomain"`
	VMs           int    `json:"vms"`
	// Callers is the number of callers that share connections, and Rate the number of their requests per second at a factor of one.
	Callers int     `json:"callers"`
	Rate    float64 `json:"rate"`
	// Levels are the factors of the rate, in the order of their times.
	Levels []trafficLevel `json:"levels"`
}

// trafficLevel is a factor of the rate of a region from a time in the period on.
type trafficLevel struct {
	AtMillis millis  `json:"atMillis"`
	Factor   float64 `json:"factor"`
}

// vmLimits are what a VM has of its machine.
type vmLimits struct {
	// MemoryMB and ProcessorShare are named in the settings of the VM.
	MemoryMB       int     `json:"memoryMB"`
	ProcessorShare float64 `json:"processorShare"`
	// Processors and MemoryLimitMB are the limits of its Go runtime. Zero means no limit on memory.
	Processors    int `json:"processors"`
	MemoryLimitMB int `json:"memoryLimitMB"`
}

// deployedService is a service with its upstreams.
type deployedService struct {
	Name string `json:"name"`
	// Upstreams is the number of upstreams in each region.
	Upstreams map[string]int `json:"upstreams"`
	// Slots and Queue are the requests that an upstream runs and that wait there. Zero stands for those of the profile.
	Slots int `json:"slots"`
	Queue int `json:"queue"`
	// MaxConnections bounds the connections to an upstream, and Capacity is the memory of an engine in tokens. Zero means none.
	MaxConnections int `json:"maxConnections"`
	Capacity       int `json:"capacity"`
	// In WarmUpMillis after its start, an upstream stands WarmUpRate requests per second.
	WarmUpMillis millis  `json:"warmUpMillis"`
	WarmUpRate   float64 `json:"warmUpRate"`
}

// workspace is a workspace with its keys. Callers use all keys equally often.
type workspace struct {
	Name string   `json:"name"`
	Keys []string `json:"keys"`
	// Rate and Burst are tokens per second and tokens at once, zero for no limit. A request without tokens costs PlainTokens.
	Rate        float64 `json:"rate"`
	Burst       float64 `json:"burst"`
	PlainTokens int     `json:"plainTokens"`
}

// DeploymentNames returns the names of all deployments.
func DeploymentNames() []string {
	entries, err := fs.ReadDir(deploymentFiles, "deployments")
	if err != nil {
		panic(err) // Unreachable: the directory is embedded.
	}
	var names []string
	for _, e := range entries {
		names = append(names, strings.TrimSuffix(e.Name(), ".json"))
	}
	return names
}

// loadDeployment returns the deployment with a name, the default one if it is empty.
func loadDeployment(name string) (*deployment, error) {
	name = cmp.Or(name, DefaultDeployment)
	if !slices.Contains(DeploymentNames(), name) {
		return nil, fmt.Errorf("%w %q, want one of %v", ErrUnknownDeployment, name, DeploymentNames())
	}
	data, err := deploymentFiles.ReadFile("deployments/" + name + ".json")
	if err != nil {
		return nil, fmt.Errorf("deployment %s: %w", name, err)
	}
	d := new(deployment)
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(d); err != nil {
		return nil, fmt.Errorf("deployment %s: %w", name, err)
	}
	if err := d.validate(); err != nil {
		return nil, fmt.Errorf("deployment %s: %w", name, err)
	}
	return d, nil
}

// splitServices is the number of services of a route that is split.
const splitServices = 2

// validate finds names without a definition.
func (d *deployment) validate() error {
	var errs []error
	if len(d.Split) != splitServices {
		errs = append(errs, fmt.Errorf("split has %d services, want %d", len(d.Split), splitServices))
	}
	for _, s := range d.services(true) {
		for region := range s.Upstreams {
			if !slices.Contains(d.regionNames(), region) {
				errs = append(errs, fmt.Errorf("service %s has upstreams in unknown region %q", s.Name, region))
			}
		}
	}
	for _, r := range d.Routes {
		if kindNames[r.Kind] == "" {
			errs = append(errs, fmt.Errorf("route has unknown kind %q", r.Kind))
		}
		if d.service(r.Service) == nil {
			errs = append(errs, fmt.Errorf("route %s leads to unknown service %q", r.Kind, r.Service))
		}
		for _, region := range r.HomeRegions {
			if !slices.Contains(d.regionNames(), region) {
				errs = append(errs, fmt.Errorf("route %s has unknown home region %q", r.Kind, region))
			}
		}
	}
	return errors.Join(errs...)
}

func (d *deployment) regionNames() []string {
	var names []string
	for _, r := range d.Regions {
		names = append(names, r.Name)
	}
	return names
}

// failureDomainOf returns the failure domain of a region.
func (d *deployment) failureDomainOf(region string) string {
	i := slices.IndexFunc(d.Regions, func(r deploymentRegion) bool { return r.Name == region })
	return d.Regions[i].FailureDomain
}

// services returns the services of a run whose route of streams is split or not.
func (d *deployment) services(split bool) []deployedService {
	if !split {
		return d.Services
	}
	return slices.Concat(d.Split, slices.DeleteFunc(slices.Clone(d.Services), func(s deployedService) bool {
		return slices.ContainsFunc(d.Split, func(x deployedService) bool { return x.Name == s.Name })
	}))
}

// service returns the service with a name, or nil.
func (d *deployment) service(name string) *deployedService {
	for _, s := range d.services(true) {
		if s.Name == name {
			return &s
		}
	}
	return nil
}

// hasOwnTraffic reports whether the rate of requests is that of the deployment, and not that of the profile.
func (d *deployment) hasOwnTraffic() bool { return d.RateScale > 0 }
