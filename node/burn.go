package node

import (
	"context"
	"time"

	"lovagelane/burn"
	"lovagelane/call"
	"lovagelane/inventory"
)

// burnEventInterval is the period at which protective states are sampled for the burn report.
const burnEventInterval = time.Second

// recordAnswer counts an answered call for the burn report.
func (n *Node) recordAnswer(out *outbound, status int) {
	latencyObjective := out.op.Timeout
	if cfg := n.config.Load(); cfg != nil {
		if objective, ok := cfg.Objective(out.op.Service); ok {
			latencyObjective = objective.Within
		}
	}
	latency := n.clock.Now().Sub(out.arrived)
	if kind, ok := burn.Classify(call.OutcomeRan, call.ReasonNone, status, latency, latencyObjective); ok {
		n.burn.Record(burnKey(&out.op), kind)
	}
}

// recordRefusal counts a refused call for the burn report, and for the fair shares of its class when it was shed or the queue
// was full.
func (n *Node) recordRefusal(op *inventory.Operation, r call.Refusal) {
	if op == nil {
		return
	}
	switch r.Reason {
	case call.ReasonQuarantined:
		n.burn.RecordEvent(burn.EventQuarantined, op.Name)
	case call.ReasonShed, call.ReasonQueueFull:
		n.entryAdmission.recordRefusal(n.clock.Now(), op.Class)
	}
	if kind, ok := burn.Classify(r.Outcome, r.Reason, 0, 0, 0); ok {
		n.burn.Record(burnKey(op), kind)
	}
}

func burnKey(op *inventory.Operation) burn.Key {
	return burn.Key{Service: op.Service, Class: op.Class, Operation: op.Name}
}

// recordProtectiveStates records which backend servers are ejected and whether the own concurrency limit is lowered, so that
// the burn report shows it afterwards.
func (n *Node) recordProtectiveStates(context.Context) {
	for service, ids := range n.choosers.ejected() {
		for range ids {
			n.burn.RecordEvent(burn.EventEjected, service)
		}
	}
	if _, load := n.gate.levelAndLoad(); load.Queued > 0 && int(load.Limit) <= n.backend.slots()/2 {
		n.burn.RecordEvent(burn.EventLimitLowered, n.self.Service)
	}
}
