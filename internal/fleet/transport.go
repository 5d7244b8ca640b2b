package fleet

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"
)

// Traffic counts the traffic of a member's sockets. Bytes include the headers of IP and UDP or TCP. Those of datagrams
// are exact. Those of streams are an estimate: segmentHeaderBytes for each segment of the loopback's size and
// connectionBytes for each connection, without retransmissions and acknowledgements that carry no data.
type Traffic struct {
	SentBytes        uint64
	ReceivedBytes    uint64
	SentMessages     uint64 // datagrams, or writes on a stream
	ReceivedMessages uint64 // datagrams, or reads on a stream
	Connections      uint64 // dialled by this member
}

// Sizes of headers and segments, for IPv4 without options.
const (
	datagramHeaderBytes = 28
	segmentHeaderBytes  = 40
	segmentPayloadBytes = 65_483 // fits the loopback's MTU of 65,536 bytes, with TCP timestamps
	connectionBytes     = 200    // to open and close a connection, half in each direction
)

// maxBlockedWait is the longest time that a read, a write or a dial waits for a blocked host. It stands for the TCP
// user timeout.
const maxBlockedWait = 5 * time.Second

// trafficKind is the purpose of a connection.
type trafficKind int

const (
	gossipTraffic trafficKind = iota // memberlist's datagrams and streams
	callTraffic                      // HTTP calls that this member makes
	servedTraffic                    // HTTP calls that this member serves, at a replica
	logTraffic                       // the replicated log's connections, at a replica
	trafficKindCount
)

// HostSet is a set of hosts by IP address, without port.
type HostSet map[string]bool

// Transport counts what a member sends and receives, and can block traffic to some hosts. It serves tests at fleet
// size; a member without a Transport uses its sockets directly. A Transport belongs to one member. It dials from the
// member's own address, so that the other end can identify the member. It is safe for concurrent use.
type Transport struct {
	local     *net.TCPAddr
	meters    [trafficKindCount]meter
	blockList atomic.Pointer[blockList]
	http      *http.Client
}

// blockList is the set of hosts to which a transport sends nothing.
type blockList struct {
	hosts    HostSet
	replaced chan struct{} // closed when another block list replaces this one
}

// NewTransport returns a transport for the member at a host, given as an IP address without a port. It blocks no host.
func NewTransport(host string) *Transport {
	t := &Transport{local: &net.TCPAddr{IP: net.ParseIP(host)}}
	t.blockList.Store(&blockList{replaced: make(chan struct{})})
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.DialContext = func(ctx context.Context, _, addr string) (net.Conn, error) {
		return t.dial(ctx, addr, callTraffic)
	}
	t.http = &http.Client{Transport: transport}
	return t
}

// Block stops all traffic from this member to these hosts, and unblocks the other hosts. Datagrams to blocked hosts
// are dropped, and new connections to them don't open. Writes on open connections wait until the host is unblocked,
// and fail after maxBlockedWait.
func (t *Transport) Block(hosts HostSet) {
	previous := t.blockList.Swap(&blockList{hosts, make(chan struct{})})
	close(previous.replaced)
}

// Blocked reports whether traffic to a host is blocked.
func (t *Transport) Blocked(host string) bool { return t.blockList.Load().hosts[host] }

// Gossip returns the traffic of memberlist: its datagrams, and the streams of its exchanges of the full state.
func (t *Transport) Gossip() Traffic { return t.meters[gossipTraffic].read() }

// Calls returns the traffic of the HTTP calls that the member made.
func (t *Transport) Calls() Traffic { return t.meters[callTraffic].read() }

// Served returns the traffic of the HTTP calls that the member answered as a control replica.
func (t *Transport) Served() Traffic { return t.meters[servedTraffic].read() }

// Log returns the traffic of the replicated log, at a control replica.
func (t *Transport) Log() Traffic { return t.meters[logTraffic].read() }

// awaitUnblocked returns nil once the host is not blocked, net.ErrClosed once the channel closed is closed, and
// os.ErrDeadlineExceeded at the deadline.
func (t *Transport) awaitUnblocked(host string, closed <-chan struct{}, deadline time.Time) error {
	for {
		current := t.blockList.Load()
		if !current.hosts[host] {
			return nil
		}
		timer := time.NewTimer(time.Until(deadline))
		select {
		case <-current.replaced:
			timer.Stop()
		case <-closed:
			timer.Stop()
			return net.ErrClosed
		case <-timer.C:
			return os.ErrDeadlineExceeded
		}
	}
}

// dial opens a connection from the member's own address. A dial to a blocked host waits, like one whose first segment
// is lost.
func (t *Transport) dial(ctx context.Context, addr string, kind trafficKind) (net.Conn, error) {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, err
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(maxBlockedWait)
	}
	if err := t.awaitUnblocked(host, ctx.Done(), deadline); err != nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
	}
	dialer := net.Dialer{LocalAddr: t.local}
	c, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	t.meters[kind].connections.Add(1)
	return t.wrap(c, kind), nil
}

// dialWithin calls dial with a timeout.
func (t *Transport) dialWithin(addr string, timeout time.Duration, kind trafficKind) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return t.dial(ctx, addr, kind)
}

// httpClient returns the client for calls to replicas: the transport's own, or sharedClient without a transport.
func (o *Options) httpClient() *http.Client {
	if o.Transport == nil {
		return sharedClient
	}
	return o.Transport.http
}

// listenTCP listens at an address, through the transport if one is set.
func (o *Options) listenTCP(addr string, kind trafficKind) (net.Listener, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil || o.Transport == nil {
		return l, err
	}
	return &meteredListener{l, o.Transport, kind}, nil
}

// dialTCP dials an address, through the transport if one is set.
func (o *Options) dialTCP(addr string, timeout time.Duration, kind trafficKind) (net.Conn, error) {
	if o.Transport == nil {
		return net.DialTimeout("tcp", o.dialAddress(addr), timeout)
	}
	return o.Transport.dialWithin(addr, timeout, kind)
}

// meter counts the traffic of one kind.
type meter struct {
	sentBytes, receivedBytes, sentMessages, receivedMessages, connections atomic.Uint64
}

func (m *meter) sent(bytes int) {
	m.sentBytes.Add(uint64(bytes))
	m.sentMessages.Add(1)
}

func (m *meter) received(bytes int) {
	m.receivedBytes.Add(uint64(bytes))
	m.receivedMessages.Add(1)
}

func (m *meter) read() Traffic {
	return Traffic{
		SentBytes:        m.sentBytes.Load(),
		ReceivedBytes:    m.receivedBytes.Load(),
		SentMessages:     m.sentMessages.Load(),
		ReceivedMessages: m.receivedMessages.Load(),
		Connections:      m.connections.Load(),
	}
}
