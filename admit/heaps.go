package admit

// deadlineHeap is a heap of entries, ordered by earliest deadline, then by lowest id.
type deadlineHeap []*entry

func (d deadlineHeap) Len() int { return len(d) }

func (d deadlineHeap) Less(i, j int) bool {
	if d[i].Deadline.Equal(d[j].Deadline) {
		return d[i].ID < d[j].ID
	}
	return d[i].Deadline.Before(d[j].Deadline)
}

func (d deadlineHeap) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].index, d[j].index = i, j
}

// Push is for container/heap.
func (d *deadlineHeap) Push(x any) {
	e := x.(*entry)
	e.index = len(*d)
	*d = append(*d, e)
}

// Pop is for container/heap.
func (d *deadlineHeap) Pop() any {
	last := len(*d) - 1
	e := (*d)[last]
	(*d)[last] = nil
	*d = (*d)[:last]
	return e
}

// flowHeap is a heap of flows, ordered by lowest virtual start, then by longest wait.
type flowHeap []*flow

func (s flowHeap) Len() int { return len(s) }

func (s flowHeap) Less(i, j int) bool {
	if s[i].virtualStart == s[j].virtualStart {
		return s[i].waitOrder < s[j].waitOrder
	}
	return s[i].virtualStart < s[j].virtualStart
}

func (s flowHeap) Swap(i, j int) {
	s[i], s[j] = s[j], s[i]
	s[i].index, s[j].index = i, j
}

// Push is for container/heap.
func (s *flowHeap) Push(x any) {
	f := x.(*flow)
	f.index = len(*s)
	*s = append(*s, f)
}

// Pop is for container/heap.
func (s *flowHeap) Pop() any {
	last := len(*s) - 1
	f := (*s)[last]
	(*s)[last] = nil
	*s = (*s)[:last]
	f.index = -1
	return f
}
