package node

import (
	"context"
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"lovagelane/call"
	"lovagelane/fleet"
	"lovagelane/membership"
)

const (
	// drainTimeout bounds how long an operator's drain request waits for calls in flight.
	drainTimeout = 5 * time.Minute
)

// Status is the state that a node reports to operators.
type Status struct {
	Member               membership.Member   `json:"member"`
	Addresses            Addresses           `json:"addresses"`
	ConfigurationVersion uint64              `json:"configuration-version"`
	Draining             bool                `json:"draining"`
	BackendServerUp      bool                `json:"backend-server-up"`
	InFlight             int                 `json:"in-flight"`
	Level                string              `json:"admission-level"`
	Load                 call.Load           `json:"load"`
	Members              []membership.Member `json:"members"`
}

// Status returns the current state of the node and its view of the other members.
func (n *Node) Status() Status {
	level, load := n.gate.levelAndLoad()
	s := Status{Member: n.self, Addresses: n.addresses, Draining: n.draining.Load(), BackendServerUp: n.backend.isUp(),
		InFlight: n.flights.count(), Level: level.String(), Load: load, Members: []membership.Member{}}
	if cfg := n.config.Load(); cfg != nil {
		s.ConfigurationVersion = cfg.Version()
	}
	s.Member.Region, s.Member.Control, s.Member.Slots = n.region(), n.addresses.Control, n.backend.slots()
	switch {
	case s.Draining:
		s.Member.State = membership.StateDraining
	case s.BackendServerUp:
		s.Member.State = membership.StateServing
	}
	for _, m := range *n.members.Load() {
		s.Members = append(s.Members, m)
	}
	return s
}

// handleAdmin serves the admin listener.
func (n *Node) handleAdmin(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/status":
		writeJSON(ctx, n.Status())
	case "/debug/vars":
		ctx.SetContentType("application/json")
		ctx.SetBodyString(n.metrics.Var().String())
	case "/burn":
		writeJSON(ctx, n.burn.Snapshot())
	case "/drain":
		n.handleDrain(ctx)
	default:
		ctx.Error("unknown path: use /status, /debug/vars, /burn or /drain", fasthttp.StatusNotFound)
	}
}

// handleOperator serves a request with an operator's key on the calls listener.
func (n *Node) handleOperator(ctx *fasthttp.RequestCtx, path string) {
	switch path {
	case fleet.PathVersion:
		n.writeVersion(ctx)
	case fleet.PathNotice:
		n.control.PollStore()
	case fleet.PathStatus:
		writeJSON(ctx, n.Status())
	case fleet.PathBurn:
		writeJSON(ctx, n.burn.Snapshot())
	case fleet.PathDrain:
		n.handleDrain(ctx)
	default:
		ctx.Error("unknown path for an operator's key: upgrade the older program", fasthttp.StatusNotFound)
	}
}

func (n *Node) handleDrain(ctx *fasthttp.RequestCtx) {
	if !ctx.IsPost() {
		ctx.Error("drain changes state: use POST", fasthttp.StatusMethodNotAllowed)
		return
	}
	wait, cancel := context.WithTimeout(n.group.Context(), drainTimeout)
	defer cancel()
	if err := n.Drain(wait); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusConflict)
		return
	}
	writeJSON(ctx, n.Status())
}

// writeVersion writes the version of the configuration in force, 0 if there is none.
func (n *Node) writeVersion(ctx *fasthttp.RequestCtx) {
	version := uint64(0)
	if cfg := n.config.Load(); cfg != nil {
		version = cfg.Version()
	}
	writeJSON(ctx, map[string]uint64{"configuration-version": version})
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}
