package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"lovagelane/standin"
	"lovagelane/testbed"
)

const (
	readyTimeout   = 15 * time.Second
	maxDeployTries = 4
)

// bench holds the options of one run and the result rows of the current part.
type bench struct {
	bin  string
	seed uint64
	// nodeCounts are the deployment sizes of the parts control and events.
	nodeCounts []int
	rows       []row
}

// variant holds the node settings of the product or of a baseline.
type variant struct {
	name     string
	settings []string
}

var (
	product    = variant{name: "lovagelane"}
	noControl  = variant{"no control", []string{"limiter = none", "policy = round-robin", "retries = per-hop"}}
	fixedLimit = variant{"fixed limit", []string{"limiter = fixed", "policy = round-robin", "retries = per-hop"}}
	roundRobin = variant{"round robin", []string{"policy = round-robin"}}
)

// row is one row of the results table.
type row struct {
	measure, baseline       string
	baseValue, value, ratio string
	target                  string
	met                     string
}

// addRow adds a row whose values are formatted with a format such as "%.1f ms". A negative base means that there is no
// baseline value.
func (b *bench) addRow(measure, format string, value float64, baseline string, base float64, target string, met bool) {
	r := row{measure: measure, baseline: baseline, value: fmt.Sprintf(format, value), baseValue: "-", ratio: "-",
		target: target, met: "not met"}
	if met {
		r.met = "met"
	}
	if target == "" {
		r.target, r.met = "-", "-"
	}
	if base >= 0 {
		r.baseValue = fmt.Sprintf(format, base)
	}
	if base > 0 {
		r.ratio = fmt.Sprintf("%.2f", value/base)
	}
	b.rows = append(b.rows, r)
}

func (b *bench) printRows(w io.Writer) {
	if len(b.rows) == 0 {
		return
	}
	fmt.Fprintln(w, "| measure | baseline | baseline value | value | ratio | target | met |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|")
	for _, r := range b.rows {
		fmt.Fprintf(w, "| %s | %s | %s | %s | %s | %s | %s |\n", r.measure, r.baseline, r.baseValue, r.value, r.ratio, r.target,
			r.met)
	}
	fmt.Fprintln(w)
}

// notReadyError means that a deployment did not become ready, so nothing was measured on it.
type notReadyError struct{ error }

// deploy runs f on a new deployment and then stops the deployment. If a deployment does not become ready, deploy reports
// it and starts a new one, since the benchmarks do not measure the start.
func (b *bench) deploy(ctx context.Context, v variant, services []testbed.Service, rules string,
	f func(ctx context.Context, deployment *testbed.Deployment) error) error {
	for try := 1; ; try++ {
		err := b.deployOnce(ctx, v, services, rules, f)
		var notReady notReadyError
		if try == maxDeployTries || ctx.Err() != nil || !errors.As(err, &notReady) {
			return err
		}
		fmt.Printf("- %s: start %d did not get ready: %v\n\n", v.name, try, err)
	}
}

func (b *bench) deployOnce(ctx context.Context, v variant, services []testbed.Service, rules string,
	f func(ctx context.Context, deployment *testbed.Deployment) error) (err error) {
	deployment, err := testbed.New(ctx, testbed.Options{Bin: b.bin, NodeSettings: v.settings})
	if err != nil {
		return err
	}
	defer func() {
		result := deployment.Stop()
		if len(result.Killed)+len(result.Failed)+len(result.Running) > 0 {
			fmt.Printf("%s: processes that did not stop by themselves: killed %v, failed %v, running %v\n", v.name, result.Killed,
				result.Failed, result.Running)
		}
		if err == nil {
			_ = deployment.Remove()
		} else {
			err = fmt.Errorf("%w (logs are in %s)", err, deployment.Dir())
		}
	}()
	if err := deployment.Add(services...); err != nil {
		return err
	}
	readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := deployment.WaitHealthy(readyCtx); err != nil {
		return notReadyError{err}
	}
	if _, err := deployment.Apply(readyCtx, testbed.Inventory(services), rules); err != nil {
		return notReadyError{err}
	}
	if err := deployment.WaitReady(readyCtx, 1); err != nil {
		return notReadyError{err}
	}
	return f(ctx, deployment)
}

// load sends requests to the addresses. It returns all results, and those of the requests that arrived in the window.
func (b *bench) load(ctx context.Context, addresses []string, kinds []standin.Kind, p standin.Profile, window span) (all,
	windowed *standin.Results, err error) {
	var names []string
	for _, k := range kinds {
		names = append(names, k.Name)
	}
	windowed = standin.NewResults(names)
	c := &standin.Caller{Addresses: addresses, Kinds: kinds, Profile: p, Duration: window.to, Seed: b.seed, Name: "bench",
		Observe: func(r standin.Result) {
			if r.Arrived >= window.from && r.Arrived < window.to {
				windowed.Add(r)
			}
		}}
	all, err = c.Run(ctx)
	return all, windowed, err
}

// span is an interval relative to the start of a load. The load ends with it.
type span struct{ from, to time.Duration }

func (s span) seconds() float64 { return (s.to - s.from).Seconds() }

func totalAnswered(r *standin.Results) int {
	n := 0
	for _, k := range r.Kinds() {
		n += k.Answered
	}
	return n
}

func callerAddresses(places []*testbed.Place) []string {
	var all []string
	for _, p := range places {
		all = append(all, p.Callers)
	}
	return all
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// printResults prints the counts by outcome and the latencies behind a row.
func printResults(name string, r *standin.Results) {
	for _, k := range r.Kinds() {
		fmt.Printf("- %s, %s: sent %d, answered %d, shed %d, refused %d, failed %d, unknown %d, late %d, p50 %.1f ms, p99 %.1f ms %v\n",
			name, k.Kind, k.Sent, k.Answered, k.Shed, k.Refused, k.Failed, k.Unknown, k.TimedOut, ms(k.Quantile(50)),
			ms(k.Quantile(99)), k.Reasons)
	}
	fmt.Println()
}
