package consul

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"beechcart/decision/discovery"
	"beechcart/decision/poll"
	"beechcart/internal/http1"
)

// Options are what a catalogue is read with.
type Options struct {
	Addresses   []string // host:port, or https://host:port
	Service     string
	Datacenter  string
	Namespace   string
	Tag         string
	Filter      string
	Passing     bool   // ask for passing instances only
	Consistency string // "default", "stale" or "consistent"
	TokenFile   string
	CAFile      string
	ServerName  string
	CertFile    string
	KeyFile     string
	MaxBody     int // bytes of one answer
	Connect     time.Duration
	Poll        poll.Settings
	Membership  discovery.Settings
	Mapping     Mapping
}

// address is one server or agent.
type address struct {
	hostPort string
	tls      bool
}

func parseAddress(text string) (address, error) {
	a := address{hostPort: text}
	if rest, ok := strings.CutPrefix(text, "https://"); ok {
		a.hostPort, a.tls = rest, true
	} else {
		a.hostPort = strings.TrimPrefix(text, "http://")
	}
	a.hostPort = strings.TrimSuffix(a.hostPort, "/")
	host, port, ok := strings.Cut(a.hostPort, ":")
	if n, err := strconv.Atoi(port[strings.LastIndexByte(port, ':')+1:]); !ok || host == "" || err != nil || n < 1 || n > 65535 {
		return a, fmt.Errorf("addresses: %q is not HOST:PORT or https://HOST:PORT", text)
	}
	return a, nil
}

// path is the call's path and query.
func (o *Options) path(c poll.Request) string {
	q := url.Values{}
	set := func(name, v string) {
		if v != "" {
			q.Set(name, v)
		}
	}
	set("dc", o.Datacenter)
	set("ns", o.Namespace)
	set("tag", o.Tag)
	set("filter", o.Filter)
	if c.Index > 0 {
		q.Set("index", strconv.FormatUint(c.Index, 10))
		q.Set("wait", strconv.FormatInt(c.Wait.Milliseconds(), 10)+"ms")
	}
	path := "/v1/health/service/" + url.PathEscape(o.Service) + "?" + q.Encode()
	if o.Passing {
		path += "&passing"
	}
	if o.Consistency == "stale" || o.Consistency == "consistent" {
		path += "&" + o.Consistency
	}
	return path
}

// statusError is an answer of another status than 200.
type statusError struct{ code int }

func (e statusError) Error() string { return "status " + strconv.Itoa(e.code) }

// denied tells an answer that asking again won't change.
func denied(err error) bool {
	var s statusError
	return errors.As(err, &s) && s.code >= 400 && s.code < 500 && s.code != 408 && s.code != 429
}

// bodyWait is how long the whole body of an answer may take once its head has come.
const bodyWait = 30 * time.Second

// reply is one whole answer.
type reply struct {
	discovery.Observation
	began time.Time     // when its head had come
	took  time.Duration // from the call to its last byte
}

// client holds the connection to one address at a time.
type client struct {
	opt  *Options
	conn *http1.Conn
	at   address
	stop context.CancelFunc // ends conn
}

func (c *client) close() {
	if c.conn != nil {
		c.stop()
		c.conn.Close()
		c.conn = nil
	}
}

// ask makes one call; ctx ends it.
func (c *client) ask(ctx context.Context, at address, call poll.Request, token string) (reply, error) {
	asked := time.Now()
	deadline := asked.Add(call.HeaderTimeout)
	if c.conn != nil && (c.at != at || !c.conn.Reusable()) {
		c.close()
	}
	reused := c.conn != nil
	r, err := c.try(ctx, at, call, token, deadline)
	// Guards against taking the end of an idle connection for a failure of the catalogue.
	if err != nil && reused && c.conn == nil && ctx.Err() == nil && !errors.As(err, new(statusError)) && time.Until(deadline) > c.opt.Connect {
		r, err = c.try(ctx, at, call, token, deadline)
	}
	r.took = time.Since(asked)
	return r, err
}

func (c *client) try(ctx context.Context, at address, call poll.Request, token string, deadline time.Time) (r reply, err error) {
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
	lim := http1.Limits{Head: 16 << 10, Body: c.opt.MaxBody}
	r.HasLeader = true // servers that don't tell have one, or they would not answer
	head, err := c.conn.Do(http1.Request{Method: "GET", Path: c.opt.path(call), Fields: fields}, deadline, lim, r.field)
	if err != nil {
		return r, err
	}
	r.began = time.Now()
	if head.StatusCode != 200 {
		return r, statusError{head.StatusCode}
	}
	d := newDecoder(c.opt.Mapping)
	if err := c.conn.Body(head, lim, r.began.Add(bodyWait), call.ReadTimeout, d); err != nil {
		return r, err
	}
	r.Endpoints, err = d.finish()
	return r, err
}

// field reads a field of the answer's head.
func (r *reply) field(name, value []byte) error {
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
		if secure, err = c.opt.secure(at); err != nil {
			return err
		}
	}
	ctx, c.stop = context.WithCancel(ctx)
	var err error
	if c.conn, err = http1.Dial(ctx, at.hostPort, c.opt.Connect, secure); err != nil {
		c.stop()
		return err
	}
	c.at = at
	return nil
}

// readToken reads the token file; empty where none is set.
func (o *Options) readToken() (string, error) {
	if o.TokenFile == "" {
		return "", nil
	}
	text, err := os.ReadFile(o.TokenFile)
	if err != nil {
		return "", fmt.Errorf("token_file: %w", err)
	}
	token := strings.TrimSpace(string(text))
	// Guards against a file that would write fields of its own into the call.
	if strings.ContainsFunc(token, func(r rune) bool { return r <= ' ' || r >= 0x7f }) {
		return "", fmt.Errorf("token_file: %s holds more than one word", o.TokenFile)
	}
	return token, nil
}
