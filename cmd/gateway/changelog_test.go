package main_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The program reads a drain within the drain grace even if the poll that should have returned the drain fails or
// hangs. decision/watchtimeout derives the delay.
func TestDrainIsReadWithinGraceDespiteFailedPolls(t *testing.T) {
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
	for name, respond := range map[string]func(w http.ResponseWriter, q *http.Request){
		"never answers":       hold(""),
		"stops in the body":   hold(`{"seq":`),
		"is reset":            func(w http.ResponseWriter, _ *http.Request) { resetConnection(w) },
		"is answered 500":     func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) },
		"returns garbage":     write("\x8c\x6d\x4f"),
		"returns an old seq":  write(`{"seq":0,"results":[]}`),
		"returns a seq only":  write(`{"seq":99,"results":[]}`),
		"returns half a list": write(`{"seq":99,"results":[{"seq":99,"fleet":{"endpoints":[{`),
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
			// The minimum of five runs: a busy machine only adds to a delay, and wrong timeouts lengthen the delay in every
			// run.
			delay := time.Hour
			for n := range 5 {
				state := []string{"draining", "ready"}[n%2]
				before := strings.Count(r.log.String(), "state="+state)
				published := r.publishWithReplacedPolls(respond, e.entry(state, 0))
				require.Eventually(t, func() bool { return strings.Count(r.log.String(), "state="+state) > before },
					time.Minute, time.Millisecond)
				delay = min(delay, time.Since(published))
			}
			t.Log("delay of the drain", delay)
			assert.Less(t, delay, 500*time.Millisecond, "must be below drain_grace of the platform settings")
		})
	}
}

// An endpoint list may be far longer than any answer of an engine.
func TestLongEndpointListIsRead(t *testing.T) {
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

// A reload does not wait for a connect to the old change log address that gets no answer. Neither does a shutdown that
// follows a reload.
func TestReloadDoesNotWaitForPendingConnect(t *testing.T) {
	unconnectable, connecting, _ := newUnconnectableEngine(t)
	e := newEngine(t, nil)
	r := startWithPlatformSettings(t, withoutHealthChecks(true), e)
	address := strings.TrimPrefix(unconnectable.URL, "http://")
	valid := r.config
	before, rest, _ := strings.Cut(valid, `"changelog":"`)
	oldAddress, _, _ := strings.Cut(rest, `"`)
	r.write(before + `"changelog":"` + address + rest[len(oldAddress):])
	require.NoError(t, r.cmd.Process.Signal(syscall.SIGHUP))
	r.waitForLog("changelog=" + address)
	require.Eventually(t, connecting, 10*time.Second, time.Millisecond)
	r.write(valid)
	delay := time.Hour
	for range 3 { // the connect is still pending during the first reload
		began := time.Now()
		n := strings.Count(r.log.String(), "msg=reloaded")
		require.NoError(t, r.cmd.Process.Signal(syscall.SIGHUP))
		require.Eventually(t, func() bool { return strings.Count(r.log.String(), "msg=reloaded") > n }, 10*time.Second,
			time.Millisecond)
		if delay == time.Hour {
			delay = time.Since(began)
		}
	}
	assert.Less(t, delay, 2*time.Second, "the reload waited for the connect, whose timeout is 8 s")
	require.NoError(t, r.cmd.Process.Signal(syscall.SIGHUP))
	require.NoError(t, r.cmd.Process.Signal(syscall.SIGTERM))
	require.NoError(t, <-r.exit)
}

// A list that the change log writes slowly must be read: cut off and asked for again each time, it would never arrive.
func TestSlowlyWrittenListIsRead(t *testing.T) {
	const pieces = 12
	for _, pause := range []time.Duration{20 * time.Millisecond, 60 * time.Millisecond, 120 * time.Millisecond} {
		t.Run(pause.String(), func(t *testing.T) {
			t.Parallel()
			e := newEngine(t, nil)
			r := startPlatform(t, platformLimits{32, 256}, e)
			published := r.publishWithReplacedPolls(func(w http.ResponseWriter, q *http.Request) {
				r.mu.Lock()
				list := fmt.Sprintf(`{"seq":%d,"results":[%s]}`, len(r.events), r.events[len(r.events)-1])
				r.mu.Unlock()
				w.Header().Set("Content-Length", strconv.Itoa(len(list)))
				for i := range pieces {
					_, _ = io.WriteString(w, list[len(list)*i/pieces:len(list)*(i+1)/pieces])
					_ = http.NewResponseController(w).Flush()
					time.Sleep(pause)
				}
			}, e.entry("draining", 0))
			r.mu.Lock()
			r.lastReplacedPoll += 1 << 20 // all further polls are answered slowly, too
			r.mu.Unlock()
			r.waitForState(e.name, "draining")
			took := time.Since(published)
			t.Log("read after", took)
			assert.Less(t, took, 7*time.Second, "what the change log has to tell counts as told by then")
		})
	}
}
