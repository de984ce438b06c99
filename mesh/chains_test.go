package mesh

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"lovagelane/chain"
)

// Guards against callers that leave, refusals and rejections that count as bad ends, by which an entry would refuse requests that
// can be served, and against runs that time out and don't count.
func TestEndsCountOnlyRuns(t *testing.T) {
	start := time.Unix(1000, 0)
	good := exchangeResult{outcome: outcomeAnswered, status: fasthttp.StatusOK}
	failed := exchangeResult{outcome: outcomeAnswered, status: fasthttp.StatusGatewayTimeout}
	for name, tc := range map[string]struct {
		x         exchangeResult
		cancelled bool
		at        time.Duration
		want      chain.Report
	}{
		"good":                 {x: good, want: 1},
		"not found":            {x: exchangeResult{outcome: outcomeAnswered, status: fasthttp.StatusNotFound}, want: 1},
		"server error":         {x: failed, want: chain.MaxReport},
		"lost":                 {x: exchangeResult{outcome: outcomeLost}, want: chain.MaxReport},
		"rejected":             {x: exchangeResult{outcome: outcomeRejected}},
		"not sent":             {x: exchangeResult{outcome: outcomeExpired}},
		"caller left":          {x: exchangeResult{outcome: outcomeLost}, cancelled: true, at: time.Second},
		"cancelled at its end": {x: exchangeResult{outcome: outcomeLost}, cancelled: true, at: 2 * time.Second, want: chain.MaxReport},
	} {
		var c chains
		j := &job{m: callMessage{Route: "page"}, deadline: start.Add(2 * time.Second), cancelled: tc.cancelled}
		for range 10 {
			c.recordEnd(start.Add(tc.at), j, tc.x)
		}
		var a answerMessage
		c.addReport(start.Add(tc.at), "page", &a)
		require.Equal(t, tc.want, a.Ends, name)
	}
}

// Guards against answers that change although the setting is off.
func TestAnswersCarryNoReportByDefault(t *testing.T) {
	var c *chains
	j := &job{m: callMessage{Route: "page"}}
	c.recordCall(time.Unix(1000, 0), j.m)
	c.recordEnd(time.Unix(1000, 0), j, exchangeResult{outcome: outcomeLost})
	var a answerMessage
	c.addReport(time.Unix(1000, 0), "page", &a)
	require.Equal(t, answerMessage{}, a)
	require.Nil(t, (&Node{}).admitRequest(&request{}))
	require.False(t, answerMessage{Ends: chain.MaxReport + 1}.valid())
}
