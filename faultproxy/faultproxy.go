// Package faultproxy forwards TCP and UDP traffic and injects faults: delay, loss,
// duplication, reordering, partitions in one or both directions, blackholed connections and
// resets. It is for tests.
package faultproxy

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// maxPacketSize is the largest UDP packet, in bytes.
const maxPacketSize = 64 << 10

// Faults are the faults injected into the traffic in one direction.
type Faults struct {
	// Cut drops all UDP packets and holds TCP data back until it is false again.
	Cut bool
	// Each packet is delayed by Delay and a random part of Jitter, which reorders
	// UDP packets.
	Delay  time.Duration
	Jitter time.Duration
	// LossPerMille is the share of UDP packets that are dropped. Of TCP data, it is the
	// share of writes that are delayed, as by a retransmission.
	LossPerMille int
	// DuplicatePerMille is the share of UDP packets that are sent twice.
	DuplicatePerMille int
}

// Direction identifies the traffic from one named endpoint to another.
type Direction struct {
	From string
	To   string
}

// Network holds the faults between named endpoints. It is safe for concurrent use.
type Network struct {
	mu            sync.Mutex
	rng           *rand.Rand
	faults        map[Direction]Faults
	defaultFaults Faults
	endpoints     map[netip.AddrPort]string
}

// NewNetwork returns a network without faults.
func NewNetwork(seed uint64) *Network {
	return &Network{
		rng:       rand.New(rand.NewPCG(seed, seed)),
		faults:    map[Direction]Faults{},
		endpoints: map[netip.AddrPort]string{},
	}
}

// SetEndpoint sets the name of the endpoint that sends from a UDP address.
func (n *Network) SetEndpoint(address netip.AddrPort, endpoint string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.endpoints[address] = endpoint
}

// SetDefaultFaults sets the faults of all directions that have none of their own.
func (n *Network) SetDefaultFaults(f Faults) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.defaultFaults = f
}

// SetFaults sets the faults of one direction.
func (n *Network) SetFaults(direction Direction, f Faults) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults[direction] = f
}

// ClearFaults removes the faults of all single directions, so that the default faults
// apply to them.
func (n *Network) ClearFaults() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults = map[Direction]Faults{}
}

// delivery decides how many copies of a packet arrive, and after which delay.
func (n *Network) delivery(direction Direction) (copies int, delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f, ok := n.faults[direction]
	if !ok {
		f = n.defaultFaults
	}
	if f.Cut || n.rng.IntN(1000) < f.LossPerMille {
		return 0, 0
	}
	copies = 1
	if n.rng.IntN(1000) < f.DuplicatePerMille {
		copies = 2
	}
	delay = f.Delay
	if f.Jitter > 0 {
		delay += time.Duration(n.rng.Int64N(int64(f.Jitter)))
	}
	return copies, delay
}

func (n *Network) endpoint(address netip.AddrPort) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.endpoints[netip.AddrPortFrom(address.Addr().Unmap(), address.Port())]
}

// UDP forwards the packets for one endpoint.
type UDP struct {
	network  *Network
	endpoint string
	socket   *net.UDPConn
	target   *net.UDPAddr

	mu     sync.Mutex
	flows  map[netip.AddrPort]*net.UDPConn
	closed bool
}

// NewUDP starts a fault proxy that listens on an address and forwards packets to the
// target, which belongs to the named endpoint.
func NewUDP(network *Network, endpoint string, listen, target netip.AddrPort) (*UDP, error) {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(listen))
	if err != nil {
		return nil, eris.Wrapf(err, "faultproxy: listen on UDP address %s", listen)
	}
	u := &UDP{
		network:  network,
		endpoint: endpoint,
		socket:   socket,
		target:   net.UDPAddrFromAddrPort(target),
		flows:    map[netip.AddrPort]*net.UDPConn{},
	}
	go u.receive()
	return u, nil
}

// Address returns the address on which the fault proxy listens.
func (u *UDP) Address() netip.AddrPort {
	return u.socket.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Close stops the fault proxy.
func (u *UDP) Close() {
	_ = u.socket.Close()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.closed = true
	for _, flow := range u.flows {
		_ = flow.Close()
	}
}

func (u *UDP) receive() {
	buffer := make([]byte, maxPacketSize)
	for {
		size, from, err := u.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		flow := u.flow(from)
		if flow == nil {
			return
		}
		direction := Direction{
			From: u.network.endpoint(from),
			To:   u.endpoint,
		}
		u.network.forward(direction, buffer[:size], func(p []byte) { _, _ = flow.Write(p) })
	}
}

// forward delivers a packet with the faults of its direction.
func (n *Network) forward(direction Direction, packet []byte, deliver func([]byte)) {
	copies, delay := n.delivery(direction)
	for range copies {
		if delay == 0 {
			deliver(packet)
			continue
		}
		// The caller reuses the packet's buffer.
		copied := append([]byte(nil), packet...)
		time.AfterFunc(delay, func() { deliver(copied) })
	}
}

// flow returns the socket that forwards the packets of one sender.
func (u *UDP) flow(from netip.AddrPort) *net.UDPConn {
	u.mu.Lock()
	defer u.mu.Unlock()
	flow, ok := u.flows[from]
	if ok || u.closed {
		return flow
	}
	flow, err := net.DialUDP("udp", nil, u.target)
	if err != nil {
		return nil
	}
	u.flows[from] = flow
	go u.forwardResponses(flow, from)
	return flow
}

func (u *UDP) forwardResponses(flow *net.UDPConn, from netip.AddrPort) {
	buffer := make([]byte, maxPacketSize)
	direction := Direction{
		From: u.endpoint,
		To:   u.network.endpoint(from),
	}
	for {
		size, err := flow.Read(buffer)
		if err != nil {
			u.mu.Lock()
			closed := u.closed
			u.mu.Unlock()
			if closed {
				return
			}
			// The target is down and its port refuses packets.
			time.Sleep(time.Millisecond)
			continue
		}
		u.network.forward(direction, buffer[:size], func(p []byte) {
			_, _ = u.socket.WriteToUDPAddrPort(p, from)
		})
	}
}
