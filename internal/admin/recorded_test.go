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

// TestRecordedCalls compares the bytes that the server sends in answer to each request with a recording.
func TestRecordedCalls(t *testing.T) {
	dir, err := os.MkdirTemp("", "bc") // t.TempDir may exceed the length limit of socket paths
	require.NoError(t, err)
	t.Cleanup(func() { _ = os.RemoveAll(dir) })
	path := filepath.Join(dir, "s")
	server, err := admin.Listen(path, map[string]admin.Command{
		"counters": func() (any, error) { return map[string]int64{"served": 7, "answers": 8}, nil },
		"list":     func() (any, error) { return []string{"<a>", "b"}, nil },
		"broken":   func() (any, error) { return nil, errors.New("no such thing") },
		"absurd":   func() (any, error) { return func() {}, nil },
	})
	require.NoError(t, err)
	t.Cleanup(func() { server.Close() })
	var transcript strings.Builder
	for _, request := range []string{"counters\n", " list \n", "broken\n", "absurd\n", "what\n", "\n", "list"} {
		c, err := net.Dial("unix", path)
		require.NoError(t, err)
		_, err = io.WriteString(c, request)
		require.NoError(t, err)
		require.NoError(t, c.(*net.UnixConn).CloseWrite())
		answer, err := io.ReadAll(c)
		require.NoError(t, c.Close())
		fmt.Fprintf(&transcript, "%q -> %q, read whole %t\n", request, answer, err == nil)
	}
	recorded.Compare(t, "calls.txt", []byte(transcript.String()))
}
