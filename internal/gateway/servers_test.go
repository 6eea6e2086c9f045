package gateway

import (
	"context"
	"net"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
)

// Callers that didn't read for three seconds lost their answers: TCP_USER_TIMEOUT also ends a connection whose peer has closed its window.
func TestOnlyConnectionsOfPeersBoundUnacknowledgedBytes(t *testing.T) {
	for name, test := range map[string]struct {
		config  net.ListenConfig
		bounded bool
	}{
		"callers": {callerListenConfig, false},
		"peers":   {peerListenConfig, true},
	} {
		listener, err := test.config.Listen(context.Background(), "tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		caller, err := net.Dial("tcp4", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer caller.Close()
		conn, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		raw, err := conn.(syscall.Conn).SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		var timeout int
		var failure error
		if err := raw.Control(func(fd uintptr) {
			timeout, failure = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		}); err != nil || failure != nil {
			t.Fatal(err, failure)
		}
		if (timeout > 0) != test.bounded {
			t.Errorf("%s: unacknowledged bytes are bounded to %d ms, want a bound: %t", name, timeout, test.bounded)
		}
	}
}
