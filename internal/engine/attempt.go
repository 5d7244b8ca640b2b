package engine

import (
	"bytes"
	"strconv"
	"time"

	"beechcart/admission"
	"beechcart/internal/exchange"
)

// The times of an attempt.
const (
	// answerWait is how long a call is waited for: an engine answers a poll within 250 ms, or later by as much
	// as it stands still.
	answerWait = 750 * time.Millisecond
	// An engine forgets a query that nobody asked for in 2 s. A lost poll is asked again until askUntil after
	// the last one; nothing that was out is called over before overAfter.
	askUntil  = 1600 * time.Millisecond
	overAfter = 2100 * time.Millisecond
	askPause  = 20 * time.Millisecond
	// mostAsks bounds the asking in a row that brought nothing. Guards against a process that hangs while its
	// machine accepts connections: each ask may be one that it heard, so asking on would keep the attempt out
	// until its client has left.
	mostAsks = 2
)

// attempt is one query on one engine, from its POST until it is proved over.
type attempt struct {
	fleet    *Fleet
	x        *exchange.Exchange
	n        int
	peer     *peer
	engine   uint32
	priority int
	began    time.Time
	due      time.Time
	stop     chan struct{} // closed when it is given up
	stopping bool          // under the fleet's lock
	outcome  admission.Outcome

	c      *conn
	asked  time.Time // the last time that anything could have asked for it
	posted bool      // the engine has answered the POST, so none is under way

	unwritten bool // nothing of the last call has gone out
}

func (a *attempt) stopped() bool {
	select {
	case <-a.stop:
		return true
	default:
		return false
	}
}

// run carries the attempt out and returns its end, and all rows when it was served.
func (a *attempt) run() (admission.Status, []byte) {
	if a.peer == nil {
		return admission.Moot, nil
	}
	r, n, err := response{}, 0, error(nil)
	for {
		if status := a.connect(); status != admission.OK {
			return status, nil
		}
		left := time.Until(a.due)
		a.c.begin("POST", "/v2/q", a.peer.addr)
		a.c.header("X-Txn", a.x.ID)
		a.c.header("X-Lane", a.x.ClassName)
		a.c.header("X-Limit-Ms", strconv.FormatInt(left.Milliseconds(), 10))
		a.c.header("X-Weight-Class", strconv.Itoa(a.priority))
		if r, n, err = a.call(a.x.Statement); !a.unwritten {
			break
		}
		a.c.close() // it was closed under our hands, and nothing has gone out
	}
	for {
		if err != nil {
			a.c.close()
			a.fleet.opt.Counters.Add("lost_call", 1)
			var status admission.Status
			if r, n, status = a.recover(err); status != admission.OK {
				return status, nil
			}
		}
		switch {
		case r.code == 202:
			a.note(r)
			if a.c.done(n) != nil || r.close {
				a.c.close()
			}
			r, n, err = a.next()
		case r.code == 200:
			return a.pages(r, n)
		default:
			status := a.bad(r)
			a.peer.release(a.c, r, n)
			return status, nil
		}
	}
}

// connect gets a connection that may carry the POST; any status but OK is the end of the attempt.
func (a *attempt) connect() admission.Status {
	var err error
	if a.c, err = a.peer.get(false); err == errNoSocket {
		a.fleet.opt.Counters.Add("no_socket", 1)
		return admission.Full
	} else if err != nil {
		return admission.ConnectFailed
	}
	// Guards against late sends: the wait for a connection may have outlasted the word that the engine drains,
	// the request, or the time left.
	if a.stopped() || !a.peer.isReady() || time.Until(a.due) < time.Millisecond {
		a.peer.put(a.c)
		a.fleet.opt.Counters.Add("unsent", 1)
		return admission.Moot
	}
	return admission.OK
}

// call sends the call in hand and reads its answer. All it sends may ask for the query.
func (a *attempt) call(body []byte) (response, int, error) {
	a.asked = time.Now()
	err := a.c.send(body)
	a.asked = time.Now()
	// A write that failed at once took nothing: the machine knew already that the connection had ended.
	a.unwritten = err != nil && !isTimeout(err)
	if err != nil {
		return response{}, 0, err
	}
	r, n, err := a.c.receive(a.asked.Add(answerWait))
	if err == nil {
		a.posted = true
	}
	return r, n, err
}

// next asks for the news of the query, or gives it up when that is wanted.
func (a *attempt) next() (response, int, error) {
	if a.stopped() {
		a.c.begin("DELETE", "/v2/q/"+a.x.ID, a.peer.addr)
	} else {
		a.c.begin("GET", "/v2/q/"+a.x.ID+"/0", a.peer.addr)
	}
	return a.call(nil)
}

// recover asks again, on another connection, for a query whose call was lost. The query is bound to no
// connection, so it may well be running. Any status but OK is the end of the attempt: the process is dead, or
// nobody has asked for so long that the engine has given the query up.
func (a *attempt) recover(cause error) (response, int, admission.Status) {
	for asks := 0; asks < mostAsks && time.Since(a.asked) < askUntil; {
		c, err := a.fleet.socks.dial(a.peer.addr, min(a.fleet.opt.ConnectTimeout, askUntil), true)
		if refused(err) {
			return response{}, 0, admission.Reset // the process is dead, and the query with it
		}
		if err != nil {
			time.Sleep(askPause)
			continue
		}
		a.c = c
		asks++
		posted := a.posted
		r, n, err := a.next()
		if err != nil {
			a.c.close()
			cause = err
			continue
		}
		if (r.code == 500 || r.code == 204) && !posted {
			// The engine does not know the query, but its POST may still be on the way: it counts as out
			// until nobody has asked for long enough.
			a.peer.release(a.c, r, n)
			break
		}
		return r, n, admission.OK
	}
	time.Sleep(time.Until(a.asked.Add(overAfter)))
	a.fleet.opt.Counters.Add("lost_attempt", 1)
	switch {
	case a.stopped():
		return response{}, 0, admission.Cancelled
	case isTimeout(cause):
		return response{}, 0, admission.TimedOut
	}
	return response{}, 0, admission.Reset
}

// bad tells what an answer that is no good end proves.
func (a *attempt) bad(r response) admission.Status {
	switch {
	case r.code == 204, a.stopped() && !r.unrun:
		return admission.Cancelled
	case r.code == 503 && r.unrun:
		return admission.Full
	case r.code == 504 && r.unrun:
		return admission.Moot
	}
	return admission.Errored
}

// note passes on the news of a running query.
func (a *attempt) note(r response) {
	ev := admission.Note{ID: a.x.ID, Attempt: a.n, Engine: a.engine}
	switch string(r.how) {
	case "done":
		ev.Kind = admission.Progress
	case "spills":
		ev.Kind = admission.Spills
	case "waits":
		ev.Kind = admission.Waiting
	default:
		return
	}
	var err error
	if ev.Value, err = strconv.ParseFloat(string(r.num), 64); err == nil {
		a.fleet.sink.Told(ev)
	}
}

// The bounds of one result.
const (
	mostPages = 1024
	mostRows  = 1 << 20
)

// pages reads the whole result after a good end: a page that is lost must be an outcome, not half an answer.
func (a *attempt) pages(r response, n int) (admission.Status, []byte) {
	a.outcome.Work = time.Duration(r.spent * float64(time.Millisecond))
	a.outcome.NeedMB = r.wanted
	a.outcome.Report = report(r.gauges)
	total := r.pages
	if total > mostPages {
		a.fleet.opt.Counters.Add("wrong_page", 1)
		a.c.close()
		return admission.Errored, nil
	}
	// The rows outlive the buffers of the connection: this is the one copy that is made of them.
	rows := make([]byte, 0, min(len(r.body)*max(total, 1), mostRows))
	rows = append(rows, r.body...)
	for page := 1; page < total; page++ {
		if a.c.done(n) != nil || r.close {
			a.c.close()
		}
		for tries := 0; ; tries++ {
			var err error
			if r, n, err = a.page(page); err == nil {
				break
			}
			a.c.close()
			a.fleet.opt.Counters.Add("lost_page", 1)
			if tries == 2 || a.stopped() || time.Now().After(a.due) {
				return admission.Reset, nil
			}
			c, err := a.fleet.socks.dial(a.peer.addr, a.fleet.opt.ConnectTimeout, true)
			if err != nil {
				return admission.Reset, nil
			}
			a.c = c
		}
		if r.code != 200 || r.page != page || len(rows)+len(r.body) > mostRows {
			a.fleet.opt.Counters.Add("wrong_page", 1)
			a.c.close()
			return admission.Errored, nil
		}
		rows = append(rows, r.body...)
	}
	a.peer.release(a.c, r, n)
	return admission.OK, rows
}

func (a *attempt) page(page int) (response, int, error) {
	a.c.begin("GET", "/v2/q/"+a.x.ID+"/"+strconv.Itoa(page), a.peer.addr)
	return a.call(nil)
}

// report reads a load report such as inflight:7;util:0.61; nil where there is none.
func report(text []byte) *admission.Report {
	if len(text) == 0 {
		return nil
	}
	rep := &admission.Report{Held: -1, Queue: -1, Util: -1, Memory: -1, Disks: -1}
	for len(text) > 0 {
		var pair []byte
		pair, text, _ = bytes.Cut(text, []byte(";"))
		name, value, ok := bytes.Cut(pair, []byte(":"))
		f, err := strconv.ParseFloat(string(bytes.TrimSpace(value)), 64)
		if !ok || err != nil || f != f {
			continue
		}
		switch string(bytes.TrimSpace(name)) {
		case "inflight", "outstanding":
			rep.Held = f
		case "queue", "backlog":
			rep.Queue = f
		case "util", "utilization":
			rep.Util = f
		case "x0":
			rep.Memory = f
		case "x1":
			rep.Disks = f
		}
	}
	return rep
}
