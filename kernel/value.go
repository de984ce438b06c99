package kernel

// Set is a set of comparable values; its zero value is an empty, read-only set.
type Set[T comparable] map[T]struct{}

// SetOf returns a set of the given values.
func SetOf[T comparable](values ...T) Set[T] {
	s := make(Set[T], len(values))
	for _, v := range values {
		s[v] = struct{}{}
	}
	return s
}

// Has reports whether v is in the set.
func (s Set[T]) Has(v T) bool {
	_, ok := s[v]
	return ok
}

// With returns a copy of s that also contains v.
func (s Set[T]) With(v T) Set[T] {
	copied := make(Set[T], len(s)+1)
	for k := range s {
		copied[k] = struct{}{}
	}
	copied[v] = struct{}{}
	return copied
}

// Option is a value that may be absent; its zero value is absent.
type Option[T any] struct {
	value   T
	present bool
}

// Some returns an option with the value v.
func Some[T any](v T) Option[T] { return Option[T]{value: v, present: true} }

// Get returns the value and whether it is present.
func (o Option[T]) Get() (T, bool) { return o.value, o.present }

// Or returns the value, or other if the value is absent.
func (o Option[T]) Or(other T) T {
	if o.present {
		return o.value
	}
	return other
}
