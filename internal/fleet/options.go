package fleet

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"time"

	"beechcart/decision/rollout"
)

// Options are what a front end is in the fleet.
type Options struct {
	Name, Room, Kind string
	Revision         string  // that this process runs
	Weight           float64 // what it can carry, in requests a second
	Gossip           string  // host:port, TCP and UDP
	Keepers          []Address
	Dir              string            // of the log, at those that keep it
	Key              string            // shared by all; 16, 24 or 32 bytes
	Routes           map[string]string // addresses that are dialled in place of others
	Settings         rollout.Settings  // of a fleet that has agreed on none yet
	DiskFaults       string            // a file that names a fault of the log's disk, for drills
	Skew             time.Duration     // by which this front end's clock is ahead of the machine's, for drills
	Wire             *Wire             // that counts and restricts what is sent, for tests at fleet size; nil: none. Not with Routes
	Log              *slog.Logger
}

// now is this front end's clock.
func (o *Options) now() time.Time { return time.Now().Add(o.Skew) }

// Address is where a front end that keeps the log is reached.
type Address struct {
	Name   string
	Log    string // by other keepers, host:port
	Ask    string // by members and operators, host:port
	Gossip string
}

// Check names the first option that can't be used.
func (o *Options) Check() error {
	if o.Name == "" || o.Room == "" || o.Revision == "" {
		return errors.New("fleet: name, room and revision are needed")
	}
	if len(o.Keepers)%2 == 0 || len(o.Keepers) > 7 {
		return fmt.Errorf("fleet: keepers: found %d, allowed is 1, 3, 5 or 7", len(o.Keepers))
	}
	if n := len(o.Key); n != 16 && n != 24 && n != 32 {
		return fmt.Errorf("fleet: key: found %d bytes, allowed is 16, 24 or 32", n)
	}
	seen := map[string]bool{}
	for i, k := range o.Keepers {
		if k.Name == "" || seen[k.Name] {
			return fmt.Errorf("fleet: keepers[%d]: name: found %q, allowed is one that no other has", i, k.Name)
		}
		seen[k.Name] = true
		for _, a := range [][2]string{{"log", k.Log}, {"ask", k.Ask}, {"gossip", k.Gossip}} {
			if _, _, err := net.SplitHostPort(a[1]); err != nil {
				return fmt.Errorf("fleet: keepers[%d]: %s: found %q, allowed is HOST:PORT", i, a[0], a[1])
			}
		}
	}
	if _, _, err := net.SplitHostPort(o.Gossip); err != nil {
		return fmt.Errorf("fleet: gossip: found %q, allowed is HOST:PORT", o.Gossip)
	}
	if o.Wire != nil && len(o.Routes) > 0 {
		return errors.New("fleet: wire: allowed is one without routes")
	}
	if o.keeper() != nil && o.Dir == "" {
		return errors.New("fleet: dir is needed at a front end that keeps the log")
	}
	return nil
}

// keeper is this front end's own entry among those that keep the log; nil where it keeps none.
func (o *Options) keeper() *Address {
	for i := range o.Keepers {
		if o.Keepers[i].Name == o.Name {
			return &o.Keepers[i]
		}
	}
	return nil
}

// route is the address to dial for another.
func (o *Options) route(addr string) string {
	if to := o.Routes[addr]; to != "" {
		return to
	}
	return addr
}

// The times of words between members.
const (
	askWait   = 1500 * time.Millisecond // one call to a keeper
	watchWait = 2 * time.Second         // a watch that brings nothing new
	agreeWait = 2 * time.Second         // for the log to take a command
	leadEvery = 100 * time.Millisecond  // the leader's own look around
	doubtFor  = 700 * time.Millisecond  // not heard of for so long is doubted
	countsFor = 2 * time.Second         // a window of counts
	goWithin  = time.Second             // a permission to go out that is older is asked for again
)
