package standin

import (
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"runtime"
	"sync"
	"testing"
)

// Guards against a store that skips a change: an answer whose revision is later than its events makes a VM continue after a change
// that it has not got.
func TestWatchReturnsEachChange(t *testing.T) {
	const changes = 3000
	s := NewStore()
	var writer sync.WaitGroup
	writer.Go(func() {
		for i := range changes {
			s.Put(fmt.Sprintf("key-%d", i), "x")
			runtime.Gosched() // Lets answers begin between two changes.
		}
	})
	seen := map[uint64]bool{}
	for at := uint64(0); at < changes; {
		w := httptest.NewRecorder()
		s.ServeHTTP(w, httptest.NewRequest("GET", fmt.Sprintf("/kv-watch?wait_ms=1000&after=%d", at), nil))
		var page struct {
			Events []struct{ Revision uint64 }
			At     uint64
		}
		if err := json.Unmarshal(w.Body.Bytes(), &page); err != nil {
			t.Fatal(err)
		}
		for _, e := range page.Events {
			seen[e.Revision] = true
		}
		at = page.At
	}
	writer.Wait()
	if len(seen) != changes {
		t.Errorf("%d of %d changes returned", len(seen), changes)
	}
}
