package uplink

import (
	"context"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"github.com/waxwingreel/waxwingreel/control"
	"github.com/waxwingreel/waxwingreel/ledger"
)

// Submit hands a command to the leader and waits for its result until ctx ends.
// Commands are idempotent, so that one whose answer was lost is sent again.
func (l *Link) Submit(ctx context.Context, command control.Command) (control.Result, error) {
	unknown := false
	var last error
	for i := 0; ctx.Err() == nil; i++ {
		address := l.target(i)
		answer, err := l.submitOnce(ctx, address, command)
		switch {
		case err != nil:
			// The command may have arrived even if the answer did not.
			unknown = true
			last = err
			l.avoid(address)
		case answer.Status == control.SubmitDone:
			return answer.Result, nil
		case answer.Status == control.SubmitNotLeader:
			last = eris.Errorf("%s does not lead", address)
			if l.learnLeader(answer.Leader, address) {
				continue
			}
		default:
			unknown = unknown || answer.Status == control.SubmitUnknown
			last = eris.New(answer.Reason)
		}
		l.forgetLeader(address)
		select {
		case <-ctx.Done():
		case <-time.After(retryPause):
		}
	}
	if unknown {
		return control.Result{}, eris.Wrapf(ErrUnknown, "%v", last)
	}
	return control.Result{}, eris.Wrapf(ErrUnavailable, "%v", last)
}

// avoid takes note that a control node did not answer.
func (l *Link) avoid(address netip.AddrPort) {
	l.avoidedMu.Lock()
	defer l.avoidedMu.Unlock()
	l.avoided[address] = time.Now().Add(avoidTime)
}

func (l *Link) avoids(address netip.AddrPort) bool {
	l.avoidedMu.Lock()
	defer l.avoidedMu.Unlock()
	return time.Now().Before(l.avoided[address])
}

// learnLeader takes a control node's word of who leads, unless that is itself or
// has just failed to answer. It reports whether to go there at once.
func (l *Link) learnLeader(leader, from netip.AddrPort) bool {
	if !leader.IsValid() || leader == from || l.avoids(leader) {
		return false
	}
	l.leader.Store(&leader)
	return true
}

func (l *Link) forgetLeader(address netip.AddrPort) {
	if leader := l.leader.Load(); *leader == address {
		l.leader.CompareAndSwap(leader, &netip.AddrPort{})
	}
}

func (l *Link) submitOnce(ctx context.Context, address netip.AddrPort, command control.Command) (control.SubmitAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, submitTime)
	defer cancel()
	answer := control.SubmitAnswer{}
	err := l.cfg.Endpoint.Call(ctx, address, control.MethodSubmit, command, &answer)
	return answer, err
}

// target returns the leader or, while it is not known, one control node after
// another that has not just failed to answer.
func (l *Link) target(attempt int) netip.AddrPort {
	if leader := *l.leader.Load(); leader.IsValid() && !l.avoids(leader) {
		return leader
	}
	replicas := l.Replicas()
	for i := range replicas {
		if address := replicas[(attempt+i)%len(replicas)]; !l.avoids(address) {
			return address
		}
	}
	return replicas[attempt%len(replicas)]
}

// Query asks the leader for a part of the state.
func (l *Link) Query(ctx context.Context, query control.Query) (control.QueryAnswer, error) {
	var last error = ErrUnavailable
	for i := 0; ctx.Err() == nil; i++ {
		address := l.target(i)
		answer, err := l.QueryReplica(ctx, address, query)
		switch {
		case err != nil:
			last = err
			l.avoid(address)
		case answer.Status == control.SubmitDone:
			return answer, nil
		case l.learnLeader(answer.Leader, address):
			continue
		}
		l.forgetLeader(address)
		select {
		case <-ctx.Done():
		case <-time.After(retryPause):
		}
	}
	return control.QueryAnswer{}, eris.Wrap(last, "uplink: query")
}

// QueryReplica asks one control node.
func (l *Link) QueryReplica(ctx context.Context, address netip.AddrPort, query control.Query) (control.QueryAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTime)
	defer cancel()
	answer := control.QueryAnswer{}
	err := l.cfg.Endpoint.Call(ctx, address, control.MethodQuery, query, &answer)
	return answer, err
}

// Join registers this life of the node and returns once that is done, or when ctx
// ends.
func (l *Link) Join(ctx context.Context) error {
	holder := l.Holder()
	result, err := l.Submit(ctx, control.Command{Join: &ledger.Join{
		Holder:  holder,
		Nonce:   l.cfg.Nonce,
		Boot:    l.cfg.Boot,
		Started: l.cfg.Started,
	}})
	if err != nil {
		return err
	}
	if !result.Joined {
		l.rejected.Store(true)
		return eris.Errorf("uplink: a later life of node %s is registered; another process may run under this name, or the clock went back", holder.Node)
	}
	holder.Incarnation = result.Incarnation
	l.holder.Store(&holder)
	l.joined.Store(true)
	return nil
}
