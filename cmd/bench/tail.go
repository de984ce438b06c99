package main

import (
	"context"
	"time"

	"lovagelane/standin"
	"lovagelane/testbed"
)

const (
	// The capacity is small so that the computer has idle time: at 1,700 calls a second the p99 of the run without faults
	// was 133 ms with a service time of 10 ms.
	tailPlaces      = 6
	tailSlots       = 4
	tailServiceTime = 20 * time.Millisecond
	// tailLoad is the share of the capacity that is asked for without stragglers and slowed backend servers.
	tailLoad        = 0.35
	stragglerFactor = 2.0
	slowedFactor    = 1.5
	slowdown        = 10.0
)

// flat is one service behind a front without work of its own.
func flat(backend ...string) []testbed.Service {
	return []testbed.Service{
		{Name: "front", Zones: []string{"rn-1", "rn-2"}, Slots: 64, Connections: 400, Timeout: 2 * time.Second},
		{Name: "maps", Zones: []string{"rn-1", "rn-1", "rn-1", "rn-2", "rn-2", "rn-2"}, Slots: tailSlots, Connections: 400,
			Timeout: 2 * time.Second, Backend: append([]string{"--service-time", tailServiceTime.String()}, backend...)},
	}
}

// tail measures the calls of one deployment; prepare runs after a first part of the load has settled.
func (b *bench) tail(ctx context.Context, v variant, name string, services []testbed.Service,
	prepare func(ctx context.Context, bed *testbed.Bed) error) (p99 float64, err error) {
	rate := tailLoad * tailPlaces * tailSlots * float64(time.Second) / float64(tailServiceTime)
	kinds := []standin.Kind{{Name: "call", Method: "GET", Path: "/maps/page", Weight: 1, Timeout: 2 * time.Second}}
	err = b.deploy(ctx, v, services, plainRules, func(ctx context.Context, bed *testbed.Bed) error {
		if err := prepare(ctx, bed); err != nil {
			return err
		}
		_, r, err := b.load(ctx, addressesOf(bed.Of("front")), kinds, standin.Constant(rate),
			span{4 * time.Second, 14 * time.Second})
		if err != nil {
			return err
		}
		note(v.name+", "+name, r)
		p99 = ms(r.Kind("call").Quantile(99))
		return nil
	})
	return p99, err
}

func nothing(context.Context, *testbed.Bed) error { return nil }

func runStragglers(ctx context.Context, b *bench) error {
	values := map[string][2]float64{}
	for _, v := range []variant{product, roundRobin} {
		without, err := b.tail(ctx, v, "no stragglers", flat(), nothing)
		if err != nil {
			return err
		}
		with, err := b.tail(ctx, v, "2% stragglers of 50x", flat("--straggler-share=0.02", "--straggler-factor=50"), nothing)
		if err != nil {
			return err
		}
		values[v.name] = [2]float64{without, with}
	}
	b.addTail("p99 of short calls with stragglers", "2x of without", stragglerFactor, values)
	return nil
}

func runSlowed(ctx context.Context, b *bench) error {
	factor := slowdown
	slow := func(ctx context.Context, bed *testbed.Bed) error {
		return bed.Of("maps")[0].SetFaults(ctx, standin.BackendFaults{SlowFactor: &factor})
	}
	values := map[string][2]float64{}
	for _, v := range []variant{product, roundRobin} {
		without, err := b.tail(ctx, v, "none slowed", flat(), nothing)
		if err != nil {
			return err
		}
		with, err := b.tail(ctx, v, "one in six slowed 10x", flat(), slow)
		if err != nil {
			return err
		}
		values[v.name] = [2]float64{without, with}
	}
	b.addTail("p99 with one in six slowed 10x", "1.5x of none slowed", slowedFactor, values)
	return nil
}

// addTail compares with the same variant without the fault, which the target is about, and with the baseline's ratio.
func (b *bench) addTail(measure, target string, factor float64, values map[string][2]float64) {
	own, base := values[product.name], values[roundRobin.name]
	b.add(measure, "%.1f ms", own[1], "lovagelane without the fault", own[0], "at most "+target, own[1] <= factor*own[0])
	b.add(measure, "%.1f ms", own[1], roundRobin.name, base[1], "", true)
}
