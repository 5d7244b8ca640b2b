package main_test

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Each of several requests that a client sends at once must get its final answer in time, whatever time the requests
// before it have.
func TestPipelinedRequestsAreAnsweredInTime(t *testing.T) {
	for _, deadlinesMS := range [][]int{{20000, 500}, {20000, 10000, 800}, {2500, 300, 20000, 600}, {400, 400, 400}} {
		t.Run(fmt.Sprint(deadlinesMS), func(t *testing.T) {
			t.Parallel()
			e := newEngine(t, neverFinish)
			r := startPlatform(t, platformLimits{memoryLimitMB, 1024}, e)
			c := r.dial()
			var all strings.Builder
			for _, ms := range deadlinesMS {
				all.WriteString(packet(0, statement("load", ms)))
			}
			_, err := io.WriteString(c.c, all.String())
			require.NoError(t, err)
			sent := time.Now()
			for i, ms := range deadlinesMS {
				if ms > 2000 && i == len(deadlinesMS)-1 {
					break // no other request waits for its answer
				}
				a := c.read()
				assert.NotEqual(t, -1, a.code, a.text)
				assert.Less(t, time.Since(sent), time.Duration(ms)*time.Millisecond+lateAfter, "request %d", i)
			}
		})
	}
}
