package fleet

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"beechcart/decision/rollout"
)

// testTimeout bounds the wait for an expected event. It is longer than any step takes on an overloaded machine, and no
// assertion depends on a step being faster.
const testTimeout = 60 * time.Second

// memberPair returns the options of two members, each with its own transport and loopback address. The first is the
// control replica.
func memberPair(t *testing.T) []*Options {
	t.Helper()
	network := ""
	for i := 0; network == ""; i++ {
		require.Less(t, i, 200, "found no free loopback network")
		candidate := fmt.Sprintf("127.%d.%d", 20+(os.Getpid()+i)%200, 20+i)
		// Each test fleet on this machine reserves its loopback network by listening at this address.
		if l, err := net.Listen("tcp", candidate+".254:7000"); err == nil {
			t.Cleanup(func() { _ = l.Close() })
			network = candidate
		}
	}
	first := options(t)
	var all []*Options
	for i := range 2 {
		o, host := *first, fmt.Sprintf("%s.%d", network, i+1)
		o.Name, o.GossipAddress, o.Transport = fmt.Sprint("n", i), host+":7004", NewTransport(host)
		o.ControlReplicas = []ReplicaAddress{{
			Name: "n0", LogAddress: network + ".1:7002", APIAddress: network + ".1:7003", GossipAddress: network + ".1:7004",
		}}
		if i > 0 {
			o.LogDirectory = ""
		}
		all = append(all, &o)
	}
	return all
}

func gossipHost(o *Options) string {
	host, _, _ := net.SplitHostPort(o.GossipAddress)
	return host
}

func blockBothWays(a, b *Options) {
	a.Transport.Block(HostSet{gossipHost(b): true})
	b.Transport.Block(HostSet{gossipHost(a): true})
}

// connect opens a connection from one member to another, and returns both ends.
func connect(t *testing.T, from, to *Options) (dialled, accepted net.Conn) {
	t.Helper()
	l, err := to.listenTCP(gossipHost(to)+":0", logTraffic)
	require.NoError(t, err)
	defer l.Close()
	dialled, err = from.dialTCP(l.Addr().String(), testTimeout, logTraffic)
	require.NoError(t, err)
	accepted, err = l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { dialled.Close(); accepted.Close() })
	return dialled, accepted
}

func readText(t *testing.T, c net.Conn, want string) {
	t.Helper()
	b := make([]byte, len(want))
	require.NoError(t, c.SetReadDeadline(time.Now().Add(testTimeout)))
	_, err := io.ReadFull(c, b)
	require.NoError(t, err)
	assert.Equal(t, want, string(b))
}

func writeText(t *testing.T, c net.Conn, text string) {
	t.Helper()
	_, err := c.Write([]byte(text))
	require.NoError(t, err)
}

func openGossipTransport(t *testing.T, o *Options) *gossipTransport {
	t.Helper()
	inner, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{
		BindAddrs: []string{gossipHost(o)}, BindPort: 7004,
	})
	require.NoError(t, err)
	transport := newGossipTransport(inner, o.Transport)
	t.Cleanup(func() { _ = transport.Shutdown() })
	return transport
}

func TestDatagramsAreCountedExactlyAndBlocked(t *testing.T) {
	pair := memberPair(t)
	sender, receiver := openGossipTransport(t, pair[0]), openGossipTransport(t, pair[1])
	send := func(size int) {
		_, err := sender.WriteTo(make([]byte, size), pair[1].GossipAddress)
		require.NoError(t, err)
	}
	receive := func() int {
		select {
		case packet := <-receiver.PacketCh():
			return len(packet.Buf)
		case <-time.After(testTimeout):
			require.Fail(t, "received no datagram before the timeout")
			return 0
		}
	}
	bytes := 0
	for size := 1; size <= 1400; size += 100 {
		send(size)
		require.Equal(t, size, receive())
		bytes += size + 28
	}
	want := Traffic{SentBytes: uint64(bytes), SentMessages: 14}
	assert.Equal(t, want, pair[0].Transport.Gossip())
	assert.Equal(t, Traffic{ReceivedBytes: uint64(bytes), ReceivedMessages: 14}, pair[1].Transport.Gossip())

	pair[0].Transport.Block(HostSet{gossipHost(pair[1]): true})
	send(700)
	assert.Equal(t, want, pair[0].Transport.Gossip(), "a blocked datagram is not counted as sent")
	pair[0].Transport.Block(nil)
	send(7)
	assert.Equal(t, 7, receive(), "the blocked datagram must be lost, and the later one arrive")
}

// Block stops open connections from sending to the blocked host, and they still receive. After Block(nil) they send
// again.
func TestBlockAppliesToOpenConnections(t *testing.T) {
	pair := memberPair(t)
	dialled, accepted := connect(t, pair[0], pair[1])
	for _, direction := range []struct {
		from, to net.Conn
		blocker  *Options
		peer     *Options
	}{{dialled, accepted, pair[0], pair[1]}, {accepted, dialled, pair[1], pair[0]}} {
		writeText(t, direction.from, "before")
		readText(t, direction.to, "before")
		direction.blocker.Transport.Block(HostSet{gossipHost(direction.peer): true})
		require.NoError(t, direction.from.SetWriteDeadline(time.Now().Add(30*time.Millisecond)))
		_, err := direction.from.Write([]byte("lost"))
		require.ErrorIs(t, err, os.ErrDeadlineExceeded)
		writeText(t, direction.to, "the other way")
		readText(t, direction.from, "the other way")
		require.NoError(t, direction.from.SetWriteDeadline(time.Time{}))
		direction.blocker.Transport.Block(nil)
		writeText(t, direction.from, "after")
		readText(t, direction.to, "after")
	}

	pair[0].Transport.Block(HostSet{gossipHost(pair[1]): true})
	writeErr := make(chan error, 1)
	go func() {
		_, err := dialled.Write([]byte("never"))
		writeErr <- err
	}()
	dialled.Close()
	assert.Error(t, <-writeErr, "closing a connection ends a blocked write")
}

func TestBlockAppliesToNewConnections(t *testing.T) {
	pair := memberPair(t)
	l, err := pair[1].listenTCP(gossipHost(pair[1])+":0", callTraffic)
	require.NoError(t, err)
	defer l.Close()

	pair[0].Transport.Block(HostSet{gossipHost(pair[1]): true})
	_, err = pair[0].dialTCP(l.Addr().String(), 30*time.Millisecond, callTraffic)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	var timeout net.Error
	require.ErrorAs(t, err, &timeout)
	assert.True(t, timeout.Timeout(), "the error must be a timeout, as for a host that does not answer")
	assert.Zero(t, pair[0].Transport.Calls().Connections)
	pair[0].Transport.Block(nil)

	// The accepting side blocks the dialler. On a real network the connection would not open, since the answer to its
	// first segment is lost: the accepting side must read nothing until the dialler is unblocked.
	pair[1].Transport.Block(HostSet{gossipHost(pair[0]): true})
	dialled, err := pair[0].dialTCP(l.Addr().String(), testTimeout, callTraffic)
	require.NoError(t, err)
	defer dialled.Close()
	accepted, err := l.Accept()
	require.NoError(t, err)
	defer accepted.Close()
	writeText(t, dialled, "early")
	require.NoError(t, accepted.SetReadDeadline(time.Now().Add(30*time.Millisecond)))
	_, err = accepted.Read(make([]byte, 8))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	pair[1].Transport.Block(nil)
	readText(t, accepted, "early")
}

// Both ends of a stream count the same payload and headers.
func TestStreamsAreCountedAtBothEnds(t *testing.T) {
	pair := memberPair(t)
	dialled, accepted := connect(t, pair[0], pair[1])
	writeText(t, dialled, "0123456789")
	readText(t, accepted, "0123456789")
	wantSender := Traffic{SentBytes: 100 + 10 + 40, ReceivedBytes: 100, SentMessages: 1, Connections: 1}
	assert.Equal(t, wantSender, pair[0].Transport.Log())
	wantReceiver := Traffic{SentBytes: 100, ReceivedBytes: 100 + 10 + 40, ReceivedMessages: 1}
	assert.Equal(t, wantReceiver, pair[1].Transport.Log())
	assert.Equal(t, 0, streamHeaders(0))
	assert.Equal(t, 40, streamHeaders(segmentPayloadBytes))
	assert.Equal(t, 80, streamHeaders(segmentPayloadBytes+1))
}

func TestCallsAreCountedAndBlocked(t *testing.T) {
	pair := memberPair(t)
	replica, err := OpenReplica(pair[0])
	require.NoError(t, err)
	defer replica.Close()
	require.NoError(t, call(pair[1], pair[0].ControlReplicas[0].APIAddress, "/status", nil, nil))
	assert.Equal(t, uint64(1), pair[1].Transport.Calls().Connections)
	payload := func(bytes, messages uint64) uint64 { return bytes - messages*segmentHeaderBytes }
	require.Eventually(t, func() bool { // the peer may receive data before the sender has counted it
		calls, served := pair[1].Transport.Calls(), pair[0].Transport.Served()
		requests, responses := payload(calls.SentBytes, calls.SentMessages), payload(served.SentBytes, served.SentMessages)
		return requests > connectionBytes && responses > connectionBytes &&
			requests == payload(served.ReceivedBytes, served.ReceivedMessages) &&
			responses == payload(calls.ReceivedBytes, calls.ReceivedMessages)
	}, testTimeout, time.Millisecond)

	tryOnce := func(timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		url := "http://" + pair[0].ControlReplicas[0].APIAddress + "/status"
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		require.NoError(t, err)
		response, err := pair[1].httpClient().Do(request)
		if err != nil {
			return err
		}
		return response.Body.Close()
	}
	pair[1].Transport.Block(HostSet{gossipHost(pair[0]): true})
	require.Error(t, tryOnce(50*time.Millisecond), "the request is blocked")
	pair[1].Transport.Block(nil)
	pair[0].Transport.Block(HostSet{gossipHost(pair[1]): true})
	require.Error(t, tryOnce(50*time.Millisecond), "the answer is blocked")
	pair[0].Transport.Block(nil)
	assert.NoError(t, tryOnce(testTimeout))
}

// Members that block each other stop seeing each other as alive, and see each other again afterwards. The members
// receive nearly all datagrams that they send.
func TestMembersBlockedFromEachOther(t *testing.T) {
	pair := memberPair(t)
	var members []*Member
	for _, o := range pair {
		m, err := Join(*o, idleFrontEnd{})
		require.NoError(t, err)
		defer m.Close(0)
		members = append(members, m)
	}
	require.Eventually(t, func() bool { return NewClient(pair[1]).Init() == nil }, testTimeout, 20*time.Millisecond)
	allSee := func(n int) func() bool {
		return func() bool { return members[0].AliveMembers() == n && members[1].AliveMembers() == n }
	}
	require.Eventually(t, allSee(2), testTimeout, 10*time.Millisecond)
	for _, m := range members {
		select {
		case <-m.Registered():
		case <-time.After(testTimeout):
			require.Fail(t, "the log did not register the process before the timeout")
		}
	}
	blockBothWays(pair[0], pair[1])
	require.Eventually(t, allSee(1), testTimeout, 10*time.Millisecond)
	for _, o := range pair {
		o.Transport.Block(nil)
	}
	require.Eventually(t, allSee(2), testTimeout, 10*time.Millisecond)
	// The numbers sent and received differ by datagrams in flight and datagrams dropped by a full buffer.
	require.Eventually(t, func() bool {
		sent, received := uint64(0), uint64(0)
		for _, o := range pair {
			gossip := o.Transport.Gossip()
			sent, received = sent+gossip.SentMessages, received+gossip.ReceivedMessages
		}
		return sent > 20 && max(sent, received)-min(sent, received) <= sent/10
	}, testTimeout, 10*time.Millisecond)
}

func TestMembersWithoutATransportShareTheHTTPClient(t *testing.T) {
	o := options(t)
	assert.Same(t, sharedClient, o.httpClient())
	o.Transport = NewTransport("127.0.0.1")
	assert.NotSame(t, sharedClient, o.httpClient())
}

// idleFrontEnd is a front end without engines and requests.
type idleFrontEnd struct{}

func (idleFrontEnd) Exclude(EngineSet)                    {}
func (idleFrontEnd) Drained(string) bool                  { return true }
func (idleFrontEnd) Engines() []rollout.Engine            { return nil }
func (idleFrontEnd) RequestCounts() rollout.RequestCounts { return rollout.RequestCounts{} }

// An update replaces a member's incarnation. Metadata that is not a number, or a leave event, removes the member.
func TestAliveProcessesFollowEvents(t *testing.T) {
	alive := &processEvents{incarnations: map[string]uint64{}}
	node := func(meta string) *memberlist.Node { return &memberlist.Node{Name: "n0", Meta: []byte(meta)} }
	alive.NotifyJoin(node("5"))
	assert.Equal(t, map[string]uint64{"n0": 5}, alive.incarnations)
	alive.NotifyUpdate(node("6"))
	assert.Equal(t, map[string]uint64{"n0": 6}, alive.incarnations)
	alive.NotifyUpdate(node("x"))
	assert.Empty(t, alive.incarnations)
	alive.NotifyJoin(node("7"))
	alive.NotifyLeave(node("7"))
	assert.Empty(t, alive.incarnations)
}
