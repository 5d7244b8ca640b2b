package engine_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"beechcart/admission"
	"beechcart/internal/endpoints"
	"beechcart/internal/engine"
	"beechcart/internal/exchange"
	"beechcart/internal/invariant"
	"beechcart/internal/recorded"
)

// reportRecorder is an engine.Sink that turns each report into a line of text.
type reportRecorder struct {
	lines chan string
	hold  chan struct{} // if not nil, Notify blocks until hold is closed
}

func (s *reportRecorder) AttemptDone(_ *exchange.Exchange, o admission.Outcome, rows []byte) {
	s.lines <- fmt.Sprintf("end id=%s attempt=%d engine=%d status=%d alive=%t work=%d need=%016x report=%s rows=%q\n",
		o.ID, o.Attempt, o.Engine, int(o.Status), o.EngineAlive, int64(o.Work), math.Float64bits(o.MemoryMB),
		reportText(o.Report), rows)
}

func (s *reportRecorder) Notify(ev admission.Event) {
	if s.hold != nil {
		<-s.hold
	}
	switch ev := ev.(type) {
	case admission.Progress:
		s.lines <- fmt.Sprintf("note id=%s attempt=%d engine=%d kind=%d value=%016x\n",
			ev.ID, ev.Attempt, ev.Engine, int(ev.Kind), math.Float64bits(ev.Value))
	case admission.HealthCheckResult:
		s.lines <- fmt.Sprintf("health engine=%d status=%d report=%s\n", ev.Engine, int(ev.Status), reportText(ev.Report))
	}
}

func reportText(r *admission.Report) string {
	if r == nil {
		return "none"
	}
	var b strings.Builder
	for _, f := range []float64{r.InFlight, r.Queued, r.Utilization, r.MemoryUtilization, r.DiskUtilization} {
		fmt.Fprintf(&b, "%016x,", math.Float64bits(f))
	}
	return b.String()
}

// scriptedPeer is a server that sends scripted responses in the order of the calls. The peer records the bytes of each
// call and the number of the connection that carried the call.
type scriptedPeer struct {
	address string
	calls   chan string
}

// Special responses: reset the connection, or keep the connection open and send nothing.
const (
	resetConn  = "reset"
	staySilent = "silent"
)

// variable matches the parts of a call that differ between runs: the port of the peer and the remaining time.
var variable = regexp.MustCompile(`(?m)^(Host: 127\.0\.0\.1:|X-Limit-Ms: )\d+`)

// servePeer starts a peer that responds to the nth call with responses[n], on any connection.
func servePeer(t *testing.T, responses ...string) *scriptedPeer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	p := &scriptedPeer{address: l.Addr().String(), calls: make(chan string, 100)}
	pending := make(chan string, len(responses))
	for _, a := range responses {
		pending <- a
	}
	go func() {
		for conn := 1; ; conn++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c, conn, pending)
		}
	}()
	return p
}

func (p *scriptedPeer) serve(c net.Conn, conn int, pending chan string) {
	defer func() { _ = c.Close() }()
	for r := bufio.NewReader(c); ; {
		call, err := readCall(r)
		if err != nil {
			return
		}
		p.calls <- fmt.Sprintf("connection %d: %q\n", conn, variable.ReplaceAllString(call, "${1}N"))
		switch a := <-pending; a {
		case resetConn:
			_ = c.(*net.TCPConn).SetLinger(0)
			return
		case staySilent:
			_, _ = r.ReadByte()
			return
		default:
			if _, err := io.WriteString(c, a); err != nil {
				return
			}
		}
	}
}

// readCall reads the bytes of one call, including the body.
func readCall(r *bufio.Reader) (string, error) {
	var b strings.Builder
	length := 0
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return "", err
		}
		b.WriteString(line)
		if value, ok := strings.CutPrefix(line, "Content-Length: "); ok {
			if length, err = strconv.Atoi(strings.TrimSpace(value)); err != nil {
				return "", err
			}
		}
		if line == "\r\n" {
			break
		}
	}
	body := make([]byte, length)
	_, err := io.ReadFull(r, body)
	return b.String() + string(body), err
}

func response(status, head, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, head, len(body), body)
}

var (
	servedOnce = response("200 OK", "X-Batches: 1\r\nX-Spent: 12.5\r\nX-Wanted: 96\r\n"+
		"X-Gauges: inflight:7;util:0.61;x0:0.25\r\n", "a\tb\tc\n")
	running         = response("202 Accepted", "X-How: done\r\nX-Num: 0.5\r\n", "")
	spilling        = response("202 Accepted", "X-How: spills\r\nX-Num: 3\r\n", "")
	waiting         = response("202 Accepted", "X-How: waits\r\nX-Num: 1\r\n", "")
	unknownKind     = response("202 Accepted", "X-How: odd\r\nX-Num: 1\r\n", "")
	internalError   = response("500 Error", "", "")
	noContent       = "HTTP/1.1 204 No Content\r\n\r\n"
	chunkedResponse = "HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\nX-Batches: 1\r\n" +
		"Transfer-Encoding: chunked\r\n\r\n3\r\na\tb\r\n3;x=y\r\n\tc\n\r\n0\r\n\r\n"
)

func newRecordedClient(peer *scriptedPeer) (*engine.Client, *reportRecorder) {
	recorder := &reportRecorder{lines: make(chan string, 100)}
	client := engine.New(engine.Options{
		ConnectTimeout: time.Second, DrainGrace: time.Second, Sockets: 100, MayDelete: true, Counters: &invariant.Counters{},
		Classes: []admission.Class{{Idempotency: admission.Idempotent}, {Idempotency: admission.NonIdempotent}},
	}, recorder)
	client.Update(endpoints.List{Endpoints: []endpoints.Endpoint{
		{Engine: admission.Engine{ID: 7, State: admission.Ready}, Name: "s-7", Address: peer.address},
	}})
	return client, recorder
}

func newRequest() *exchange.Exchange {
	return exchange.New(exchange.Request{
		ID: "9b1f03aa5c7e2d41", ClassName: "load", Class: 1, Statement: []byte("SELECT a FROM sales_17.orders"),
	}, time.Now())
}

// The bytes of each call of an attempt and the reported outcome must match the recording.
func TestRecordedAttempts(t *testing.T) {
	for _, tc := range []struct {
		name      string
		responses []string
	}{
		{"served", []string{servedOnce}},
		{"served-in-chunks", []string{chunkedResponse}},
		{"polled", []string{running, spilling, waiting, unknownKind, servedOnce}},
		{"pages", []string{response("200 OK", "X-Batches: 3\r\n", "a\tb\tc\n"),
			response("200 OK", "X-Batch: 1\r\n", "d\te\tf\n"),
			response("200 OK", "X-Batch: 1\r\n", "not\tthis\tone\n"), response("200 OK", "X-Batch: 2\r\n", "g\th\ti\n")}},
		{"page-not-there", []string{response("200 OK", "X-Batches: 2\r\n", "a\tb\tc\n"), internalError}},
		{"error", []string{internalError}},
		{"overloaded", []string{response("503 Full", "X-Unrun: 1\r\n", "")}},
		{"overloaded-after-start", []string{response("503 Full", "", "")}},
		{"not-run-in-time", []string{response("504 Late", "X-Unrun: 1\r\n", "")}},
		{"deleted-elsewhere", []string{noContent}},
		{"reset-then-served", []string{resetConn, servedOnce}},
		{"reset-never-arrived", []string{resetConn, internalError, noContent}},
		{"reset-while-running", []string{running, resetConn, running, internalError}},
		{"silent-then-served", []string{staySilent, servedOnce}},
		{"malformed-then-served", []string{"\x8c\x6d\x4f\r\n\r\n", response("302 Found", "", ""),
			response("200 OK", "X-Batches: 1\r\n", "a\tb\n"), servedOnce}},
		{"closed-then-polled", []string{response("202 Accepted", "Connection: close\r\n", ""), servedOnce}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			peer := servePeer(t, tc.responses...)
			client, recorder := newRecordedClient(peer)
			client.Start(newRequest(), 2, 7, admission.Terms{Priority: 3, GrantMB: 144.5}, 10*time.Second, time.Time{})
			recorded.Compare(t, tc.name, collect(peer, recorder))
		})
	}
}

// collect waits for the end of an attempt, and returns the recorded calls followed by the reports.
func collect(peer *scriptedPeer, recorder *reportRecorder) []byte {
	var out bytes.Buffer
	var lines []string
	for len(lines) == 0 || !strings.HasPrefix(lines[len(lines)-1], "end ") {
		lines = append(lines, <-recorder.lines)
	}
	for len(peer.calls) > 0 {
		out.WriteString(<-peer.calls)
	}
	out.WriteString(strings.Join(lines, ""))
	return out.Bytes()
}

// A cancelled attempt sends a DELETE for its query.
func TestRecordedCancel(t *testing.T) {
	hold := make(chan struct{})
	peer := servePeer(t, running, noContent)
	client, recorder := newRecordedClient(peer)
	recorder.hold = hold
	x := newRequest()
	client.Start(x, 0, 7, admission.Terms{Priority: 1}, 10*time.Second, time.Time{})
	call := <-peer.calls
	client.Cancel(x.ID, 0)
	// Until now the progress report of the first response has blocked the attempt, so the next poll follows the
	// cancellation.
	close(hold)
	recorded.Compare(t, "cancelled", append([]byte(call), collect(peer, recorder)...))
}

// Health checks: one that is repeated after a reset, one without a load report, one with an error status, and one of an
// unknown engine.
func TestRecordedHealthCheck(t *testing.T) {
	gauges := "X-Gauges: outstanding:3;backlog:1;utilization:0.25;x0:0.5;x1:0.75;other:9\r\n"
	peer := servePeer(t, resetConn, response("200 OK", gauges, ""),
		response("200 OK", "", ""), internalError)
	client, recorder := newRecordedClient(peer)
	var out bytes.Buffer
	for range 3 {
		client.CheckHealth(7)
		out.WriteString(<-recorder.lines)
	}
	client.CheckHealth(8) // an engine that is not in the endpoint list
	out.WriteString(<-recorder.lines)
	for len(peer.calls) > 0 {
		out.WriteString(<-peer.calls)
	}
	recorded.Compare(t, "health-check", out.Bytes())
}

// Each poll of the change log contains the number of the last event and the time to wait.
func TestRecordedChangeLog(t *testing.T) {
	peer := servePeer(t, response("200 OK", "", "first"), response("200 OK", "", "second"), internalError,
		response("200 OK", "", "third"), staySilent)
	client, _ := newRecordedClient(peer)
	ctx, cancel := context.WithCancel(context.Background())
	applied := make(chan string, 10)
	ended := make(chan struct{})
	var since int64 = 41
	go func() {
		defer close(ended)
		client.FollowChangeLog(ctx, peer.address, 41, func(text []byte) (int64, error) {
			since++
			applied <- string(text)
			return since, nil
		}, func(error) {})
	}()
	var out bytes.Buffer
	for range 3 {
		fmt.Fprintf(&out, "took %q\n", <-applied)
	}
	for range 5 {
		out.WriteString(<-peer.calls)
	}
	cancel()
	<-ended
	recorded.Compare(t, "change-log", out.Bytes())
}
