package config

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
)

// MaxPartBytes is the largest size of a part. VMs send a part to each other in one frame, which is at
// most 256 KiB.
const MaxPartBytes = 192 << 10

// Split divides a file into the parts that operators publish, with about entitiesPerPart entities each.
// The part of an entity depends only on its name, so that a change of one entity changes one part,
// unless the number of entities in the section passes a power of two times entitiesPerPart. Regions,
// routes and placements form the first part.
func Split(f *File, entitiesPerPart int) ([][]byte, error) {
	if entitiesPerPart <= 0 {
		return nil, fmt.Errorf("split configuration: %d entities per part, must be above 0", entitiesPerPart)
	}
	files := []*File{{Regions: f.Regions, Routes: f.Routes, Placements: f.Placements}}
	for _, group := range groupByNameHash(f.Links, entitiesPerPart, func(l *Link) string { return l.A + ":" + l.B }) {
		files = append(files, &File{Links: group})
	}
	for _, group := range groupByNameHash(f.VMs, entitiesPerPart, func(m *VM) string { return m.Name }) {
		files = append(files, &File{VMs: group})
	}
	for _, group := range groupByNameHash(f.Workspaces, entitiesPerPart, func(w *Workspace) string { return w.Name }) {
		files = append(files, &File{Workspaces: group})
	}
	for _, group := range groupByNameHash(f.Keys, entitiesPerPart, func(k *Key) string { return k.ID }) {
		files = append(files, &File{Keys: group})
	}
	for _, group := range groupByNameHash(f.Upstreams, entitiesPerPart, func(u *Upstream) string { return u.Name }) {
		files = append(files, &File{Upstreams: group})
	}
	return encodeParts(files)
}

func encodeParts(files []*File) ([][]byte, error) {
	parts := make([][]byte, 0, len(files))
	for _, file := range files {
		data, err := json.Marshal(file)
		if err != nil {
			return nil, fmt.Errorf("encode configuration part: %w", err)
		}
		if len(data) > MaxPartBytes {
			return nil, fmt.Errorf("encode configuration part: %d bytes, above the limit of %d; use fewer entities per part", len(data), MaxPartBytes)
		}
		parts = append(parts, data)
	}
	return parts, nil
}

// groupByNameHash divides a section by the hash of each entity's name into non-empty groups.
func groupByNameHash[T any](list []T, entitiesPerPart int, nameOf func(*T) string) [][]T {
	count := 1
	for count*entitiesPerPart < len(list) {
		count *= 2
	}
	groups := make([][]T, count)
	for i := range list {
		h := fnv.New32a()
		_, _ = h.Write([]byte(nameOf(&list[i])))
		index := h.Sum32() % uint32(count)
		groups[index] = append(groups[index], list[i])
	}
	nonEmpty := groups[:0]
	for _, g := range groups {
		if len(g) > 0 {
			nonEmpty = append(nonEmpty, g)
		}
	}
	return nonEmpty
}
