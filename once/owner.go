package once

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"time"
)

// Owner returns the slot that owns an opaque key by rendezvous hashing, or "" if there are no slots. It uses
// SHA-256 so that callers cannot cheaply find keys that all belong to one slot.
func Owner(slots []string, k Key) string {
	var best string
	var bestScore uint64
	for _, slot := range slots {
		score := ownerScore(slot, k)
		if best == "" || score > bestScore || score == bestScore && slot < best {
			best, bestScore = slot, score
		}
	}
	return best
}

// ownerScore returns the rendezvous hash of a slot and a key. The hashed fields are length-prefixed, so that
// different field values never produce the same input.
func ownerScore(slot string, k Key) uint64 {
	buf := make([]byte, 0, 256)
	for _, field := range [...]string{slot, k.Workspace, k.Route, k.Key} {
		buf = binary.AppendUvarint(buf, uint64(len(field)))
		buf = append(buf, field...)
	}
	sum := sha256.Sum256(buf)
	return binary.BigEndian.Uint64(sum[:8])
}

// Roster determines the owners of opaque keys in the table's region.
type Roster struct {
	// Slots are the configured slots of the region.
	Slots []string
	// Placement identifies the assignment of workspaces and routes to regions, for example by a digest.
	// A handover made under another placement is refused.
	Placement string
}

// formerRoster is a roster that was replaced recently enough to affect the ownership of opaque keys.
type formerRoster struct {
	slots      []string
	replacedAt time.Time
}

// SetRoster sets the roster of a newly accepted configuration.
func (t *Table) SetRoster(now time.Time, r Roster) {
	t.mu.Lock()
	defer t.mu.Unlock()
	slots := slices.Sorted(slices.Values(r.Slots))
	if t.roster.Slots != nil && !slices.Equal(slots, t.roster.Slots) {
		t.addFormerRoster(formerRoster{slots: t.roster.Slots, replacedAt: now})
	}
	t.roster = Roster{Slots: slots, Placement: r.Placement}
}

// addFormerRoster records a replaced roster. Equal rosters are stored once, with the later time. If there are
// more than Limits.FormerRosters, all opaque keys are treated as moved, which is safe.
func (t *Table) addFormerRoster(f formerRoster) {
	for i := range t.formerRosters {
		if slices.Equal(t.formerRosters[i].slots, f.slots) {
			if f.replacedAt.After(t.formerRosters[i].replacedAt) {
				t.formerRosters[i].replacedAt = f.replacedAt
			}
			return
		}
	}
	if len(t.formerRosters) >= t.limits.FormerRosters {
		t.allMovedAt = f.replacedAt
		t.allMoved = true
		return
	}
	t.formerRosters = append(t.formerRosters, f)
}

// MarkWorkspaceMoved records that a new configuration moved the workspace, or one of its routes, into this region.
// Opaque keys of the workspace without a record are refused until the horizon has passed.
func (t *Table) MarkWorkspaceMoved(now time.Time, workspace string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.setMoved(workspace, now)
}

func (t *Table) setMoved(workspace string, at time.Time) {
	if _, ok := t.movedWorkspaces[workspace]; !ok && len(t.movedWorkspaces) >= t.limits.MovedWorkspaces {
		t.allMovedAt = at
		t.allMoved = true
		return
	}
	t.movedWorkspaces[workspace] = at
}

// keyMoved reports whether another slot may have run the opaque key within the horizon.
func (t *Table) keyMoved(now time.Time, k Key) bool {
	if Owner(t.roster.Slots, k) != t.slot {
		return true
	}
	if t.allMoved && now.Sub(t.allMovedAt) < t.limits.opaqueKeyRetention() {
		return true
	}
	if at, ok := t.movedWorkspaces[k.Workspace]; ok && now.Sub(at) < t.limits.opaqueKeyRetention() {
		return true
	}
	for _, f := range t.formerRosters {
		if now.Sub(f.replacedAt) < t.limits.opaqueKeyRetention() && Owner(f.slots, k) != t.slot {
			return true
		}
	}
	return false
}

// removeExpiredMoves removes former rosters and moved workspaces that are too old to affect ownership.
func (t *Table) removeExpiredMoves(now time.Time) {
	t.formerRosters = slices.DeleteFunc(t.formerRosters, func(f formerRoster) bool {
		return now.Sub(f.replacedAt) >= t.limits.opaqueKeyRetention()
	})
	for workspace, at := range t.movedWorkspaces {
		if now.Sub(at) >= t.limits.opaqueKeyRetention() {
			delete(t.movedWorkspaces, workspace)
		}
	}
}
