package mysql

import (
	"net"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestPeerHasClosedWithoutDescriptor(t *testing.T) { assert.False(t, peerHasClosed(-1)) }

// TestPeerHasClosed closes a connection in several ways while the peer has unread input. The close must be detected
// without reading that input.
func TestPeerHasClosed(t *testing.T) {
	for name, disconnect := range map[string]func(c *net.TCPConn) error{
		"close":      func(c *net.TCPConn) error { return c.Close() },
		"half-close": func(c *net.TCPConn) error { return c.CloseWrite() },
		"reset": func(c *net.TCPConn) error {
			if err := c.SetLinger(0); err != nil {
				return err
			}
			return c.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer func() { _ = l.Close() }()
			client, err := net.Dial("tcp", l.Addr().String())
			require.NoError(t, err)
			defer func() { _ = client.Close() }()
			accepted, err := l.Accept()
			require.NoError(t, err)
			defer func() { _ = accepted.Close() }()
			file, err := accepted.(*net.TCPConn).File()
			require.NoError(t, err)
			defer func() { _ = file.Close() }()

			assert.False(t, peerHasClosed(descriptorOf(t, file)))
			_, err = client.Write([]byte("unread"))
			require.NoError(t, err)
			assert.False(t, peerHasClosed(descriptorOf(t, file)), "open connection with unread input")
			require.NoError(t, disconnect(client.(*net.TCPConn)))
			assert.True(t, peerHasClosed(descriptorOf(t, file)))
		})
	}
}

func descriptorOf(t *testing.T, file *os.File) (fd int32) {
	t.Helper()
	raw, err := file.SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Control(func(d uintptr) { fd = int32(d) }))
	return fd
}
