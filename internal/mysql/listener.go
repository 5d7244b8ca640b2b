package mysql

import (
	"net"

	"github.com/cloudwego/netpoll"
)

// acceptor is a netpoll listener that passes accepted connections on and reports none to netpoll's event loop. netpoll
// reads everything that a client sends into memory, without a limit, so sessions read from their sockets themselves.
type acceptor struct {
	netpoll.Listener
	accepted func(c netpoll.Conn)
}

// Accept accepts at most one connection and passes it on. The event loop calls Accept on the goroutine that polls all
// connections, whenever a connection is pending. A result without connection and error means that none is left.
func (a *acceptor) Accept() (net.Conn, error) {
	c, err := a.Listener.Accept()
	if err != nil || c == nil {
		return nil, err
	}
	a.accepted(c.(netpoll.Conn))
	return nil, nil
}
