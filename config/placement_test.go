package config

import (
	"strings"
	"testing"
)

func placementFile() *File {
	return &File{
		Regions: []Region{{Name: "norte"}},
		VMs:     []VM{{Name: "norte-1", Region: "norte", FailureDomain: "a", CallerAddress: "127.0.0.1:1", PeerAddress: "127.0.0.1:2"}},
		Routes: []Route{{
			Name: "chat", Kind: KindModel, Model: "redator", Selector: "pool=gpu", Idempotent: true,
			Class: ClassDraft, DeadlineMillis: 1000, MaxTokens: 10,
		}},
		Upstreams: []Upstream{
			{Name: "e1", Kind: KindModel, Address: "127.0.0.1:3", Region: "norte", FailureDomain: "a", Labels: map[string]string{"pool": "gpu"}, ChecksFencing: true, MaxBatch: 1},
			{Name: "e2", Kind: KindModel, Address: "127.0.0.1:4", Region: "norte", FailureDomain: "a", Labels: map[string]string{"pool": "gpu"}, MaxBatch: 1},
		},
		Placements: []Placement{{Name: "p", Model: "redator", Version: "v1", Adapters: []string{"a"}, Selector: "pool=gpu", MinReplicas: 1}},
	}
}

// Guards against a placement that is accepted although one of its fields is invalid.
func TestPlacementProblems(t *testing.T) {
	cases := []struct {
		path string
		edit func(*Placement)
	}{
		{"placements[0].name", func(p *Placement) { p.Name = "" }},
		{"placements[0].model", func(p *Placement) { p.Model = "" }},
		{"placements[0].version", func(p *Placement) { p.Version = "a b" }},
		{"placements[0].adapters[1]", func(p *Placement) { p.Adapters = []string{"a", "a"} }},
		{"placements[0].role", func(p *Placement) { p.Role = "a b" }},
		{"placements[0].selector", func(p *Placement) { p.Selector = "pool=" }},
		{"placements[0].minReplicas", func(p *Placement) { p.MinReplicas = -1 }},
	}
	if problems := placementFile().Validate(); len(problems) > 0 {
		t.Fatalf("valid file has problems: %v", problems)
	}
	for _, c := range cases {
		f := placementFile()
		c.edit(&f.Placements[0])
		problems := f.Validate()
		if len(problems) != 1 || problems[0].Path != c.path {
			t.Errorf("%s: problems %v", c.path, problems)
		}
	}
	f := placementFile()
	f.Placements = append(f.Placements, Placement{Name: "q", Model: "redator", Selector: "pool=gpu"})
	if problems := f.Validate(); len(problems) != 1 || problems[0].Path != "placements[1].model" {
		t.Errorf("second placement of a model: problems %v", problems)
	}
}

// Guards against a placement that is lost when the file is split, or whose change is missing from the
// differences, from which the audit trail is made.
func TestPlacementSplitAndDiff(t *testing.T) {
	parts, err := Split(placementFile(), 10)
	if err != nil {
		t.Fatal(err)
	}
	byDigest := map[string][]byte{}
	for _, p := range parts {
		byDigest[PartDigest(p)] = p
	}
	s, problems := Assemble(NewHead(1, parts), byDigest)
	if len(problems) > 0 || s.Placements["redator"] == nil {
		t.Fatalf("problems %v, placements %v", problems, s.Placements)
	}
	changed := placementFile()
	changed.Placements[0].Version = "v2"
	next, problems := NewSnapshot(changed)
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	found := false
	for _, c := range Diff(s, next) {
		found = found || c.Subject() == "placement/p" && strings.Contains(c.Detail, "version: v1 -> v2")
	}
	if !found {
		t.Errorf("diff %v does not show the change", Diff(s, next))
	}
}

// Guards against a missing warning about engines that are sent no orders because they do not check
// fencing numbers.
func TestPlacementWarnings(t *testing.T) {
	s, _ := NewSnapshot(placementFile())
	found := false
	for _, w := range s.Warnings() {
		found = found || w.Path == "placements[0].selector" && strings.HasPrefix(w.Message, "1 engines do not check")
	}
	if !found {
		t.Errorf("warnings %v", s.Warnings())
	}
}
