package gateway

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"runtime"
	"testing"
	"time"

	"parsleyhatch/config"
	"parsleyhatch/member"
)

// sizedFile builds a configuration of the given size.
func sizedFile(regions, vmsPerRegion, upstreamsPerRegion, workspaces int) *config.File {
	f := &config.File{}
	for m := range 8 {
		f.Routes = append(f.Routes, config.Route{
			Name: fmt.Sprintf("route-%d", m), Kind: config.KindModel, Model: fmt.Sprintf("model-%d", m),
			Selector: fmt.Sprintf("model=model-%d", m), Idempotent: true, Class: config.ClassDraft,
			DeadlineMillis: 1500, MaxTokens: 400,
		})
	}
	for r := range regions {
		region := fmt.Sprintf("region-%02d", r)
		f.Regions = append(f.Regions, config.Region{Name: region})
		for i := range vmsPerRegion {
			ip := fmt.Sprintf("10.%d.%d.%d", r, i/200, 1+i%200)
			f.VMs = append(f.VMs, config.VM{
				Name: fmt.Sprintf("%s-vm-%02d", region, i), Region: region, FailureDomain: fmt.Sprintf("%s-fd%d", region, i%4),
				CallerAddress: ip + ":8080", PeerAddress: ip + ":7000",
			})
		}
		for i := range upstreamsPerRegion {
			f.Upstreams = append(f.Upstreams, config.Upstream{
				Name: fmt.Sprintf("%s-engine-%03d", region, i), Kind: config.KindModel, Region: region,
				Address:       fmt.Sprintf("10.%d.%d.%d:9000", r, 100+i/200, 1+i%200),
				FailureDomain: fmt.Sprintf("%s-fd%d", region, i%4),
				Labels:        map[string]string{"model": fmt.Sprintf("model-%d", i%8)}, MaxBatch: 32,
			})
		}
	}
	for w := range workspaces {
		name := fmt.Sprintf("workspace-%04d", w)
		f.Workspaces = append(f.Workspaces, config.Workspace{
			Name: name, Home: f.Regions[w%regions].Name, Rate: 5000, Burst: 100000, Weight: 1,
		})
		f.Keys = append(f.Keys, config.Key{ID: name, SHA256: config.PartDigest([]byte(name)), Workspace: name})
	}
	return f
}

// sizedGateway returns a gateway with the configuration in force, whose region's VMs are alive.
func sizedGateway(b *testing.B, f *config.File) *Gateway {
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
	g.startOrders()
	parts, err := config.Split(f, 100)
	if err != nil {
		b.Fatal(err)
	}
	byDigest := map[string][]byte{}
	for _, p := range parts {
		byDigest[config.PartDigest(p)] = p
	}
	g.consider(candidate{head: config.NewHead(1, parts), parts: byDigest, from: "benchmark"})
	if g.Snapshot() == nil {
		b.Fatal("the configuration was rejected")
	}
	return g
}

// benchSizes are the sizes of the slopes; the last one is the target scale.
var benchSizes = []struct{ regions, vms, upstreams, workspaces int }{
	{3, 3, 7, 5}, {9, 6, 60, 600}, {18, 12, 170, 2000}, {35, 21, 343, 5900},
}

// BenchmarkTick is the cost of one turn of the control loop, of which there are ten a second.
func BenchmarkTick(b *testing.B) {
	for _, s := range benchSizes {
		b.Run(fmt.Sprintf("regions=%d/vms=%d/upstreams=%d/workspaces=%d", s.regions, s.vms, s.upstreams, s.workspaces), func(b *testing.B) {
			f := sizedFile(s.regions, s.vms, s.upstreams, s.workspaces)
			g := sizedGateway(b, f)
			ctx, cancel := context.WithCancel(context.Background())
			cancel() // No connection is attempted.
			now := g.Now()
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(tickInterval)
				if i%5 == 0 {
					for _, m := range f.VMs[1:s.vms] {
						g.members.Heard(now, member.Heartbeat{Slot: m.Name, Incarnation: member.Incarnation{Number: 1, StartedAtUnixMilli: 1}, Ready: true})
					}
				}
				g.tick(ctx, now)
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)*10/10000, "%core")
		})
	}
}

// BenchmarkState is the memory of a VM's tables with the configuration in force.
func BenchmarkState(b *testing.B) {
	for _, s := range benchSizes {
		b.Run(fmt.Sprintf("regions=%d/vms=%d/upstreams=%d/workspaces=%d", s.regions, s.vms, s.upstreams, s.workspaces), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				g := sizedGateway(b, sizedFile(s.regions, s.vms, s.upstreams, s.workspaces))
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

// BenchmarkApply is the cost of one accepted change of one key.
func BenchmarkApply(b *testing.B) {
	for _, s := range benchSizes {
		b.Run(fmt.Sprintf("regions=%d/vms=%d/upstreams=%d/workspaces=%d", s.regions, s.vms, s.upstreams, s.workspaces), func(b *testing.B) {
			f := sizedFile(s.regions, s.vms, s.upstreams, s.workspaces)
			g := sizedGateway(b, f)
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
				g.consider(candidate{head: head, parts: byDigest, from: "benchmark"})
			}
		})
	}
}
