package proof

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"runtime"
	"sort"
	"strconv"
	"testing"
	"time"

	"parsleyhatch/config"
	"parsleyhatch/standin"
)

// benchFleet returns a deployment whose engines are in the first region only, so that a request at
// the second region's VM takes two VMs.
func benchFleet(b *testing.B, engine standin.EngineSettings) *fleet {
	b.Helper()
	return startFleet(b, fleetOptions{
		regions: []string{"norte", "centro"}, vmsPerRegion: 1, engines: 1, engine: engine,
		edit: func(file *config.File) {
			kept := file.Upstreams[:0]
			for _, u := range file.Upstreams {
				if u.Region == "norte" {
					kept = append(kept, u)
				}
			}
			file.Upstreams = kept
			unlimited(file)
			// All of the rate is usable in both regions.
			for i := range file.Workspaces {
				file.Workspaces[i].RegionShares = map[string]float64{"norte": 0.5, "centro": 0.5}
			}
		},
	})
}

// unlimited gives each workspace more tokens than a benchmark takes.
func unlimited(file *config.File) {
	for i := range file.Workspaces {
		file.Workspaces[i].Rate, file.Workspaces[i].Burst = 1_000_000_000, 1_000_000_000
	}
}

// benchClient keeps its connection, as callers' libraries do.
var benchClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// post sends a chat completion of n tokens and reads the whole answer.
func post(b *testing.B, address, authorization string, n int) {
	b.Helper()
	body, err := json.Marshal(map[string]any{
		"model": "redator", "stream": true, "max_tokens": n,
		"messages": []map[string]string{{"role": "user", "content": "a short question of the counter"}},
	})
	if err != nil {
		b.Fatal(err)
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+authorization)
	req.Header.Set("X-Request-Id", "bench")
	req.Header.Set("X-Max-Tokens", strconv.Itoa(n)) // Read by the engine itself; a VM sets its own.
	resp, err := benchClient.Do(req)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		b.Fatal(err)
	}
	if resp.StatusCode != http.StatusOK {
		b.Fatalf("status %d", resp.StatusCode)
	}
}

// measure runs the request b.N times in sequence and reports the median and the 99th percentile.
func measure(b *testing.B, request func()) {
	b.Helper()
	for range 50 {
		request()
	}
	took := make([]time.Duration, 0, b.N)
	b.ResetTimer()
	for range b.N {
		start := time.Now()
		request()
		took = append(took, time.Since(start))
	}
	b.StopTimer()
	sort.Slice(took, func(i, j int) bool { return took[i] < took[j] })
	b.ReportMetric(float64(took[len(took)/2].Microseconds()), "p50-µs")
	b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-µs")
}

// BenchmarkPath compares a one-token answer from the engine itself, through one VM and through two.
func BenchmarkPath(b *testing.B) {
	f := benchFleet(b, standin.EngineSettings{MaxBatch: 64})
	engine := f.engines["norte-engine-1"].Address()
	b.Run("direct", func(b *testing.B) {
		measure(b, func() { post(b, engine, credential, 1) })
	})
	b.Run("oneVM", func(b *testing.B) {
		measure(b, func() { post(b, f.callerAddress("norte-1"), keyOf("alpha"), 1) })
	})
	b.Run("twoVMs", func(b *testing.B) {
		measure(b, func() { post(b, f.callerAddress("centro-1"), keyOf("alpha"), 1) })
	})
}

// BenchmarkRelay compares the time for each token of a long answer.
func BenchmarkRelay(b *testing.B) {
	const tokens = 400
	f := benchFleet(b, standin.EngineSettings{MaxBatch: 64})
	engine := f.engines["norte-engine-1"].Address()
	for _, c := range []struct{ name, address, key string }{
		{"direct", engine, credential},
		{"oneVM", f.callerAddress("norte-1"), keyOf("alpha")},
		{"twoVMs", f.callerAddress("centro-1"), keyOf("alpha")},
	} {
		b.Run(c.name, func(b *testing.B) {
			for range b.N {
				post(b, c.address, c.key, tokens)
			}
		})
	}
}

// BenchmarkOpenStreams reports the process's memory for each stream held open through one VM. The
// client and the stand-in engine run in the same process, so the figure is an upper bound.
func BenchmarkOpenStreams(b *testing.B) {
	const streams = 500
	f := benchFleet(b, standin.EngineSettings{MaxBatch: 2 * streams, TokensPerSecond: 1})
	for range b.N {
		before := heapInUse()
		done := make(chan struct{})
		for range streams {
			go func() {
				resp, err := f.openChat("norte-1", keyOf("alpha"))
				if err == nil {
					<-done
					_ = resp.Body.Close()
				}
			}()
		}
		f.waitFor("streams open", func() bool { return f.nodes["norte-1"].gateway.Status().OpenStreams >= streams })
		b.ReportMetric(float64(heapInUse()-before)/streams, "bytes/stream")
		close(done)
		f.waitFor("streams closed", func() bool { return f.nodes["norte-1"].gateway.Status().OpenStreams == 0 })
	}
}

func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

func (f *fleet) openChat(slot, key string) (*http.Response, error) {
	body := []byte(`{"model":"redator","stream":true,"max_tokens":300,"messages":[{"role":"user","content":"draft"}]}`)
	req, err := http.NewRequest(http.MethodPost, "http://"+f.callerAddress(slot)+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	return benchClient.Do(req)
}
