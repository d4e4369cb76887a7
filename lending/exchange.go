// Package lending charges requests to the token buckets of their workspaces, and exchanges tokens with the VMs that hold the other
// shares of a workspace.
package lending

import (
	"context"
	"sync"
	"time"

	"parsleyhatch/config"
	"parsleyhatch/limit"
	"parsleyhatch/vmwire"
)

// defaultWait is the expected time until a workspace has tokens if it is unknown.
const defaultWait = time.Second

// Exchange holds the requests for tokens between this slot and the others. Its methods are safe for concurrent use.
type Exchange struct {
	// Slot and Region are those of this VM.
	Slot, Region string
	// Tokens holds the buckets of this slot.
	Tokens *limit.Table
	// Now is the clock.
	Now func() time.Time
	// Connected reports whether there is a session with a slot. Connect opens one if there is none.
	Connected func(slot string) bool
	Connect   func(ctx context.Context, slot string) bool
	// Send sends a message to a slot, and reports whether there was a session that took it.
	Send func(slot string, m *vmwire.TokenRequest) bool
	// Hooks must be set before the first request.
	Hooks Hooks

	mu       sync.Mutex
	waiting  map[uint64]chan<- limit.TokenGrant
	backoffs map[holderKey]backoff
}

// New returns an exchange without connections to other slots.
func New(slot, region string, tokens *limit.Table, now func() time.Time) *Exchange {
	return &Exchange{
		Slot: slot, Region: region, Tokens: tokens, Now: now,
		waiting: map[uint64]chan<- limit.TokenGrant{}, backoffs: map[holderKey]backoff{},
	}
}

// Demand is the tokens that a request needs.
type Demand struct {
	RequestID string
	Workspace *config.Workspace
	Snapshot  *config.Snapshot
	Tokens    int64
	// Deadline is the end of the time that the request may take.
	Deadline time.Time
	// Note adds a step to the explanation of the request.
	Note func(now time.Time, what, why string)
}

// Refusal is the reason why a request was not charged.
type Refusal struct {
	// ExceedsBurst is set if the request needs more tokens than the burst of its workspace.
	ExceedsBurst bool
	// Unanswered is set if VMs that may hold tokens of the workspace did not answer. Otherwise the workspace is above its rate.
	Unanswered bool
	// Wait is the expected time until the workspace has the tokens.
	Wait time.Duration
}

// ChargeRecord is one admitted request. The charge was made between Before and After.
type ChargeRecord struct {
	RequestID     string
	Workspace     string
	Tokens        int64
	Before, After time.Time
}

// Hooks lets tests observe charges and transfers. Each field may be nil.
type Hooks struct {
	// OnCharge is called after each charge.
	OnCharge func(ChargeRecord)
	// OnAsk is called for each request for tokens that is sent to another VM.
	OnAsk func(workspace string)
	// TransfersDisabled reports whether transfers are disabled for a workspace, as a baseline.
	TransfersDisabled func(workspace string) bool
}

func (h *Hooks) notifyCharge(d Demand, c limit.Charge, before, after time.Time) {
	if h.OnCharge != nil {
		h.OnCharge(ChargeRecord{RequestID: d.RequestID, Workspace: c.Workspace, Tokens: c.Tokens, Before: before, After: after})
	}
}

func (h *Hooks) notifyAsk(workspace string) {
	if h.OnAsk != nil {
		h.OnAsk(workspace)
	}
}

func (h *Hooks) transfersDisabled(workspace string) bool {
	return h.TransfersDisabled != nil && h.TransfersDisabled(workspace)
}

// Charge takes the tokens of a request, asking other holders if this slot lacks them. It returns a refusal if they have too few.
func (e *Exchange) Charge(ctx context.Context, d Demand) (limit.Charge, *Refusal) {
	before := e.Now()
	c, refusal := e.chargeOrAsk(ctx, d, before)
	if refusal == nil {
		e.Hooks.notifyCharge(d, c, before, e.Now())
	}
	return c, refusal
}

func (e *Exchange) chargeOrAsk(ctx context.Context, d Demand, now time.Time) (limit.Charge, *Refusal) {
	c, v := e.Tokens.Take(now, d.Workspace.Name, d.Tokens)
	if v.Admitted {
		e.balance(now, d)
		return c, nil
	}
	if v.ExceedsBurst {
		return c, &Refusal{ExceedsBurst: true}
	}
	b := newBorrowing(e, d, v)
	defer b.end()
	if b.askHolders(ctx) || b.awaitLate(ctx) {
		return b.charge, nil
	}
	d.Note(e.Now(), "no tokens", b.describe())
	wait := b.wait
	if wait == 0 {
		wait = defaultWait
	}
	return c, &Refusal{Unanswered: len(b.open)+len(b.unreachable) > 0, Wait: wait}
}

// holders lists the other slots with a share of the workspace, those of the own region first.
func (e *Exchange) holders(d Demand) []string {
	if e.Hooks.transfersDisabled(d.Workspace.Name) {
		return nil
	}
	regions := []string{e.Region}
	for _, region := range shareRegions(d.Workspace) {
		if region != e.Region {
			regions = append(regions, region)
		}
	}
	var slots []string
	for _, region := range regions {
		for _, slot := range limit.Holders(d.Workspace.Name, region, d.Snapshot.File.VMs) {
			if slot != e.Slot {
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

// balance asks the other holder of the region for a part of its tokens when this one runs low, so that the accrual of a full
// holder is not lost. The request does not wait for the answer.
func (e *Exchange) balance(now time.Time, d Demand) {
	if e.Hooks.transfersDisabled(d.Workspace.Name) {
		return
	}
	for _, slot := range limit.Holders(d.Workspace.Name, e.Region, d.Snapshot.File.VMs) {
		if slot == e.Slot || e.inBackoff(now, slot, d.Workspace.Name) {
			continue
		}
		if !e.Connected(slot) {
			continue
		}
		ask, ok := e.Tokens.Balance(now, d.Workspace.Name)
		if !ok {
			return
		}
		e.Hooks.notifyAsk(ask.Workspace)
		e.Send(slot, &vmwire.TokenRequest{
			ID: ask.ID, Workspace: ask.Workspace, Tokens: ask.Tokens, Loan: ask.Loan, Balance: ask.Balance, Level: ask.Level,
		})
	}
}

// Answer gives tokens to another slot, and returns the answer to send, or nil if there is none. The tokens are deducted before.
func (e *Exchange) Answer(w *vmwire.TokenRequest) *vmwire.TokenGrant {
	grant := e.Tokens.GrantTokens(e.Now(), limit.TokenRequest{
		ID: w.ID, Workspace: w.Workspace, Tokens: w.Tokens, Loan: w.Loan, Balance: w.Balance, Level: w.Level,
	})
	if w.Tokens == 0 {
		return nil // The end of a loan has no answer.
	}
	return &vmwire.TokenGrant{ID: grant.ID, Workspace: grant.Workspace, Tokens: grant.Tokens, WaitMillis: grant.Wait.Milliseconds()}
}

// Receive passes a grant to the request that waits for it. A grant that comes too late is lost, and with it the tokens.
func (e *Exchange) Receive(w *vmwire.TokenGrant) {
	grant := limit.TokenGrant{
		ID: w.ID, Workspace: w.Workspace, Tokens: w.Tokens, Wait: time.Duration(w.WaitMillis) * time.Millisecond,
	}
	if !e.deliver(grant) {
		e.Tokens.AcceptGrant(e.Now(), grant) // The answer to a balancing request; a late one is void.
	}
}
