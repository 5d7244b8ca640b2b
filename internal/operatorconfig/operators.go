// Package operatorconfig holds the operators' own settings: what is not told by the platform's configuration. They are
// written in CUE, checked and built to JSON by gatewayctl (internal/operatorconfig/cuefile), and read from JSON by the front
// end, which stays small that way. Without a file the defaults hold, and nothing beyond the platform's page is on.
package operatorconfig

import (
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/valyala/fastjson"

	"beechcart/decision/discovery"
	"beechcart/decision/poll"
	"beechcart/decision/reuse"
	"beechcart/internal/source/consul"
)

// Schema is the version of the built JSON.
const Schema = 1

// The sources of the engine list.
const (
	ChangeLog = "changelog"
	Consul    = "consul"
)

// The ways to treat connections to engines that have ended a query.
const (
	ReuseAuto = "auto" // they serve again where the platform puts a price on new ones
	ReuseOn   = "on"
	ReuseOff  = "off"
)

// Settings are the operators' settings.
type Settings struct {
	Source      string // ChangeLog or Consul
	Log         Log
	Consul      consul.Options
	LastGood    LastGood
	Clients     Clients
	Reuse       string // ReuseAuto, ReuseOn or ReuseOff
	AdminSocket string // path of a local socket for gatewayctl; empty: none
	Fleet       Fleet
}

// Fleet is this front end's part in what front ends agree on. It is off where Gossip is empty.
type Fleet struct {
	Room, Kind, Revision string
	Weight               float64 // what it can carry, in requests a second
	Gossip               string
	Keepers              []Keeper
	Dir                  string
	Key                  string
	KeyFile              string
	Routes               map[string]string // "FROM=TO" each: addresses that are dialled in place of others
	DiskFaults           string            // for drills: a file that names a fault of the log's disk
	Ahead                time.Duration     // for drills: by which the fleet's part takes the clock to be ahead of the machine's
}

// Keeper is a front end that keeps the agreed log.
type Keeper struct{ Name, Log, Ask, Gossip string }

// Log is the form of the log.
type Log struct {
	Level  slog.Level
	Format string // "text" or "json"
}

// Clients are the bounds of sessions.
type Clients struct {
	Idle        time.Duration // a session that asks nothing is closed after this
	MaxSessions int           // 0: two fifths of the descriptors
}

// Sessions is the most sessions at once, of so many descriptors.
func (c Clients) Sessions(sockets int) int {
	if c.MaxSessions > 0 {
		return min(c.MaxSessions, sockets/2)
	}
	return sockets * 2 / 5
}

// Connections decides which connections to engines serve again, where a new one costs that price and there are so many
// descriptors; nil where none does.
func (s *Settings) Connections(handshakePrice float64, sockets int) (*reuse.Policy, error) {
	if s.Reuse == ReuseOff || (s.Reuse == ReuseAuto && handshakePrice <= 0) {
		return nil, nil
	}
	set := reuse.Defaults()
	set.MaxIdleTotal = min(set.MaxIdleTotal, sockets/8) // places at engines are scarce too
	return reuse.New(set)
}

// LastGood is the file that keeps the last good list.
type LastGood struct {
	Path       string // empty: none
	WriteEvery time.Duration
	MaxAge     time.Duration // 0: any
}

// Default is what holds where nothing is set.
func Default() Settings {
	return Settings{
		Source: ChangeLog,
		Log:    Log{Level: slog.LevelInfo, Format: "text"},
		Consul: consul.Options{
			Addresses: []string{"127.0.0.1:8500"}, Service: "engine", Consistency: "default", MaxBody: 64 << 20,
			Connect: 500 * time.Millisecond, Poll: poll.Defaults(), Membership: discovery.Defaults(), Mapping: consul.DefaultMapping(),
		},
		Clients:  Clients{Idle: 5 * time.Second},
		Reuse:    ReuseAuto,
		LastGood: LastGood{WriteEvery: time.Second, MaxAge: 24 * time.Hour},
	}
}

// Load reads a file that gatewayctl has built; an empty path gives the defaults.
func Load(path string) (Settings, error) {
	if path == "" {
		return Default(), nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	if strings.HasSuffix(path, ".cue") {
		return Settings{}, fmt.Errorf("settings %s: the front end reads built settings: run 'gatewayctl config build %s'", path, path)
	}
	s, err := Parse(text)
	if err != nil {
		return Settings{}, fmt.Errorf("settings %s: %w", path, err)
	}
	return s, nil
}

// Parse reads the built JSON. What it does not set keeps its default; what it does not know is an error.
func Parse(text []byte) (Settings, error) {
	s := Default()
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		return s, err
	}
	schema := 0
	c, p, m, mp := &s.Consul, &s.Consul.Poll, &s.Consul.Membership, &s.Consul.Mapping
	err = object{
		"schema": integer(&schema, 1, 1<<30),
		"source": oneOf(&s.Source, ChangeLog, Consul),
		"log": object{
			"level":  level(&s.Log.Level),
			"format": oneOf(&s.Log.Format, "text", "json"),
		}.read,
		"consul": object{
			"addresses": words(&c.Addresses), "service": word(&c.Service), "datacenter": word(&c.Datacenter),
			"namespace": word(&c.Namespace), "tag": word(&c.Tag), "filter": word(&c.Filter), "passing": yes(&c.Passing),
			"consistency": oneOf(&c.Consistency, "default", "stale", "consistent"),
			"token_file":  word(&c.TokenFile), "ca_file": word(&c.CAFile), "server_name": word(&c.ServerName),
			"cert_file": word(&c.CertFile), "key_file": word(&c.KeyFile),
			"max_body_mb": megabytes(&c.MaxBody), "connect_ms": millis(&c.Connect),
			"wait_ms": millis(&p.Wait), "slack_ms": millis(&p.ResponseTimeout), "max_slack_ms": millis(&p.MaxResponseTimeout), "confirm_ms": millis(&p.ConfirmInterval),
			"min_gap_ms": millis(&p.MinInterval), "max_read_share": share(&p.MaxBusyShare),
			"min_pause_ms": millis(&p.MinBackoff), "max_pause_ms": millis(&p.MaxBackoff), "hold_ms": millis(&p.DeniedBackoff),
			"map": object{
				"zone": word(&mp.Zone), "kind": word(&mp.Kind), "cell": word(&mp.Cell), "weight": word(&mp.Weight),
				"mark": word(&mp.Mark), "started": word(&mp.Started),
				"drain_tag": word(&mp.DrainTag), "drain_meta": word(&mp.DrainMeta),
			}.read,
		}.read,
		"membership": object{
			"max_lag_ms": millis(&m.MaxStaleness), "max_out": share(&m.MaxEjected), "max_loss": share(&m.MaxLoss),
			"loss_window_ms": millis(&m.LossWindow), "confirm_reads": integer(&m.ConfirmReads, 1, 1000),
			"confirm_after_ms": millis(&m.ConfirmAfter), "doubt_for_ms": millis(&m.MaxSuspicion), "reset_after_ms": millis(&m.ResetAfter),
			"penalty": number(&m.Penalty), "half_life_ms": millis(&m.HalfLife), "suppress": number(&m.Suppress),
			"reuse": number(&m.Reuse), "max_suppress_ms": millis(&m.MaxSuppress), "linger_ms": millis(&m.Linger),
		}.read,
		"last_good": object{
			"path": word(&s.LastGood.Path), "write_every_ms": millis(&s.LastGood.WriteEvery), "max_age_ms": millis(&s.LastGood.MaxAge),
		}.read,
		"clients":      object{"idle_ms": millis(&s.Clients.Idle), "max_sessions": integer(&s.Clients.MaxSessions, 0, 1<<20)}.read,
		"engines":      object{"reuse": oneOf(&s.Reuse, ReuseAuto, ReuseOn, ReuseOff)}.read,
		"admin_socket": word(&s.AdminSocket),
		"fleet": object{
			"room": word(&s.Fleet.Room), "kind": word(&s.Fleet.Kind), "revision": word(&s.Fleet.Revision),
			"weight": number(&s.Fleet.Weight), "gossip": word(&s.Fleet.Gossip), "dir": word(&s.Fleet.Dir),
			"key_file": word(&s.Fleet.KeyFile), "keepers": keepers(&s.Fleet.Keepers), "routes": routes(&s.Fleet.Routes),
			"disk_faults": word(&s.Fleet.DiskFaults), "ahead_ms": millis(&s.Fleet.Ahead),
		}.read,
	}.read("", v)
	switch {
	case err != nil:
		return s, err
	case schema == 0:
		return s, fmt.Errorf("schema: missing: this is no file that 'gatewayctl config build' has written")
	case schema > Schema:
		return s, fmt.Errorf("schema: %d is later than %d, which this program knows", schema, Schema)
	case len(c.Addresses) == 0:
		return s, fmt.Errorf("consul.addresses: at least one is needed")
	}
	return s, nil
}

// Check tells what only the running machine can: files that are named and can't be read.
func (s *Settings) Check() error {
	for _, f := range [][2]string{{"token_file", s.Consul.TokenFile}, {"ca_file", s.Consul.CAFile},
		{"cert_file", s.Consul.CertFile}, {"key_file", s.Consul.KeyFile}} {
		if f[1] == "" || s.Source != Consul {
			continue
		}
		if _, err := os.Stat(f[1]); err != nil {
			if pe, ok := err.(*fs.PathError); ok {
				err = pe.Err
			}
			return fmt.Errorf("consul.%s: %s: %w", f[0], f[1], err)
		}
	}
	if s.Fleet.Gossip != "" {
		key, err := os.ReadFile(s.Fleet.KeyFile)
		if err != nil {
			return fmt.Errorf("fleet.key_file: %w", err)
		}
		s.Fleet.Key = strings.TrimSpace(string(key))
	}
	if (s.Consul.CertFile == "") != (s.Consul.KeyFile == "") {
		return fmt.Errorf("consul: cert_file and key_file go together")
	}
	return nil
}

// reader reads one value into its place; path names it.
type reader func(path string, v *fastjson.Value) error

// object reads an object whose fields are all known.
type object map[string]reader

func (o object) read(path string, v *fastjson.Value) error {
	obj, err := v.Object()
	if err != nil {
		return found(path, "an object", v)
	}
	obj.Visit(func(key []byte, v *fastjson.Value) {
		name := strings.TrimPrefix(path+"."+string(key), ".")
		if read, known := o[string(key)]; err != nil {
			return
		} else if !known {
			err = fmt.Errorf("%s: not known; allowed are %s", name, strings.Join(o.names(), ", "))
		} else {
			err = read(name, v)
		}
	})
	return err
}

func (o object) names() []string {
	var names []string
	for n := range o {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}

// found tells what stands where something else is allowed.
func found(path, allowed string, v *fastjson.Value) error {
	text := v.String()
	if len(text) > 40 {
		text = text[:40] + "..."
	}
	return fmt.Errorf("%s: found %s, allowed is %s", path, text, allowed)
}

func word(p *string) reader {
	return func(path string, v *fastjson.Value) error {
		b, err := v.StringBytes()
		if err != nil {
			return found(path, "a string", v)
		}
		*p = string(b)
		return nil
	}
}

func oneOf(p *string, allowed ...string) reader {
	return func(path string, v *fastjson.Value) error {
		for _, a := range allowed {
			if string(v.GetStringBytes()) == a {
				*p = a
				return nil
			}
		}
		return found(path, `"`+strings.Join(allowed, `" or "`)+`"`, v)
	}
}

func level(p *slog.Level) reader {
	return func(path string, v *fastjson.Value) error {
		var name string
		if err := oneOf(&name, "debug", "info", "warn", "error")(path, v); err != nil {
			return err
		}
		return p.UnmarshalText([]byte(name))
	}
}

func words(p *[]string) reader {
	return func(path string, v *fastjson.Value) error {
		list, err := v.Array()
		if err != nil {
			return found(path, "a list of strings", v)
		}
		*p = nil
		for i, v := range list {
			var w string
			if err := word(&w)(fmt.Sprintf("%s[%d]", path, i), v); err != nil {
				return err
			}
			*p = append(*p, w)
		}
		return nil
	}
}

func keepers(p *[]Keeper) reader {
	return func(path string, v *fastjson.Value) error {
		list, err := v.Array()
		if err != nil {
			return found(path, "a list of objects", v)
		}
		*p = nil
		for i, v := range list {
			var k Keeper
			o := object{"name": word(&k.Name), "log": word(&k.Log), "ask": word(&k.Ask), "gossip": word(&k.Gossip)}
			if err := o.read(fmt.Sprintf("%s[%d]", path, i), v); err != nil {
				return err
			}
			*p = append(*p, k)
		}
		return nil
	}
}

func routes(p *map[string]string) reader {
	return func(path string, v *fastjson.Value) error {
		var list []string
		if err := words(&list)(path, v); err != nil {
			return err
		}
		*p = nil
		for i, r := range list {
			if *p == nil {
				*p = map[string]string{}
			}
			from, to, ok := strings.Cut(r, "=")
			if !ok {
				return fmt.Errorf("%s[%d]: found %q, allowed is FROM=TO", path, i, r)
			}
			(*p)[from] = to
		}
		return nil
	}
}

func yes(p *bool) reader {
	return func(path string, v *fastjson.Value) (err error) {
		if *p, err = v.Bool(); err != nil {
			return found(path, "true or false", v)
		}
		return nil
	}
}

func between(path string, v *fastjson.Value, low, high float64) (float64, error) {
	f, err := v.Float64()
	if err != nil || !(f >= low && f <= high) {
		return 0, found(path, fmt.Sprintf("a number from %v to %v", low, high), v)
	}
	return f, nil
}

func number(p *float64) reader {
	return func(path string, v *fastjson.Value) (err error) {
		f, err := between(path, v, 0, 1e6)
		if err == nil {
			*p = f
		}
		return err
	}
}

func share(p *float64) reader {
	return func(path string, v *fastjson.Value) error {
		f, err := between(path, v, 0, 1)
		if err == nil {
			*p = f
		}
		return err
	}
}

func integer(p *int, low, high int) reader {
	return func(path string, v *fastjson.Value) error {
		n, err := v.Int()
		if err != nil || n < low || n > high {
			return found(path, fmt.Sprintf("a whole number from %d to %d", low, high), v)
		}
		*p = n
		return nil
	}
}

func megabytes(p *int) reader {
	return func(path string, v *fastjson.Value) error {
		var n int
		if err := integer(&n, 1, 1024)(path, v); err != nil {
			return err
		}
		*p = n << 20
		return nil
	}
}

func millis(p *time.Duration) reader {
	return func(path string, v *fastjson.Value) error {
		f, err := between(path, v, 0, 7*24*3600*1000)
		if err == nil {
			*p = time.Duration(f * float64(time.Millisecond))
		}
		return err
	}
}
