package event_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"lovagelane/event"
)

// Guards against counters without a bound where thousands of accounts come, against a frequent account that many rare ones
// displace, and against counts that get lost.
// Mutation: maxRankedKeys or maxKeyCounters of 1<<30; makeRoom without the loop over replaced.counters, or replacing any key.
func TestRankingKeepsTheFrequentKeys(t *testing.T) {
	var r event.Ranking
	require.Equal(t, "{}", r.String())
	for i := range 20000 {
		r.Add("large", "served", 1)
		r.Add(fmt.Sprint("small-", i%5000), "refused/share", 2)
	}
	for i := range 100 {
		r.Add("large", fmt.Sprint("failed/reason-", i), 1)
	}
	all := r.Counters()
	require.Len(t, all, 129, "the frequent ones and the rest")
	require.EqualValues(t, 20000, all["large"]["served"])
	require.LessOrEqual(t, len(all["large"]), 33)
	refused := int64(0)
	for key, counters := range all {
		require.True(t, key == "large" || key == "other" || strings.HasPrefix(key, "small-"))
		refused += counters["refused/share"]
	}
	require.EqualValues(t, 40000, refused)
	require.True(t, strings.HasPrefix(r.String(), `{"large":{`))
}
