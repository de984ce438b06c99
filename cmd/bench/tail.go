package main

import (
	"context"
	"time"

	"lovagelane/standin"
	"lovagelane/testbed"
)

const (
	// The capacity is small, so that the computer has idle time: at 1,700 calls a second and a service time of 10 ms, the
	// p99 without faults was 133 ms.
	tailPlaces      = 6
	tailSlots       = 4
	tailServiceTime = 20 * time.Millisecond
	// tailLoadShare is the load as a share of the capacity without stragglers and slowed backend servers.
	tailLoadShare   = 0.35
	stragglerTarget = 2.0
	slowedTarget    = 1.5
	slowdownFactor  = 10.0
)

// tailServices returns one service behind a front service that does no work of its own.
func tailServices(backendFlags ...string) []testbed.Service {
	return []testbed.Service{
		{Name: "front", Zones: []string{"rn-1", "rn-2"}, Slots: 64, Connections: 400, Timeout: 2 * time.Second},
		{Name: "maps", Zones: []string{"rn-1", "rn-1", "rn-1", "rn-2", "rn-2", "rn-2"}, Slots: tailSlots, Connections: 400,
			Timeout: 2 * time.Second, BackendFlags: append([]string{"--service-time", tailServiceTime.String()}, backendFlags...)},
	}
}

// tailP99 returns the p99 latency in ms of the calls of one deployment. It calls prepare before the load starts.
func (b *bench) tailP99(ctx context.Context, v variant, name string, services []testbed.Service,
	prepare func(ctx context.Context, deployment *testbed.Deployment) error) (p99 float64, err error) {
	rate := tailLoadShare * tailPlaces * tailSlots * float64(time.Second) / float64(tailServiceTime)
	kinds := []standin.Kind{{Name: "call", Method: "GET", Path: "/maps/page", Weight: 1, Timeout: 2 * time.Second}}
	err = b.deploy(ctx, v, services, plainRules, func(ctx context.Context, deployment *testbed.Deployment) error {
		if err := prepare(ctx, deployment); err != nil {
			return err
		}
		_, r, err := b.load(ctx, callerAddresses(deployment.PlacesOf("front")), kinds, standin.Constant(rate),
			span{4 * time.Second, 14 * time.Second})
		if err != nil {
			return err
		}
		printResults(v.name+", "+name, r)
		p99 = ms(r.Kind("call").Quantile(99))
		return nil
	})
	return p99, err
}

func noop(context.Context, *testbed.Deployment) error { return nil }

func runStragglers(ctx context.Context, b *bench) error {
	values := map[string][2]float64{}
	for _, v := range []variant{product, roundRobin} {
		without, err := b.tailP99(ctx, v, "no stragglers", tailServices(), noop)
		if err != nil {
			return err
		}
		with, err := b.tailP99(ctx, v, "2% stragglers of 50x", tailServices("--straggler-share=0.02", "--straggler-factor=50"), noop)
		if err != nil {
			return err
		}
		values[v.name] = [2]float64{without, with}
	}
	b.addTail("p99 of short calls with stragglers", "2x of without", stragglerTarget, values)
	return nil
}

func runSlowed(ctx context.Context, b *bench) error {
	factor := slowdownFactor
	slow := func(ctx context.Context, deployment *testbed.Deployment) error {
		return deployment.PlacesOf("maps")[0].SetFaults(ctx, standin.BackendFaults{SlowFactor: &factor})
	}
	values := map[string][2]float64{}
	for _, v := range []variant{product, roundRobin} {
		without, err := b.tailP99(ctx, v, "none slowed", tailServices(), noop)
		if err != nil {
			return err
		}
		with, err := b.tailP99(ctx, v, "one in six slowed 10x", tailServices(), slow)
		if err != nil {
			return err
		}
		values[v.name] = [2]float64{without, with}
	}
	b.addTail("p99 with one in six slowed 10x", "1.5x of none slowed", slowedTarget, values)
	return nil
}

// addTail adds two rows: one against the same variant without the fault, to which the target applies, and one against the
// baseline with the fault.
func (b *bench) addTail(measure, target string, factor float64, values map[string][2]float64) {
	own, base := values[product.name], values[roundRobin.name]
	b.addRow(measure, "%.1f ms", own[1], "lovagelane without the fault", own[0], "at most "+target, own[1] <= factor*own[0])
	b.addRow(measure, "%.1f ms", own[1], roundRobin.name, base[1], "", true)
}
