package fleet

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/google/renameio/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"

	"beechcart/decision/rollout"
)

// ControlReplica keeps the agreed log, with the others that do. It is safe for concurrent use.
type ControlReplica struct {
	options   *Options
	address   *ReplicaAddress
	id        string // this disk's identity
	log       *slog.Logger
	raft      *raft.Raft
	store     *logStore
	transport *raft.NetworkTransport
	http      *http.Server

	mu           sync.Mutex
	stateMachine *rollout.StateMachine
	changed      chan struct{} // closed and replaced at each command

	counts countWindows

	stop chan struct{}
	done sync.WaitGroup
}

// identity is the disk's own name, drawn when there is none. Guards against a keeper that votes with a past that its disk
// has lost.
func identity(dir, name string) (string, error) {
	path := filepath.Join(dir, "identity")
	text, err := os.ReadFile(path)
	if err == nil {
		return strings.TrimSpace(string(text)), nil
	}
	if !errors.Is(err, fs.ErrNotExist) {
		return "", fmt.Errorf("fleet: %w", err)
	}
	if left, _ := os.ReadDir(dir); len(left) > 0 {
		return "", fmt.Errorf("fleet: %s holds files and no identity: empty it, and this keeper starts anew", dir)
	}
	b := make([]byte, 6)
	_, _ = rand.Read(b)
	id := name + "." + hex.EncodeToString(b)
	if err := renameio.WriteFile(path, []byte(id+"\n"), 0o600); err != nil {
		return "", fmt.Errorf("fleet: %w", err)
	}
	return id, nil
}

// OpenReplica starts keeping the log in o.Dir.
func OpenReplica(o *Options) (*ControlReplica, error) {
	k := &ControlReplica{options: o, address: o.self(), log: o.Log, changed: make(chan struct{}), stop: make(chan struct{})}
	if err := os.MkdirAll(o.LogDirectory, 0o700); err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	var err error
	if k.id, err = identity(o.LogDirectory, o.Name); err != nil {
		return nil, err
	}
	if k.stateMachine, err = rollout.New(o.Settings); err != nil {
		return nil, err
	}
	quiet := hclog.New(&hclog.LoggerOptions{Name: "raft", Level: hclog.Warn, Output: logWriter{o.Log, "raft"}, DisableTime: true})
	if k.store, err = openLogStore(o.LogDirectory, o.DiskFaultFile); err != nil {
		return nil, fmt.Errorf("fleet: %s: %w", o.LogDirectory, err)
	}
	snaps, err := raft.NewFileSnapshotStoreWithLogger(o.LogDirectory, 2, quiet)
	if err != nil {
		k.store.Close()
		return nil, fmt.Errorf("fleet: %w", err)
	}
	stream, err := listenRaft(o, k.address.LogAddress, k.id)
	if err != nil {
		k.store.Close()
		return nil, err
	}
	k.transport = raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{Stream: stream, MaxPool: 2, Timeout: callTimeout, Logger: quiet})
	c := raft.DefaultConfig()
	c.LocalID, c.Logger = raft.ServerID(k.id), quiet
	c.HeartbeatTimeout, c.ElectionTimeout, c.LeaderLeaseTimeout = 600*time.Millisecond, 600*time.Millisecond, 400*time.Millisecond
	c.CommitTimeout, c.SnapshotThreshold, c.TrailingLogs = 20*time.Millisecond, 4096, 2048
	// The library writes its term here already: where that fails, the goroutine that does it ends (SetUint64).
	begun := make(chan struct{})
	go func() {
		defer close(begun)
		k.raft, err = raft.NewRaft(c, (*raftStateMachine)(k), k.store, k.store, snaps, k.transport)
	}()
	if <-begun; k.raft == nil {
		if why := k.store.reason(); why != nil {
			err = &DiskError{why}
		}
		k.transport.Close()
		k.store.Close()
		return nil, fmt.Errorf("fleet: %s: %w", o.LogDirectory, err)
	}
	l, err := o.listenTCP(k.address.APIAddress, servedTraffic)
	if err != nil {
		k.Close()
		return nil, fmt.Errorf("fleet: %w", err)
	}
	k.http = &http.Server{Handler: k.handler(), ReadHeaderTimeout: callTimeout}
	go func() { _ = k.http.Serve(l) }()
	k.done.Add(1)
	go k.join()
	return k, nil
}

// Close ends the keeper; the others go on.
func (k *ControlReplica) Close() {
	close(k.stop)
	if k.http != nil {
		_ = k.http.Close()
	}
	_ = k.raft.Shutdown().Error()
	_ = k.transport.Close()
	k.done.Wait()
	_ = k.store.Close()
}

// serverAddress is where this keeper's log is reached, with the identity that calls must be meant for.
func serverAddress(id, hostPort string) raft.ServerAddress {
	return raft.ServerAddress(id + "@" + hostPort)
}

// join asks the others to be let in, until it is. One that is alone begins a fleet only by Init.
func (k *ControlReplica) join() {
	defer k.done.Done()
	for {
		if k.isVoter(k.raft) {
			return
		}
		for _, a := range k.options.ControlReplicas {
			if a.Name != k.address.Name {
				_ = call(k.options, a.APIAddress, "/join", joinRequest{k.address.Name, k.id, k.address.LogAddress}, nil)
			}
		}
		select {
		case <-k.stop:
			return
		case <-time.After(300 * time.Millisecond):
		}
	}
}

func (k *ControlReplica) isVoter(r *raft.Raft) bool {
	f := r.GetConfiguration()
	if f.Error() != nil {
		return false
	}
	for _, s := range f.Configuration().Servers {
		if string(s.ID) == k.id {
			return true
		}
	}
	return false
}

type joinRequest struct {
	Name       string `json:"Name"`
	ID         string `json:"ID"`
	LogAddress string `json:"Log"`
}

// addReplica takes a keeper in; an identity of the same name that its disk has lost goes first.
func (k *ControlReplica) addReplica(w joinRequest) error {
	known := false
	for _, a := range k.options.ControlReplicas {
		known = known || (a.Name == w.Name && a.LogAddress == w.LogAddress)
	}
	if !known || !strings.HasPrefix(w.ID, w.Name+".") {
		return fmt.Errorf("%s at %s is not among the keepers of the settings", w.Name, w.LogAddress)
	}
	f := k.raft.GetConfiguration()
	if err := f.Error(); err != nil {
		return err
	}
	for _, s := range f.Configuration().Servers {
		if string(s.ID) == w.ID {
			return nil
		}
		if strings.HasPrefix(string(s.ID), w.Name+".") {
			k.log.Warn("a keeper has a new disk", "keeper", w.Name, "was", string(s.ID), "is", w.ID)
			if err := k.raft.RemoveServer(s.ID, 0, commitTimeout).Error(); err != nil {
				return err
			}
		}
	}
	return k.raft.AddVoter(raft.ServerID(w.ID), serverAddress(w.ID, w.LogAddress), 0, commitTimeout).Error()
}

// Init begins a fleet with this keeper alone; the others join it. It is an operator's act: a keeper that finds nobody
// must not begin a second fleet by itself.
func (k *ControlReplica) Init() error {
	return k.raft.BootstrapCluster(raft.Configuration{Servers: []raft.Server{{
		ID: raft.ServerID(k.id), Address: serverAddress(k.id, k.address.LogAddress),
	}}}).Error()
}

// errNotLeader tells that the log takes nothing just now, or takes it elsewhere.
var errNotLeader = errors.New("fleet: no keeper leads")

// Apply enters a command into the log, with this keeper's time in it, and returns the machine's answer. An error tells that
// it is not known whether it was taken: the same command, under its id, may be tried again.
func (k *ControlReplica) Apply(c rollout.Command) (rollout.Result, error) {
	c.At = time.Duration(k.options.now().UnixNano())
	text, err := json.Marshal(c)
	if err != nil {
		return rollout.Result{}, err
	}
	f := k.raft.Apply(text, commitTimeout)
	if err := f.Error(); err != nil {
		return rollout.Result{}, fmt.Errorf("%w: %w", errNotLeader, err)
	}
	return f.Response().(rollout.Result), nil
}

// isLeader tells whether this keeper leads.
func (k *ControlReplica) isLeader() bool { return k.raft.State() == raft.Leader }

// leaderAddress is where the leading keeper is asked; empty for none known.
func (k *ControlReplica) leaderAddress() string {
	_, id := k.raft.LeaderWithID()
	for _, a := range k.options.ControlReplicas {
		if strings.HasPrefix(string(id), a.Name+".") {
			return a.APIAddress
		}
	}
	return ""
}

// readState calls f with the state as this keeper knows it.
func (k *ControlReplica) readState(f func(*rollout.StateMachine)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	f(k.stateMachine)
}

// nextChange is closed at the next command.
func (k *ControlReplica) nextChange() <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.changed
}

// raftStateMachine is the keeper as raft sees it.
type raftStateMachine ControlReplica

func (m *raftStateMachine) Apply(l *raft.Log) any {
	var c rollout.Command
	m.mu.Lock()
	defer m.mu.Unlock()
	var r rollout.Result
	if err := json.Unmarshal(l.Data, &c); err != nil {
		r.Rejected = &rollout.RejectedError{Code: rollout.InvalidArgument, Text: err.Error()}
	} else {
		r = m.stateMachine.Apply(c)
	}
	close(m.changed)
	m.changed = make(chan struct{})
	return r
}

func (m *raftStateMachine) Snapshot() (raft.FSMSnapshot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	text, err := m.stateMachine.Snapshot()
	return snapshot(text), err
}

func (m *raftStateMachine) Restore(r io.ReadCloser) error {
	defer r.Close()
	text, err := io.ReadAll(r)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stateMachine.Restore(text)
}

type snapshot []byte

func (s snapshot) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(s); err != nil {
		_ = sink.Cancel()
		return err
	}
	return sink.Close()
}

func (s snapshot) Release() {}

// logWriter hands a library's lines to the log.
type logWriter struct {
	log  *slog.Logger
	from string
}

func (w logWriter) Write(b []byte) (int, error) {
	w.log.Debug(strings.TrimSpace(string(b)), "from", w.from)
	return len(b), nil
}
