package engine

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"beechcart/admission"
	"beechcart/internal/endpoints"
	"beechcart/internal/exchange"
	"beechcart/internal/invariant"
)

// reportedOutcome is what a client reports of an attempt.
type reportedOutcome struct {
	admission.Outcome
	rows string
}

// outcomes is a Sink that passes on the outcomes of attempts.
type outcomes chan reportedOutcome

func (s outcomes) AttemptDone(_ *exchange.Exchange, o admission.Outcome, rows []byte) {
	s <- reportedOutcome{o, string(rows)}
}
func (s outcomes) Notify(admission.Event) {}

// answerOK is an answer with status 200.
func answerOK(head, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
}

const (
	answerUnknown   = "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n"
	answerDeleted   = "HTTP/1.1 204 No Content\r\n\r\n"
	staySilent      = "silent" // in place of an answer: the connection stays open, and nothing is sent
	resetConnection = ""       // in place of an answer: the connection is reset
)

var answerServed = answerOK("X-Batches: 1\r\n", "a\tb\tc\n")

// answerFunc returns the answer to the nth call of its sort.
type answerFunc func(call string, nth int) string

// fakeEngine is an engine whose answers are scripted by call, such as "POST" or "GET 0", and by how often it has come.
type fakeEngine struct {
	answer answerFunc

	mu          sync.Mutex
	calls       map[string]int
	connections map[string]bool // by remote address, those that have carried calls
	silentEnds  []error         // how the connections ended that stayed silent
}

func (e *fakeEngine) count(call string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.calls[call]
}

// connectionCount is the number of connections that have carried calls.
func (e *fakeEngine) connectionCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.connections)
}

func (e *fakeEngine) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	for r := bufio.NewReader(c); ; {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, q.Body)
		call := q.Method
		if call == "GET" {
			call += " " + q.URL.Path[strings.LastIndex(q.URL.Path, "/")+1:]
		}
		e.mu.Lock()
		e.calls[call]++
		nth := e.calls[call]
		e.connections[c.RemoteAddr().String()] = true
		e.mu.Unlock()
		text := e.answer(call, nth)
		if text == resetConnection {
			_ = c.(*net.TCPConn).SetLinger(0)
			return
		}
		if text == staySilent {
			_, err := r.ReadByte()
			e.mu.Lock()
			e.silentEnds = append(e.silentEnds, err)
			e.mu.Unlock()
			return
		}
		_, _ = io.WriteString(c, text)
	}
}

// newTestClient returns a client that knows one engine, with id 7, its outcomes and the engine. Without a script the
// engine serves every query.
func newTestClient(t *testing.T, most int, script answerFunc) (*Client, outcomes, string, *fakeEngine) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	if script == nil {
		script = func(string, int) string { return answerServed }
	}
	e := &fakeEngine{answer: script, calls: map[string]int{}, connections: map[string]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(c)
		}
	}()
	s := make(outcomes, 8)
	c := New(Options{ConnectTimeout: time.Second, Sockets: most, Counters: &invariant.Counters{}}, s)
	c.Update(listOf(l.Addr().String(), admission.Ready))
	return c, s, l.Addr().String(), e
}

func listOf(addr string, state admission.State) endpoints.List {
	e := endpoints.Endpoint{Engine: admission.Engine{ID: 7, State: state}, Name: "s-7", Address: addr}
	return endpoints.List{Endpoints: []endpoints.Endpoint{e}}
}

func newExchange() *exchange.Exchange {
	request := exchange.Request{ID: "9b1f03aa5c7e2d41", ClassName: "load", Statement: []byte("SELECT 1")}
	return exchange.New(request, time.Now())
}

// utilReport is a load report of the utilization alone.
func utilReport(util float64) *admission.Report {
	return &admission.Report{InFlight: -1, Queued: -1, Utilization: util, MemoryUtilization: -1, DiskUtilization: -1}
}
