// Package fixedseed runs property-based tests (rapid) with the same seed in every run, so that their results are
// reproducible. Only tests import it.
package fixedseed

import (
	"flag"
	"fmt"
	"testing"
)

// Defaults replace the default values of the flags -rapid.seed, -rapid.checks and -rapid.steps. An empty field leaves the
// default of rapid. Flags on the command line override them.
type Defaults struct {
	Seed, Checks, Steps string
}

// RunTests runs the tests of a package with the given defaults and returns the exit code. It also disables rapid's
// fail files. Call it from TestMain.
func RunTests(m *testing.M, d Defaults) int {
	flag.Parse()
	setDefault("rapid.seed", d.Seed)
	setDefault("rapid.checks", d.Checks)
	setDefault("rapid.steps", d.Steps)
	setDefault("rapid.nofailfile", "true")
	return m.Run()
}

// setDefault sets a flag that still has its default value. It does nothing if value is empty or there is no such flag.
func setDefault(name, value string) {
	f := flag.Lookup(name)
	if f == nil || value == "" || f.Value.String() != f.DefValue {
		return
	}
	if err := flag.Set(name, value); err != nil {
		panic(fmt.Sprintf("set flag %s: %v", name, err))
	}
}
