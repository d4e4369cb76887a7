package metrics

import (
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// Guards against first-token estimation errors that are missing from the exported metrics or recorded with the
// wrong sign.
func TestFirstTokenError(t *testing.T) {
	m := New("vm1", "north")
	m.ObserveFirstTokenError("s", 100*time.Millisecond, 350*time.Millisecond)
	m.ObserveFirstTokenError("s", 100*time.Millisecond, 60*time.Millisecond)
	if err := m.Close(); err != nil { // Closing reports the recorded values.
		t.Fatal(err)
	}
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	page, err := io.ReadAll(w.Body)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		`parsleyhatch_first_token_late_count{region="north",service="s",slot="vm1"} 1`,
		`parsleyhatch_first_token_early_count{region="north",service="s",slot="vm1"} 1`,
	} {
		if !strings.Contains(string(page), want) {
			t.Errorf("exported metrics do not contain %q", want)
		}
	}
}
