package bench

import (
	"context"
	"errors"
	"fmt"
	"time"

	"beechcart/internal/faulttest"
)

const (
	// answerSlack is how long a client waits for an answer after the request's deadline.
	answerSlack = 5 * time.Second
	// dialTimeout is the timeout of a connect including the login.
	dialTimeout = 3 * time.Second
)

// firstID is the id of the first request made by client.repeat.
const firstID uint64 = 1<<40 + 1

// client makes requests of one scenario, one at a time: all on one session, or each on a new session if the scenario
// requires that.
type client struct {
	scenario Scenario
	address  string
	session  *faulttest.Session // nil until the first request
	repeated uint64             // requests made by repeat
}

// close closes the client's session, if one is open.
func (c *client) close() { c.session.Close() }

// request makes one request under an id and checks the answer.
func (c *client) request(id uint64) error {
	deadline := time.Now().Add(c.scenario.deadline + answerSlack)
	if err := c.connect(); err != nil {
		return err
	}
	rows, err := c.query(c.scenario.statement(id), deadline)
	if c.scenario.Name == rejectionScenario {
		return c.checkRejected(err)
	}
	if err != nil {
		return fmt.Errorf("bench: %s: %w", c.scenario.Name, err)
	}
	if want := c.scenario.rows(); len(rows) != want {
		return fmt.Errorf("bench: %s: found %d rows, expected %d", c.scenario.Name, len(rows), want)
	}
	return nil
}

// connect opens the session if none is open yet, unless each request of the scenario has its own.
func (c *client) connect() (err error) {
	if c.session == nil && !c.scenario.sessionEach {
		c.session, err = faulttest.Dial(c.address, dialTimeout)
	}
	return err
}

func (c *client) query(statement string, deadline time.Time) ([][]string, error) {
	if c.scenario.sessionEach {
		return faulttest.OneQuery(c.address, statement, deadline)
	}
	return c.session.Query(statement, deadline)
}

// checkRejected returns an error unless err is a rejection that is marked as safe to retry.
func (c *client) checkRejected(err error) error {
	var rejected *faulttest.ServerError
	if !errors.As(err, &rejected) || !rejected.RetrySafe() {
		return fmt.Errorf("bench: %s: request was not rejected as safe to retry: %w", c.scenario.Name, err)
	}
	return nil
}

// repeat makes n requests one after the other, each under a new id.
func (c *client) repeat(ctx context.Context, n int) error {
	for range n {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		id := firstID + c.repeated
		c.repeated++
		if err := c.request(id); err != nil {
			return err
		}
	}
	return nil
}
