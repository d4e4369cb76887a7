package choose

import (
	"fmt"
	"testing"
	"time"
)

// roundRobin, randomOfTwo and leastOutstanding are common balancing policies, as baselines for the
// benchmarks.
func roundRobin(p *pool, next *int) *Upstream {
	*next = (*next + 1) % len(p.members)
	return p.members[*next]
}

func randomOfTwo(p *pool, s *randomSource) *Upstream {
	a, b := p.members[s.intN(len(p.members))], p.members[s.intN(len(p.members))]
	if b.Outstanding() < a.Outstanding() {
		return b
	}
	return a
}

func leastOutstanding(p *pool) *Upstream {
	best := p.members[0]
	for _, u := range p.members {
		if u.Outstanding() < best.Outstanding() {
			best = u
		}
	}
	return best
}

var poolSizes = []int{3, 100, 1000, 12000}

func benchTable(n int) *Table {
	table := newTable(n)
	for i := range n {
		table.Lookup(fmt.Sprintf("u%d", i)).RecordLoad(start, int64(i*7%16))
	}
	return table
}

func BenchmarkUpstream(b *testing.B) {
	for _, n := range poolSizes {
		v := benchTable(n).BuildView(start)
		b.Run(fmt.Sprintf("replicas=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				p, _ := v.ChooseUpstream(start, Request{Route: "chat"})
				r := p.Upstream.Begin()
				r.End()
			}
		})
		b.Run(fmt.Sprintf("replicas=%d,prefix", n), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				hash := uint64(i%5000) + 1
				p, _ := v.ChooseUpstream(start, Request{Route: "chat", Prefix: hash})
				r := p.Upstream.Begin()
				v.RecordPrefix(start, hash, p.Upstream)
				r.End()
			}
		})
	}
}

func BenchmarkUpstreamParallel(b *testing.B) {
	v := benchTable(100).BuildView(start)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for i := 0; pb.Next(); i++ {
			p, _ := v.ChooseUpstream(start, Request{Route: "chat", Prefix: uint64(i%5000) + 1})
			r := p.Upstream.Begin()
			r.End()
		}
	})
}

func BenchmarkBaselines(b *testing.B) {
	for _, n := range poolSizes {
		v := benchTable(n).BuildView(start)
		p := v.pools["chat"]
		next := 0
		run := map[string]func() *Upstream{
			"roundRobin":       func() *Upstream { return roundRobin(p, &next) },
			"randomOfTwo":      func() *Upstream { return randomOfTwo(p, v.random) },
			"leastOutstanding": func() *Upstream { return leastOutstanding(p) },
		}
		for _, name := range []string{"roundRobin", "randomOfTwo", "leastOutstanding"} {
			b.Run(fmt.Sprintf("%s/replicas=%d", name, n), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					u := run[name]()
					r := u.Begin()
					r.End()
				}
			})
		}
	}
}

func BenchmarkView(b *testing.B) {
	for _, n := range poolSizes {
		table := benchTable(n)
		b.Run(fmt.Sprintf("replicas=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				table.BuildView(start)
			}
		})
	}
}

func BenchmarkRegion(b *testing.B) {
	v := regionTable(40, start).BuildView(start)
	allowed := []string{"norte", "centro", "sul"}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		v.ChooseRegion(start.Add(time.Duration(i)*time.Microsecond), Request{Route: "chat", Allowed: allowed, BodyBytes: 4096})
	}
}
