package mysql

import (
	"net"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestHungUpOfNoSocket(t *testing.T) { assert.False(t, hungUp(-1)) }

// The peer's close is seen on the socket itself, also behind unread bytes.
func TestHungUp(t *testing.T) {
	for name, leave := range map[string]func(c *net.TCPConn) error{
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

			assert.False(t, hungUp(descriptorOf(t, file)))
			_, err = client.Write([]byte("unread"))
			require.NoError(t, err)
			assert.False(t, hungUp(descriptorOf(t, file)), "unread bytes alone")
			require.NoError(t, leave(client.(*net.TCPConn)))
			assert.True(t, hungUp(descriptorOf(t, file)))
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
