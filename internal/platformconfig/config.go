// Package platformconfig turns the configuration, and the settings object that it shares with the bench, into the
// controller's terms and the names that clients and the change log use.
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

// Config is what a front end is told at its start.
type Config struct {
	Name, Listen      string
	ChangeLog         string // may be empty where the engine list comes from elsewhere
	Seed              uint64
	Cores             float64
	MemoryMB, Sockets int
	Known             []byte // the change log's events so far, as JSON
	Admission         admission.Settings
	Names             Names
	ConnectTimeout    time.Duration
	HandshakePrice    float64 // points of service for one new connection to an engine for each request
}

// Load reads the configuration file and applies the environment's name and address over it.
func Load(path string, env func(string) string) (*Config, error) {
	if path == "" {
		return nil, errors.New("configuration: PROXY_CONFIG names no file")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	c, err := read(text)
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

func read(text []byte) (*Config, error) {
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		return nil, err
	}
	top := newFacts(v)
	c := &Config{
		Name: top.word("name"), Listen: top.word("listen"), ChangeLog: top.word("changelog"),
		Cores: top.number("limits.cores"), MemoryMB: top.integer("limits.memory_mb"), Sockets: top.integer("limits.sockets"),
		ConnectTimeout: 250 * time.Millisecond,
	}
	if *top.err != nil {
		return nil, *top.err
	}
	if seed := strings.TrimSpace(top.word("seed")); seed != "" {
		if c.Seed, err = strconv.ParseUint(seed, 16, 64); err != nil {
			return nil, fmt.Errorf("seed: %q is not a hex number", seed)
		}
	}
	if c.Cores <= 0 {
		c.Cores = 1
	}
	if c.MemoryMB <= 0 {
		c.MemoryMB = 192
	}
	if c.Sockets <= 0 {
		c.Sockets = 1024
	}
	if k := v.Get("known"); k != nil {
		c.Known = k.MarshalTo(nil)
	}
	set := newFacts(v.Get("settings"))
	if set.v == nil {
		return nil, errors.New("settings: missing")
	}
	if c.Admission, c.Names, err = parse(set.v); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	// The MySQL front carries the pause in the error's message, so it is asked of the module also where the
	// settings know no field for it.
	c.Admission.MaxRetryAfter = set.dur("permissions.max_retry_after")
	c.HandshakePrice = set.number("prices.handshake")
	if d := set.dur("permissions.connect_timeout"); d > 0 {
		c.ConnectTimeout = d
	}
	return c, *set.err
}

// leastSockets is what the listener, the change log, a few clients and a few engines take.
const leastSockets = 16

// Check holds what was read against what a front end can serve with.
func (c *Config) Check() error {
	a := &c.Admission
	wrong := func(field string, value any, allowed string) error {
		return fmt.Errorf("%s: %v is not allowed: it must be %s", field, value, allowed)
	}
	switch {
	case c.Sockets < leastSockets:
		return wrong("limits.sockets", c.Sockets, fmt.Sprintf("%d at least", leastSockets))
	case a.Replicas < 1:
		return wrong("settings.replicas_of_me", a.Replicas, "1 at least")
	case a.Me >= a.Replicas:
		return wrong("settings.me", a.Me, fmt.Sprintf("under settings.replicas_of_me, which is %d", a.Replicas))
	case len(a.Classes) == 0:
		return wrong("settings.services", "[]", "a list of one class at least")
	case a.SlowStart.InitialCapacity > 1:
		return wrong("settings.rules.cold_from", a.SlowStart.InitialCapacity, "from 0 to 1")
	}
	for i, cl := range a.Classes {
		field := fmt.Sprintf("settings.services[%d]", i)
		switch name := c.Names.classes[i]; {
		case name == "":
			return wrong(field+".name", `""`, "a name")
		case c.Names.Classes[name] != i:
			return wrong(field+".name", strconv.Quote(name), "no other class's name")
		case cl.Deadline <= 0:
			return wrong(field+".deadline", int64(cl.Deadline), "over 0")
		}
	}
	return nil
}
