package gateway

import (
	"context"

	"parsleyhatch/config"
	"parsleyhatch/lending"
	"parsleyhatch/limit"
	"parsleyhatch/vmwire"
)

// SetTokenHooks installs the hooks. It must be called before Run.
func (g *Gateway) SetTokenHooks(h lending.Hooks) { g.lending.Hooks = h }

// charge takes the tokens of a request, asking other VMs if this one lacks them.
func (g *Gateway) charge(ctx context.Context, r *Request) (limit.Charge, Outcome) {
	c, refusal := g.lending.Charge(ctx, lending.Demand{
		RequestID: r.ID, Workspace: r.Workspace, Snapshot: r.Snapshot, Tokens: r.tokenBound(), Deadline: r.Deadline, Note: r.note,
	})
	switch {
	case refusal == nil:
		return c, Outcome{}
	case refusal.ExceedsBurst:
		return c, refuse(RateLimited, "the request can exceed the workspace's burst; lower max_tokens or shorten the prompt")
	case refusal.Unanswered:
		return c, refuseUntil(RateLimited, "this vm lacks tokens of the workspace, and other vms that may hold some did not answer", g.retries.RetryAfter(refusal.Wait))
	default:
		return c, refuseUntil(RateLimited, "the workspace is above its rate", g.retries.RetryAfter(refusal.Wait))
	}
}

func (g *Gateway) isConnected(slot string) bool { return g.sessions.get(slot) != nil }

func (g *Gateway) connect(ctx context.Context, slot string) bool {
	return g.sessionWith(ctx, slot) != nil
}

func (g *Gateway) sendTokenRequest(slot string, m *vmwire.TokenRequest) bool {
	s := g.sessions.get(slot)
	return s != nil && s.SendControl(vmwire.KindTokenRequest, m)
}

func (g *Gateway) onTokenRequest(m controlMessage) {
	var w vmwire.TokenRequest
	if !g.decode(m, &w) {
		return
	}
	if grant := g.lending.Answer(&w); grant != nil {
		m.from.SendControl(vmwire.KindTokenGrant, grant)
	}
}

func (g *Gateway) onTokenGrant(m controlMessage) {
	var w vmwire.TokenGrant
	if g.decode(m, &w) {
		g.lending.Receive(&w)
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
