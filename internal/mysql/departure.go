package mysql

import (
	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"

	"beechcart/internal/exchange"
)

// SettleIfGone implements exchange.Client: it lets the session's request go where the client has closed or half-closed its connection.
// Guards against an attempt that begins before the network library has told of the close: after the process had no core for a while,
// the news that an engine is ready may be handled first. By the time of the call the descriptor may be another session's, but then
// the request was answered, and one that was answered can't be let go.
func (s *session) SettleIfGone(x *exchange.Exchange) bool {
	if !hungUp(s.fd) {
		return false
	}
	s.srv.taker.ClientGone(x)
	return true
}

// descriptor is a connection's; -1 where it is not known.
func descriptor(c netpoll.Connection) int32 {
	if conn, ok := c.(netpoll.Conn); ok {
		return int32(conn.Fd())
	}
	return -1
}

// hungUp tells whether the peer of a socket sends no more: it has closed, half-closed or reset the connection. Of no socket (-1) it
// tells false.
func hungUp(fd int32) bool {
	fds := []unix.PollFd{{Fd: fd, Events: unix.POLLRDHUP}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n > 0 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}
