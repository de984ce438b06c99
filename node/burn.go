package node

import (
	"context"
	"time"

	"lovagelane/burn"
	"lovagelane/call"
	"lovagelane/inventory"
)

// eventInterval is the period at which protective states are noted for the burn report.
const eventInterval = time.Second

// recordAnswer counts an answered call for the burn report.
func (n *Node) recordAnswer(out *outbound, status int) {
	within := out.op.Timeout
	if cfg := n.config.Load(); cfg != nil {
		if objective, ok := cfg.Objective(out.op.Service); ok {
			within = objective.Within
		}
	}
	took := n.clock.Now().Sub(out.arrived)
	if kind, ok := burn.Classify(call.OutcomeRan, call.ReasonNone, status, took, within); ok {
		n.burn.Record(keyOf(&out.op), kind)
	}
}

// recordRefusal counts a refused call for the burn report and for the shares of its class.
func (n *Node) recordRefusal(op *inventory.Operation, r call.Refusal) {
	if op == nil {
		return
	}
	switch r.Reason {
	case call.ReasonQuarantined:
		n.burn.Event(burn.EventQuarantined, op.Name)
	case call.ReasonShed, call.ReasonQueueFull:
		n.pressures.refused(n.clock.Now(), op.Class)
	}
	if kind, ok := burn.Classify(r.Outcome, r.Reason, 0, 0, 0); ok {
		n.burn.Record(keyOf(op), kind)
	}
}

func keyOf(op *inventory.Operation) burn.Key {
	return burn.Key{Service: op.Service, Class: op.Class, Operation: op.Name}
}

// noteStates records which backend servers are avoided and whether the own limit is lowered, since nobody may be
// watching when it happens.
func (n *Node) noteStates(context.Context) {
	for service, ids := range n.choosers.avoided() {
		for range ids {
			n.burn.Event(burn.EventEjected, service)
		}
	}
	if _, load := n.gate.report(); load.Queued > 0 && int(load.Limit) <= n.backend.slots()/2 {
		n.burn.Event(burn.EventLimitLowered, n.self.Service)
	}
}
