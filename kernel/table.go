package kernel

import "container/list"

// Table is a map with a bound on its entries: when it is full, the entry that was not used for the longest time makes
// room. Get and Put take constant time. Use NewTable.
type Table[K comparable, V any] struct {
	bound int
	index map[K]*list.Element
	// recent holds rows, the one used last in front.
	recent *list.List
}

type row[K comparable, V any] struct {
	key   K
	value V
}

// NewTable returns an empty table for at most bound entries.
func NewTable[K comparable, V any](bound int) *Table[K, V] {
	return &Table[K, V]{bound: max(bound, 1), index: map[K]*list.Element{}, recent: list.New()}
}

// Len returns the number of entries.
func (t *Table[K, V]) Len() int { return len(t.index) }

// Get returns the value for a key, or nil.
func (t *Table[K, V]) Get(key K) *V {
	e, ok := t.index[key]
	if !ok {
		return nil
	}
	t.recent.MoveToFront(e)
	return &e.Value.(*row[K, V]).value
}

// Put returns the value for a key, which is a new zero value when the key was not in the table.
func (t *Table[K, V]) Put(key K) *V {
	if v := t.Get(key); v != nil {
		return v
	}
	if len(t.index) >= t.bound {
		t.remove(t.recent.Back())
	}
	r := &row[K, V]{key: key}
	t.index[key] = t.recent.PushFront(r)
	return &r.value
}

// Each calls f for every entry and removes those for which f returns false.
func (t *Table[K, V]) Each(f func(key K, value *V) bool) {
	for e := t.recent.Front(); e != nil; {
		r, next := e.Value.(*row[K, V]), e.Next()
		if !f(r.key, &r.value) {
			t.remove(e)
		}
		e = next
	}
}

func (t *Table[K, V]) remove(e *list.Element) {
	delete(t.index, e.Value.(*row[K, V]).key)
	t.recent.Remove(e)
}
