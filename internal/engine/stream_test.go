package engine

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"beechcart/internal/membudget"
)

// newTestStream returns a stream and its peer.
func newTestStream(t *testing.T, memory *membudget.Budget) (*stream, net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	client, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	peer, err := l.Accept()
	require.NoError(t, err)
	s, err := newStream(client.(*net.TCPConn), memory)
	require.NoError(t, err)
	t.Cleanup(func() {
		s.close()
		_ = peer.Close()
	})
	return s, peer
}

// A peer that sends without end must take no more memory than the limit and the budget allow.
func TestStreamBoundsItsInput(t *testing.T) {
	const limit = 80 << 10
	for name, tc := range map[string]struct {
		memory *membudget.Budget
		want   error
		size   int
	}{
		"limit":                        {membudget.New(1 << 20), errTooLarge, limit},
		"no limit on memory":           {nil, errTooLarge, limit},
		"budget below the limit":       {membudget.New(40 << 10), errNoInputMemory, 32 << 10},
		"budget below one more buffer": {membudget.New(1 << 10), errNoInputMemory, inputBufferBytes},
	} {
		t.Run(name, func(t *testing.T) {
			s, peer := newTestStream(t, tc.memory)
			go func() {
				for block := make([]byte, 64<<10); ; {
					if _, err := peer.Write(block); err != nil {
						return
					}
				}
			}()
			var err error
			for err == nil {
				err = s.fill(limit, time.Now().Add(10*time.Second))
			}
			require.ErrorIs(t, err, tc.want)
			assert.Equal(t, tc.size, s.inputSize())
			s.close()
			assert.Zero(t, tc.memory.Used())
		})
	}
}

// A stream without input must hold neither a buffer nor reserved memory.
func TestStreamFreesItsBuffer(t *testing.T) {
	memory := membudget.New(1 << 20)
	s, peer := newTestStream(t, memory)
	const size, rest = 3 * inputBufferBytes, 10
	_, err := peer.Write(make([]byte, size))
	require.NoError(t, err)
	for s.inputSize() < size {
		require.NoError(t, s.fill(2*size, time.Now().Add(10*time.Second)))
	}
	assert.Equal(t, 4*inputBufferBytes, memory.Used())
	s.discard(size - rest)
	assert.Equal(t, rest, s.inputSize())
	s.discard(rest)
	assert.Zero(t, memory.Used())
	assert.Nil(t, s.buffer)
	assert.False(t, s.fillAvailable())
	assert.Nil(t, s.buffer)
	assert.True(t, s.isOpen())
}

// A response that has arrived in time must be read although the deadline has passed meanwhile, because this process was
// not scheduled.
func TestStreamReadsInputThatHasArrivedBeforeTheDeadline(t *testing.T) {
	s, peer := newTestStream(t, nil)
	err := s.fill(100, time.Now().Add(10*time.Millisecond))
	assert.True(t, isTimeout(err), err)
	_, err = peer.Write([]byte("in time"))
	require.NoError(t, err)
	time.Sleep(20 * time.Millisecond)
	require.NoError(t, s.fill(100, time.Now().Add(-time.Millisecond)))
	assert.Equal(t, "in time", string(s.input()))
}

// The input before the end of a connection must be readable, and the end is found without a pending read.
func TestStreamFindsTheEndOfTheConnection(t *testing.T) {
	s, peer := newTestStream(t, nil)
	_, err := peer.Write([]byte("last"))
	require.NoError(t, err)
	require.NoError(t, peer.Close())
	require.NoError(t, s.fill(100, time.Now().Add(10*time.Second)))
	assert.Equal(t, "last", string(s.input()))
	require.Eventually(t, func() bool {
		s.fillAvailable()
		return !s.isOpen()
	}, 10*time.Second, time.Millisecond)
	assert.Equal(t, "last", string(s.input()))
}
