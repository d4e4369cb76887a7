package gateway

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/tinylib/msgp/msgp"

	"parsleyhatch/config"
	"parsleyhatch/member"
	"parsleyhatch/standin"
	"parsleyhatch/vmwire"
)

// newSizedFile builds a configuration of the given size.
func newSizedFile(regions, vmsPerRegion, upstreamsPerRegion, workspaces int) *config.File {
	size := standin.Size{Regions: regions, VMs: vmsPerRegion, Upstreams: upstreamsPerRegion, Workspaces: workspaces, Models: 8}
	ip := func(r, i int) string { return fmt.Sprintf("10.%d.%d.%d", r, i/200, 1+i%200) }
	address := func(r, i int) string { return fmt.Sprintf("10.%d.%d.%d:9000", r, 100+i/200, 1+i%200) }
	return size.File(ip, address, func(s string) string { return config.PartDigest([]byte(s)) })
}

// newSizedGateway returns a gateway with the configuration in force, whose region's VMs are alive.
func newSizedGateway(b *testing.B, f *config.File) *Gateway {
	b.Helper()
	own := f.VMs[0]
	g, err := New(Settings{
		Slot: own.Name, Region: own.Region, FailureDomain: own.FailureDomain, CallerListen: "127.0.0.1:1",
		PeerListen: "127.0.0.1:2", AdminListen: "127.0.0.1:3", PlatformURL: "http://127.0.0.1:4",
		FleetKey: []byte("fleet key of the benchmark"), DrainLimit: time.Second, MaxStreams: 1000,
	}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = g.Metrics.Close() })
	g.initOrders()
	parts, err := config.Split(f, 100)
	if err != nil {
		b.Fatal(err)
	}
	byDigest := map[string][]byte{}
	for _, p := range parts {
		byDigest[config.PartDigest(p)] = p
	}
	g.evaluateCandidate(candidate{head: config.NewHead(1, parts), parts: byDigest, from: "benchmark"})
	if g.Snapshot() == nil {
		b.Fatal("the configuration was rejected")
	}
	return g
}

// benchSizes are the configuration sizes of the benchmarks; the last one is the target scale.
var benchSizes = []struct{ regions, vms, upstreams, workspaces int }{
	{3, 3, 7, 5}, {9, 6, 60, 600}, {18, 12, 170, 2000}, {35, 21, 343, 5900},
}

// BenchmarkTick measures one iteration of the control loop, which runs ten times a second.
func BenchmarkTick(b *testing.B) {
	for _, s := range benchSizes {
		b.Run(fmt.Sprintf("regions=%d/vms=%d/upstreams=%d/workspaces=%d", s.regions, s.vms, s.upstreams, s.workspaces), func(b *testing.B) {
			f := newSizedFile(s.regions, s.vms, s.upstreams, s.workspaces)
			g := newSizedGateway(b, f)
			ctx, cancel := context.WithCancel(context.Background())
			cancel() // No connection is attempted.
			now := g.Now()
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(tickInterval)
				if i%5 == 0 {
					for _, m := range f.VMs[1:s.vms] {
						g.members.RecordHeartbeat(now, member.Heartbeat{Slot: m.Name, Incarnation: member.Incarnation{Number: 1, StartedAtUnixMilli: 1}, Ready: true})
					}
				}
				g.tick(ctx, now)
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)*10/10000, "%core")
		})
	}
}

// BenchmarkState measures the memory of a VM's tables with the configuration in force.
func BenchmarkState(b *testing.B) {
	for _, s := range benchSizes {
		b.Run(fmt.Sprintf("regions=%d/vms=%d/upstreams=%d/workspaces=%d", s.regions, s.vms, s.upstreams, s.workspaces), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				g := newSizedGateway(b, newSizedFile(s.regions, s.vms, s.upstreams, s.workspaces))
				g.tick(context.Background(), g.Now())
				b.ReportMetric(float64(heapBytes()-before)/1e6, "MB")
				runtime.KeepAlive(g)
			}
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkApply measures the application of a configuration that changes one key.
func BenchmarkApply(b *testing.B) {
	for _, s := range benchSizes {
		b.Run(fmt.Sprintf("regions=%d/vms=%d/upstreams=%d/workspaces=%d", s.regions, s.vms, s.upstreams, s.workspaces), func(b *testing.B) {
			f := newSizedFile(s.regions, s.vms, s.upstreams, s.workspaces)
			g := newSizedGateway(b, f)
			b.ReportAllocs()
			for number := uint64(2); b.Loop(); number++ {
				b.StopTimer()
				f.Keys[0].SHA256 = config.PartDigest([]byte(fmt.Sprint(number)))
				parts, err := config.Split(f, 100)
				if err != nil {
					b.Fatal(err)
				}
				byDigest := map[string][]byte{}
				for _, p := range parts {
					byDigest[config.PartDigest(p)] = p
				}
				head := config.NewHead(number, parts)
				b.StartTimer()
				g.evaluateCandidate(candidate{head: head, parts: byDigest, from: "benchmark"})
			}
		})
	}
}

// BenchmarkMessages reports the bytes of control messages at the target scale, including the
// overhead of the TLS record.
func BenchmarkMessages(b *testing.B) {
	const overhead = 22 + 4 // TLS record and length prefix.
	summary := &vmwire.Summary{
		Region:  "region-01",
		Pools:   slices.Repeat([]vmwire.PoolSummary{{Route: "route-0", Slots: 1000.5, Outstanding: 900.5, FirstTokenMillis: 200, RunMillis: 14000}}, 8),
		Entries: slices.Repeat([]vmwire.IngressVM{{Slot: "region-01-vm-00", Queue: 2000}}, 4),
	}
	messages := map[string]msgp.Marshaler{
		"heartbeat": &vmwire.Heartbeat{Sequence: 1 << 20, ConfigNumber: 16000, ConfigTag: 1 << 63, Queue: 100, AckSequence: 1 << 20, Compact: make([]byte, 11*compactViewBytes)},
		"ack":       &vmwire.HeartbeatAck{Sequence: 1 << 20, NewestIncarnation: 1 << 63, NewestStartedAtUnixMilli: 1 << 41, ConfigNumber: 16000, ConfigTag: 1 << 63},
		"load":      &vmwire.Load{ConfigNumber: 16000, ConfigTag: 1 << 63, Compact: make([]byte, 16*compactLoadBytes)},
		"summary":   summary,
	}
	for name, m := range messages {
		body, err := m.MarshalMsg(nil)
		encoded, err2 := (&vmwire.Frame{Kind: 1, Body: body}).MarshalMsg(nil)
		if err != nil || err2 != nil {
			b.Fatal(err, err2)
		}
		b.ReportMetric(float64(len(encoded)+overhead), name+"-B")
	}
}
