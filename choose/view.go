package choose

import (
	"math/bits"
	"slices"
	"sync/atomic"
	"time"
)

const (
	// scanLimit is the pool size up to which all replicas are compared. Sampling from so few would
	// give worse choices at about the same cost.
	scanLimit = 16
	// sampleSize is the number of candidates drawn from a larger pool.
	sampleSize = 3
	// maxDraws bounds the number of draws, which may hit excluded or failing replicas. If they find no
	// candidate, the pool is scanned.
	maxDraws = 12
	// minWindowShare is the smallest share of the pool from which candidates are drawn. All VMs see
	// the same reports, so that with a smaller window they would all send to the same few replicas.
	minWindowShare = 0.5
	// loadClasses is the number of load classes of the index. Each is 1/8 of a batch wide.
	loadClasses = 10
	// affinityBonus is the reduction of the score for a held prefix, in batches. Another upstream is
	// chosen if its load is lower by more than this share of its batch.
	affinityBonus = 0.15
	// affinityLimit is the score at which the bonus for a held prefix is zero. affinityFadeRange is
	// how far below the limit the bonus starts to shrink.
	affinityLimit     = 0.8
	affinityFadeRange = 0.3
	// overloadFactor is the additional weight of each request beyond the batch.
	overloadFactor = 2
)

// Request holds the properties of a request on which the choice depends.
type Request struct {
	// Route names the pool of upstreams.
	Route string
	// Prefix is a hash of the prompt's cacheable prefix; 0 means none.
	Prefix uint64
	// Exclude lists upstreams that were already tried.
	Exclude []*Upstream
	// Filter returns whether the upstream may run the request. It may be nil.
	Filter func(*Upstream) bool
	// Allowed are the regions that may run the request.
	Allowed []string
	// BodyBytes is the size of the request body in bytes, and ReplyBytes that of the expected
	// response.
	BodyBytes, ReplyBytes int64
	// Forwarded reports that another VM forwarded the request to this region. It may not be forwarded
	// again.
	Forwarded bool
}

// Pick is a chosen upstream.
type Pick struct {
	Upstream *Upstream
	Cause    Cause
	// Score is the load with this request, in batches, less the bonus for a held prefix.
	Score float64
}

// pool is the index of one route's upstreams. It is immutable.
type pool struct {
	// members are sorted by load class.
	members []*Upstream
	// window is the number of members, from the least loaded on, from which candidates are drawn.
	window int
	// memberBits is a bit set of the members' ids. It is used to check that a prefix holder belongs to
	// the pool.
	memberBits []uint64
	// halfLife is the age at which load reports count half.
	halfLife time.Duration
	capacity Capacity
}

// View is an immutable index over the upstreams of the VM's own region. The control loop publishes
// a new one through an atomic pointer, and traffic goroutines read it.
type View struct {
	region      string
	pools       map[string]*pool
	remotes     map[string]*remoteRegion
	remoteNames []string
	prefixTable *prefixTable
	random      *randomSource
}

// randomSource is a seeded generator that is safe for concurrent use.
type randomSource struct{ state atomic.Uint64 }

// next returns the next value of SplitMix64.
func (s *randomSource) next() uint64 {
	z := s.state.Add(0x9e3779b97f4a7c15)
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// intN returns a value in [0, n).
func (s *randomSource) intN(n int) int {
	hi, _ := bits.Mul64(s.next(), uint64(n))
	return int(hi)
}

// ChooseUpstream chooses the upstream for a request. It returns false if no upstream may run it. The
// caller calls Begin on the chosen one, and RecordPrefix if the upstream will cache the prompt.
func (v *View) ChooseUpstream(now time.Time, r Request) (Pick, bool) {
	p := v.pools[r.Route]
	if p == nil {
		return Pick{}, false
	}
	n := now.UnixNano()
	s := search{pool: p, exclude: r.Exclude, filter: r.Filter, now: n}
	if r.Prefix != 0 {
		s.considerHolders(v.prefixTable.lookup(r.Prefix, n))
	}
	if len(p.members) <= scanLimit {
		s.scanAll(v.random.intN(len(p.members)))
	} else {
		s.sample(v.random)
	}
	return s.best, s.best.Upstream != nil
}

// RecordPrefix records that a prompt with the prefix was sent to the upstream.
func (v *View) RecordPrefix(now time.Time, prefix uint64, u *Upstream) {
	if prefix != 0 {
		v.prefixTable.add(prefix, u, now.UnixNano())
	}
}

// search compares the candidates for one request.
type search struct {
	pool    *pool
	exclude []*Upstream
	filter  func(*Upstream) bool
	now     int64
	best    Pick
}

func (s *search) eligible(u *Upstream) bool {
	if slices.Contains(s.exclude, u) {
		return false
	}
	return s.filter == nil || s.filter(u)
}

func (s *search) consider(u *Upstream, bonus float64) {
	score := u.score(s.now, s.pool.halfLife)
	// The bonus shrinks as the load of the holder grows: a held prefix saves a part of the prefill,
	// but waiting for a slot takes as long as another request runs.
	bonus *= min(1, max(0, (affinityLimit-score)/affinityFadeRange))
	score -= bonus
	if s.best.Upstream != nil && score >= s.best.Score {
		return
	}
	s.best = Pick{Upstream: u, Score: score}
	if bonus > 0 {
		s.best.Cause = HoldsPrefix
	}
}

// considerHolders compares the upstreams that probably hold the prompt's prefix.
func (s *search) considerHolders(holders [maxPrefixHolders]holder) {
	for _, h := range holders {
		c := h.confidence(s.now)
		if c == 0 || !s.pool.contains(h.upstream) {
			continue
		}
		if h.upstream.downUntil.Load() <= s.now && s.eligible(h.upstream) {
			s.consider(h.upstream, affinityBonus*c)
		}
	}
}

// sample compares candidates drawn from the least loaded part of the pool.
func (s *search) sample(random *randomSource) {
	found := 0
	for range maxDraws {
		u := s.pool.members[random.intN(s.pool.window)]
		if u.downUntil.Load() > s.now || !s.eligible(u) {
			continue
		}
		s.consider(u, 0)
		found++
		if found == sampleSize {
			return
		}
	}
	if s.best.Upstream == nil {
		s.scanAll(random.intN(len(s.pool.members)))
	}
}

// scanAll compares all members from a random start, so that equal scores spread over the members. A
// failing upstream is chosen only if there is no other one.
func (s *search) scanAll(start int) {
	var failing *Upstream
	for i := range s.pool.members {
		u := s.pool.members[(start+i)%len(s.pool.members)]
		if !s.eligible(u) {
			continue
		}
		if until := u.downUntil.Load(); until > s.now {
			if failing == nil || until < failing.downUntil.Load() {
				failing = u
			}
			continue
		}
		s.consider(u, 0)
	}
	if s.best.Upstream == nil && failing != nil {
		s.best = Pick{Upstream: failing, Cause: LastResort, Score: failing.score(s.now, s.pool.halfLife)}
	}
}

func (p *pool) contains(u *Upstream) bool {
	id := u.id.Load()
	word := int(id >> 6)
	return id >= 0 && word < len(p.memberBits) && p.memberBits[word]&(1<<(id&63)) != 0
}
