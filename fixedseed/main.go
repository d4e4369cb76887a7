// Package fixedseed gives randomised tests the same seed in every run, so that each run has the same
// verdict. Only tests import it.
package fixedseed

import (
	"flag"
	"fmt"
	"testing"
)

// Defaults replace rapid's own defaults; empty fields are left alone. The flags -rapid.seed,
// -rapid.checks and -rapid.steps override them.
type Defaults struct {
	Seed, Checks, Steps string
}

// Main runs the tests of a package with the defaults and returns the exit code.
func Main(m *testing.M, d Defaults) int {
	flag.Parse()
	setDefault("rapid.seed", d.Seed)
	setDefault("rapid.checks", d.Checks)
	setDefault("rapid.steps", d.Steps)
	setDefault("rapid.nofailfile", "true")
	return m.Run()
}

// setDefault changes a flag that was not given on the command line.
func setDefault(name, value string) {
	f := flag.Lookup(name)
	if f == nil || value == "" || f.Value.String() != f.DefValue {
		return
	}
	if err := flag.Set(name, value); err != nil {
		panic(fmt.Sprintf("set flag %s: %v", name, err))
	}
}
