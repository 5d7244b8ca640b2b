package bench

import (
	"context"
	"errors"
	"fmt"
	"time"

	"beechcart/internal/faulttest"
)

const (
	// answerSlack is how long after the time limit of a request its answer is still waited for.
	answerSlack = 5 * time.Second
	// dialTimeout is the time limit of a connect with its login.
	dialTimeout = 3 * time.Second
)

// firstID is the id of the first request that a client repeats.
const firstID uint64 = 1<<40 + 1

// client makes requests of one scenario, one at a time, on one session or on a fresh one each.
type client struct {
	scenario Scenario
	address  string
	session  *faulttest.Session // nil until the first request
	repeated uint64             // requests that repeat has made
}

// close closes the client's session, if there is one.
func (c *client) close() { c.session.Close() }

// request makes one request under an id, and checks its answer.
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
		return fmt.Errorf("bench: %s: %d rows in place of %d", c.scenario.Name, len(rows), want)
	}
	return nil
}

// connect opens the session, where the scenario has one that lasts.
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

// checkRejected returns an error unless a request was rejected as safe to retry.
func (c *client) checkRejected(err error) error {
	var rejected *faulttest.ServerError
	if !errors.As(err, &rejected) || !rejected.RetrySafe() {
		return fmt.Errorf("bench: %s: not rejected: %w", c.scenario.Name, err)
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
