package main

import (
	"context"
	"fmt"
	"time"

	"lovagelane/kernel"
	"lovagelane/standin"
	"lovagelane/testbed"
)

const (
	readyTimeout = 20 * time.Second
	usualTime    = 4 * time.Second
	overloadTime = 22 * time.Second
	// settled is the part of the overload that is left out, since limits and levels are learned first.
	settled = 2 * time.Second
	// changeAt is when the configuration is changed during the overload.
	changeAt = 10 * time.Second
	// inForce is how long a change may take until it is in force everywhere.
	inForce = 14 * time.Second
	// changed is when the change must show in the answers; the time between is left out.
	changed = 15 * time.Second
)

// demo is one run.
type demo struct {
	seed    uint64
	started time.Time
	bed     *testbed.Bed
	checks  []check
}

func (d *demo) say(format string, args ...any) {
	fmt.Printf("%5.1fs  %s\n", time.Since(d.started).Seconds(), fmt.Sprintf(format, args...))
}

func (d *demo) start(ctx context.Context, opt testbed.Options) error {
	bed, err := testbed.New(ctx, opt)
	if err != nil {
		return err
	}
	d.bed = bed
	if err := bed.Add(services()...); err != nil {
		return err
	}
	d.say("started the platform, %d backend servers and %d nodes; seed %d", len(bed.Places), len(bed.Places), d.seed)
	ready, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := bed.Up(ready); err != nil {
		return err
	}
	if _, err := bed.Apply(ready, testbed.Inventory(services()), rules); err != nil {
		return err
	}
	if err := bed.Ready(ready, 1); err != nil {
		return err
	}
	d.say("configuration 1 is in force on every node")
	return nil
}

// play offers the usual load, then overload with a change of the configuration, and checks the results.
func (d *demo) play(ctx context.Context) error {
	usual, err := d.usual(ctx)
	if err != nil {
		return err
	}
	before, after, all, err := d.overload(ctx)
	if err != nil {
		return err
	}
	d.printTable("usual load", usual)
	d.printTable("overload, weather in class background", before)
	d.printTable("overload, weather in class lookups", after)
	ran, err := d.ran(ctx)
	if err != nil {
		return err
	}
	d.checkUsual(usual, ran)
	d.checkOverload(before, after)
	d.checkOnce(ran)
	d.checkNotRun(ran, usual, all)
	return nil
}

func (d *demo) usual(ctx context.Context) (*standin.Results, error) {
	mix, rate := mix(func(k kind) float64 { return k.usual })
	c := &standin.Caller{Addresses: d.bed.Callers(), Kinds: mix, Profile: standin.Constant(rate), Duration: usualTime,
		Seed: d.seed, Name: "usual"}
	d.say("offering the usual load, %.0f requests a second", rate)
	return c.Run(ctx)
}

// overload returns the results before and after the change, and all results.
func (d *demo) overload(ctx context.Context) (before, after, all *standin.Results, err error) {
	mix, rate := mix(func(k kind) float64 { return k.overload })
	var names []string
	for _, k := range mix {
		names = append(names, k.Name)
	}
	before, after = standin.NewResults(names), standin.NewResults(names)
	c := &standin.Caller{Addresses: d.bed.Callers(), Kinds: mix, Profile: standin.Constant(rate), Duration: overloadTime,
		Seed: d.seed + 1, Name: "overload", Observe: func(r standin.Result) {
			switch {
			case r.Arrived >= settled && r.Arrived < changeAt:
				before.Add(r)
			case r.Arrived >= changed:
				after.Add(r)
			}
		}}
	d.say("overloading: %.0f requests a second", rate)
	g := kernel.NewGroup(ctx)
	g.Go("change", d.change)
	all, err = c.Run(ctx)
	if changeErr := g.Wait(); err == nil {
		err = changeErr
	}
	return before, after, all, err
}

// change moves the weather to another class while the load runs and measures how long it takes.
func (d *demo) change(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(changeAt):
	}
	start := time.Now()
	limit, cancel := context.WithTimeout(ctx, inForce)
	defer cancel()
	if _, err := d.bed.Apply(limit, testbed.Inventory(services()), rulesWithWeatherMoved()); err != nil {
		return err
	}
	err := d.bed.Ready(limit, 2)
	took := time.Since(start)
	d.say("configuration 2 is in force on every node after %s: weather moved to class lookups", took.Round(time.Millisecond))
	d.check(err == nil, "a change is in force everywhere within 14 s", fmt.Sprintf("%s %v", took.Round(time.Millisecond), errText(err)))
	return nil
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// ran collects what the backend servers ran, by service.
func (d *demo) ran(ctx context.Context) (map[string][]standin.Ran, error) {
	all := map[string][]standin.Ran{}
	for _, p := range d.bed.Places {
		r, err := p.Ran(ctx)
		if err != nil {
			return nil, err
		}
		all[p.Service] = append(all[p.Service], r)
	}
	return all, nil
}
