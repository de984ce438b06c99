package chain

import "math"

// Completes estimates the probability that a run ends well of which one more call succeeds. It is given the reports on the calls and
// on the runs that make them. Nothing links a call to its run, so it is taken that the calls of a run follow each other, that each fails
// by the same chance, and that a run ends with its first failed call. Then a run makes as many calls as the two shares require.
// Without evidence on both it is 1.
func Completes(calls, runs Report) float64 {
	badCalls, ok := calls.BadShare()
	badRuns, known := runs.BadShare()
	goodCalls, goodRuns := 1-badCalls, 1-badRuns
	switch {
	case !ok || !known || badCalls == 0:
		return 1
	case goodRuns == 0:
		return 0
	case badRuns <= badCalls:
		return 1
	}
	callsPerRun := math.Log(goodRuns) / math.Log(goodCalls)
	// Of each run that starts, goodRuns complete all their calls; in sum the calls that succeed are the geometric series.
	succeed := goodCalls * (1 - goodRuns) / (1 - goodCalls)
	return min(callsPerRun*goodRuns/succeed, 1)
}
