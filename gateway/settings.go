// Package gateway processes the requests of a VM, from admission to answer, and runs the control
// loop that maintains the VM's view of the configuration, the other VMs and the upstreams.
package gateway

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"parsleyhatch/vm"
)

// Settings are the settings of the process, from flags and environment variables.
type Settings struct {
	// Slot is the VM's name in the roster.
	Slot          string
	Region        string
	FailureDomain string
	// CallerListen, PeerListen and AdminListen are IP:port.
	CallerListen string
	PeerListen   string
	AdminListen  string
	// PlatformURL is the base URL of the platform's services.
	PlatformURL string
	// Seeds are peer addresses of VMs to learn the configuration from.
	Seeds []string
	// FleetKey is the secret that all VMs share, at least vm.MinFleetKeyBytes long.
	FleetKey []byte
	// UpstreamCredential is the platform's bearer token for upstreams.
	UpstreamCredential string
	// DrainLimit bounds the time that running requests have to end at a planned stop.
	DrainLimit time.Duration
	// MaxStreams bounds the requests that are open at a time.
	MaxStreams int
}

// summary describes the settings for the audit trail, without secrets.
func (s *Settings) summary() string {
	return fmt.Sprintf("listen %s, peers %s, region %s, failure domain %s, platform %s", s.CallerListen, s.PeerListen, s.Region, s.FailureDomain, s.PlatformURL)
}

// Check returns all errors in the settings.
func (s *Settings) Check() error {
	var errs []error
	required := []struct{ name, value string }{
		{"slot", s.Slot}, {"region", s.Region}, {"failure-domain", s.FailureDomain},
	}
	for _, r := range required {
		if r.value == "" {
			errs = append(errs, fmt.Errorf("setting %s is empty", r.name))
		}
	}
	addresses := []struct{ name, value string }{
		{"listen", s.CallerListen}, {"peer-listen", s.PeerListen}, {"admin", s.AdminListen},
	}
	for _, a := range addresses {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			errs = append(errs, fmt.Errorf("setting %s: %q is not IP:port", a.name, a.value))
		}
	}
	for _, seed := range s.Seeds {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			errs = append(errs, fmt.Errorf("setting seeds: %q is not IP:port", seed))
		}
	}
	if s.PlatformURL == "" && len(s.Seeds) == 0 {
		errs = append(errs, errors.New("settings platform and seeds are both empty: no source of the configuration"))
	}
	if len(s.FleetKey) < vm.MinFleetKeyBytes {
		errs = append(errs, fmt.Errorf("setting fleet-key: %d bytes, want at least %d", len(s.FleetKey), vm.MinFleetKeyBytes))
	}
	if s.DrainLimit <= 0 {
		errs = append(errs, errors.New("setting drain-limit must be above 0"))
	}
	if s.MaxStreams <= 0 {
		errs = append(errs, errors.New("setting max-streams must be above 0"))
	}
	return errors.Join(errs...)
}
