package edge

import (
	"fmt"
	"log/slog"
	"time"

	"parsleyhatch/callerconn"
	"parsleyhatch/clock"
	"parsleyhatch/contention"
	"parsleyhatch/fairshare"
	"parsleyhatch/fleet"
	"parsleyhatch/metrics"
	"parsleyhatch/pace"
	"parsleyhatch/platform"
	"parsleyhatch/poison"
	"parsleyhatch/pollbarrier"
	"parsleyhatch/quota"
	"parsleyhatch/replica"
	"parsleyhatch/retry"
	"parsleyhatch/returns"
	"parsleyhatch/route"
	"parsleyhatch/sequence"
	"parsleyhatch/source"
	"parsleyhatch/upstream"
	"parsleyhatch/version"
	"parsleyhatch/vm"
	"parsleyhatch/vmwire"
)

// New returns an Edge with all its components connected. Nothing runs yet.
func New(s platform.Settings, log *slog.Logger) (*Edge, error) {
	now := clock.Now()
	identity := vm.Identity{
		Slot: s.Name, Incarnation: vm.NewIncarnation(), Region: s.Region,
		FailureDomain: s.FailureDomain, StartedAt: time.Now(),
	}
	// All VMs must compute the same fingerprints, and the platform gives them no shared secret.
	hasher, err := poison.NewHasher([]byte(fingerprintKey))
	if err != nil {
		return nil, fmt.Errorf("start: %w", err)
	}
	sockets, err := pollbarrier.New()
	if err != nil {
		return nil, fmt.Errorf("start: %w", err)
	}
	e := &Edge{
		sockets:  sockets,
		openTime: defaultOpenTime,
		Settings: s, Log: log, Now: clock.Now, startedAt: now,
		store:       platform.NewStore(s.Store),
		storeReads:  pendingStoreReads{pending: map[uint64]chan vmwire.StoreReply{}},
		Replicas:    replica.New(),
		Pool:        upstream.NewPool(clock.Now),
		Quota:       quota.New(now),
		Shares:      fairshare.New(now),
		Retries:     retry.NewWindow(now, retry.Bound{Length: s.Bounds.RetryWindow, Ratio: s.Bounds.RetryRatio, Slack: s.Bounds.RetrySlack}),
		Returns:     returns.New(now),
		Poison:      newPoison(),
		Breaks:      poison.NewBreaks(poison.DefaultBreakLimits()),
		Parts:       poison.NewParts(poison.DefaultPartLimits()),
		Streams:     version.NewStreams(now, streamLifetime),
		Origins:     version.NewOrigins(now, streamLifetime),
		Steps:       sequence.NewSteps(streamLifetime),
		queries:     streamQueries{pending: map[uint64]chan peerReply{}},
		Metrics:     metrics.New(s.Name, s.Region),
		ConnLimiter: callerconn.New(),
		hasher:      hasher,
		stop:        newStop(s.Bounds.ShutdownGrace),
		memory:      newRequestMemory(),
		lengths:     pace.NewRouteLengths(),
		pressures:   contention.NewPressures(),
		reach:       newReach(),
	}
	e.Pool.WithTimeout = sockets.WithTimeout
	e.waiting = e.newWaiting()
	e.clients.limits = DefaultClientLimits()
	e.SetMachine(s.MemoryBytes, s.MaxDescriptors)
	e.Replicas.ColdBound = func(sv *route.Service) float64 {
		return sv.WarmUpRate*s.Bounds.WarmUpOverage + s.Bounds.WarmUpSlack
	}
	e.Replicas.SetVMs(s.Name, []string{s.Name}, initialSharers)
	e.Returns.OnEarly = func() { e.Metrics.AddCounter("retry_promises_early", 1) }
	e.Poison.Log, e.Parts.Log = log, log
	e.Pool.OnUnexpected = e.recordUnexpected
	e.Watcher = &source.Watcher{
		Versions: version.NewHistory(), OnVersions: e.reportAllStreams, OnPast: e.queries.wake,
		Readers: e.readers, Replicas: e.Replicas, Log: log, Now: clock.Now,
		Local:        func(domain string) bool { return s.Regions[domain] == s.Region },
		Region:       func(domain string) string { return s.Regions[domain] },
		WatchTimeout: time.Duration(watchShare * float64(s.Bounds.RevocationDelay)),
		HistoryTime:  s.StoreHistory - e.maxStateAge(), // VMs may send requests to an upstream for so long after its registration has ended.
		OnConfig: func(t *route.Table) {
			e.Quota.Configure(clock.Now(), t.Config.Workspaces)
			e.retainState(t.Config)
			e.scheduleReports()
		},
	}
	endpoint := vm.NewInsecureEndpoint(identity, log)
	endpoint.OnStream = e.ServeForwarded
	endpoint.OnOtherProtocol = e.recordOtherProtocol
	e.Fleet = fleet.New(now, endpoint, s.PeerListen, s.CallerListen, s.Seeds)
	e.Fleet.Now = clock.Now
	e.pausedRecently = e.Fleet.PausedRecently
	e.Fleet.FillPresence = e.FillPresence
	e.Fleet.LoadReport = e.LoadReport
	e.Fleet.LoadSums = e.LoadSums
	e.Fleet.OnSums = e.receiveSums
	e.Fleet.OnCollecting = e.setCollecting
	e.Fleet.OnPresence = e.ApplyPresence
	e.Fleet.OnControl = e.HandleControl
	e.Fleet.OnSession = e.sendKnowledge
	return e, nil
}

// fingerprintKey is the hash key for the fingerprints of requests that crash upstreams. It does not have to
// be secret, since fingerprints only keep request content out of messages and logs.
const fingerprintKey = "parsleyhatch request fingerprints"

// newPoison returns the table of requests that crash upstreams. A request is quarantined after its third
// crash, since a fourth would exceed the permitted number.
func newPoison() *poison.Table {
	limits := poison.DefaultLimits()
	limits.SoleSuspectCrashes = 3
	limits.MaxCrashes = 3
	limits.Lifetime = 2 * time.Minute
	limits.QuarantineMemory = 20 * time.Minute
	return poison.New(limits)
}
