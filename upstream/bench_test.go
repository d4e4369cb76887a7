package upstream

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// BenchmarkNext measures reading one event of an engine's stream over loopback while many events are buffered.
func BenchmarkNext(b *testing.B) {
	data := strings.Repeat("x", 200)
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for i := range b.N {
			_, _ = fmt.Fprintf(w, "id: norte-1-abc-1:%d:%d\ndata: %s\n\n", i, i+1, data)
		}
		_, _ = fmt.Fprintf(w, "id: norte-1-abc-1:%d:%d\ndata: {}\n\ndata: [DONE]\n\n", b.N, b.N)
	}))
	defer engine.Close()
	s, fail := New("credential").Stream(context.Background(), strings.TrimPrefix(engine.URL, "http://"),
		CompletionRequest{RequestID: "norte-1-abc-1", StallTimeout: time.Minute})
	if fail != nil {
		b.Fatal(fail)
	}
	defer s.Close()
	b.ReportAllocs()
	b.ResetTimer()
	for {
		if _, err := s.Next(); err == io.EOF {
			return
		} else if err != nil {
			b.Fatal(err)
		}
	}
}
