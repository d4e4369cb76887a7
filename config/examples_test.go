package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against an example configuration that a VM would reject, that leaves a route without an
// upstream in a region, or whose demo keys do not authenticate.
func TestExamples(t *testing.T) {
	for _, name := range []string{"association", "registry"} {
		data, err := os.ReadFile(filepath.Join("examples", name+".json"))
		if err != nil {
			t.Fatal(err)
		}
		f, err := Parse(data)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		s, problems := NewSnapshot(f)
		if len(problems) > 0 {
			t.Fatalf("%s: %v", name, problems)
		}
		checkRouteRegions(t, s)
		checkDemoKeys(t, s, name)
	}
}

func checkRouteRegions(t *testing.T, s *Snapshot) {
	t.Helper()
	for route, upstreams := range s.RouteUpstreams {
		regions := map[string]bool{}
		for _, u := range upstreams {
			regions[u.Region] = true
		}
		if len(regions) != len(s.File.Regions) {
			t.Errorf("route %s has upstreams in %d regions", route, len(regions))
		}
	}
	if len(s.RouteUpstreams) != len(s.File.Routes) {
		t.Errorf("%d of %d routes have upstreams", len(s.RouteUpstreams), len(s.File.Routes))
	}
}

func checkDemoKeys(t *testing.T, s *Snapshot, name string) {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("examples", name+".keys"))
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(string(data)), "\n")
	if len(lines) != len(s.File.Workspaces) {
		t.Errorf("%s: %d demo keys for %d workspaces", name, len(lines), len(s.File.Workspaces))
	}
	for _, line := range lines {
		workspace, bearer, _ := strings.Cut(line, " ")
		if key := s.Authenticate(bearer); key == nil || key.Workspace != workspace {
			t.Errorf("%s: demo key of %s does not authenticate", name, workspace)
		}
	}
}
