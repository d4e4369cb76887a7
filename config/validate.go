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

// Upper limits of values. They catch typing errors and keep products, such as a rate times a second in
// nanoseconds, within 64 bits.
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

// regionShareTolerance absorbs rounding in the sum of region shares, such as three times 0.3333333333.
const regionShareTolerance = 1e-9

// Problem is a fault of a configuration, or a warning about it.
type Problem struct {
	// Path locates the problem in the file, such as "routes[2].selector".
	Path string `json:"path"`
	// Message describes the problem.
	Message string `json:"message"`
}

// String returns "path: message".
func (p Problem) String() string { return p.Path + ": " + p.Message }

// entityRef refers to an entity by its index in a section. Its path is built only for a problem:
// building it for each entity cost 82,000 allocations per validation at the target scale.
type entityRef struct {
	section string
	index   int
}

// field returns the path of a field of the entity, or of the entity itself if name is empty.
func (r entityRef) field(name string) string {
	if name == "" {
		return fmt.Sprintf("%s[%d]", r.section, r.index)
	}
	return fmt.Sprintf("%s[%d].%s", r.section, r.index, name)
}

// validator collects the problems of a file.
type validator struct {
	file       *File
	problems   []Problem
	regions    map[string]bool
	workspaces map[string]bool
}

// Validate returns all faults of the file, in the order of its sections.
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

func (v *validator) addProblem(path, format string, args ...any) {
	v.problems = append(v.problems, Problem{Path: path, Message: fmt.Sprintf(format, args...)})
}

// checkUnique reports a value that is empty or already in seen, and adds it to seen.
func (v *validator) checkUnique(seen map[string]bool, entity entityRef, field, value string) {
	switch {
	case value == "":
		v.addProblem(entity.field(field), "is empty")
	case seen[value]:
		v.addProblem(entity.field(field), "%q is used twice", value)
	}
	seen[value] = true
}

// checkName checks that a name is unique and has only allowed characters.
func (v *validator) checkName(seen map[string]bool, entity entityRef, field, value, punctuation string) {
	v.checkUnique(seen, entity, field, value)
	v.checkCharacters(entity, field, value, punctuation)
}

// checkCharacters checks that a value is not too long and consists of letters, digits and the allowed
// punctuation, with a letter or digit first, so that it is safe in URL paths, file names and log lines.
func (v *validator) checkCharacters(entity entityRef, field, value, punctuation string) {
	if len(value) > maxNameBytes {
		v.addProblem(entity.field(field), "has %d bytes, above the limit of %d", len(value), maxNameBytes)
		return
	}
	for i, c := range value {
		if isAlphanumeric(c) || i > 0 && strings.ContainsRune(punctuation, c) {
			continue
		}
		v.addProblem(entity.field(field), "%q: character %q is not allowed at byte %d", value, c, i)
		return
	}
}

func isAlphanumeric(c rune) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
}

// checkLabels checks label keys and values. The keys are sorted only if there is a problem: sorting them
// for each upstream cost 60,000 allocations per validation at the target scale.
func (v *validator) checkLabels(entity entityRef, labels map[string]string) {
	valid := true
	for key, value := range labels {
		valid = valid && selector.ValidateLabelText("key", key) == nil && selector.ValidateLabelText("value", value) == nil
	}
	if valid {
		return
	}
	for _, key := range slices.Sorted(maps.Keys(labels)) {
		if err := selector.ValidateLabelText("key", key); err != nil {
			v.addProblem(entity.field("labels"), "%v", err)
		}
		if err := selector.ValidateLabelText("value", labels[key]); err != nil {
			v.addProblem(entity.field("labels."+key), "%v", err)
		}
	}
}

func (v *validator) checkRegion(entity entityRef, field, name string) {
	if !v.regions[name] {
		v.addProblem(entity.field(field), "unknown region %q", name)
	}
}

// checkAddress reports an address that is not IP:port or cannot be connected to.
func (v *validator) checkAddress(entity entityRef, field, address string) {
	a, err := netip.ParseAddrPort(address)
	switch {
	case err != nil:
		v.addProblem(entity.field(field), "%q is not IP:port", address)
	case a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().IsMulticast():
		v.addProblem(entity.field(field), "%q cannot be connected to", address)
	}
}

func (v *validator) checkOneOf(entity entityRef, field, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		v.addProblem(entity.field(field), "%q is not one of %q", value, allowed)
	}
}

// checkIntRange reports an integer outside [low, high].
func (v *validator) checkIntRange(entity entityRef, field string, value, low, high int64) {
	switch {
	case value < low && low == 1:
		v.addProblem(entity.field(field), "is %d; must be above 0", value)
	case value < low:
		v.addProblem(entity.field(field), "is %d; must not be below %d", value, low)
	case value > high:
		v.addProblem(entity.field(field), "is %d; must not be above %d", value, high)
	}
}

// checkFloatRange reports a float outside [0, high] or NaN, for which every comparison is false.
func (v *validator) checkFloatRange(entity entityRef, field string, value, high float64) {
	if !(value >= 0) {
		v.addProblem(entity.field(field), "is %v; must not be negative", value)
	} else if value > high {
		v.addProblem(entity.field(field), "is %v; must not be above %v", value, high)
	}
}

func (v *validator) checkRegions() {
	if len(v.file.Regions) == 0 {
		v.addProblem("regions", "no region is configured")
	}
	seen := map[string]bool{}
	for i := range v.file.Regions {
		r, entity := &v.file.Regions[i], entityRef{"regions", i}
		v.checkName(seen, entity, "name", r.Name, "-_.")
		v.checkLabels(entity, r.Labels)
	}
}

func (v *validator) checkLinks() {
	seen := map[[2]string]bool{}
	for i := range v.file.Links {
		l, entity := &v.file.Links[i], entityRef{"links", i}
		v.checkRegion(entity, "a", l.A)
		v.checkRegion(entity, "b", l.B)
		if l.A == l.B {
			v.addProblem(entity.field(""), "connects region %q to itself", l.A)
		}
		if seen[[2]string{l.A, l.B}] || seen[[2]string{l.B, l.A}] {
			v.addProblem(entity.field(""), "second link for %q and %q", l.A, l.B)
		}
		seen[[2]string{l.A, l.B}] = true
		if l.MegabitsPerSecond == 0 {
			v.addProblem(entity.field("megabitsPerSecond"), "must be above 0")
		}
		v.checkFloatRange(entity, "megabitsPerSecond", l.MegabitsPerSecond, maxMegabits)
		v.checkFloatRange(entity, "oneWayMillis", l.OneWayMillis, maxOneWayMillis)
	}
}

func (v *validator) checkVMs() {
	if len(v.file.VMs) == 0 {
		v.addProblem("vms", "no VM is configured")
	}
	names, addresses := map[string]bool{}, map[string]bool{}
	for i := range v.file.VMs {
		m, entity := &v.file.VMs[i], entityRef{"vms", i}
		// Dots are not allowed: they separate the fields of a ticket, one of which is the slot name.
		v.checkName(names, entity, "name", m.Name, "-_")
		v.checkRegion(entity, "region", m.Region)
		v.checkFailureDomain(entity, m.FailureDomain)
		v.checkAddress(entity, "callerAddress", m.CallerAddress)
		v.checkAddress(entity, "peerAddress", m.PeerAddress)
		v.checkUnique(addresses, entity, "callerAddress", m.CallerAddress)
		v.checkUnique(addresses, entity, "peerAddress", m.PeerAddress)
	}
}

func (v *validator) checkFailureDomain(entity entityRef, name string) {
	if name == "" {
		v.addProblem(entity.field("failureDomain"), "is empty")
	}
	v.checkCharacters(entity, "failureDomain", name, "-_.")
}

func (v *validator) checkRoutes() {
	names, models := map[string]bool{}, map[string]bool{}
	for i := range v.file.Routes {
		r, entity := &v.file.Routes[i], entityRef{"routes", i}
		v.checkName(names, entity, "name", r.Name, "-_.")
		v.checkOneOf(entity, "kind", r.Kind, KindModel, KindService)
		v.checkOneOf(entity, "class", r.Class, ClassInteractive, ClassDraft)
		if r.Kind == KindModel {
			v.checkModelRoute(entity, r, models)
		} else if r.Model != "" {
			v.addProblem(entity.field("model"), "is set, but the route is not a model route")
		}
		if _, err := selector.Parse(r.Selector); err != nil {
			v.addProblem(entity.field("selector"), "%v", err)
		}
		v.checkRouteRegions(entity, r)
		v.checkOpenRoute(entity, r)
		v.checkIntRange(entity, "deadlineMillis", r.DeadlineMillis, 1, maxDeadlineMillis)
		v.checkIntRange(entity, "callTokens", r.CallTokens, 0, maxTokens)
		v.checkFloatRange(entity, "minBytesPerToken", r.MinBytesPerToken, maxBytesPerToken)
	}
}

func (v *validator) checkRouteRegions(entity entityRef, r *Route) {
	for j, name := range r.Regions {
		field := fmt.Sprintf("regions[%d]", j)
		v.checkRegion(entity, field, name)
		if slices.Contains(r.Regions[:j], name) {
			v.addProblem(entity.field(field), "%q is used twice", name)
		}
	}
}

func (v *validator) checkOpenRoute(entity entityRef, r *Route) {
	if r.Open && !v.workspaces[r.Workspace] {
		v.addProblem(entity.field("workspace"), "an open route needs a workspace to charge; %q is unknown", r.Workspace)
	}
	if !r.Open && r.Workspace != "" {
		v.addProblem(entity.field("workspace"), "is set, but the route is not open")
	}
}

func (v *validator) checkModelRoute(entity entityRef, r *Route, models map[string]bool) {
	v.checkName(models, entity, "model", r.Model, "-_./:")
	if !r.Idempotent {
		v.addProblem(entity.field("idempotent"), "a model route must be idempotent, since streams are resumed")
	}
	v.checkIntRange(entity, "maxTokens", r.MaxTokens, 1, maxTokens)
}

func (v *validator) checkWorkspaces() {
	seen := make(map[string]bool, len(v.file.Workspaces))
	for i := range v.file.Workspaces {
		w, entity := &v.file.Workspaces[i], entityRef{"workspaces", i}
		v.checkName(seen, entity, "name", w.Name, "-_.")
		v.checkRegion(entity, "home", w.Home)
		v.checkIntRange(entity, "rate", w.Rate, 1, maxTokens)
		v.checkIntRange(entity, "burst", w.Burst, 1, maxTokens)
		v.checkIntRange(entity, "weight", w.Weight, 1, maxWeight)
		v.checkRegionShares(entity, w.RegionShares)
	}
}

func (v *validator) checkRegionShares(entity entityRef, shares map[string]float64) {
	if len(shares) == 0 {
		return
	}
	sum := 0.0
	for _, name := range slices.Sorted(maps.Keys(shares)) {
		v.checkRegion(entity, "regionShares."+name, name)
		v.checkFloatRange(entity, "regionShares."+name, shares[name], 1)
		sum += shares[name]
	}
	if sum > 1+regionShareTolerance {
		v.addProblem(entity.field("regionShares"), "adds up to %.3f, above 1", sum)
	}
}

func (v *validator) checkKeys() {
	seen := make(map[string]bool, len(v.file.Keys))
	var hash [sha256Bytes]byte
	for i := range v.file.Keys {
		k, entity := &v.file.Keys[i], entityRef{"keys", i}
		// Underscores are not allowed: in a bearer key, one separates the id from the secret.
		v.checkName(seen, entity, "id", k.ID, "-.")
		if len(k.SHA256) != hex.EncodedLen(sha256Bytes) {
			v.addProblem(entity.field("sha256"), "is not 64 hexadecimal digits")
		} else if _, err := hex.Decode(hash[:], []byte(k.SHA256)); err != nil {
			v.addProblem(entity.field("sha256"), "is not 64 hexadecimal digits")
		}
		if !v.workspaces[k.Workspace] {
			v.addProblem(entity.field("workspace"), "unknown workspace %q", k.Workspace)
		}
	}
}

func (v *validator) checkUpstreams() {
	seen := make(map[string]bool, len(v.file.Upstreams))
	for i := range v.file.Upstreams {
		u, entity := &v.file.Upstreams[i], entityRef{"upstreams", i}
		v.checkName(seen, entity, "name", u.Name, "-_.")
		v.checkOneOf(entity, "kind", u.Kind, KindModel, KindService)
		v.checkRegion(entity, "region", u.Region)
		v.checkFailureDomain(entity, u.FailureDomain)
		v.checkAddress(entity, "address", u.Address)
		v.checkLabels(entity, u.Labels)
		v.checkOneOf(entity, "state", u.State, "", StateActive, StateDraining)
		v.checkIntRange(entity, "maxBatch", int64(u.MaxBatch), 1, maxBatch)
	}
}
