package once

import (
	"os"
	"testing"

	"parsleyhatch/fixedseed"
)

// TestMain sets a fixed seed for the property-based tests.
func TestMain(m *testing.M) {
	os.Exit(fixedseed.RunTests(m, fixedseed.Defaults{Seed: "16011", Checks: "6000", Steps: "200"}))
}
