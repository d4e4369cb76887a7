package poison

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"parsleyhatch/vmwire"
)

const testService = "engine"

func testParts() (*Parts, time.Time) { return NewParts(DefaultPartLimits()), time.Now() }

// testLifetime returns the n-th lifetime of the tests.
func testLifetime(n int) Lifetime { return Lifetime{Upstream: fmt.Sprintf("u%d", n), Born: int64(n)} }

func (t *Parts) isQuarantined(now time.Time, id uint64) bool {
	return len(t.Quarantined(now, testService, []uint64{id})) > 0
}

// Guards against a quarantine or an expiry that deviates from the rules documented at PartLimits.
func TestPartRules(t *testing.T) {
	const step = 600 * time.Millisecond // Longer than an episode.
	for name, c := range map[string]struct {
		// crashes are the numbers of the upstreams that end, and times the times of their ends.
		crashes []int
		times   []time.Duration
		want    bool
	}{
		"two episodes":                   {crashes: []int{1, 2}, times: []time.Duration{0, step}},
		"three episodes":                 {crashes: []int{1, 2, 3}, times: []time.Duration{0, step, 2 * step}, want: true},
		"an upstream counts once":        {crashes: []int{1, 2, 1}, times: []time.Duration{0, step, 2 * step}},
		"four upstreams, two episodes":   {crashes: []int{1, 2, 3, 4}, times: []time.Duration{0, 1, 2, step}},
		"five upstreams, two episodes":   {crashes: []int{1, 2, 3, 4, 5}, times: []time.Duration{0, 1, 2, 3, step}, want: true},
		"five upstreams, one episode":    {crashes: []int{1, 2, 3, 4, 5}, times: []time.Duration{0, 1, 2, 3, 4}},
		"an episode begins with a crash": {crashes: []int{1, 2, 3}, times: []time.Duration{0, step / 2, step}},
	} {
		t.Run(name, func(t *testing.T) {
			parts, start := testParts()
			var last time.Time
			for i, n := range c.crashes {
				last = start.Add(c.times[i])
				parts.RecordCrash(last, testLifetime(n), testService, []uint64{7})
			}
			if got := parts.isQuarantined(last, 7); got != c.want {
				t.Errorf("quarantined: %v, want %v", got, c.want)
			}
			if len(parts.Quarantined(last, "another service", []uint64{7})) > 0 {
				t.Error("the part is quarantined at another service")
			}
			end := last.Add(parts.limits.Lifetime)
			if parts.isQuarantined(end, 7) {
				t.Error("quarantined after the lifetime")
			}
			if n, _ := parts.Counts(end); n != 0 || len(parts.lifetimes) != 0 {
				t.Errorf("%d parts and %d upstreams after the lifetime", n, len(parts.lifetimes))
			}
		})
	}
}

// Guards against a quarantine that a completion does not end, and against one that an answer to a request sent before the
// crash ends.
func TestPartEvidenceIsDiscarded(t *testing.T) {
	parts, start := testParts()
	crash := func(id uint64) time.Time {
		for i := range 3 {
			parts.RecordCrash(start.Add(time.Duration(i)*time.Second), testLifetime(i), testService, []uint64{id})
		}
		return start.Add(3 * time.Second)
	}
	now := crash(1)
	if parts.RecordCompletion(now, testService, []uint64{1, 2}) == nil || parts.isQuarantined(now, 1) {
		t.Error("a completion does not end the quarantine")
	}
	now = crash(3)
	if parts.RecordAnswer(now, testLifetime(2), start.Add(2*time.Second)); !parts.isQuarantined(now, 3) {
		t.Error("an answer to a request that was sent before the crash ended the quarantine")
	}
	if parts.RecordAnswer(now, testLifetime(9), now); !parts.isQuarantined(now, 3) {
		t.Error("an answer of another upstream ended the quarantine")
	}
	if parts.RecordAnswer(now, testLifetime(2), now) == nil || parts.isQuarantined(now, 3) {
		t.Error("an answer of the upstream does not end the quarantine")
	}
	if _, quarantined := parts.Counts(now); quarantined != 0 {
		t.Errorf("%d quarantined parts", quarantined)
	}
}

// Guards against the quarantine of parts that many upstreams ran when a failure domain was lost.
func TestOutageQuarantinesNoPart(t *testing.T) {
	parts, start := testParts()
	for i := range 100 {
		// The connections of a lost failure domain end within a fraction of a second.
		now := start.Add(time.Duration(i) * 4 * time.Millisecond)
		parts.RecordCrash(now, testLifetime(i), testService, []uint64{1, uint64(100 + i%10)})
	}
	if suspected, quarantined := parts.Counts(start.Add(time.Second)); suspected == 0 || quarantined > 0 {
		t.Errorf("%d parts suspected and %d quarantined, want some and none", suspected, quarantined)
	}
}

// Guards against the quarantine of a part that requests share with the one that crashes upstreams.
func TestPopularPartStaysClean(t *testing.T) {
	const shared, crashing = 1, 2
	parts, start := testParts()
	for i := range 200 {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		// The requests that run beside the crashing one are lost as well.
		if i%7 == 0 && !parts.isQuarantined(now, crashing) {
			parts.RecordCrash(now, testLifetime(i), testService, []uint64{shared, crashing})
			parts.RecordCrash(now, testLifetime(i), testService, []uint64{shared})
		}
		if i%5 == 3 {
			parts.RecordCompletion(now, testService, []uint64{shared})
		}
		if parts.isQuarantined(now, shared) {
			t.Fatalf("the shared part is quarantined after %v", now.Sub(start))
		}
	}
	if !parts.isQuarantined(start.Add(20*time.Second), crashing) {
		t.Error("the crashing part is not quarantined")
	}
}

// Guards against the quarantine of parts whose requests upstreams lose although they do not crash: each of them resets 40%
// of its connections.
func TestResetConnectionsQuarantineNoPart(t *testing.T) {
	const upstreams, requestsPerSecond, partCount = 6, 50, 2000
	parts, start := testParts()
	random := rand.New(rand.NewPCG(17, 4))
	for i := range 60 * requestsPerSecond {
		now := start.Add(time.Duration(i) * time.Second / requestsPerSecond)
		l := testLifetime(random.IntN(upstreams))
		ids := []uint64{1, uint64(2 + random.IntN(partCount))}
		if random.Float64() < 0.4 {
			parts.RecordCrash(now, l, testService, ids)
			continue
		}
		parts.RecordAnswer(now, l, now.Add(-time.Millisecond))
		parts.RecordCompletion(now, testService, ids)
		if _, quarantined := parts.Counts(now); quarantined > 0 {
			t.Fatalf("%d parts are quarantined after %v", quarantined, now.Sub(start))
		}
	}
}

// Guards against a quarantine that is never tested, and against tests at short intervals of a part that has never completed.
func TestProbeIntervals(t *testing.T) {
	for name, completed := range map[string]bool{"completed before": true, "never completed": false} {
		t.Run(name, func(t *testing.T) {
			parts, start := testParts()
			early, late := parts.limits.CompletedProbeInterval, parts.limits.OtherProbeInterval
			delays := []time.Duration{late, 2 * late, 4 * late}
			if completed {
				delays = []time.Duration{early, 2 * early, late, 2 * late}
				parts.RecordCompletion(start, testService, []uint64{1})
			}
			began := start
			for i := range 3 {
				began = start.Add(time.Duration(3+i) * time.Second)
				parts.RecordCrash(began, testLifetime(i), testService, []uint64{1})
			}
			p := Part{Service: testService, ID: 1}
			for _, at := range delays {
				if parts.TryProbe(began.Add(at-time.Millisecond), p) {
					t.Errorf("tested before %v", at)
				}
				if !parts.TryProbe(began.Add(at), p) || parts.TryProbe(began.Add(at), p) {
					t.Errorf("not tested once at %v", at)
				}
			}
			last := began.Add(delays[len(delays)-1])
			parts.CancelProbe(p)
			if !parts.TryProbe(last, p) || parts.TryProbe(last, p) {
				t.Error("not tested once after the last test was cancelled")
			}
			if parts.RecordCompletion(last, testService, []uint64{1}) == nil || parts.TryProbe(began.Add(time.Hour), p) {
				t.Error("the completion of the test does not end the quarantine")
			}
		})
	}
}

// Guards against a table that grows without bound, and against new suspects that end a quarantine.
func TestPartBounds(t *testing.T) {
	parts, now := testParts()
	for i := range 3 {
		parts.RecordCrash(now.Add(time.Duration(i)*time.Second), testLifetime(i), testService, []uint64{1})
	}
	now = now.Add(3 * time.Second)
	for i := range 3 * parts.limits.MaxParts {
		parts.RecordCrash(now, testLifetime(100+i), testService, []uint64{uint64(100 + i)})
	}
	for i := range 2 * parts.limits.MaxCrashesPerPart {
		parts.RecordCrash(now.Add(time.Duration(i)*time.Second), testLifetime(i), testService, []uint64{2})
	}
	for i := range 3 * parts.limits.MaxCompletions {
		parts.RecordCompletion(now, testService, []uint64{uint64(1000000 + i)})
	}
	if !parts.isQuarantined(now, 1) {
		t.Error("new suspects ended a quarantine")
	}
	crashes := len(parts.entries[Part{Service: testService, ID: 2}].crashes)
	completions := len(parts.completions.recent) + len(parts.completions.older)
	if len(parts.entries) > parts.limits.MaxParts || crashes > parts.limits.MaxCrashesPerPart ||
		len(parts.lifetimes) > parts.limits.MaxLifetimes || completions > parts.limits.MaxCompletions {
		t.Errorf("%d parts, %d crashes, %d upstreams and %d completions exceed the limits",
			len(parts.entries), crashes, len(parts.lifetimes), completions)
	}
}

// reportGenerator draws reports with one entry each, about few parts and upstreams.
func reportGenerator() *rapid.Generator[*vmwire.PartReport] {
	return rapid.Custom(func(t *rapid.T) *vmwire.PartReport {
		l := testLifetime(rapid.IntRange(0, 5).Draw(t, "upstream"))
		id := rapid.Uint64Range(1, 3).Draw(t, "part")
		age := vmwire.Age(rapid.Int64Range(0, 20).Draw(t, "age") * 500)
		switch rapid.IntRange(0, 4).Draw(t, "kind") {
		case 0:
			return &vmwire.PartReport{Completions: []vmwire.PartCompletion{{Service: testService, Part: id, Age: age}}}
		case 1:
			return &vmwire.PartReport{Answers: []vmwire.UpstreamAnswer{{Upstream: l.Upstream, Born: l.Born, Age: age}}}
		default:
			return &vmwire.PartReport{Crashes: []vmwire.PartCrash{{
				Service: testService, Upstream: l.Upstream, Born: l.Born, Age: age, Parts: []uint64{id, id + 1},
			}}}
		}
	})
}

// describe returns the crashes of all parts and which of them are quarantined.
func (t *Parts) describe(start time.Time) map[string]string {
	state := map[string]string{}
	for p, e := range t.entries {
		state[fmt.Sprint(p)] = fmt.Sprint("quarantined ", e.quarantined)
		for l, at := range e.crashes {
			state[fmt.Sprint(p, l)] = at.Sub(start).String()
		}
	}
	return state
}

// Guards against VMs that judge a part differently because reports reached them in another order or repeatedly, and against
// a VM that has just started and learns less than the others know.
func TestMergeIgnoresOrderAndRepetition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		reports := rapid.SliceOfN(reportGenerator(), 1, 30).Draw(t, "reports")
		first, second, third := NewParts(DefaultPartLimits()), NewParts(DefaultPartLimits()), NewParts(DefaultPartLimits())
		for _, r := range reports {
			first.Merge(now, r)
		}
		for _, i := range rapid.Permutation(indexes(len(reports))).Draw(t, "order") {
			second.Merge(now, reports[i])
			second.Merge(now, reports[(i*7)%len(reports)])
		}
		for _, r := range first.Export(now) {
			third.Merge(now, r)
		}
		want := first.describe(now)
		if got := second.describe(now); !maps.Equal(got, want) {
			t.Errorf("state %v in another order, want %v", got, want)
		}
		if got := third.describe(now); !maps.Equal(got, want) {
			t.Errorf("state %v after an export, want %v", got, want)
		}
	})
}

func indexes(n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	return list
}

// Guards against a VM that keeps a part suspected although another one knows of a completion, and against replies in a row
// about one completion.
func TestMergeRepliesWithCompletions(t *testing.T) {
	reporter, start := testParts()
	other := NewParts(DefaultPartLimits())
	other.RecordCompletion(start, testService, []uint64{1})
	now := start.Add(time.Second)
	report := reporter.RecordCrash(now, testLifetime(1), testService, []uint64{1, 2})
	changed, reply := other.Merge(now, report)
	if changed == nil || len(changed.Crashes[0].Parts) != 1 || reply == nil || !reply.Reply {
		t.Fatalf("changed %v and replied %v, want one part and a reply", changed, reply)
	}
	if _, again := other.Merge(now, report); again != nil {
		t.Errorf("replied %v again", again)
	}
	if corrected, _ := reporter.Merge(now, reply); corrected == nil || len(corrected.Completions) != 1 {
		t.Errorf("the reply changed %v, want one completion", corrected)
	}
	if n, _ := reporter.Counts(now); n != 1 {
		t.Errorf("%d parts are suspected, want the other one", n)
	}
}

// BenchmarkQuarantined measures the check of a request's parts in a full table.
func BenchmarkQuarantined(b *testing.B) {
	parts, now := testParts()
	for i := range parts.limits.MaxParts {
		parts.RecordCrash(now, testLifetime(i), testService, []uint64{uint64(i)})
	}
	for b.Loop() {
		parts.Quarantined(now, testService, []uint64{1, 100000, 100001})
	}
}

// BenchmarkRecordCompletion measures the record of a completed request with three parts.
func BenchmarkRecordCompletion(b *testing.B) {
	parts, now := testParts()
	for b.Loop() {
		parts.RecordCompletion(now, testService, []uint64{1, 2, 3})
	}
}
