package emulate

import (
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
)

// Ended says whether something has come on a connection that rests: its end, or bytes that nobody asked for. It does not
// wait, and so does look, however late it is called.
func Ended(c net.Conn) bool {
	sc, isSocket := c.(syscall.Conn)
	if !isSocket {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
	})
	return err != nil || !quiet
}
