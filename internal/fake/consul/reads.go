package consul

import (
	"encoding/json"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"
)

// The default and the longest wait of a blocking query.
const (
	defaultWait = 5 * time.Minute
	maxWait     = 10 * time.Minute
)

// health handles GET /v1/health/service/NAME, with the faults in force.
func (s *Server) health(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	s.mu.Lock()
	s.reads++
	s.mu.Unlock()
	snap, f, ok := s.awaitChange(r, name)
	if !ok {
		return
	}
	if f.Delay > 0 && !sleep(r, f.Delay) {
		return
	}
	if f.Hang {
		<-r.Context().Done()
		return
	}
	if f.Status > 0 {
		http.Error(w, statusText(f.Status), f.Status)
		return
	}
	list := filter(snap.list, r.URL.Query())
	switch {
	case f.Empty:
		list = []Instance{}
	case f.MaxInstances > 0:
		list = list[:min(f.MaxInstances, len(list))]
	}
	s.writeList(w, snap.index, f, list, func() {
		s.mu.Lock()
		onAnswer := s.onAnswer
		s.mu.Unlock()
		if onAnswer != nil {
			onAnswer(name, list)
		}
	})
}

// statusText returns the body of an error response.
func statusText(status int) string {
	if status == http.StatusTooManyRequests {
		return "Your IP is issuing too many concurrent connections"
	}
	return "No cluster leader"
}

// filter returns the instances that match the passing and tag parameters of a query.
func filter(list []Instance, query url.Values) []Instance {
	if query.Has("passing") {
		list = slices.DeleteFunc(slices.Clone(list), func(in Instance) bool {
			return slices.ContainsFunc(in.Checks, func(c Check) bool { return c.Status != passing })
		})
	}
	for _, tag := range query["tag"] {
		list = slices.DeleteFunc(slices.Clone(list), func(in Instance) bool { return !slices.Contains(in.Service.Tags, tag) })
	}
	return list
}

// awaitChange waits as a blocking query does, and returns the state and the faults to answer with. It returns false if
// the request or the server ended first.
func (s *Server) awaitChange(r *http.Request, name string) (snapshot, Faults, bool) {
	q := r.URL.Query()
	index, _ := strconv.ParseUint(q.Get("index"), 10, 64)
	wait := defaultWait
	if d, err := time.ParseDuration(q.Get("wait")); err == nil && d > 0 {
		wait = min(d, maxWait)
	}
	timer := time.NewTimer(wait + wait/32)
	defer timer.Stop()
	for timedOut := false; ; {
		s.mu.Lock()
		f, changed := s.faults, s.changed
		snap := snapshot{max(s.serviceIndex[name], 1), s.instances(name)}
		if frozen, ok := s.stale[name]; ok && f.Stale {
			snap = frozen
		}
		if f.IndexRollback > 0 {
			snap.index -= min(f.IndexRollback, snap.index-1)
		}
		allowed := s.allowed(r)
		s.mu.Unlock()
		if !allowed {
			return snap, Faults{Status: http.StatusForbidden}, true
		}
		// A client's index above the server's dates from before a reset, so the query does not block.
		if index == 0 || snap.index != index || timedOut || f.Status > 0 || f.Hang {
			return snap, f, true
		}
		select {
		case <-changed:
		case <-timer.C:
			timedOut = true
		case <-r.Context().Done():
			return snap, f, false
		case <-s.stop:
			return snap, f, false
		}
	}
}

// sleep waits for d; it returns false if the request ended first.
func sleep(r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}

// writeList writes v as JSON, and calls done, which may be nil, once the complete response has been written.
func (s *Server) writeList(w http.ResponseWriter, index uint64, f Faults, v any, done func()) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("X-Consul-Index", strconv.FormatUint(index, 10))
	h.Set("X-Consul-KnownLeader", strconv.FormatBool(!f.NoLeader))
	h.Set("X-Consul-LastContact", strconv.FormatInt(f.LastContact.Milliseconds(), 10))
	switch {
	case f.Malformed:
		body = []byte("<html>502 somewhere between</html>")
	case f.Truncated:
		h.Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = w.Write(body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	if _, err := w.Write(body); err != nil {
		return
	}
	if http.NewResponseController(w).Flush() == nil && done != nil && !f.Malformed {
		done()
	}
}

// checksInState handles GET /v1/health/state/STATE.
func (s *Server) checksInState(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	index := s.index
	list := []Check{}
	for _, checks := range s.checks {
		for _, c := range checks {
			if state := r.PathValue("state"); state == "any" || state == c.Status {
				list = append(list, c)
			}
		}
	}
	s.mu.Unlock()
	s.writeList(w, index, Faults{}, list, nil)
}
