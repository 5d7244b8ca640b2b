package consul

import (
	"context"
	"errors"
	"strconv"
	"time"

	"beechcart/decision/discovery"
	"beechcart/decision/poll"
	"beechcart/internal/http1"
)

const (
	// bodyTimeout bounds the time to read the whole body of a response, from the end of its head.
	bodyTimeout  = 30 * time.Second
	maxHeadBytes = 16 << 10
)

const (
	statusOK              = 200
	statusBadRequest      = 400
	statusRequestTimeout  = 408
	statusTooManyRequests = 429
	statusInternalError   = 500
)

// statusError reports a response with a status other than 200.
type statusError struct{ code int }

func (e statusError) Error() string { return "status " + strconv.Itoa(e.code) }

// isDenied reports whether err is a client error (4xx) that a retry of the same request does not change: any except 408
// and 429.
func isDenied(err error) bool {
	var s statusError
	return errors.As(err, &s) && s.code >= statusBadRequest && s.code < statusInternalError &&
		s.code != statusRequestTimeout && s.code != statusTooManyRequests
}

// response is one complete response.
type response struct {
	discovery.Observation
	headAt  time.Time     // when the head had been read
	latency time.Duration // from sending the request to the last byte of the response
}

// client holds at most one connection, to one address. Its methods must be called from one goroutine.
type client struct {
	options *Options
	conn    *http1.Conn // nil: not connected
	address address
	stop    context.CancelFunc // ends the context of conn
}

func (c *client) close() {
	if c.conn != nil {
		c.stop()
		c.conn.Close()
		c.conn = nil
	}
}

// do sends one request; the end of ctx aborts the request. A request that fails on a reused connection is sent again on
// a new one if time remains, because the server may have closed the idle connection.
func (c *client) do(ctx context.Context, at address, request poll.Request, token string) (response, error) {
	sent := time.Now()
	deadline := sent.Add(request.HeaderTimeout)
	if c.conn != nil && (c.address != at || !c.conn.Reusable()) {
		c.close()
	}
	reused := c.conn != nil
	r, err := c.try(ctx, at, request, token, deadline)
	connectionLost := err != nil && reused && c.conn == nil && ctx.Err() == nil && !errors.As(err, new(statusError))
	if connectionLost && time.Until(deadline) > c.options.Connect {
		r, err = c.try(ctx, at, request, token, deadline)
	}
	r.latency = time.Since(sent)
	return r, err
}

func (c *client) try(
	ctx context.Context, at address, request poll.Request, token string, deadline time.Time,
) (r response, err error) {
	if c.conn == nil {
		if err := c.dial(ctx, at); err != nil {
			return r, err
		}
	}
	stop := context.AfterFunc(ctx, c.conn.Close)
	defer stop()
	defer func() {
		if err != nil {
			c.close()
		}
	}()
	fields := []http1.Field{{Name: "Accept", Value: "application/json"}}
	if token != "" {
		fields = append(fields, http1.Field{Name: "X-Consul-Token", Value: token})
	}
	limits := http1.Limits{Head: maxHeadBytes, Body: c.options.MaxBody}
	r.HasLeader = true // a server that omits X-Consul-KnownLeader has a leader, or it would not answer
	call := http1.Request{Method: "GET", Path: c.options.path(request), Fields: fields}
	head, err := c.conn.Do(call, deadline, limits, r.parseField)
	if err != nil {
		return r, err
	}
	r.headAt = time.Now()
	if head.StatusCode != statusOK {
		return r, statusError{head.StatusCode}
	}
	d := newDecoder(c.options.Mapping)
	if err := c.conn.Body(head, limits, r.headAt.Add(bodyTimeout), request.ReadTimeout, d); err != nil {
		return r, err
	}
	r.Endpoints, err = d.finish()
	return r, err
}

// parseField reads one header field of the response.
func (r *response) parseField(name, value []byte) error {
	switch {
	case http1.EqualName(name, "X-Consul-Index"):
		n, err := strconv.ParseUint(string(value), 10, 64)
		if err != nil {
			return http1.ErrMalformed
		}
		r.Index = n
	case http1.EqualName(name, "X-Consul-KnownLeader"):
		r.HasLeader = http1.EqualName(value, "true")
	case http1.EqualName(name, "X-Consul-LastContact"):
		n, err := http1.ParseDigits(value)
		if err != nil {
			return err
		}
		r.LastContact = time.Duration(n) * time.Millisecond
	}
	return nil
}

func (c *client) dial(ctx context.Context, at address) error {
	var secure http1.Secure
	if at.tls {
		var err error
		if secure, err = c.options.secure(at); err != nil {
			return err
		}
	}
	ctx, c.stop = context.WithCancel(ctx)
	var err error
	if c.conn, err = http1.Dial(ctx, at.hostPort, c.options.Connect, secure); err != nil {
		c.stop()
		return err
	}
	c.address = at
	return nil
}
