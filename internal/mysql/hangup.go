package mysql

import (
	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"

	"beechcart/internal/exchange"
)

// SettleIfGone implements exchange.Client. It reports to the handler that the client is gone, and returns true, if the
// client has closed or half-closed its connection. netpoll may detect a close late if the process was not scheduled for
// a while, and no attempt may start for a client that is gone. By the time of the call the descriptor may belong to
// another session. This is harmless: the request has been answered in that case, and a settled exchange cannot be
// settled again.
func (s *session) SettleIfGone(x *exchange.Exchange) bool {
	if !peerHasClosed(s.fd) {
		return false
	}
	s.server.handler.ClientGone(x)
	return true
}

// fileDescriptor returns the file descriptor of a connection, or -1 if it is unknown.
func fileDescriptor(c netpoll.Connection) int32 {
	if conn, ok := c.(netpoll.Conn); ok {
		return int32(conn.Fd())
	}
	return -1
}

// peerHasClosed reports whether the peer of a socket has closed, half-closed or reset the connection. It returns false
// for an unknown descriptor (-1).
func peerHasClosed(fd int32) bool {
	fds := []unix.PollFd{{Fd: fd, Events: unix.POLLRDHUP}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n > 0 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}
