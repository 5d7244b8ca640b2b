// Package changelog serves a fake of the platform's change log over HTTP on a loopback address.
package changelog

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"beechcart/internal/fake/loopback"
)

// maxWait is the longest time that a poll waits for an event.
const maxWait = 5 * time.Second

// Endpoint is one engine in an event.
type Endpoint struct {
	Name, Address, Zone, Type, Status string
	SinceMS                           int64 // start of the engine's process, Unix milliseconds
}

// Log is a running change log server. It is safe for concurrent use.
type Log struct {
	Addr string

	mu      sync.Mutex
	events  []string      // JSON objects
	changed chan struct{} // closed and replaced by each event
	http    *http.Server
}

// Start serves an empty log at an address in 127.0.0.0/8.
func Start(addr string) (*Log, error) {
	l, err := loopback.Listen(addr)
	if err != nil {
		return nil, err
	}
	c := &Log{Addr: l.Addr().String(), changed: make(chan struct{})}
	c.http = loopback.Serve(l, http.HandlerFunc(c.changes))
	return c, nil
}

// Close stops the server and closes every connection.
func (c *Log) Close() { _ = c.http.Close() }

// Publish appends an event. A complete event replaces all endpoints of earlier events; any other event updates the
// endpoints that it names.
func (c *Log) Publish(complete bool, endpoints ...Endpoint) {
	var items []string
	for _, e := range endpoints {
		items = append(items, fmt.Sprintf(`{"name":%q,"address":%q,"zone":%q,"type":%q,"group":0,"status":%q,`+
			`"weight":1,"since_ms":%d}`,
			e.Name, e.Address, e.Zone, e.Type, e.Status, e.SinceMS))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events = append(c.events, fmt.Sprintf(`{"seq":%d,"fleet":{"index":1,"snapshot":%t,"endpoints":[%s]}}`,
		len(c.events)+1, complete, strings.Join(items, ",")))
	close(c.changed)
	c.changed = make(chan struct{})
}

// changes answers a poll with the events after the sequence number since, as soon as one exists or the poll's timeout
// expires.
func (c *Log) changes(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.Atoi(r.URL.Query().Get("since"))
	timeoutMS, _ := strconv.Atoi(r.URL.Query().Get("timeout"))
	timer := time.NewTimer(min(time.Duration(timeoutMS)*time.Millisecond, maxWait))
	defer timer.Stop()
	for timedOut := false; ; {
		c.mu.Lock()
		events, changed := c.events, c.changed
		c.mu.Unlock()
		if len(events) > since || timedOut {
			fmt.Fprintf(w, `{"seq":%d,"results":[%s]}`, len(events), strings.Join(events[min(since, len(events)):], ","))
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			timedOut = true
		case <-r.Context().Done():
			return
		}
	}
}
