package control

import (
	"context"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/waxwingreel/waxwingreel/clock"
	"github.com/waxwingreel/waxwingreel/consensus"
	"github.com/waxwingreel/waxwingreel/event"
	"github.com/waxwingreel/waxwingreel/wire"
)

func (r *Replica) apply(entries []consensus.Entry) {
	all := effects{}
	for _, entry := range entries {
		r.applied = entry.Index
		if entry.Kind != consensus.EntryCommand {
			r.answer(entry, Result{})
			continue
		}
		command := Command{}
		if err := wire.Decode(entry.Data, &command); err != nil {
			// Every replica fails alike on such an entry, which no leader
			// of this version can have written.
			r.fail(eris.Wrapf(err, "control: decode entry %d", entry.Index))
			return
		}
		result, effect := r.machine.apply(command)
		all.catalog = all.catalog || effect.catalog
		all.routing = all.routing || effect.routing
		all.nodes = all.nodes || effect.nodes
		all.recalls = append(all.recalls, effect.recalls...)
		// An entry of an earlier term is carried out by a new leader later than
		// its holder can have heard of it.
		if own := r.core.IsLeader() && entry.Term == r.core.Term(); own {
			if command.Sequence != nil {
				r.holderActivity.recordApplied(*command.Sequence, clock.Boot())
			}
			r.logApplied(command, result)
		}
		r.answer(entry, result)
	}
	if all.any() {
		r.notify(all)
	}
}

// logApplied writes what a command of this leader's term decided.
func (r *Replica) logApplied(command Command, result Result) {
	if command.Join != nil {
		r.cfg.Log.Info(event.LifeJoined).
			Str("holder", string(command.Join.Holder.Node)).
			Uint64("incarnation", uint64(result.Incarnation)).
			Bool("joined", result.Joined).
			Int64("forfeitedTokens", int64(result.forfeit.Spent)).
			Int64("returnedTokens", int64(result.forfeit.Returned)).
			Msg("a node's life joined; the leases of the one before have ended")
	}
	if command.Configure != nil {
		r.cfg.Log.Info(event.ConfigReplaced).
			Uint64("version", uint64(command.Configure.Config.Version)).
			Uint64("inForce", uint64(result.Configured)).
			Msg("a configuration was committed")
	}
}

func (r *Replica) answer(entry consensus.Entry, result Result) {
	w, ok := r.pending[entry.Index]
	if !ok {
		return
	}
	delete(r.pending, entry.Index)
	if w.term != entry.Term {
		w.answer <- SubmitAnswer{
			Status: SubmitUnknown,
			Reason: "another leader's entry took the place",
		}
		return
	}
	w.answer <- SubmitAnswer{
		Status: SubmitDone,
		Result: result,
	}
}

func (r *Replica) failPending(status SubmitStatus, reason string) {
	for index, w := range r.pending {
		w.answer <- SubmitAnswer{
			Status: status,
			Reason: reason,
		}
		delete(r.pending, index)
	}
}

func (r *Replica) propose(p proposal) {
	if r.failed != nil {
		p.answer <- SubmitAnswer{
			Status: SubmitUnavailable,
			Reason: "this replica's disk failed",
		}
		return
	}
	if !r.core.IsLeader() {
		p.answer <- SubmitAnswer{
			Status: SubmitNotLeader,
			Leader: r.leaderAddress(),
		}
		return
	}
	if !r.open() {
		p.answer <- SubmitAnswer{
			Status: SubmitUnavailable,
			Reason: "the control group is still forming",
		}
		return
	}
	p.command.At = clock.Wall()
	if p.command.Join != nil {
		r.holderActivity.setSince(p.command.Join, clock.Boot())
	}
	data, err := cbor.Marshal(p.command)
	if err != nil {
		p.answer <- SubmitAnswer{
			Status: SubmitUnavailable,
			Reason: "encode the command: " + err.Error(),
		}
		return
	}
	index, term, ok := r.core.Propose(data)
	if !ok {
		p.answer <- SubmitAnswer{
			Status: SubmitUnavailable,
			Reason: "the leader is handing over",
		}
		return
	}
	r.pending[index] = pendingCommand{
		term:   term,
		answer: p.answer,
	}
}

// Submit hands a command to this replica.
func (r *Replica) Submit(ctx context.Context, command Command) SubmitAnswer {
	began := clock.Boot()
	answer := r.submit(ctx, command)
	r.recordSubmit(command, answer, clock.Boot()-began)
	return answer
}

func (r *Replica) submit(ctx context.Context, command Command) SubmitAnswer {
	p := proposal{
		command: command,
		answer:  make(chan SubmitAnswer, 1),
	}
	select {
	case r.proposals <- p:
	case <-r.ctx.Done():
		return SubmitAnswer{
			Status: SubmitUnavailable,
			Reason: "the replica is stopping",
		}
	case <-ctx.Done():
		return SubmitAnswer{
			Status: SubmitUnavailable,
			Reason: "the replica is busy",
		}
	}
	select {
	case answer := <-p.answer:
		return answer
	case <-r.ctx.Done():
	case <-ctx.Done():
	}
	return SubmitAnswer{
		Status: SubmitUnknown,
		Reason: "no answer in time",
	}
}
