package config

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"testing"
)

// Sizes of the target deployment, from section 1.4 of the design document.
const (
	scaleRegions         = 35
	scaleDomains         = 133
	scaleVMs             = 730
	scaleWorkspaces      = 5900
	scaleUpstreams       = 12000
	scaleModels          = 8
	scaleEntitiesPerPart = 100
)

// scaleFile returns a valid configuration of the target size.
func scaleFile() *File {
	f := &File{}
	for i := range scaleRegions {
		f.Regions = append(f.Regions, Region{Name: fmt.Sprintf("region-%d", i), Labels: map[string]string{"area": fmt.Sprint(i % 5)}})
	}
	for i := range scaleVMs {
		address := func(port int) string { return fmt.Sprintf("127.1.%d.%d:%d", i/250, i%250+1, port) }
		f.VMs = append(f.VMs, VM{Name: fmt.Sprintf("vm-%d", i), Region: fmt.Sprintf("region-%d", i%scaleRegions),
			FailureDomain: fmt.Sprintf("fd-%d", i%scaleDomains), CallerAddress: address(8080), PeerAddress: address(9090)})
	}
	for i := range scaleModels {
		model := fmt.Sprintf("model-%d", i)
		f.Routes = append(f.Routes, Route{Name: model, Kind: KindModel, Model: model, Selector: "model=" + model,
			Idempotent: true, Class: ClassDraft, DeadlineMillis: 5000, MaxTokens: 2000})
	}
	for i := range scaleWorkspaces {
		name := fmt.Sprintf("workspace-%d", i)
		f.Workspaces = append(f.Workspaces, Workspace{Name: name, Home: fmt.Sprintf("region-%d", i%scaleRegions),
			Rate: 3700, Burst: 20000, Weight: 1})
		sum := sha256.Sum256([]byte(name))
		f.Keys = append(f.Keys, Key{ID: fmt.Sprintf("k%d", i), SHA256: hex.EncodeToString(sum[:]), Workspace: name})
	}
	for i := range scaleUpstreams {
		f.Upstreams = append(f.Upstreams, Upstream{Name: fmt.Sprintf("engine-%d", i), Kind: KindModel,
			Address: fmt.Sprintf("127.2.%d.%d:8000", i/250, i%250+1), Region: fmt.Sprintf("region-%d", i%scaleRegions),
			FailureDomain: fmt.Sprintf("fd-%d", i%scaleDomains), MaxBatch: 32, ChecksFencing: true,
			Labels: map[string]string{"model": fmt.Sprintf("model-%d", i%scaleModels), "tier": "a"}})
	}
	return f
}

// splitFile splits the file and returns the head and the parts by digest.
func splitFile(tb testing.TB, number uint64, f *File) (Head, map[string][]byte) {
	tb.Helper()
	list, err := Split(f, scaleEntitiesPerPart)
	if err != nil {
		tb.Fatal(err)
	}
	parts := map[string][]byte{}
	for _, p := range list {
		parts[PartDigest(p)] = p
	}
	return NewHead(number, list), parts
}

// withdrawMiddleKey withdraws the key in the middle of the file's list.
func withdrawMiddleKey(f *File) { f.Keys[len(f.Keys)/2].Withdrawn = true }

// BenchmarkAssemble measures Assemble on a VM that has no previous configuration.
func BenchmarkAssemble(b *testing.B) {
	head, parts := splitFile(b, 1, scaleFile())
	b.ReportAllocs()
	for b.Loop() {
		if _, problems := Assemble(head, parts); problems != nil {
			b.Fatal(problems)
		}
	}
}

// BenchmarkAssembleAfter measures AssembleIncremental for the change of one key, on a VM that has the previous
// version.
func BenchmarkAssembleAfter(b *testing.B) {
	old, head, parts := singleKeyChange(b)
	b.ReportAllocs()
	for b.Loop() {
		if _, problems := AssembleIncremental(old, head, parts); problems != nil {
			b.Fatal(problems)
		}
	}
}

// BenchmarkDiff measures Diff of two snapshots that share parts and differ in one key.
func BenchmarkDiff(b *testing.B) {
	old, head, parts := singleKeyChange(b)
	next, problems := AssembleIncremental(old, head, parts)
	if problems != nil {
		b.Fatal(problems)
	}
	b.ReportAllocs()
	for b.Loop() {
		if changes := Diff(old, next); len(changes) != 1 {
			b.Fatal(changes)
		}
	}
}

// BenchmarkDiffUnsharedParts measures Diff of two snapshots that share no parts and differ in one key.
func BenchmarkDiffUnsharedParts(b *testing.B) {
	old, head, parts := singleKeyChange(b)
	next, problems := AssembleIncremental(old, head, parts)
	if problems != nil {
		b.Fatal(problems)
	}
	before, after := &Snapshot{File: old.File}, &Snapshot{File: next.File}
	b.ReportAllocs()
	for b.Loop() {
		if changes := Diff(before, after); len(changes) != 1 {
			b.Fatal(changes)
		}
	}
}

// singleKeyChange returns a snapshot of the target size and the head and parts of the next version, in
// which one key is withdrawn.
func singleKeyChange(tb testing.TB) (*Snapshot, Head, map[string][]byte) {
	tb.Helper()
	f := scaleFile()
	head, parts := splitFile(tb, 1, f)
	old, problems := Assemble(head, parts)
	if problems != nil {
		tb.Fatal(problems)
	}
	withdrawMiddleKey(f)
	head, parts = splitFile(tb, 2, f)
	return old, head, parts
}
