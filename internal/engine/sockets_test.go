package engine

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A connection must share its local port with connections to other addresses. One that binds a port of its own fails
// once all ports are in use by connections that are open or were closed within the last minute.
func TestConnectBindsNoPort(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	require.NoError(t, l.Close())
	_, err = connect(context.Background(), address, time.Second, nil)
	require.True(t, isRefused(err), err)
	var failed *net.OpError
	require.ErrorAs(t, err, &failed)
	assert.Nil(t, failed.Source, "the local address that was asked for")
}

// A connect that fails for lack of local ports, descriptors or memory must not count against the engine, which would be
// ejected.
func TestOwnShortageIsNoFaultOfTheEngine(t *testing.T) {
	for errno, own := range map[syscall.Errno]bool{
		syscall.EMFILE: true, syscall.ENFILE: true, syscall.EADDRINUSE: true, syscall.EADDRNOTAVAIL: true,
		syscall.ENOBUFS: true, syscall.ENOMEM: true, syscall.EAGAIN: true,
		syscall.ECONNREFUSED: false, syscall.ETIMEDOUT: false, syscall.ENETUNREACH: false, syscall.EHOSTUNREACH: false,
		syscall.ECONNRESET: false,
	} {
		err := &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", errno)}
		assert.Equal(t, own, isOwnShortage(err), errno.Error())
	}
}
