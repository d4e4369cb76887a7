package loadbench

import (
	"math"
	"slices"
)

// end is how a request ended.
type end int

const (
	answeredEnd end = iota
	refusedEnd
	failedEnd
)

// measures collects what callers saw.
type measures struct {
	deployment *deployment
	owed, got  float64
	kinds      map[string]*tally
	regions    map[string]*tally
	workspaces map[int]*tally
	windows    map[int]*tally
	// largest are the requests of the largest tenth of each kind, and all of those kinds.
	large, whole tally
	// again counts shared tokens that were read again.
	again int64
	first map[string][]seconds
	// useful counts the tokens of requests that were answered completely, by second, and wasted those that engines processed for others.
	useful, wasted map[int]float64
}

// tally counts requests and their worth.
type tally struct {
	owed, got                    float64
	asked, inTime, late, refused int
}

func (t *tally) worth() float64 {
	if t.owed == 0 {
		return 1
	}
	return t.got / t.owed
}

func newMeasures(d *deployment) *measures {
	return &measures{
		deployment: d, kinds: map[string]*tally{}, regions: map[string]*tally{}, workspaces: map[int]*tally{},
		windows: map[int]*tally{}, first: map[string][]seconds{},
		useful: map[int]float64{}, wasted: map[int]float64{},
	}
}

// add counts the end of a request.
func (m *measures) add(r *request, how end) {
	if how == answeredEnd && r.kind.service.Engine != nil {
		m.useful[int(r.world.Now)] += float64(r.prompt.Tokens) + float64(r.answer)
	}
	if r.arrived < warmTime {
		return
	}
	for _, t := range []*tally{
		of(m.kinds, r.kind.name), of(m.regions, r.region.name), of(m.workspaces, r.workspace), of(m.windows, int(r.arrived/windowLength)),
	} {
		t.add(r, how)
	}
	if r.kind.service.Engine != nil {
		m.whole.add(r, how)
		if float64(r.prompt.Tokens) > 2*(r.kind.tokens+float64(r.prompt.SharedTokens())) {
			m.large.add(r, how)
		}
	}
	m.first[r.kind.name] = append(m.first[r.kind.name], r.first)
	m.owed += r.worth()
	m.got += r.earned(how)
}

// waste counts the tokens that an engine has processed for a request that ends without a complete answer.
func (m *measures) waste(r *request, x *run) {
	if r.kind.service.Engine != nil && (x.written > 0 || x.unread > 0 && x.unread < r.prompt.Tokens) {
		m.wasted[int(r.world.Now)] += float64(r.prompt.Tokens-x.unread) + float64(x.written)
	}
}

func of[K comparable](tallies map[K]*tally, key K) *tally {
	t := tallies[key]
	if t == nil {
		t = &tally{}
		tallies[key] = t
	}
	return t
}

func (t *tally) add(r *request, how end) {
	t.owed += r.worth()
	t.got += r.earned(how)
	t.asked++
	switch {
	case how == refusedEnd:
		t.refused++
	case how == answeredEnd && r.late():
		t.late++
	case how == answeredEnd:
		t.inTime++
	}
}

func (r *request) late() bool { return r.first > r.kind.target || r.paused }

func (r *request) earned(how end) float64 {
	switch {
	case how != answeredEnd:
		return 0
	case r.late():
		return r.worth() * r.kind.late
	default:
		return r.worth()
	}
}

// row holds the figures of a replay.
type row struct {
	// Worth, WorstKind, WorstRegion, WorstWorkspace and WorstWindow are shares of the worth of all requests
	// that was earned.
	Worth, WorstKind, WorstRegion, WorstWorkspace, WorstWindow float64
	// InTime, Late and Refused are shares of the requests.
	InTime, Late, Refused float64
	// Large is the share of large prompts that is answered, relative to that of all.
	Large float64
	// Again is the number of shared tokens that were read again for each request.
	Again float64
	// DraftP50 to QuestionP99 are percentiles of the time to the first token, in seconds.
	DraftP50, DraftP90, DraftP99 float64
	QuestionP50, QuestionP99     float64
}

func (m *measures) row() row {
	out := row{Worth: m.got / m.owed, WorstKind: worst(m.kinds), WorstRegion: worst(m.regions), WorstWorkspace: worst(m.workspaces), WorstWindow: worst(m.windows)}
	var all tally
	for _, t := range m.kinds {
		all.asked, all.inTime, all.late, all.refused = all.asked+t.asked, all.inTime+t.inTime, all.late+t.late, all.refused+t.refused
	}
	n := float64(max(1, all.asked))
	out.InTime, out.Late, out.Refused = float64(all.inTime)/n, float64(all.late)/n, float64(all.refused)/n
	out.Large = served(&m.large) / max(0.001, served(&m.whole))
	out.Again = float64(m.again) / n
	draft, question := m.first["draft"], m.first["question"]
	out.DraftP50, out.DraftP90, out.DraftP99 = quantile(draft, 0.5), quantile(draft, 0.9), quantile(draft, 0.99)
	out.QuestionP50, out.QuestionP99 = quantile(question, 0.5), quantile(question, 0.99)
	return out
}

func served(t *tally) float64 { return float64(t.inTime+t.late) / float64(max(1, t.asked)) }

func worst[K comparable](tallies map[K]*tally) float64 {
	low := math.Inf(1)
	for _, t := range tallies {
		low = min(low, t.worth())
	}
	return low
}

func quantile(list []seconds, q float64) float64 {
	var seen []float64
	for _, x := range list {
		if x > 0 {
			seen = append(seen, x)
		}
	}
	if len(seen) == 0 {
		return 0
	}
	slices.Sort(seen)
	return seen[int(q*float64(len(seen)-1))]
}
