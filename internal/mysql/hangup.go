package mysql

import (
	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"

	"beechcart/internal/exchange"
)

// SettleIfGone implements exchange.Client: it reports the client as gone where it has closed or half-closed its
// connection. netpoll may notice a close late, after the process had no processor for a while, and an attempt must
// not begin in between. By the time of the call the descriptor may belong to another session. The request was
// answered then, and an exchange that is settled can't be settled again.
func (s *session) SettleIfGone(x *exchange.Exchange) bool {
	if !hungUp(s.fd) {
		return false
	}
	s.server.handler.ClientGone(x)
	return true
}

// fileDescriptor is a connection's descriptor; -1 where it is not known.
func fileDescriptor(c netpoll.Connection) int32 {
	if conn, ok := c.(netpoll.Conn); ok {
		return int32(conn.Fd())
	}
	return -1
}

// hungUp reports whether the peer of a socket has closed, half-closed or reset the connection; false for no socket
// (-1).
func hungUp(fd int32) bool {
	fds := []unix.PollFd{{Fd: fd, Events: unix.POLLRDHUP}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n > 0 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}
