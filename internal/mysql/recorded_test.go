package mysql_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"beechcart/internal/exchange"
	"beechcart/internal/invariant"
	"beechcart/internal/mysql"
	"beechcart/internal/platformconfig"
	"beechcart/internal/recorded"
)

// answers maps a statement to its final answer. The request of any other statement stays open until its client
// disconnects or cancels it.
var answers = map[string]exchange.Answer{
	"SELECT nothing":                  {Kind: exchange.Served},
	"SELECT one":                      {Kind: exchange.Served, Rows: []byte("a\tb\tc\n")},
	"SELECT one FROM sales_17.orders": {Kind: exchange.Served, Rows: []byte("17\tb\tc\n")},
	"SELECT empty":                    {Kind: exchange.Served, Rows: []byte("\t\t\n\t\t\n")},
	"SELECT widths": {Kind: exchange.Served, Rows: []byte(
		strings.Repeat("x", 250) + "\t" + strings.Repeat("y", 251) + "\t\n" +
			"p\t" + strings.Repeat("z", 65535) + "\t" + strings.Repeat("w", 65536) + "\n")},
	"SELECT many":        {Kind: exchange.Served, Rows: []byte(strings.Repeat("1\t22\t333\n", 300))},
	"SELECT rejected":    {Kind: exchange.Rejected, Reason: "too busy"},
	"SELECT retry after": {Kind: exchange.Rejected, Reason: "too busy", RetryAfter: 1250 * time.Millisecond},
	"SELECT failed":      {Kind: exchange.Failed, Reason: "the query failed and may have run"},
	"SELECT left":        {Kind: exchange.ClientGone},
}

// scriptedHandler is a RequestHandler that settles requests with answers and sends a description of each decoded
// request to decoded.
type scriptedHandler struct {
	decoded chan string
}

func (s *scriptedHandler) Accept(x *exchange.Exchange) {
	s.decoded <- fmt.Sprintf("id=%s class=%d %s tenant=%d left=%d work=%d memory=%g group=%d retry=%t %q",
		x.ID, x.Class, x.ClassName, x.Tenant, x.Timeout, x.WorkEstimate, x.MemoryMB, x.TableGroup, x.Retry, x.Statement)
	if a, ok := answers[string(x.Statement)]; ok {
		x.Settle(a)
	}
}

func (s *scriptedHandler) ClientGone(x *exchange.Exchange) {
	x.Settle(exchange.Answer{Kind: exchange.ClientGone})
}

// logLines is an io.Writer that sends each log line of a server to a channel.
type logLines chan string

func (l logLines) Write(p []byte) (int, error) {
	l <- string(p)
	return len(p), nil
}

// startServer starts a server that is shut down at the end of the test, and returns its address.
func startServer(t *testing.T, handler *scriptedHandler) string {
	t.Helper()
	address, shutdown := startServerWithShutdown(t, handler)
	t.Cleanup(shutdown)
	return address
}

// startServerWithShutdown starts a server and returns its address and a function that shuts it down.
func startServerWithShutdown(t *testing.T, handler *scriptedHandler) (address string, shutdown func()) {
	t.Helper()
	_, names, err := platformconfig.Parse([]byte(`{"services":[{"name":"lookup","semantics":"read_like"},
		{"name":"load","semantics":"non_idempotent"}],"tenants":[{"name":"north"},{"name":"south"}]}`))
	require.NoError(t, err)
	logged := make(logLines, 1000)
	s := mysql.New(mysql.Options{
		Names: names, MaxSessions: 100, Counters: &invariant.Counters{}, Log: slog.New(slog.NewTextHandler(logged, nil)),
	}, handler)
	served := make(chan error, 1)
	go func() { served <- s.Serve("127.0.0.1:0") }()
	_, address, _ = strings.Cut(strings.TrimSpace(<-logged), "address=")
	return address, func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		assert.NoError(t, s.Shutdown(ctx))
		assert.NoError(t, <-served)
	}
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(20*time.Second)))
	return c
}

// packet returns a client's packet with its header.
func packet(seq byte, payload string) string {
	n := len(payload)
	return string([]byte{byte(n), byte(n >> 8), byte(n >> 16), seq}) + payload
}

func login(capabilities uint32, rest string) string {
	b := binary.LittleEndian.AppendUint32(nil, capabilities)
	b = append(b, 0, 0, 0, 1, 45)
	return packet(1, string(append(b, make([]byte, 23)...))+rest)
}

const (
	protocol41 = 1 << 9
	withDB     = 1 << 3
	secure     = 1 << 15
	pluginAuth = 1 << 19
	encrypted  = 1 << 11

	quit = "\x01"
	use  = "\x02"
	ping = "\x0e"
)

func query(fields, statement string) string {
	return "\x03/* c=lookup,i=9b1f03aa5c7e2d41,d=1500" + fields + " */ " + statement
}

func defaultLogin() string {
	return login(protocol41|withDB|secure|pluginAuth, "app\x00\x00bi\x00mysql_native_password\x00")
}

// TestRecordedAnswers compares the bytes that the server sends with recordings. The session id in the greeting is
// random and is masked.
func TestRecordedAnswers(t *testing.T) {
	commands := func(payloads ...string) string {
		var out strings.Builder
		out.WriteString(defaultLogin())
		for _, p := range append(payloads, quit) {
			out.WriteString(packet(0, p))
		}
		return out.String()
	}
	handler := &scriptedHandler{decoded: make(chan string, 100)}
	address := startServer(t, handler)
	for _, tc := range []struct{ name, input string }{
		{"login", commands()},
		{"login-without-database", login(protocol41|secure, "app\x00\x00") + packet(0, ping) + packet(0, quit)},
		{"login-old-auth", login(protocol41|withDB, "app\x00\x00bi") + packet(0, ping) + packet(0, quit)},
		{"login-other-user", login(protocol41|secure, "root\x00\x00")},
		{"login-with-password", login(protocol41|secure, "app\x00\x04abcd")},
		{"login-other-database", login(protocol41|withDB|secure, "app\x00\x00other\x00")},
		{"login-encrypted", login(protocol41|encrypted, "app\x00\x00")},
		{"login-old-protocol", login(secure, "app\x00\x00")},
		{"login-short", packet(1, "\x00\x02")},
		{"login-short-auth", login(protocol41|secure, "app\x00\x09abc")},
		{"ping-and-use", commands(ping, use+"bi", use+"other", ping)},
		{"unknown-command", commands("\x04table", "\x16SELECT 1", ping)},
		{"sequence-number", defaultLogin() + packet(7, ping) + packet(255, ping) + packet(254, query("", "SELECT one")) +
			packet(0, quit)},
		{"results", commands(query("", "SELECT nothing"), query("", "SELECT one"), query("", "SELECT empty"))},
		{"result-widths", commands(query("", "SELECT widths"))},
		{"result-many", commands(query("", "SELECT many"))},
		{"errors", commands(query("", "SELECT rejected"), query("", "SELECT retry after"), query("", "SELECT failed"),
			query("", "SELECT left"), query("", "SELECT one"))},
		{"fields", commands(query(",t=south,h=20.5,need_mb=96,r=1,new=1", "SELECT one FROM sales_17.orders"),
			query("", "  SELECT left"), "\x03 /* c=load,i=9B1F03AA5C7E2D41,d=0.5 */ SELECT one")},
		{"malformed-queries", commands("\x03SELECT 1", "\x03/* c=lookup", "\x03/* c */ SELECT 1", query(",d=2", "SELECT 1"),
			query(",t=west", "SELECT 1"), query(",h=-1", "SELECT 1"),
			query(",need_mb=x", "SELECT 1"), query(",r=yes", "SELECT 1"),
			query(",z=1,z=1", "SELECT 1"), query("", ""), "\x03/* c=other,i=9b1f03aa5c7e2d41,d=1 */ SELECT 1",
			"\x03/* c=lookup,i=xb1f03aa5c7e2d41,d=1 */ SELECT 1", "\x03/* c=lookup,d=1 */ SELECT 1",
			"\x03/* c=lookup,i=9b1f03aa5c7e2d41 */ SELECT 1", "\x03/* i=9b1f03aa5c7e2d41,d=1 */ SELECT 1",
			"\x03/* c=lookup,i=9b1f03aa5c7e2d41,d=3600001 */ SELECT 1")},
		{"kill-nobody", commands("\x03KILL QUERY 0", "\x03KILL 17", "\x03kill query 0 ;")},
		{"packet-empty", defaultLogin() + packet(0, "")},
		{"packet-too-large", defaultLogin() + packet(0, strings.Repeat("x", 256<<10+1))},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := dial(t, address)
			_, err := io.WriteString(c, tc.input)
			require.NoError(t, err)
			out, err := io.ReadAll(c)
			require.NoError(t, err)
			recorded.Compare(t, tc.name, dump(maskGreeting(t, out)))
		})
	}
	var decoded []string
	for len(handler.decoded) > 0 {
		decoded = append(decoded, <-handler.decoded)
	}
	recorded.Compare(t, "requests", []byte(strings.Join(decoded, "\n")+"\n"))
}

// TestRecordedKillQuery cancels the query of one session with KILL QUERY on another session, and compares the bytes
// that the server sends on both with recordings.
func TestRecordedKillQuery(t *testing.T) {
	handler := &scriptedHandler{decoded: make(chan string, 10)}
	address := startServer(t, handler)
	c := dial(t, address)
	_, err := io.WriteString(c, defaultLogin()+packet(0, query("", "SELECT endless")))
	require.NoError(t, err)
	<-handler.decoded
	greeting := readPacket(t, c)

	killer := dial(t, address)
	kill := fmt.Sprintf("\x03KILL QUERY %d", sessionID(greeting))
	_, err = io.WriteString(killer, defaultLogin()+packet(0, kill)+packet(0, quit))
	require.NoError(t, err)
	out, err := io.ReadAll(killer)
	require.NoError(t, err)
	recorded.Compare(t, "kill-query-sender", dump(maskGreeting(t, out)))

	_, err = io.WriteString(c, packet(0, ping)+packet(0, quit))
	require.NoError(t, err)
	out, err = io.ReadAll(c)
	require.NoError(t, err)
	recorded.Compare(t, "kill-query-receiver", dump(maskGreeting(t, append(greeting, out...))))
}

// idOffset returns the offset of the session id in the greeting: after the header, the protocol version and the
// server version, which ends with a NUL.
func idOffset(out []byte) int { return 5 + bytes.IndexByte(out[5:], 0) + 1 }

func sessionID(p []byte) uint32 { return binary.LittleEndian.Uint32(p[idOffset(p):]) }

func maskGreeting(t *testing.T, out []byte) []byte {
	t.Helper()
	require.Greater(t, len(out), 40, "the server sent no complete greeting")
	out = bytes.Clone(out)
	copy(out[idOffset(out):], "\x00\x00\x00\x00")
	return out
}

// maxShownBytes is the maximum number of payload bytes that dump prints of a packet. The length and the hash cover the
// whole payload.
const maxShownBytes = 512

// dump returns one line for each packet, with its sequence number, lengths, hash and first bytes, and a line for
// incomplete bytes at the end.
func dump(out []byte) []byte {
	var b bytes.Buffer
	for len(out) >= 4 {
		n := int(out[0]) | int(out[1])<<8 | int(out[2])<<16
		p := out[4:min(4+n, len(out))]
		sum := uint64(14695981039346656037) // FNV-1a
		for _, c := range p {
			sum = (sum ^ uint64(c)) * 1099511628211
		}
		fmt.Fprintf(&b, "%d %d of %d %016x %s %q\n", out[3], len(p), n, sum,
			hex.EncodeToString(p[:min(len(p), maxShownBytes)]), p[:min(len(p), maxShownBytes)])
		out = out[4+len(p):]
	}
	fmt.Fprintf(&b, "and %d bytes: %x\n", len(out), out)
	return b.Bytes()
}
