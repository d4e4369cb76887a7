package gateway

import (
	"os"
	"strings"
	"testing"
)

// Guards against an outcome code that callers receive and that the operators' page does not
// explain.
func TestEveryCodeIsDocumented(t *testing.T) {
	page, err := os.ReadFile("../docs/operators/refusals.md")
	if err != nil {
		t.Fatal(err)
	}
	for code := range statuses {
		if code == OK || code == CallerGone {
			continue // Callers never see these.
		}
		if !strings.Contains(string(page), "`"+string(code)+"`") {
			t.Errorf("code %s is not in docs/operators/refusals.md", code)
		}
	}
}
