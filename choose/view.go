package choose

import (
	"math/bits"
	"slices"
	"sync/atomic"
	"time"
)

const (
	// scanLimit is the pool size up to which all replicas are compared; sampling from so few would
	// be worse and hardly cheaper.
	scanLimit = 16
	// draws is the number of candidates drawn from a larger pool.
	draws = 3
	// maxDraws bounds the draws that hit excluded or failing replicas before the pool is scanned.
	maxDraws = 12
	// windowShare is the smallest share of the pool from which candidates are drawn. All VMs see
	// the same reports, so a smaller window would let them all send to the same few replicas.
	windowShare = 0.5
	// loadClasses is the number of classes of the index, each 1/8 of a batch wide.
	loadClasses = 10
	// affinityBonus is the score that a held prefix is worth, in batches. It is outweighed when
	// the holder is fuller than an alternative by that share of its batch.
	affinityBonus = 0.15
	// affinityLimit is the load at which the bonus is zero, affinityRoom the load below the limit
	// at which it starts to shrink.
	affinityLimit = 0.8
	affinityRoom  = 0.3
	// overloadFactor makes each request beyond the batch count more.
	overloadFactor = 2
)

// Request is what the choice depends on.
type Request struct {
	// Route names the pool of upstreams.
	Route string
	// Prefix is a hash of the prompt's cacheable prefix; 0 is none.
	Prefix uint64
	// Exclude lists upstreams that were tried already.
	Exclude []*Upstream
	// Filter, if set, must accept the upstream.
	Filter func(*Upstream) bool
	// Allowed are the regions that may run the request.
	Allowed []string
	// BodyBytes is the size of the body in bytes; ReplyBytes that of the expected answer.
	BodyBytes, ReplyBytes int64
	// Forwarded says that another VM sent the request here; it may not be forwarded again.
	Forwarded bool
}

// Pick is a chosen upstream.
type Pick struct {
	Upstream *Upstream
	Why      Why
	// Score is the load after this request, in batches, less the bonus for a held prefix.
	Score float64
}

// pool is the index of one route's upstreams. It is immutable.
type pool struct {
	// members are sorted by load class.
	members []*Upstream
	// window is the number of members from which candidates are drawn.
	window int
	// has is a bit set over ids, to check that a prefix holder belongs to the pool.
	has []uint64
	// life is the age at which load reports count half.
	life  time.Duration
	local Capacity
}

// View is an immutable index over the upstreams of the VM's own region. The control loop publishes
// a new one by an atomic pointer; traffic goroutines read it.
type View struct {
	region   string
	pools    map[string]*pool
	remotes  map[string]*remote
	order    []string
	prefixes *prefixes
	random   *source
}

// source is a seeded generator that many goroutines can share.
type source struct{ state atomic.Uint64 }

// next returns the next value of SplitMix64.
func (s *source) next() uint64 {
	z := s.state.Add(0x9e3779b97f4a7c15)
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// below returns a value in [0, n).
func (s *source) below(n int) int {
	hi, _ := bits.Mul64(s.next(), uint64(n))
	return int(hi)
}

// Upstream chooses the upstream for a request and reports false if none may run it. The caller
// calls Begin on the chosen one, and Sent if the prompt will be cached there.
func (v *View) Upstream(now time.Time, r Request) (Pick, bool) {
	p := v.pools[r.Route]
	if p == nil {
		return Pick{}, false
	}
	n := now.UnixNano()
	s := search{pool: p, exclude: r.Exclude, filter: r.Filter, now: n}
	if r.Prefix != 0 {
		s.affine(v.prefixes.lookup(r.Prefix, n))
	}
	if len(p.members) <= scanLimit {
		s.scan(v.random.below(len(p.members)))
	} else {
		s.sample(v.random)
	}
	return s.best, s.best.Upstream != nil
}

// Sent records that a prompt with the prefix was sent to the upstream.
func (v *View) Sent(now time.Time, prefix uint64, u *Upstream) {
	if prefix != 0 {
		v.prefixes.add(prefix, u, now.UnixNano())
	}
}

// search compares candidates for one request.
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
	score := u.score(s.now, s.pool.life)
	// The bonus shrinks as the holder fills: a held prefix saves a part of the prefill, but
	// waiting for a slot takes as long as another request runs.
	bonus *= min(1, max(0, (affinityLimit-score)/affinityRoom))
	score -= bonus
	if s.best.Upstream != nil && score >= s.best.Score {
		return
	}
	s.best = Pick{Upstream: u, Score: score}
	if bonus > 0 {
		s.best.Why = HoldsPrefix
	}
}

func (s *search) affine(holders [prefixHolders]holder) {
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

// sample draws candidates from the least loaded part of the pool.
func (s *search) sample(random *source) {
	found := 0
	for range maxDraws {
		u := s.pool.members[random.below(s.pool.window)]
		if u.downUntil.Load() > s.now || !s.eligible(u) {
			continue
		}
		s.consider(u, 0)
		found++
		if found == draws {
			return
		}
	}
	if s.best.Upstream == nil {
		s.scan(random.below(len(s.pool.members)))
	}
}

// scan compares all members from a random start, so that equal scores are spread. A failing
// upstream is taken only if there is no other one.
func (s *search) scan(start int) {
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
		s.best = Pick{Upstream: failing, Why: LastResort, Score: failing.score(s.now, s.pool.life)}
	}
}

func (p *pool) contains(u *Upstream) bool {
	id := u.id.Load()
	word := int(id >> 6)
	return id >= 0 && word < len(p.has) && p.has[word]&(1<<(id&63)) != 0
}
