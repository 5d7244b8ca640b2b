package cluster

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"beechcart/decision/rollout"
	"beechcart/internal/fleet"
)

// Process is one start of a front end, as the rig has seen it.
type Process struct {
	Member, Revision string
	Started          time.Time
	Ready            time.Time // it listened; zero: never
	Left             time.Time // it has said in its log that it takes no more; zero: it has not
	Chosen           bool      // ... as the fleet had told it to
	Ended            time.Time // zero: it runs
	Code             int       // of its exit; -1: ended by a signal
	Killed           bool      // by the rig
	Fault            string    // what it counted as broken; empty for nothing
}

// Front is a running front end.
type Front interface {
	Pid() int
	// Wait returns once it has ended, with its exit code.
	Wait() int
	// Broken tells an invariant that it counted as broken; empty for none.
	Broken() string
}

// Options are what a fleet of processes is made of.
type Options struct {
	Members int
	Rooms   []string
	Keepers int // one in each room first
	Dir     string
	Net     *Net
	// Start starts a front end of that member with the fleet's part of its settings, and returns once it listens.
	Start func(m *Member, revision, fleetSettings string) (Front, error)
	Note  func(format string, a ...any)
}

// Fleet is front end processes, each with something that starts it again, as an installation's service manager does.
type Fleet struct {
	opt     Options
	Members []*Member
	Client  *fleet.Client // for operators' commands; it goes over no relay
	end     context.CancelFunc
	wg      sync.WaitGroup
}

// apart is by how many milliseconds the clocks of the first members are set apart from one to the next.
const apart = 100

// startAgain is how long after its end a process is started again.
const startAgain = 200 * time.Millisecond

// Member is one of them, through all its processes.
type Member struct {
	Name, Room string
	Addr       string // where its clients connect
	Keeps      bool
	Number     int

	f        *Fleet
	base     string // its own loopback address
	settings string // with %REVISION%
	dir      string
	faults   string // the file that names a fault of its disk

	mu      sync.Mutex
	front   Front
	link    string // the revision that starts when nobody can be asked
	list    []Process
	stopped []span // while it stood still
	holds   bool   // nothing starts it
	quit    bool
}

type span struct{ from, to time.Time }

// key is the fleet's shared key: it keeps fleets of other drills on this machine apart.
func key() string { return fmt.Sprintf("%032x", time.Now().UnixNano()) }

// fleets counts the fleets of this process.
var fleets atomic.Int32

// LoopbackNet returns the first three numbers of 253 addresses (.1 to .253) that no other fleet on this machine uses: two fleets at
// the same ones would take each other's ports. What tells it is that a port of .254 is free, which this process holds until it ends.
func LoopbackNet() (string, error) {
	for range 100 {
		n := int(fleets.Add(1))
		base := fmt.Sprintf("127.%d.%d", 20+(os.Getpid()+n/200)%200, 20+n%200)
		if l, err := net.Listen("tcp", base+".254:7000"); err == nil {
			heldMu.Lock()
			held = append(held, l)
			heldMu.Unlock()
			return base, nil
		}
	}
	return "", errors.New("rig: no loopback addresses are free for a fleet")
}

// held keeps the ports that mark the nets of this process.
var (
	heldMu sync.Mutex
	held   []net.Listener
)

// NewFleet lays a fleet out and starts nothing.
func NewFleet(o Options) (*Fleet, error) {
	f := &Fleet{opt: o}
	k := key()
	keyFile := filepath.Join(o.Dir, "key")
	if err := os.WriteFile(keyFile, []byte(k), 0o600); err != nil {
		return nil, fmt.Errorf("rig: %w", err)
	}
	if o.Members > 200 {
		return nil, fmt.Errorf("rig: members: found %d, allowed is up to 200", o.Members)
	}
	base, err := LoopbackNet()
	if err != nil {
		return nil, err
	}
	var keepers []fleet.ReplicaAddress
	for i := range o.Members {
		m := &Member{Name: fmt.Sprintf("n%d", i), Room: o.Rooms[i%len(o.Rooms)], Keeps: i < o.Keepers, Number: i, f: f,
			base: fmt.Sprintf("%s.%d", base, i+1)}
		m.Addr, m.dir, m.faults = m.base+":7001", filepath.Join(o.Dir, m.Name+".log"), filepath.Join(o.Dir, m.Name+".disk")
		f.Members = append(f.Members, m)
		if m.Keeps {
			keepers = append(keepers, fleet.ReplicaAddress{Name: m.Name, LogAddress: m.base + ":7002", APIAddress: m.base + ":7003", GossipAddress: m.base + ":7004"})
		}
	}
	f.Client = fleet.NewClient(&fleet.Options{ControlReplicas: keepers, Key: k})
	for _, m := range f.Members {
		var routes []string
		lead := func(to, addr string, udp bool) error {
			if to == m.Name {
				return nil
			}
			at, err := o.Net.Lead(m.Name, to, addr, udp)
			routes = append(routes, addr+"="+at)
			return err
		}
		for _, other := range f.Members {
			if err := lead(other.Name, other.base+":7004", true); err != nil {
				return nil, err
			}
		}
		for _, kp := range keepers {
			if err := errors.Join(lead(kp.Name, kp.LogAddress, false), lead(kp.Name, kp.APIAddress, false)); err != nil {
				return nil, err
			}
		}
		type keeper struct {
			Name   string `json:"name"`
			Log    string `json:"log"`
			Ask    string `json:"ask"`
			Gossip string `json:"gossip"`
		}
		part := map[string]any{"gossip": m.base + ":7004", "room": m.Room, "revision": "%REVISION%", "weight": 100, "key_file": keyFile,
			"routes": routes, "ahead_ms": m.Number % 3 * apart}
		var list []keeper
		for _, kp := range keepers {
			list = append(list, keeper{kp.Name, kp.LogAddress, kp.APIAddress, kp.GossipAddress})
		}
		part["keepers"] = list
		if m.Keeps {
			part["dir"], part["disk_faults"] = m.dir, m.faults
		}
		text, err := json.Marshal(part)
		if err != nil {
			return nil, err
		}
		m.settings = string(text)
	}
	return f, nil
}

// Start starts all members on a revision and waits until they listen.
func (f *Fleet) Start(ctx context.Context, revision string) error {
	ctx, f.end = context.WithCancel(ctx)
	up := make(chan error, len(f.Members))
	for _, m := range f.Members {
		m.link = revision
		f.wg.Add(1)
		go m.keep(ctx, up)
	}
	for range f.Members {
		if err := <-up; err != nil {
			return err
		}
	}
	return nil
}

// Stop ends all processes as the platform does.
func (f *Fleet) Stop() {
	f.end()
	for _, m := range f.Members {
		m.mu.Lock()
		m.quit = true
		if m.front != nil {
			_ = syscall.Kill(m.front.Pid(), syscall.SIGCONT)
			_ = syscall.Kill(m.front.Pid(), syscall.SIGTERM)
		}
		m.mu.Unlock()
	}
	f.wg.Wait()
}

// keep starts the member again whenever it has ended, on the revision that the log names, until ctx ends.
func (m *Member) keep(ctx context.Context, up chan<- error) {
	defer m.f.wg.Done()
	first := true
	for ctx.Err() == nil {
		rev, ok := m.wanted(ctx)
		if !ok {
			continue
		}
		p := Process{Member: m.Name, Revision: rev, Started: time.Now()}
		front, err := m.f.opt.Start(m, rev, strings.ReplaceAll(m.settings, "%REVISION%", rev))
		if err == nil {
			p.Ready = time.Now()
		}
		m.mu.Lock()
		m.link, m.front = rev, front
		m.list = append(m.list, p)
		at := len(m.list) - 1
		if m.quit && front != nil {
			_ = syscall.Kill(front.Pid(), syscall.SIGTERM)
		}
		m.mu.Unlock()
		if first {
			up <- err
			first = false
		}
		if err != nil {
			m.f.opt.Note("%s does not start on %s: %v", m.Name, rev, err)
			m.mu.Lock()
			m.list[at].Ended, m.list[at].Code, m.front = time.Now(), 1, nil
			m.mu.Unlock()
			sleep(ctx, 300*time.Millisecond)
			continue
		}
		code := front.Wait()
		m.mu.Lock()
		m.front = nil
		m.list[at].Ended, m.list[at].Code, m.list[at].Fault = time.Now(), code, front.Broken()
		m.mu.Unlock()
		sleep(ctx, startAgain)
	}
	if first {
		up <- ctx.Err()
	}
}

// wanted asks what to start; the link holds where nobody can be asked, as an installation that has lost agreement serves on.
func (m *Member) wanted(ctx context.Context) (string, bool) {
	m.mu.Lock()
	link, holds, code, first := m.link, m.holds, 0, len(m.list) == 0
	if !first {
		code = m.list[len(m.list)-1].Code
	}
	m.mu.Unlock()
	if holds {
		sleep(ctx, 50*time.Millisecond)
		return "", false
	}
	if first {
		return link, true
	}
	for range 10 {
		s, err := m.f.Client.Status()
		if err == nil && s.LeaderAddress != "" && s.State.Members[m.Name] != nil {
			for _, p := range s.State.Permits {
				if p.Subject == m.Name && !p.Engine && p.Purpose == rollout.Drain && !p.Cancelled && code == 76 {
					sleep(ctx, 200*time.Millisecond)
					return "", false
				}
			}
			return s.State.Members[m.Name].TargetRevision, true
		}
		sleep(ctx, 200*time.Millisecond)
	}
	return link, ctx.Err() == nil
}

// Pid is the id of its process; 0 where there is none.
func (m *Member) Pid() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.front == nil {
		return 0
	}
	return m.front.Pid()
}

// Processes lists the starts of the member so far.
func (m *Member) Processes() []Process {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]Process(nil), m.list...)
}

// Left tells that the process in hand takes no more, and whether the fleet had told it to go.
func (m *Member) Left(at time.Time, chosen bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if n := len(m.list); n > 0 && m.list[n-1].Ended.IsZero() {
		m.list[n-1].Left, m.list[n-1].Chosen = at, chosen
	}
}

// Out tells whether the member was out at a time, and since when: no process, one that did not listen yet or took no more,
// or one that stood still. by tells that the fleet had told it to go.
func (m *Member) Out(at time.Time) (out, by bool, since time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.stopped {
		if s.from.Before(at) && (s.to.IsZero() || s.to.After(at)) {
			return true, false, s.from
		}
	}
	out = true
	for _, p := range m.list {
		if p.Ready.IsZero() || p.Ready.After(at) {
			continue // what was before holds on
		}
		out, by = false, false
		if !p.Left.IsZero() && !p.Left.After(at) {
			out, by, since = true, p.Chosen, p.Left
		} else if !p.Ended.IsZero() && !p.Ended.After(at) {
			out, since = true, p.Ended
		}
	}
	return out, by, since
}

// Up tells whether its process listens, and stands not still.
func (m *Member) Up() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.front != nil && (len(m.stopped) == 0 || !m.stopped[len(m.stopped)-1].to.IsZero())
}

// leftSeen is after how long the layer in front of the front ends knows that one takes no more.
const leftSeen = 250 * time.Millisecond

// Takes tells whether the layer in front sends requests to the member: it is up, and has not left for so long.
func (m *Member) Takes() bool {
	m.mu.Lock()
	left := time.Time{}
	if n := len(m.list); n > 0 {
		left = m.list[n-1].Left
	}
	m.mu.Unlock()
	return m.Up() && (left.IsZero() || time.Since(left) < leftSeen)
}

// Signal sends a signal to its process; false where there is none.
func (m *Member) Signal(sig syscall.Signal) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.front == nil {
		return false
	}
	switch sig {
	case syscall.SIGKILL:
		m.list[len(m.list)-1].Killed = true
	case syscall.SIGSTOP:
		m.stopped = append(m.stopped, span{from: time.Now()})
	case syscall.SIGCONT:
		if n := len(m.stopped); n > 0 && m.stopped[n-1].to.IsZero() {
			m.stopped[n-1].to = time.Now()
		}
	}
	return syscall.Kill(m.front.Pid(), sig) == nil
}

// LoseDisk kills the process and removes what it kept, before anything starts it again.
func (m *Member) LoseDisk() error {
	m.mu.Lock()
	m.holds = true
	m.mu.Unlock()
	m.Signal(syscall.SIGKILL)
	for m.Up() {
		time.Sleep(5 * time.Millisecond)
	}
	err := os.RemoveAll(m.dir)
	m.mu.Lock()
	m.holds = false
	m.mu.Unlock()
	return err
}

// FailDisk lets what the member writes of the log fail from now on, by the program's own seam: "full", "sync" or "slow"; "" ends that.
func (m *Member) FailDisk(how string) error {
	if how == "" {
		return os.Remove(m.faults)
	}
	return os.WriteFile(m.faults, []byte(how), 0o600)
}

// Disk is where the member keeps the log.
func (m *Member) Disk() string { return m.dir }

// Disturbed tells whether the member was killed, or stood still, or was down, at any time between.
func (m *Member) Disturbed(from, to time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.stopped {
		if s.from.Before(to) && (s.to.IsZero() || s.to.After(from)) {
			return true
		}
	}
	for _, p := range m.list {
		if p.Killed && !p.Ended.IsZero() && p.Ended.After(from) && p.Ended.Before(to) {
			return true
		}
		if p.Killed && p.Ended.IsZero() {
			return true
		}
	}
	return false
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// Code is the exit code of a command that has ended; -1 where a signal ended it.
func Code(err error) int {
	var e *exec.ExitError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &e):
		return e.ExitCode()
	}
	return -1
}
