// Package relay passes TCP and UDP traffic on and injects faults into it: delay,
// loss, reordering, cuts in one or both directions, silence and resets. It is for
// tests.
package relay

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// maxPacket bounds a UDP packet, in bytes.
const maxPacket = 64 << 10

// Faults is what happens to the traffic in one direction.
type Faults struct {
	// Cut drops everything.
	Cut bool
	// Delay is added to each packet, and a random part of Jitter, which
	// reorders UDP packets.
	Delay  time.Duration
	Jitter time.Duration
	// LossPerMille of the UDP packets are dropped.
	LossPerMille int
	// DuplicatePerMille of the UDP packets are sent twice.
	DuplicatePerMille int
}

// Pair names a direction: from one place to another.
type Pair struct {
	From string
	To   string
}

// Network holds the faults between named places. It is safe for concurrent use.
type Network struct {
	mu     sync.Mutex
	rng    *rand.Rand
	faults map[Pair]Faults
	common Faults
	places map[netip.AddrPort]string
}

// NewNetwork returns a network without faults.
func NewNetwork(seed uint64) *Network {
	return &Network{
		rng:    rand.New(rand.NewPCG(seed, seed)),
		faults: map[Pair]Faults{},
		places: map[netip.AddrPort]string{},
	}
}

// SetEndpoint tells which place sends from a UDP address.
func (n *Network) SetEndpoint(address netip.AddrPort, place string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.places[address] = place
}

// SetDefaultFaults sets the faults of all pairs that have none of their own.
func (n *Network) SetDefaultFaults(f Faults) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.common = f
}

// SetFaults sets the faults of one direction.
func (n *Network) SetFaults(pair Pair, f Faults) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults[pair] = f
}

// ClearFaults removes the faults of all pairs.
func (n *Network) ClearFaults() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults = map[Pair]Faults{}
}

// fate decides what becomes of a packet: how many copies arrive, and when.
func (n *Network) fate(pair Pair) (copies int, delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f, ok := n.faults[pair]
	if !ok {
		f = n.common
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

func (n *Network) place(address netip.AddrPort) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.places[netip.AddrPortFrom(address.Addr().Unmap(), address.Port())]
}

// UDP passes the packets for one place on.
type UDP struct {
	network *Network
	place   string
	socket  *net.UDPConn
	target  *net.UDPAddr

	mu     sync.Mutex
	flows  map[netip.AddrPort]*net.UDPConn
	closed bool
}

// NewUDP starts a relay that listens on an address and passes packets on to the
// target, which is at the named place.
func NewUDP(network *Network, place string, listen, target netip.AddrPort) (*UDP, error) {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(listen))
	if err != nil {
		return nil, eris.Wrapf(err, "relay: listen on %s", listen)
	}
	u := &UDP{
		network: network,
		place:   place,
		socket:  socket,
		target:  net.UDPAddrFromAddrPort(target),
		flows:   map[netip.AddrPort]*net.UDPConn{},
	}
	go u.receive()
	return u, nil
}

// Close ends the relay.
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
	buffer := make([]byte, maxPacket)
	for {
		size, from, err := u.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		flow := u.flow(from)
		if flow == nil {
			return
		}
		pair := Pair{
			From: u.network.place(from),
			To:   u.place,
		}
		u.network.pass(pair, buffer[:size], func(p []byte) { _, _ = flow.Write(p) })
	}
}

// pass delivers a packet as its fate has it.
func (n *Network) pass(pair Pair, packet []byte, deliver func([]byte)) {
	copies, delay := n.fate(pair)
	for range copies {
		if delay == 0 {
			deliver(packet)
			continue
		}
		kept := append([]byte(nil), packet...)
		time.AfterFunc(delay, func() { deliver(kept) })
	}
}

// flow returns the socket that stands for one sender.
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
	go u.answer(flow, from)
	return flow
}

func (u *UDP) answer(flow *net.UDPConn, from netip.AddrPort) {
	buffer := make([]byte, maxPacket)
	pair := Pair{
		From: u.place,
		To:   u.network.place(from),
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
			// The target is down for now; its port refuses packets.
			time.Sleep(time.Millisecond)
			continue
		}
		u.network.pass(pair, buffer[:size], func(p []byte) {
			_, _ = u.socket.WriteToUDPAddrPort(p, from)
		})
	}
}
