package engine

import (
	"context"
	"fmt"
	"strconv"
	"time"
)

// The times of the change log's poll. It is short, so that after a cut the news is late by little.
const (
	changesWait  = time.Second
	changesSlack = 500 * time.Millisecond
	changesPause = 100 * time.Millisecond
)

// Changes polls the change log at addr until ctx ends, and hands each answer to take, which returns the number
// of the last event held. A lost connection is opened anew, for as long as it takes; state is told how each poll
// went. The end of ctx drops the poll in hand at once: guards against hanging on an address that a new
// configuration has replaced, and that tells nothing more.
func (f *Fleet) Changes(ctx context.Context, addr string, since int64, take func([]byte) (int64, error), state func(error)) {
	for ctx.Err() == nil {
		err := f.follow(ctx, addr, &since, take, state)
		if ctx.Err() != nil {
			return
		}
		state(err)
		select {
		case <-ctx.Done():
		case <-time.After(changesPause):
		}
	}
}

// follow polls on one connection until that fails.
func (f *Fleet) follow(ctx context.Context, addr string, since *int64, take func([]byte) (int64, error), state func(error)) error {
	c, err := f.socks.dial(addr, f.opt.ConnectTimeout, true)
	if err != nil {
		return err
	}
	defer c.close()
	defer context.AfterFunc(ctx, c.close)()
	for {
		if err := f.changes(c, addr, since, take); err != nil {
			return err
		}
		state(nil)
	}
}

func (f *Fleet) changes(c *conn, addr string, since *int64, take func([]byte) (int64, error)) error {
	c.begin("GET", "/changes?since="+strconv.FormatInt(*since, 10)+
		"&timeout="+strconv.FormatInt(changesWait.Milliseconds(), 10), addr)
	if err := c.send(nil); err != nil {
		return err
	}
	r, err := c.receive(time.Now().Add(changesWait + changesSlack))
	if err != nil {
		return err
	}
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
