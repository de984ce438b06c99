package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"lovagelane/testbed"
)

const (
	controlTime = 20 * time.Second
	// ticksPerSecond is the unit of processor times in /proc, which Linux fixes for programs.
	ticksPerSecond  = 100
	controlCPU      = 1.6
	controlMemoryMB = 128
	controlTraffic  = 28.0
)

// runControl measures idle nodes at two sizes; docs/CAPACITY.md derives the target size from the difference.
func runControl(ctx context.Context, b *bench) error {
	for _, size := range []int{6, 18} {
		services := []testbed.Service{{Name: "maps", Slots: 4, Connections: 100, Timeout: time.Second}}
		for i := range size {
			services[0].Zones = append(services[0].Zones, []string{"rn-1", "rn-2"}[i%2])
		}
		err := b.deploy(ctx, product, services, plainRules, func(ctx context.Context, bed *testbed.Bed) error {
			return b.controlCost(ctx, bed, size)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// cost is the sum over the nodes.
type cost struct{ cpu, memory, traffic float64 }

func (b *bench) controlCost(ctx context.Context, bed *testbed.Bed, size int) error {
	first, err := costOf(ctx, bed)
	if err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(controlTime):
	}
	last, err := costOf(ctx, bed)
	if err != nil {
		return err
	}
	n := float64(size)
	cpu := 100 * (last.cpu - first.cpu) / controlTime.Seconds() / n
	memory, traffic := last.memory/n, (last.traffic-first.traffic)/controlTime.Seconds()/n
	at := fmt.Sprintf(" of a node among %d, idle", size)
	b.add("processor"+at, "%.2f%% of a core", cpu, "-", -1, "at most 1.6%", cpu <= controlCPU)
	b.add("memory"+at, "%.1f MB", memory, "-", -1, "at most 128 MB", memory <= controlMemoryMB)
	b.add("control traffic"+at, "%.2f KB/s", traffic, "-", -1, "at most 28 KB/s", traffic <= controlTraffic)
	return nil
}

func costOf(ctx context.Context, bed *testbed.Bed) (cost, error) {
	var sum cost
	for _, p := range bed.Places {
		cpu, memory, err := processCost(p.Node.PID())
		if err != nil {
			return cost{}, err
		}
		m, err := p.Metrics(ctx)
		if err != nil {
			return cost{}, err
		}
		sum.cpu += cpu
		sum.memory += memory
		for _, name := range []string{"control-bytes-sent", "control-bytes-received"} {
			v, ok := m.Counters[name]
			if !ok {
				return cost{}, fmt.Errorf("the node has no metric %s", name)
			}
			sum.traffic += float64(v) / 1000
		}
	}
	return sum, nil
}

// processCost returns the processor time in seconds and the resident memory in MB.
func processCost(pid int) (cpu, memory float64, err error) {
	b, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return 0, 0, err
	}
	// The name in parentheses may hold spaces; the fields count from the one after it, which is field 3.
	_, rest, _ := strings.Cut(string(b), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 22 {
		return 0, 0, fmt.Errorf("unexpected /proc/%d/stat", pid)
	}
	user, err1 := strconv.ParseFloat(fields[11], 64)
	system, err2 := strconv.ParseFloat(fields[12], 64)
	pages, err3 := strconv.ParseFloat(fields[21], 64)
	if err1 != nil || err2 != nil || err3 != nil {
		return 0, 0, fmt.Errorf("unexpected /proc/%d/stat", pid)
	}
	return (user + system) / ticksPerSecond, pages * float64(os.Getpagesize()) / 1e6, nil
}
