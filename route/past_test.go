package route

import (
	"slices"
	"testing"
	"time"
)

// Guards against a service that counts as the only one that a stream can have begun at, although an earlier configuration chose another
// one, or may have.
func TestTargetsSince(t *testing.T) {
	start := time.Unix(1000, 0)
	after := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	routes := func(service string, more ...Route) []Route {
		return append([]Route{{Name: "a", Host: "h", Prefix: "/a/", Kind: Streaming, Resumable: true, Split: []Target{{Service: service, Weight: 1}}}}, more...)
	}
	longer := Route{Name: "b", Host: "h", Prefix: "/a/b/", Kind: Streaming, Resumable: true, Split: []Target{{Service: "u", Weight: 1}}}
	byID := Route{Name: "b", Host: "h", Prefix: "/a/b/", Kind: Streaming, Split: []Target{{Service: "s", Weight: 1}, {Service: "u", Weight: 1}}}
	for name, c := range map[string]struct {
		// configs are the routes of configurations that follow each other at intervals of 10 s.
		configs [][]Route
		first   bool
		since   time.Time
		want    []string
		known   bool
	}{
		"known since then":        {configs: [][]Route{routes("s")}, since: after(0), want: []string{"s"}, known: true},
		"not known so far back":   {configs: [][]Route{routes("s")}, since: after(-1), want: []string{"s"}},
		"first configuration":     {configs: [][]Route{routes("s")}, first: true, since: after(-1), want: []string{"s"}, known: true},
		"moved":                   {configs: [][]Route{routes("s"), routes("u")}, since: after(9), want: []string{"u", "s"}, known: true},
		"moved before":            {configs: [][]Route{routes("s"), routes("u")}, since: after(11), want: []string{"u"}, known: true},
		"moved there and back":    {configs: [][]Route{routes("s"), routes("u"), routes("s")}, since: after(5), want: []string{"s", "u"}, known: true},
		"longer prefix added":     {configs: [][]Route{routes("s"), routes("s", longer)}, since: after(5), want: []string{"u", "s"}, known: true},
		"unrelated change":        {configs: [][]Route{routes("s"), routes("s", Route{Name: "c", Host: "other"})}, since: after(5), want: []string{"s"}, known: true},
		"was not resumable":       {configs: [][]Route{routes("s", byID), routes("s")}, since: after(5), want: []string{"s", "u"}, known: true},
		"route was missing":       {configs: [][]Route{nil, routes("s")}, since: after(5), want: []string{"s"}, known: true},
		"more changes than kept":  {configs: slices.Repeat([][]Route{routes("s"), routes("s", longer)}, maxPast), since: after(5), want: []string{"u", "s"}},
		"changes older than kept": {configs: append([][]Route{routes("u")}, slices.Repeat([][]Route{routes("s")}, 15)...), since: after(5), want: []string{"s"}},
	} {
		t.Run(name, func(t *testing.T) {
			var table *Table
			for i, r := range c.configs {
				table = NewAfter(after(10*i), table, &Config{Version: uint64(i + 1), Routes: r})
				if i == 0 && c.first {
					table.MarkFirst()
				}
			}
			got, known := table.TargetsSince(c.since, "h", "/a/b/c", "key")
			if !slices.Equal(got, c.want) || known != c.known {
				t.Errorf("targets %v, known %v, want %v, %v", got, known, c.want, c.known)
			}
		})
	}
}

// Guards against knowledge of another VM that is lost, so that VMs which replaced all earlier ones refuse streams, and against knowledge of
// other configurations that is taken for that of the present ones.
func TestExtend(t *testing.T) {
	start := time.Unix(1000, 0)
	routes := func(service string) []Route {
		return []Route{{Name: "a", Host: "h", Prefix: "/a/", Kind: Streaming, Resumable: true, Split: []Target{{Service: service, Weight: 1}}}}
	}
	since := start.Add(-time.Hour)
	for name, c := range map[string]struct {
		unchanged Unchanged
		known     bool
	}{
		"same configuration":        {Unchanged{From: 5, To: 5, Since: since}, true},
		"same routes":               {Unchanged{From: 2, To: 7, Since: since}, true},
		"first configuration":       {Unchanged{From: 1, To: 5}, true},
		"later configuration":       {Unchanged{From: 6, To: 7, Since: since}, false},
		"earlier configuration":     {Unchanged{From: 1, To: 4, Since: since}, false},
		"not known so far back":     {Unchanged{From: 5, To: 5, Since: since.Add(time.Second)}, false},
		"knows less than the table": {Unchanged{From: 5, To: 5, Since: start.Add(time.Second)}, false},
	} {
		t.Run(name, func(t *testing.T) {
			table := NewAfter(start, nil, &Config{Version: 5, Routes: routes("s")}).Extend(c.unchanged)
			table = NewAfter(start.Add(time.Second), table, &Config{Version: 6, Routes: routes("s")})
			if _, known := table.TargetsSince(since, "h", "/a/", "key"); known != c.known {
				t.Errorf("known %v, want %v", known, c.known)
			}
			if got := table.Unchanged(); c.known && (got.From != 5 || got.To != 6 || !got.Since.Equal(c.unchanged.Since)) {
				t.Errorf("passes on %+v", got)
			}
			moved := NewAfter(start.Add(2*time.Second), table, &Config{Version: 8, Routes: routes("u")}).Unchanged()
			if want := (Unchanged{From: 8, To: 8, Since: start.Add(2 * time.Second)}); moved != want {
				t.Errorf("after a change it passes on %+v, want %+v", moved, want)
			}
		})
	}
}
