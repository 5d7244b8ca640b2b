package engine

import (
	"fmt"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"beechcart/admission"
	"beechcart/internal/endpoints"
	"beechcart/internal/exchange"
)

// The query has run, and its answer can be polled again on a new connection.
func TestMalformedAnswersArePolledAgain(t *testing.T) {
	rows := "a\tb\tc\n"
	for name, malformed := range map[string]string{
		"noise":             "\x8c\x6d\x4f\r\n\r\n",
		"code is no number": strings.Replace(answerServed, "200", "2x0", 1),
		"not HTTP":          strings.Replace(answerServed, "HTTP/1.1", "ICY", 1),
		"two lengths":       answerOK("X-Batches: 1\r\nContent-Length: 3\r\n", rows),
		"claims 3 GB":       "HTTP/1.1 200 OK\r\nX-Batches: 1\r\nContent-Length: 3000000000\r\n\r\n" + rows,
		"no length":         "HTTP/1.1 200 OK\r\nX-Batches: 1\r\n\r\n" + rows,
		"bad chunk":         "HTTP/1.1 200 OK\r\nX-Batches: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nzz\r\n",
		"endless head":      "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Pad: ppppppppp\r\n", maxHeadBytes/16),
		"no page count":     answerOK("", rows),
		"no pages":          answerOK("X-Batches: 0\r\n", rows),
		"signed cost":       answerOK("X-Batches: 1\r\nX-Spent: +5\r\n", rows),
		"cost is no number": answerOK("X-Batches: 1\r\nX-Spent: NaN\r\n", rows),
		"rows of two":       answerOK("X-Batches: 1\r\n", "a\tb\n"),
		"half a row":        answerOK("X-Batches: 1\r\n", "a\tb\tc"),
		"a redirect":        strings.Replace(answerServed, "200", "302", 1),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c, s, _, e := newTestClient(t, 100, func(call string, nth int) string {
				if call == "POST" || nth == 1 {
					return malformed
				}
				return answerServed
			})
			c.Start(newExchange(), 0, 7, admission.Terms{Priority: 1}, 10*time.Second, time.Time{})
			end := <-s
			assert.Equal(t, admission.OK, end.Status)
			assert.Equal(t, rows, end.rows)
			assert.Equal(t, []int{1, 2}, []int{e.count("POST"), e.count("GET 0")})
			assert.Equal(t, 3, e.connectionCount(), "a connection that brought a malformed answer was used again")
		})
	}
}

func TestSurplusBytesAreNotReadAsTheNextAnswer(t *testing.T) {
	pages := []string{"a\tb\tc\n", "d\te\tf\n", "g\th\ti\n"}
	first := answerOK("X-Batches: 3\r\n", pages[0])
	interim := "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n"
	c, s, _, e := newTestClient(t, 100, func(call string, nth int) string {
		switch call {
		case "POST":
			return interim + first + first
		case "GET 1":
			if nth == 1 {
				return answerOK("X-Batch: 2\r\n", pages[2]) // another page
			}
			return answerOK("X-Batch: 1\r\n", pages[1]) + "\x8c\x6d\x4f noise"
		}
		return answerOK("X-Batch: 2\r\n", pages[2])
	})
	c.Start(newExchange(), 0, 7, admission.Terms{Priority: 1}, 10*time.Second, time.Time{})
	end := <-s
	assert.Equal(t, admission.OK, end.Status)
	assert.Equal(t, strings.Join(pages, ""), end.rows)
	assert.Zero(t, e.count("GET 0"), "the bytes around the answer have not invalidated it")
}

// A duplicate of an answer may arrive at any time, and does not say which query it belongs to.
func TestNoConnectionCarriesTwoQueries(t *testing.T) {
	c, s, _, e := newTestClient(t, 100, nil)
	for n := range 3 {
		c.Start(newExchange(), n, 7, admission.Terms{Priority: 1}, 10*time.Second, time.Time{})
		require.Equal(t, admission.OK, (<-s).Status)
		assert.Equal(t, n+1, e.connectionCount())
	}
}

func TestQueryThatNeverArrivedEndsAtOnce(t *testing.T) {
	c, s, _, e := newTestClient(t, 100, func(call string, nth int) string {
		switch {
		case call == "DELETE":
			return answerDeleted
		case call == "POST" || nth < 4:
			return resetConnection
		}
		return answerUnknown
	})
	c.Start(newExchange(), 0, 7, admission.Terms{Priority: 1}, 10*time.Second, time.Time{})
	end := <-s
	assert.Equal(t, admission.Reset, end.Status, "it may have run")
	assert.True(t, end.EngineAlive, "the engine has answered since")
	assert.Equal(t, 4, e.count("GET 0"), "resets do not prove that the engine is gone")
	assert.Equal(t, 1, e.count("DELETE"), "a POST that its machine holds unread is withdrawn")
	assert.Zero(t, c.options.Counters.Get("lost_attempt"), "the attempt waited for its query to expire")
}

// A connection may go silent while the engine behind it is alive and has not read the query.
func TestQueryOnASilentConnectionIsWithdrawn(t *testing.T) {
	c, s, _, e := newTestClient(t, 100, func(call string, _ int) string {
		switch call {
		case "POST":
			return staySilent
		case "DELETE":
			return answerDeleted
		}
		return answerUnknown
	})
	c.Start(newExchange(), 0, 7, admission.Terms{Priority: 1}, 10*time.Second, time.Time{})
	end := <-s
	assert.Equal(t, admission.Reset, end.Status, "it may have run")
	assert.True(t, end.EngineAlive)
	assert.Zero(t, c.options.Counters.Get("lost_attempt"), "the attempt waited for its query to expire")
	assert.Equal(t, []int{1, 1}, []int{e.count("GET 0"), e.count("DELETE")})
	e.mu.Lock()
	defer e.mu.Unlock()
	require.Len(t, e.silentEnds, 1, "the silent connection is reset before the attempt ends")
	assert.ErrorIs(t, e.silentEnds[0], syscall.ECONNRESET)
}

// Where queries may not be deleted, nothing but the end of its polls ends a query that would never end.
func TestAbandonedQueryIsLeftToExpire(t *testing.T) {
	for _, deletes := range []bool{false, true} {
		t.Run(fmt.Sprint("deletes ", deletes), func(t *testing.T) {
			t.Parallel()
			x := newExchange()
			c, s, _, e := newTestClient(t, 100, func(call string, nth int) string {
				if call == "DELETE" {
					return answerDeleted
				}
				if nth == 3 {
					x.Settle(exchange.Answer{Kind: exchange.Failed})
				}
				return "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"
			})
			c.options.MayDelete = deletes
			c.Start(x, 0, 7, admission.Terms{Priority: 1}, 10*time.Second, time.Time{})
			if <-x.Done(); deletes {
				c.Cancel(x.ID, 0)
			}
			settled, asked := time.Now(), e.count("GET 0")
			end := <-s
			assert.Equal(t, admission.Cancelled, end.Status)
			if deletes {
				assert.Equal(t, 1, e.count("DELETE"))
				return
			}
			assert.Zero(t, e.count("DELETE"))
			assert.Greater(t, time.Since(settled), 2*time.Second, "the attempt ends before its query has expired")
			assert.LessOrEqual(t, e.count("GET 0"), asked+1, "the query was polled further")
			assert.Zero(t, c.sockets.used, "its connection is released")
		})
	}
}

func TestTruncatedAnswerIsPolledAgain(t *testing.T) {
	c, s, _, e := newTestClient(t, 100, func(call string, _ int) string {
		if call == "POST" {
			return answerServed[:len(answerServed)-3]
		}
		return answerServed
	})
	c.Start(newExchange(), 0, 7, admission.Terms{Priority: 1}, 10*time.Second, time.Time{})
	end := <-s
	assert.Equal(t, admission.OK, end.Status)
	assert.Equal(t, "a\tb\tc\n", end.rows)
	assert.Equal(t, 1, e.count("GET 0"))
}

func TestPageThatTheEngineNoLongerHas(t *testing.T) {
	c, s, _, _ := newTestClient(t, 100, func(call string, _ int) string {
		if call == "POST" {
			return answerOK("X-Batches: 2\r\n", "a\tb\tc\n")
		}
		return answerUnknown
	})
	c.Start(newExchange(), 0, 7, admission.Terms{Priority: 1}, 10*time.Second, time.Time{})
	end := <-s
	assert.Equal(t, admission.Errored, end.Status)
	assert.Empty(t, end.rows)
}

// The address of an engine that is gone may belong to another one.
func TestSuccessorAtTheAddressIsNotPolled(t *testing.T) {
	t.Parallel()
	arrived, leave := make(chan struct{}), make(chan struct{})
	c, s, addr, e := newTestClient(t, 100, func(string, int) string {
		close(arrived)
		<-leave
		return resetConnection
	})
	c.Start(newExchange(), 0, 7, admission.Terms{Priority: 1}, 10*time.Second, time.Time{})
	<-arrived
	c.Update(listOf(addr, admission.Removed))
	close(leave)
	assert.Equal(t, admission.Reset, (<-s).Status)
	assert.Zero(t, e.count("GET 0"))
	assert.EqualValues(t, 1, c.options.Counters.Get("lost_attempt"), "the attempt waited for its query to expire")
}

func TestResetHealthCheckIsRetried(t *testing.T) {
	c, _, _, e := newTestClient(t, 100, func(_ string, nth int) string {
		if nth == 1 {
			return resetConnection
		}
		return answerOK("X-Gauges: util:0.25\r\n", "")
	})
	status, rep, err := c.instance(7).checkHealth()
	require.NoError(t, err)
	assert.Equal(t, admission.OK, status)
	assert.Equal(t, utilReport(0.25), rep)
	assert.Equal(t, 2, e.count("GET gauges"))
}

func TestNothingIsSentToADrainingEngine(t *testing.T) {
	c, s, addr, _ := newTestClient(t, 100, nil)
	c.Update(listOf(addr, admission.Draining))
	c.Start(newExchange(), 0, 7, admission.Terms{Priority: 1}, time.Second, time.Time{})
	assert.Equal(t, admission.NotSent, (<-s).Status)
	c.Update(listOf(addr, admission.Ready))
	c.Start(newExchange(), 0, 7, admission.Terms{Priority: 1}, time.Second, time.Time{})
	assert.Equal(t, admission.OK, (<-s).Status)
}

func TestRemovedEngineMayComeBack(t *testing.T) {
	c, s, addr, _ := newTestClient(t, 100, nil)
	c.Update(endpoints.List{Complete: true})
	c.Start(newExchange(), 0, 7, admission.Terms{Priority: 1}, time.Second, time.Time{})
	require.Equal(t, admission.NotSent, (<-s).Status)
	c.Update(listOf(addr, admission.Ready))
	c.Start(newExchange(), 0, 7, admission.Terms{Priority: 1}, time.Second, time.Time{})
	assert.Equal(t, admission.OK, (<-s).Status)
}

func TestAttemptsDoNotUseTheSocketReserve(t *testing.T) {
	c, s, _, _ := newTestClient(t, 8, nil) // the reserve is one of them
	for range 7 {
		require.True(t, c.sockets.acquire(ordinaryUse))
	}
	c.Start(newExchange(), 0, 7, admission.Terms{Priority: 1}, time.Second, time.Time{})
	assert.Equal(t, admission.Overloaded, (<-s).Status)
	assert.True(t, c.sockets.acquire(urgentUse), "a health check finds a socket")
	assert.False(t, c.sockets.acquire(urgentUse))
}

func TestRefusedConnectionProvesThatNothingRan(t *testing.T) {
	c, s, _, _ := newTestClient(t, 100, nil)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	c.Update(listOf(l.Addr().String(), admission.Ready))
	c.Start(newExchange(), 0, 7, admission.Terms{Priority: 1}, time.Second, time.Time{})
	assert.Equal(t, admission.ConnectFailed, (<-s).Status)
}

// disconnectedClient is a client that has disconnected.
type disconnectedClient struct{ checks int }

func (c *disconnectedClient) SettleIfGone(x *exchange.Exchange) bool {
	c.checks++
	return x.Settle(exchange.Answer{Kind: exchange.ClientGone})
}

// The client has disconnected and its session does not know it yet: the last check before the POST finds out.
func TestAttemptChecksItsClientLast(t *testing.T) {
	c, s, _, e := newTestClient(t, 100, nil)
	x := newExchange()
	client := &disconnectedClient{}
	x.Client = client
	c.Start(x, 0, 7, admission.Terms{Priority: 1}, 10*time.Second, time.Time{})
	assert.Equal(t, admission.NotSent, (<-s).Status)
	assert.Equal(t, 1, client.checks)
	assert.Zero(t, e.count("POST"))
}
