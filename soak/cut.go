package soak

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"parsleyhatch/standin/faultlink"
)

// cutForm is the way in which a VM is cut from all upstreams.
type cutForm int

const (
	// cutHangs discards all data and answers no attempt to connect.
	cutHangs cutForm = iota
	// cutResets resets all connections and refuses new ones.
	cutResets
	// cutRefuses refuses new connections and leaves the open ones alone.
	cutRefuses
	cutForms
)

// cutVMs cuts VMs from all upstreams for the duration of the fault.
func (s *soak) cutVMs(f fault) error {
	form, vms := cutForm(f.variant)%cutForms, s.cutTargets(f)
	end := s.history.startCut(vms)
	var err error
	for _, v := range vms {
		_, _ = fmt.Fprintf(s.log, "vm %s is cut from all upstreams, form %d\n", v.name, form)
		err = errors.Join(err, s.beginCut(v, form))
	}
	time.Sleep(f.duration)
	end()
	for _, v := range vms {
		err = errors.Join(err, s.endCut(v, form))
	}
	return err
}

// cutTargets returns one VM, or all VMs in use of its region.
func (s *soak) cutTargets(f fault) []*vmProcess {
	target := s.pickVM(f.target)
	if f.variant/int(cutForms)%2 == 0 {
		return []*vmProcess{target}
	}
	return s.presentVMs(target.region)
}

func (s *soak) beginCut(v *vmProcess, form cutForm) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if form == cutHangs {
		v.hangingCuts.Add(1)
		return v.upstreamLinks.Hang()
	}
	v.refusingCuts++
	v.upstreamLinks.Refuse(form == cutResets)
	return nil
}

func (s *soak) endCut(v *vmProcess, form cutForm) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if form == cutHangs {
		v.hangingCuts.Add(-1)
		return v.upstreamLinks.Each((*faultlink.Link).Answer)
	}
	v.refusingCuts--
	return v.upstreamLinks.Each((*faultlink.Link).Accept)
}

// cut is a time in which VMs are cut from all upstreams. end is zero while it lasts.
type cut struct {
	vms        []string
	start, end time.Time
}

// startCut records the start of a cut. The returned function records its end.
func (h *history) startCut(vms []*vmProcess) (end func()) {
	c := &cut{}
	var links []string
	for _, v := range vms {
		c.vms, links = append(c.vms, v.name), append(links, partLinksOf(v.name))
	}
	endLinks := h.startDisturbance(links...)
	record(h, &h.cuts, c)
	endCut := h.startSpan(&c.start, &c.end)
	return func() {
		endLinks()
		endCut()
	}
}

// checkCuts compares how often the first attempts of callers are served at VMs that are cut from all upstreams and at the others.
func checkCuts(h *history, b bounds, report reportFunc) {
	for _, c := range h.cuts {
		there, elsewhere := h.attemptsDuring(c, b)
		allowed := b.cutFailures + int(b.cutFailureShare*float64(there.sent+elsewhere.sent))
		if there.sent-there.served > allowed && there.share() < b.cutServedShare*elsewhere.share() {
			report("many", "%d of %d first attempts are served at %v, which are cut from all upstreams, and %d of %d elsewhere", there.served, there.sent, c.vms, elsewhere.served, elsewhere.sent)
		}
	}
}

// attemptsDuring counts the first attempts from settle after the start of a cut to its end. Those at disturbed VMs and those with
// withdrawn keys don't count.
func (h *history) attemptsDuring(c *cut, b bounds) (there, elsewhere servedCount) {
	for id, req := range h.requests {
		_, withdrawn := h.keyWithdrawnAt[req.key]
		if withdrawn || req.resumes != "" || req.sentAt.Before(c.start.Add(b.settle)) || !c.end.IsZero() && req.sentAt.After(c.end) {
			continue
		}
		got := h.responses[id]
		if h.disturbedBetween(req.sentAt.Add(-b.settle), got.receivedAt, req.vm) {
			continue
		}
		group := &elsewhere
		if slices.Contains(c.vms, req.vm) {
			group = &there
		}
		group.add(got)
	}
	return there, elsewhere
}
