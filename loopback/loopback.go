// Package loopback finds free addresses on the loopback interface, for processes that
// are started shortly afterwards.
package loopback

import (
	"net"
	"net/netip"
	"os"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// All ports are below the kernel's ephemeral range, so that no outgoing connection takes
// one between the check and its use.
const (
	firstPort = 20_000
	portCount = 12_000
	// processStride is the distance between the first ports of processes with consecutive
	// ids, so that processes that search at the same time try different ports.
	processStride = 61
)

var lastOffset atomic.Uint32

// FreeAddress returns an address that nothing listens on, for "tcp" or "udp". Within a
// process, an address is returned again only after all other ports have been tried.
func FreeAddress(network string) (netip.AddrPort, error) {
	start := uint32(os.Getpid()) * processStride
	for range portCount {
		port := uint16(firstPort + (start+lastOffset.Add(1))%portCount)
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port)
		if available(network, address) {
			return address, nil
		}
	}
	return netip.AddrPort{}, eris.Errorf("loopback: no free port: all %d %s ports from %d on are in use", portCount, network, firstPort)
}

func available(network string, address netip.AddrPort) bool {
	if network == "udp" {
		socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
		if err == nil {
			_ = socket.Close()
		}
		return err == nil
	}
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
	if err == nil {
		_ = listener.Close()
	}
	return err == nil
}
