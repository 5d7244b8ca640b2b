package fleet

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"
)

// Traffic counts what went through a member's sockets. Bytes include headers of IP and UDP or TCP: those of datagrams
// exactly, those of streams as an estimate (segmentHeader for each segment of the loopback's size, connectionBytes for
// a connection; acknowledgements without data, and retransmissions, are not counted).
type Traffic struct {
	SentBytes        uint64
	ReceivedBytes    uint64
	SentMessages     uint64 // datagrams, or writes on a stream
	ReceivedMessages uint64 // datagrams, or reads on a stream
	Connections      uint64 // opened from this side
}

// Sizes of headers in bytes, IPv4 without options.
const (
	datagramHeaderBytes = 28
	segmentHeaderBytes  = 40
	segmentPayloadBytes = 65_483 // of the loopback's MTU of 65,536, with TCP timestamps
	connectionBytes     = 200    // to open and to close, one half in each direction
)

// maxBlockedWrite is how long a write waits for a cut to end before it fails, as TCP's user timeout would let it.
const maxBlockedWrite = 5 * time.Second

// trafficKind tells what a connection is for.
type trafficKind int

const (
	gossipTraffic trafficKind = iota // of memberlist, datagrams and streams
	callTraffic                      // HTTP calls that this member makes
	servedTraffic                    // HTTP calls that this member serves, at a replica
	logTraffic                       // of the replicated log, at a replica
	trafficKinds
)

// HostSet names hosts by their addresses, without ports.
type HostSet map[string]bool

// Transport counts what a member sends and receives, and restricts to whom it sends. It serves tests at fleet size: a
// member that has none uses its sockets directly. A Transport belongs to one member, whose connections it opens from
// the member's own address, so that the other end can tell whose they are. It is safe for concurrent use.
type Transport struct {
	local     *net.TCPAddr
	meters    [trafficKinds]meter
	blockList atomic.Pointer[blockList]
	http      *http.Client
}

// blockList is a set of hosts that nothing is sent to.
type blockList struct {
	hosts    HostSet
	replaced chan struct{} // closed when another cut is in its place
}

// NewTransport returns the transport of a member at a host, an IP address without a port, that restricts nothing yet.
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

// Block cuts these hosts off from now on, in place of those of the last call: nothing is sent to them. Datagrams to
// them are dropped, connections to them don't open, and writes on connections that are open wait for the cut to end,
// for maxBlockedWrite at most.
func (t *Transport) Block(hosts HostSet) {
	previous := t.blockList.Swap(&blockList{hosts, make(chan struct{})})
	close(previous.replaced)
}

// Blocked tells whether nothing is sent to a host now.
func (t *Transport) Blocked(host string) bool { return t.blockList.Load().hosts[host] }

// Gossip is the traffic of membership: datagrams, and the streams of full exchanges.
func (t *Transport) Gossip() Traffic { return t.meters[gossipTraffic].read() }

// Calls is the traffic of HTTP calls that the member made.
func (t *Transport) Calls() Traffic { return t.meters[callTraffic].read() }

// Served is the traffic of HTTP calls that the member answered, at a replica.
func (t *Transport) Served() Traffic { return t.meters[servedTraffic].read() }

// Log is the traffic of the replicated log, at a replica.
func (t *Transport) Log() Traffic { return t.meters[logTraffic].read() }

// awaitUnblocked returns nil once the host is not blocked, net.ErrClosed when closed is, and os.ErrDeadlineExceeded at the
// deadline.
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

// dial opens a connection from the member's own address. One to a blocked host waits, as for an answer that is lost.
func (t *Transport) dial(ctx context.Context, addr string, kind trafficKind) (net.Conn, error) {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, err
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(maxBlockedWrite)
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

// dialWithin is dial with a time limit.
func (t *Transport) dialWithin(addr string, timeout time.Duration, kind trafficKind) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return t.dial(ctx, addr, kind)
}

// httpClient makes the calls to replicas: the member's own with a transport, else one that the process shares.
func (o *Options) httpClient() *http.Client {
	if o.Transport == nil {
		return sharedClient
	}
	return o.Transport.http
}

// listenTCP listens at an address, through the transport where there is one.
func (o *Options) listenTCP(addr string, kind trafficKind) (net.Listener, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil || o.Transport == nil {
		return l, err
	}
	return &meteredListener{l, o.Transport, kind}, nil
}

// dialTCP dials an address, through the transport where there is one.
func (o *Options) dialTCP(addr string, timeout time.Duration, kind trafficKind) (net.Conn, error) {
	if o.Transport == nil {
		return net.DialTimeout("tcp", o.dialAddress(addr), timeout)
	}
	return o.Transport.dialWithin(addr, timeout, kind)
}

// meter counts one kind of traffic.
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
