package gateway

import (
	"cmp"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/waxwingreel/waxwingreel/backend"
	"github.com/waxwingreel/waxwingreel/clock"
	"github.com/waxwingreel/waxwingreel/control"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/metrics"
	"github.com/waxwingreel/waxwingreel/placement"
	"github.com/waxwingreel/waxwingreel/routing"
	"github.com/waxwingreel/waxwingreel/wire"
)

// MethodRelay sends one request to an instance through another node. The node that is cut off opens the
// channel and sends a RelayRequest with Opens set, which the other node answers with a RelayResponse. If that is
// ready, the RelayRequest proper follows, whose time counts from the other node's answer. The node that is cut off
// receives a RelayResponse and then the body in a series of RelayChunk. Closing the channel cancels the request.
//
// Nodes of earlier versions know no Opens: they refuse it as a request for no instance, and get the request over
// another channel.
const MethodRelay wire.Method = "relay"

const (
	// maxRelays is the number of nodes that are asked to relay one request.
	maxRelays = 3
	// relayOpenTimeout limits the time in which a node answers that it is ready.
	relayOpenTimeout = 300 * time.Millisecond
	// relayRequestTimeout limits the time in which the request follows.
	relayRequestTimeout = 10 * time.Second
	// relayChunkBytes is the size of the pieces in which a body is relayed.
	relayChunkBytes = 16 << 10
)

// RelayRequest is a request to an instance.
type RelayRequest struct {
	// Opens is set if only the node's answer is asked for. Besides, only Request is set then.
	Opens bool `json:"opens,omitempty"`
	// Version is that of the configuration by which the request was decided, 0 from nodes that do not say it. They do
	// not send the four that follow either.
	Version    routing.Version       `json:"version,omitempty"`
	Service    fleet.ServiceID       `json:"service,omitempty"`
	Workspace  fleet.WorkspaceID     `json:"workspace,omitempty"`
	Key        string                `json:"key,omitempty"`
	Attempt    int                   `json:"attempt,omitempty"`
	Request    routing.RequestID     `json:"request"`
	Instance   fleet.BackendServerID `json:"instance"`
	Born       int64                 `json:"born,omitempty"`
	Method     string                `json:"method"`
	Target     string                `json:"target"`
	Host       string                `json:"host"`
	Header     http.Header           `json:"header"`
	Body       []byte                `json:"body,omitempty"`
	AtMostOnce bool                  `json:"atMostOnce,omitempty"`
	// Permitted is set if the request has a permit of a limited instance.
	Permitted bool `json:"permitted,omitempty"`
	// TimeoutMillis is the time until the request's deadline, as of the answer that the node is ready.
	TimeoutMillis int64 `json:"timeoutMillis"`
}

// RelayRefusal is why a node did not send a request to its instance.
type RelayRefusal string

const (
	// RelayIsolated means that the node is cut off from the instances too.
	RelayIsolated RelayRefusal = "isolated"
	// RelayBusy means that the node has no room, or is stopping.
	RelayBusy RelayRefusal = "busy"
	// RelayExcluded means that the instance takes no requests from the node: it leaves, is full, or is
	// not in the node's list.
	RelayExcluded RelayRefusal = "excluded"
	// RelayOutdated means that the node has a newer configuration, which does not allow the request.
	RelayOutdated RelayRefusal = "outdated"
	// RelayExpired means that the request came after its deadline.
	RelayExpired RelayRefusal = "expired"
	// RelayUnreachable means that the node could not connect to the instance.
	RelayUnreachable RelayRefusal = "unreachable"
)

// RelayResponse is the head of a response, or why there is none.
type RelayResponse struct {
	// Ready is set in the answer to a request that opens the channel, if the request proper may follow.
	Ready bool `json:"ready,omitempty"`
	// Refusal is set if nothing was sent to the instance.
	Refusal RelayRefusal `json:"refusal,omitempty"`
	// Version is that of the node's configuration, with RelayOutdated.
	Version routing.Version `json:"version,omitempty"`
	// Error is set if the request was sent and got no response.
	Error *RelayError `json:"error,omitempty"`

	Status  int             `json:"status,omitempty"`
	Header  http.Header     `json:"header,omitempty"`
	Length  int64           `json:"length"`
	Framing backend.Framing `json:"framing,omitempty"`
}

// RelayError is a failure between the relaying node and the instance.
type RelayError struct {
	Text string `json:"text"`
	// ClosedByServer is set if the instance closed or reset the connection.
	ClosedByServer bool `json:"closedByServer,omitempty"`
}

// RelayChunk is a piece of a body.
type RelayChunk struct {
	Data  []byte      `json:"data,omitempty"`
	End   bool        `json:"end,omitempty"`
	Error *RelayError `json:"error,omitempty"`
}

func newRelayError(err error) *RelayError {
	return &RelayError{
		Text:           err.Error(),
		ClosedByServer: backend.ClosedByServer(err),
	}
}

// err returns an error with the same meaning as that on the relaying node.
func (e *RelayError) err(node fleet.NodeID) error {
	if e.ClosedByServer {
		return eris.Wrapf(syscall.ECONNRESET, "relayed by %s: %s", node, e.Text)
	}
	return eris.Errorf("relayed by %s: %s", node, e.Text)
}

// channelError returns an error without the cause of a failed channel. The end of a channel must not be
// taken for the end of a connection by the instance.
func channelError(node fleet.NodeID, err error) error {
	return eris.Errorf("relayed by %s: the channel failed: %v", node, err)
}

// errNoRelay means that this node is isolated and no other node relays for it.
var errNoRelay = eris.New("this node is cut off from the instances and no other node relays its requests")

// send sends the request of an attempt: over a connection of this node or, while the node is isolated, through
// another one. An error is a *backend.SendError.
func (x *exchange) send(ctx context.Context, placed *placement.Assignment, out backend.Outgoing) (*backend.Incoming, error) {
	if !x.s.Isolated() {
		in, err := x.s.conns.Do(ctx, out)
		sendErr := (*backend.SendError)(nil)
		if err == nil || !eris.As(err, &sendErr) || sendErr.Sent || ctx.Err() != nil || !x.s.paths.awaitRound(ctx) {
			return in, err
		}
	}
	x.relayed = true
	return x.sendThroughPeer(ctx, placed, out)
}

// sendThroughPeer asks other nodes to relay the request until one of them does.
func (x *exchange) sendThroughPeer(ctx context.Context, placed *placement.Assignment, out backend.Outgoing) (*backend.Incoming, error) {
	if out.Revoked() {
		return nil, &backend.SendError{Err: eris.Wrapf(backend.ErrRevoked, "relay to %s", out.Instance.ID)}
	}
	decided := x.decision()
	request := RelayRequest{
		Version:    x.view.Config.Version,
		Service:    decided.Service,
		Workspace:  decided.Workspace,
		Key:        decided.Key,
		Attempt:    decided.Attempt,
		Request:    x.request.ID,
		Instance:   out.Instance.ID,
		Born:       placed.Instance.Born,
		Method:     out.Method,
		Target:     out.Target,
		Host:       out.Host,
		Header:     out.Header,
		Body:       out.Body,
		AtMostOnce: out.AtMostOnce,
		Permitted:  x.permitted,
	}
	last := error(errNoRelay)
	for _, relay := range x.s.peers.relays(x.s.cfg.DataCentre, maxRelays) {
		in, refusal, err := x.relay(ctx, relay, request)
		x.countRelay(refusal, err)
		x.relayedBy = relay.node
		if refusal == "" {
			return in, err
		}
		switch refusal {
		case RelayOutdated, RelayExpired:
			return nil, err
		case RelayIsolated:
			x.s.peers.markIsolated(relay.node)
		case RelayBusy:
			last = eris.Errorf("relay to %s: %s has no room", out.Instance.ID, relay.node)
		default:
			return nil, &backend.SendError{Err: eris.Errorf("relay by %s to %s: %s", relay.node, out.Instance.ID, refusal)}
		}
	}
	return nil, &backend.SendError{Err: last}
}

// relayNode is a node that may relay.
type relayNode struct {
	node    fleet.NodeID
	address netip.AddrPort
}

// relay sends the request through a node. It returns a refusal if nothing was sent to the instance. An error
// is a *backend.SendError; of the refusals only RelayOutdated and RelayExpired come with one.
func (x *exchange) relay(ctx context.Context, r relayNode, request RelayRequest) (*backend.Incoming, RelayRefusal, error) {
	ch, refusal := x.openRelay(ctx, r)
	if refusal != "" {
		return nil, refusal, nil
	}
	left := x.deadline - clock.SinceBoot()
	if left <= 0 {
		ch.Close()
		return nil, RelayExpired, &backend.SendError{Err: eris.Wrapf(backend.ErrExpired, "relay by %s", r.node)}
	}
	request.TimeoutMillis = left.Milliseconds()
	stop := context.AfterFunc(ctx, ch.Close)
	failed := func(err error) (*backend.Incoming, RelayRefusal, error) {
		stop()
		ch.Close()
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return nil, "", &backend.SendError{
			Sent: true,
			Err:  err,
		}
	}
	if err := ch.Send(request); err != nil {
		return failed(channelError(r.node, err))
	}
	response := RelayResponse{}
	if err := ch.Receive(&response); err != nil {
		return failed(channelError(r.node, err))
	}
	switch {
	case response.Refusal == RelayExpired:
		stop()
		ch.Close()
		return nil, RelayExpired, &backend.SendError{Err: eris.Wrapf(backend.ErrExpired, "relay by %s", r.node)}
	case response.Refusal == RelayOutdated:
		stop()
		ch.Close()
		return nil, RelayOutdated, &backend.SendError{Err: &outdatedError{
			relay:   r.node,
			version: response.Version,
		}}
	case response.Refusal != "":
		stop()
		ch.Close()
		return nil, response.Refusal, nil
	case response.Error != nil:
		return failed(response.Error.err(r.node))
	case !backend.FinalStatus(response.Status):
		return failed(eris.Errorf("relayed by %s: a head with status %03d is no response", r.node, response.Status))
	}
	body := &relayedBody{
		node: r.node,
		ch:   ch,
	}
	return &backend.Incoming{
		Status:  response.Status,
		Header:  response.Header,
		Body:    io.NopCloser(body),
		Length:  response.Length,
		Framing: response.Framing,
		End: func(bool) {
			stop()
			ch.Close()
		},
	}, "", nil
}

// openRelay opens a channel to a node and waits until the node is ready. It returns a refusal if the node is not.
func (x *exchange) openRelay(ctx context.Context, r relayNode) (*wire.Channel, RelayRefusal) {
	ctx, cancel := context.WithTimeout(ctx, relayOpenTimeout)
	defer cancel()
	ch, response, err := x.s.askReady(ctx, r, x.request.ID)
	switch {
	case err != nil && x.ctx.Err() == nil:
		x.s.peers.markUnresponsive(r.node, err)
		return nil, RelayBusy
	case err != nil:
		return nil, RelayBusy
	case response.Ready:
		return ch, ""
	}
	ch.Close()
	if response.Refusal != RelayExcluded {
		return nil, cmp.Or(response.Refusal, RelayBusy)
	}
	// A node of an earlier version, which runs what it gets. So it only gets what was decided by a recent configuration.
	if x.s.cfg.Control.Unconfirmed() > control.ConfigurationBound {
		return nil, RelayBusy
	}
	if ch, err = x.s.cfg.Peers.Open(ctx, r.address, MethodRelay); err != nil {
		return nil, RelayBusy
	}
	return ch, ""
}

// askReady opens a channel to a node and receives its answer.
func (s *Server) askReady(ctx context.Context, r relayNode, id routing.RequestID) (*wire.Channel, RelayResponse, error) {
	ch, err := s.cfg.Peers.Open(ctx, r.address, MethodRelay)
	if err != nil {
		return nil, RelayResponse{}, err
	}
	stop := context.AfterFunc(ctx, ch.Close)
	response := RelayResponse{}
	opens := RelayRequest{
		Opens:   true,
		Request: id,
	}
	if err = ch.Send(opens); err == nil {
		err = ch.Receive(&response)
	}
	if !stop() {
		err = context.Cause(ctx)
	}
	if err != nil {
		ch.Close()
	}
	return ch, response, err
}

func (x *exchange) countRelay(refusal RelayRefusal, err error) {
	outcome := string(refusal)
	switch {
	case refusal != "":
	case err != nil:
		outcome = "failed"
	default:
		outcome = "sent"
	}
	x.s.cfg.Metrics.Count("relays", metrics.Label{
		Name:  "outcome",
		Value: outcome,
	})
}

// relayedBody reads the body of a response from a channel.
type relayedBody struct {
	node fleet.NodeID
	ch   *wire.Channel
	rest []byte
	end  error
}

// Read implements io.Reader.
func (b *relayedBody) Read(p []byte) (int, error) {
	for len(b.rest) == 0 {
		if b.end != nil {
			return 0, b.end
		}
		chunk := RelayChunk{}
		err := b.ch.Receive(&chunk)
		switch {
		case err != nil:
			b.end = channelError(b.node, err)
		case chunk.Error != nil:
			b.end = chunk.Error.err(b.node)
		case chunk.End:
			b.end = io.EOF
		}
		b.rest = chunk.Data
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

// relays returns up to n nodes that may relay, in random order. Those in this node's data centre come first,
// unless most of them are isolated: the rest would get the requests of all.
func (p *peers) relays(dataCentre fleet.DataCentre, n int) []relayNode {
	p.ownerSet()
	var local, remote []relayNode
	isolated := 0
	for _, report := range p.controlClient.Roster() {
		near := report.DataCentre == dataCentre
		address, ok := p.address(report.Holder.Node)
		switch {
		case !report.TakesCallers() || report.Holder.Node == p.node:
		case report.Isolated && near:
			isolated++
		case report.Isolated || !ok || p.isIsolated(report.Holder.Node):
		case near:
			local = append(local, relayNode{
				node:    report.Holder.Node,
				address: address,
			})
		default:
			remote = append(remote, relayNode{
				node:    report.Holder.Node,
				address: address,
			})
		}
	}
	shuffle := func(nodes []relayNode) {
		rand.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	}
	shuffle(local)
	shuffle(remote)
	all := append(local, remote...)
	if isolated >= len(local) {
		shuffle(all)
	}
	return all[:min(n, len(all))]
}
