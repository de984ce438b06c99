package kernel_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lovagelane/kernel"
)

// Guards against an LRU that exceeds its capacity, returns the value of another key, or evicts a key that is used between
// any two insertions.
// Mutation: remove without the delete; Get without MoveToFront.
func TestLRUEvictsLeastRecentlyUsed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(2, 8).Draw(t, "capacity")
		lru := kernel.NewLRU[int, int](capacity)
		*lru.GetOrAdd(-1) = -1
		for _, key := range rapid.SliceOf(rapid.IntRange(0, 30)).Draw(t, "keys") {
			require.NotNil(t, lru.Get(-1), "the entry in use was evicted")
			v := lru.GetOrAdd(key)
			require.True(t, *v == 0 || *v == key)
			*v = key
			require.LessOrEqual(t, lru.Len(), capacity)
			if key%7 == 0 {
				lru.Retain(func(key int, _ *int) bool { return key%2 != 0 })
				require.Nil(t, lru.Get(key/2*2))
			}
			seen := 0
			lru.Retain(func(key int, v *int) bool {
				require.Equal(t, key, *v)
				seen++
				return true
			})
			require.Equal(t, lru.Len(), seen)
		}
		lru.Retain(func(key int, v *int) bool {
			require.Same(t, v, lru.Get(key))
			return true
		})
	})
}
