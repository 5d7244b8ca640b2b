package engine

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"beechcart/decision/watchtimeout"
)

var errChangeLogClosed = errors.New("change log: connection not reusable after a response")

// changeLogWatch is the state of the watch of one change log.
type changeLogWatch struct {
	client   *Client
	address  string
	since    int64 // the number of the last event that was applied
	apply    func(body []byte) (int64, error)
	timeouts *watchtimeout.Timeouts
}

// FollowChangeLog polls the change log at an address until ctx ends. The first poll asks for the events after event
// number since. FollowChangeLog passes the body of each response to apply, which returns the number of the last event
// that was applied, and the outcome of each poll to report. A lost connection is replaced, without a limit on the
// number of tries. decision/watchtimeout sets the timeouts and the delay before a retry. When ctx ends, a dial or poll
// in progress is aborted at once, since a new configuration may have replaced an address that no longer responds.
func (c *Client) FollowChangeLog(
	ctx context.Context, address string, since int64, apply func([]byte) (int64, error), report func(error),
) {
	watch := &changeLogWatch{
		client: c, address: address, since: since, apply: apply,
		timeouts: watchtimeout.New(c.options.DrainGrace, c.options.ConnectTimeout),
	}
	for ctx.Err() == nil {
		err := watch.followOnce(ctx, report)
		if ctx.Err() != nil {
			return
		}
		if report(err); isTimeout(err) {
			continue // the timeout has already delayed the retry
		}
		select {
		case <-ctx.Done():
		case <-time.After(watch.timeouts.RetryDelay()):
		}
	}
}

// followOnce opens one connection and polls on it until a poll fails.
func (w *changeLogWatch) followOnce(ctx context.Context, report func(error)) error {
	began := time.Now()
	conn, err := w.client.sockets.dial(ctx, w.address, w.timeouts.Dial(), urgentUse)
	if err != nil {
		w.timeouts.DialFailed()
		return err
	}
	w.timeouts.DialSucceeded(time.Since(began))
	conn.allowBody(maxChangeLogBytes)
	conn.limitReceiveBuffer(changeLogReceiveBuffer)
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
	timer := responseTimer{deadline: sent.Add(wait + w.timeouts.Response()), transfer: w.timeouts.Transfer()}
	r, err := conn.receiveTimed(&timer)
	w.recordTimes(sent, timer.begunAt, err)
	if err != nil {
		return err
	}
	if r.status != statusOK {
		return fmt.Errorf("change log: found status %d, must be 200", r.status)
	}
	if w.since, err = w.apply(r.body); err != nil {
		return err
	}
	if !conn.reusable() {
		return errChangeLogClosed
	}
	return nil
}

// recordTimes records how long a response took that began at the given time, or that it timed out. A zero time means
// that the response has not begun or came in one piece.
func (w *changeLogWatch) recordTimes(sent, begun time.Time, err error) {
	now := time.Now()
	switch {
	case err != nil && isTimeout(err) && begun.IsZero():
		w.timeouts.ResponseTimedOut()
	case err != nil && isTimeout(err):
		w.timeouts.TransferTimedOut()
	case err != nil:
	case begun.IsZero():
		w.timeouts.ResponseReceived(now.Sub(sent))
		w.timeouts.TransferSucceeded(0)
	default:
		w.timeouts.ResponseReceived(begun.Sub(sent))
		w.timeouts.TransferSucceeded(now.Sub(begun))
	}
}
