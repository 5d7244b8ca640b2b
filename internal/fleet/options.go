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
	Name, Zone, Kind  string
	Revision          string  // that this process runs
	CapacityPerSecond float64 // what it can carry, in requests a second
	GossipAddress     string  // host:port, TCP and UDP
	ControlReplicas   []ReplicaAddress
	LogDirectory      string            // of the log, at those that keep it
	Key               string            // shared by all; 16, 24 or 32 bytes
	DialOverrides     map[string]string // addresses that are dialled in place of others
	Settings          rollout.Settings  // of a fleet that has agreed on none yet
	DiskFaultFile     string            // a file that names a fault of the log's disk, for drills
	ClockSkew         time.Duration     // by which this front end's clock is ahead of the machine's, for drills
	Transport         *Transport        // that counts and restricts what is sent, for tests at fleet size; nil: none. Not with Routes
	Log               *slog.Logger
}

// now is this front end's clock.
func (o *Options) now() time.Time { return time.Now().Add(o.ClockSkew) }

// ReplicaAddress is where a control replica is reached. The JSON names are those of the hosts of scale runs.
type ReplicaAddress struct {
	Name          string `json:"Name"`
	LogAddress    string `json:"Log"` // of the replicated log, for other replicas: host:port
	APIAddress    string `json:"Ask"` // of the HTTP interface, for members and operators: host:port
	GossipAddress string `json:"Gossip"`
}

// Check names the first option that can't be used.
func (o *Options) Check() error {
	if o.Name == "" || o.Zone == "" || o.Revision == "" {
		return errors.New("fleet: name, room and revision are needed")
	}
	if len(o.ControlReplicas)%2 == 0 || len(o.ControlReplicas) > 7 {
		return fmt.Errorf("fleet: keepers: found %d, allowed is 1, 3, 5 or 7", len(o.ControlReplicas))
	}
	if n := len(o.Key); n != 16 && n != 24 && n != 32 {
		return fmt.Errorf("fleet: key: found %d bytes, allowed is 16, 24 or 32", n)
	}
	seen := map[string]bool{}
	for i, k := range o.ControlReplicas {
		if k.Name == "" || seen[k.Name] {
			return fmt.Errorf("fleet: keepers[%d]: name: found %q, allowed is one that no other has", i, k.Name)
		}
		seen[k.Name] = true
		for _, a := range [][2]string{{"log", k.LogAddress}, {"ask", k.APIAddress}, {"gossip", k.GossipAddress}} {
			if _, _, err := net.SplitHostPort(a[1]); err != nil {
				return fmt.Errorf("fleet: keepers[%d]: %s: found %q, allowed is HOST:PORT", i, a[0], a[1])
			}
		}
	}
	if _, _, err := net.SplitHostPort(o.GossipAddress); err != nil {
		return fmt.Errorf("fleet: gossip: found %q, allowed is HOST:PORT", o.GossipAddress)
	}
	if o.Transport != nil && len(o.DialOverrides) > 0 {
		return errors.New("fleet: wire: allowed is one without routes")
	}
	if o.self() != nil && o.LogDirectory == "" {
		return errors.New("fleet: dir is needed at a front end that keeps the log")
	}
	return nil
}

// self is this front end's own entry among those that keep the log; nil where it keeps none.
func (o *Options) self() *ReplicaAddress {
	for i := range o.ControlReplicas {
		if o.ControlReplicas[i].Name == o.Name {
			return &o.ControlReplicas[i]
		}
	}
	return nil
}

// dialAddress is the address to dial for another.
func (o *Options) dialAddress(addr string) string {
	if to := o.DialOverrides[addr]; to != "" {
		return to
	}
	return addr
}

// The times of words between members.
const (
	callTimeout       = 1500 * time.Millisecond // one call to a keeper
	watchTimeout      = 2 * time.Second         // a watch that brings nothing new
	commitTimeout     = 2 * time.Second         // for the log to take a command
	leaderInterval    = 100 * time.Millisecond  // the leader's own look around
	suspicionTimeout  = 700 * time.Millisecond  // not heard of for so long is doubted
	windowLength      = 2 * time.Second         // a window of counts
	activationTimeout = time.Second             // a permission to go out that is older is asked for again
)
