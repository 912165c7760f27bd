package controlclient

import (
	"context"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"github.com/waxwingreel/waxwingreel/clock"
	"github.com/waxwingreel/waxwingreel/control"
	"github.com/waxwingreel/waxwingreel/ledger"
)

// Submit sends a command to the leader and waits for its result until ctx ends. It
// retries a command whose response was lost, which is safe because commands are idempotent.
func (c *Client) Submit(ctx context.Context, command control.Command) (control.Result, error) {
	unknown := false
	var last error
	for i := 0; ctx.Err() == nil; i++ {
		address := c.nextTarget(i)
		response, err := c.submitOnce(ctx, address, command)
		switch {
		case err != nil:
			// The command may have arrived even though no response did.
			unknown = true
			last = err
			c.markUnresponsive(address)
		case response.Status == control.SubmitDone:
			return response.Result, nil
		case response.Status == control.SubmitNotLeader:
			last = eris.Errorf("control node %s is not the leader", address)
			if c.learnLeader(response.Leader, address) {
				continue
			}
		default:
			unknown = unknown || response.Status == control.SubmitUnknown
			last = eris.New(response.Reason)
		}
		c.forgetLeader(address)
		select {
		case <-ctx.Done():
		case <-time.After(retryInterval):
		}
	}
	if unknown {
		return control.Result{}, eris.Wrapf(ErrUnknown, "%v", last)
	}
	return control.Result{}, eris.Wrapf(ErrUnavailable, "%v", last)
}

// markUnresponsive records that a control node did not respond, so that it is skipped for
// unresponsivePeriod.
func (c *Client) markUnresponsive(address netip.AddrPort) {
	c.unresponsiveMu.Lock()
	defer c.unresponsiveMu.Unlock()
	c.unresponsiveUntil[address] = time.Now().Add(unresponsivePeriod)
}

func (c *Client) isUnresponsive(address netip.AddrPort) bool {
	c.unresponsiveMu.Lock()
	defer c.unresponsiveMu.Unlock()
	return time.Now().Before(c.unresponsiveUntil[address])
}

// learnLeader stores the leader that a control node named, unless that is the node itself
// or did not respond recently. It reports whether to try the leader at once.
func (c *Client) learnLeader(leader, from netip.AddrPort) bool {
	if !leader.IsValid() || leader == from || c.isUnresponsive(leader) {
		return false
	}
	c.leader.Store(&leader)
	return true
}

// forgetLeader clears the stored leader if it has the given address.
func (c *Client) forgetLeader(address netip.AddrPort) {
	if leader := c.leader.Load(); *leader == address {
		c.leader.CompareAndSwap(leader, &netip.AddrPort{})
	}
}

func (c *Client) submitOnce(ctx context.Context, address netip.AddrPort, command control.Command) (control.SubmitResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	response := control.SubmitResponse{}
	err := c.cfg.Endpoint.Call(ctx, address, control.MethodSubmit, command, &response)
	return response, err
}

// nextTarget returns the leader if it is known and responsive. Otherwise it returns the
// control nodes in turn, preferring those that are not marked unresponsive.
func (c *Client) nextTarget(attempt int) netip.AddrPort {
	if leader := *c.leader.Load(); leader.IsValid() && !c.isUnresponsive(leader) {
		return leader
	}
	replicas := c.Replicas()
	for i := range replicas {
		if address := replicas[(attempt+i)%len(replicas)]; !c.isUnresponsive(address) {
			return address
		}
	}
	return replicas[attempt%len(replicas)]
}

// Query requests a part of the state from the leader and retries until ctx ends.
func (c *Client) Query(ctx context.Context, query control.Query) (control.QueryResponse, error) {
	var last error = ErrUnavailable
	for i := 0; ctx.Err() == nil; i++ {
		address := c.nextTarget(i)
		response, err := c.QueryReplica(ctx, address, query)
		switch {
		case err != nil:
			last = err
			c.markUnresponsive(address)
		case response.Status == control.SubmitDone:
			return response, nil
		case c.learnLeader(response.Leader, address):
			continue
		}
		c.forgetLeader(address)
		select {
		case <-ctx.Done():
		case <-time.After(retryInterval):
		}
	}
	return control.QueryResponse{}, eris.Wrap(last, "controlclient: query the control group")
}

// QueryReplica sends a query to one control node, without retries.
func (c *Client) QueryReplica(ctx context.Context, address netip.AddrPort, query control.Query) (control.QueryResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	response := control.QueryResponse{}
	err := c.cfg.Endpoint.Call(ctx, address, control.MethodQuery, query, &response)
	return response, err
}

// Join registers this incarnation of the node with the ledger. It returns once that is
// done or rejected, or when ctx ends.
func (c *Client) Join(ctx context.Context) error {
	holder := c.Holder()
	result, err := c.Submit(ctx, control.Command{Join: &ledger.Join{
		Holder:    holder,
		Nonce:     c.cfg.Nonce,
		Boot:      c.cfg.Boot,
		Started:   c.cfg.Started,
		LimitRise: c.cfg.LimitRise,
		Age:       max(clock.SinceBoot()-c.cfg.Started, 0),
	}})
	if err != nil {
		return err
	}
	if !result.Joined {
		c.rejected.Store(true)
		return eris.Errorf("controlclient: a later incarnation of node %s is already registered; another process may use this node name, or the clock was set back", holder.Node)
	}
	holder.Incarnation = result.Incarnation
	c.holder.Store(&holder)
	c.joinedAt.Store(int64(clock.SinceBoot()))
	c.joined.Store(true)
	c.SendHeartbeat()
	return nil
}
