package poison

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the randomised runs, so that each run has the same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	setDefault("rapid.seed", "0", "17011")
	setDefault("rapid.checks", "100", "1000")
	setDefault("rapid.steps", "30", "150")
	setDefault("rapid.nofailfile", "false", "true")
	os.Exit(m.Run())
}

// setDefault changes a flag that was not given on the command line.
func setDefault(name, unset, value string) {
	f := flag.Lookup(name)
	if f.Value.String() != unset {
		return
	}
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
