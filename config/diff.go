package config

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// Entities of a configuration, as Change names them.
const (
	EntityRegion    = "region"
	EntityLink      = "link"
	EntityVM        = "vm"
	EntityRoute     = "route"
	EntityWorkspace = "workspace"
	EntityKey       = "key"
	EntityUpstream  = "upstream"
	EntityPlacement = "placement"
)

// Actions of a change.
const (
	ActionAdded   = "added"
	ActionRemoved = "removed"
	ActionChanged = "changed"
	// ActionWithdrawn is the change of a key from valid to withdrawn.
	ActionWithdrawn = "withdrawn"
	// ActionDraining is the change of an upstream to draining.
	ActionDraining = "draining"
)

// Change is one difference between two snapshots.
type Change struct {
	Action string `json:"action"`
	Entity string `json:"entity"`
	Name   string `json:"name"`
	// Detail lists the fields that changed with their old and new values.
	Detail string `json:"detail,omitempty"`
}

// Subject returns the entity and its name, such as "key/k1".
func (c Change) Subject() string { return c.Entity + "/" + c.Name }

// Diff returns the differences from old to next, by section and then by name. Parts that both
// snapshots share are skipped: names are unique in a snapshot, so an entity of a shared part cannot
// also be in another part. old may be nil.
func Diff(old, next *Snapshot) []Change {
	a, b := unshared(old, next), unshared(next, old)
	var list []Change
	list = append(list, diffSection(EntityRegion, a.Regions, b.Regions, func(r *Region) string { return r.Name }, nil)...)
	list = append(list, diffSection(EntityLink, a.Links, b.Links, func(l *Link) string { return l.A + ":" + l.B }, nil)...)
	list = append(list, diffSection(EntityVM, a.VMs, b.VMs, func(m *VM) string { return m.Name }, nil)...)
	list = append(list, diffSection(EntityRoute, a.Routes, b.Routes, func(r *Route) string { return r.Name }, nil)...)
	list = append(list, diffSection(EntityWorkspace, a.Workspaces, b.Workspaces, func(w *Workspace) string { return w.Name }, nil)...)
	list = append(list, diffSection(EntityKey, a.Keys, b.Keys, func(k *Key) string { return k.ID }, keyAction)...)
	list = append(list, diffSection(EntityUpstream, a.Upstreams, b.Upstreams, func(u *Upstream) string { return u.Name }, upstreamAction)...)
	list = append(list, diffSection(EntityPlacement, a.Placements, b.Placements, func(p *Placement) string { return p.Name }, nil)...)
	return list
}

// unshared returns the entities of s that are not in a part of other.
func unshared(s, other *Snapshot) *File {
	if s == nil {
		return &File{}
	}
	if s.parsed == nil || other == nil || other.parsed == nil {
		return s.File
	}
	var own []*File
	for digest, part := range s.parsed {
		if other.parsed[digest] == nil {
			own = append(own, part)
		}
	}
	return mergeAll(own)
}

func keyAction(a, b *Key) string {
	if !a.Withdrawn && b.Withdrawn {
		return ActionWithdrawn
	}
	return ActionChanged
}

func upstreamAction(a, b *Upstream) string {
	if a.State != StateDraining && b.State == StateDraining {
		return ActionDraining
	}
	return ActionChanged
}

// diffSection compares one section. action classifies a changed entity; nil means ActionChanged.
func diffSection[T any](entity string, a, b []T, name func(*T) string, action func(a, b *T) string) []Change {
	var list []Change
	before := make(map[string]*T, len(a))
	for i := range a {
		before[name(&a[i])] = &a[i]
	}
	for i := range b {
		n := name(&b[i])
		was, ok := before[n]
		delete(before, n)
		switch {
		case !ok:
			list = append(list, Change{Action: ActionAdded, Entity: entity, Name: n})
		case !reflect.DeepEqual(was, &b[i]):
			c := Change{Action: ActionChanged, Entity: entity, Name: n, Detail: fieldChanges(was, &b[i])}
			if action != nil {
				c.Action = action(was, &b[i])
			}
			list = append(list, c)
		}
	}
	for n := range before {
		list = append(list, Change{Action: ActionRemoved, Entity: entity, Name: n})
	}
	slices.SortFunc(list, func(x, y Change) int { return cmp.Compare(x.Name, y.Name) })
	return list
}

// fieldChanges lists the changed fields of two entities of the same struct type.
func fieldChanges(a, b any) string {
	va, vb := reflect.ValueOf(a).Elem(), reflect.ValueOf(b).Elem()
	var list []string
	for i := range va.NumField() {
		x, y := va.Field(i).Interface(), vb.Field(i).Interface()
		if reflect.DeepEqual(x, y) {
			continue
		}
		name, _, _ := strings.Cut(va.Type().Field(i).Tag.Get("json"), ",")
		list = append(list, fmt.Sprintf("%s: %v -> %v", name, x, y))
	}
	return strings.Join(list, "; ")
}
