package replica

import (
	"time"

	"parsleyhatch/contention"
	"parsleyhatch/pace"
)

const (
	// firstTokenBase is the expected time to the answer of an idle upstream of a plain service, one without an engine, in milliseconds.
	firstTokenBase = 40
	// runningCost is the delay that each running request of a plain service adds to another, in milliseconds.
	runningCost = 1
	// queueCost is the delay that each request beyond the slots of an upstream adds, in milliseconds. It is
	// about the time of one request of a plain service.
	queueCost = 40
	// failureCost is the penalty for an upstream at which all requests fail, in milliseconds.
	failureCost = 3000
	// rereadCost is the penalty for each shared token that is not cached at an upstream, in milliseconds, in
	// addition to the time for processing it. Each upstream that processes the shared part again takes
	// capacity from other requests.
	rereadCost = 0.2
	// inProgressShare is the fraction of less urgent prompt tokens that delays a more urgent request: engines
	// finish a prompt that they have started to process. They process one prompt at a time, so that half of the
	// longest one bounds these tokens, or maxInProgressTokens if its length is not known.
	inProgressShare     = 0.4
	longestShare        = 0.5
	maxInProgressTokens = 8000
	// overtakeFactor is the factor by which the wait of less urgent requests grows because of more urgent
	// ones that arrive in the meantime.
	overtakeFactor = 1.3
	// memoryShare is the share of an engine's memory above which running requests are preempted.
	memoryShare = 0.9
	// memoryCost is the penalty per multiple of an engine's memory beyond memoryShare, in milliseconds.
	memoryCost = 2000
	// limitCost is the penalty for an upstream without room for the request, in milliseconds. It exceeds all others, so that such
	// an upstream is chosen only if there is no other.
	limitCost = 1e6
)

// LoadInputs are the load figures of an upstream on which a choice is based.
type LoadInputs struct {
	// Running is the number of requests that all VMs have running there.
	Running int
	// UncachedTokens is the number of the request's prompt tokens that the upstream must process.
	UncachedTokens int64
	// TokensAhead is the number of prompt tokens that are processed before those of the request, and Held the
	// number of all tokens in memory.
	TokensAhead int64
	Held        int64
	// Figures say how fast the upstream works. Of a plain service only the default speed is set.
	Figures pace.Figures
	// Slowness is the ratio of measured to expected time to the first token.
	Slowness float64
	// Failures is the share of failed requests, from 0 to 1.
	Failures float64
}

// estimate is the expected service of a request at an upstream.
type estimate struct {
	// firstToken is the expected time to the first token, and cost the same with penalties, both in
	// milliseconds. unbiased is firstToken without the bias of recent measurements.
	firstToken, unbiased, cost float64
	// uncached is the number of prompt tokens that the upstream must process, and ahead the number of those
	// that it processes before them.
	uncached, ahead int64
	totalUse        Use
	figures         pace.Figures
	// idleFirst is the expected time to the first token without other requests.
	idleFirst time.Duration
	failures  float64
	// limit is the reason why the upstream has no capacity for the request.
	limit contention.Limit
}

// estimate returns the estimate for the request of a comparison that is sent now. preferred means that requests with the same shared parts are
// sent to this upstream, so that it has them cached or will have.
func (r *upstreamState) estimate(c *comparison, preferred bool) estimate {
	now, q := c.now, c.request
	x := estimate{totalUse: r.totalUse(now, c.collected), failures: r.failureShare(now)}
	cachedTokens, shared := r.cachedTokens(now, q.Prompt.Parts), q.Prompt.SharedTokens()
	if preferred {
		cachedTokens = max(cachedTokens, shared)
	}
	x.uncached = max(0, q.Prompt.Tokens-cachedTokens)
	x.ahead = x.totalUse.ahead(q.Rank)
	bias := c.bias
	if q.Service.Engine == nil {
		x.figures.Speed, bias = pace.DefaultSpeed, 1
		x.unbiased = firstTokenBase + x.promptReadMillis(q.Rank) + runningCost*float64(x.totalUse.Running)
	} else {
		x.figures = r.figures(now, c.service, c.collected)
		x.unbiased = toMillis(x.figures.Lag) + x.promptReadMillis(q.Rank)
		x.idleFirst = c.idleLag + PrefillTime(x.uncached, x.figures.Speed)
	}
	if overSlots := x.totalUse.Running + 1 - r.Slots; overSlots > 0 {
		x.unbiased += queueCost * float64(overSlots)
	}
	x.firstToken = x.unbiased * bias
	x.cost = x.firstToken*max(1, r.slowness) + rereadCost*float64(max(0, shared-cachedTokens)) + failureCost*x.failures
	x.addMemory(q)
	return x
}

// addMemory adds the penalty for an engine whose memory is short, and checks whether it has room for the request.
func (x *estimate) addMemory(q *Request) {
	e := q.Service.Engine
	if e == nil {
		return
	}
	used, others := 0.0, 0.0
	if e.Capacity > 0 {
		others = float64(x.totalUse.Held) / float64(e.Capacity)
		used = float64(x.totalUse.Held+x.uncached+q.Prompt.MaxAnswerTokens) / float64(e.Capacity)
		penalty := memoryCost * max(0, used-memoryShare)
		x.cost += penalty
		x.firstToken += penalty
	}
	if q.Stream.Events == 0 {
		return
	}
	x.limit = contention.Check(q.Stream, contention.Upstream{
		// Under lasting load, the estimate of the idle gap is too high, since no sample was taken without load.
		First: fromMillis(x.firstToken), Gap: x.figures.Gap, IdleFirst: x.idleFirst, IdleGap: min(x.figures.IdleGap, pace.DefaultGap),
		Memory: used, OthersMemory: others,
	})
	if x.limit != contention.None {
		x.cost += limitCost
	}
}

// promptReadMillis returns the time until the prompt is processed, in milliseconds.
func (x *estimate) promptReadMillis(rank int) float64 {
	most := float64(maxInProgressTokens)
	if x.totalUse.Longest > 0 {
		most = longestShare * float64(x.totalUse.Longest)
	}
	inProgress := min(inProgressShare*float64(x.totalUse.ahead(RankCount-1)-x.ahead), most)
	wait := (float64(x.ahead) + inProgress) / x.figures.Speed
	if rank > 0 {
		wait *= overtakeFactor
	}
	return wait + float64(x.uncached)/x.figures.Speed
}

// IdleFirstTokenTime returns the expected time to the first token of a prompt of a rank on an idle upstream of a service without cached parts,
// corrected by the bias of recent measurements if that is above one.
func (t *Table) IdleFirstTokenTime(now time.Time, service string, p Prompt, rank int) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.paceOf(service)
	idle := s.IdleLag(now) + PrefillTime(p.Tokens, s.Speed())
	return time.Duration(float64(idle) * max(1, s.Bias(now, rank)))
}

// PrefillTime returns the time that an upstream takes to process prompt tokens at a speed in tokens per millisecond, the default one if
// it is zero.
func PrefillTime(tokens int64, speed float64) time.Duration {
	if speed <= 0 {
		speed = pace.DefaultSpeed
	}
	return fromMillis(float64(tokens) / speed)
}

// Speed returns the mean speed at which the upstreams of a service process prompts, in tokens per millisecond.
func (t *Table) Speed(service string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.paceOf(service).Speed()
}

func fromMillis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func toMillis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
