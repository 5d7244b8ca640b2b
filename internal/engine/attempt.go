package engine

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"time"

	"beechcart/admission"
	"beechcart/internal/copycount"
	"beechcart/internal/exchange"
)

// The times of an attempt.
const (
	// answerWait is how long a call is waited for: an engine answers within 250 ms, or later by as much as it
	// stands still. Asking again on another connection does no harm then, and where a connection has gone silent
	// a lookup still has time for another attempt.
	answerWait = 350 * time.Millisecond
	// An engine forgets a query that nobody asked for in 2 s. A lost poll is asked again until askUntil after
	// the last one; nothing that was out is called over before overAfter.
	askUntil  = 1600 * time.Millisecond
	overAfter = 2100 * time.Millisecond
	askPause  = 20 * time.Millisecond
	// settleWait is the time left to a POST that got no answer to be read, once its connection has been reset.
	settleWait = 100 * time.Millisecond
	// mostSilent bounds the asking in a row that brought nothing in its time. Guards against a process that
	// hangs while its machine accepts connections: each ask may be one that it heard, so asking on would keep
	// the attempt out until its client has left.
	mostSilent = 4
	// mostAsks bounds the asking in a row that was reset or answered by noise, which costs no time.
	mostAsks = 10
	// smallCall is what any socket takes in one write: one that fails at once has taken nothing of it.
	smallCall = 8 << 10
)

// attempt is one query on one engine, from its POST until it is proved over. Nothing in an answer tells which query it
// belongs to, so what another query's answer left behind, however late it comes, must not be read as this one's: a
// connection that served another query carries this one only where decision/reuse allows it.
type attempt struct {
	fleet    *Client
	x        *exchange.Exchange
	n        int
	peer     *peer
	engine   uint32
	terms    admission.Terms
	began    time.Time
	due      time.Time
	by       time.Time     // no first byte of it later; zero: no such bound
	stop     chan struct{} // closed when it is given up
	stopping bool          // under the fleet's lock
	outcome  admission.Outcome

	c     *conn     // nil or closed: the next call opens one
	asked time.Time // the last time at which the engine may have heard a call for it
	// known tells that the engine has answered for the query, so it is out there unless its end was told. Else its POST got no
	// answer, and may not have been read yet.
	known bool
	// unproved is a connection that served before and is not trusted: what it brings may be another query's, and counts only
	// once it was confirmed.
	unproved *conn
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
	if a.peer == nil || a.x.Settled() {
		return admission.NotSent, nil
	}
	defer a.handBack()
	r, status, err := a.post()
	if status != admission.OK {
		return status, nil
	}
	for {
		if err != nil {
			if r, status = a.recover(err); status != admission.OK {
				return status, nil
			}
		}
		unproved := a.unproved != nil && a.c == a.unproved
		switch {
		case r.code == 202 && a.left():
			return a.forgotten(), nil
		case r.code == 202:
			a.note(r)
			r, err = a.ask()
		case r.code == 200:
			first, total := r.pages, len(r.body)
			status, rows := a.pages(r)
			if !unproved || (status == admission.OK && a.confirm(first, rows[:total])) {
				return status, rows
			}
			err = a.doubt()
		case unproved:
			err = a.doubt() // an end that is another query's would let this one be sent again while it runs
		default:
			return a.bad(r), nil
		}
	}
}

// errUnproved tells that what a connection brought is not proved to be this query's.
var errUnproved = errors.New("engine: an answer that was not confirmed")

// confirm asks for the end of the query once more, behind the answer that was read, and tells whether it is the same.
func (a *attempt) confirm(pages int, body []byte) bool {
	r, err := a.call("GET", "/v2/q/"+a.x.ID+"/0", news)
	if err == nil && r.code == 200 && r.pages == pages && bytes.Equal(r.body, body) {
		return true
	}
	if err == nil {
		a.fleet.pool.Spoilt(a.peer)
	}
	return false
}

// doubt drops a connection whose answers are not proved to be this query's. All that is known now is that the query was sent: it may not have
// been read yet.
func (a *attempt) doubt() error {
	a.fleet.opt.Counters.Add("unproved_answer", 1)
	if a.c != nil {
		a.c.abort()
	}
	a.unproved, a.known = nil, false
	return errUnproved
}

func (a *attempt) hangUp() {
	if a.c != nil {
		a.c.close()
	}
}

// handBack gives the connection to the pool, which keeps it or closes it. All answers that were owed on it have been
// read: what was not answered, or could not be read, has closed it.
func (a *attempt) handBack() {
	if a.c != nil {
		a.fleet.pool.put(a.peer, a.c)
	}
}

// post sends the query; any status but OK is the end of the attempt, and it never ran.
func (a *attempt) post() (r response, status admission.Status, err error) {
	for posts := 1; ; posts++ {
		if status := a.connect(); status != admission.OK {
			return r, status, nil
		}
		a.c.begin("POST", "/v2/q", a.peer.addr)
		a.c.header("X-Txn", a.x.ID)
		a.c.header("X-Lane", a.x.ClassName)
		a.c.header("X-Limit-Ms", strconv.FormatInt(time.Until(a.due).Milliseconds(), 10))
		a.c.header("X-Weight-Class", strconv.Itoa(a.terms.Priority))
		if a.terms.GrantMB > 0 {
			a.c.header("X-Reserve", strconv.FormatFloat(a.terms.GrantMB, 'f', -1, 64))
		}
		a.asked = time.Now()
		if err = a.c.send(a.x.Statement); err == nil {
			break
		}
		if isTimeout(err) || len(a.c.out) > smallCall {
			break // some of it may have gone out
		}
		// The machine knew already that the connection had ended, and took nothing.
		a.c.close()
		a.fleet.opt.Counters.Add("unwritten", 1)
		if posts == mostDials {
			return r, admission.ConnectFailed, nil
		}
	}
	if err == nil {
		r, err = a.answer(news)
	}
	return r, admission.OK, err
}

// connect opens the connection that is to carry the POST; any status but OK is the end of the attempt.
func (a *attempt) connect() admission.Status {
	var err error
	var prove bool
	if a.c, prove, err = a.peer.open(a.fleet.unsafe(a.x), false); err == errNoSocket {
		a.fleet.opt.Counters.Add("no_socket", 1)
		return admission.Overloaded
	} else if err != nil {
		return admission.ConnectFailed
	}
	if a.unproved = nil; prove {
		a.unproved = a.c
	}
	// Guards against late sends: the wait for a connection may have outlasted the word that the engine drains,
	// the request, the time left, or the window for repeats. Whether anyone still waits is asked of the exchange: where nothing may be
	// cancelled, nobody gives the attempt up as its client leaves.
	late := time.Until(a.due) < time.Millisecond || (!a.by.IsZero() && time.Now().After(a.by))
	if late || a.stopped() || !a.peer.isReady() || a.x.Abandoned() {
		a.fleet.opt.Counters.Add("unsent", 1)
		return admission.NotSent
	}
	return admission.OK
}

// answer reads the answer to the call that was sent, and checks it.
func (a *attempt) answer(check func(response) error) (response, error) {
	a.asked = time.Now()
	r, err := a.c.receive(a.asked.Add(answerWait))
	if err == nil {
		err = check(r)
	}
	if err != nil {
		a.c.abort()
	}
	a.asked = time.Now() // it may have been heard until now: until it was answered, or its connection was reset
	if err != nil {
		if isSpoilt(err) {
			a.fleet.opt.Counters.Add("spoilt_answer", 1)
			a.fleet.pool.Spoilt(a.peer)
		} else {
			a.fleet.opt.Counters.Add("lost_call", 1)
		}
		return r, err
	}
	a.known = true
	a.peer.answered()
	return r, nil
}

// call makes a call for the query on the connection in hand, or on a new one when that may carry none.
func (a *attempt) call(method, path string, check func(response) error) (response, error) {
	if a.c == nil || !a.c.fresh() {
		if a.c != nil && a.c.surplus() {
			a.fleet.pool.Spoilt(a.peer)
		}
		a.hangUp()
		c, err := a.redial()
		if err != nil {
			return response{}, err
		}
		a.c = c
	}
	a.c.begin(method, path, a.peer.addr)
	a.asked = time.Now() // all that is sent may ask for the query
	if err := a.c.send(nil); err != nil {
		a.c.close()
		a.fleet.opt.Counters.Add("lost_call", 1)
		return response{}, err
	}
	return a.answer(check)
}

var (
	errGone = errors.New("engine: gone from the list")
	errDial = errors.New("engine: not reached")
)

// redial opens a further connection to the engine. Guards against asking a new engine at the address of one
// that is gone: that one knows nothing of the query.
func (a *attempt) redial() (*conn, error) {
	if a.peer.isEnded() {
		return nil, errGone
	}
	c, err := a.fleet.dial(a.peer.addr, true)
	if err == nil && a.peer.isEnded() {
		c.close()
		return nil, errGone
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errDial, err)
	}
	return c, nil
}

// ask asks for the news of the query, or gives it up when that is wanted.
func (a *attempt) ask() (response, error) {
	if a.stopped() {
		return a.call("DELETE", "/v2/q/"+a.x.ID, news)
	}
	return a.call("GET", "/v2/q/"+a.x.ID+"/0", news)
}

// news checks an answer that tells how the query stands.
func news(r response) error {
	switch {
	case r.code == 200 && (r.pages < 1 || r.pages > mostPages):
		return fmt.Errorf("%w: %d pages", errBad, r.pages)
	case r.code == 200:
		return checkRows(r)
	case r.code == 202 || r.code == 204 || r.code >= 400:
		return nil
	}
	return fmt.Errorf("%w: status %d", errBad, r.code)
}

func checkRows(r response) error {
	if err := exchange.CheckRows(r.body); err != nil {
		return fmt.Errorf("%w: %w", errBad, err)
	}
	return nil
}

// left tells that nobody waits for the query any more, and that it is not to be deleted.
func (a *attempt) left() bool { return !a.fleet.opt.MayDelete && a.x.Settled() }

// forgotten lets a query go that may not be deleted: it is asked for no more, and over once its engine has given it up for
// that. Guards against asking on for as long as its engine says that it runs: one that never ends would be out for good, and
// hold its part of every bound.
func (a *attempt) forgotten() admission.Status {
	a.c.abort()
	a.fleet.opt.Counters.Add("left_attempt", 1)
	time.Sleep(time.Until(a.asked.Add(overAfter)))
	return admission.Cancelled
}

// recover asks again, on another connection, for a query whose call was lost or answered by what can't be
// read. The query is bound to no connection, so it may well be running. Any status but OK is the end of the
// attempt: the process is dead, the engine does not know the query and never will, or nobody has asked for so
// long that the engine has given it up.
func (a *attempt) recover(cause error) (response, admission.Status) {
	known := a.known
	silent := 0
	if isTimeout(cause) {
		silent++
	}
	for asks := 0; asks < mostAsks && silent <= mostSilent && time.Since(a.asked) < askUntil; {
		r, err := a.ask()
		switch {
		case errors.Is(err, errGone):
			asks = mostAsks
		case isRefused(err):
			return r, admission.Reset // the process is dead, and the query with it
		case errors.Is(err, errDial):
			time.Sleep(askPause)
		case isTimeout(err):
			silent++
			asks++
		case err != nil:
			asks++
		case !known && (r.code == 500 || r.code == 204):
			// The engine had not read the query as it answered this, or it ended in an error that was lost.
			if !a.giveUp() {
				asks++
				continue
			}
			a.outcome.Alive = true // it is not out, and the engine is well
			if a.stopped() {
				return r, admission.Cancelled
			}
			return r, admission.Reset
		default:
			return r, admission.OK
		}
	}
	time.Sleep(time.Until(a.asked.Add(overAfter)))
	a.fleet.opt.Counters.Add("lost_attempt", 1)
	switch {
	case a.stopped():
		return response{}, admission.Cancelled
	case isTimeout(cause):
		return response{}, admission.TimedOut
	}
	return response{}, admission.Reset
}

// giveUp takes back a POST that got no answer and that the engine does not know. Its connection has ended, so nothing more of it
// goes out; what had reached the engine's machine can be read past a reset as well, and has had time to be. True when the
// engine has answered the DELETE: the query is not out, and won't be.
func (a *attempt) giveUp() bool {
	time.Sleep(settleWait)
	r, err := a.call("DELETE", "/v2/q/"+a.x.ID, news)
	return err == nil && (r.code == 204 || r.code == 500)
}

// bad tells what an answer that is no good end proves.
func (a *attempt) bad(r response) admission.Status {
	switch {
	case r.code == 204, a.stopped() && !r.unrun:
		return admission.Cancelled
	case r.code == 503 && r.unrun:
		return admission.Overloaded
	case r.code == 504 && r.unrun:
		return admission.NotSent
	}
	return admission.Errored
}

// note passes on the news of a running query.
func (a *attempt) note(r response) {
	ev := admission.Progress{ID: a.x.ID, Attempt: a.n, Engine: a.engine}
	switch string(r.how) {
	case "done":
		ev.Kind = admission.ProgressFraction
	case "spills":
		ev.Kind = admission.Spills
	case "waits":
		ev.Kind = admission.Waiting
	default:
		return
	}
	var ok bool
	if ev.Value, ok = number(r.num); ok {
		a.fleet.sink.Notify(ev)
	}
}

// The bounds of one result.
const (
	mostPages = 1024
	mostRows  = 1 << 20
)

// pages reads the whole result after a good end: a page that is lost must be an outcome, not half an answer.
// The query itself is over.
func (a *attempt) pages(r response) (admission.Status, []byte) {
	a.outcome.Work = time.Duration(r.spent * float64(time.Millisecond))
	a.outcome.NeedMB = r.wanted
	a.outcome.Report = report(r.gauges)
	total := r.pages
	// The rows outlive the buffers of the connection: this is the one copy that is made of them.
	rows := make([]byte, 0, min(len(r.body)*total, mostRows))
	rows = append(rows, r.body...)
	copycount.Add(copycount.Pages, len(r.body))
	for page := 1; page < total; page++ {
		var status admission.Status
		if r, status = a.page(page); status != admission.OK {
			return status, nil
		}
		copycount.Add(copycount.Pages, len(r.body))
		if rows = append(rows, r.body...); len(rows) > mostRows {
			a.fleet.opt.Counters.Add("result_too_large", 1)
			return admission.Errored, nil
		}
	}
	return admission.OK, rows
}

// page fetches one page, again and on a new connection when it is lost or can't be read.
func (a *attempt) page(page int) (response, admission.Status) {
	path := "/v2/q/" + a.x.ID + "/" + strconv.Itoa(page)
	check := func(r response) error {
		switch {
		case r.code >= 400:
			return nil // the engine has it no more
		case r.code != 200 || r.page != page:
			return fmt.Errorf("%w: status %d, page %d in place of %d", errBad, r.code, r.page, page)
		}
		return checkRows(r)
	}
	for asks, silent := 0, 0; ; asks++ {
		r, err := a.call("GET", path, check)
		switch {
		case err == nil && r.code == 200:
			return r, admission.OK
		case err == nil:
			a.fleet.opt.Counters.Add("no_page", 1)
			return r, admission.Errored
		}
		a.fleet.opt.Counters.Add("lost_page", 1)
		if isTimeout(err) {
			silent++
		}
		if errors.Is(err, errGone) || isRefused(err) || asks == mostAsks || silent > mostSilent ||
			a.stopped() || time.Now().After(a.due) {
			return r, admission.Reset
		}
	}
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
		name, value, _ := bytes.Cut(pair, []byte(":"))
		f, ok := number(bytes.TrimSpace(value))
		if !ok {
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
