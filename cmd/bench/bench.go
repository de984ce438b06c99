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
	readyTimeout = 15 * time.Second
	startTries   = 4
)

// bench is one run.
type bench struct {
	bin  string
	seed uint64
	// sizes are the numbers of nodes that control is measured with.
	sizes []int
	rows  []row
}

// variant is the product or a baseline: settings of the nodes.
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

// row is one line of the results.
type row struct {
	measure, baseline       string
	baseValue, value, ratio string
	target                  string
	met                     string
}

// add adds a row whose values are written with a format such as "%.1f ms"; a negative base means that there is none.
func (b *bench) add(measure, format string, value float64, baseline string, base float64, target string, met bool) {
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

// notReadyError says that a deployment did not get ready, so that nothing was measured on it.
type notReadyError struct{ error }

// deploy runs f on a fresh deployment and stops it. A deployment that does not get ready is reported and started again,
// since its start is not what the benchmarks measure.
func (b *bench) deploy(ctx context.Context, v variant, services []testbed.Service, rules string,
	f func(ctx context.Context, bed *testbed.Bed) error) error {
	for try := 1; ; try++ {
		err := b.deployOnce(ctx, v, services, rules, f)
		var notReady notReadyError
		if try == startTries || ctx.Err() != nil || !errors.As(err, &notReady) {
			return err
		}
		fmt.Printf("- %s: start %d did not get ready: %v\n\n", v.name, try, err)
	}
}

func (b *bench) deployOnce(ctx context.Context, v variant, services []testbed.Service, rules string,
	f func(ctx context.Context, bed *testbed.Bed) error) (err error) {
	bed, err := testbed.New(ctx, testbed.Options{Bin: b.bin, NodeSettings: v.settings})
	if err != nil {
		return err
	}
	defer func() {
		ended := bed.Stop()
		if len(ended.Killed)+len(ended.Failed)+len(ended.Running) > 0 {
			fmt.Printf("%s: processes that did not stop by themselves: killed %v, failed %v, running %v\n", v.name, ended.Killed,
				ended.Failed, ended.Running)
		}
		if err == nil {
			_ = bed.Remove()
		} else {
			err = fmt.Errorf("%w (logs are in %s)", err, bed.Dir())
		}
	}()
	if err := bed.Add(services...); err != nil {
		return err
	}
	ready, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := bed.Up(ready); err != nil {
		return notReadyError{err}
	}
	if _, err := bed.Apply(ready, testbed.Inventory(services), rules); err != nil {
		return notReadyError{err}
	}
	if err := bed.Ready(ready, 1); err != nil {
		return notReadyError{err}
	}
	return f(ctx, bed)
}

// load offers a load to the nodes of a service and returns all results and those of requests that arrived in the window.
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

// span is a time span after the start of a load; the load ends at its end.
type span struct{ from, to time.Duration }

func (s span) seconds() float64 { return (s.to - s.from).Seconds() }

func answeredOf(r *standin.Results) int {
	n := 0
	for _, k := range r.Kinds() {
		n += k.Answered
	}
	return n
}

func addressesOf(places []*testbed.Place) []string {
	var all []string
	for _, p := range places {
		all = append(all, p.Callers)
	}
	return all
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// note prints what explains a row: where the requests that were not answered went.
func note(name string, r *standin.Results) {
	for _, k := range r.Kinds() {
		fmt.Printf("- %s, %s: sent %d, answered %d, shed %d, refused %d, failed %d, unknown %d, late %d, p50 %.1f ms, p99 %.1f ms %v\n",
			name, k.Kind, k.Sent, k.Answered, k.Shed, k.Refused, k.Failed, k.Unknown, k.Late, ms(k.Quantile(50)),
			ms(k.Quantile(99)), k.Reasons)
	}
	fmt.Println()
}
