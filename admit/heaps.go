package admit

// deadlines is a heap of entries, earliest deadline first, then lowest id.
type deadlines []*entry

func (d deadlines) Len() int { return len(d) }

func (d deadlines) Less(i, j int) bool {
	if d[i].Deadline.Equal(d[j].Deadline) {
		return d[i].ID < d[j].ID
	}
	return d[i].Deadline.Before(d[j].Deadline)
}

func (d deadlines) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].index, d[j].index = i, j
}

// Push is for container/heap.
func (d *deadlines) Push(x any) {
	e := x.(*entry)
	e.index = len(*d)
	*d = append(*d, e)
}

// Pop is for container/heap.
func (d *deadlines) Pop() any {
	last := len(*d) - 1
	e := (*d)[last]
	(*d)[last] = nil
	*d = (*d)[:last]
	return e
}

// starts is a heap of flows, lowest virtual start first, then longest wait.
type starts []*flow

func (s starts) Len() int { return len(s) }

func (s starts) Less(i, j int) bool {
	if s[i].start == s[j].start {
		return s[i].turn < s[j].turn
	}
	return s[i].start < s[j].start
}

func (s starts) Swap(i, j int) {
	s[i], s[j] = s[j], s[i]
	s[i].index, s[j].index = i, j
}

// Push is for container/heap.
func (s *starts) Push(x any) {
	f := x.(*flow)
	f.index = len(*s)
	*s = append(*s, f)
}

// Pop is for container/heap.
func (s *starts) Pop() any {
	last := len(*s) - 1
	f := (*s)[last]
	(*s)[last] = nil
	*s = (*s)[:last]
	f.index = -1
	return f
}
