package slots

// entry is a waiting call; it is in both heaps.
type entry struct {
	call       Call
	seq        uint64
	orderIndex int
	dueIndex   int
}

// before reports whether e starts before other.
func (e *entry) before(other *entry) bool {
	if e.call.Rank != other.call.Rank {
		return e.call.Rank < other.call.Rank
	}
	return e.seq < other.seq
}

// order has the call that starts next first.
type order []*entry

func (o order) Len() int           { return len(o) }
func (o order) Less(i, j int) bool { return o[i].before(o[j]) }
func (o order) Swap(i, j int) {
	o[i], o[j] = o[j], o[i]
	o[i].orderIndex, o[j].orderIndex = i, j
}

func (o *order) Push(x any) {
	e := x.(*entry)
	e.orderIndex = len(*o)
	*o = append(*o, e)
}

func (o *order) Pop() any {
	old := *o
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*o = old[:len(old)-1]
	return e
}

// due has the call whose latest start comes first.
type due []*entry

func (d due) Len() int           { return len(d) }
func (d due) Less(i, j int) bool { return d[i].call.Latest.Before(d[j].call.Latest) }
func (d due) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].dueIndex, d[j].dueIndex = i, j
}

func (d *due) Push(x any) {
	e := x.(*entry)
	e.dueIndex = len(*d)
	*d = append(*d, e)
}

func (d *due) Pop() any {
	old := *d
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*d = old[:len(old)-1]
	return e
}
