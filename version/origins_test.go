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
	if n := len(o.All(start)); n > 2*maxOrigins {
		t.Errorf("%d rows are kept", n)
	}
	if _, complete := o.Find(start, start, "0"); complete {
		t.Error("rows that were dropped count as known")
	}
}
