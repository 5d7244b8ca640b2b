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
// of the last event held. A lost connection is opened anew, for as long as it takes; state is told of each
// change from well (nil) to lost and back.
func (f *Fleet) Changes(ctx context.Context, addr string, since int64, take func([]byte) (int64, error), state func(error)) {
	var c *conn
	var lost error
	for ctx.Err() == nil {
		var err error
		if c == nil {
			c, err = f.socks.dial(addr, f.opt.ConnectTimeout, true)
		}
		if err == nil {
			since, err = f.changes(c, addr, since, take)
		}
		if (err == nil) != (lost == nil) {
			state(err)
		}
		if lost = err; err == nil {
			continue
		}
		if c != nil {
			c.close()
			c = nil
		}
		select {
		case <-ctx.Done():
		case <-time.After(changesPause):
		}
	}
	if c != nil {
		c.close()
	}
}

func (f *Fleet) changes(c *conn, addr string, since int64, take func([]byte) (int64, error)) (int64, error) {
	c.begin("GET", "/changes?since="+strconv.FormatInt(since, 10)+
		"&timeout="+strconv.FormatInt(changesWait.Milliseconds(), 10), addr)
	if err := c.send(nil); err != nil {
		return since, err
	}
	r, n, err := c.receive(time.Now().Add(changesWait + changesSlack))
	if err != nil {
		return since, err
	}
	if r.code != 200 {
		return since, fmt.Errorf("change log: status %d", r.code)
	}
	last, err := take(r.body)
	if err != nil {
		return since, err
	}
	if r.close {
		return last, fmt.Errorf("change log: connection closed")
	}
	return last, c.done(n)
}
