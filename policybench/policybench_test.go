package policybench

import (
	"os"
	"slices"
	"testing"
)

// Prints the table with -v. It guards against runs that end requests twice or never, and against
// results that differ between runs of one seed.
func TestPolicyTable(t *testing.T) {
	if testing.Verbose() {
		if err := Run(os.Stdout, 1, 5); err != nil {
			t.Fatal(err)
		}
	}
	d := deployments()[1]
	for _, s := range scenarios() {
		p := policies()[0]
		if a, b := simulate(&d, &s, p, 3), simulate(&d, &s, p, 3); !slices.Equal(a, b) {
			t.Errorf("%s: results differ: %v and %v", s.name, a, b)
		}
	}
}

// Guards against requests that never get a final response.
func TestEveryRequestEnds(t *testing.T) {
	d := deployments()[1]
	for _, s := range scenarios() {
		m := newSim(&d, &s, policies()[0], 1)
		m.arrivals()
		m.startControl()
		m.startFaults()
		m.RunUntil(runTime + 600)
		if len(m.active) != 0 {
			t.Errorf("%s: %d requests without an end", s.name, len(m.active))
		}
		for _, z := range m.zones {
			for _, v := range z.vms {
				for _, e := range z.engines {
					if n := v.table.Lookup(e.name).Outstanding(); n != 0 {
						t.Errorf("%s: %d outstanding at %s", s.name, n, e.name)
					}
				}
			}
		}
	}
}
