package route

import (
	"crypto/sha256"
	"encoding/hex"
	"hash/fnv"
	"slices"
	"strings"
	"time"
)

// KeyHash identifies a key without revealing it.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a caller's key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// String returns the hash in hexadecimal digits.
func (h KeyHash) String() string { return hex.EncodeToString(h[:]) }

// Table is an immutable configuration with lookup indexes.
type Table struct {
	Config     *Config
	byHost     routeIndex
	byKey      map[KeyHash]*Workspace
	services   map[string]*Service
	workspaces map[string]*Workspace
	rivals     rivals
	// splitSince holds the version of the configuration since which a route has its present split, by name. It is the version of the first
	// known configuration if no earlier one is known.
	splitSince map[string]uint64
	// past holds the routes of earlier configurations, the latest first. All that were in force since pastSince are known; it is zero if no
	// earlier configuration has existed.
	past      []pastRoutes
	pastSince time.Time
	// firstVersion is the version of the configuration at pastSince, zero if its routes are no longer kept. unchangedFrom is the version since
	// which the routes choose the same services.
	firstVersion, unchangedFrom uint64
}

// New builds the table of a configuration.
func New(c *Config) *Table {
	t := &Table{
		Config:     c,
		byHost:     routeIndex{},
		byKey:      map[KeyHash]*Workspace{},
		services:   map[string]*Service{},
		workspaces: map[string]*Workspace{},
		splitSince: map[string]uint64{},
		rivals:     newRivals(c),
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
		t.splitSince[r.Name] = c.Version
	}
	t.byHost.sort()
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		t.workspaces[w.Name] = w
		for _, key := range w.Keys {
			t.byKey[HashKey(key)] = w
		}
	}
	return t
}

// NewAfter builds the table of a configuration that replaces an earlier one now. Without an earlier one, those that were in force before
// are unknown.
func NewAfter(now time.Time, previous *Table, c *Config) *Table {
	t := New(c)
	t.recordPast(now, previous)
	if previous == nil {
		return t
	}
	splits := map[string][]Target{}
	for i := range previous.Config.Routes {
		splits[previous.Config.Routes[i].Name] = previous.Config.Routes[i].Split
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		if split, ok := splits[r.Name]; ok && slices.Equal(split, r.Split) {
			t.splitSince[r.Name] = previous.splitSince[r.Name]
		}
	}
	return t
}

// SplitSince returns the version of the configuration since which a route of the table has its present split, as far as is known.
func (t *Table) SplitSince(r *Route) uint64 { return t.splitSince[r.Name] }

// Match returns the host's route with the longest matching path prefix, or nil.
func (t *Table) Match(host, path string) *Route { return t.byHost.match(host, path) }

// routeIndex holds routes by host, those with longer prefixes first.
type routeIndex map[string][]*Route

func (x routeIndex) sort() {
	for _, routes := range x {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
}

func (x routeIndex) match(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for _, r := range x[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Authenticate returns the workspace that holds the key, or nil. Keys are looked up by their hash, so the
// lookup time reveals nothing about other keys.
func (t *Table) Authenticate(h KeyHash) *Workspace { return t.byKey[h] }

// NeedsKeys reports whether requests must carry a key on routes that are not public.
func (t *Table) NeedsKeys() bool { return len(t.Config.Workspaces) > 0 }

// Service returns the service with the given name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Workspace returns the workspace with the given name, or nil.
func (t *Table) Workspace(name string) *Workspace { return t.workspaces[name] }

// Target returns the service that runs the requests with a key, by which a route with several services distributes them. All VMs with
// the same configuration choose the same service.
func (t *Table) Target(r *Route, key string) *Service { return t.services[r.target(key)] }

// target returns the name of the service that runs the requests with a key, empty if there is none.
func (r *Route) target(key string) string {
	total := 0
	for _, target := range r.Split {
		total += target.Weight
	}
	if total == 0 {
		return ""
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(key))
	point := int(h.Sum32() % uint32(total))
	for _, target := range r.Split {
		if point < target.Weight {
			return target.Service
		}
		point -= target.Weight
	}
	return ""
}

// Allows reports whether requests of the route may run at a service.
func (r *Route) Allows(service string) bool {
	return slices.ContainsFunc(r.Split, func(t Target) bool { return t.Service == service && t.Weight > 0 })
}

// Allowed reports whether a region may run requests of the route and the workspace, which may be nil.
func Allowed(r *Route, w *Workspace, region string) bool {
	if len(r.AllowedRegions) > 0 && !slices.Contains(r.AllowedRegions, region) {
		return false
	}
	return w == nil || len(w.AllowedRegions) == 0 || slices.Contains(w.AllowedRegions, region)
}

// Priority returns the urgency of a request; 0 is the most urgent.
func Priority(r *Route, w *Workspace) int {
	if w != nil && w.Priority != nil {
		return *w.Priority
	}
	return r.Priority
}

// RestrictedRoutes returns the number of a host's routes that are restricted to some regions, with the given one among
// them.
func (t *Table) RestrictedRoutes(host, region string) int {
	n := 0
	for _, r := range t.byHost[strings.ToLower(host)] {
		if slices.Contains(r.AllowedRegions, region) {
			n++
		}
	}
	return n
}
