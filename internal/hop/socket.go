package hop

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// KeepAlive detects within about 3 s that a connection is dead although neither
// side closed it.
var KeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// unackedTimeout closes a connection on which sent bytes stay unacknowledged.
// It allows several retransmissions on a lossy link.
const unackedTimeout = 3 * time.Second

// SetUserTimeout sets TCP_USER_TIMEOUT on a socket before it connects or listens.
func SetUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}

// nothingReceived reports whether an idle connection has received neither data
// nor a close.
func nothingReceived(conn net.Conn) bool {
	source, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var probe [1]byte
		_, _, peekErr := unix.Recvfrom(int(fd), probe[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = peekErr == unix.EAGAIN
		return true
	})
	return err == nil && empty
}
