package route

import (
	"strconv"
	"testing"
	"time"
)

func testTable() *Table {
	return New(&Config{
		Version: 1,
		Routes: []Route{
			{Name: "short", Host: "Example.test", Prefix: "/a/", Split: []Target{{Service: "s", Weight: 1}}},
			{Name: "long", Host: "example.test", Prefix: "/a/b/", Split: []Target{{Service: "s", Weight: 90}, {Service: "u", Weight: 10}}},
		},
		Services:   []Service{{Name: "s"}, {Name: "u"}},
		Workspaces: []Workspace{{Name: "w", Keys: []string{"secret"}, AllowedRegions: []string{"north"}}},
	})
}

// Guards against matching a shorter prefix, another host or a path outside the prefix, and against host names
// that are matched with their case or port.
func TestMatch(t *testing.T) {
	table := testTable()
	for _, c := range []struct{ host, path, want string }{
		{"example.test", "/a/b/c", "long"},
		{"EXAMPLE.test:8080", "/a/bc", "short"},
		{"example.test", "/a", ""},
		{"other.test", "/a/b/c", ""},
	} {
		got := ""
		if r := table.Match(c.host, c.path); r != nil {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("match %s%s: %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

// Guards against a valid key that is refused and an empty key that is accepted.
func TestAuthenticate(t *testing.T) {
	table := testTable()
	if w := table.Authenticate(HashKey("secret")); w == nil || w.Name != "w" {
		t.Errorf("known key: %v", w)
	}
	if w := table.Authenticate(HashKey("")); w != nil {
		t.Errorf("empty key: %v", w)
	}
}

// Guards against a split that ignores the weights, and against VMs that choose different services for one
// request, which would run at a second service after it was forwarded.
func TestTargetFollowsWeights(t *testing.T) {
	table := testTable()
	r := table.Match("example.test", "/a/b/")
	counts := map[string]int{}
	for i := range 10000 {
		id := strconv.Itoa(i)
		s := table.Target(r, id)
		if again := testTable().Target(r, id); again.Name != s.Name {
			t.Fatalf("request %s is sent to both %s and %s", id, s.Name, again.Name)
		}
		counts[s.Name]++
	}
	if n := counts["u"]; n < 800 || n > 1200 {
		t.Errorf("service of weight 10 in 100 received %d of 10000 requests", n)
	}
}

// Guards against a route that counts as unchanged although its services or their weights are others, or as changed although they are not.
func TestSplitSince(t *testing.T) {
	split := func(version uint64, targets ...Target) *Config {
		return &Config{Version: version, Routes: []Route{{Name: "a", Split: targets}, {Name: "b"}}}
	}
	s, u := Target{Service: "s", Weight: 9}, Target{Service: "u", Weight: 1}
	var table *Table
	for _, c := range []struct {
		config *Config
		want   uint64
	}{
		{split(3, s), 3}, {split(4, s), 3}, {split(5, s, u), 5}, {split(7, s, u), 5}, {split(8, s, Target{Service: "u", Weight: 2}), 8}, {split(9, s), 9},
	} {
		table = NewAfter(time.Time{}, table, c.config)
		if since := table.SplitSince(&c.config.Routes[0]); since != c.want {
			t.Errorf("configuration %d: the split is that of %d, want %d", c.config.Version, since, c.want)
		}
	}
	added := NewAfter(time.Time{}, table, &Config{Version: 12, Routes: []Route{{Name: "c"}}})
	if since := added.SplitSince(&added.Config.Routes[0]); since != 12 {
		t.Errorf("the split of a new route is that of configuration %d, want 12", since)
	}
}

// Guards against requests in a region that the route or the workspace excludes.
func TestAllowed(t *testing.T) {
	w := &Workspace{AllowedRegions: []string{"north", "east"}}
	r := &Route{AllowedRegions: []string{"north", "south"}}
	for region, want := range map[string]bool{"north": true, "south": false, "east": false, "west": false} {
		if got := Allowed(r, w, region); got != want {
			t.Errorf("region %s: %v, want %v", region, got, want)
		}
	}
	if !Allowed(&Route{}, nil, "west") {
		t.Error("a route without homes is refused")
	}
}
