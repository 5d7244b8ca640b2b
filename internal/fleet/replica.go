package fleet

import (
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"

	"beechcart/decision/rollout"
)

// Settings of the raft library.
const (
	heartbeatTimeout     = 600 * time.Millisecond
	leaderLeaseTimeout   = 400 * time.Millisecond
	appendInterval       = 20 * time.Millisecond // longest time until followers learn of a new commit index
	snapshotThreshold    = 4096                  // entries since the last snapshot
	trailingLogs         = 2048                  // entries kept behind a snapshot, for replicas that are behind
	snapshotsKept        = 2
	maxPooledConnections = 2 // to each other replica
)

// joinInterval is the pause between a replica's requests to be added to the log.
const joinInterval = 300 * time.Millisecond

// ControlReplica is a replica of the control log. It is safe for concurrent use.
type ControlReplica struct {
	options   *Options
	address   *ReplicaAddress
	id        string // identity of the log in options.LogDirectory
	log       *slog.Logger
	raft      *raft.Raft
	store     *logStore
	transport *raft.NetworkTransport
	http      *http.Server
	counts    countWindows

	mu           sync.Mutex
	stateMachine *rollout.StateMachine // guarded by mu
	changed      chan struct{}         // guarded by mu; closed and replaced after each applied command

	stop chan struct{} // closed by Close
	done sync.WaitGroup
}

// OpenReplica opens the log in o.LogDirectory and starts the replica. The caller must close the replica.
func OpenReplica(o *Options) (*ControlReplica, error) {
	r := &ControlReplica{
		options: o, address: o.self(), log: o.Log, changed: make(chan struct{}), stop: make(chan struct{}),
	}
	if err := os.MkdirAll(o.LogDirectory, 0o700); err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	var err error
	if r.id, err = replicaIdentity(o.LogDirectory, o.Name); err != nil {
		return nil, err
	}
	if r.stateMachine, err = rollout.New(o.Settings); err != nil {
		return nil, err
	}
	if err := r.openRaft(); err != nil {
		return nil, err
	}
	listener, err := o.listenTCP(r.address.APIAddress, servedTraffic)
	if err != nil {
		r.Close()
		return nil, fmt.Errorf("fleet: %w", err)
	}
	r.http = &http.Server{Handler: r.handler(), ReadHeaderTimeout: callTimeout}
	go func() { _ = r.http.Serve(listener) }() // returns when Close closes the server
	r.done.Add(1)
	go r.join()
	return r, nil
}

// openRaft opens the log and starts the raft library on it.
func (r *ControlReplica) openRaft() error {
	directory := r.options.LogDirectory
	logger := hclog.New(&hclog.LoggerOptions{
		Name: "raft", Level: hclog.Warn, Output: logWriter{r.log, "raft"}, DisableTime: true,
	})
	var err error
	if r.store, err = openLogStore(directory, r.options.DiskFaultFile); err != nil {
		return fmt.Errorf("fleet: %s: %w", directory, err)
	}
	snapshots, err := raft.NewFileSnapshotStoreWithLogger(directory, snapshotsKept, logger)
	if err != nil {
		_ = r.store.Close()
		return fmt.Errorf("fleet: %w", err)
	}
	stream, err := listenRaft(r.options, r.address.LogAddress, r.id)
	if err != nil {
		_ = r.store.Close()
		return err
	}
	r.transport = raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{
		Stream: stream, MaxPool: maxPooledConnections, Timeout: callTimeout, Logger: logger,
	})
	// The library writes its term while it starts. If that write fails, logStore.SetUint64 ends the calling goroutine, so
	// the library is started in a goroutine of its own.
	started := make(chan struct{})
	go func() {
		defer close(started)
		r.raft, err = raft.NewRaft(r.raftConfig(logger), (*raftStateMachine)(r), r.store, r.store, snapshots, r.transport)
	}()
	<-started
	if r.raft != nil {
		return nil
	}
	if failure := r.store.firstFailure(); failure != nil {
		err = &DiskError{failure}
	}
	_ = r.transport.Close()
	_ = r.store.Close()
	return fmt.Errorf("fleet: %s: %w", directory, err)
}

func (r *ControlReplica) raftConfig(logger hclog.Logger) *raft.Config {
	c := raft.DefaultConfig()
	c.LocalID, c.Logger = raft.ServerID(r.id), logger
	c.HeartbeatTimeout, c.ElectionTimeout, c.LeaderLeaseTimeout = heartbeatTimeout, heartbeatTimeout, leaderLeaseTimeout
	c.CommitTimeout, c.SnapshotThreshold, c.TrailingLogs = appendInterval, snapshotThreshold, trailingLogs
	return c
}

// Close stops this replica and its goroutines.
func (r *ControlReplica) Close() {
	close(r.stop)
	if r.http != nil {
		_ = r.http.Close()
	}
	_ = r.raft.Shutdown().Error()
	_ = r.transport.Close()
	r.done.Wait()
	_ = r.store.Close()
}

// Init starts a new fleet with this replica alone; the other replicas join later. Only an operator may request it: a
// replica that reaches no other replica must not start a second fleet without an operator.
func (r *ControlReplica) Init() error {
	return r.raft.BootstrapCluster(raft.Configuration{Servers: []raft.Server{{
		ID: raft.ServerID(r.id), Address: serverAddress(r.id, r.address.LogAddress),
	}}}).Error()
}

// join asks the other replicas to add this replica to the log, until the log's configuration contains this replica.
func (r *ControlReplica) join() {
	defer r.done.Done()
	for !r.isVoter() {
		for _, other := range r.options.ControlReplicas {
			if other.Name != r.address.Name {
				request := joinRequest{r.address.Name, r.id, r.address.LogAddress}
				_ = call(r.options, other.APIAddress, "/join", request, nil) // retried after joinInterval
			}
		}
		select {
		case <-r.stop:
			return
		case <-time.After(joinInterval):
		}
	}
}

// isVoter reports whether the latest configuration in this replica's log contains this replica.
func (r *ControlReplica) isVoter() bool {
	f := r.raft.GetConfiguration()
	if f.Error() != nil {
		return false
	}
	for _, server := range f.Configuration().Servers {
		if string(server.ID) == r.id {
			return true
		}
	}
	return false
}

// addReplica adds a replica to the log's configuration. It first removes an earlier identity of the same replica,
// whose log is lost.
func (r *ControlReplica) addReplica(request joinRequest) error {
	configured := false
	for _, replica := range r.options.ControlReplicas {
		configured = configured || (replica.Name == request.Name && replica.LogAddress == request.LogAddress)
	}
	if !configured || !isIdentityOf(request.ID, request.Name) {
		return fmt.Errorf("%s at %s is not among the keepers of the settings", request.Name, request.LogAddress)
	}
	f := r.raft.GetConfiguration()
	if err := f.Error(); err != nil {
		return err
	}
	for _, server := range f.Configuration().Servers {
		if string(server.ID) == request.ID {
			return nil
		}
		if !isIdentityOf(string(server.ID), request.Name) {
			continue
		}
		r.log.Warn("control replica has a new identity", "replica", request.Name, "was", string(server.ID), "is", request.ID)
		if err := r.raft.RemoveServer(server.ID, 0, commitTimeout).Error(); err != nil {
			return err
		}
	}
	address := serverAddress(request.ID, request.LogAddress)
	return r.raft.AddVoter(raft.ServerID(request.ID), address, 0, commitTimeout).Error()
}

// errNotLeader is the answer to a call that this replica can't execute, because it does not lead, has not committed
// the command in time or is closing. Another replica may execute the call. Members of other builds receive the text.
var errNotLeader = errors.New("fleet: no keeper leads")

func (r *ControlReplica) isLeader() bool { return r.raft.State() == raft.Leader }

// leaderAddress returns the address of the leader's HTTP interface, or "" if no leader is known.
func (r *ControlReplica) leaderAddress() string {
	_, id := r.raft.LeaderWithID()
	for _, replica := range r.options.ControlReplicas {
		if isIdentityOf(string(id), replica.Name) {
			return replica.APIAddress
		}
	}
	return ""
}
