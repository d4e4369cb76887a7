package order

import (
	"os"
	"testing"

	"parsleyhatch/fixedseed"
)

// TestMain fixes the seed of the randomised tests.
func TestMain(m *testing.M) {
	os.Exit(fixedseed.RunTests(m, fixedseed.Defaults{Seed: "18011", Checks: "1000", Steps: "100"}))
}
