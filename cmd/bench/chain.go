package main

import (
	"context"
	"fmt"
	"time"

	"lovagelane/standin"
	"lovagelane/testbed"
)

const (
	// chainCapacity is the capacity of the last service of the chain in calls a second: places x slots / service time. It
	// is small, so that a load of 5x through three services leaves the computer idle time.
	chainPlaces      = 2
	chainSlots       = 4
	chainServiceTime = 40 * time.Millisecond
	chainCapacity    = chainPlaces * chainSlots * float64(time.Second) / float64(chainServiceTime)

	goodputTarget   = 0.9
	importantTarget = 0.99
	recoveryTarget  = 2 * time.Second
	recoveredShare  = 0.95
	swingTarget     = 2 * time.Second
	callerTimeout   = time.Second
	// goodputWindow is the width of the moving average of goodput that timeToGoodput searches.
	goodputWindow = 500 * time.Millisecond
)

// chainServices returns a chain of three services. Only the last one is short of slots, so a call that fails there wastes
// the work of the first two.
func chainServices() []testbed.Service {
	zones := []string{"rn-1", "rn-2"}
	return []testbed.Service{
		{Name: "payments", Zones: zones, Slots: chainSlots, Connections: 400, Timeout: time.Second,
			BackendFlags: []string{"--service-time", chainServiceTime.String()}},
		{Name: "imagery", Zones: zones, Slots: 128, Connections: 800, Timeout: time.Second, Calls: []string{"payments"},
			BackendFlags: []string{"--service-time=2ms", "--call", "/order=payments:POST:/pay", "--call", "/page=payments:GET:/quote"}},
		{Name: "nursery", Zones: zones, Slots: 128, Connections: 800, Timeout: time.Second, Calls: []string{"imagery"},
			BackendFlags: []string{"--service-time=2ms", "--call", "/order=imagery:POST:/order", "--call", "/page=imagery:GET:/page"}},
	}
}

const chainRules = `[class orders]
rank = 1
[class pages]
rank = 8
default = yes
[request order]
service = nursery
method = POST
path = /order
class = orders
non-idempotent = yes
[request inner-order]
service = imagery
method = POST
path = /order
class = orders
non-idempotent = yes
[request pay]
service = payments
method = POST
path = /pay
class = orders
non-idempotent = yes
`

// chainKinds returns a mix of one tenth orders, which alone fit the capacity at every load, and nine tenths pages.
func chainKinds(retries int, tryTimeout time.Duration) []standin.Kind {
	return []standin.Kind{
		{Name: "orders", Method: "POST", Path: "/nursery/order", Weight: 1, NonIdempotent: true, Timeout: callerTimeout,
			Retries: retries, TryTimeout: tryTimeout},
		{Name: "pages", Method: "GET", Path: "/nursery/page", Weight: 9, Timeout: callerTimeout, Retries: retries,
			TryTimeout: tryTimeout},
	}
}

func runOverload(ctx context.Context, b *bench) error {
	window := span{4 * time.Second, 12 * time.Second}
	for _, factor := range []float64{2, 5} {
		goodput, ordersShare := map[string]float64{}, map[string]float64{}
		for _, v := range []variant{product, fixedLimit, noControl} {
			err := b.deploy(ctx, v, chainServices(), chainRules, func(ctx context.Context, deployment *testbed.Deployment) error {
				_, r, err := b.load(ctx, callerAddresses(deployment.PlacesOf("nursery")), chainKinds(0, 0),
					standin.Constant(factor*chainCapacity), window)
				if err != nil {
					return err
				}
				printResults(fmt.Sprintf("%s at %.0fx", v.name, factor), r)
				goodput[v.name] = float64(totalAnswered(r)) / window.seconds() / chainCapacity
				ordersShare[v.name] = r.Kind("orders").AnsweredShare()
				return nil
			})
			if err != nil {
				return err
			}
		}
		for _, base := range []variant{fixedLimit, noControl} {
			g, o := goodput[product.name], ordersShare[product.name]
			b.addRow(fmt.Sprintf("goodput at %.0fx, share of capacity", factor), "%.3f", g, base.name, goodput[base.name],
				"at least 0.90", g >= goodputTarget)
			b.addRow(fmt.Sprintf("orders answered at %.0fx", factor), "%.4f", o, base.name, ordersShare[base.name], "at least 0.99",
				o >= importantTarget)
		}
	}
	return nil
}

// runRecovery offers 0.7x of the capacity, with a surge to 4x from 6 s to 12 s. The callers retry up to three times.
func runRecovery(ctx context.Context, b *bench) error {
	const surgeStart, surgeEnd = 6 * time.Second, 12 * time.Second
	window := span{0, 30 * time.Second}
	profile := standin.Profile{Steps: []standin.Step{{Rate: 0.7 * chainCapacity}, {From: surgeStart, Rate: 4 * chainCapacity},
		{From: surgeEnd, Rate: 0.7 * chainCapacity}}}
	recoverySecs, shareBefore := map[string]float64{}, map[string]float64{}
	for _, v := range []variant{product, fixedLimit, noControl} {
		err := b.deploy(ctx, v, chainServices(), chainRules, func(ctx context.Context, deployment *testbed.Deployment) error {
			all, _, err := b.load(ctx, callerAddresses(deployment.PlacesOf("nursery")), chainKinds(3, callerTimeout/3), profile, window)
			if err != nil {
				return err
			}
			printResults(v.name, all)
			shareBefore[v.name] = all.AnsweredShare(2*time.Second, surgeStart)
			recoverySecs[v.name] = recoveryTime(all, surgeEnd, window.to, recoveredShare*shareBefore[v.name]).Seconds()
			return nil
		})
		if err != nil {
			return err
		}
	}
	for _, base := range []variant{fixedLimit, noControl} {
		v := recoverySecs[product.name]
		b.addRow("answered before the surge, at 0.7x", "%.3f", shareBefore[product.name], base.name, shareBefore[base.name], "", true)
		b.addRow("time after a 4x surge until 95% of that are answered for good", "%.1f s", v, base.name, recoverySecs[base.name],
			"at most 2 s", v <= recoveryTarget.Seconds())
	}
	return nil
}

// recoveryTime returns the time after from until the share of answered requests, by arrival time and over windows of one
// second, stays at or above want. Windows of half a second hold so few requests that random variation looks like a relapse.
func recoveryTime(r *standin.Results, from, to time.Duration, want float64) time.Duration {
	recovered := from
	const width = time.Second
	for t := from; t+width <= to; t += standin.BucketWidth {
		if r.AnsweredShare(t, t+width) < want {
			recovered = t + standin.BucketWidth
		}
	}
	return recovered - from
}

// runSwing steps the load from 0.3x to 3x of the capacity and back, twice.
func runSwing(ctx context.Context, b *bench) error {
	const period, swings = 12 * time.Second, 2
	profile := standin.Profile{Steps: []standin.Step{{Rate: 0.3 * chainCapacity}}}
	for i := range swings {
		crest := period/2 + time.Duration(i)*period
		profile.Steps = append(profile.Steps, standin.Step{From: crest, Rate: 3 * chainCapacity},
			standin.Step{From: crest + period/2, Rate: 0.3 * chainCapacity})
	}
	window := span{0, period/2 + swings*period}
	riseTime, lowestGoodput, ordersShare := map[string]float64{}, map[string]float64{}, map[string]float64{}
	for _, v := range []variant{product, fixedLimit, noControl} {
		err := b.deploy(ctx, v, chainServices(), chainRules, func(ctx context.Context, deployment *testbed.Deployment) error {
			all, _, err := b.load(ctx, callerAddresses(deployment.PlacesOf("nursery")), chainKinds(0, 0), profile, window)
			if err != nil {
				return err
			}
			printResults(v.name, all)
			lowestGoodput[v.name] = 1e9
			for i := range swings {
				crest := period/2 + time.Duration(i)*period
				riseTime[v.name] = max(riseTime[v.name], timeToGoodput(all, crest, crest+period/2, goodputTarget*chainCapacity).Seconds())
				lowestGoodput[v.name] = min(lowestGoodput[v.name], all.Goodput(crest+swingTarget, crest+period/2)/chainCapacity)
			}
			ordersShare[v.name] = all.Kind("orders").AnsweredShare()
			return nil
		})
		if err != nil {
			return err
		}
	}
	for _, base := range []variant{fixedLimit, noControl} {
		t, g, o := riseTime[product.name], lowestGoodput[product.name], ordersShare[product.name]
		b.addRow("time after a 10x step until goodput is at 90% of capacity", "%.1f s", t, base.name, riseTime[base.name],
			"at most 2 s", t <= swingTarget.Seconds())
		b.addRow("goodput at the crest after 2 s, share of capacity", "%.3f", g, base.name, lowestGoodput[base.name], "at least 0.90",
			g >= goodputTarget)
		b.addRow("orders answered over the swings", "%.4f", o, base.name, ordersShare[base.name], "at least 0.99", o >= importantTarget)
	}
	return nil
}

// timeToGoodput returns the time after from until the goodput, averaged over half a second, first reaches want.
func timeToGoodput(r *standin.Results, from, to time.Duration, want float64) time.Duration {
	for t := from; t+goodputWindow <= to; t += standin.BucketWidth {
		if r.Goodput(t, t+goodputWindow) >= want {
			return t - from
		}
	}
	return to - from
}
