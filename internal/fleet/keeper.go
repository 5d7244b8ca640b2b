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

// Keeper keeps the agreed log, with the others that do. It is safe for concurrent use.
type Keeper struct {
	opt   *Options
	me    *Address
	id    string // this disk's identity
	log   *slog.Logger
	raft  *raft.Raft
	disk  *disk
	trans *raft.NetworkTransport
	http  *http.Server

	mu      sync.Mutex
	machine *rollout.StateMachine
	changed chan struct{} // closed and replaced at each command

	counts counts

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

// OpenKeeper starts keeping the log in o.Dir.
func OpenKeeper(o *Options) (*Keeper, error) {
	k := &Keeper{opt: o, me: o.keeper(), log: o.Log, changed: make(chan struct{}), stop: make(chan struct{})}
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	var err error
	if k.id, err = identity(o.Dir, o.Name); err != nil {
		return nil, err
	}
	if k.machine, err = rollout.New(o.Settings); err != nil {
		return nil, err
	}
	quiet := hclog.New(&hclog.LoggerOptions{Name: "raft", Level: hclog.Warn, Output: logWriter{o.Log, "raft"}, DisableTime: true})
	if k.disk, err = openDisk(o.Dir, o.DiskFaults); err != nil {
		return nil, fmt.Errorf("fleet: %s: %w", o.Dir, err)
	}
	snaps, err := raft.NewFileSnapshotStoreWithLogger(o.Dir, 2, quiet)
	if err != nil {
		k.disk.Close()
		return nil, fmt.Errorf("fleet: %w", err)
	}
	stream, err := listen(o, k.me.Log, k.id)
	if err != nil {
		k.disk.Close()
		return nil, err
	}
	k.trans = raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{Stream: stream, MaxPool: 2, Timeout: askWait, Logger: quiet})
	c := raft.DefaultConfig()
	c.LocalID, c.Logger = raft.ServerID(k.id), quiet
	c.HeartbeatTimeout, c.ElectionTimeout, c.LeaderLeaseTimeout = 600*time.Millisecond, 600*time.Millisecond, 400*time.Millisecond
	c.CommitTimeout, c.SnapshotThreshold, c.TrailingLogs = 20*time.Millisecond, 4096, 2048
	// The library writes its term here already: where that fails, the goroutine that does it ends (SetUint64).
	begun := make(chan struct{})
	go func() {
		defer close(begun)
		k.raft, err = raft.NewRaft(c, (*machine)(k), k.disk, k.disk, snaps, k.trans)
	}()
	if <-begun; k.raft == nil {
		if why := k.disk.reason(); why != nil {
			err = &diskError{why}
		}
		k.trans.Close()
		k.disk.Close()
		return nil, fmt.Errorf("fleet: %s: %w", o.Dir, err)
	}
	l, err := o.listenTCP(k.me.Ask, servedTraffic)
	if err != nil {
		k.Close()
		return nil, fmt.Errorf("fleet: %w", err)
	}
	k.http = &http.Server{Handler: k.handler(), ReadHeaderTimeout: askWait}
	go func() { _ = k.http.Serve(l) }()
	k.done.Add(1)
	go k.join()
	return k, nil
}

// Close ends the keeper; the others go on.
func (k *Keeper) Close() {
	close(k.stop)
	if k.http != nil {
		_ = k.http.Close()
	}
	_ = k.raft.Shutdown().Error()
	_ = k.trans.Close()
	k.done.Wait()
	_ = k.disk.Close()
}

// address is where this keeper's log is reached, with the identity that calls must be meant for.
func address(id, hostPort string) raft.ServerAddress { return raft.ServerAddress(id + "@" + hostPort) }

// join asks the others to be let in, until it is. One that is alone begins a fleet only by Init.
func (k *Keeper) join() {
	defer k.done.Done()
	for {
		if k.knows(k.raft) {
			return
		}
		for _, a := range k.opt.Keepers {
			if a.Name != k.me.Name {
				_ = call(k.opt, a.Ask, "/join", joinWord{k.me.Name, k.id, k.me.Log}, nil)
			}
		}
		select {
		case <-k.stop:
			return
		case <-time.After(300 * time.Millisecond):
		}
	}
}

func (k *Keeper) knows(r *raft.Raft) bool {
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

type joinWord struct {
	Name, ID, Log string
}

// admit takes a keeper in; an identity of the same name that its disk has lost goes first.
func (k *Keeper) admit(w joinWord) error {
	known := false
	for _, a := range k.opt.Keepers {
		known = known || (a.Name == w.Name && a.Log == w.Log)
	}
	if !known || !strings.HasPrefix(w.ID, w.Name+".") {
		return fmt.Errorf("%s at %s is not among the keepers of the settings", w.Name, w.Log)
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
			if err := k.raft.RemoveServer(s.ID, 0, agreeWait).Error(); err != nil {
				return err
			}
		}
	}
	return k.raft.AddVoter(raft.ServerID(w.ID), address(w.ID, w.Log), 0, agreeWait).Error()
}

// Init begins a fleet with this keeper alone; the others join it. It is an operator's act: a keeper that finds nobody
// must not begin a second fleet by itself.
func (k *Keeper) Init() error {
	return k.raft.BootstrapCluster(raft.Configuration{Servers: []raft.Server{{
		ID: raft.ServerID(k.id), Address: address(k.id, k.me.Log),
	}}}).Error()
}

// errNoLeader tells that the log takes nothing just now, or takes it elsewhere.
var errNoLeader = errors.New("fleet: no keeper leads")

// Apply enters a command into the log, with this keeper's time in it, and returns the machine's answer. An error tells that
// it is not known whether it was taken: the same command, under its id, may be tried again.
func (k *Keeper) Apply(c rollout.Command) (rollout.Result, error) {
	c.At = time.Duration(k.opt.now().UnixNano())
	text, err := json.Marshal(c)
	if err != nil {
		return rollout.Result{}, err
	}
	f := k.raft.Apply(text, agreeWait)
	if err := f.Error(); err != nil {
		return rollout.Result{}, fmt.Errorf("%w: %w", errNoLeader, err)
	}
	return f.Response().(rollout.Result), nil
}

// leads tells whether this keeper leads.
func (k *Keeper) leads() bool { return k.raft.State() == raft.Leader }

// leader is where the leading keeper is asked; empty for none known.
func (k *Keeper) leader() string {
	_, id := k.raft.LeaderWithID()
	for _, a := range k.opt.Keepers {
		if strings.HasPrefix(string(id), a.Name+".") {
			return a.Ask
		}
	}
	return ""
}

// look calls f with the state as this keeper knows it.
func (k *Keeper) look(f func(*rollout.StateMachine)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	f(k.machine)
}

// next is closed at the next command.
func (k *Keeper) next() <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.changed
}

// machine is the keeper as raft sees it.
type machine Keeper

func (m *machine) Apply(l *raft.Log) any {
	var c rollout.Command
	m.mu.Lock()
	defer m.mu.Unlock()
	var r rollout.Result
	if err := json.Unmarshal(l.Data, &c); err != nil {
		r.Rejected = &rollout.RejectedError{Code: rollout.InvalidArgument, Text: err.Error()}
	} else {
		r = m.machine.Apply(c)
	}
	close(m.changed)
	m.changed = make(chan struct{})
	return r
}

func (m *machine) Snapshot() (raft.FSMSnapshot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	text, err := m.machine.Snapshot()
	return snapshot(text), err
}

func (m *machine) Restore(r io.ReadCloser) error {
	defer r.Close()
	text, err := io.ReadAll(r)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.Restore(text)
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
