package consul

import (
	"errors"
	"fmt"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"beechcart/decision/discovery"
	"beechcart/decision/poll"
)

// The values of Options.Consistency that select a consistency mode of Consul. Any other value selects the default mode.
const (
	consistencyStale      = "stale"
	consistencyConsistent = "consistent"
)

// Options are the settings of a Source.
type Options struct {
	Addresses   []string // host:port, or https://host:port
	Service     string
	Datacenter  string
	Namespace   string
	Tag         string
	Filter      string
	Passing     bool // request passing instances only
	Consistency string
	TokenFile   string
	CAFile      string
	ServerName  string
	CertFile    string
	KeyFile     string
	MaxBody     int // maximum size of a response body, in bytes
	Connect     time.Duration
	Poll        poll.Settings
	Membership  discovery.Settings
	Mapping     Mapping
}

// address is one Consul server or agent.
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
	port = port[strings.LastIndexByte(port, ':')+1:]
	if n, err := strconv.Atoi(port); !ok || host == "" || err != nil || n < 1 || n > 65535 {
		return a, fmt.Errorf("addresses: %q is not HOST:PORT or https://HOST:PORT", text)
	}
	return a, nil
}

// parseAddresses parses the addresses of the options.
func (o *Options) parseAddresses() ([]address, error) {
	var list []address
	for _, text := range o.Addresses {
		a, err := parseAddress(text)
		if err != nil {
			return nil, err
		}
		if a.tls && !canTLS {
			return nil, fmt.Errorf("addresses: %s: this build has no TLS (tag lean)", text)
		}
		list = append(list, a)
	}
	return list, nil
}

// path returns the path and query of a request.
func (o *Options) path(request poll.Request) string {
	query := url.Values{}
	set := func(name, value string) {
		if value != "" {
			query.Set(name, value)
		}
	}
	set("dc", o.Datacenter)
	set("ns", o.Namespace)
	set("tag", o.Tag)
	set("filter", o.Filter)
	if request.Index > 0 {
		query.Set("index", strconv.FormatUint(request.Index, 10))
		query.Set("wait", strconv.FormatInt(request.Wait.Milliseconds(), 10)+"ms")
	}
	path := "/v1/health/service/" + url.PathEscape(o.Service) + "?" + query.Encode()
	if o.Passing {
		path += "&passing"
	}
	if o.Consistency == consistencyStale || o.Consistency == consistencyConsistent {
		path += "&" + o.Consistency
	}
	return path
}

// readToken returns the token in the token file, or an empty string if no file is set. White space and control
// characters within the token are an error, because they could add header fields to the request.
func (o *Options) readToken() (string, error) {
	if o.TokenFile == "" {
		return "", nil
	}
	text, err := os.ReadFile(o.TokenFile)
	if err != nil {
		return "", fmt.Errorf("token_file: %w", err)
	}
	token := strings.TrimSpace(string(text))
	if strings.ContainsFunc(token, func(r rune) bool { return r <= ' ' || r >= 0x7f }) {
		return "", fmt.Errorf("token_file: %s: found a space, control or non-ASCII character in the token", o.TokenFile)
	}
	return token, nil
}

var errNoService = errors.New("service: found no name, must not be empty")
