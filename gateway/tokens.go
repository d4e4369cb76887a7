package gateway

import (
	"context"
	"sync"
	"time"

	"parsleyhatch/config"
	"parsleyhatch/limit"
	"parsleyhatch/vmwire"
)

const (
	// sameRegionAskTimeout and otherRegionAskTimeout bound the wait for tokens of a holder in the
	// own region and in another one.
	sameRegionAskTimeout  = 100 * time.Millisecond
	otherRegionAskTimeout = 400 * time.Millisecond
	// emptyHolderBackoff is the longest time for which a holder without tokens is not asked again,
	// so that a workspace far above its rate does not cause messages with each refusal.
	emptyHolderBackoff = 250 * time.Millisecond
	// unansweredBackoff is how long a holder that did not answer is not asked again. Each request
	// for tokens reserves room in the own bucket, so many unanswered requests would stop the
	// accrual of this slot while the other holder has failed.
	unansweredBackoff = time.Second
	// maxBackoffs bounds the number of remembered backoffs.
	maxBackoffs = 4096
	// defaultRetryAfter is the retry delay if the wait for tokens is unknown.
	defaultRetryAfter = time.Second
)

// ChargeRecord is one admitted request. The charge was made between Before and After.
type ChargeRecord struct {
	RequestID     string
	Workspace     string
	Tokens        int64
	Before, After time.Time
}

// TokenHooks lets tests observe charges and transfers. Each field may be nil.
type TokenHooks struct {
	// OnCharge is called after each charge.
	OnCharge func(ChargeRecord)
	// OnAsk is called for each request for tokens that is sent to another VM.
	OnAsk func(workspace string)
	// TransfersDisabled reports whether transfers are disabled for a workspace, as a baseline.
	TransfersDisabled func(workspace string) bool
}

// SetTokenHooks installs the hooks. It must be called before Run.
func (g *Gateway) SetTokenHooks(s TokenHooks) { g.grants.hooks = s }

func (s *TokenHooks) notifyCharge(r *Request, c limit.Charge, before, after time.Time) {
	if s.OnCharge != nil {
		s.OnCharge(ChargeRecord{RequestID: r.ID, Workspace: c.Workspace, Tokens: c.Tokens, Before: before, After: after})
	}
}

func (s *TokenHooks) notifyAsk(workspace string) {
	if s.OnAsk != nil {
		s.OnAsk(workspace)
	}
}

func (s *TokenHooks) transfersDisabled(workspace string) bool {
	return s.TransfersDisabled != nil && s.TransfersDisabled(workspace)
}

// grantTable holds the requests that wait for tokens of other slots.
type grantTable struct {
	mu      sync.Mutex
	waiting map[uint64]chan limit.TokenGrant
	// backoffUntil is the time until which a holder is not asked again, by slot and workspace.
	backoffUntil map[string]time.Time
	hooks        TokenHooks
}

func (t *grantTable) registerAsk(id uint64) chan limit.TokenGrant {
	c := make(chan limit.TokenGrant, 1)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waiting[id] = c
	return c
}

func (t *grantTable) removeAsk(id uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.waiting, id)
}

func (t *grantTable) deliver(give limit.TokenGrant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.waiting[give.ID]
	if c == nil {
		return false
	}
	delete(t.waiting, give.ID)
	c <- give
	return true
}

func (t *grantTable) inBackoff(now time.Time, slot, workspace string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Before(t.backoffUntil[slot+"\x00"+workspace])
}

func (t *grantTable) setBackoff(until time.Time, slot, workspace string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.backoffUntil) >= maxBackoffs {
		clear(t.backoffUntil)
	}
	t.backoffUntil[slot+"\x00"+workspace] = until
}

// charge takes the tokens of a request, asking other holders if this slot lacks them.
func (g *Gateway) charge(ctx context.Context, r *Request) (limit.Charge, Outcome) {
	before := g.Now()
	c, out := g.chargeOrAsk(ctx, r, before)
	if out.Code == OK {
		g.grants.hooks.notifyCharge(r, c, before, g.Now())
	}
	return c, out
}

func (g *Gateway) chargeOrAsk(ctx context.Context, r *Request, now time.Time) (limit.Charge, Outcome) {
	tokens := r.tokenBound()
	c, v := g.tokens.Take(now, r.Workspace.Name, tokens)
	if v.Admitted {
		g.balanceTokens(now, r)
		return c, Outcome{}
	}
	if v.ExceedsBurst {
		return c, refuse(RateLimited, "the request can exceed the workspace's burst; lower max_tokens or shorten the prompt")
	}
	wait := v.Wait
	var loans []lender
	defer func() { g.endLoans(r, loans) }()
	for _, slot := range g.tokenHolders(r) {
		if g.grants.inBackoff(now, slot, r.Workspace.Name) {
			continue
		}
		give, ok := g.askTokens(ctx, r, slot, v.Missing)
		if ok && give.Wait > 0 {
			wait = minKnownWait(wait, give.Wait)
		}
		if ok && give.Tokens > 0 {
			loans = append(loans, lender{slot: slot, ask: give.ID})
		}
		now = g.Now()
		if c, v = g.tokens.Take(now, r.Workspace.Name, tokens); v.Admitted {
			r.note(now, "tokens charged", "with tokens of slot "+slot)
			return c, Outcome{}
		}
	}
	if wait == 0 {
		wait = defaultRetryAfter
	}
	return c, refuseUntil(RateLimited, "the workspace is above its rate", g.retries.RetryAfter(wait))
}

// lender is a slot that gave tokens, and the number of the request.
type lender struct {
	slot string
	ask  uint64
}

// endLoans tells the lenders that their tokens are spent, or gives them back after a refusal.
func (g *Gateway) endLoans(r *Request, loans []lender) {
	for _, l := range loans {
		s := g.sessions.get(l.slot)
		if s == nil {
			continue // The reserved room is released when the loan expires.
		}
		if a, ok := g.tokens.EndLoan(g.Now(), r.Workspace.Name, l.ask); ok {
			g.grants.hooks.notifyAsk(r.Workspace.Name)
			s.SendControl(vmwire.KindTokenRequest, &vmwire.TokenRequest{ID: a.ID, Workspace: a.Workspace, Loan: a.Loan})
		}
	}
}

// minKnownWait returns the smaller wait; zero is unknown.
func minKnownWait(a, b time.Duration) time.Duration {
	if a == 0 || b < a {
		return b
	}
	return a
}

// tokenHolders lists the other slots with a share of the workspace, those of the own region first.
func (g *Gateway) tokenHolders(r *Request) []string {
	vms := r.Snapshot.File.VMs
	regions := []string{g.Self.Region}
	for _, region := range shareRegions(r.Workspace) {
		if region != g.Self.Region {
			regions = append(regions, region)
		}
	}
	var slots []string
	if g.grants.hooks.transfersDisabled(r.Workspace.Name) {
		return nil
	}
	for _, region := range regions {
		for _, slot := range limit.Holders(r.Workspace.Name, region, vms) {
			if slot != g.Self.Slot {
				slots = append(slots, slot)
			}
		}
	}
	return slots
}

// shareRegions lists the regions that hold a share of the workspace, its home first.
func shareRegions(w *config.Workspace) []string {
	regions := []string{w.Home}
	for name, share := range w.RegionShares {
		if name != w.Home && share > 0 {
			regions = append(regions, name)
		}
	}
	return regions
}

// balanceTokens asks the other holder of the region for a part of its tokens when this one runs
// low, so that the accrual of a full holder is not lost. The request does not wait for the answer.
func (g *Gateway) balanceTokens(now time.Time, r *Request) {
	if g.grants.hooks.transfersDisabled(r.Workspace.Name) {
		return
	}
	for _, slot := range limit.Holders(r.Workspace.Name, g.Self.Region, r.Snapshot.File.VMs) {
		s := g.sessions.get(slot)
		if slot == g.Self.Slot || s == nil || g.grants.inBackoff(now, slot, r.Workspace.Name) {
			continue
		}
		ask, ok := g.tokens.Balance(now, r.Workspace.Name)
		if !ok {
			return
		}
		g.grants.hooks.notifyAsk(ask.Workspace)
		s.SendControl(vmwire.KindTokenRequest, &vmwire.TokenRequest{
			ID: ask.ID, Workspace: ask.Workspace, Tokens: ask.Tokens, Loan: ask.Loan, Balance: ask.Balance, Level: ask.Level,
		})
	}
}

// askTokens asks one holder and applies its answer. ok is false if there was none.
func (g *Gateway) askTokens(ctx context.Context, r *Request, slot string, missing int64) (limit.TokenGrant, bool) {
	workspace := r.Workspace.Name
	timeout := otherRegionAskTimeout
	if m := r.Snapshot.VMs[slot]; m != nil && m.Region == g.Self.Region {
		timeout = sameRegionAskTimeout
	}
	caller := ctx
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	s := g.sessionWith(ctx, slot)
	if s == nil && caller.Err() == nil {
		g.grants.setBackoff(g.Now().Add(unansweredBackoff), slot, workspace)
	}
	if s == nil {
		return limit.TokenGrant{}, false
	}
	ask, ok := g.tokens.RequestTokens(g.Now(), workspace, missing)
	if !ok {
		return limit.TokenGrant{}, false
	}
	answer := g.grants.registerAsk(ask.ID)
	defer g.grants.removeAsk(ask.ID)
	g.grants.hooks.notifyAsk(workspace)
	w := &vmwire.TokenRequest{ID: ask.ID, Workspace: workspace, Tokens: ask.Tokens, Loan: ask.Loan}
	sent := s.SendControl(vmwire.KindTokenRequest, w)
	give, ok := limit.TokenGrant{}, false
	if sent {
		give, ok = awaitTokenGive(ctx, answer)
	}
	now := g.Now()
	if !ok {
		g.tokens.CancelRequest(now, ask.ID)
		if caller.Err() == nil {
			g.grants.setBackoff(now.Add(unansweredBackoff), slot, workspace)
		}
		return give, false
	}
	if give.Tokens < missing {
		g.grants.setBackoff(now.Add(min(max(give.Wait, emptyHolderBackoff/5), emptyHolderBackoff)), slot, workspace)
	}
	g.tokens.AcceptGrant(now, give)
	return give, true
}

// awaitTokenGive waits for an answer until ctx ends.
func awaitTokenGive(ctx context.Context, answer <-chan limit.TokenGrant) (limit.TokenGrant, bool) {
	select {
	case give := <-answer:
		return give, true
	case <-ctx.Done():
		return limit.TokenGrant{}, false
	}
}

// onTokenAsk gives tokens. They are deducted before the answer is sent.
func (g *Gateway) onTokenAsk(m controlMessage) {
	var w vmwire.TokenRequest
	if !g.decode(m, &w) {
		return
	}
	now := g.Now()
	give := g.tokens.GrantTokens(now, limit.TokenRequest{
		ID: w.ID, Workspace: w.Workspace, Tokens: w.Tokens, Loan: w.Loan, Balance: w.Balance, Level: w.Level,
	})
	if w.Tokens == 0 {
		return // The end of a loan has no answer.
	}
	m.from.SendControl(vmwire.KindTokenGrant, &vmwire.TokenGrant{
		ID: give.ID, Workspace: give.Workspace, Tokens: give.Tokens, WaitMillis: give.Wait.Milliseconds(),
	})
}

// onTokenGive passes an answer to the request that waits for it. An answer that comes too late is
// lost, and with it the tokens.
func (g *Gateway) onTokenGive(m controlMessage) {
	var w vmwire.TokenGrant
	if !g.decode(m, &w) {
		return
	}
	give := limit.TokenGrant{
		ID: w.ID, Workspace: w.Workspace, Tokens: w.Tokens, Wait: time.Duration(w.WaitMillis) * time.Millisecond,
	}
	if !g.grants.deliver(give) {
		g.tokens.AcceptGrant(g.Now(), give) // The answer to a balancing request; a late one is void.
	}
}

// settleCharge ends a charge with what was used.
func (g *Gateway) settleCharge(c limit.Charge, r *Request, out Outcome) {
	now := g.Now()
	usedTokens := r.usedTokens(out)
	if usedTokens == 0 {
		g.tokens.Refund(now, c)
		return
	}
	g.tokens.Settle(now, c, usedTokens)
}

// tokenBound returns the largest number of tokens that the request can use.
func (r *Request) tokenBound() int64 {
	if r.Route.Kind == config.KindService {
		return max(r.Route.CallTokens, 1)
	}
	return r.PromptTokens + max(r.MaxTokens-r.ResumeFrom, 0)
}

// usedTokens returns the tokens that the request has used. An engine whose answer was cut may have
// generated all of it before it noticed: callers that disconnect after the first chunk would
// otherwise get many times their rate from the engines.
func (r *Request) usedTokens(out Outcome) int64 {
	if out.Ran == NotRun || out.Replayed {
		return 0
	}
	if r.Route.Kind == config.KindService {
		return max(r.Route.CallTokens, 1)
	}
	prompt := out.PromptTokens
	if prompt == 0 {
		prompt = r.PromptTokens
	}
	if out.Code != OK {
		return prompt + max(r.MaxTokens-r.ResumeFrom, 0)
	}
	return prompt + out.AnswerTokens
}
