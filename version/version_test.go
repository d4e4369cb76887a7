package version

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"parsleyhatch/replica"
)

var start = time.Unix(1000, 0)

// registered returns upstreams of one service with the given versions.
func registered(versions ...string) map[string]replica.Registration {
	m := map[string]replica.Registration{}
	for i, v := range versions {
		id := fmt.Sprintf("u%d", i)
		m[id] = replica.Registration{ID: id, Service: "s", Version: v}
	}
	return m
}

// past returns what changes in the hour before start show.
// The upstream u0 is registered after them.
func past(changes ...Change) Past {
	return NewPast(start.Add(-time.Hour), map[string]string{"u0": "s"}, changes)
}

// written returns a change to an upstream of the service.
func written(id, version string) Change {
	return Change{ID: id, Registration: replica.Registration{ID: id, Service: "s", Version: version}}
}

// created is written for an upstream that was not registered before.
func created(id, version string) Change {
	c := written(id, version)
	c.Created = true
	return c
}

// drains is written for an upstream that drains.
func drains(id, version string) Change {
	c := written(id, version)
	c.Registration.Draining = true
	return c
}

func deleted(id string) Change { return Change{ID: id, Deleted: true} }

// Guards against a version that is taken for the only one since a time although another one served then, or may have.
func TestOnly(t *testing.T) {
	const window = 15 * time.Second
	for name, c := range map[string]struct {
		setUp func(h *History)
		// after is the time from the first registrations to the question.
		after time.Duration
		want  string
		// unnamed is what is wanted for a stream without a name, if that differs.
		unnamed string
	}{
		"one for long": {setUp: func(h *History) {
			h.Update(start, registered("v1", "v1"))
			h.AddPast(past())
		}, want: "v1"},
		"the past is not known": {setUp: func(h *History) { h.Update(start, registered("v1")) }},
		"two": {setUp: func(h *History) {
			h.Update(start, registered("v1", "v2"))
			h.AddPast(past())
		}},
		"replaced by the same version": {setUp: func(h *History) {
			h.Update(start, registered("v1"))
			h.AddPast(past(created("u0", "v1"), drains("u1", "v1"), deleted("u1")))
		}, want: "v1"},
		"replaced by another version": {setUp: func(h *History) {
			h.Update(start, registered("v2"))
			h.AddPast(past(created("u0", "v2"), drains("u1", "v1"), deleted("u1")))
		}},
		"came and left without replacement": {setUp: func(h *History) {
			h.Update(start, registered("v1"))
			h.AddPast(past(created("u1", "v2"), deleted("u1")))
		}},
		"left without a trace of its version": {setUp: func(h *History) {
			h.Update(start, registered("v1"))
			h.AddPast(past(deleted("u1")))
		}, unnamed: "v1"},
		"lapsed and came back": {setUp: func(h *History) {
			h.Update(start, registered("v1"))
			h.AddPast(past(deleted("u0"), created("u0", "v1")))
		}},
		"lapsed and came back beside another upstream": {setUp: func(h *History) {
			h.Update(start, registered("v1", "v1"))
			h.AddPast(past(deleted("u1"), created("u1", "v1")))
		}, unnamed: "v1"},
		"started again in place": {setUp: func(h *History) {
			h.Update(start, registered("v2"))
			h.AddPast(past(written("u0", "v2")))
		}},
		"started again in place beside another upstream": {setUp: func(h *History) {
			h.Update(start, registered("v2", "v2"))
			h.AddPast(past(written("u1", "v2")))
		}, unnamed: "v2"},
		"all were replaced": {setUp: func(h *History) {
			h.Update(start, registered("v2"))
			h.AddPast(past(created("u0", "v2"), deleted("u1")))
		}},
		"left without a trace of its version, and another version": {setUp: func(h *History) {
			h.Update(start, registered("v1"))
			h.AddPast(past(deleted("u1"), created("u2", "v2"), deleted("u2")))
		}},
		"started again in place with another version": {setUp: func(h *History) {
			h.Update(start, registered("v2"))
			h.AddPast(past(created("u0", "v1"), written("u0", "v2")))
		}},
		"left with an unreadable registration": {setUp: func(h *History) {
			h.Update(start, registered("v1"))
			h.AddPast(past(created("u1", "v2"), Change{ID: "u1"}))
		}},
		"unreadable registration of another writer": {setUp: func(h *History) {
			h.Update(start, registered("v1"))
			h.AddPast(past(Change{ID: "u1", Created: true}, deleted("u1")))
		}, want: "v1"},
		"changes are missing": {setUp: func(h *History) {
			p := past()
			p.Incomplete = map[string]bool{"s": true}
			h.Update(start, registered("v1"))
			h.AddPast(p)
		}},
		"another VM knows what left": {setUp: func(h *History) {
			h.Update(start, registered("v1"))
			h.AddPast(past(deleted("u1")))
			h.Merge(Knowledge{Service: "s", Since: start.Add(-time.Hour), Seen: []Seen{{"v1", start}}})
		}, want: "v1"},
		"known for long":   {setUp: func(h *History) { h.Update(start, registered("v2")) }, after: window, want: "v2"},
		"nothing is known": {setUp: func(*History) {}},
		"another one began": {setUp: func(h *History) {
			h.Update(start, registered("v1"))
			h.AddPast(past())
			h.Update(start, registered("v2"))
		}},
		"the other left long ago": {setUp: func(h *History) {
			h.Update(start, registered("v1", "v2"))
			h.Update(start, registered("v2"))
		}, after: window, want: "v2"},
		"another VM knows more": {setUp: func(h *History) {
			h.Update(start, registered("v2"))
			h.Merge(Knowledge{Service: "s", Since: start.Add(-time.Hour), Seen: []Seen{{"v2", start}}})
		}, want: "v2"},
		"another VM knows another version": {setUp: func(h *History) {
			h.Update(start, registered("v2"))
			h.AddPast(past())
			h.Merge(Knowledge{Service: "s", Since: start.Add(-time.Hour), Seen: []Seen{{"v1", start.Add(-time.Second)}}})
		}},
		"what another VM knows comes first": {setUp: func(h *History) {
			h.Merge(Knowledge{Service: "s", Since: start.Add(-time.Hour), Seen: []Seen{{"v1", start}}})
			h.Update(start, registered("v2"))
		}},
	} {
		t.Run(name, func(t *testing.T) {
			h := NewHistory()
			c.setUp(h)
			for named, want := range map[bool]string{true: c.want, false: cmp.Or(c.want, c.unnamed)} {
				version, ok := h.Only("s", start.Add(c.after).Add(-window), named)
				if ok != (want != "") || ok && version != want {
					t.Errorf("named %v: only version %q, %v, want %q", named, version, ok, want)
				}
			}
			if len(h.Knowledge(start)) == 0 && name != "nothing is known" {
				t.Error("knows nothing of the service")
			}
		})
	}
}

// Guards against a stream that is forgotten while a caller may resume it, and against memory that grows for ever.
func TestStreams(t *testing.T) {
	const lifetime = 30 * time.Second
	s := NewStreams(start, lifetime)
	s.Add(start.Add(lifetime-time.Second), "id", Stream{Service: "s", Version: "v1"})
	if found, ok := s.Find(start.Add(2*lifetime-2*time.Second), "id"); !ok || found.Version != "v1" {
		t.Errorf("found %v, %v within its lifetime", found, ok)
	}
	if _, ok := s.Find(start.Add(4*lifetime), "id"); ok {
		t.Error("found after two lifetimes")
	}
	for i := range 3 * maxStreams {
		s.Add(start, fmt.Sprint(i), Stream{})
	}
	if n := len(s.recent) + len(s.older); n > 2*maxStreams {
		t.Errorf("%d streams are kept", n)
	}
}

// Guards against streams that are reported to other VMs twice, long after they ended, or never.
func TestTakeUnreported(t *testing.T) {
	s := NewStreams(start, time.Minute)
	s.Begin(start, "long ago", Stream{Service: "s", Version: "v1"})
	s.Begin(start.Add(20*time.Second), "running", Stream{Service: "s", Version: "v1"})
	s.Begin(start.Add(20*time.Second), "other", Stream{Service: "t", Version: "v1"})
	since := start.Add(10 * time.Second)
	for _, c := range []struct {
		service string
		want    []StartedStream
	}{
		{"s", []StartedStream{{ID: "running", Stream: Stream{Service: "s", Version: "v1"}, At: start.Add(20 * time.Second)}}},
		{"s", nil},
		{"t", []StartedStream{{ID: "other", Stream: Stream{Service: "t", Version: "v1"}, At: start.Add(20 * time.Second)}}},
	} {
		if taken := s.TakeUnreported(start, c.service, since); !slices.Equal(taken, c.want) {
			t.Errorf("service %s: %v, want %v", c.service, taken, c.want)
		}
	}
	for i := range 3 {
		reportedAt := start.Add(time.Duration(i) * time.Second)
		taken := s.TakeReported(reportedAt.Add(time.Second), "s", since)
		if len(taken) != 1 || taken[0].ID != "running" || !taken[0].ReportedAt.Equal(reportedAt) {
			t.Errorf("streams reported before: %+v, want running at %v", taken, reportedAt)
		}
	}
	for i := range 10 {
		s.Begin(start.Add(time.Duration(i)*time.Minute), "later", Stream{Service: "s"})
	}
	s.Begin(start.Add(10*time.Minute), "of another service", Stream{Service: "t"})
	kept := len(s.unreported["s"]) + len(s.unreported["t"]) + len(s.reported["s"]) + len(s.reported["t"])
	if kept > 2 {
		t.Errorf("%d unreported streams are kept for ever", kept)
	}
}

// BenchmarkTakeUnreported reports a stream as soon as it begins, beside other services whose streams are not reported.
func BenchmarkTakeUnreported(b *testing.B) {
	const otherServices, streams = 7, 7000
	s := NewStreams(start, time.Minute)
	for i := range streams {
		s.Begin(start, fmt.Sprint(i), Stream{Service: fmt.Sprint("other", i%otherServices), Version: "v1"})
	}
	b.ReportAllocs()
	for b.Loop() {
		s.Begin(start, "stream", Stream{Service: "s", Version: "v1"})
		s.TakeUnreported(start, "s", start)
	}
}

// Guards against a history that was read before a gap and hides it, and against a gap that hides the past for ever.
func TestPastAfterGap(t *testing.T) {
	h := NewHistory()
	h.Update(start, registered("v1"))
	gapAt := start.Add(time.Minute)
	h.MarkGap(gapAt)
	for until, want := range map[time.Time]bool{start: false, gapAt: true} {
		p := past()
		p.Until = until
		h.MarkGap(gapAt)
		h.AddPast(p)
		if _, ok := h.Only("s", start, true); ok != want {
			t.Errorf("changes until %v: known %v, want %v", until.Sub(start), ok, want)
		}
	}
}

// Guards against streams that no VM keeps any more after VMs were stopped in turn, and against reports to VMs that keep them already.
func TestReceiversOfHandedOverStreams(t *testing.T) {
	reported := time.Unix(1000, 0)
	old, young, restarting := reported.Add(-time.Minute), reported.Add(time.Second), reported.Add(-holderAge)
	for name, c := range map[string]struct {
		fewCopies bool
		starts    []time.Time
		want      string
		copies    int
	}{
		"all keep it":                      {starts: []time.Time{old, old, old, old, old, old, young}, copies: 6},
		"few keep it":                      {starts: []time.Time{old, old, old, old, young, young, young}, want: "45", copies: 6},
		"it may not have been known":       {starts: []time.Time{old, old, old, old, old, restarting}, want: "5", copies: 6},
		"all have started since":           {starts: []time.Time{young, young, young, young, young, young, young}, want: "012345", copies: 6},
		"it was handed over":               {fewCopies: true, starts: []time.Time{old, old, old, old, old, old, young}, want: "012345", copies: 6},
		"fewer VMs than copies are wanted": {starts: []time.Time{old, young}, want: "1", copies: 2},
		"no other VM":                      {},
	} {
		var holders []Holder
		for i, at := range c.starts {
			holders = append(holders, Holder{Slot: strconv.Itoa(i), StartedAt: at})
		}
		k := KeptStream{KeptAt: reported, FewCopies: c.fewCopies}
		receivers, copies := k.Receivers(holders)
		if got := strings.Join(receivers, ""); got != c.want || copies != c.copies {
			t.Errorf("%s: receivers %q, %d copies; want %q, %d", name, got, copies, c.want, c.copies)
		}
	}
}

// Guards against a stream that is kept, and handed over, once for each VM that has reported it.
func TestStreamIsKeptOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewStreams(now, time.Minute)
	began := StartedStream{ID: "a", Stream: Stream{Service: "s", Version: "v1"}, At: now}
	for i, fewCopies := range []bool{true, true, false, true} {
		s.Keep(now, KeptStream{StartedStream: began, From: Process{Slot: strconv.Itoa(i)}, KeptAt: now.Add(time.Duration(i)), FewCopies: fewCopies})
		want := []string{"0", "0", "2", "2"}[i]
		orphans := s.Orphans("s", now, func(Process) bool { return false })
		if len(orphans) != 1 || orphans[0].From.Slot != want || orphans[0].FewCopies != (i < 2) {
			t.Errorf("streams to hand over after report %d: %+v, want that of %s", i, orphans, want)
		}
	}
}
