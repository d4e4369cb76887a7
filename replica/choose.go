package replica

import (
	"hash/fnv"
	"slices"
	"time"

	"parsleyhatch/contention"
	"parsleyhatch/pace"
	"parsleyhatch/route"
)

const (
	// popularityThreshold is the share of requests with the same part, in multiples of one upstream's even
	// share, above which they are spread over several upstreams.
	popularityThreshold = 0.5
	// coldQuotaShare is the fraction of a cold upstream's bound that is used if there are more VMs than
	// requests.
	coldQuotaShare = 0.7
	// toleratedFailureShare is the failure share that does not count towards Pick.Wait: a service may have
	// failures that are not the fault of an upstream.
	toleratedFailureShare = 0.35
)

// Request holds the properties of a request that determine the choice of an upstream.
type Request struct {
	Service *route.Service
	Prompt  Prompt
	// Rank is the urgency rank, see the function Rank.
	Rank int
	// Attempted lists the ids of upstreams that already received the request. They are only eligible again if
	// AllowAttempted is set and there is no other one.
	Attempted      []string
	AllowAttempted bool
	// Only is the id of the only upstream that is eligible, empty for all.
	Only string
	// VersionBound means that only upstreams of the software version Version are eligible.
	VersionBound bool
	Version      string
	// ThroughOthers means that another VM of the region will send the request: what this VM may send and which upstreams it can
	// reach does not matter.
	ThroughOthers bool
	// IgnoreRoom means that an upstream whose slots are taken is eligible.
	IgnoreRoom bool
	// SkipLimited leaves out upstreams that have announced a rate limit.
	SkipLimited bool
	// Stream describes the stream that answers the request for contention.Check. Without events it is not checked.
	Stream contention.Request
	// ArrivesIn is the time until the request can reach an upstream. A backoff that ends before does not matter.
	ArrivesIn time.Duration
}

// Pick is a chosen upstream with the estimates that led to the choice.
type Pick struct {
	ID      string
	Address string
	// Born is the start time of the upstream, see Registration.
	Born int64
	// Version is the version of the upstream's software, see Registration. VersionDoubted is set when the request is sent, see Table.IsDoubted.
	Version        string
	VersionDoubted bool
	// UncachedTokens is the number of prompt tokens that are not cached at the upstream and must be processed.
	UncachedTokens int64
	// FirstToken is the expected time to the first token, without penalties.
	FirstToken time.Duration
	// Cost is the expected time with penalties for failures and memory. Wait is Cost without the penalty for
	// tolerated failures.
	Cost time.Duration
	Wait time.Duration
	// Limit is the reason why the upstream has no capacity for the request. An upstream with a limit is chosen only if all have one.
	Limit contention.Limit
	// LoadInputs are the load figures on which the choice was based.
	LoadInputs LoadInputs
	// Cold is set if the upstream is warming up.
	Cold     bool
	pickedAt time.Time
	rank     int
	// unbiased is FirstToken without the bias of recent measurements, see pace.Service.Bias, and othersTokens the number of prompt tokens of
	// other requests that the upstream had to read when it was chosen.
	unbiased     time.Duration
	othersTokens int64
	// heldTokens is the memory that the request takes, in tokens.
	heldTokens int64
}

// Elapsed returns the time since the choice.
func (p *Pick) Elapsed(now time.Time) time.Duration { return now.Sub(p.pickedAt) }

// Pick chooses an upstream and counts the request there until Done is called. It returns false if no upstream
// is eligible.
func (t *Table) Pick(now time.Time, q Request) (Pick, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, pick := t.choose(now, q)
	if r == nil {
		return Pick{}, false
	}
	if r.isCold(now) {
		r.coldRequests = append(r.coldRequests, now)
		pick.Cold = true
	}
	t.takeLimitCapacity(r)
	pick.pickedAt = now
	pick.rank = q.Rank
	pick.heldTokens = pick.UncachedTokens + q.Prompt.MaxAnswerTokens
	t.changedUses[r.ID] = true
	r.localUse.Running++
	r.beginReading(q.Rank, pick.UncachedTokens)
	r.localUse.Held += pick.heldTokens
	r.recordParts(now, q.Prompt.Parts)
	t.partCounts.add(now, q.Prompt.Parts)
	return pick, true
}

// Estimate returns the choice that Pick would make, without counting the request.
func (t *Table) Estimate(now time.Time, q Request) (Pick, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, pick := t.choose(now, q)
	return pick, r != nil
}

func (t *Table) choose(now time.Time, q Request) (*upstreamState, Pick) {
	r, pick := t.lowestCost(now, &q)
	if r == nil && q.AllowAttempted && len(q.Attempted) > 0 {
		q.Attempted = nil
		return t.lowestCost(now, &q)
	}
	return r, pick
}

func (t *Table) lowestCost(now time.Time, q *Request) (*upstreamState, Pick) {
	t.rebuildIndex()
	candidates := t.byService[q.Service.Name]
	c := t.newComparison(now, q, candidates)
	var best *upstreamState
	var found estimate
	for _, r := range candidates {
		if !t.eligible(now, r, q) {
			continue
		}
		if x := c.estimate(r); best == nil || x.cost < found.cost {
			best, found = r, x
		}
	}
	if best == nil {
		return nil, Pick{}
	}
	return best, best.pick(found)
}

// comparison holds what the estimates for a request have in common.
type comparison struct {
	now     time.Time
	request *Request
	service *pace.Service
	// bias corrects expected times by recent measurements, see pace.Service.Bias.
	bias      float64
	collected bool
	// idleLag is the time to the first token of an empty prompt at an idle upstream.
	idleLag time.Duration
	// preferred is the upstream that receives the requests with the same shared parts, nil if there is none.
	preferred *upstreamState
}

func (t *Table) newComparison(now time.Time, q *Request, candidates []*upstreamState) *comparison {
	service := t.paceOf(q.Service.Name)
	c := &comparison{now: now, request: q, service: service, bias: service.Bias(now, q.Rank), collected: t.collected(now), idleLag: service.IdleLag(now)}
	c.preferred = t.affinityUpstream(now, candidates, q, func(r *upstreamState) bool {
		return t.eligible(now, r, q) && r.estimate(c, true).limit == contention.None
	})
	return c
}

func (c *comparison) estimate(r *upstreamState) estimate { return r.estimate(c, r == c.preferred) }

// paceOf returns the figures of all upstreams of a service together.
func (t *Table) paceOf(service string) *pace.Service {
	s := t.services[service]
	if s == nil {
		s = &pace.Service{}
		t.services[service] = s
	}
	return s
}

// pick returns the Pick for an upstream and its estimate.
func (r *upstreamState) pick(x estimate) Pick {
	toleratedCost := failureCost * min(x.failures, toleratedFailureShare)
	if x.limit != contention.None {
		x.cost -= limitCost
	}
	return Pick{
		ID: r.ID, Address: r.Address, Born: r.Born, Version: r.Version, UncachedTokens: x.uncached,
		FirstToken: fromMillis(x.firstToken), Cost: fromMillis(x.cost), Wait: fromMillis(x.cost - toleratedCost),
		Limit: x.limit, unbiased: fromMillis(x.unbiased), othersTokens: x.totalUse.ahead(RankCount - 1),
		LoadInputs: LoadInputs{
			Running: x.totalUse.Running, UncachedTokens: x.uncached, TokensAhead: x.ahead, Held: x.totalUse.Held,
			Figures: x.figures, Slowness: r.slowness, Failures: x.failures,
		},
	}
}

// coldQuota returns this VM's share of the requests that a cold upstream may receive in a second. If there
// are more VMs than requests, rendezvous hashing selects the VMs that may send one. A part is held back since
// VMs may know of different VMs.
func (t *Table) coldQuota(r *upstreamState, s *route.Service) int {
	bound := int(t.ColdBound(s))
	if t.vmCount <= bound {
		return bound / t.vmCount
	}
	if t.rankOf(r, t.localVM, nil) < int(coldQuotaShare*float64(bound)) {
		return 1
	}
	return 0
}

// rankOf returns the number of VMs that come before one in the order of rendezvous hashing for an upstream, without those that are
// excluded.
func (t *Table) rankOf(r *upstreamState, vm string, excluded []string) int {
	key := hashName(r.ID)
	weight, above := RendezvousWeight(key, vm), 0
	for _, name := range t.vmNames {
		if RendezvousWeight(key, name) > weight && !slices.Contains(excluded, name) {
			above++
		}
	}
	// VMs that are not known yet may rank above this one, too.
	return above + t.vmCount - len(t.vmNames)
}

// NameKey returns the key of a name for rendezvous hashing.
func NameKey(name string) uint64 { return hashName(name) }

func hashName(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return h.Sum64()
}

// RendezvousWeight returns the rendezvous hash weight of an id for a key. The id with the highest weight is
// preferred.
func RendezvousWeight(key uint64, id string) uint64 {
	h := fnv.New64a()
	var b [8]byte
	for i := range b {
		b[i] = byte(key >> (8 * i))
	}
	_, _ = h.Write(b[:])
	_, _ = h.Write([]byte(id))
	x := h.Sum64()
	// The last bytes hardly change the high bits of an FNV hash. The finalizer mixes them in.
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}
