package returns

// maxKept is the maximum number of promises that are kept, those of other VMs included. The same number of callers whose request cannot be
// served before its deadline is kept.
const maxKept = 4096

// key identifies a request of a caller.
type key struct {
	service string
	caller  uint32
}

// recent holds the latest maxKept values. The one that was put first is evicted first.
type recent[V any] struct {
	values map[key]numbered[V]
	// order holds the latest keys in the order in which they were put, as a ring indexed by sequence.
	order    []position
	sequence uint64
}

// numbered is a value with the sequence number under which it was put.
type numbered[V any] struct {
	value    V
	sequence uint64
}

// position is the place of a key in the order of eviction. It is outdated if the value of the key has another sequence number.
type position struct {
	key      key
	sequence uint64
}

func newRecent[V any]() recent[V] {
	return recent[V]{values: map[key]numbered[V]{}, order: make([]position, maxKept)}
}

func (r *recent[V]) get(k key) (V, bool) {
	n, found := r.values[k]
	return n.value, found
}

// put adds or replaces the value of a key, as the latest one.
func (r *recent[V]) put(k key, v V) {
	r.sequence++
	p := &r.order[r.sequence%maxKept]
	if oldest, found := r.values[p.key]; found && oldest.sequence == p.sequence {
		delete(r.values, p.key)
	}
	*p = position{key: k, sequence: r.sequence}
	r.values[k] = numbered[V]{value: v, sequence: r.sequence}
}

// update changes the value of a key without making it the latest one.
func (r *recent[V]) update(k key, v V) {
	if n, found := r.values[k]; found {
		n.value = v
		r.values[k] = n
	}
}
