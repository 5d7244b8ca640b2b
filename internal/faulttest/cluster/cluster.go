package cluster

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"beechcart/internal/fleet"
)

// maxMembers is the largest number of members of one cluster. Each takes one address of the cluster's loopback net.
const maxMembers = 200

// The ports of a member, on its own loopback address.
const (
	clientPort = ":7001"
	logPort    = ":7002"
	apiPort    = ":7003"
	gossipPort = ":7004"
)

// FrontEnd is a running front end.
type FrontEnd interface {
	Pid() int
	// Wait waits until the process ends and returns its exit code. It is called once.
	Wait() int
	// BrokenInvariant describes an invariant that the front end has counted as broken; empty if there is none.
	BrokenInvariant() string
}

// Options describe a cluster.
type Options struct {
	Members         int
	Zones           []string // assigned to members in turn
	ControlReplicas int      // number of control replicas, which are the first members
	Dir             string   // for the cluster's files
	Network         *Network
	// Start starts a front end process of a member with the fleet part of its settings, and returns once the process
	// listens.
	Start func(m *Member, revision, fleetSettings string) (FrontEnd, error)
	Logf  func(format string, a ...any)
}

// Cluster is a set of front end processes, each with a supervisor that restarts it as the service manager of an
// installation does.
type Cluster struct {
	Members []*Member
	Client  *fleet.Client // for operator commands; its connections pass no relay

	options         Options
	stopSupervisors context.CancelFunc
	supervisors     sync.WaitGroup
}

// New returns a cluster with addresses, relays and settings for its members. It starts no front end.
func New(o Options) (*Cluster, error) {
	c := &Cluster{options: o}
	key := newKey()
	keyFile := filepath.Join(o.Dir, "key")
	if err := os.WriteFile(keyFile, []byte(key), 0o600); err != nil {
		return nil, fmt.Errorf("cluster: %w", err)
	}
	if o.Members > maxMembers {
		return nil, fmt.Errorf("cluster: members: found %d, allowed is up to %d", o.Members, maxMembers)
	}
	loopbackNet, err := ReserveLoopbackNet()
	if err != nil {
		return nil, err
	}
	for i := range o.Members {
		c.Members = append(c.Members, c.newMember(i, loopbackNet))
	}
	replicas := c.replicaAddresses()
	c.Client = fleet.NewClient(&fleet.Options{ControlReplicas: replicas, Key: key})
	for _, m := range c.Members {
		if m.settings, err = c.settingsOf(m, replicas, keyFile); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func (c *Cluster) newMember(number int, loopbackNet string) *Member {
	name := fmt.Sprintf("n%d", number)
	host := fmt.Sprintf("%s.%d", loopbackNet, number+1)
	return &Member{
		Name:           name,
		Zone:           c.options.Zones[number%len(c.options.Zones)],
		Addr:           host + clientPort,
		ControlReplica: number < c.options.ControlReplicas,
		Number:         number,
		cluster:        c,
		host:           host,
		dir:            filepath.Join(c.options.Dir, name+".log"),
		diskFaultFile:  filepath.Join(c.options.Dir, name+".disk"),
	}
}

func (c *Cluster) replicaAddresses() (addresses []fleet.ReplicaAddress) {
	for _, m := range c.Members {
		if m.ControlReplica {
			addresses = append(addresses, fleet.ReplicaAddress{
				Name: m.Name, LogAddress: m.host + logPort, APIAddress: m.host + apiPort, GossipAddress: m.host + gossipPort,
			})
		}
	}
	return addresses
}

// Start starts all members on a revision and waits until they listen. It returns the first error of a start.
func (c *Cluster) Start(ctx context.Context, revision string) error {
	ctx, c.stopSupervisors = context.WithCancel(ctx)
	started := make(chan error, len(c.Members))
	for _, m := range c.Members {
		m.lastRevision = revision
		c.supervisors.Go(func() { m.supervise(ctx, started) })
	}
	for range c.Members {
		if err := <-started; err != nil {
			return err
		}
	}
	return nil
}

// Stop sends SIGTERM to all processes, as the platform does, and returns once they have ended.
func (c *Cluster) Stop() {
	c.stopSupervisors()
	for _, m := range c.Members {
		m.mu.Lock()
		m.stopping = true
		if m.frontEnd != nil {
			_ = syscall.Kill(m.frontEnd.Pid(), syscall.SIGCONT)
			_ = syscall.Kill(m.frontEnd.Pid(), syscall.SIGTERM)
		}
		m.mu.Unlock()
	}
	c.supervisors.Wait()
}

// newKey returns a fleet key that no other cluster on this machine has.
func newKey() string { return fmt.Sprintf("%032x", time.Now().UnixNano()) }

// clusters is the number of loopback nets that this process has tried to reserve.
var clusters atomic.Int32

// reservedPorts holds the open listeners that mark the loopback nets of this process as in use.
var (
	reservedMu    sync.Mutex
	reservedPorts []net.Listener
)

// ReserveLoopbackNet returns the first three numbers of 253 loopback addresses (.1 to .253) that no other cluster on
// this machine uses, since two clusters on the same addresses would compete for ports. A net is in use while a process
// listens on port 7000 of its address .254; this process listens there until it ends.
func ReserveLoopbackNet() (string, error) {
	const attempts, nets, first = 100, 200, 20
	for range attempts {
		n := int(clusters.Add(1))
		loopbackNet := fmt.Sprintf("127.%d.%d", first+(os.Getpid()+n/nets)%nets, first+n%nets)
		if l, err := net.Listen("tcp", loopbackNet+".254:7000"); err == nil {
			reservedMu.Lock()
			reservedPorts = append(reservedPorts, l)
			reservedMu.Unlock()
			return loopbackNet, nil
		}
	}
	return "", errors.New("cluster: all loopback nets that were tried are in use")
}
