package gateway

import (
	"net/http"

	"github.com/waxwingreel/waxwingreel/fleet"
)

// metered reports whether the request is charged to a prepaid budget. Requests to model engines are, also those that do not
// say how large they are.
func (x *exchange) metered() bool {
	return x.workspace != nil && x.workspace.Prepaid != nil && (x.request.Sized() || x.service.Engine != nil)
}

// prompt returns the input tokens of the request.
func (x *exchange) prompt() fleet.Tokens {
	if x.request.Sized() {
		return x.request.Prompt
	}
	prompt := fleet.Tokens(0)
	for _, part := range x.request.Parts {
		prompt += part.Tokens
	}
	if len(x.request.Parts) == 0 {
		// A token is a byte at the least.
		return fleet.Tokens(len(x.body))
	}
	return prompt
}

// reserve reserves quota for the request's maximum cost, or refuses the request. For a request that does not say how much output
// it may have, that is the prompt; the rest is reserved as it comes.
func (x *exchange) reserve() bool {
	if !x.metered() {
		return true
	}
	if x.s.quotaManager.Load() == nil {
		x.refuse(CauseNoQuota)
		return false
	}
	if x.reserveMore(x.prompt() + x.request.MaxOutput) {
		return true
	}
	switch {
	case x.r.Context().Err() != nil:
		x.logDisconnect()
	case x.shortage.Exhausted && !x.shortage.Last.Unknown:
		x.reject(http.StatusPaymentRequired, CauseBudgetSpent)
	default:
		x.refuse(CauseNoQuota)
	}
	return false
}

// reserveMore adds to the reservation. It returns false and sets the shortage if the quota does not cover it.
func (x *exchange) reserveMore(tokens fleet.Tokens) bool {
	if tokens == 0 {
		return true
	}
	x.shortage = x.s.quotaManager.Load().Reserve(x.ctx, fleet.BudgetID(x.workspace.ID), tokens)
	if x.shortage == nil {
		x.reserved += tokens
	}
	return x.shortage == nil
}

// release ends the reservation. It charges the prompt, if the request may have run, and
// the output that was delivered.
func (x *exchange) release() {
	if x.reserved == 0 {
		return
	}
	x.s.quotaManager.Load().Release(fleet.BudgetID(x.workspace.ID), x.reserved, x.charge())
}

// charge returns what the request costs by now.
func (x *exchange) charge() fleet.Tokens {
	if x.reserved == 0 || !x.chargeable {
		return 0
	}
	return min(x.prompt()+x.delivered, x.reserved)
}

// countOutput counts the output in a part of a response that is about to be written to the caller, who may have got it even if that
// fails. It returns false if the budget does not cover it, so that it must not be written.
func (x *exchange) countOutput(header http.Header, events, bytes int) bool {
	if !x.metered() {
		return true
	}
	tokens := x.outputTokens(header, events, bytes)
	if x.request.Sized() {
		x.delivered = min(x.delivered+tokens, x.request.MaxOutput)
		return true
	}
	if !x.reserveMore(tokens) {
		return false
	}
	x.delivered += tokens
	return true
}

// outputTokens returns the most output tokens that a part of a response can hold. Only events tell how many these are: what else
// comes may be all that the request allows.
func (x *exchange) outputTokens(header http.Header, events, bytes int) fleet.Tokens {
	switch {
	case bytes == 0:
		return 0
	case x.service.Engine != nil && x.service.Engine.EventTokens > 0 && holdsEvents(header.Get("Content-Type")):
		return fleet.Tokens(events) * x.service.Engine.EventTokens
	case x.request.Sized():
		return x.request.MaxOutput
	}
	return fleet.Tokens(bytes)
}

// countBody is countOutput for a whole response. Failures hold no output.
func (x *exchange) countBody(response bufferedResponse) bool {
	events := 0
	switch {
	case response.status >= http.StatusBadRequest:
		return true
	case holdsEvents(response.header.Get("Content-Type")):
		events = countEvents(response.body)
	}
	return x.countOutput(response.header, events, len(response.body))
}

// endUnpaid ends a request whose output the budget does not cover.
func (x *exchange) endUnpaid() {
	exhausted := x.shortage.Exhausted && !x.shortage.Last.Unknown
	switch {
	case x.r.Context().Err() != nil:
		x.logDisconnect()
	case exhausted && !x.headerSent:
		x.reject(http.StatusPaymentRequired, CauseBudgetSpent)
	case exhausted:
		x.fail(CauseBudgetSpent)
	default:
		x.fail(CauseNoQuota)
	}
}

// countEvents returns the number of events in a whole body.
func countEvents(body []byte) int {
	e := eventReader{}
	e.count(body)
	return e.eventCount
}
