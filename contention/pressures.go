package contention

import (
	"math"
	"sync"
	"time"
)

// percent is the unit of reported shares.
const percent = 100

// PressureReport is the refused share of a service as reported to other VMs.
type PressureReport struct {
	Service string
	// Percent is the refused share, from 1 to 100.
	Percent uint8
}

// WeightedShares holds the refused shares that one VM reports, by service, and its weight in the mean of its region.
type WeightedShares struct {
	Weight float64
	Shares map[string]float64
}

// Pressures holds the Pressure of each service, and the shares that other VMs report. It is safe for concurrent use.
type Pressures struct {
	mu        sync.Mutex
	byService map[string]*Pressure
	// others holds the reported shares by service, as the highest mean of a region.
	others map[string]float64
}

// NewPressures returns a Pressures without any records.
func NewPressures() *Pressures { return &Pressures{byService: map[string]*Pressure{}} }

// Record records the decision on a request for a service.
func (p *Pressures) Record(now time.Time, service string, refused bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.byService[service]
	if s == nil {
		s = &Pressure{}
		p.byService[service] = s
	}
	s.Record(now, refused)
}

// Share returns the refused share of a service, from 0 to 1: that of this VM, or the reported one if it is higher.
func (p *Pressures) Share(now time.Time, service string) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	own := 0.0
	if s := p.byService[service]; s != nil {
		own = s.Share(now)
	}
	return max(own, p.others[service])
}

// Report returns this VM's own shares, without those that round to zero. Reported shares are left out, so that VMs do not confirm each other's
// reports after the refusals have ended.
func (p *Pressures) Report(now time.Time) []PressureReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	var reports []PressureReport
	for service, s := range p.byService {
		if share := math.Round(percent * s.Share(now)); share > 0 {
			reports = append(reports, PressureReport{Service: service, Percent: uint8(share)})
		}
	}
	return reports
}

// SetOthers replaces the reported shares. Services that are missing have no reported share any more.
func (p *Pressures) SetOthers(others map[string]float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.others = others
}

// Retain removes the records of all services except the given ones. The reported shares stay, since SetOthers replaces all of them.
func (p *Pressures) Retain(services map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for service := range p.byService {
		if !services[service] {
			delete(p.byService, service)
		}
	}
}

// MeanShares returns the means of the shares that VMs report, weighted by the VMs' weights. A VM that does not report a service counts as
// refusing none of its requests.
func MeanShares(reports []WeightedShares) map[string]float64 {
	means, total := map[string]float64{}, 0.0
	for _, r := range reports {
		total += r.Weight
		for service, share := range r.Shares {
			means[service] += r.Weight * share
		}
	}
	for service := range means {
		means[service] /= total
	}
	return means
}
