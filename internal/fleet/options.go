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
	CapacityPerSecond float64 // requests that it can carry
	GossipAddress     string  // host:port, TCP and UDP
	ControlReplicas   []ReplicaAddress
	LogDirectory      string           // of a control replica's log
	Key               string           // shared by the fleet: 16, 24 or 32 bytes
	Settings          rollout.Settings // of a fleet that has not been configured yet
	Log               *slog.Logger

	// For tests. Transport counts and cuts what is sent; DialOverrides are addresses that are dialled in place of others.
	// At most one of the two may be set.
	Transport     *Transport
	DialOverrides map[string]string
	DiskFaultFile string        // a file that names the fault to inject into the log's disk
	ClockSkew     time.Duration // by which this front end's clock is ahead of the machine's
}

// ReplicaAddress is where a control replica is reached. The JSON names are those of the hosts of scale runs.
type ReplicaAddress struct {
	Name          string `json:"Name"`
	LogAddress    string `json:"Log"` // of the replicated log, for other replicas: host:port
	APIAddress    string `json:"Ask"` // of the HTTP interface, for members and operators: host:port
	GossipAddress string `json:"Gossip"`
}

// Time limits and intervals.
const (
	callTimeout       = 1500 * time.Millisecond // of one call to a replica, beside commitTimeout
	commitTimeout     = 2 * time.Second         // for the log to take a command
	watchTimeout      = 2 * time.Second         // of a watch that has nothing new
	leaderInterval    = 100 * time.Millisecond  // between the leader's own commands
	suspicionTimeout  = 700 * time.Millisecond  // how long a member must not be alive before it is suspected
	windowLength      = 2 * time.Second         // of the windows that requests are counted in
	activationTimeout = time.Second             // an answer to an activation that took longer is asked for again
)

// now is this front end's clock.
func (o *Options) now() time.Time { return time.Now().Add(o.ClockSkew) }

// Check returns an error that names the first option that can't be used.
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
	names := map[string]bool{}
	for i, replica := range o.ControlReplicas {
		if replica.Name == "" || names[replica.Name] {
			return fmt.Errorf("fleet: keepers[%d]: name: found %q, allowed is one that no other has", i, replica.Name)
		}
		names[replica.Name] = true
		if err := replica.check(); err != nil {
			return fmt.Errorf("fleet: keepers[%d]: %w", i, err)
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

// check returns an error that names an address of the replica by its key in the settings.
func (r ReplicaAddress) check() error {
	for _, entry := range []struct{ key, address string }{
		{"log", r.LogAddress}, {"ask", r.APIAddress}, {"gossip", r.GossipAddress},
	} {
		if _, _, err := net.SplitHostPort(entry.address); err != nil {
			return fmt.Errorf("%s: found %q, allowed is HOST:PORT", entry.key, entry.address)
		}
	}
	return nil
}

// self is this front end's own entry among the control replicas; nil where it is none.
func (o *Options) self() *ReplicaAddress {
	for i := range o.ControlReplicas {
		if o.ControlReplicas[i].Name == o.Name {
			return &o.ControlReplicas[i]
		}
	}
	return nil
}

// dialAddress is the address to dial for another.
func (o *Options) dialAddress(address string) string {
	if override := o.DialOverrides[address]; override != "" {
		return override
	}
	return address
}
