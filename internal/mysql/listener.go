package mysql

import (
	"context"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// acceptRetryDelay is the delay before the next try to accept a connection after the kernel has failed, such as for
// lack of descriptors.
const acceptRetryDelay = 5 * time.Millisecond

// acceptor accepts connections on a listener. The connections that it has accepted and that are not closed yet never
// exceed its limit: more connections wait in the kernel's accept queue until others are closed.
type acceptor struct {
	file    *os.File // the listening socket
	raw     syscall.RawConn
	fd      int32
	address net.Addr
	slots   chan struct{} // holds an element for each open connection
	// accepting is true from before a connection leaves the kernel's accept queue until it is registered.
	accepting atomic.Bool
}

// listen opens a listener with the given limit on open connections.
func listen(address string, maxConnections int) (*acceptor, error) {
	config := net.ListenConfig{KeepAlive: -1}
	config.SetMultipathTCP(false)
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	defer func() { _ = l.Close() }() // the file has a descriptor of its own
	a := &acceptor{address: l.Addr(), slots: make(chan struct{}, maxConnections)}
	if a.file, err = l.(*net.TCPListener).File(); err != nil {
		return nil, err
	}
	if a.raw, err = a.file.SyscallConn(); err == nil {
		err = a.raw.Control(func(fd uintptr) { a.fd = int32(fd) })
	}
	if err != nil {
		_ = a.file.Close()
		return nil, err
	}
	return a, nil
}

// acceptedSocket is an accepted connection, whose descriptor belongs to the caller.
type acceptedSocket struct {
	fd     int
	remote net.Addr
	closed func() // must be called once the descriptor is closed
}

// accept waits until a connection may be accepted, and accepts one. The error is net.ErrClosed once the listener is
// closed. The caller must call registered after a call without an error.
func (a *acceptor) accept() (acceptedSocket, error) {
	a.slots <- struct{}{}
	var fd int
	var remote unix.Sockaddr
	var err error
	closedErr := a.raw.Read(func(listener uintptr) bool {
		a.accepting.Store(true)
		fd, remote, err = unix.Accept4(int(listener), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		if err != nil {
			a.accepting.Store(false)
		}
		return !errors.Is(err, unix.EAGAIN)
	})
	if closedErr != nil {
		err = net.ErrClosed
	}
	if err != nil {
		a.release()
		return acceptedSocket{}, err
	}
	return acceptedSocket{fd: fd, remote: tcpAddress(remote), closed: a.release}, nil
}

// registered reports that the accepted connection is known to the server, or closed.
func (a *acceptor) registered() { a.accepting.Store(false) }

func (a *acceptor) release() { <-a.slots }

// pending reports whether a connection waits to be accepted, or has been accepted and is not registered yet. The order
// of the checks matters: a connection that leaves the kernel's queue after the first one is found by the second one.
func (a *acceptor) pending() bool {
	fds := []unix.PollFd{{Fd: a.fd, Events: unix.POLLIN}}
	n, err := unix.Poll(fds, 0)
	return (err == nil && n > 0 && fds[0].Revents&unix.POLLIN != 0) || a.accepting.Load()
}

func (a *acceptor) close() error { return a.file.Close() }

func tcpAddress(address unix.Sockaddr) net.Addr {
	switch address := address.(type) {
	case *unix.SockaddrInet4:
		return &net.TCPAddr{IP: address.Addr[:], Port: address.Port}
	case *unix.SockaddrInet6:
		return &net.TCPAddr{IP: address.Addr[:], Port: address.Port}
	}
	return &net.TCPAddr{}
}

// acceptConnections accepts connections until the listener is closed. The kernel may fail for a moment, also with the
// error of a connection that was lost before it was accepted.
func (s *Server) acceptConnections(a *acceptor) error {
	for {
		socket, err := a.accept()
		switch {
		case err == nil:
			s.accept(socket)
			a.registered()
		case errors.Is(err, net.ErrClosed):
			return nil
		case errors.Is(err, unix.ECONNABORTED), errors.Is(err, unix.EINTR):
		default:
			s.countFailedAccept(err)
			time.Sleep(acceptRetryDelay)
		}
	}
}
