package edge

import (
	"fmt"
	"log/slog"
	"time"

	"parsleyhatch/callerconn"
	"parsleyhatch/clock"
	"parsleyhatch/fleet"
	"parsleyhatch/metrics"
	"parsleyhatch/platform"
	"parsleyhatch/poison"
	"parsleyhatch/quota"
	"parsleyhatch/replica"
	"parsleyhatch/retry"
	"parsleyhatch/route"
	"parsleyhatch/source"
	"parsleyhatch/upstream"
	"parsleyhatch/vm"
	"parsleyhatch/vmwire"
)

const (
	// retryRatioShare is the part of the bound on retries that VMs use; the rest covers requests that
	// are counted in another window than here.
	retryRatioShare = 0.6
	// minSlackVMs is the least number of VMs among which the slack of the bound is divided, and
	// slackReserve the multiple of the known VMs: others may start, and requests count at other moments.
	minSlackVMs  = 24
	slackReserve = 2
)

// New returns the parts of a VM, connected and not yet running.
func New(s platform.Settings, log *slog.Logger) (*Edge, error) {
	now := clock.Now()
	identity := vm.Identity{
		Slot: s.Name, Incarnation: vm.NewIncarnation(), Region: s.Region,
		FailureDomain: s.FailureDomain, StartedAt: time.Now(),
	}
	// The network of the platform has no secret that VMs share; all VMs must compute the same prints.
	hasher, err := poison.NewHasher([]byte(fingerprintKey))
	if err != nil {
		return nil, fmt.Errorf("start: %w", err)
	}
	e := &Edge{
		Settings: s, Log: log, Now: clock.Now, started: now,
		store:    platform.NewStore(s.Store),
		asks:     storeAsks{waiting: map[uint64]chan vmwire.StoreAnswer{}},
		Replicas: replica.New(),
		Pool:     upstream.NewPool(clock.Now),
		Quota:    quota.New(now),
		Retries:  retry.NewWindow(s.Bounds.RetryWindow, retryRatioShare*s.Bounds.RetryRatio, s.Bounds.RetrySlack/minSlackVMs),
		Poison:   newPoison(),
		Metrics:  metrics.New(s.Name, s.Region),
		Conns:    callerconn.New(),
		hasher:   hasher,
	}
	e.Replicas.ColdBound = func(sv *route.Service) float64 {
		return sv.WarmUpRate*s.Bounds.WarmUpOverage + s.Bounds.WarmUpSlack
	}
	e.Replicas.SetVMs(s.Name, []string{s.Name}, startSharers)
	e.Source = &source.Source{
		Readers: e.readers, Replicas: e.Replicas, Log: log, Now: clock.Now,
		Local:    func(domain string) bool { return s.Regions[domain] == s.Region },
		Region:   func(domain string) string { return s.Regions[domain] },
		OnConfig: func(t *route.Table) { e.Quota.Configure(clock.Now(), t.Config.Workspaces) },
	}
	endpoint := vm.NewPlainEndpoint(identity, log)
	endpoint.OnStream = e.ServeForwarded
	e.Fleet = fleet.New(now, endpoint, s.PeerListen, s.CallerListen, s.Seeds)
	e.Fleet.Now = clock.Now
	e.pausedLately = e.Fleet.PausedLately
	e.Fleet.Describe = e.Describe
	e.Fleet.DescribeUses = e.DescribeUses
	e.Fleet.OnPresence = func(now time.Time, m fleet.Member, p *vmwire.Presence) { e.Heard(now, m.Identity, p) }
	e.Fleet.OnControl = e.Control
	return e, nil
}

// fingerprintKey keys the fingerprints of requests that crash upstreams. It need not be secret: it only
// keeps content out of messages and logs.
const fingerprintKey = "parsleyhatch request fingerprints"

// newPoison returns the table of requests that crash upstreams. A request is quarantined after its third
// crash; one more crash than that would be one too many.
func newPoison() *poison.Table {
	limits := poison.DefaultLimits()
	limits.CrashesAlone = 3
	limits.Crashes = 3
	limits.Lifetime = 2 * time.Minute
	return poison.New(limits)
}
