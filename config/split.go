package config

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
)

// MaxPartBytes bounds a part: VMs send a part in one frame of at most 256 KiB.
const MaxPartBytes = 192 << 10

// Split divides a file into parts of about perPart entities, as operators publish it. An entity's
// part depends on its name only, so a change of one entity changes one part, unless the number of
// entities passes a power of two times perPart. Regions, routes and placements form the first part.
func Split(f *File, perPart int) ([][]byte, error) {
	if perPart <= 0 {
		return nil, fmt.Errorf("split configuration: %d entities per part, must be above 0", perPart)
	}
	files := []*File{{Regions: f.Regions, Routes: f.Routes, Placements: f.Placements}}
	for _, c := range buckets(f.Links, perPart, func(l *Link) string { return l.A + ":" + l.B }) {
		files = append(files, &File{Links: c})
	}
	for _, c := range buckets(f.VMs, perPart, func(m *VM) string { return m.Name }) {
		files = append(files, &File{VMs: c})
	}
	for _, c := range buckets(f.Workspaces, perPart, func(w *Workspace) string { return w.Name }) {
		files = append(files, &File{Workspaces: c})
	}
	for _, c := range buckets(f.Keys, perPart, func(k *Key) string { return k.ID }) {
		files = append(files, &File{Keys: c})
	}
	for _, c := range buckets(f.Upstreams, perPart, func(u *Upstream) string { return u.Name }) {
		files = append(files, &File{Upstreams: c})
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

// buckets divides a section by the hash of each entity's name into non-empty groups.
func buckets[T any](list []T, perPart int, name func(*T) string) [][]T {
	count := 1
	for count*perPart < len(list) {
		count *= 2
	}
	groups := make([][]T, count)
	for i := range list {
		h := fnv.New32a()
		_, _ = h.Write([]byte(name(&list[i])))
		n := h.Sum32() % uint32(count)
		groups[n] = append(groups[n], list[i])
	}
	filled := groups[:0]
	for _, g := range groups {
		if len(g) > 0 {
			filled = append(filled, g)
		}
	}
	return filled
}
