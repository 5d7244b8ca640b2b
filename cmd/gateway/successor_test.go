package main_test

import (
	"net"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Another process has come up at the address of an engine that has gone. What the new process says about a query of
// the old one is no proof that the query has never run.
func TestSuccessorCannotProveThatAQueryNeverRan(t *testing.T) {
	posted := map[string]func(w http.ResponseWriter, q *http.Request){
		"acknowledged": respondRunning,
		"answer lost":  func(_ http.ResponseWriter, q *http.Request) { <-q.Context().Done() },
	}
	for name, status := range map[string]int{"full": 503, "time is over": 504} {
		for posting, respond := range posted {
			t.Run(posting+", "+name, func(t *testing.T) {
				t.Parallel()
				testSuccessor(t, status, respond)
			})
		}
	}
}

// testSuccessor replaces the engine of a load. The old engine answers the POST with respond, and its successor answers
// every call with the status and the claim that the query has never run.
func testSuccessor(t *testing.T, status int, respond func(w http.ResponseWriter, q *http.Request)) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	begun := make(chan struct{}, 1)
	old := newEngineAt(t, l, func(call string, w http.ResponseWriter, q *http.Request) bool {
		if call == "POST" {
			begun <- struct{}{}
			respond(w, q)
			return true
		}
		return neverFinish(call, w, q)
	})
	r := startPlatformWith(t, platformLimits{32, 1024}, withoutHealthChecks(true), old)
	c := r.dial()
	c.send(0, statement("load", 20000))
	<-begun
	other := newEngine(t, nil)
	r.publish(other.entry("ready", 0))
	r.waitForLog("engine=" + other.name)
	time.Sleep(100 * time.Millisecond)

	_ = l.Close()
	l, err = net.Listen("tcp", old.Listener.Addr().String())
	require.NoError(t, err)
	successor := newEngineAt(t, l, func(call string, w http.ResponseWriter, _ *http.Request) bool {
		w.Header().Set("X-Unrun", "1")
		w.WriteHeader(status)
		return true
	})
	old.CloseClientConnections()
	a := c.read()
	assert.Equal(t, 1105, a.code, "a load that may have run is neither refused nor run again: %s", a.text)
	assert.Zero(t, other.count("POST"))
	assert.Zero(t, successor.count("POST"))
}

// A new engine is listed at the address of another one that has not been reported as gone. Each query must be sent to
// the new engine, with what is known about it, and none on behalf of the old one.
func TestNewEngineReplacesTheOneAtItsAddress(t *testing.T) {
	e := newEngine(t, nil)
	r := startPlatform(t, platformLimits{32, 1024}, e)
	require.Zero(t, r.dial().query("lookup", 2500).code)
	const warmAge = 20 * time.Second
	entry := strings.Replace(e.entry("ready", time.Now().Add(-warmAge).UnixMilli()), e.name, "s-0123abcd", 1)
	r.publish(entry)
	r.waitForLog("engine=s-0123abcd")
	r.waitForState(e.name, "gone")
	require.Zero(t, r.dial().query("lookup", 2500).code)
	r.publish(strings.Replace(entry, `"ready"`, `"draining"`, 1))
	r.waitForState("s-0123abcd", "draining")
	a := r.dial().query("lookup", 600)
	assert.NotZero(t, a.code, "the address belongs to an engine that drains")
	assert.Equal(t, 2, e.count("POST"))
}

// waitForState waits until the program has logged that an engine is in a state.
func (r *testGateway) waitForState(engine, state string) {
	pattern := regexp.MustCompile("engine=" + engine + " id=[0-9]+ state=" + state)
	require.Eventually(r.t, func() bool { return pattern.MatchString(r.log.String()) },
		10*time.Second, 5*time.Millisecond, pattern.String())
}
