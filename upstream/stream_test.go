package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// Guards against answers joined of two runs, or that end early, because an engine that was to go on at an offset begins its run again and
// the chunks before the offset are dropped by their numbers.
func TestEngineGoesOnAtOffset(t *testing.T) {
	const resumeFrom = 3
	for name, c := range map[string]struct {
		sent, want string
		mismatched bool
	}{
		"goes on":                    {"3:4 4:5 5:5", "3:4 4:5 5:5 ", false},
		"repeats its own chunk":      {"3:4 3:4 4:5 5:5", "3:4 4:5 5:5 ", false},
		"begins again":               {"0:1 1:2 2:3 3:4 4:4", "", true},
		"begins one chunk early":     {"2:3 3:4 4:4", "", true},
		"ends before the offset":     {"2:2", "", true},
		"ends before its last chunk": {"3:4 4:5 4:4", "3:4 4:5 ", true},
	} {
		t.Run(name, func(t *testing.T) {
			engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				for offsets := range strings.FieldsSeq(c.sent) {
					fmt.Fprintf(w, "id: r:%s\ndata: {}\n\n", offsets)
				}
				fmt.Fprint(w, "data: [DONE]\n\n")
			}))
			defer engine.Close()
			s, failure := New("credential").Stream(context.Background(), strings.TrimPrefix(engine.URL, "http://"),
				CompletionRequest{RequestID: "r", ResumeFrom: resumeFrom, StallTimeout: time.Minute})
			if failure != nil {
				t.Fatal(failure)
			}
			defer s.Close()
			got := ""
			chunk, err := s.Next()
			for ; err == nil; chunk, err = s.Next() {
				got += fmt.Sprintf("%d:%d ", chunk.Start, chunk.End)
			}
			var f *Failure
			mismatched := errors.As(err, &f) && f.Kind == Mismatched
			if got != c.want || mismatched != c.mismatched || !mismatched && !errors.Is(err, io.EOF) {
				t.Errorf("chunks %q, error %v, want %q", got, err, c.want)
			}
		})
	}
}
