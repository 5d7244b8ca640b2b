package main_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
)

// endlessResponses are the beginnings of responses that never end.
var endlessResponses = []string{
	"HTTP/1.1 200 OK\r\nX-Note: ",
	"HTTP/1.1 200 OK\r\nX-Batches: 1\r\nContent-Length: 3221225472\r\n\r\n",
	"HTTP/1.1 200 OK\r\nX-Batches: 1\r\nContent-Length: 40000\r\n\r\n",
	"HTTP/1.1 200 OK\r\nX-Batches: 1\r\nTransfer-Encoding: chunked\r\n\r\n9000\r\n",
	"HTTP/1.1 200 OK\r\nX-Batches: 1\r\nContent-Length: 6\r\n\r\na\tb\tc\n",
	"\x00",
}

// The process must stay within its memory, and answer ordinary clients in time, while all engines send responses
// without end to hundreds of requests at once.
func TestEndlessResponsesOfManyRequestsStayWithinMemory(t *testing.T) {
	for _, limits := range []platformLimits{{32, 1024}, {32, 256}, {96, 1024}} {
		for _, every := range []int{2, 10} {
			t.Run(fmt.Sprintf("%d MB, %d descriptors, one call of %d", limits.memoryMB, limits.descriptors, every),
				func(t *testing.T) { testEndlessResponses(t, limits, every) })
		}
	}
}

func testEndlessResponses(t *testing.T, limits platformLimits, every int) {
	t.Helper()
	engines := make([]*engine, 4)
	for i := range engines {
		engines[i] = newEngine(t, func(call string, w http.ResponseWriter, _ *http.Request) bool {
			if call != "DELETE" && rand.IntN(every) == 0 {
				writeWithoutEnd(w, endlessResponses[rand.IntN(len(endlessResponses))])
				return true
			}
			return false
		})
		engines[i].pages = resultPages(2)
	}
	run := crowdRun{clients: limits.descriptors/3 - crowdCompany, period: crowdPeriod, converse: askAgain}
	run.start(t, startPlatform(t, limits, engines...))
}

// askAgain sends small requests, each as soon as the one before is answered.
func askAgain(c *crowd, conn net.Conn) {
	answers := &client{c: conn, r: bufio.NewReader(conn)}
	for !c.stopped() {
		if _, err := io.WriteString(conn, packet(0, statement("lookup", 2500))); err != nil {
			return
		}
		c.begun.Add(1)
		if answers.read().code == -1 {
			return
		}
	}
}
