package edge

import (
	"hash/fnv"
	"math"
	"time"

	"parsleyhatch/pace"
	"parsleyhatch/replica"
	"parsleyhatch/vm"
	"parsleyhatch/vmwire"
)

// LoadReport returns the load that this VM has on the upstreams of the region: on all of them if full is set,
// otherwise on those where it has changed since the last call. It returns nil if nothing has changed.
func (e *Edge) LoadReport(full bool) *vmwire.UpstreamLoads {
	m := &vmwire.UpstreamLoads{Whole: full}
	uses := e.Replicas.ChangedUses
	if full {
		uses = e.Replicas.Uses
	}
	for id, use := range uses(e.Now()) {
		m.Uses = append(m.Uses, vmwire.SenderLoad{
			Upstream: id, Running: int32(use.Running), Prefill: use.Prefill[:], Held: use.Held, Longest: use.Longest, Pace: paceMessage(use.Pace),
		})
	}
	if !full && len(m.Uses) == 0 {
		return nil
	}
	return m
}

// receiveUses applies the load that another VM of the region reported.
func (e *Edge) receiveUses(now time.Time, from vm.Identity, m *vmwire.UpstreamLoads) {
	uses := make(map[string]replica.Use, len(m.Uses))
	for _, u := range m.Uses {
		use := replica.Use{Running: int(u.Running), Held: u.Held, Longest: u.Longest, Pace: paceReport(u.Pace)}
		copy(use.Prefill[:], u.Prefill)
		uses[u.Upstream] = use
	}
	if m.Whole {
		e.Replicas.SetPeerUse(now, from.Slot, uses)
		return
	}
	e.Replicas.UpdatePeerUse(now, from.Slot, uses)
}

// LoadSums collects the load on the upstreams of the region, and returns a function that returns it without the part of
// one VM.
func (e *Edge) LoadSums(now time.Time) func(slot string) *vmwire.UpstreamSums {
	collected := e.Replicas.CollectUses(now)
	keys := make([]uint32, len(collected.IDs))
	for i, id := range collected.IDs {
		keys[i] = upstreamKey(id)
	}
	return func(slot string) *vmwire.UpstreamSums {
		m := &vmwire.UpstreamSums{Sums: make([]vmwire.UpstreamSum, 0, len(keys))}
		for i, use := range collected.Except(slot) {
			if sum := sumOf(keys[i], use); sum != (vmwire.UpstreamSum{Key: keys[i]}) {
				m.Sums = append(m.Sums, sum)
			}
		}
		return m
	}
}

// upstreamKey returns the key of an upstream in sums.
func upstreamKey(id string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return h.Sum32()
}

// sumOf returns the message for the use of an upstream, and sumUse the use in such a message.
func sumOf(key uint32, use replica.Use) vmwire.UpstreamSum {
	return vmwire.UpstreamSum{
		Key: key, Running: uint32(max(use.Running, 0)),
		Prefill0: sumUnits(use.Prefill[0]), Prefill1: sumUnits(use.Prefill[1]), Prefill2: sumUnits(use.Prefill[2]),
		Held: sumUnits(use.Held), Longest: sumUnits(use.Longest), Pace: paceMessage(use.Pace),
	}
}

const (
	// speedUnit is the number of tokens per second in a token per millisecond.
	speedUnit = 1000
	// maxPaceWeight is the largest weight in a message. It bounds what one VM can claim.
	maxPaceWeight = 50
)

// paceMessage returns the message for what was measured at an upstream, and paceReport the report in such a message.
func paceMessage(r pace.Report) vmwire.UpstreamPace {
	m := vmwire.UpstreamPace{GapWeight: paceWeight(r.GapWeight), SpeedWeight: paceWeight(r.SpeedWeight)}
	if m.GapWeight > 0 {
		m.GapMicros = uint32(r.Gap.Microseconds())
	}
	if m.SpeedWeight > 0 {
		m.Speed = uint32(r.Speed * speedUnit)
	}
	return m
}

func paceReport(m vmwire.UpstreamPace) pace.Report {
	return pace.Report{
		Gap: time.Duration(m.GapMicros) * time.Microsecond, GapWeight: float64(min(m.GapWeight, maxPaceWeight)),
		Speed: float64(m.Speed) / speedUnit, SpeedWeight: float64(min(m.SpeedWeight, maxPaceWeight)),
	}
}

// paceWeight rounds a weight. Less than half a sample is not reported.
func paceWeight(weight float64) uint8 { return uint8(math.Round(min(weight, maxPaceWeight))) }

// sumUnits rounds a number of tokens to units of SumTokens. Sums are not negative.
func sumUnits(tokens int64) uint32 {
	return uint32((max(tokens, 0) + vmwire.SumTokens/2) / vmwire.SumTokens)
}

func sumUse(s vmwire.UpstreamSum) replica.Use {
	return replica.Use{
		Running: int(s.Running), Held: int64(s.Held) * vmwire.SumTokens, Longest: int64(s.Longest) * vmwire.SumTokens, Pace: paceReport(s.Pace),
		Prefill: [replica.RankCount]int64{int64(s.Prefill0) * vmwire.SumTokens, int64(s.Prefill1) * vmwire.SumTokens, int64(s.Prefill2) * vmwire.SumTokens},
	}
}

// receiveSums applies the load that the other VMs put on the upstreams.
func (e *Edge) receiveSums(now time.Time, m *vmwire.UpstreamSums) {
	byKey := make(map[uint32]vmwire.UpstreamSum, len(m.Sums))
	for _, s := range m.Sums {
		byKey[s.Key] = s
	}
	e.Replicas.ApplySums(now, func(id string) replica.Use { return sumUse(byKey[upstreamKey(id)]) })
}

// setCollecting drops the sums of other collectors once this VM collects itself.
func (e *Edge) setCollecting(collecting bool) {
	if collecting {
		e.Replicas.DropSums()
	}
}
