// Package loopback finds free addresses on the loopback interface for processes that
// are started a moment later.
package loopback

import (
	"net"
	"net/netip"
	"os"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// The ports lie below those that the kernel gives to outgoing connections, so that none
// of them is taken between the finding and the use.
const (
	firstPort = 20_000
	ports     = 12_000
	// stride spreads processes that look at the same time.
	stride = 61
)

var turn atomic.Uint32

// FreeAddress returns an address that nothing listens on, for "tcp" or "udp". No process gets
// the same one twice before all others had their turn.
func FreeAddress(network string) (netip.AddrPort, error) {
	start := uint32(os.Getpid()) * stride
	for range ports {
		port := uint16(firstPort + (start+turn.Add(1))%ports)
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port)
		if available(network, address) {
			return address, nil
		}
	}
	return netip.AddrPort{}, eris.Errorf("loopback: all %d %s ports from %d on are taken", ports, network, firstPort)
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
