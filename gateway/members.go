package gateway

import (
	"context"
	"errors"
	"slices"
	"time"

	"parsleyhatch/audit"
	"parsleyhatch/configserver"
	"parsleyhatch/event"
	"parsleyhatch/member"
	"parsleyhatch/vm"
	"parsleyhatch/vmwire"
)

// vmListInterval is the period of reading the platform's list of VMs.
const vmListInterval = 5 * time.Second

// ackTimeout is the time without a heartbeat acknowledgement after which a session is closed. It
// detects a path that has failed only towards the other VM: frames still arrive here, so the
// session is not silent, but a forwarded request would wait for an answer that cannot come.
const ackTimeout = 5 * time.Second

var errNotAcknowledged = errors.New("the peer VM does not acknowledge heartbeats")

// tickMembers advances the member table and sends heartbeats when they are due.
func (g *Gateway) tickMembers(ctx context.Context, now time.Time) {
	g.members.SetOwnState(g.ready.Load(), g.leaving.Load())
	changes := g.members.Tick(now)
	if changes.PauseDuration > 0 {
		g.tokens.DiscardTokens(now)
		event.ProcessPaused.Log(g.Log, "gapMillis", changes.PauseDuration.Milliseconds())
		clear(g.unackedSince) // Acknowledgements may still be queued for this loop.
	}
	for _, slot := range changes.NewlyDead {
		g.Audit.Add(now, audit.Entry{Kind: audit.VMLeft, Subject: "vm/" + slot})
		event.MemberDead.Log(g.Log, "slot", slot)
	}
	for _, slot := range changes.NewlyAlive {
		g.Audit.Add(now, audit.Entry{Kind: audit.VMJoined, Subject: "vm/" + slot})
		event.MemberReturned.Log(g.Log, "slot", slot)
	}
	if len(changes.NewlyDead)+len(changes.NewlyAlive) > 0 {
		g.fleetChanged = true
		g.selectWatched(now)
	}
	g.applyLease(now, changes.Lease, true)
	g.checkSuperseded(now)
	if now.Sub(g.lastHeartbeat) >= member.HeartbeatInterval {
		g.lastHeartbeat = now
		g.sendHeartbeats(ctx, now)
	}
	g.isReader.Store(g.readsPlatform(now))
}

// readsPlatform reports whether this VM watches the configuration service. A VM without a
// configuration does, since it cannot know the roster.
func (g *Gateway) readsPlatform(now time.Time) bool {
	return g.Snapshot() == nil || slices.Contains(g.members.ConfigReaders(now, g.Self.Region), g.Self.Slot)
}

// applyLease applies a lease, an interval in which this VM may act for its slot. current reports
// whether the confirming VM knew no later configuration.
func (g *Gateway) applyLease(now time.Time, lease member.Lease, current bool) {
	if !lease.Valid() {
		return
	}
	g.tokens.ExtendLease(now, lease.From, lease.To)
	if current {
		g.calls.RenewLease(lease.From)
	}
	g.leaseReceived = true
}

// checkSuperseded permanently stops this VM's work when a newer incarnation of its slot is known.
func (g *Gateway) checkSuperseded(now time.Time) {
	if !g.members.Superseded() {
		return
	}
	g.tokens.DiscardTokens(now)
	g.calls.Seal(now)
	g.leaving.Store(true)
	select {
	case <-g.superseded:
	default:
		close(g.superseded)
		g.Audit.Add(now, audit.Entry{Kind: audit.VMSuperseded, Subject: "vm/" + g.Self.Slot})
		event.Superseded.Log(g.Log, "slot", g.Self.Slot, "incarnation", g.Self.Incarnation)
	}
}

// sendInitialState sends a first heartbeat and, within the region, the request for this slot's
// handover and the known suspects.
func (g *Gateway) sendInitialState(now time.Time, s *vm.Session) {
	if s.Peer.Slot == g.Self.Slot {
		return
	}
	s.SendControl(vmwire.KindHeartbeat, g.heartbeat(now, s.Peer.Slot, g.members.StartRound(now)))
	if s.Peer.Region == g.Self.Region {
		g.requestHandover(now, s)
		for _, m := range g.quarantine.Export(now) {
			s.SendControl(vmwire.KindSuspectRequest, &m)
		}
	}
}

// runVMList reads the platform's list of VMs, which is a hint about VMs that do not respond.
func (g *Gateway) runVMList(ctx context.Context) {
	for ctx.Err() == nil {
		if list, err := g.Platform.VMs(ctx); err == nil {
			select {
			case g.vmLists <- list:
			case <-ctx.Done():
			}
		}
		sleep(ctx, vmListInterval)
	}
}

func (g *Gateway) recordVMList(list []configserver.VMState) {
	listed := make([]member.PlatformVM, 0, len(list))
	for _, v := range list {
		listed = append(listed, member.PlatformVM{Slot: v.Name, Live: v.State == "live", Leaving: v.State == "leaving"})
	}
	g.members.SetPlatformList(listed)
}
