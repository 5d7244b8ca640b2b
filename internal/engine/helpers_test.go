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

// reportedOutcome is the outcome and the rows that a Client reports for an attempt.
type reportedOutcome struct {
	admission.Outcome
	rows string
}

// outcomes is a Sink that sends the outcomes of attempts to a channel and ignores other reports.
type outcomes chan reportedOutcome

func (c outcomes) AttemptDone(_ *exchange.Exchange, o admission.Outcome, rows []byte) {
	c <- reportedOutcome{o, string(rows)}
}
func (c outcomes) Notify(admission.Event) {}

// responseOK returns a response with status 200, the given extra headers and the given body.
func responseOK(head, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
}

const (
	responseUnknown = "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n"
	responseDeleted = "HTTP/1.1 204 No Content\r\n\r\n"
	staySilent      = "silent" // special response: send nothing and keep the connection open
	resetConnection = ""       // special response: reset the connection
)

var responseServed = responseOK("X-Batches: 1\r\n", "a\tb\tc\n")

// responseFunc returns the response to the nth call of a kind, such as "POST" or "GET 0"; n counts from 1.
type responseFunc func(call string, nth int) string

// fakeEngine is an engine with scripted responses. The script depends on the kind of a call (the method, and for GET
// the last path element, such as "POST" or "GET 0") and on the number of calls of this kind so far.
type fakeEngine struct {
	respond responseFunc

	mu          sync.Mutex
	calls       map[string]int
	connections map[string]bool // remote addresses of the connections that have carried calls
	silentEnds  []error         // read errors at the end of connections that got staySilent
}

func (e *fakeEngine) count(call string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.calls[call]
}

// connectionCount returns the number of connections that have carried calls.
func (e *fakeEngine) connectionCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.connections)
}

func (e *fakeEngine) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	for r := bufio.NewReader(c); ; {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		call := request.Method
		if call == "GET" {
			call += " " + request.URL.Path[strings.LastIndex(request.URL.Path, "/")+1:]
		}
		e.mu.Lock()
		e.calls[call]++
		nth := e.calls[call]
		e.connections[c.RemoteAddr().String()] = true
		e.mu.Unlock()
		reply := e.respond(call, nth)
		if reply == resetConnection {
			_ = c.(*net.TCPConn).SetLinger(0)
			return
		}
		if reply == staySilent {
			_, err := r.ReadByte()
			e.mu.Lock()
			e.silentEnds = append(e.silentEnds, err)
			e.mu.Unlock()
			return
		}
		_, _ = io.WriteString(c, reply)
	}
}

// newTestClient starts a fake engine and returns a client whose endpoint list holds this engine with ID 7, the client's
// sink, the engine's address and the engine. If script is nil, the engine serves every query.
func newTestClient(t *testing.T, maxSockets int, script responseFunc) (*Client, outcomes, string, *fakeEngine) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	if script == nil {
		script = func(string, int) string { return responseServed }
	}
	e := &fakeEngine{respond: script, calls: map[string]int{}, connections: map[string]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(c)
		}
	}()
	sink := make(outcomes, 8)
	c := New(Options{ConnectTimeout: time.Second, Sockets: maxSockets, Counters: &invariant.Counters{}}, sink)
	c.Update(listOf(l.Addr().String(), admission.Ready))
	return c, sink, l.Addr().String(), e
}

func listOf(addr string, state admission.State) endpoints.List {
	e := endpoints.Endpoint{Engine: admission.Engine{ID: 7, State: state}, Name: "s-7", Address: addr}
	return endpoints.List{Endpoints: []endpoints.Endpoint{e}}
}

func newExchange() *exchange.Exchange {
	request := exchange.Request{ID: "9b1f03aa5c7e2d41", ClassName: "load", Statement: []byte("SELECT 1")}
	return exchange.New(request, time.Now())
}

// utilReport returns a load report with only the utilization.
func utilReport(util float64) *admission.Report {
	return &admission.Report{InFlight: -1, Queued: -1, Utilization: util, MemoryUtilization: -1, DiskUtilization: -1}
}
