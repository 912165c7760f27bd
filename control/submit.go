package control

import (
	"context"
	"runtime/debug"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/waxwingreel/waxwingreel/clock"
	"github.com/waxwingreel/waxwingreel/consensus"
	"github.com/waxwingreel/waxwingreel/event"
	"github.com/waxwingreel/waxwingreel/wire"
)

// apply applies committed entries to the state machine and responds to their clients.
func (r *Replica) apply(entries []consensus.Entry) {
	all := effects{}
	for _, entry := range entries {
		r.applied = entry.Index
		if entry.Kind != consensus.EntryCommand {
			r.respond(entry, Result{})
			continue
		}
		command := Command{}
		if err := wire.Decode(entry.Data, &command); err != nil {
			// No leader of this version can have written such an entry, and
			// every replica fails on it in the same way.
			r.fail(eris.Wrapf(err, "control: decode entry %d", entry.Index))
			return
		}
		result, effect := r.applyCommand(command)
		all.catalog = all.catalog || effect.catalog
		all.routing = all.routing || effect.routing
		all.evacuations = all.evacuations || effect.evacuations
		all.nodes = all.nodes || effect.nodes
		all.recalls = append(all.recalls, effect.recalls...)
		// A new leader may apply an entry of an earlier term after the entry's
		// holder received the response from the previous leader. Its time of
		// application is no lower bound for the holder's next command then, so
		// only entries of the current term are recorded.
		if own := r.core.IsLeader() && entry.Term == r.core.Term(); own {
			if command.Sequence != nil {
				r.holderActivity.recordApplied(*command.Sequence, clock.SinceBoot())
			}
			r.logApplied(command, result)
		}
		r.respond(entry, result)
	}
	if all.any() {
		r.notify(all)
	}
}

// applyCommand applies a command. A command that makes the state machine panic does so on every
// replica, in the same place; if it ended the process, no replica could start again.
func (r *Replica) applyCommand(command Command) (result Result, effect effects) {
	defer func() {
		if value := recover(); value != nil {
			r.cfg.Log.Panicked("stateMachine")(value, debug.Stack())
		}
	}()
	return r.machine.apply(command)
}

// logApplied logs the result of a command that was committed in this leader's term.
func (r *Replica) logApplied(command Command, result Result) {
	if command.Join != nil {
		r.cfg.Log.Info(event.LifeJoined).
			Str("holder", string(command.Join.Holder.Node)).
			Uint64("incarnation", uint64(result.Incarnation)).
			Bool("joined", result.Joined).
			Int64("forfeitedTokens", int64(result.forfeit.Spent)).
			Int64("returnedTokens", int64(result.forfeit.Returned)).
			Str("bound", string(result.forfeit.Bound)).
			Any("forfeitedByBudget", result.forfeit.ByBudget).
			Msg("applied the join of a node; if joined is true, the leases of its earlier incarnations have ended")
		r.quotaLog.forfeitedByBound[result.forfeit.Bound] += result.forfeit.Spent
	}
	r.logNearlySpent(command.Leases)
	r.logUnmetNeeds(command.Leases, result.Leases)
	if command.Configure != nil {
		r.cfg.Log.Info(event.ConfigReplaced).
			Uint64("version", uint64(command.Configure.Config.Version)).
			Uint64("inForce", uint64(result.Configured)).
			Msg("committed a routing configuration")
		r.logTotals(result.totals)
	}
	if command.Evacuate != nil && result.Evacuated != nil {
		r.cfg.Log.Info(event.EvacuationOrdered).
			Str("dataCentre", string(command.Evacuate.DataCentre)).
			Bool("stop", command.Evacuate.Stop).
			Uint64("number", result.Evacuated.Number).
			Any("evacuated", result.Evacuated.DataCentres).
			Msg("committed an order on the evacuation of a data centre")
	}
}

// respond sends the result of an entry to the client that waits for it, if any.
func (r *Replica) respond(entry consensus.Entry, result Result) {
	waiting, ok := r.pending[entry.Index]
	if !ok {
		return
	}
	delete(r.pending, entry.Index)
	if waiting.term != entry.Term {
		waiting.response <- SubmitResponse{
			Status: SubmitUnknown,
			Reason: "the command was replaced in the log by an entry of another leader",
		}
		return
	}
	waiting.response <- SubmitResponse{
		Status: SubmitDone,
		Result: result,
	}
}

// failPending responds to all pending commands with a status and a reason.
func (r *Replica) failPending(status SubmitStatus, reason string) {
	for index, w := range r.pending {
		w.response <- SubmitResponse{
			Status: status,
			Reason: reason,
		}
		delete(r.pending, index)
	}
}

// propose appends a command to the log if this replica is a leader that accepts commands,
// and rejects the command otherwise.
func (r *Replica) propose(p proposal) {
	if r.failed != nil {
		p.response <- SubmitResponse{
			Status: SubmitUnavailable,
			Reason: "this replica has stopped after a disk or log failure",
		}
		return
	}
	if !r.core.IsLeader() {
		p.response <- SubmitResponse{
			Status: SubmitNotLeader,
			Leader: r.leaderAddress(),
		}
		return
	}
	if !r.open() {
		p.response <- SubmitResponse{
			Status: SubmitUnavailable,
			Reason: "the control group does not have enough voters yet",
		}
		return
	}
	if reason := r.evacuationProblem(p.command.Evacuate); reason != "" {
		p.response <- SubmitResponse{
			Status: SubmitUnavailable,
			Reason: reason,
		}
		return
	}
	p.command.At = clock.Wall()
	if p.command.Join != nil {
		if r.applied < r.core.TermStart() {
			p.response <- SubmitResponse{
				Status: SubmitUnavailable,
				Reason: "the leader has not applied the commands of earlier terms yet",
			}
			return
		}
		r.holderActivity.setSinceLastChange(p.command.Join, clock.SinceBoot())
		r.machine.ledger.BoundJoin(p.command.Join)
	}
	data, err := cbor.Marshal(p.command)
	if err != nil {
		p.response <- SubmitResponse{
			Status: SubmitUnavailable,
			Reason: "encode the command: " + err.Error(),
		}
		return
	}
	index, term, ok := r.core.Propose(data)
	if !ok {
		p.response <- SubmitResponse{
			Status: SubmitUnavailable,
			Reason: "the leader is transferring its leadership",
		}
		return
	}
	r.pending[index] = pendingCommand{
		term:     term,
		response: p.response,
	}
}

// Submit submits a command to this replica and waits for the response until ctx ends.
func (r *Replica) Submit(ctx context.Context, command Command) SubmitResponse {
	began := clock.SinceBoot()
	response := r.submit(ctx, command)
	r.recordSubmit(command, response, clock.SinceBoot()-began)
	return response
}

func (r *Replica) submit(ctx context.Context, command Command) SubmitResponse {
	p := proposal{
		command:  command,
		response: make(chan SubmitResponse, 1),
	}
	select {
	case r.proposals <- p:
	case <-r.ctx.Done():
		return SubmitResponse{
			Status: SubmitUnavailable,
			Reason: "the replica is shutting down",
		}
	case <-ctx.Done():
		return SubmitResponse{
			Status: SubmitUnavailable,
			Reason: "the replica's queue of commands stayed full until the deadline",
		}
	}
	select {
	case response := <-p.response:
		return response
	case <-r.ctx.Done():
	case <-ctx.Done():
	}
	return SubmitResponse{
		Status: SubmitUnknown,
		Reason: "no response before the deadline or the replica's shutdown",
	}
}
