package edge

import (
	"context"
	"time"

	"parsleyhatch/replica"
	"parsleyhatch/vmwire"
)

// reportLoss reports an upstream that this VM does not reach any more to the VMs of its region: one that has nothing to send to it
// until it has started again would not know that it is cold.
func (e *Edge) reportLoss(p replica.Probe, startedAt time.Time) {
	now := e.Now()
	if born, report := e.Replicas.ReportLoss(now, p.ID); report {
		e.Fleet.BroadcastLoss(&vmwire.UpstreamLoss{Upstream: p.ID, Born: born, Age: vmwire.AgeOf(now, startedAt)})
	}
}

// receiveLoss handles the report of another VM that it does not reach an upstream. That VM may be cut off: what the upstream has
// sent to this one since then shows that it has not started again.
func (e *Edge) receiveLoss(now time.Time, m *vmwire.UpstreamLoss) {
	p, check := e.Replicas.ReceiveLoss(now, m.Upstream, m.Born)
	if check && e.Pool.LastReadAt(p.Address).Before(now.Add(-m.Age.Duration())) {
		go e.runLossCheck(p)
	}
}

// runLossCheck finds out whether this VM reaches an upstream that another VM does not reach. If it does, the upstream may have
// started again since, and counts as cold.
func (e *Edge) runLossCheck(p replica.Probe) {
	if e.connect(context.Background(), p, 0) != nil {
		return
	}
	if born, ask := e.Replicas.AssumeCold(e.Now(), p.ID, e.service(p.Service)); ask {
		e.runWarmUpQuestion(p, born)
	}
}
