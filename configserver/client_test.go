package configserver

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"parsleyhatch/standin/rawanswer"
)

// Guards against answers of the configuration service that fill the memory, and against a cut answer that is taken for a whole one.
func TestAnswersAreBounded(t *testing.T) {
	for name, c := range map[string]struct {
		headBytes, bodyBytes int
		fails                bool
	}{
		"within both limits":   {maxHeadBytes / 2, maxValueBytes, false},
		"head above its limit": {2 * maxHeadBytes, 2, true},
		"body above its limit": {0, maxValueBytes + 1, true},
	} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Filler", strings.Repeat("x", c.headBytes))
			fmt.Fprint(w, "[]"+strings.Repeat(" ", c.bodyBytes-len("[]")))
		}))
		if _, err := New(s.URL).VMs(t.Context()); (err != nil) != c.fails {
			t.Errorf("%s: error %v", name, err)
		}
		s.Close()
	}
}

// Guards against an answer with a broken head that is taken for one of the configuration service.
func TestBrokenHeadIsNoAnswer(t *testing.T) {
	for _, h := range slices.Concat(rawanswer.BrokenHeads, rawanswer.BrokenTrailers) {
		t.Run(h.Name, func(t *testing.T) {
			t.Parallel()
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { h.Serve(w, "", "[]") }))
			defer s.Close()
			if list, err := New(s.URL).VMs(t.Context()); err == nil || errors.Is(err, context.DeadlineExceeded) {
				t.Errorf("list %v, error %v", list, err)
			}
		})
	}
}
