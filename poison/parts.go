package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"parsleyhatch/event"
	"parsleyhatch/vmwire"
)

// Part identifies a part of the prompts of a service.
type Part struct {
	Service string
	ID      uint64
}

// logHash returns a hash of the part for logs, which hold no content of callers.
func (p Part) logHash() string {
	sum := sha256.Sum256(binary.BigEndian.AppendUint64([]byte(p.Service+" "), p.ID))
	return fmt.Sprintf("%x", sum[:8])
}

// Lifetime identifies one run of an upstream.
type Lifetime struct {
	Upstream string
	// Born is the start time of the upstream in Unix milliseconds.
	Born int64
}

// PartLimits configure a table of parts.
type PartLimits struct {
	// Lifetime is the time after the last crash of a part at which its crashes are forgotten.
	Lifetime time.Duration
	// CompletionMargin is the time after a completion during which a crash counts as earlier than it. It covers the
	// delay of messages.
	CompletionMargin time.Duration
	// EpisodeLength is the time after the first crash of an episode during which other crashes belong to it. An outage
	// that ends many upstreams at one moment is one episode.
	EpisodeLength time.Duration
	// MaxEpisodes is the number of episodes at which a part is quarantined. MaxUpstreams is the number of upstreams at
	// which it is quarantined if their crashes are in more than one episode.
	MaxEpisodes  int
	MaxUpstreams int
	// MaxParts, MaxCrashesPerPart, MaxCompletions and MaxLifetimes bound the entries of the table.
	MaxParts          int
	MaxCrashesPerPart int
	MaxCompletions    int
	MaxLifetimes      int
	// CompletionMemory is the time for which completions of parts without crashes are remembered at least, unless there
	// are more than MaxCompletions.
	CompletionMemory time.Duration
	// AnnounceInterval is the minimum time between two messages about completions of a part or answers of an upstream.
	AnnounceInterval time.Duration
	// AnswerTime is the time after a crash during which answers of the upstream are reported.
	AnswerTime time.Duration
	// OtherProbeInterval is the time after the start of a quarantine at which one request is sent to test it. It is long,
	// because the request may end another upstream with all that runs there. CompletedProbeInterval is the same for the
	// first CompletedProbes tests of a part that completed before its crashes: it probably only ran beside the part that is
	// the cause. The intervals double after each test.
	CompletedProbeInterval time.Duration
	CompletedProbes        int
	OtherProbeInterval     time.Duration
}

// DefaultPartLimits returns the limits for production.
func DefaultPartLimits() PartLimits {
	return PartLimits{
		Lifetime: 10 * time.Minute, CompletionMargin: 2 * time.Second, EpisodeLength: 500 * time.Millisecond,
		MaxEpisodes: 3, MaxUpstreams: 5, MaxParts: 2048, MaxCrashesPerPart: 16, MaxCompletions: 16384, MaxLifetimes: 4096,
		CompletionMemory: time.Minute, AnnounceInterval: 200 * time.Millisecond, AnswerTime: 5 * time.Second,
		CompletedProbeInterval: 5 * time.Second, CompletedProbes: 2, OtherProbeInterval: 2 * time.Minute,
	}
}

// Parts holds the prompt parts that are suspected of crashing upstreams, as far as this VM knows. It is safe for
// concurrent use.
//
// A part is suspected if requests with it were lost with their upstreams, whatever else they held. Evidence is a set of
// lifetimes of upstreams, each with the time of its crash. A completed answer to a request with the part clears the
// part's crashes until then, and an answer of an upstream to a request sent after its crash shows that only a
// connection was lost. All times are merged by their maximum, so that the order and repetition of messages do not matter.
type Parts struct {
	// Log receives events; nil discards them. It must be set before use.
	Log *slog.Logger

	limits PartLimits

	mu          sync.Mutex
	entries     map[Part]*partEntry
	lifetimes   map[Lifetime]*lifetimeEntry
	completions partCompletions
}

// lifetimeEntry is what is known about a run of an upstream.
type lifetimeEntry struct {
	// lostAt is the time of the latest crash that counted for a part.
	lostAt time.Time
	// answeredAt is the latest time at which a request was sent that the upstream answered. It discards earlier crashes.
	answeredAt time.Time
}

// lastChange returns the time of the latest change.
func (l *lifetimeEntry) lastChange() time.Time { return latest(l.lostAt, l.answeredAt) }

// NewParts returns an empty table.
func NewParts(limits PartLimits) *Parts {
	return &Parts{
		limits: limits, entries: map[Part]*partEntry{}, lifetimes: map[Lifetime]*lifetimeEntry{},
		completions: partCompletions{recent: map[Part]*completion{}},
	}
}

// Quarantined returns those of the parts of a service with which requests are refused.
func (t *Parts) Quarantined(now time.Time, service string, parts []uint64) []Part {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.entries) == 0 {
		return nil
	}
	var list []Part
	for _, id := range parts {
		p := Part{Service: service, ID: id}
		if e := t.entry(now, p); e != nil && e.quarantined {
			list = append(list, p)
		}
	}
	return list
}

// Counts returns the numbers of suspected and of quarantined parts. The former include the latter.
func (t *Parts) Counts(now time.Time) (suspected, quarantined int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropExpired(now)
	for _, e := range t.entries {
		if e.quarantined {
			quarantined++
		}
	}
	return len(t.entries), quarantined
}

// RecordCrash records that an upstream was lost while it ran a request with the parts. It returns the report for
// other VMs, or nil if nothing has changed.
func (t *Parts) RecordCrash(now time.Time, l Lifetime, service string, parts []uint64) *vmwire.PartReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	crash := vmwire.PartCrash{Service: service, Upstream: l.Upstream, Born: l.Born}
	for _, id := range parts {
		p := Part{Service: service, ID: id}
		if e := t.entry(now, p); e != nil {
			if _, known := e.crashes[l]; known {
				continue // An upstream counts once, however many requests it ran.
			}
		}
		if !t.addCrash(now, p, l, now) {
			continue
		}
		crash.Parts = append(crash.Parts, id)
		if e := t.entries[p]; e != nil { // It may have been evicted for another one.
			event.PartSuspected.Log(t.Log, "part", p.logHash(), "upstream", l.Upstream, "crashes", len(e.crashes))
		}
	}
	if len(crash.Parts) == 0 {
		return nil
	}
	return &vmwire.PartReport{Crashes: []vmwire.PartCrash{crash}}
}

// RecordAnswer records that an upstream answered a request that was sent at a time. It returns the report for other
// VMs, or nil if there is none to send.
func (t *Parts) RecordAnswer(now time.Time, l Lifetime, sentAt time.Time) *vmwire.PartReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.lifetimes[l]
	if known == nil || known.lostAt.IsZero() || !sentAt.After(known.lostAt) {
		return nil
	}
	// Other VMs may know of the crash with a later time, since messages take time. Therefore some more answers are reported.
	answered := known.answeredAt.After(known.lostAt)
	if answered && (sentAt.Sub(known.lostAt) > t.limits.AnswerTime || sentAt.Sub(known.answeredAt) < t.limits.AnnounceInterval) {
		return nil
	}
	t.addAnswer(now, l, sentAt)
	return &vmwire.PartReport{Answers: []vmwire.UpstreamAnswer{t.answerMessage(now, l, sentAt)}}
}

// RecordCompletion records that a request with the parts was answered completely. It returns the report for other
// VMs if one of the parts was suspected, otherwise nil.
func (t *Parts) RecordCompletion(now time.Time, service string, parts []uint64) *vmwire.PartReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	report := &vmwire.PartReport{}
	for _, id := range parts {
		p := Part{Service: service, ID: id}
		if t.addCompletion(now, p, now) && t.announce(p) {
			report.Completions = append(report.Completions, t.completionMessage(now, p, now))
		}
	}
	if len(report.Completions) == 0 {
		return nil
	}
	return report
}

// TryProbe reports whether a request with the quarantined part may be sent now to test the quarantine, and counts it.
func (t *Parts) TryProbe(now time.Time, p Part) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entry(now, p)
	if e == nil || !e.quarantined {
		return false
	}
	if now.Sub(e.quarantinedAt) < t.probeDelay(e.probes, !t.clearedAt(p).IsZero()) {
		return false
	}
	e.probes++
	return true
}

// CancelProbe takes back a probe that has reached no upstream.
func (t *Parts) CancelProbe(p Part) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[p]; e != nil {
		e.probes = max(0, e.probes-1)
	}
}

// probeDelay returns the time from the start of a quarantine to the next probe after a number of them.
func (t *Parts) probeDelay(probes int, completed bool) time.Duration {
	if completed {
		if probes < t.limits.CompletedProbes {
			return t.limits.CompletedProbeInterval << probes
		}
		probes -= t.limits.CompletedProbes
	}
	return t.limits.OtherProbeInterval << min(probes, maxProbeDoublings)
}

// maxProbeDoublings bounds the growth of the interval between probes.
const maxProbeDoublings = 10

// announce reports whether a message about the latest completion of the part is due, and counts it.
func (t *Parts) announce(p Part) bool {
	c := t.completions.get(p)
	if c == nil || c.at.Sub(c.announced) < t.limits.AnnounceInterval {
		return false
	}
	c.announced = c.at
	return true
}
