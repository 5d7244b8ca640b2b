package engine

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"beechcart/decision/watchtimeout"
)

// FollowChangeLog polls the change log at addr until ctx ends, and hands each answer to take, which returns the number
// of the last event held. A lost connection is opened anew, for as long as it takes; state is told how each poll
// went. How long each step may last is decision/watchtimeout's word. The end of ctx drops the dial or the poll in hand at once: guards
// against hanging on an address that a new configuration has replaced, and that tells nothing more.
func (f *Client) FollowChangeLog(ctx context.Context, addr string, since int64, take func([]byte) (int64, error), state func(error)) {
	for w := watchtimeout.New(f.opt.DrainGrace, f.opt.ConnectTimeout); ctx.Err() == nil; {
		err := f.follow(ctx, w, addr, &since, take, state)
		if ctx.Err() != nil {
			return
		}
		if state(err); isTimeout(err) {
			continue // it has cost its time already
		}
		select {
		case <-ctx.Done():
		case <-time.After(w.RetryDelay()):
		}
	}
}

// follow polls on one connection until that fails.
func (f *Client) follow(ctx context.Context, w *watchtimeout.Timeouts, addr string, since *int64, take func([]byte) (int64, error), state func(error)) error {
	began := time.Now()
	c, err := f.socks.dial(ctx, addr, w.Dial(), true)
	if err != nil {
		w.DialFailed()
		return err
	}
	w.DialSucceeded(time.Since(began))
	c.most = maxList
	defer c.close()
	defer context.AfterFunc(ctx, c.close)()
	for {
		if err := f.changes(c, w, addr, since, take); err != nil {
			return err
		}
		state(nil)
	}
}

func (f *Client) changes(c *conn, w *watchtimeout.Timeouts, addr string, since *int64, take func([]byte) (int64, error)) error {
	c.begin("GET", "/changes?since="+strconv.FormatInt(*since, 10)+
		"&timeout="+strconv.FormatInt(w.PollWait().Milliseconds(), 10), addr)
	if err := c.send(nil); err != nil {
		return err
	}
	sent := time.Now()
	r, err := c.receive(sent.Add(w.PollWait() + w.Response()))
	if err != nil {
		if isTimeout(err) {
			w.ResponseTimedOut()
		}
		return err
	}
	w.ResponseReceived(time.Since(sent))
	if r.code != 200 {
		return fmt.Errorf("change log: status %d", r.code)
	}
	if *since, err = take(r.body); err != nil {
		return err
	}
	if !c.fresh() {
		return fmt.Errorf("change log: connection closed")
	}
	return nil
}
