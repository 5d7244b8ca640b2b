package main_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The greatest age of a drain's news, whatever the poll that should have brought it does: decision/watchtimeout has
// the sum.
func TestADrainIsHeardWithinTheGraceWhateverAPollBrings(t *testing.T) {
	write := func(text string) func(w http.ResponseWriter, q *http.Request) {
		return func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, text) }
	}
	hold := func(text string) func(w http.ResponseWriter, q *http.Request) {
		return func(w http.ResponseWriter, q *http.Request) {
			if text != "" {
				w.Header().Set("Content-Length", "1000")
				_, _ = io.WriteString(w, text)
				_ = http.NewResponseController(w).Flush()
			}
			<-q.Context().Done()
		}
	}
	for name, spoil := range map[string]func(w http.ResponseWriter, q *http.Request){
		"falls silent":         hold(""),
		"stops short":          hold(`{"seq":`),
		"is reset":             func(w http.ResponseWriter, _ *http.Request) { reset(w) },
		"is answered 500":      func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) },
		"brings garbage":       write("\x8c\x6d\x4f"),
		"brings an old number": write(`{"seq":0,"results":[]}`),
		"brings a number only": write(`{"seq":99,"results":[]}`),
		"brings half a list":   write(`{"seq":99,"results":[{"seq":99,"fleet":{"endpoints":[{`),
		"never ends": func(w http.ResponseWriter, q *http.Request) {
			for q.Context().Err() == nil {
				if _, err := w.Write(make([]byte, 1<<10)); err != nil {
					return
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			e := newEngine(t, nil)
			r := start(t, e)
			// The least of five: a busy machine only adds to it, and a sum that is too long is so each time.
			age := time.Hour
			for n := range 5 {
				state := []string{"draining", "ready"}[n%2]
				before := strings.Count(r.log.String(), "state="+state)
				told := r.publishUnheard(spoil, e.entry(state, 0))
				require.Eventually(t, func() bool { return strings.Count(r.log.String(), "state="+state) > before },
					time.Minute, time.Millisecond)
				age = min(age, time.Since(told))
			}
			t.Log("age of the news", age)
			assert.Less(t, age, 500*time.Millisecond, "the grace of the settings")
		})
	}
}

// A list may be far longer than any answer of an engine.
func TestALongListIsHeard(t *testing.T) {
	e := newEngine(t, nil)
	r := start(t, e)
	list := []string{e.entry("draining", 0)}
	for n := range 5000 {
		list = append(list, fmt.Sprintf(`{"name":"s-%08x","address":"127.0.0.1:1","zone":"room-a","type":"std-12",`+
			`"group":0,"status":"gone","weight":1,"since_ms":0}`, n))
	}
	require.Greater(t, len(strings.Join(list, "")), 512<<10)
	r.publish(list...)
	r.waitForLog("state=draining")
}

// An old address that takes no connection holds up neither the reload nor the end behind it.
func TestAReloadWaitsForNoAddressThatTakesNoConnection(t *testing.T) {
	late, coming, _ := lateEngine(t)
	e := newEngine(t, nil)
	r := startAs(t, withoutHealthChecks(true), e)
	address := strings.TrimPrefix(late.URL, "http://")
	good := r.config
	before, rest, _ := strings.Cut(good, `"changelog":"`)
	old, _, _ := strings.Cut(rest, `"`)
	r.write(before + `"changelog":"` + address + rest[len(old):])
	require.NoError(t, r.cmd.Process.Signal(syscall.SIGHUP))
	r.waitForLog("changelog=" + address)
	require.Eventually(t, coming, 10*time.Second, time.Millisecond)
	r.write(good)
	age := time.Hour
	for range 3 { // the first meets the dial in hand
		began := time.Now()
		n := strings.Count(r.log.String(), "msg=reloaded")
		require.NoError(t, r.cmd.Process.Signal(syscall.SIGHUP))
		require.Eventually(t, func() bool { return strings.Count(r.log.String(), "msg=reloaded") > n }, 10*time.Second,
			time.Millisecond)
		if age == time.Hour {
			age = time.Since(began)
		}
	}
	assert.Less(t, age, 2*time.Second, "a dial of 8 s was waited for")
	require.NoError(t, r.cmd.Process.Signal(syscall.SIGHUP))
	require.NoError(t, r.cmd.Process.Signal(syscall.SIGTERM))
	require.NoError(t, <-r.exit)
}
