package admin_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"beechcart/internal/recorded"

	"github.com/stretchr/testify/require"

	"beechcart/internal/admin"
)

// TestRecordedCalls holds the bytes that the socket answers with.
func TestRecordedCalls(t *testing.T) {
	dir, err := os.MkdirTemp("", "bc") // the path of a socket is short
	require.NoError(t, err)
	t.Cleanup(func() { _ = os.RemoveAll(dir) })
	path := filepath.Join(dir, "s")
	socket, err := admin.Listen(path, map[string]admin.Command{
		"counters": func() (any, error) { return map[string]int64{"served": 7, "answers": 8}, nil },
		"list":     func() (any, error) { return []string{"<a>", "b"}, nil },
		"broken":   func() (any, error) { return nil, errors.New("no such thing") },
		"absurd":   func() (any, error) { return func() {}, nil },
	})
	require.NoError(t, err)
	t.Cleanup(func() { socket.Close() })
	var b strings.Builder
	for _, call := range []string{"counters\n", " list \n", "broken\n", "absurd\n", "what\n", "\n", "list"} {
		c, err := net.Dial("unix", path)
		require.NoError(t, err)
		_, err = io.WriteString(c, call)
		require.NoError(t, err)
		require.NoError(t, c.(*net.UnixConn).CloseWrite())
		answer, err := io.ReadAll(c)
		require.NoError(t, c.Close())
		fmt.Fprintf(&b, "%q -> %q, read whole %t\n", call, answer, err == nil)
	}
	recorded.Compare(t, "calls.txt", []byte(b.String()))
}
