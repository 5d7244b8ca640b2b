package fleet

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"time"

	"beechcart/decision/rollout"
)

// Options configure a front end's membership of the fleet.
type Options struct {
	Name, Zone, Kind  string
	Revision          string  // of the software that this process runs
	CapacityPerSecond float64 // requests a second that this front end can serve
	GossipAddress     string  // host:port, TCP and UDP
	ControlReplicas   []ReplicaAddress
	LogDirectory      string           // of the control log; required on a control replica
	Key               string           // shared by the fleet: 16, 24 or 32 bytes
	Settings          rollout.Settings // in force until a command configures the fleet
	Log               *slog.Logger

	// For tests. Transport counts and blocks traffic; DialOverrides maps an address to the one that is dialled in its
	// place. At most one of the two may be set.
	Transport     *Transport
	DialOverrides map[string]string
	DiskFaultFile string        // a file that names the fault to inject into the log's disk
	ClockSkew     time.Duration // added to the machine's clock
}

// ReplicaAddress has the addresses of a control replica. Hosts of scale runs exchange it under these JSON names.
type ReplicaAddress struct {
	Name          string `json:"Name"`
	LogAddress    string `json:"Log"` // of the replicated log, for other replicas: host:port
	APIAddress    string `json:"Ask"` // of the HTTP interface, for members and operators: host:port
	GossipAddress string `json:"Gossip"`
}

// Time limits and intervals.
const (
	callTimeout       = 1500 * time.Millisecond // of one call to a replica, in addition to commitTimeout
	commitTimeout     = 2 * time.Second         // for a command to be committed to the log
	watchTimeout      = 2 * time.Second         // of a watch whose view does not change
	leaderInterval    = 100 * time.Millisecond  // between rounds of the leader's periodic commands
	suspicionTimeout  = 700 * time.Millisecond  // from the time a member is not alive until the leader suspects it
	windowLength      = 2 * time.Second         // of the windows in which requests are counted
	activationTimeout = time.Second             // a permit's activation that took longer is requested again
)

// now returns the time by this front end's clock.
func (o *Options) now() time.Time { return time.Now().Add(o.ClockSkew) }

// Check returns an error that names the first invalid option by its key in the settings.
func (o *Options) Check() error {
	if o.Name == "" || o.Zone == "" || o.Revision == "" {
		return errors.New("fleet: name, room and revision: found an empty one, all three must be set")
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
			return fmt.Errorf("fleet: keepers[%d]: name: found %q, must be set and unique", i, replica.Name)
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
		return errors.New("fleet: routes: found routes and a test transport, at most one of the two may be set")
	}
	if o.self() != nil && o.LogDirectory == "" {
		return errors.New("fleet: dir: found none, must be set on a control replica")
	}
	return nil
}

// check returns an error that names the first invalid address by its key in the settings.
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

// self returns this front end's own entry among the control replicas, or nil if this front end is not one of them.
func (o *Options) self() *ReplicaAddress {
	for i := range o.ControlReplicas {
		if o.ControlReplicas[i].Name == o.Name {
			return &o.ControlReplicas[i]
		}
	}
	return nil
}

// dialAddress returns the address to dial in place of the given one.
func (o *Options) dialAddress(address string) string {
	if override := o.DialOverrides[address]; override != "" {
		return override
	}
	return address
}
