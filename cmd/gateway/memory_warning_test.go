package main_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// The log must show how close a process came to its memory limit before the platform killed it.
func TestMemoryIsLoggedBeforeTheLimit(t *testing.T) {
	const limitMB = 12 // the program has some 10 MB when it is idle
	r := startPlatform(t, platformLimits{limitMB, 1024}, newEngine(t, nil))
	c := &crowd{r: r, stop: make(chan struct{})}
	c.join(100, stopHalfWay)
	time.Sleep(time.Second)
	close(c.stop)
	c.running.Wait()
	r.waitForLog(`msg="memory high"`)
	assert.Regexp(t, `msg="memory high" node=n0 percent=\d+ peak_mb=\d+ limit_mb=12 request_kb=\d+ result_kb=\d+ `+
		`sessions=\d+ goroutines=\d+`, r.log.String())
}
