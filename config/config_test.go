package config

import (
	"encoding/json"
	"math"
	"reflect"
	"strings"
	"testing"
)

// smallFile returns a valid configuration with one or two entities in each section but placements.
func smallFile() *File {
	hash := strings.Repeat("ab", 32)
	return &File{
		Regions: []Region{{Name: "norte"}, {Name: "sul"}},
		Links:   []Link{{A: "norte", B: "sul", MegabitsPerSecond: 2000, OneWayMillis: 55}},
		VMs: []VM{
			{Name: "vm-1", Region: "norte", FailureDomain: "n1", CallerAddress: "127.0.0.1:8080", PeerAddress: "127.0.0.1:9090"},
			{Name: "vm-2", Region: "sul", FailureDomain: "s1", CallerAddress: "127.0.0.2:8080", PeerAddress: "127.0.0.2:9090"},
		},
		Routes: []Route{
			{Name: "drafts", Kind: KindModel, Model: "redator", Selector: "model=redator", Idempotent: true, Class: ClassDraft, DeadlineMillis: 5000, MaxTokens: 500},
			{Name: "deposits", Kind: KindService, Selector: "service=deposits", Regions: []string{"norte"}, Class: ClassInteractive, DeadlineMillis: 5000, CallTokens: 10},
		},
		Workspaces: []Workspace{{Name: "alfama", Home: "norte", Rate: 100, Burst: 1000, Weight: 1, RegionShares: map[string]float64{"norte": 0.5, "sul": 0.5}}},
		Keys:       []Key{{ID: "k1", SHA256: hash, Workspace: "alfama"}, {ID: "k2", SHA256: hash, Workspace: "alfama"}},
		Upstreams: []Upstream{
			{Name: "e1", Kind: KindModel, Address: "127.0.1.1:8000", Region: "norte", FailureDomain: "n1", Labels: map[string]string{"model": "redator"}, MaxBatch: 8},
			{Name: "s1", Kind: KindService, Address: "127.0.1.2:8000", Region: "norte", FailureDomain: "n1", Labels: map[string]string{"service": "deposits"}, MaxBatch: 8},
		},
	}
}

// Guards against a fault in a configuration that Validate accepts, or reports under another path.
func TestValidate(t *testing.T) {
	if problems := smallFile().Validate(); len(problems) > 0 {
		t.Fatalf("valid file: %v", problems)
	}
	cases := []struct {
		path   string
		mutate func(*File)
	}{
		{"regions", func(f *File) { f.Regions = nil }},
		{"regions[0].name", func(f *File) { f.Regions[0].Name = "../norte" }},
		{"regions[0].labels", func(f *File) { f.Regions[0].Labels = map[string]string{"a b": "c"} }},
		{"links[0].megabitsPerSecond", func(f *File) { f.Links[0].MegabitsPerSecond = math.NaN() }},
		{"links[0].megabitsPerSecond", func(f *File) { f.Links[0].MegabitsPerSecond = 0 }},
		{"links[0].oneWayMillis", func(f *File) { f.Links[0].OneWayMillis = math.Inf(1) }},
		{"vms[0].name", func(f *File) { f.VMs[0].Name = "vm.1" }},
		{"vms[1].peerAddress", func(f *File) { f.VMs[1].PeerAddress = f.VMs[0].PeerAddress }},
		{"vms[0].callerAddress", func(f *File) { f.VMs[0].CallerAddress = "127.0.0.1:0" }},
		{"vms[0].callerAddress", func(f *File) { f.VMs[0].CallerAddress = "0.0.0.0:80" }},
		{"routes[0].name", func(f *File) { f.Routes[0].Name = "a/b" }},
		{"routes[0].model", func(f *File) { f.Routes[0].Model = "a\nb" }},
		{"routes[0].idempotent", func(f *File) { f.Routes[0].Idempotent = false }},
		{"routes[0].maxTokens", func(f *File) { f.Routes[0].MaxTokens = maxTokens + 1 }},
		{"routes[0].minBytesPerToken", func(f *File) { f.Routes[0].MinBytesPerToken = math.NaN() }},
		{"routes[0].deadlineMillis", func(f *File) { f.Routes[0].DeadlineMillis = maxDeadlineMillis + 1 }},
		{"routes[1].model", func(f *File) { f.Routes[1].Model = "x" }},
		{"routes[1].callTokens", func(f *File) { f.Routes[1].CallTokens = -1 }},
		{"routes[1].regions[1]", func(f *File) { f.Routes[1].Regions = []string{"norte", "norte"} }},
		{"routes[1].workspace", func(f *File) { f.Routes[1].Open = true }},
		{"workspaces[0].name", func(f *File) { f.Workspaces[0].Name = strings.Repeat("x", maxNameBytes+1) }},
		{"workspaces[0].rate", func(f *File) { f.Workspaces[0].Rate = -1 }},
		{"workspaces[0].burst", func(f *File) { f.Workspaces[0].Burst = math.MaxInt64 }},
		{"workspaces[0].weight", func(f *File) { f.Workspaces[0].Weight = maxWeight + 1 }},
		{"workspaces[0].regionShares.sul", func(f *File) { f.Workspaces[0].RegionShares["sul"] = math.NaN() }},
		{"workspaces[0].regionShares", func(f *File) { f.Workspaces[0].RegionShares["sul"] = 0.6 }},
		{"keys[0].id", func(f *File) { f.Keys[0].ID = "k_1" }},
		{"keys[0].sha256", func(f *File) { f.Keys[0].SHA256 = strings.Repeat("zz", 32) }},
		{"keys[1].id", func(f *File) { f.Keys[1].ID = "k1" }},
		{"upstreams[0].labels.model", func(f *File) { f.Upstreams[0].Labels["model"] = "a,b" }},
		{"upstreams[0].failureDomain", func(f *File) { f.Upstreams[0].FailureDomain = "" }},
		{"upstreams[0].maxBatch", func(f *File) { f.Upstreams[0].MaxBatch = maxBatch + 1 }},
	}
	for _, c := range cases {
		f := smallFile()
		c.mutate(f)
		problems := f.Validate()
		found := false
		for _, p := range problems {
			found = found || p.Path == c.path
		}
		if !found {
			t.Errorf("want a problem at %s, got %v", c.path, problems)
		}
	}
}

// Guards against a missing warning, and against a warning about a configuration that needs none.
func TestWarnings(t *testing.T) {
	cases := []struct {
		path   string
		mutate func(*File)
	}{
		{"", func(*File) {}},
		{"links", func(f *File) { f.Links = nil }},
		{"upstreams[0].failureDomain", func(f *File) { f.Upstreams[0].FailureDomain = "s1" }},
		{"routes[0].selector", func(f *File) { f.Upstreams[0].State = StateDraining }},
		{"routes[1].selector", func(f *File) { f.Routes[1].Regions = []string{"sul"} }},
		{"workspaces[0].burst", func(f *File) { f.Workspaces[0].Burst = 499 }},
		{"workspaces[0]", func(f *File) { f.Keys = nil }},
		{"upstreams[1].address", func(f *File) { f.Upstreams[1].Address = f.Upstreams[0].Address }},
	}
	for _, c := range cases {
		f := smallFile()
		c.mutate(f)
		s, problems := NewSnapshot(f)
		if problems != nil {
			t.Fatalf("%s: %v", c.path, problems)
		}
		var paths []string
		for _, w := range s.Warnings() {
			paths = append(paths, w.Path)
		}
		if got := strings.Join(paths, " "); got != c.path {
			t.Errorf("warnings at %q, want %q", got, c.path)
		}
	}
}

// Guards against a difference that is missing or misclassified, which would falsify the audit trail,
// and against a result that depends on how the configuration is split into parts.
func TestDiff(t *testing.T) {
	before, after := smallFile(), smallFile()
	after.Regions = append(after.Regions, Region{Name: "centro"})
	after.VMs[1].FailureDomain = "s2"
	after.Workspaces[0].Rate = 200
	after.Keys[0].Withdrawn = true
	after.Keys[1].ID = "k3"
	after.Upstreams[0].State = StateDraining
	want := []Change{
		{ActionAdded, EntityRegion, "centro", ""},
		{ActionChanged, EntityVM, "vm-2", "failureDomain: s1 -> s2"},
		{ActionChanged, EntityWorkspace, "alfama", "rate: 100 -> 200"},
		{ActionWithdrawn, EntityKey, "k1", "withdrawn: false -> true"},
		{ActionRemoved, EntityKey, "k2", ""},
		{ActionAdded, EntityKey, "k3", ""},
		{ActionDraining, EntityUpstream, "e1", "state:  -> draining"},
	}
	for _, entitiesPerPart := range []int{1, 2, 100} {
		a, b := assemble(t, nil, before, entitiesPerPart), assemble(t, nil, after, entitiesPerPart)
		if got := Diff(a, b); !reflect.DeepEqual(got, want) {
			t.Errorf("%d per part: got %v\nwant %v", entitiesPerPart, got, want)
		}
		if got := Diff(a, a); got != nil {
			t.Errorf("%d per part: equal snapshots differ: %v", entitiesPerPart, got)
		}
		if got := Diff(assemble(t, nil, before, 3-min(entitiesPerPart, 2)), b); !reflect.DeepEqual(got, want) {
			t.Errorf("%d per part against another split: got %v", entitiesPerPart, got)
		}
	}
}

// assemble splits the file and assembles it after previous, from only the parts that previous lacks.
func assemble(t *testing.T, previous *Snapshot, f *File, entitiesPerPart int) *Snapshot {
	t.Helper()
	list, err := Split(f, entitiesPerPart)
	if err != nil {
		t.Fatal(err)
	}
	parts := map[string][]byte{}
	for _, p := range list {
		if digest := PartDigest(p); previous == nil || previous.Parts[digest] == nil {
			parts[digest] = p
		}
	}
	s, problems := AssembleIncremental(previous, NewHead(1, list), parts)
	if problems != nil {
		t.Fatal(problems)
	}
	return s
}

// Guards against a snapshot with reused parts that differs from one in which all parts were parsed, and
// against reused parts that are modified through a later snapshot.
func TestAssembleAfterReusesParts(t *testing.T) {
	before, after := smallFile(), smallFile()
	after.Keys[0].Withdrawn = true
	old := assemble(t, nil, before, 1)
	reused, reparsed := assemble(t, old, after, 1), assemble(t, nil, after, 1)
	if !reflect.DeepEqual(reused, reparsed) {
		t.Errorf("reused parts give %+v\nwant %+v", reused.File, reparsed.File)
	}
	reused.File.Keys[1].Withdrawn = true
	if reassembled := assemble(t, old, before, 1); reassembled.Keys["k2"].Withdrawn || !reflect.DeepEqual(reassembled, old) {
		t.Error("a part changed after its snapshot was built")
	}
}

// Guards against a configuration that is accepted although a part is missing, altered or not listed in
// the head.
func TestAssembleRejectsWrongParts(t *testing.T) {
	list, err := Split(smallFile(), 1)
	if err != nil {
		t.Fatal(err)
	}
	head := NewHead(1, list)
	parts := map[string][]byte{}
	for _, p := range list[1:] {
		parts[PartDigest(p)] = p
	}
	if _, problems := Assemble(head, parts); len(problems) != 1 || problems[0].Path != "parts[0]" {
		t.Errorf("missing part: %v", problems)
	}
	parts[head.Parts[0]] = append([]byte(" "), list[0]...)
	if _, problems := Assemble(head, parts); len(problems) != 1 || problems[0].Path != "parts[0]" {
		t.Errorf("altered part: %v", problems)
	}
	head.Parts = head.Parts[1:]
	if _, problems := Assemble(head, parts); len(problems) != 1 || problems[0].Path != "head" {
		t.Errorf("unlisted part: %v", problems)
	}
}

// Guards against a crash on malicious input, and against a valid file that changes when it is encoded
// and parsed again.
func FuzzParseValidate(f *testing.F) {
	valid, err := json.Marshal(smallFile())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Add([]byte(`{"regions":[{"name":"a","labels":{"x":""}}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		file, err := Parse(data)
		if err != nil || len(file.Validate()) > 0 {
			return
		}
		s, problems := NewSnapshot(file)
		if problems != nil {
			t.Fatalf("second validation of a valid file: %v", problems)
		}
		s.Warnings()
		encoded, err := json.Marshal(file)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := Parse(encoded)
		if err != nil {
			t.Fatal(err)
		}
		next, problems := NewSnapshot(decoded)
		if problems != nil {
			t.Fatalf("validation after encoding and parsing: %v", problems)
		}
		if changes := Diff(s, next); changes != nil {
			t.Fatalf("changes after encoding and parsing: %v", changes)
		}
	})
}

// Guards against a split in which the removal of one entity changes many parts, all of which every VM
// would have to fetch.
func TestSplitKeepsOtherParts(t *testing.T) {
	f := scaleFile()
	_, before := splitFile(t, 1, f)
	f.Upstreams, f.Workspaces[0].Rate = f.Upstreams[1:], 1
	_, after := splitFile(t, 2, f)
	changed := 0
	for digest := range after {
		if before[digest] == nil {
			changed++
		}
	}
	if changed != 2 {
		t.Errorf("%d of %d parts changed, want 2", changed, len(after))
	}
}
