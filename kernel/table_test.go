package kernel_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lovagelane/kernel"
)

// Guards against a table that exceeds its capacity, returns the value of another key, or evicts a key that is used between
// any two insertions.
// Mutation: remove without the delete; Get without MoveToFront.
func TestTableEvictsLeastRecentlyUsed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound := rapid.IntRange(2, 8).Draw(t, "bound")
		table := kernel.NewLRU[int, int](bound)
		*table.GetOrAdd(-1) = -1
		for _, key := range rapid.SliceOf(rapid.IntRange(0, 30)).Draw(t, "keys") {
			require.NotNil(t, table.Get(-1), "the entry in use was evicted")
			v := table.GetOrAdd(key)
			require.True(t, *v == 0 || *v == key)
			*v = key
			require.LessOrEqual(t, table.Len(), bound)
			if key%7 == 0 {
				table.Retain(func(key int, _ *int) bool { return key%2 != 0 })
				require.Nil(t, table.Get(key/2*2))
			}
			seen := 0
			table.Retain(func(key int, v *int) bool {
				require.Equal(t, key, *v)
				seen++
				return true
			})
			require.Equal(t, table.Len(), seen)
		}
		table.Retain(func(key int, v *int) bool {
			require.Same(t, v, table.Get(key))
			return true
		})
	})
}
