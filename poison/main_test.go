package poison

import (
	"os"
	"testing"

	"parsleyhatch/fixedseed"
)

// TestMain fixes the seed of the randomised tests.
func TestMain(m *testing.M) {
	os.Exit(fixedseed.RunTests(m, fixedseed.Defaults{Seed: "17011", Checks: "1000", Steps: "150"}))
}
