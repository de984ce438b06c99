package kernel

// Table is a map with a bound on its entries: when it is full, an entry that was not used lately makes room. Get and Put
// take constant time on average. Use NewTable.
type Table[K comparable, V any] struct {
	bound int
	index map[K]int
	rows  []row[K, V]
	hand  int
}

type row[K comparable, V any] struct {
	key   K
	value *V
	used  bool
}

// NewTable returns an empty table for at most bound entries.
func NewTable[K comparable, V any](bound int) *Table[K, V] {
	return &Table[K, V]{bound: max(bound, 1), index: map[K]int{}}
}

// Len returns the number of entries.
func (t *Table[K, V]) Len() int { return len(t.rows) }

// Get returns the value for a key, or nil.
func (t *Table[K, V]) Get(key K) *V {
	i, ok := t.index[key]
	if !ok {
		return nil
	}
	t.rows[i].used = true
	return t.rows[i].value
}

// Put returns the value for a key, which is a new zero value when the key was not in the table.
func (t *Table[K, V]) Put(key K) *V {
	if v := t.Get(key); v != nil {
		return v
	}
	if len(t.rows) < t.bound {
		t.index[key] = len(t.rows)
		t.rows = append(t.rows, row[K, V]{key: key, value: new(V), used: true})
		return t.rows[len(t.rows)-1].value
	}
	for t.rows[t.hand].used {
		t.rows[t.hand].used = false
		t.hand = (t.hand + 1) % len(t.rows)
	}
	delete(t.index, t.rows[t.hand].key)
	t.index[key] = t.hand
	// The evicted value may still be referenced, so the row gets a new one.
	t.rows[t.hand] = row[K, V]{key: key, value: new(V), used: true}
	v := t.rows[t.hand].value
	t.hand = (t.hand + 1) % len(t.rows)
	return v
}

// Each calls f for every entry and removes those for which f returns false.
func (t *Table[K, V]) Each(f func(key K, value *V) bool) {
	for i := 0; i < len(t.rows); {
		if f(t.rows[i].key, t.rows[i].value) {
			i++
			continue
		}
		delete(t.index, t.rows[i].key)
		last := len(t.rows) - 1
		if i != last {
			t.rows[i] = t.rows[last]
			t.index[t.rows[i].key] = i
		}
		t.rows[last] = row[K, V]{}
		t.rows = t.rows[:last]
	}
	if t.hand >= len(t.rows) {
		t.hand = 0
	}
}
