package cluster

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// startEcho starts a server that echoes TCP streams and passes on the datagrams that it receives.
func startEcho(t *testing.T) (addr string, datagrams chan string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	u, err := net.ListenPacket("udp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = u.Close() })
	datagrams = make(chan string, 100)
	go func() {
		b := make([]byte, 100)
		for n, _, err := u.ReadFrom(b); err == nil; n, _, err = u.ReadFrom(b) {
			datagrams <- string(b[:n])
		}
	}()
	return l.Addr().String(), datagrams
}

// datagramCounter returns a function that sends datagrams to addr while the link from a to b has a fault, and returns
// the number of datagrams that arrive.
func datagramCounter(t *testing.T, n *Network, addr string, datagrams <-chan string) func(LinkFault, int) int {
	t.Helper()
	u, err := net.Dial("udp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { _ = u.Close() })
	return func(fault LinkFault, sends int) int {
		n.Link("a", "b").Set(fault)
		for range sends {
			_, _ = u.Write([]byte("d"))
			time.Sleep(time.Millisecond)
		}
		arrived := 0
		for {
			select {
			case <-datagrams:
				arrived++
			case <-time.After(100 * time.Millisecond):
				return arrived
			}
		}
	}
}

func TestRelayAppliesLinkFaults(t *testing.T) {
	target, datagrams := startEcho(t)
	n := NewNetwork(1)
	defer n.Close()
	addr, err := n.Route("a", "b", target, TCPAndUDP)
	require.NoError(t, err)
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer c.Close()
	b := make([]byte, 10)
	exchange := func(timeout time.Duration) string {
		_ = c.SetDeadline(time.Now().Add(timeout))
		if _, err := c.Write([]byte("x")); err != nil {
			return err.Error()
		}
		k, err := c.Read(b)
		if err != nil {
			return "nothing"
		}
		return string(b[:k])
	}
	assert.Equal(t, "x", exchange(time.Second))

	n.Link("b", "a").Set(LinkFault{Cut: true}) // the target receives the byte, and its answer waits
	assert.Equal(t, "nothing", exchange(100*time.Millisecond))
	n.Link("b", "a").Set(LinkFault{})
	_ = c.SetDeadline(time.Now().Add(time.Second))
	_, err = c.Read(b)
	require.NoError(t, err, "the answer arrives once the cut has ended")

	began := time.Now()
	n.Link("a", "b").Set(LinkFault{Delay: 80 * time.Millisecond})
	assert.Equal(t, "x", exchange(time.Second))
	assert.GreaterOrEqual(t, time.Since(began), 80*time.Millisecond)
	n.Link("a", "b").Set(LinkFault{})

	count := datagramCounter(t, n, addr, datagrams)
	assert.Equal(t, 20, count(LinkFault{}, 20))
	assert.Equal(t, 0, count(LinkFault{Cut: true}, 20))
	assert.Equal(t, 0, count(LinkFault{Drop: 1}, 20))
	assert.Equal(t, 40, count(LinkFault{Duplicate: 1}, 20))

	n.Link("a", "b").Set(LinkFault{})
	n.Link("a", "b").Reset()
	_ = c.SetDeadline(time.Now().Add(time.Second))
	_, err = c.Read(b)
	assert.Error(t, err)
}
