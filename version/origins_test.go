package version

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// Guards against streams that are forgotten while they count as known, against equal requests of several versions that count as one, and
// against memory that grows for ever.
func TestOrigins(t *testing.T) {
	const lifetime = time.Minute
	one, two, three := Stream{Service: "s", Version: "v1"}, Stream{Service: "s", Version: "v2"}, Stream{Service: "t", Version: "v1"}
	for name, c := range map[string]struct {
		// added are streams with the key, one each 40 s.
		added []Stream
		// since is the age of the time since which they are asked for, after the last one was added.
		since    time.Duration
		want     []Stream
		complete bool
	}{
		"none":                      {since: lifetime, complete: true},
		"one":                       {added: []Stream{one}, since: lifetime, want: []Stream{one}, complete: true},
		"equal ones":                {added: []Stream{one, one}, since: lifetime, want: []Stream{one}, complete: true},
		"two versions":              {added: []Stream{one, two}, since: lifetime, want: []Stream{one, two}, complete: true},
		"of which one was long ago": {added: []Stream{one, two, two, two, two}, since: lifetime / 2, want: []Stream{two}, complete: true},
		"long ago":                  {added: []Stream{one, two, two, two, two}, since: 4 * lifetime, want: []Stream{two}},
		"two services":              {added: []Stream{one, three}, since: lifetime, want: []Stream{one, three}, complete: true},
	} {
		o, now := NewOrigins(start, lifetime), start
		for _, stream := range c.added {
			now = now.Add(40 * time.Second)
			o.Add(now, "key", stream)
		}
		got, complete := o.Find(now, now.Add(-c.since), "key")
		if len(got) != len(c.want) || complete != c.complete {
			t.Errorf("%s: %v, complete %v, want %v, %v", name, got, complete, c.want, c.complete)
		}
		for _, stream := range c.want {
			if !slices.Contains(got, stream) {
				t.Errorf("%s: %v, want %v", name, got, c.want)
			}
		}
	}
	o := NewOrigins(start, lifetime)
	for i := range 3 * maxOrigins {
		o.Add(start.Add(time.Duration(i)), fmt.Sprint(i), one)
	}
	if rows, _ := o.All(start); len(rows) > 2*maxOrigins {
		t.Errorf("%d rows are kept", len(rows))
	}
	if _, complete := o.Find(start, start, "0"); complete {
		t.Error("rows that were dropped count as known")
	}
}

// Guards against origins that are handed over for ever or several times, and against ones that are dropped within their lifetime, or without
// a record of it.
func TestOriginsHandedOver(t *testing.T) {
	second := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	row := func(version string, at time.Time) KeyedStream {
		return KeyedStream{Key: "key", Stream: Stream{Service: "s", Version: version}, At: at}
	}
	for name, c := range map[string]struct {
		kept []KeyedStream
		// at is the time of the handover.
		at      time.Time
		want    string
		dropped time.Time
	}{
		"within its lifetime":        {kept: []KeyedStream{row("v1", second(10))}, at: second(70), want: "v1"},
		"older":                      {kept: []KeyedStream{row("v1", second(10))}, at: second(71), dropped: second(11)},
		"older when it is received":  {kept: []KeyedStream{row("w", second(89)), row("v1", second(10))}, at: second(89), want: "w", dropped: second(29)},
		"in both generations":        {kept: []KeyedStream{row("v1", second(30)), row("v1", second(80))}, at: second(80), want: "v1"},
		"began again":                {kept: []KeyedStream{row("v1", second(30)), row("v1", second(40))}, at: second(95), want: "v1"},
		"received after a later one": {kept: []KeyedStream{row("v1", second(80)), row("v1", second(30))}, at: second(135), want: "v1"},
		"of unknown age":             {kept: []KeyedStream{row("w", second(65)), row("v1", time.Time{})}, at: second(125), want: "wv1"},
		"of which the third is last": {kept: []KeyedStream{row("v1", second(1)), row("v2", second(2)), row("v3", second(3))}, at: second(63), want: "v3", dropped: second(3)},
	} {
		o, now := NewOrigins(start, time.Minute), start
		for _, k := range c.kept {
			now = latestTime(now, k.At)
			o.Keep(now, k)
		}
		all, dropped := o.All(c.at)
		got := ""
		for _, k := range all {
			got += k.Version
		}
		if got != c.want || !dropped.Equal(c.dropped) {
			t.Errorf("%s: %q, dropped until %v, want %q, %v", name, got, dropped, c.want, c.dropped)
		}
	}
}
