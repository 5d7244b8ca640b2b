// Package settings turns the configuration, and the settings object that it shares with the bench, into the
// controller's terms and the names that clients and the change log use.
package settings

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
	str := func(name string) string { return string(v.GetStringBytes(name)) }
	c := &Config{
		Name: str("name"), Listen: str("listen"), ChangeLog: str("changelog"),
		Cores:    v.GetFloat64("limits", "cores"),
		MemoryMB: v.GetInt("limits", "memory_mb"), Sockets: v.GetInt("limits", "sockets"),
		ConnectTimeout: 250 * time.Millisecond,
	}
	if seed := strings.TrimSpace(str("seed")); seed != "" {
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
	c.Admission.MaxPause = set.dur("permissions.max_retry_after")
	c.HandshakePrice = set.number("prices.handshake")
	if d := set.dur("permissions.connect_timeout"); d > 0 {
		c.ConnectTimeout = d
	}
	return c, *set.err
}
