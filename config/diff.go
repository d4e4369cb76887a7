package config

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// Entity types of a configuration, as Change.Entity names them.
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

// Values of Change.Action.
const (
	ActionAdded   = "added"
	ActionRemoved = "removed"
	ActionChanged = "changed"
	// ActionWithdrawn is the withdrawal of a key that was valid.
	ActionWithdrawn = "withdrawn"
	// ActionDraining is the change of an upstream's state to StateDraining.
	ActionDraining = "draining"
)

// Change is one difference between two snapshots.
type Change struct {
	Action string `json:"action"`
	Entity string `json:"entity"`
	Name   string `json:"name"`
	// Detail lists the changed fields with their old and new values.
	Detail string `json:"detail,omitempty"`
}

// Subject returns the entity type and the name, such as "key/k1".
func (c Change) Subject() string { return c.Entity + "/" + c.Name }

// Diff returns the differences from old to next, ordered by section and then by name. Parts that both
// snapshots contain are skipped: names are unique in a snapshot, so an entity of a shared part cannot
// also be in another part. old may be nil.
func Diff(old, next *Snapshot) []Change {
	before, after := unsharedEntities(old, next), unsharedEntities(next, old)
	var list []Change
	list = append(list, diffSection(EntityRegion, before.Regions, after.Regions, func(r *Region) string { return r.Name }, nil)...)
	list = append(list, diffSection(EntityLink, before.Links, after.Links, func(l *Link) string { return l.A + ":" + l.B }, nil)...)
	list = append(list, diffSection(EntityVM, before.VMs, after.VMs, func(m *VM) string { return m.Name }, nil)...)
	list = append(list, diffSection(EntityRoute, before.Routes, after.Routes, func(r *Route) string { return r.Name }, nil)...)
	list = append(list, diffSection(EntityWorkspace, before.Workspaces, after.Workspaces, func(w *Workspace) string { return w.Name }, nil)...)
	list = append(list, diffSection(EntityKey, before.Keys, after.Keys, func(k *Key) string { return k.ID }, keyAction)...)
	list = append(list, diffSection(EntityUpstream, before.Upstreams, after.Upstreams, func(u *Upstream) string { return u.Name }, upstreamAction)...)
	list = append(list, diffSection(EntityPlacement, before.Placements, after.Placements, func(p *Placement) string { return p.Name }, nil)...)
	return list
}

// unsharedEntities returns the entities of s that are not in a part of other.
func unsharedEntities(s, other *Snapshot) *File {
	if s == nil {
		return &File{}
	}
	if s.parsedParts == nil || other == nil || other.parsedParts == nil {
		return s.File
	}
	var unsharedParts []*File
	for digest, part := range s.parsedParts {
		if other.parsedParts[digest] == nil {
			unsharedParts = append(unsharedParts, part)
		}
	}
	return mergeParts(unsharedParts)
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

// diffSection compares one section of two configurations. action returns the action for a changed
// entity; if it is nil, the action is ActionChanged.
func diffSection[T any](entity string, a, b []T, nameOf func(*T) string, action func(a, b *T) string) []Change {
	var list []Change
	before := make(map[string]*T, len(a))
	for i := range a {
		before[nameOf(&a[i])] = &a[i]
	}
	for i := range b {
		entityName := nameOf(&b[i])
		previous, ok := before[entityName]
		delete(before, entityName)
		switch {
		case !ok:
			list = append(list, Change{Action: ActionAdded, Entity: entity, Name: entityName})
		case !reflect.DeepEqual(previous, &b[i]):
			c := Change{Action: ActionChanged, Entity: entity, Name: entityName, Detail: fieldChanges(previous, &b[i])}
			if action != nil {
				c.Action = action(previous, &b[i])
			}
			list = append(list, c)
		}
	}
	for entityName := range before {
		list = append(list, Change{Action: ActionRemoved, Entity: entity, Name: entityName})
	}
	slices.SortFunc(list, func(x, y Change) int { return cmp.Compare(x.Name, y.Name) })
	return list
}

// fieldChanges lists the fields that differ between two entities of the same struct type, under their
// JSON names.
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
