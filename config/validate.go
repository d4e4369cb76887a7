package config

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"slices"

	"parsleyhatch/selector"
)

// Problem is one fault of a configuration.
type Problem struct {
	// Path locates the fault in the file, such as "routes[2].selector".
	Path string
	// Message says what is wrong.
	Message string
}

// String returns "path: message".
func (p Problem) String() string { return p.Path + ": " + p.Message }

// validator collects the problems of a file.
type validator struct {
	file       *File
	problems   []Problem
	regions    map[string]bool
	workspaces map[string]bool
}

// Validate returns every problem of the file, in the order of its sections.
func (f *File) Validate() []Problem {
	v := &validator{file: f, regions: map[string]bool{}, workspaces: map[string]bool{}}
	for _, r := range f.Regions {
		v.regions[r.Name] = true
	}
	for _, w := range f.Workspaces {
		v.workspaces[w.Name] = true
	}
	v.checkRegions()
	v.checkLinks()
	v.checkVMs()
	v.checkRoutes()
	v.checkWorkspaces()
	v.checkKeys()
	v.checkUpstreams()
	return v.problems
}

func (v *validator) add(path, format string, args ...any) {
	v.problems = append(v.problems, Problem{Path: path, Message: fmt.Sprintf(format, args...)})
}

// unique reports an empty or repeated name.
func (v *validator) unique(seen map[string]bool, path, name string) {
	switch {
	case name == "":
		v.add(path, "is empty")
	case seen[name]:
		v.add(path, "%q is used twice", name)
	}
	seen[name] = true
}

func (v *validator) region(path, name string) {
	if !v.regions[name] {
		v.add(path, "unknown region %q", name)
	}
}

func (v *validator) address(path, address string) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		v.add(path, "%q is not IP:port", address)
	}
}

func (v *validator) oneOf(path, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		v.add(path, "%q is not one of %q", value, allowed)
	}
}

func (v *validator) checkRegions() {
	if len(v.file.Regions) == 0 {
		v.add("regions", "no region is configured")
	}
	seen := map[string]bool{}
	for i, r := range v.file.Regions {
		v.unique(seen, fmt.Sprintf("regions[%d].name", i), r.Name)
	}
}

func (v *validator) checkLinks() {
	seen := map[[2]string]bool{}
	for i, l := range v.file.Links {
		path := fmt.Sprintf("links[%d]", i)
		v.region(path+".a", l.A)
		v.region(path+".b", l.B)
		if l.A == l.B {
			v.add(path, "connects region %q to itself", l.A)
		}
		if seen[[2]string{l.A, l.B}] || seen[[2]string{l.B, l.A}] {
			v.add(path, "second link for %q and %q", l.A, l.B)
		}
		seen[[2]string{l.A, l.B}] = true
		if l.MegabitsPerSecond <= 0 {
			v.add(path+".megabitsPerSecond", "must be above 0")
		}
		if l.OneWayMillis < 0 {
			v.add(path+".oneWayMillis", "must not be negative")
		}
	}
}

func (v *validator) checkVMs() {
	if len(v.file.VMs) == 0 {
		v.add("vms", "no VM is configured")
	}
	names, addresses := map[string]bool{}, map[string]bool{}
	for i, m := range v.file.VMs {
		path := fmt.Sprintf("vms[%d]", i)
		v.unique(names, path+".name", m.Name)
		v.region(path+".region", m.Region)
		if m.FailureDomain == "" {
			v.add(path+".failureDomain", "is empty")
		}
		v.address(path+".callerAddress", m.CallerAddress)
		v.address(path+".peerAddress", m.PeerAddress)
		v.unique(addresses, path+".callerAddress", m.CallerAddress)
		v.unique(addresses, path+".peerAddress", m.PeerAddress)
	}
}

func (v *validator) checkRoutes() {
	names, models := map[string]bool{}, map[string]bool{}
	for i, r := range v.file.Routes {
		path := fmt.Sprintf("routes[%d]", i)
		v.unique(names, path+".name", r.Name)
		v.oneOf(path+".kind", r.Kind, KindModel, KindService)
		v.oneOf(path+".class", r.Class, ClassInteractive, ClassDraft)
		if r.Kind == KindModel {
			v.checkModelRoute(path, &r, models)
		}
		if _, err := selector.Parse(r.Selector); err != nil {
			v.add(path+".selector", "%v", err)
		}
		for j, name := range r.Regions {
			v.region(fmt.Sprintf("%s.regions[%d]", path, j), name)
		}
		if r.Open && !v.workspaces[r.Workspace] {
			v.add(path+".workspace", "an open route needs a workspace to charge; %q is unknown", r.Workspace)
		}
		if !r.Open && r.Workspace != "" {
			v.add(path+".workspace", "is set, but the route is not open")
		}
		if r.DeadlineMillis <= 0 {
			v.add(path+".deadlineMillis", "must be above 0")
		}
		if r.MinBytesPerToken < 0 || r.CallTokens < 0 {
			v.add(path, "minBytesPerToken and callTokens must not be negative")
		}
	}
}

func (v *validator) checkModelRoute(path string, r *Route, models map[string]bool) {
	v.unique(models, path+".model", r.Model)
	if !r.Idempotent {
		v.add(path+".idempotent", "a model route must be idempotent, since streams are resumed")
	}
	if r.MaxTokens <= 0 {
		v.add(path+".maxTokens", "must be above 0")
	}
}

func (v *validator) checkWorkspaces() {
	seen := map[string]bool{}
	for i, w := range v.file.Workspaces {
		path := fmt.Sprintf("workspaces[%d]", i)
		v.unique(seen, path+".name", w.Name)
		v.region(path+".home", w.Home)
		if w.Rate <= 0 {
			v.add(path+".rate", "must be above 0")
		}
		if w.Burst <= 0 {
			v.add(path+".burst", "must be above 0")
		}
		if w.Weight <= 0 {
			v.add(path+".weight", "must be above 0")
		}
		v.checkShares(path+".regionShares", w.RegionShares)
	}
}

func (v *validator) checkShares(path string, shares map[string]float64) {
	sum := 0.0
	for name, share := range shares {
		v.region(path+"."+name, name)
		if share < 0 {
			v.add(path+"."+name, "must not be negative")
		}
		sum += share
	}
	if sum > 1+1e-9 {
		v.add(path, "adds up to %.3f, above 1", sum)
	}
}

func (v *validator) checkKeys() {
	seen := map[string]bool{}
	for i, k := range v.file.Keys {
		path := fmt.Sprintf("keys[%d]", i)
		v.unique(seen, path+".id", k.ID)
		if b, err := hex.DecodeString(k.SHA256); err != nil || len(b) != 32 {
			v.add(path+".sha256", "is not 64 hexadecimal digits")
		}
		if !v.workspaces[k.Workspace] {
			v.add(path+".workspace", "unknown workspace %q", k.Workspace)
		}
	}
}

func (v *validator) checkUpstreams() {
	seen := map[string]bool{}
	for i, u := range v.file.Upstreams {
		path := fmt.Sprintf("upstreams[%d]", i)
		v.unique(seen, path+".name", u.Name)
		v.oneOf(path+".kind", u.Kind, KindModel, KindService)
		v.region(path+".region", u.Region)
		v.address(path+".address", u.Address)
		v.oneOf(path+".state", u.State, "", StateActive, StateDraining)
		if u.MaxBatch <= 0 {
			v.add(path+".maxBatch", "must be above 0")
		}
	}
}
