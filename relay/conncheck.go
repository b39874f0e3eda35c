package relay

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// connAlive reports whether an idle connection is open and has nothing to read.
// It detects, before a request is written, that the upstream has closed the
// connection or sent bytes that belong to no request.
func connAlive(c net.Conn) (ok bool) {
	source, isSocket := c.(syscall.Conn)
	if !isSocket {
		return true
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	err = raw.Read(func(fd uintptr) (done bool) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		ok = err == unix.EAGAIN
		return true
	})
	return ok && err == nil
}
