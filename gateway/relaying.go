package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"github.com/waxwingreel/waxwingreel/backend"
	"github.com/waxwingreel/waxwingreel/clock"
	"github.com/waxwingreel/waxwingreel/event"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/intake"
	"github.com/waxwingreel/waxwingreel/placement"
	"github.com/waxwingreel/waxwingreel/routing"
	"github.com/waxwingreel/waxwingreel/wire"
)

// HandleRelay handles MethodRelay. It sends the request to the instance over a connection of this node only, so
// that no request circles.
func (s *Server) HandleRelay(ctx context.Context, from fleet.NodeID, ch *wire.Channel) {
	defer ch.Close()
	r := relaying{
		s:    s,
		from: from,
		ch:   ch,
	}
	ok, err := r.receive()
	if err != nil {
		s.cfg.Log.Warn(event.PeerLost).Str("from", string(from)).Err(err).Msg("cannot read a request to relay")
	}
	if !ok {
		return
	}
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	buffers := intake.Allocation{Room: s.cfg.Room}
	defer buffers.Release()
	if s.draining.Load() || !s.places.take() {
		r.refuse(RelayBusy)
		return
	}
	defer s.places.release()
	if !buffers.Take(int64(len(r.request.Body) + relayChunkBytes)) {
		r.refuse(RelayBusy)
		return
	}
	ctx, cancel := context.WithTimeoutCause(ctx, r.deadline-clock.SinceBoot(), errDeadline)
	defer cancel()
	go func() {
		// The other node sends nothing more. The end of the channel is all that there is to read.
		_ = ch.Receive(&struct{}{})
		cancel()
	}()
	r.run(ctx)
}

// relaying is a request that this node sends for another one.
type relaying struct {
	s       *Server
	from    fleet.NodeID
	request RelayRequest
	// received is when the request came, deadline when its time ends, both on the boot clock.
	received time.Duration
	deadline time.Duration
	ch       *wire.Channel
}

// receive receives the request. It returns false if there is none to send.
func (r *relaying) receive() (ok bool, err error) {
	if err := r.ch.Receive(&r.request); err != nil {
		return false, err
	}
	// The time on the way counts: the other node reads its clock after it has got the answer.
	ready := clock.SinceBoot()
	r.received = ready
	if r.request.Opens {
		if refusal := r.s.notReady(); refusal != "" {
			r.refuse(refusal)
			return false, nil
		}
		if err := r.ch.Send(RelayResponse{Ready: true}); err != nil {
			return false, err
		}
		defer time.AfterFunc(relayRequestTimeout, r.ch.Close).Stop()
		r.request = RelayRequest{}
		if err := r.ch.Receive(&r.request); err != nil {
			return false, err
		}
	}
	r.received = clock.SinceBoot()
	r.deadline = ready + time.Duration(r.request.TimeoutMillis)*time.Millisecond
	return true, nil
}

// notReady returns why the node relays nothing now, empty if it may.
func (s *Server) notReady() RelayRefusal {
	switch {
	case s.Isolated():
		return RelayIsolated
	case s.draining.Load() || s.view.Load() == nil:
		return RelayBusy
	}
	return ""
}

// line returns a line of event.RequestRelayed.
func (r *relaying) line() *log.Entry {
	own := uint64(0)
	if view := r.s.view.Load(); view != nil {
		own = uint64(view.Config.Version)
	}
	return r.s.cfg.Log.Info(event.RequestRelayed).
		Str("request", string(r.request.Request)).
		Str("instance", string(r.request.Instance)).
		Str("from", string(r.from)).
		Uint64("version", uint64(r.request.Version)).
		Uint64("ownVersion", own).
		Int64("unconfirmedMillis", r.s.cfg.Control.Unconfirmed().Milliseconds()).
		Int64("heldMillis", (clock.SinceBoot()-r.received).Milliseconds()).
		Int64("timeoutMillis", r.request.TimeoutMillis)
}

func (r *relaying) refuse(refusal RelayRefusal) {
	r.line().
		Str("refusal", string(refusal)).
		Msg("request of another node was not relayed")
	response := RelayResponse{Refusal: refusal}
	if view := r.s.view.Load(); view != nil && refusal == RelayOutdated {
		response.Version = view.Config.Version
	}
	_ = r.ch.Send(response)
}

// outdated reports whether this node has a newer configuration, which does not allow the request. What only the other
// node's configuration has is sent as that node decided it.
func (r *relaying) outdated(service fleet.ServiceID) bool {
	path, _, _ := strings.Cut(r.request.Target, "?")
	if r.request.Version == 0 {
		return !r.s.view.Load().AllowsService(r.request.Host, path, service)
	}
	return r.s.outdated(r.request.Version, routing.Decision{
		Host:       r.request.Host,
		Path:       path,
		Key:        r.request.Key,
		Service:    service,
		Workspace:  r.request.Workspace,
		Repeatable: !r.request.AtMostOnce,
		Attempt:    r.request.Attempt,
	})
}

func (r *relaying) run(ctx context.Context) {
	s := r.s
	instance, ok := s.dispatch.mayRelay(r.request)
	switch {
	case s.Isolated():
		r.refuse(RelayIsolated)
		return
	case !ok || r.request.Service != "" && r.request.Service != instance.Service:
		r.refuse(RelayExcluded)
		return
	case s.view.Load() == nil:
		r.refuse(RelayBusy)
		return
	case r.outdated(instance.Service):
		r.refuse(RelayOutdated)
		return
	case clock.SinceBoot() >= r.deadline:
		r.refuse(RelayExpired)
		return
	}
	placed := &placement.Assignment{Instance: instance}
	in, err := s.conns.Do(ctx, r.outgoing(placed))
	sendErr := (*backend.SendError)(nil)
	switch {
	case err == nil:
	case !eris.As(err, &sendErr) || sendErr.Sent:
		s.conns.Retire(backendInstance(instance))
		_ = r.ch.Send(RelayResponse{Error: newRelayError(err)})
		return
	case eris.Is(err, backend.ErrExpired):
		r.refuse(RelayExpired)
		return
	case r.outdated(instance.Service):
		r.refuse(RelayOutdated)
		return
	case s.paths.awaitRound(ctx):
		r.refuse(RelayIsolated)
		return
	default:
		r.refuse(RelayUnreachable)
		return
	}
	s.dispatch.responseRead(instance.Service, placed, s.cfg.Protocol.ReadResponse(in.Status, in.Header))
	r.line().
		Int("status", in.Status).
		Msg("relays the response to a request of another node")
	err = r.ch.Send(RelayResponse{
		Status:  in.Status,
		Header:  in.Header,
		Length:  in.Length,
		Framing: in.Framing,
	})
	in.Finish(err == nil && r.relayBody(in))
}

func (r *relaying) outgoing(placed *placement.Assignment) backend.Outgoing {
	if r.request.Header == nil {
		r.request.Header = http.Header{}
	}
	r.s.cfg.Protocol.SetTimeout(r.request.Header, r.deadline-clock.SinceBoot())
	return backend.Outgoing{
		Instance:   backendInstance(placed.Instance),
		Method:     r.request.Method,
		Target:     r.request.Target,
		Host:       r.request.Host,
		Header:     r.request.Header,
		Body:       r.request.Body,
		AtMostOnce: r.request.AtMostOnce,
		Deadline:   r.deadline,
		Match: func(status int, header http.Header) backend.Match {
			return r.s.cfg.Protocol.Match(r.request.Request, status, header)
		},
		Revoked: func() bool {
			return !r.s.dispatch.maySend(placed.Instance.Service, placed, r.request.Permitted) || r.outdated(placed.Instance.Service)
		},
	}
}

// relayBody relays the body of a response and reports whether it was read to its end.
func (r *relaying) relayBody(in *backend.Incoming) bool {
	buffer := make([]byte, relayChunkBytes)
	for {
		n, err := in.Body.Read(buffer)
		chunk := RelayChunk{Data: buffer[:n]}
		switch {
		case err == io.EOF:
			chunk.End = true
		case err != nil:
			chunk.Error = newRelayError(err)
		}
		if sendErr := r.ch.Send(chunk); sendErr != nil || err != nil {
			return sendErr == nil && err == io.EOF
		}
	}
}

// mayRelay returns the instance of a request of another node. It returns false if the instance takes no requests
// from this node, or is not known to it.
func (d *dispatcher) mayRelay(r RelayRequest) (instance routing.Instance, ok bool) {
	d.DoAndWait(func() {
		instance, ok = d.instances[r.Instance]
		ok = ok && instance.Born == r.Born &&
			d.forecast(instance.Service).MaySend(&placement.Assignment{Instance: instance}, r.Permitted, clock.SinceBoot())
	})
	return instance, ok
}
