package metrics

import (
	"testing"
	"time"
)

// BenchmarkRequest measures recording the metrics of one finished request.
func BenchmarkRequest(b *testing.B) {
	m := New("norte-1", "norte")
	defer func() { _ = m.Close() }()
	b.ReportAllocs()
	for b.Loop() {
		m.ObserveFirstToken("chat", time.Millisecond)
		m.ObserveRequest("chat", "ok", "ran", false, time.Second, 100)
	}
}
