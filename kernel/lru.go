package kernel

import "container/list"

// LRU is a map with a fixed capacity that evicts the least recently used entry when it is full. Get and GetOrAdd take
// constant time. Use NewLRU to create one.
type LRU[K comparable, V any] struct {
	capacity int
	index    map[K]*list.Element
	// order lists the entries from the most to the least recently used.
	order *list.List
}

type entry[K comparable, V any] struct {
	key   K
	value V
}

// NewLRU returns an empty map for at most capacity entries; a capacity below 1 counts as 1.
func NewLRU[K comparable, V any](capacity int) *LRU[K, V] {
	return &LRU[K, V]{capacity: max(capacity, 1), index: map[K]*list.Element{}, order: list.New()}
}

// Len returns the number of entries.
func (l *LRU[K, V]) Len() int { return len(l.index) }

// Get returns the value for key and marks it as used, or returns nil if the map does not contain key.
func (l *LRU[K, V]) Get(key K) *V {
	elem, ok := l.index[key]
	if !ok {
		return nil
	}
	l.order.MoveToFront(elem)
	return &elem.Value.(*entry[K, V]).value
}

// GetOrAdd returns the value for key and marks it as used; if the map does not contain key, it first inserts a zero value.
func (l *LRU[K, V]) GetOrAdd(key K) *V {
	if v := l.Get(key); v != nil {
		return v
	}
	if len(l.index) >= l.capacity {
		l.remove(l.order.Back())
	}
	e := &entry[K, V]{key: key}
	l.index[key] = l.order.PushFront(e)
	return &e.value
}

// Retain calls f for every entry, from the most to the least recently used, and removes those for which f returns false.
func (l *LRU[K, V]) Retain(f func(key K, value *V) bool) {
	for elem := l.order.Front(); elem != nil; {
		ent, next := elem.Value.(*entry[K, V]), elem.Next()
		if !f(ent.key, &ent.value) {
			l.remove(elem)
		}
		elem = next
	}
}

func (l *LRU[K, V]) remove(elem *list.Element) {
	delete(l.index, elem.Value.(*entry[K, V]).key)
	l.order.Remove(elem)
}
