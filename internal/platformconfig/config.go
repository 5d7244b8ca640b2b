// Package platformconfig decodes the platform's configuration of a front end, and the settings object that this
// configuration shares with the simulator. The result holds the controller's settings, and the names that clients and
// the change log use.
//
// docs/terms.md lists the platform's keys beside the names of the fields; settings.go maps the keys of the settings
// object, config.go the keys around that object.
package platformconfig

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fastjson"

	"beechcart/admission"
)

// Config is the configuration that the platform gives a front end at its start.
type Config struct {
	Name           string
	Listen         string // host:port for clients
	ChangeLog      string // host:port; may be empty if the engine list comes from another source
	Seed           uint64
	Cores          float64 // of the machine, available to this front end
	MemoryMB       int
	Descriptors    int    // maximum number of file descriptors open at once
	KnownEvents    []byte // the change log's events up to the start, as JSON
	Admission      admission.Settings
	Names          Names
	ConnectTimeout time.Duration // for connections to engines
	HandshakePrice float64       // points of service for one new connection to an engine for each request
}

// Defaults for keys that are absent or zero.
const (
	defaultCores          = 1
	defaultMemoryMB       = 192
	defaultDescriptors    = 1024
	defaultConnectTimeout = 250 * time.Millisecond
)

// minDescriptors is the number of descriptors that the listener, the change log, a few clients and a few engines take.
const minDescriptors = 16

// Load reads the configuration file. The environment variables PROXY_NAME and PROXY_LISTEN override the name and the
// address in the file.
func Load(path string, env func(string) string) (*Config, error) {
	if path == "" {
		return nil, errors.New("configuration: PROXY_CONFIG names no file")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	c, err := decodeConfig(text)
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	if v := env("PROXY_NAME"); v != "" {
		c.Name = v
	}
	if v := env("PROXY_LISTEN"); v != "" {
		c.Listen = v
	}
	if c.Listen == "" {
		return nil, fmt.Errorf("configuration %s: listen: no address is given", path)
	}
	return c, nil
}

func decodeConfig(text []byte) (*Config, error) {
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		return nil, err
	}
	top := newDecoder(v)
	c := &Config{
		Name:           top.text("name"),
		Listen:         top.text("listen"),
		ChangeLog:      top.text("changelog"),
		Cores:          top.number("limits.cores"),
		MemoryMB:       top.integer("limits.memory_mb"),
		Descriptors:    top.integer("limits.sockets"),
		ConnectTimeout: defaultConnectTimeout,
	}
	if *top.err != nil {
		return nil, *top.err
	}
	if c.Seed, err = parseSeed(top.text("seed")); err != nil {
		return nil, err
	}
	c.fillDefaults()
	if known := v.Get("known"); known != nil {
		c.KnownEvents = known.MarshalTo(nil)
	}
	settings := newDecoder(v.Get("settings"))
	if settings.value == nil {
		return nil, errors.New("settings: missing")
	}
	if c.Admission, c.Names, err = decodeSettings(settings.value); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	// The MySQL server sends Retry-After in the error message, so the controller computes Retry-After even if
	// permissions.retry_after is false.
	c.Admission.MaxRetryAfter = settings.duration("permissions.max_retry_after")
	c.HandshakePrice = settings.number("prices.handshake")
	if timeout := settings.duration("permissions.connect_timeout"); timeout > 0 {
		c.ConnectTimeout = timeout
	}
	return c, *settings.err
}

// parseSeed parses a hexadecimal number; an empty text is zero.
func parseSeed(text string) (uint64, error) {
	text = strings.TrimSpace(text)
	if text == "" {
		return 0, nil
	}
	seed, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, fmt.Errorf("seed: %q is not a hex number", text)
	}
	return seed, nil
}

func (c *Config) fillDefaults() {
	if c.Cores <= 0 {
		c.Cores = defaultCores
	}
	if c.MemoryMB <= 0 {
		c.MemoryMB = defaultMemoryMB
	}
	if c.Descriptors <= 0 {
		c.Descriptors = defaultDescriptors
	}
}

// Check returns a FieldError for the first value that would keep a front end from serving.
func (c *Config) Check() error {
	a := &c.Admission
	switch {
	case c.Descriptors < minDescriptors:
		return notAllowed("limits.sockets", c.Descriptors, fmt.Sprintf("%d at least", minDescriptors))
	case a.Replicas < 1:
		return notAllowed("settings.replicas_of_me", a.Replicas, "1 at least")
	case a.Me >= a.Replicas:
		return notAllowed("settings.me", a.Me, fmt.Sprintf("under settings.replicas_of_me, which is %d", a.Replicas))
	case len(a.Classes) == 0:
		return notAllowed("settings.services", "[]", "a list of one class at least")
	case a.SlowStart.InitialCapacity > 1:
		return notAllowed("settings.rules.cold_from", a.SlowStart.InitialCapacity, "from 0 to 1")
	}
	for i, class := range a.Classes {
		field := fmt.Sprintf("settings.services[%d]", i)
		switch name := c.Names.classes[i]; {
		case name == "":
			return notAllowed(field+".name", `""`, "a name")
		case c.Names.Classes[name] != i:
			return notAllowed(field+".name", strconv.Quote(name), "no other class's name")
		case class.Deadline <= 0:
			return notAllowed(field+".deadline", int64(class.Deadline), "over 0")
		}
	}
	return nil
}

func notAllowed(field string, found any, allowed string) error {
	return &FieldError{Field: field, Found: fmt.Sprint(found), Allowed: allowed}
}
