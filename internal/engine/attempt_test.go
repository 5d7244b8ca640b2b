package engine

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"beechcart/admission"
	"beechcart/internal/endpoints"
	"beechcart/internal/exchange"
	"beechcart/internal/invariant"
)

type ending struct {
	admission.Outcome
	rows string
}

type sink chan ending

func (s sink) AttemptDone(_ *exchange.Exchange, o admission.Outcome, rows []byte) {
	s <- ending{o, string(rows)}
}
func (s sink) Notify(admission.Event) {}

// ok is an answer as an engine words it.
func ok(head, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
}

const (
	unknown = "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n"
	gone    = "HTTP/1.1 204 No Content\r\n\r\n"
	silent  = "silent" // in place of an answer: nothing, on a connection that stays open
	reset   = ""       // in place of an answer: the connection is reset
)

var good = ok("X-Batches: 1\r\n", "a\tb\tc\n")

// script is an engine that answers as it is told to: calls such as "POST" or "GET 0", by how often each came.
type script struct {
	answer func(call string, nth int) string

	mu    sync.Mutex
	calls map[string]int
	lines map[string]bool // connections that carried calls
	ends  []error         // how those ended that were silent
}

func (e *script) count(call string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.calls[call]
}

// conns is how many connections have carried calls.
func (e *script) conns() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.lines)
}

func (e *script) serve(c net.Conn) {
	defer c.Close()
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
		e.lines[c.RemoteAddr().String()] = true
		e.mu.Unlock()
		text := e.answer(call, nth)
		if text == reset {
			_ = c.(*net.TCPConn).SetLinger(0)
			return
		}
		if text == silent {
			_, err := r.ReadByte()
			e.mu.Lock()
			e.ends = append(e.ends, err)
			e.mu.Unlock()
			return
		}
		_, _ = io.WriteString(c, text)
	}
}

// newFleet returns a fleet of one engine, which serves all unless a script is given.
func newFleet(t *testing.T, most int, answer func(call string, nth int) string) (*Client, sink, string, *script) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	if answer == nil {
		answer = func(string, int) string { return good }
	}
	e := &script{answer: answer, calls: map[string]int{}, lines: map[string]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(c)
		}
	}()
	s := make(sink, 8)
	f := New(Options{ConnectTimeout: time.Second, Sockets: most, Counters: &invariant.Counters{}}, s)
	f.Update(list(l.Addr().String(), admission.Ready))
	return f, s, l.Addr().String(), e
}

func list(addr string, state admission.State) endpoints.List {
	return endpoints.List{Endpoints: []endpoints.Endpoint{{Engine: admission.Engine{ID: 7, State: state}, Name: "s-7", Address: addr}}}
}

func newExchange() *exchange.Exchange {
	return exchange.New(exchange.Request{ID: "9b1f03aa5c7e2d41", ClassName: "load", Statement: []byte("SELECT 1")}, time.Now())
}

// Whatever is wrong with an answer, the query has run and its answer can be had again, on a new connection.
func TestSpoiltAnswersAreAskedForAgain(t *testing.T) {
	rows := "a\tb\tc\n"
	for name, spoilt := range map[string]string{
		"noise":             "\x8c\x6d\x4f\r\n\r\n",
		"code is no number": strings.Replace(good, "200", "2x0", 1),
		"not HTTP":          strings.Replace(good, "HTTP/1.1", "ICY", 1),
		"two lengths":       ok("X-Batches: 1\r\nContent-Length: 3\r\n", rows),
		"claims 3 GB":       "HTTP/1.1 200 OK\r\nX-Batches: 1\r\nContent-Length: 3000000000\r\n\r\n" + rows,
		"no length":         "HTTP/1.1 200 OK\r\nX-Batches: 1\r\n\r\n" + rows,
		"bad chunk":         "HTTP/1.1 200 OK\r\nX-Batches: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nzz\r\n",
		"endless head":      "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Pad: ppppppppp\r\n", maxHead/16),
		"pages not told":    ok("", rows),
		"no pages":          ok("X-Batches: 0\r\n", rows),
		"signed cost":       ok("X-Batches: 1\r\nX-Spent: +5\r\n", rows),
		"cost is no number": ok("X-Batches: 1\r\nX-Spent: NaN\r\n", rows),
		"rows of two":       ok("X-Batches: 1\r\n", "a\tb\n"),
		"half a row":        ok("X-Batches: 1\r\n", "a\tb\tc"),
		"a redirect":        strings.Replace(good, "200", "302", 1),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, s, _, e := newFleet(t, 100, func(call string, nth int) string {
				if call == "POST" || nth == 1 {
					return spoilt
				}
				return good
			})
			f.Start(newExchange(), 0, 7, admission.Terms{Priority: 1}, 10*time.Second, time.Time{})
			end := <-s
			assert.Equal(t, admission.OK, end.Status)
			assert.Equal(t, rows, end.rows)
			assert.Equal(t, []int{1, 2}, []int{e.count("POST"), e.count("GET 0")})
			assert.Equal(t, 3, e.conns(), "a connection that brought noise was used again")
		})
	}
}

func TestWhatComesWithAGoodAnswerIsNotReadAsTheNext(t *testing.T) {
	pages := []string{"a\tb\tc\n", "d\te\tf\n", "g\th\ti\n"}
	first := ok("X-Batches: 3\r\n", pages[0])
	interim := "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n"
	f, s, _, e := newFleet(t, 100, func(call string, nth int) string {
		switch call {
		case "POST":
			return interim + first + first
		case "GET 1":
			if nth == 1 {
				return ok("X-Batch: 2\r\n", pages[2]) // another page
			}
			return ok("X-Batch: 1\r\n", pages[1]) + "\x8c\x6d\x4f noise"
		}
		return ok("X-Batch: 2\r\n", pages[2])
	})
	f.Start(newExchange(), 0, 7, admission.Terms{Priority: 1}, 10*time.Second, time.Time{})
	end := <-s
	assert.Equal(t, admission.OK, end.Status)
	assert.Equal(t, strings.Join(pages, ""), end.rows)
	assert.Zero(t, e.count("GET 0"), "what came ahead of the answer, or after it, took nothing from it")
}

// A copy of an answer may come at any time later; nothing in it tells that it is none of the next query's.
func TestNoConnectionCarriesTwoQueries(t *testing.T) {
	f, s, _, e := newFleet(t, 100, nil)
	for n := range 3 {
		f.Start(newExchange(), n, 7, admission.Terms{Priority: 1}, 10*time.Second, time.Time{})
		require.Equal(t, admission.OK, (<-s).Status)
		assert.Equal(t, n+1, e.conns())
	}
}

func TestAQueryThatNeverArrivedIsOverAtOnce(t *testing.T) {
	f, s, _, e := newFleet(t, 100, func(call string, nth int) string {
		switch {
		case call == "DELETE":
			return gone
		case call == "POST" || nth < 4:
			return reset
		}
		return unknown
	})
	f.Start(newExchange(), 0, 7, admission.Terms{Priority: 1}, 10*time.Second, time.Time{})
	end := <-s
	assert.Equal(t, admission.Reset, end.Status, "it may have run, for all that we know")
	assert.True(t, end.Alive, "the engine has answered since")
	assert.Equal(t, 4, e.count("GET 0"), "a reset says little, however often")
	assert.Equal(t, 1, e.count("DELETE"), "what lies unread at its machine is taken back")
	assert.Zero(t, f.opt.Counters.Get("lost_attempt"), "it was waited for until nobody had asked for it in 2 s")
}

// Connections go silent now and then; the engine behind them is well, and has not read the query.
func TestAQueryOnASilentConnectionIsGivenUp(t *testing.T) {
	f, s, _, e := newFleet(t, 100, func(call string, _ int) string {
		switch call {
		case "POST":
			return silent
		case "DELETE":
			return gone
		}
		return unknown
	})
	f.Start(newExchange(), 0, 7, admission.Terms{Priority: 1}, 10*time.Second, time.Time{})
	end := <-s
	assert.Equal(t, admission.Reset, end.Status, "it may have run, for all that we know")
	assert.True(t, end.Alive)
	assert.Zero(t, f.opt.Counters.Get("lost_attempt"), "it was waited for until nobody had asked for it in 2 s")
	assert.Equal(t, []int{1, 1}, []int{e.count("GET 0"), e.count("DELETE")})
	e.mu.Lock()
	defer e.mu.Unlock()
	require.Len(t, e.ends, 1, "the silent connection ends before the query counts as over")
	assert.ErrorIs(t, e.ends[0], syscall.ECONNRESET)
}

// Guards against asking for good for a query that never ends: where queries may not be deleted nothing else ends it.
func TestAQueryThatNobodyWaitsForIsLeftToBeForgotten(t *testing.T) {
	for _, deletes := range []bool{false, true} {
		t.Run(fmt.Sprint("deletes ", deletes), func(t *testing.T) {
			t.Parallel()
			x := newExchange()
			f, s, _, e := newFleet(t, 100, func(call string, nth int) string {
				if call == "DELETE" {
					return gone
				}
				if nth == 3 {
					x.Settle(exchange.Answer{Kind: exchange.Failed})
				}
				return "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"
			})
			f.opt.MayDelete = deletes
			f.Start(x, 0, 7, admission.Terms{Priority: 1}, 10*time.Second, time.Time{})
			if <-x.Done(); deletes {
				f.Cancel(x.ID, 0)
			}
			settled, asked := time.Now(), e.count("GET 0")
			end := <-s
			assert.Equal(t, admission.Cancelled, end.Status)
			if deletes {
				assert.Equal(t, 1, e.count("DELETE"))
				return
			}
			assert.Zero(t, e.count("DELETE"))
			assert.Greater(t, time.Since(settled), 2*time.Second, "it counts as over before its engine has forgotten it")
			assert.LessOrEqual(t, e.count("GET 0"), asked+1, "it was asked for on")
			assert.Zero(t, f.socks.used, "its connection is held")
		})
	}
}

func TestAnAnswerThatStopsShortIsAskedForAgain(t *testing.T) {
	f, s, _, e := newFleet(t, 100, func(call string, _ int) string {
		if call == "POST" {
			return good[:len(good)-3]
		}
		return good
	})
	f.Start(newExchange(), 0, 7, admission.Terms{Priority: 1}, 10*time.Second, time.Time{})
	end := <-s
	assert.Equal(t, admission.OK, end.Status)
	assert.Equal(t, "a\tb\tc\n", end.rows)
	assert.Equal(t, 1, e.count("GET 0"))
}

func TestAPageThatTheEngineHasNoMore(t *testing.T) {
	f, s, _, _ := newFleet(t, 100, func(call string, _ int) string {
		if call == "POST" {
			return ok("X-Batches: 2\r\n", "a\tb\tc\n")
		}
		return unknown
	})
	f.Start(newExchange(), 0, 7, admission.Terms{Priority: 1}, 10*time.Second, time.Time{})
	end := <-s
	assert.Equal(t, admission.Errored, end.Status)
	assert.Empty(t, end.rows)
}

// The address of an engine that is gone may belong to another by now.
func TestNobodyAtTheAddressOfAGoneEngineIsAsked(t *testing.T) {
	t.Parallel()
	arrived, leave := make(chan struct{}), make(chan struct{})
	f, s, addr, e := newFleet(t, 100, func(string, int) string {
		close(arrived)
		<-leave
		return reset
	})
	f.Start(newExchange(), 0, 7, admission.Terms{Priority: 1}, 10*time.Second, time.Time{})
	<-arrived
	f.Update(list(addr, admission.Removed))
	close(leave)
	assert.Equal(t, admission.Reset, (<-s).Status)
	assert.Zero(t, e.count("GET 0"))
	assert.EqualValues(t, 1, f.opt.Counters.Get("lost_attempt"), "it was out until nobody had asked for it in 2 s")
}

func TestAProbeThatWasResetIsSentAgain(t *testing.T) {
	f, _, _, e := newFleet(t, 100, func(_ string, nth int) string {
		if nth == 1 {
			return reset
		}
		return ok("X-Gauges: util:0.25\r\n", "")
	})
	status, rep, err := f.peer(7).probe()
	require.NoError(t, err)
	assert.Equal(t, admission.OK, status)
	assert.Equal(t, 0.25, rep.Util)
	assert.Equal(t, 2, e.count("GET gauges"))
}

func TestNothingIsSentToAnEngineThatDrains(t *testing.T) {
	f, s, addr, _ := newFleet(t, 100, nil)
	f.Update(list(addr, admission.Draining))
	f.Start(newExchange(), 0, 7, admission.Terms{Priority: 1}, time.Second, time.Time{})
	assert.Equal(t, admission.NotSent, (<-s).Status)
	f.Update(list(addr, admission.Ready))
	f.Start(newExchange(), 0, 7, admission.Terms{Priority: 1}, time.Second, time.Time{})
	assert.Equal(t, admission.OK, (<-s).Status)
}

func TestAnEngineThatLeftTheListMayComeBack(t *testing.T) {
	f, s, addr, _ := newFleet(t, 100, nil)
	f.Update(endpoints.List{Complete: true})
	f.Start(newExchange(), 0, 7, admission.Terms{Priority: 1}, time.Second, time.Time{})
	require.Equal(t, admission.NotSent, (<-s).Status)
	f.Update(list(addr, admission.Ready))
	f.Start(newExchange(), 0, 7, admission.Terms{Priority: 1}, time.Second, time.Time{})
	assert.Equal(t, admission.OK, (<-s).Status)
}

func TestAttemptsLeaveTheReserveAlone(t *testing.T) {
	f, s, _, _ := newFleet(t, 8, nil) // one of them is the reserve
	for range 7 {
		require.True(t, f.socks.take(false))
	}
	f.Start(newExchange(), 0, 7, admission.Terms{Priority: 1}, time.Second, time.Time{})
	assert.Equal(t, admission.Overloaded, (<-s).Status)
	assert.True(t, f.socks.take(true), "a probe finds a socket")
	assert.False(t, f.socks.take(true))
}

func TestRefusedConnectionProvesThatNothingRan(t *testing.T) {
	f, s, _, _ := newFleet(t, 100, nil)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	f.Update(list(l.Addr().String(), admission.Ready))
	f.Start(newExchange(), 0, 7, admission.Terms{Priority: 1}, time.Second, time.Time{})
	assert.Equal(t, admission.ConnectFailed, (<-s).Status)
}

// goneClient is a client that has gone.
type goneClient struct{ looks int }

func (c *goneClient) SettleIfGone(x *exchange.Exchange) bool {
	c.looks++
	return x.Settle(exchange.Answer{Kind: exchange.ClientGone})
}

// The client has gone, and its session has not heard of it yet: the last look before the POST finds out.
func TestAnAttemptLooksForItsClientLast(t *testing.T) {
	f, s, _, e := newFleet(t, 100, nil)
	x := newExchange()
	client := &goneClient{}
	x.Client = client
	f.Start(x, 0, 7, admission.Terms{Priority: 1}, 10*time.Second, time.Time{})
	assert.Equal(t, admission.NotSent, (<-s).Status)
	assert.Equal(t, 1, client.looks)
	assert.Zero(t, e.count("POST"))
}
