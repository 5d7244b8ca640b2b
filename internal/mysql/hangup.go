package mysql

import (
	"golang.org/x/sys/unix"

	"beechcart/internal/exchange"
)

// SettleIfGone implements exchange.Client. It reports to the handler that the client is gone, and returns true, if the
// client has closed or half-closed its connection. The session may detect a close late if the process was not scheduled
// for a while, and no attempt may start for a client that is gone. By the time of the call the descriptor may belong to
// another session. This is harmless: the request has been answered in that case, and a settled exchange cannot be
// settled again.
func (s *session) SettleIfGone(x *exchange.Exchange) bool {
	if !peerHasClosed(s.conn.fd) {
		return false
	}
	s.server.handler.ClientGone(x)
	return true
}

// peerHasClosed reports whether the peer of a socket has closed, half-closed or reset the connection. It returns false
// for an unknown descriptor (-1).
func peerHasClosed(fd int32) bool {
	fds := []unix.PollFd{{Fd: fd, Events: unix.POLLRDHUP}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n > 0 && hungUp(fds[0])
}

// hungUp reports whether the peer has closed, half-closed or reset the connection, as poll has found.
func hungUp(fd unix.PollFd) bool { return fd.Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0 }
