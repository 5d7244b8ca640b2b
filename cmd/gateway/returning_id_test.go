package main_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A request whose client has left while it ran must not run again when its ID comes again.
func TestIDOfALeftRequestDoesNotRunAgain(t *testing.T) {
	for name, leave := range disconnectFuncs {
		for _, class := range []string{"lookup", "load"} {
			t.Run(name+", "+class, func(t *testing.T) {
				t.Parallel()
				e := newEngine(t, neverFinish)
				r := startPlatform(t, platformLimits{memoryLimitMB, 1024}, e)
				request := statement(class, 20000)
				c := r.dial()
				c.send(0, request)
				e.waitFor(t, "POST", 1)
				leave(r, c)
				e.waitFor(t, "DELETE", 1)
				r.waitForCounter("ended_cancelled", 1)
				again := r.dial()
				again.send(0, request)
				a := again.read()
				assert.Equal(t, 1105, a.code, a.text)
				assert.Equal(t, 1, e.count("POST"))
			})
		}
	}
}

// Requests that a client has sent at once must not be sent on after the client has closed its connection, however many
// of them are still unread.
func TestUnreadRequestsOfAClosedConnectionAreNotSent(t *testing.T) {
	const grace = 100 * time.Millisecond
	for _, size := range []int{200, 8 << 10, 100 << 10} {
		for _, total := range []int{200 << 10, 1 << 20, 8 << 20} {
			t.Run(fmt.Sprintf("%d bytes of %d each", total, size), func(t *testing.T) {
				var mu sync.Mutex
				var posts []time.Time
				e := newEngine(t, func(call string, _ http.ResponseWriter, _ *http.Request) bool {
					if call == "POST" {
						mu.Lock()
						posts = append(posts, time.Now())
						mu.Unlock()
						time.Sleep(20 * time.Millisecond)
					}
					return false
				})
				r := startPlatform(t, platformLimits{32, 1024}, e)
				c := r.dial()
				var all strings.Builder
				for all.Len() < total {
					all.WriteString(packet(0, paddedStatement("lookup", size)))
				}
				_ = c.c.SetWriteDeadline(time.Now().Add(300 * time.Millisecond))
				_, _ = io.WriteString(c.c, all.String())
				require.NoError(t, c.c.Close())
				closed := time.Now()
				time.Sleep(time.Second)
				mu.Lock()
				defer mu.Unlock()
				for _, at := range posts {
					assert.LessOrEqual(t, at.Sub(closed), grace)
				}
				t.Logf("%d requests sent on", len(posts))
			})
		}
	}
}
