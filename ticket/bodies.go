package ticket

import (
	"bytes"
	"container/list"
)

const (
	// MaxBodyBytes bounds a stored answer body.
	MaxBodyBytes = 64 << 10
	// MaxTotalBodyBytes bounds the sum of all answer bodies stored in one table.
	MaxTotalBodyBytes = 16 << 20
	// maxContentTypeBytes bounds a stored content type.
	maxContentTypeBytes = 256
)

// storedAnswer is an answer in a table, with its element in bodyBudget.order.
type storedAnswer struct {
	answer Answer
	// element is nil when the answer has no body.
	element *list.Element
}

// bodyBudget bounds the bytes of the answer bodies stored in one table; its zero value is empty.
type bodyBudget struct {
	order list.List
	bytes int
}

// store copies the answer to s and drops the oldest bodies until the rest fit MaxTotalBodyBytes.
func (b *bodyBudget) store(s *storedAnswer, a Answer) {
	b.release(s)
	if len(a.Body) > MaxBodyBytes || len(a.ContentType) > maxContentTypeBytes {
		a.Body, a.ContentType, a.Truncated = nil, "", true
	}
	// The transport reuses its buffers after it has sent the answer.
	a.Body = bytes.Clone(a.Body)
	s.answer = a
	if len(a.Body) == 0 {
		return
	}
	s.element = b.order.PushBack(s)
	b.bytes += len(a.Body)
	for b.bytes > MaxTotalBodyBytes {
		oldest := b.order.Front().Value.(*storedAnswer)
		b.release(oldest)
		oldest.answer.Truncated = true
	}
}

// release drops the body of s.
func (b *bodyBudget) release(s *storedAnswer) {
	if s.element == nil {
		return
	}
	b.order.Remove(s.element)
	b.bytes -= len(s.answer.Body)
	s.answer.Body, s.element = nil, nil
}
