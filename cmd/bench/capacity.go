package main

import (
	"context"
	"fmt"
	"time"

	"lovagelane/standin"
	"lovagelane/testbed"
)

const (
	// The service time is long, so that the computer has idle time at 150 calls a second.
	capacitySlots       = 20
	capacityServiceTime = 400 * time.Millisecond
	// capacityKnee is the share of its slots beyond which one backend server slows down.
	capacityKnee = 0.6
	// capacityLoadShare is the load as a share of what all backend servers do at best.
	capacityLoadShare = 0.85
	capacityTimeout   = 4 * time.Second
	// capacityTarget is the goodput relative to fixed slots that a learned limit may cost at most.
	capacityTarget = 0.98
)

// capacitySpeeds are the speeds of the backend servers. The first one has the knee.
var capacitySpeeds = []float64{1, 0.5, 1.5, 1}

var fixedSlots = variant{"fixed slots", []string{"limiter = fixed"}}

// runCapacity offers a constant load to backend servers of which one does less work the more of its slots are in use.
func runCapacity(ctx context.Context, b *bench) error {
	services := []testbed.Service{
		{Name: "front", Zones: []string{"rn-1", "rn-2"}, Slots: 400, Connections: 800, Timeout: capacityTimeout},
		{Name: "maps", Zones: []string{"rn-1", "rn-1", "rn-2", "rn-2"}, Slots: capacitySlots, Connections: 400, Timeout: capacityTimeout,
			BackendFlags: []string{"--service-time", capacityServiceTime.String()}},
	}
	// At best, the first one runs as many calls as its knee allows.
	best := capacityKnee - 1
	for _, speed := range capacitySpeeds {
		best += speed
	}
	rate := capacityLoadShare * best * capacitySlots * float64(time.Second) / float64(capacityServiceTime)
	kinds := []standin.Kind{{Name: "call", Method: "GET", Path: "/maps/page", Weight: 1, Timeout: capacityTimeout}}
	window := span{10 * time.Second, 30 * time.Second}
	goodput, p99 := map[string]float64{}, map[string]float64{}
	variants := []variant{product, fixedSlots, roundRobin}
	for _, v := range variants {
		err := b.deploy(ctx, v, services, plainRules, func(ctx context.Context, deployment *testbed.Deployment) error {
			for i, p := range deployment.PlacesOf("maps") {
				factor, knee := 1/capacitySpeeds[i], 0.0
				if i == 0 {
					knee = capacityKnee
				}
				if err := p.SetFaults(ctx, standin.BackendFaults{SlowFactor: &factor, Knee: &knee}); err != nil {
					return err
				}
			}
			_, r, err := b.load(ctx, callerAddresses(deployment.PlacesOf("front")), kinds, standin.Constant(rate), window)
			if err != nil {
				return err
			}
			printResults(fmt.Sprintf("%s, %.0f a second", v.name, rate), r)
			goodput[v.name] = float64(totalAnswered(r)) / window.seconds()
			p99[v.name] = ms(r.Kind("call").Quantile(99))
			return nil
		})
		if err != nil {
			return err
		}
	}
	for _, v := range variants[1:] {
		b.addRow("answers in time a second", "%.1f", goodput[product.name], v.name, goodput[v.name], "at least 0.98 of it",
			goodput[product.name] >= capacityTarget*goodput[v.name])
		b.addRow("p99", "%.1f ms", p99[product.name], v.name, p99[v.name], "", true)
	}
	return nil
}
