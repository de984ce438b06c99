package node

import (
	"encoding/json"
	"errors"
	"net"

	"github.com/valyala/fasthttp"

	"lovagelane/call"
	"lovagelane/ticket"
)

// remedies maps the reason of a refusal to the advice for the caller.
var remedies = map[call.Reason]string{
	call.ReasonShed:            "send it again later: more important requests fill the capacity",
	call.ReasonQueueFull:       "send it again later: more important requests fill the queue",
	call.ReasonDeadline:        "allow more time, or send it again later",
	call.ReasonCancelled:       "nothing to do: the caller gave up",
	call.ReasonDraining:        "send it to another node: this one is leaving",
	call.ReasonNoBackendServer: "send it again later: no backend server of the service can be reached",
	call.ReasonBackendFailed:   "check with the service whether it ran before sending it again",
	call.ReasonNoConfiguration: "send it to another node: this one has no configuration yet",
	call.ReasonUnknownService:  "use a service of the inventory as the first part of the path",
	call.ReasonRetriesSpent:    "start a new request: this one has used all its retries",
	call.ReasonTicketRequired:  "send the same request again with the Lovagelane-Ticket header of this answer",
	call.ReasonTicketInvalid:   "take a new ticket: send the request without Lovagelane-Ticket",
	call.ReasonTicketExpired:   "check with the service whether it ran, then take a new ticket",
	call.ReasonOwnerGone:       "check with the service whether it ran before ordering again: the node that knew is gone",
	call.ReasonQuarantined:     "do not send this request again: it crashed backend servers",
	call.ReasonFenced:          "send it again: its connection was lost before it arrived",
	call.ReasonBodyTooLarge:    "send a smaller body, or raise max-body of the service",
	call.ReasonBodyTooSlow:     "send the body faster, or over a better connection",
	call.ReasonTooDeep:         "look for a loop in the call graph",
	call.ReasonBadRequest:      "correct the request",
	call.ReasonBusy:            "send it again later: a table of this node is full",

	ticket.ReasonAttemptRepeated:  "check with the service whether it ran before sending it again",
	ticket.ReasonOtherIncarnation: "send it again later: the backend server was replaced",
}

// statusCodes maps the reason of a refusal to its HTTP status. Any other reason is answered with 503.
var statusCodes = map[call.Reason]int{
	call.ReasonUnknownService: fasthttp.StatusNotFound,
	call.ReasonTicketRequired: fasthttp.StatusPreconditionRequired,
	call.ReasonTicketInvalid:  fasthttp.StatusBadRequest,
	call.ReasonTicketExpired:  fasthttp.StatusConflict,
	call.ReasonQuarantined:    fasthttp.StatusUnprocessableEntity,
	call.ReasonBodyTooLarge:   fasthttp.StatusRequestEntityTooLarge,
	call.ReasonBodyTooSlow:    fasthttp.StatusRequestTimeout,
	call.ReasonTooDeep:        fasthttp.StatusLoopDetected,
	call.ReasonBadRequest:     fasthttp.StatusBadRequest,
	call.ReasonRetriesSpent:   fasthttp.StatusTooManyRequests,
	call.ReasonDeadline:       fasthttp.StatusGatewayTimeout,
	call.ReasonBackendFailed:  fasthttp.StatusBadGateway,
	call.ReasonCancelled:      499,
}

// refuseUnreadable answers a request that could not be parsed, so that its caller knows that it did not run.
func (n *Node) refuseUnreadable(ctx *fasthttp.RequestCtx, err error) {
	r := refusal(call.ReasonBadRequest, call.OutcomeNotRun, "")
	var large *fasthttp.ErrSmallBuffer
	var timeout net.Error
	switch {
	case errors.As(err, &large):
		r.Remedy = "send fewer or shorter headers: they are larger than 16 KB together"
	case errors.As(err, &timeout) && timeout.Timeout():
		r = refusal(call.ReasonBodyTooSlow, call.OutcomeNotRun, "")
	}
	n.refuseCaller(ctx, nil, r)
	if large != nil {
		ctx.SetStatusCode(fasthttp.StatusRequestHeaderFieldsTooLarge)
	}
}

// refusalBody is the JSON body of a refusal.
type refusalBody struct {
	Reason  call.Reason `json:"reason"`
	Outcome string      `json:"outcome"`
	Rule    string      `json:"rule"`
	Remedy  string      `json:"remedy"`
}

// writeRefusal writes a refusal to a caller.
func writeRefusal(ctx *fasthttp.RequestCtx, r call.Refusal) {
	status, ok := statusCodes[r.Reason]
	if !ok {
		status = fasthttp.StatusServiceUnavailable
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, "1")
	}
	ctx.Response.ResetBody()
	ctx.SetStatusCode(status)
	ctx.Response.Header.Set(headerOutcome, r.Outcome.String())
	ctx.Response.Header.Set(headerReason, string(r.Reason))
	if r.Rule != "" {
		ctx.Response.Header.Set(headerRule, r.Rule)
	}
	body, err := json.Marshal(refusalBody{Reason: r.Reason, Outcome: r.Outcome.String(), Rule: r.Rule, Remedy: r.Remedy})
	if err != nil {
		ctx.Error(r.Error(), status)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
