package loopback

import (
	"net/netip"
	"testing"
)

func TestFreeAddressReturnsEachAddressOnce(t *testing.T) {
	seen := map[netip.AddrPort]bool{}
	for range 200 {
		address, err := FreeAddress("tcp")
		if err != nil {
			t.Fatal(err)
		}
		if seen[address] {
			t.Fatalf("got %s twice", address)
		}
		seen[address] = true
		if got := address.Port(); got >= 32768 {
			t.Errorf("got port %d, want one below the ephemeral range", got)
		}
	}
}
