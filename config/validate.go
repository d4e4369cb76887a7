package config

import (
	"encoding/hex"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"

	"parsleyhatch/selector"
)

// Upper bounds of numbers. They exclude slips of the keyboard and keep products, such as a rate
// times a second in nanoseconds, within 64 bits.
const (
	maxTokens         = 1_000_000_000
	maxWeight         = 1_000_000
	maxBatch          = 100_000
	maxDeadlineMillis = 3_600_000
	maxBytesPerToken  = 64
	maxMegabits       = 10_000_000
	maxOneWayMillis   = 10_000
	maxNameBytes      = 128
	sha256Bytes       = 32
)

// shareSlack absorbs the rounding of shares such as three times 0.3333333333.
const shareSlack = 1e-9

// Problem is one fault of a configuration.
type Problem struct {
	// Path locates the fault in the file, such as "routes[2].selector".
	Path string `json:"path"`
	// Message says what is wrong.
	Message string `json:"message"`
}

// String returns "path: message".
func (p Problem) String() string { return p.Path + ": " + p.Message }

// place is an entity of a section. Its text is built only for a problem: building it for each entity
// cost 82,000 allocations per validation at the target scale.
type place struct {
	section string
	index   int
}

func (p place) field(name string) string {
	if name == "" {
		return fmt.Sprintf("%s[%d]", p.section, p.index)
	}
	return fmt.Sprintf("%s[%d].%s", p.section, p.index, name)
}

// validator collects the problems of a file.
type validator struct {
	file       *File
	problems   []Problem
	regions    map[string]bool
	workspaces map[string]bool
}

// Validate returns every problem of the file, in the order of its sections.
func (f *File) Validate() []Problem {
	v := &validator{
		file:       f,
		regions:    make(map[string]bool, len(f.Regions)),
		workspaces: make(map[string]bool, len(f.Workspaces)),
	}
	for i := range f.Regions {
		v.regions[f.Regions[i].Name] = true
	}
	for i := range f.Workspaces {
		v.workspaces[f.Workspaces[i].Name] = true
	}
	v.checkRegions()
	v.checkLinks()
	v.checkVMs()
	v.checkRoutes()
	v.checkWorkspaces()
	v.checkKeys()
	v.checkUpstreams()
	v.checkPlacements()
	return v.problems
}

func (v *validator) add(path, format string, args ...any) {
	v.problems = append(v.problems, Problem{Path: path, Message: fmt.Sprintf(format, args...)})
}

// unique reports an empty or repeated value.
func (v *validator) unique(seen map[string]bool, at place, field, value string) {
	switch {
	case value == "":
		v.add(at.field(field), "is empty")
	case seen[value]:
		v.add(at.field(field), "%q is used twice", value)
	}
	seen[value] = true
}

// name checks that a name is unique and consists of letters, digits and the extra characters, with a
// letter or digit first, so that it is safe in URL paths, file names and log lines.
func (v *validator) name(seen map[string]bool, at place, field, value, extra string) {
	v.unique(seen, at, field, value)
	v.safe(at, field, value, extra)
}

func (v *validator) safe(at place, field, value, extra string) {
	if len(value) > maxNameBytes {
		v.add(at.field(field), "has %d bytes, above the limit of %d", len(value), maxNameBytes)
		return
	}
	for i, c := range value {
		if isAlphanumeric(c) || i > 0 && strings.ContainsRune(extra, c) {
			continue
		}
		v.add(at.field(field), "%q: character %q is not allowed at byte %d", value, c, i)
		return
	}
}

func isAlphanumeric(c rune) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
}

// labels checks label keys and values. The keys are sorted only if there is a problem, since sorting
// them for each upstream cost 60,000 allocations per validation at the target scale.
func (v *validator) labels(at place, labels map[string]string) {
	valid := true
	for key, value := range labels {
		valid = valid && selector.CheckWord("key", key) == nil && selector.CheckWord("value", value) == nil
	}
	if valid {
		return
	}
	for _, key := range slices.Sorted(maps.Keys(labels)) {
		if err := selector.CheckWord("key", key); err != nil {
			v.add(at.field("labels"), "%v", err)
		}
		if err := selector.CheckWord("value", labels[key]); err != nil {
			v.add(at.field("labels."+key), "%v", err)
		}
	}
}

func (v *validator) region(at place, field, name string) {
	if !v.regions[name] {
		v.add(at.field(field), "unknown region %q", name)
	}
}

// address accepts IP:port that can be connected to.
func (v *validator) address(at place, field, address string) {
	a, err := netip.ParseAddrPort(address)
	switch {
	case err != nil:
		v.add(at.field(field), "%q is not IP:port", address)
	case a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().IsMulticast():
		v.add(at.field(field), "%q cannot be connected to", address)
	}
}

func (v *validator) oneOf(at place, field, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		v.add(at.field(field), "%q is not one of %q", value, allowed)
	}
}

// between reports a number outside [low, high].
func (v *validator) between(at place, field string, value, low, high int64) {
	switch {
	case value < low && low == 1:
		v.add(at.field(field), "is %d; must be above 0", value)
	case value < low:
		v.add(at.field(field), "is %d; must not be below %d", value, low)
	case value > high:
		v.add(at.field(field), "is %d; must not be above %d", value, high)
	}
}

// fraction reports a number outside [0, high], including one that is not a number.
func (v *validator) fraction(at place, field string, value, high float64) {
	if !(value >= 0) {
		v.add(at.field(field), "is %v; must not be negative", value)
	} else if value > high {
		v.add(at.field(field), "is %v; must not be above %v", value, high)
	}
}

func (v *validator) checkRegions() {
	if len(v.file.Regions) == 0 {
		v.add("regions", "no region is configured")
	}
	seen := map[string]bool{}
	for i := range v.file.Regions {
		r, at := &v.file.Regions[i], place{"regions", i}
		v.name(seen, at, "name", r.Name, "-_.")
		v.labels(at, r.Labels)
	}
}

func (v *validator) checkLinks() {
	seen := map[[2]string]bool{}
	for i := range v.file.Links {
		l, at := &v.file.Links[i], place{"links", i}
		v.region(at, "a", l.A)
		v.region(at, "b", l.B)
		if l.A == l.B {
			v.add(at.field(""), "connects region %q to itself", l.A)
		}
		if seen[[2]string{l.A, l.B}] || seen[[2]string{l.B, l.A}] {
			v.add(at.field(""), "second link for %q and %q", l.A, l.B)
		}
		seen[[2]string{l.A, l.B}] = true
		if l.MegabitsPerSecond == 0 {
			v.add(at.field("megabitsPerSecond"), "must be above 0")
		}
		v.fraction(at, "megabitsPerSecond", l.MegabitsPerSecond, maxMegabits)
		v.fraction(at, "oneWayMillis", l.OneWayMillis, maxOneWayMillis)
	}
}

func (v *validator) checkVMs() {
	if len(v.file.VMs) == 0 {
		v.add("vms", "no VM is configured")
	}
	names, addresses := map[string]bool{}, map[string]bool{}
	for i := range v.file.VMs {
		m, at := &v.file.VMs[i], place{"vms", i}
		// A ticket separates the slot from its other fields by dots.
		v.name(names, at, "name", m.Name, "-_")
		v.region(at, "region", m.Region)
		v.failureDomain(at, m.FailureDomain)
		v.address(at, "callerAddress", m.CallerAddress)
		v.address(at, "peerAddress", m.PeerAddress)
		v.unique(addresses, at, "callerAddress", m.CallerAddress)
		v.unique(addresses, at, "peerAddress", m.PeerAddress)
	}
}

func (v *validator) failureDomain(at place, name string) {
	if name == "" {
		v.add(at.field("failureDomain"), "is empty")
	}
	v.safe(at, "failureDomain", name, "-_.")
}

func (v *validator) checkRoutes() {
	names, models := map[string]bool{}, map[string]bool{}
	for i := range v.file.Routes {
		r, at := &v.file.Routes[i], place{"routes", i}
		v.name(names, at, "name", r.Name, "-_.")
		v.oneOf(at, "kind", r.Kind, KindModel, KindService)
		v.oneOf(at, "class", r.Class, ClassInteractive, ClassDraft)
		if r.Kind == KindModel {
			v.checkModelRoute(at, r, models)
		} else if r.Model != "" {
			v.add(at.field("model"), "is set, but the route is not a model route")
		}
		if _, err := selector.Parse(r.Selector); err != nil {
			v.add(at.field("selector"), "%v", err)
		}
		v.checkRouteRegions(at, r)
		v.checkOpen(at, r)
		v.between(at, "deadlineMillis", r.DeadlineMillis, 1, maxDeadlineMillis)
		v.between(at, "callTokens", r.CallTokens, 0, maxTokens)
		v.fraction(at, "minBytesPerToken", r.MinBytesPerToken, maxBytesPerToken)
	}
}

func (v *validator) checkRouteRegions(at place, r *Route) {
	for j, name := range r.Regions {
		field := fmt.Sprintf("regions[%d]", j)
		v.region(at, field, name)
		if slices.Contains(r.Regions[:j], name) {
			v.add(at.field(field), "%q is used twice", name)
		}
	}
}

func (v *validator) checkOpen(at place, r *Route) {
	if r.Open && !v.workspaces[r.Workspace] {
		v.add(at.field("workspace"), "an open route needs a workspace to charge; %q is unknown", r.Workspace)
	}
	if !r.Open && r.Workspace != "" {
		v.add(at.field("workspace"), "is set, but the route is not open")
	}
}

func (v *validator) checkModelRoute(at place, r *Route, models map[string]bool) {
	v.name(models, at, "model", r.Model, "-_./:")
	if !r.Idempotent {
		v.add(at.field("idempotent"), "a model route must be idempotent, since streams are resumed")
	}
	v.between(at, "maxTokens", r.MaxTokens, 1, maxTokens)
}

func (v *validator) checkWorkspaces() {
	seen := make(map[string]bool, len(v.file.Workspaces))
	for i := range v.file.Workspaces {
		w, at := &v.file.Workspaces[i], place{"workspaces", i}
		v.name(seen, at, "name", w.Name, "-_.")
		v.region(at, "home", w.Home)
		v.between(at, "rate", w.Rate, 1, maxTokens)
		v.between(at, "burst", w.Burst, 1, maxTokens)
		v.between(at, "weight", w.Weight, 1, maxWeight)
		v.checkShares(at, w.RegionShares)
	}
}

func (v *validator) checkShares(at place, shares map[string]float64) {
	if len(shares) == 0 {
		return
	}
	sum := 0.0
	for _, name := range slices.Sorted(maps.Keys(shares)) {
		v.region(at, "regionShares."+name, name)
		v.fraction(at, "regionShares."+name, shares[name], 1)
		sum += shares[name]
	}
	if sum > 1+shareSlack {
		v.add(at.field("regionShares"), "adds up to %.3f, above 1", sum)
	}
}

func (v *validator) checkKeys() {
	seen := make(map[string]bool, len(v.file.Keys))
	var hash [sha256Bytes]byte
	for i := range v.file.Keys {
		k, at := &v.file.Keys[i], place{"keys", i}
		// A bearer key separates the id from the secret by an underscore.
		v.name(seen, at, "id", k.ID, "-.")
		if len(k.SHA256) != hex.EncodedLen(sha256Bytes) {
			v.add(at.field("sha256"), "is not 64 hexadecimal digits")
		} else if _, err := hex.Decode(hash[:], []byte(k.SHA256)); err != nil {
			v.add(at.field("sha256"), "is not 64 hexadecimal digits")
		}
		if !v.workspaces[k.Workspace] {
			v.add(at.field("workspace"), "unknown workspace %q", k.Workspace)
		}
	}
}

func (v *validator) checkUpstreams() {
	seen := make(map[string]bool, len(v.file.Upstreams))
	for i := range v.file.Upstreams {
		u, at := &v.file.Upstreams[i], place{"upstreams", i}
		v.name(seen, at, "name", u.Name, "-_.")
		v.oneOf(at, "kind", u.Kind, KindModel, KindService)
		v.region(at, "region", u.Region)
		v.failureDomain(at, u.FailureDomain)
		v.address(at, "address", u.Address)
		v.labels(at, u.Labels)
		v.oneOf(at, "state", u.State, "", StateActive, StateDraining)
		v.between(at, "maxBatch", int64(u.MaxBatch), 1, maxBatch)
	}
}
