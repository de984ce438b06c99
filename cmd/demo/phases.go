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
	readyTimeout      = 20 * time.Second
	usualLoadDuration = 4 * time.Second
	overloadDuration  = 22 * time.Second
	// overloadWarmUp is excluded from the results, because limits and admission levels adapt first.
	overloadWarmUp = 2 * time.Second
	// configChangeAt is the time into the overload at which the configuration changes.
	configChangeAt = 10 * time.Second
	// configChangeTimeout bounds the time until a change is in force on all nodes.
	configChangeTimeout = 14 * time.Second
	// afterChangeFrom is the time into the overload from which the answers must show the change. Requests that arrive
	// between configChangeAt and afterChangeFrom are excluded.
	afterChangeFrom = 15 * time.Second
)

// demo holds the state of one run.
type demo struct {
	seed       uint64
	started    time.Time
	deployment *testbed.Deployment
	checks     []check
}

func (d *demo) logf(format string, args ...any) {
	fmt.Printf("%5.1fs  %s\n", time.Since(d.started).Seconds(), fmt.Sprintf(format, args...))
}

func (d *demo) start(ctx context.Context, opt testbed.Options) error {
	deployment, err := testbed.New(ctx, opt)
	if err != nil {
		return err
	}
	d.deployment = deployment
	if err := deployment.Add(services()...); err != nil {
		return err
	}
	d.logf("started the platform, %d backend servers and %d nodes; seed %d", len(deployment.Places), len(deployment.Places), d.seed)
	readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := deployment.WaitHealthy(readyCtx); err != nil {
		return err
	}
	if _, err := deployment.Apply(readyCtx, testbed.Inventory(services()), rules); err != nil {
		return err
	}
	if err := deployment.WaitReady(readyCtx, 1); err != nil {
		return err
	}
	d.logf("configuration 1 is in force on every node")
	return nil
}

// runPhases offers the usual load, then an overload during which the configuration changes, and checks the results.
func (d *demo) runPhases(ctx context.Context) error {
	usual, err := d.offerUsualLoad(ctx)
	if err != nil {
		return err
	}
	before, after, all, err := d.offerOverload(ctx)
	if err != nil {
		return err
	}
	d.printTable("usual load", usual)
	d.printTable("overload, weather in class background", before)
	d.printTable("overload, weather in class lookups", after)
	starts, err := d.collectStarts(ctx)
	if err != nil {
		return err
	}
	d.checkUsualLoad(usual, starts)
	d.checkOverload(before, after)
	d.checkNoOrderRanTwice(starts)
	d.checkRefusedNotRun(starts, usual, all)
	return nil
}

func (d *demo) offerUsualLoad(ctx context.Context) (*standin.Results, error) {
	mix, rate := loadMix(func(k kind) float64 { return k.usualRate })
	c := &standin.Caller{Addresses: d.deployment.CallerAddresses(), Kinds: mix, Profile: standin.Constant(rate), Duration: usualLoadDuration,
		Seed: d.seed, Name: "usual"}
	d.logf("offering the usual load, %.0f requests a second", rate)
	return c.Run(ctx)
}

// offerOverload returns the results before and after the configuration change, and all results.
func (d *demo) offerOverload(ctx context.Context) (before, after, all *standin.Results, err error) {
	mix, rate := loadMix(func(k kind) float64 { return k.overloadRate })
	var names []string
	for _, k := range mix {
		names = append(names, k.Name)
	}
	before, after = standin.NewResults(names), standin.NewResults(names)
	c := &standin.Caller{Addresses: d.deployment.CallerAddresses(), Kinds: mix, Profile: standin.Constant(rate), Duration: overloadDuration,
		Seed: d.seed + 1, Name: "overload", Observe: func(r standin.Result) {
			switch {
			case r.Arrived >= overloadWarmUp && r.Arrived < configChangeAt:
				before.Add(r)
			case r.Arrived >= afterChangeFrom:
				after.Add(r)
			}
		}}
	d.logf("overloading: %.0f requests a second", rate)
	g := kernel.NewGroup(ctx)
	g.Go("change", d.changeConfig)
	all, err = c.Run(ctx)
	if changeErr := g.Wait(); err == nil {
		err = changeErr
	}
	return before, after, all, err
}

// changeConfig moves weather requests to another class under load and measures the time until the change is in force.
func (d *demo) changeConfig(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(configChangeAt):
	}
	start := time.Now()
	timeoutCtx, cancel := context.WithTimeout(ctx, configChangeTimeout)
	defer cancel()
	if _, err := d.deployment.Apply(timeoutCtx, testbed.Inventory(services()), rulesWithWeatherMoved()); err != nil {
		return err
	}
	err := d.deployment.WaitReady(timeoutCtx, 2)
	took := time.Since(start)
	d.logf("configuration 2 is in force on every node after %s: weather moved to class lookups", took.Round(time.Millisecond))
	d.check(err == nil, "a change is in force everywhere within 14 s", fmt.Sprintf("%s %v", took.Round(time.Millisecond), errText(err)))
	return nil
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// collectStarts returns the start counts of the backend servers by service.
func (d *demo) collectStarts(ctx context.Context) (map[string][]standin.StartCounts, error) {
	all := map[string][]standin.StartCounts{}
	for _, p := range d.deployment.Places {
		r, err := p.StartCounts(ctx)
		if err != nil {
			return nil, err
		}
		all[p.Service] = append(all[p.Service], r)
	}
	return all, nil
}
