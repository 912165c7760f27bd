package wire

import (
	"context"
	"errors"
	"net/netip"
)

// Sparse calls and messages peers whose connections are idle most of the time. They are pinged
// rarely; a connection that has stopped forwarding packets is closed after some calls in a row that
// got no response in time.
type Sparse struct {
	endpoint *Endpoint
}

// Sparse returns the endpoint for the use described there. It is for peers that are not called
// otherwise.
func (e *Endpoint) Sparse() Sparse {
	return Sparse{endpoint: e}
}

// Call is like Endpoint.Call.
func (s Sparse) Call(ctx context.Context, address netip.AddrPort, method Method, request, response any) error {
	p := s.endpoint.peer(address)
	p.sparse.Store(true)
	err := s.endpoint.Call(ctx, address, method, request, response)
	switch {
	case err == nil:
		p.timeouts.Store(0)
	case errors.Is(ctx.Err(), context.DeadlineExceeded) && p.timeouts.Add(1) >= sparseTimeouts:
		p.timeouts.Store(0)
		p.closeConn(nil)
	}
	return err
}

// Send is like Endpoint.Send.
func (s Sparse) Send(address netip.AddrPort, method Method, value any) {
	s.endpoint.peer(address).sparse.Store(true)
	s.endpoint.Send(address, method, value)
}

// Open is like Endpoint.Open.
func (s Sparse) Open(ctx context.Context, address netip.AddrPort, method Method) (*Channel, error) {
	s.endpoint.peer(address).sparse.Store(true)
	return s.endpoint.Open(ctx, address, method)
}
