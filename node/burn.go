package node

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

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
	kind := burn.KindGood
	switch {
	case status >= fasthttp.StatusInternalServerError:
		kind = burn.KindFailed
	case n.clock.Now().Sub(out.arrived) > within:
		kind = burn.KindLate
	}
	n.burn.Record(keyOf(&out.op), kind)
}

// recordRefusal counts a refused call for the burn report. Mistakes of the caller burn nothing.
func (n *Node) recordRefusal(op *inventory.Operation, r call.Refusal) {
	if op == nil {
		return
	}
	switch r.Reason {
	case call.ReasonTicketRequired, call.ReasonTicketInvalid, call.ReasonBadRequest, call.ReasonBodyTooLarge,
		call.ReasonBodyTooSlow, call.ReasonCancelled, call.ReasonRetriesSpent:
		return
	case call.ReasonQuarantined:
		n.burn.Event(burn.EventQuarantined, op.Name)
	}
	kind := burn.KindFailed
	switch {
	case r.Reason == call.ReasonShed, r.Reason == call.ReasonQueueFull:
		kind = burn.KindShed
	case r.Outcome == call.OutcomeUnknown:
		kind = burn.KindUnknown
	}
	n.burn.Record(keyOf(op), kind)
}

func keyOf(op *inventory.Operation) burn.Key {
	return burn.Key{Service: op.Service, Class: op.Class, Operation: op.Name}
}

// objectives returns the objectives of a configuration as the burn report takes them.
func objectives(cfg *inventory.Config) burn.Objectives {
	o := burn.Objectives{Version: cfg.Version()}
	for _, objective := range cfg.Objectives() {
		o.List = append(o.List, burn.Objective{Service: objective.Service, Answered: objective.Answered, Within: objective.Within})
	}
	return o
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
