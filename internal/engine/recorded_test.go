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

// reportRecorder takes what the engine client passes on, and keeps it as lines of numbers.
type reportRecorder struct {
	lines chan string
	hold  chan struct{} // where it is not nil: nothing is taken before it is closed
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

// scriptedPeer answers the calls that come to it in turn. It keeps the bytes of each, with the connection that
// brought it.
type scriptedPeer struct {
	address string
	calls   chan string
}

// An answer that resets the connection, and one that leaves it open and sends nothing.
const (
	resetConn  = "reset"
	staySilent = "silent"
)

// variable is what differs from run to run: the port of the peer, and the time that is left.
var variable = regexp.MustCompile(`(?m)^(Host: 127\.0\.0\.1:|X-Limit-Ms: )\d+`)

// servePeer answers the nth call with answers[n], whatever connection brings it.
func servePeer(t *testing.T, answers ...string) *scriptedPeer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	p := &scriptedPeer{address: l.Addr().String(), calls: make(chan string, 100)}
	pending := make(chan string, len(answers))
	for _, a := range answers {
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

// readCall reads the bytes of one call, its body included.
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

func answer(status, head, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, head, len(body), body)
}

var (
	servedOnce = answer("200 OK", "X-Batches: 1\r\nX-Spent: 12.5\r\nX-Wanted: 96\r\n"+
		"X-Gauges: inflight:7;util:0.61;x0:0.25\r\n", "a\tb\tc\n")
	running   = answer("202 Accepted", "X-How: done\r\nX-Num: 0.5\r\n", "")
	spilling  = answer("202 Accepted", "X-How: spills\r\nX-Num: 3\r\n", "")
	waiting   = answer("202 Accepted", "X-How: waits\r\nX-Num: 1\r\n", "")
	odd       = answer("202 Accepted", "X-How: odd\r\nX-Num: 1\r\n", "")
	unknown   = answer("500 Error", "", "")
	noContent = "HTTP/1.1 204 No Content\r\n\r\n"
	chunked   = "HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\nX-Batches: 1\r\n" +
		"Transfer-Encoding: chunked\r\n\r\n3\r\na\tb\r\n3;x=y\r\n\tc\n\r\n0\r\n\r\n"
)

func newRecordedClient(p *scriptedPeer) (*engine.Client, *reportRecorder) {
	s := &reportRecorder{lines: make(chan string, 100)}
	f := engine.New(engine.Options{
		ConnectTimeout: time.Second, DrainGrace: time.Second, Sockets: 100, MayDelete: true, Counters: &invariant.Counters{},
		Classes: []admission.Class{{Idempotency: admission.Idempotent}, {Idempotency: admission.NonIdempotent}},
	}, s)
	f.Update(endpoints.List{Endpoints: []endpoints.Endpoint{
		{Engine: admission.Engine{ID: 7, State: admission.Ready}, Name: "s-7", Address: p.address},
	}})
	return f, s
}

func newRequest() *exchange.Exchange {
	return exchange.New(exchange.Request{
		ID: "9b1f03aa5c7e2d41", ClassName: "load", Class: 1, Statement: []byte("SELECT a FROM sales_17.orders"),
	}, time.Now())
}

// The calls of an attempt, and what it ends with, are as they were recorded.
func TestRecordedAttempts(t *testing.T) {
	for _, k := range []struct {
		name    string
		answers []string
	}{
		{"served", []string{servedOnce}},
		{"served-in-chunks", []string{chunked}},
		{"polled", []string{running, spilling, waiting, odd, servedOnce}},
		{"pages", []string{answer("200 OK", "X-Batches: 3\r\n", "a\tb\tc\n"), answer("200 OK", "X-Batch: 1\r\n", "d\te\tf\n"),
			answer("200 OK", "X-Batch: 1\r\n", "not\tthis\tone\n"), answer("200 OK", "X-Batch: 2\r\n", "g\th\ti\n")}},
		{"page-not-there", []string{answer("200 OK", "X-Batches: 2\r\n", "a\tb\tc\n"), unknown}},
		{"error", []string{unknown}},
		{"overloaded", []string{answer("503 Full", "X-Unrun: 1\r\n", "")}},
		{"overloaded-after-start", []string{answer("503 Full", "", "")}},
		{"not-run-in-time", []string{answer("504 Late", "X-Unrun: 1\r\n", "")}},
		{"deleted-elsewhere", []string{noContent}},
		{"reset-then-served", []string{resetConn, servedOnce}},
		{"reset-never-arrived", []string{resetConn, unknown, noContent}},
		{"reset-while-running", []string{running, resetConn, running, unknown}},
		{"silent-then-served", []string{staySilent, servedOnce}},
		{"malformed-then-served", []string{"\x8c\x6d\x4f\r\n\r\n", answer("302 Found", "", ""),
			answer("200 OK", "X-Batches: 1\r\n", "a\tb\n"), servedOnce}},
		{"closed-then-polled", []string{answer("202 Accepted", "Connection: close\r\n", ""), servedOnce}},
	} {
		t.Run(k.name, func(t *testing.T) {
			t.Parallel()
			p := servePeer(t, k.answers...)
			f, s := newRecordedClient(p)
			f.Start(newRequest(), 2, 7, admission.Terms{Priority: 3, GrantMB: 144.5}, 10*time.Second, time.Time{})
			recorded.Compare(t, k.name, collect(p, s))
		})
	}
}

// collect returns the calls, and then the reports, up to the end of the attempt.
func collect(p *scriptedPeer, s *reportRecorder) []byte {
	var out bytes.Buffer
	var lines []string
	for len(lines) == 0 || !strings.HasPrefix(lines[len(lines)-1], "end ") {
		lines = append(lines, <-s.lines)
	}
	for len(p.calls) > 0 {
		out.WriteString(<-p.calls)
	}
	out.WriteString(strings.Join(lines, ""))
	return out.Bytes()
}

// An attempt that is given up asks its engine to delete the query.
func TestRecordedCancel(t *testing.T) {
	hold := make(chan struct{})
	p := servePeer(t, running, noContent)
	f, s := newRecordedClient(p)
	s.hold = hold
	x := newRequest()
	f.Start(x, 0, 7, admission.Terms{Priority: 1}, 10*time.Second, time.Time{})
	call := <-p.calls
	f.Cancel(x.ID, 0)
	close(hold) // the note of the first answer passes only now, so the poll after it comes behind the cancellation
	recorded.Compare(t, "cancelled", append([]byte(call), collect(p, s)...))
}

// A health check, and one that is reset and made again.
func TestRecordedHealthCheck(t *testing.T) {
	gauges := "X-Gauges: outstanding:3;backlog:1;utilization:0.25;x0:0.5;x1:0.75;other:9\r\n"
	p := servePeer(t, resetConn, answer("200 OK", gauges, ""),
		answer("200 OK", "", ""), unknown)
	f, s := newRecordedClient(p)
	var out bytes.Buffer
	for range 3 {
		f.CheckHealth(7)
		out.WriteString(<-s.lines)
	}
	f.CheckHealth(8) // nobody knows it
	out.WriteString(<-s.lines)
	for len(p.calls) > 0 {
		out.WriteString(<-p.calls)
	}
	recorded.Compare(t, "health-check", out.Bytes())
}

// The polls of the change log say which event came last, and how long to wait.
func TestRecordedChangeLog(t *testing.T) {
	p := servePeer(t, answer("200 OK", "", "first"), answer("200 OK", "", "second"), unknown,
		answer("200 OK", "", "third"), staySilent)
	f, _ := newRecordedClient(p)
	ctx, cancel := context.WithCancel(context.Background())
	taken := make(chan string, 10)
	ended := make(chan struct{})
	var since int64 = 41
	go func() {
		defer close(ended)
		f.FollowChangeLog(ctx, p.address, 41, func(text []byte) (int64, error) {
			since++
			taken <- string(text)
			return since, nil
		}, func(error) {})
	}()
	var out bytes.Buffer
	for range 3 {
		fmt.Fprintf(&out, "took %q\n", <-taken)
	}
	for range 5 {
		out.WriteString(<-p.calls)
	}
	cancel()
	<-ended
	recorded.Compare(t, "change-log", out.Bytes())
}
