package ticket

import (
	"bytes"
	"container/list"
)

const (
	// MaxBody is the largest answer body that is kept, in bytes.
	MaxBody = 64 << 10
	// MaxBodies bounds all bodies that one table keeps, in bytes.
	MaxBodies = 16 << 20
	// maxContentType bounds a kept content type, in bytes.
	maxContentType = 256
)

// kept is an answer in a table with its place in the order of bodies.
type kept struct {
	answer Answer
	place  *list.Element
}

// bodies bounds the bytes that the kept answers of one table hold; its zero value is empty.
type bodies struct {
	order list.List
	bytes int
}

// keep stores a copy of the answer in k and drops the oldest bodies that exceed the bound.
func (b *bodies) keep(k *kept, a Answer) {
	b.release(k)
	if len(a.Body) > MaxBody || len(a.ContentType) > maxContentType {
		a.Body, a.ContentType, a.Truncated = nil, "", true
	}
	// The transport reuses its buffers after the answer was sent.
	a.Body = bytes.Clone(a.Body)
	k.answer = a
	if len(a.Body) == 0 {
		return
	}
	k.place = b.order.PushBack(k)
	b.bytes += len(a.Body)
	for b.bytes > MaxBodies {
		oldest := b.order.Front().Value.(*kept)
		b.release(oldest)
		oldest.answer.Truncated = true
	}
}

// release drops the body of k.
func (b *bodies) release(k *kept) {
	if k.place == nil {
		return
	}
	b.order.Remove(k.place)
	b.bytes -= len(k.answer.Body)
	k.answer.Body, k.place = nil, nil
}
