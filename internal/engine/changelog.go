package engine

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"beechcart/decision/watchtimeout"
)

var errChangeLogClosed = errors.New("change log: connection closed")

// changeLogWatch is the state of following one change log.
type changeLogWatch struct {
	client   *Client
	address  string
	since    int64 // the number of the last event that was taken
	take     func(body []byte) (int64, error)
	timeouts *watchtimeout.Timeouts
}

// FollowChangeLog polls the change log at an address until ctx ends. Each answer goes to take, which returns the
// number of the last event that it has taken; the polls begin after event since. The outcome of each poll goes to
// report. A lost connection is opened again, however often. decision/watchtimeout decides how long each step may
// last. The end of ctx ends a dial or a poll at once: a new configuration may have replaced an address that no longer
// answers.
func (c *Client) FollowChangeLog(
	ctx context.Context, address string, since int64, take func([]byte) (int64, error), report func(error),
) {
	watch := &changeLogWatch{
		client: c, address: address, since: since, take: take,
		timeouts: watchtimeout.New(c.options.DrainGrace, c.options.ConnectTimeout),
	}
	for ctx.Err() == nil {
		err := watch.followOnce(ctx, report)
		if ctx.Err() != nil {
			return
		}
		if report(err); isTimeout(err) {
			continue // it has taken its time already
		}
		select {
		case <-ctx.Done():
		case <-time.After(watch.timeouts.RetryDelay()):
		}
	}
}

// followOnce polls on one connection until that fails.
func (w *changeLogWatch) followOnce(ctx context.Context, report func(error)) error {
	began := time.Now()
	conn, err := w.client.sockets.dial(ctx, w.address, w.timeouts.Dial(), urgentUse)
	if err != nil {
		w.timeouts.DialFailed()
		return err
	}
	w.timeouts.DialSucceeded(time.Since(began))
	conn.bodyLimit = maxChangeLogBytes
	defer conn.close()
	defer context.AfterFunc(ctx, conn.close)()
	for {
		if err := w.poll(conn); err != nil {
			return err
		}
		report(nil)
	}
}

func (w *changeLogWatch) poll(conn *connection) error {
	wait := w.timeouts.PollWait()
	conn.writeRequestLine("GET", changesPath+"?since="+strconv.FormatInt(w.since, 10)+
		"&timeout="+strconv.FormatInt(wait.Milliseconds(), 10), w.address)
	if err := conn.send(nil); err != nil {
		return err
	}
	sent := time.Now()
	r, err := conn.receive(sent.Add(wait + w.timeouts.Response()))
	if err != nil {
		if isTimeout(err) {
			w.timeouts.ResponseTimedOut()
		}
		return err
	}
	w.timeouts.ResponseReceived(time.Since(sent))
	if r.status != statusOK {
		return fmt.Errorf("change log: status %d", r.status)
	}
	if w.since, err = w.take(r.body); err != nil {
		return err
	}
	if !conn.reusable() {
		return errChangeLogClosed
	}
	return nil
}
