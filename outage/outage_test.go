package outage

import (
	"slices"
	"testing"
	"time"

	"parsleyhatch/poison"
)

// Guards against requests that are quarantined because of the loss of a failure domain, and against a request
// that avoids quarantine because its crashes look like such a loss.
func TestOutage(t *testing.T) {
	engine := func(name, domain string) Crash { return Crash{Upstream: name, FailureDomain: domain} }
	start := time.Unix(1000, 0)
	cases := []struct {
		name    string
		crashes []Crash
		apart   time.Duration
		peers   int
		outage  bool
	}{
		{"failure domain lost", []Crash{engine("a", "x"), engine("b", "x"), engine("c", "x")}, 100 * time.Millisecond, 4, true},
		{"one request at two engines", []Crash{engine("a", "x"), engine("b", "x")}, 100 * time.Millisecond, 4, false},
		{"the same engine again", []Crash{engine("a", "x"), engine("a", "x"), engine("a", "x")}, 100 * time.Millisecond, 1, false},
		{"spread over domains", []Crash{engine("a", "x"), engine("b", "y"), engine("c", "z")}, 100 * time.Millisecond, 4, false},
		{"far apart", []Crash{engine("a", "x"), engine("b", "x"), engine("c", "x")}, time.Minute, 4, false},
	}
	for _, c := range cases {
		var table Table
		found := 0
		now := start
		for i, crash := range c.crashes {
			crash.At, crash.Running = now, []poison.Fingerprint{{byte(i)}}
			notAtFault, outage := table.RecordCrash(now, crash, func(string) int { return c.peers })
			if outage {
				found = len(notAtFault)
			}
			now = now.Add(c.apart)
		}
		if want := len(c.crashes); c.outage && found != want || !c.outage && found != 0 {
			t.Errorf("%s: %d requests returned as not at fault, outage expected: %v", c.name, found, c.outage)
		}
	}
}

// Guards against a request that avoids quarantine because the upstreams that it crashes look like a lost failure domain.
func TestRepeatedRequestIsNoOutage(t *testing.T) {
	start := time.Unix(1000, 0)
	repeated := poison.Fingerprint{99}
	domainSize := func(string) int { return 6 }
	var table Table
	for i := range 6 {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		crash := Crash{At: now, Upstream: string(rune('a' + i)), FailureDomain: "x", Running: []poison.Fingerprint{repeated, {byte(i)}}}
		if _, outage := table.RecordCrash(now, crash, domainSize); outage || table.Active(now) {
			t.Fatalf("crash %d of one request was taken for an outage", i+1)
		}
	}
}

// Guards against a request that is cleared by an outage although it ran at several of the lost upstreams.
func TestOutageClearsOnlySingleCrashes(t *testing.T) {
	now := time.Unix(1000, 0)
	repeated := poison.Fingerprint{99}
	running := map[string][]poison.Fingerprint{"a": {repeated, {1}}, "b": {repeated, {2}}, "c": {{3}}, "d": {{4}}}
	var table Table
	var cleared []poison.Fingerprint
	found := false
	for _, name := range []string{"a", "b", "c", "d"} {
		crash := Crash{At: now, Upstream: name, FailureDomain: "x", Running: running[name]}
		cleared, found = table.RecordCrash(now, crash, func(string) int { return 6 })
	}
	if !found || len(cleared) != 4 || slices.Contains(cleared, repeated) {
		t.Errorf("outage %v, cleared %v, want all but %v", found, cleared, repeated)
	}
}

// Guards against crashes that look related because their list of requests was changed after it was recorded.
func TestRecordedRequestsAreKept(t *testing.T) {
	now := time.Unix(1000, 0)
	var table Table
	found := false
	for i, name := range []string{"a", "b", "c"} {
		running := []poison.Fingerprint{{byte(i + 1)}}
		_, found = table.RecordCrash(now, Crash{At: now, Upstream: name, FailureDomain: "x", Running: running}, func(string) int { return 4 })
		running[0] = poison.Fingerprint{}
	}
	if !found {
		t.Error("three unrelated crashes were not taken for an outage")
	}
}
