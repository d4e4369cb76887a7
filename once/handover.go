package once

import (
	"errors"
	"strings"
	"time"

	"parsleyhatch/event"
	"parsleyhatch/vmwire"
)

// MaxHandoverBytes is the maximum encoded size of one handover frame, in bytes.
const MaxHandoverBytes = 128 << 10

// frameOverheadBytes is reserved in each frame for the fields other than the records, in bytes.
const frameOverheadBytes = 1 << 10

// maxExportDelay is the longest time allowed between Seal and Export. After a longer pause, a successor may
// already have started and run calls that are missing from the handover.
const maxExportDelay = 10 * time.Second

// slotSeparator separates the slots of an encoded roster. Slot names contain no NUL byte.
const slotSeparator = "\x00"

// ErrHandover is returned for a handover that cannot be imported. The table then refuses opaque keys until the
// horizon has passed.
var ErrHandover = errors.New("handover refused")

// Seal permanently stops the table from starting calls: MarkSending returns false afterwards. It releases records in
// state Claimed.
func (t *Table) Seal(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sealed {
		return
	}
	t.sealed = true
	t.sealedAt = now
	for _, r := range t.records {
		if r.state == Claimed {
			t.release(r)
		}
	}
	event.OnceSealed.Log(t.Log, "records", len(t.records))
}

// Export returns the handover frames of the sealed table. It returns none if this incarnation does not know all
// calls of its predecessor, holds no valid lease, or was sealed longer than maxExportDelay ago. Calls that are
// still running are exported as OutcomeUnknown.
func (t *Table) Export(now time.Time) []vmwire.Handover {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.sealed {
		event.FailInvariant(t.Log, event.BrokenOnceUnsaved, "slot", t.slot)
	}
	if !t.predecessorResolved(now) || !t.leaseValid(now) || now.Sub(t.sealedAt) > maxExportDelay {
		return nil
	}
	t.exported = true
	p := frameBuilder{slot: t.slot, incarnation: t.incarnation}
	t.exportOwnership(now, &p)
	for _, r := range t.records {
		p.add(t.exportRecord(now, r))
	}
	return p.finish()
}

// exportOwnership adds the current roster with age zero, the former rosters, and the moved workspaces.
func (t *Table) exportOwnership(now time.Time, p *frameBuilder) {
	p.add(vmwire.HandoverRecord{State: uint8(stateRoster), Route: t.roster.Placement, Key: strings.Join(t.roster.Slots, slotSeparator)})
	for _, f := range t.formerRosters {
		p.add(vmwire.HandoverRecord{
			State:     uint8(stateRoster),
			Route:     t.roster.Placement,
			Key:       strings.Join(f.slots, slotSeparator),
			AgeMillis: now.Sub(f.replacedAt).Milliseconds(),
		})
	}
	for workspace, at := range t.movedWorkspaces {
		p.add(vmwire.HandoverRecord{State: uint8(stateMoved), Workspace: workspace, AgeMillis: now.Sub(at).Milliseconds()})
	}
	if t.allMoved {
		p.add(vmwire.HandoverRecord{State: uint8(stateMoved), AgeMillis: now.Sub(t.allMovedAt).Milliseconds()})
	}
}

func (t *Table) exportRecord(now time.Time, r *Record) vmwire.HandoverRecord {
	state := r.state
	if state == Sent {
		state = OutcomeUnknown
	}
	return vmwire.HandoverRecord{
		Workspace: r.key.Workspace,
		Route:     r.key.Route,
		Key:       r.key.Key,
		Body:      r.body[:],
		State:     uint8(state),
		Status:    r.answer.Status,
		Header:    r.answer.Header,
		Answer:    r.answer.Body,
		AgeMillis: now.Sub(r.firstUsedAt).Milliseconds(),
	}
}

// Import adds the records of the predecessor's handover. The frames must be those returned by one call of
// HandoverStore.Take. Afterwards the table accepts opaque keys. If Import returns ErrHandover, it imported
// nothing.
func (t *Table) Import(now time.Time, frames []vmwire.Handover) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.canImport(now, frames) {
		event.OnceHandoverRefused.Log(t.Log, "slot", t.slot, "frames", len(frames))
		return ErrHandover
	}
	imported := 0
	for _, f := range frames {
		for _, hr := range f.Records {
			t.importRecord(now, hr)
			imported++
		}
	}
	t.predecessorImported = true
	event.OnceHandoverTaken.Log(t.Log, "records", imported)
	return nil
}

// canImport reports whether the frames are a complete and valid handover for this slot and placement, and fit
// into the table.
func (t *Table) canImport(now time.Time, frames []vmwire.Handover) bool {
	if t.predecessorResolved(now) || t.sealed || len(frames) == 0 || !complete(frames) {
		return false
	}
	if frames[0].Slot != t.slot || frames[0].Incarnation == t.incarnation {
		return false
	}
	records := len(t.records)
	for _, f := range frames {
		records += len(f.Records)
		for i := range f.Records {
			if !t.validRecord(&f.Records[i]) {
				return false
			}
		}
	}
	return records <= t.limits.Records
}

// validRecord reports whether one entry of a handover is well-formed and was made under the same placement.
func (t *Table) validRecord(hr *vmwire.HandoverRecord) bool {
	switch State(hr.State) {
	case stateRoster:
		return hr.Route == t.roster.Placement
	case stateMoved:
		return true
	case Answered, AnswerDropped, OutcomeUnknown:
		return len(hr.Body) == len(Digest{})
	}
	return false
}

// complete reports whether the frames are all the frames of one handover, in order.
func complete(frames []vmwire.Handover) bool {
	for i, f := range frames {
		if f.Slot != frames[0].Slot || f.Incarnation != frames[0].Incarnation {
			return false
		}
		if int(f.Index) != i || int(f.Count) != len(frames) {
			return false
		}
	}
	return true
}

// importRecord adds one entry. Ages do not include the transfer time, so entries are kept slightly longer than
// required, which is safe.
func (t *Table) importRecord(now time.Time, hr vmwire.HandoverRecord) {
	first := now.Add(-time.Duration(hr.AgeMillis) * time.Millisecond)
	switch State(hr.State) {
	case stateRoster:
		t.addFormerRoster(formerRoster{slots: strings.Split(hr.Key, slotSeparator), replacedAt: first})
		return
	case stateMoved:
		t.importMoved(hr.Workspace, first)
		return
	}
	t.importCall(first, hr)
}

func (t *Table) importMoved(workspace string, at time.Time) {
	if workspace != "" {
		t.setMoved(workspace, at)
		return
	}
	t.allMovedAt = at
	t.allMoved = true
}

func (t *Table) importCall(firstUsedAt time.Time, hr vmwire.HandoverRecord) {
	r := &Record{
		key:         Key{Workspace: hr.Workspace, Route: hr.Route, Key: hr.Key},
		state:       State(hr.State),
		done:        make(chan struct{}),
		firstUsedAt: firstUsedAt,
		opaque:      !IsTicket(hr.Key),
	}
	if _, ok := t.records[r.key]; ok {
		return // The key is a ticket of this incarnation, which a predecessor cannot have run.
	}
	copy(r.body[:], hr.Body)
	close(r.done)
	r.expires = firstUsedAt.Add(t.limits.opaqueKeyRetention())
	if !r.opaque {
		r.expires = firstUsedAt.Add(t.limits.TicketLifetime)
	}
	a := Answer{Status: hr.Status, Header: hr.Header, Body: hr.Answer}
	if r.state == Answered && t.bytes+a.bytes() > t.limits.TotalBytes {
		r.state = AnswerDropped
	}
	if r.state == Answered {
		r.answer = a
		t.addAnswerBytes(a.bytes())
	}
	t.add(r)
}

// frameBuilder packs records into frames of at most MaxHandoverBytes.
type frameBuilder struct {
	slot        string
	incarnation uint64
	frames      []vmwire.Handover
	usedBytes   int
}

func (p *frameBuilder) add(hr vmwire.HandoverRecord) {
	size := hr.Msgsize()
	if len(p.frames) == 0 || p.usedBytes+size > MaxHandoverBytes {
		p.frames = append(p.frames, vmwire.Handover{Slot: p.slot, Incarnation: p.incarnation, Index: int32(len(p.frames))})
		p.usedBytes = frameOverheadBytes
	}
	last := &p.frames[len(p.frames)-1]
	last.Records = append(last.Records, hr)
	p.usedBytes += size
}

// finish sets the number of frames in each frame and returns them.
func (p *frameBuilder) finish() []vmwire.Handover {
	for i := range p.frames {
		p.frames[i].Count = int32(len(p.frames))
	}
	return p.frames
}
