package member

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Rank orders names for a key by rendezvous hashing: removing or adding a name does not change the
// order of the others. Equal hashes are ordered by name. The input is left unchanged.
func Rank(key string, names []string) []string {
	type scored struct {
		name  string
		score uint64
	}
	list := make([]scored, 0, len(names))
	for _, n := range names {
		list = append(list, scored{name: n, score: score(key, n)})
	}
	slices.SortFunc(list, func(a, b scored) int {
		if a.score != b.score {
			return cmp.Compare(b.score, a.score)
		}
		return cmp.Compare(a.name, b.name)
	})
	ranked := make([]string, len(list))
	for i := range list {
		ranked[i] = list[i].name
	}
	return ranked
}

// score hashes key and name. FNV alone mixes its last bytes weakly, and slot names often differ
// only there, so a finaliser spreads them over all bits.
func score(key, name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(key))
	h.Write([]byte{0})
	h.Write([]byte(name))
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
