package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against grants above the rate over all VMs while a workspace requests several times its rate:
// charges of other VMs between two reports must be subtracted later.
func TestRateBoundAcrossVMs(t *testing.T) {
	const (
		vms      = 9
		rate     = 660000.0
		report   = 250 * time.Millisecond
		delay    = 60 * time.Millisecond
		step     = 10 * time.Millisecond
		length   = 30 * time.Second
		window   = 8 * time.Second
		request  = 9000
		overload = 4.2
	)
	rng := rand.New(rand.NewPCG(1, 2))
	type message struct {
		from    int
		at      time.Time
		reports map[string]Report
	}
	var tables []*Table
	for range vms {
		tables = append(tables, newTable(rate, rate))
	}
	var inbox []message
	var granted []float64
	for now := start; now.Sub(start) < length; now = now.Add(step) {
		sum := 0.0
		for i, table := range tables {
			// Most requests of the workspace arrive in one region.
			share := 0.05
			if i < 3 {
				share = 0.7 / 3
			}
			if rng.Float64() < overload*rate*share/request*step.Seconds() {
				if ok, _ := table.Charge(now, "w", request); ok {
					sum += request
				}
			}
			if now.Sub(start)%report == time.Duration(i)*step {
				inbox = append(inbox, message{from: i, at: now.Add(delay), reports: table.Reports(now, false)})
			}
		}
		granted = append(granted, sum)
		kept := inbox[:0]
		for _, m := range inbox {
			if now.Before(m.at) {
				kept = append(kept, m)
				continue
			}
			for i, table := range tables {
				if i != m.from {
					table.ApplyReports(now, Sender{Name: fmt.Sprint(m.from), Settled: tables[m.from].Settled(now)}, m.reports)
				}
			}
		}
		inbox = kept
	}
	span := int(window / step)
	maxGranted := 0.0
	for i := 0; i+span <= len(granted); i++ {
		sum := 0.0
		for _, g := range granted[i : i+span] {
			sum += g
		}
		maxGranted = max(maxGranted, sum)
	}
	if bound := 1.25 * (rate*window.Seconds() + rate); maxGranted > bound {
		t.Errorf("%.0f granted in %v, bound %.0f", maxGranted, window, bound)
	}
	for i := 0; i < len(granted); i += 100 {
		sum := 0.0
		for _, g := range granted[i : i+100] {
			sum += g
		}
		t.Logf("second %d: %.2f", i/100, sum/rate)
	}
	t.Logf("most granted in a window: %.2f of the rate", maxGranted/(rate*window.Seconds()))
}
