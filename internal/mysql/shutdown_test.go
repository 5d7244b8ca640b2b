package mysql_test

import (
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a request that is lost because the shutdown closes its session while the request moves from the
// kernel's receive buffer to the session's goroutine.
func TestRequestSentBeforeShutdownIsAnswered(t *testing.T) {
	const rounds, sessions = 40, 80
	for round := range rounds {
		handler := &scriptedHandler{decoded: make(chan string, sessions)}
		address, shutdown := startServerWithShutdown(t, handler)
		clients := make([]net.Conn, sessions)
		for i := range clients {
			clients[i] = dial(t, address)
			_, err := io.WriteString(clients[i], defaultLogin()+packet(0, ping))
			require.NoError(t, err)
		}
		for _, c := range clients {
			for _, received := range []string{"greeting", "login", "ping"} {
				require.Greater(t, len(readPacket(t, c)), 4, received)
			}
		}
		for _, c := range clients {
			_, err := io.WriteString(c, packet(0, query("", "SELECT nothing")))
			require.NoError(t, err)
		}
		shutdown()
		answered := 0
		for _, c := range clients {
			if answer, err := io.ReadAll(c); err == nil && len(answer) > 0 {
				answered++
			}
			require.NoError(t, c.Close())
		}
		require.Equal(t, sessions, answered, "round %d", round)
	}
}

// readPacket returns the next packet with its header.
func readPacket(t *testing.T, c net.Conn) []byte {
	t.Helper()
	p := make([]byte, 4)
	_, err := io.ReadFull(c, p)
	require.NoError(t, err)
	p = append(p, make([]byte, int(p[0])|int(p[1])<<8|int(p[2])<<16)...)
	_, err = io.ReadFull(c, p[4:])
	require.NoError(t, err)
	return p
}
