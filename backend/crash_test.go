package backend_test

import (
	"context"
	"net"
	"testing"

	"github.com/waxwingreel/waxwingreel/backend"
)

// TestGoneTellsACrashFromABusyServer has a server reset a connection while it still listens, and then
// end.
func TestGoneTellsACrashFromABusyServer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	}()
	address := listener.Addr().(*net.TCPAddr).AddrPort()
	if backend.Gone(context.Background(), address) {
		t.Error("got a crash of a server that resets connections, want none")
	}
	_ = listener.Close()
	if !backend.Gone(context.Background(), address) {
		t.Error("got no crash of a server that has ended, want one")
	}
}
