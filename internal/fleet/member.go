package fleet

import (
	"log/slog"
	"sync"
	"time"

	"beechcart/decision/rollout"
)

// EngineSet is a set of engines by name.
type EngineSet map[string]bool

// FrontEnd is what a member needs of its front end. Its methods are safe for concurrent use, and none blocks.
type FrontEnd interface {
	// Exclude keeps the engines of these names from getting more queries; the last call holds.
	Exclude(engines EngineSet)
	// Drained tells whether an engine is excluded and has no query of this front end; true also where it is not known.
	Drained(engine string) bool
	// Engines returns the engines as the endpoint list describes them. Only control replicas call it.
	Engines() []rollout.Engine
	// RequestCounts returns the counts since the start of the process.
	RequestCounts() rollout.RequestCounts
}

// Member is a front end's part in the fleet. It is safe for concurrent use.
type Member struct {
	options     Options
	log         *slog.Logger
	frontEnd    FrontEnd
	client      *Client
	gossip      *gossip
	incarnation uint64

	shutdowns     chan ShutdownGrant
	registered    chan struct{} // closed once the log has this process and its drains are in force here
	statusChanged chan struct{} // holds one value while there is a status to report
	statusTaken   chan struct{} // holds one value after a replica has taken a status
	stop          chan struct{} // closed by Close
	done          sync.WaitGroup

	grantedPermits map[uint64]bool // that were activated; used by watchState alone

	mu           sync.Mutex
	phase        rollout.Phase // guarded by mu
	sequence     uint64        // guarded by mu; of the last status
	acknowledged uint64        // guarded by mu; of the last status that a replica has taken
	appliedIndex uint64        // guarded by mu; how far the log was where the excluded engines come from
}

// ShutdownGrant tells the front end to shut down: to accept no more requests, to answer all, and to end.
type ShutdownGrant struct {
	Permit   uint64
	Purpose  rollout.Purpose
	Revision string // that the next process is to be started on
}

// Join enters the fleet. The process is starting until SetPhase tells otherwise. An error tells of what can't be
// opened; a fleet that can't be reached is none. The caller must close the member.
func Join(o Options, frontEnd FrontEnd) (*Member, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	m := &Member{
		options:        o,
		log:            o.Log.With("part", "fleet"),
		frontEnd:       frontEnd,
		shutdowns:      make(chan ShutdownGrant, 1),
		registered:     make(chan struct{}),
		statusChanged:  make(chan struct{}, 1),
		statusTaken:    make(chan struct{}, 1),
		stop:           make(chan struct{}),
		grantedPermits: map[uint64]bool{},
		phase:          rollout.Starting,
		sequence:       1,
	}
	m.options.Log = m.log
	m.client = NewClient(&m.options)
	var err error
	if m.incarnation, err = nextIncarnation(o.LogDirectory, o.now()); err != nil {
		return nil, err
	}
	if m.gossip, err = openGossip(&m.options, m.incarnation); err != nil {
		return nil, err
	}
	isReplica := m.options.self() != nil
	if isReplica {
		if err = m.startReplica(); err != nil {
			m.gossip.close()
			return nil, err
		}
	}
	m.done.Add(3)
	go m.reportStatus()
	go m.watchState()
	go m.reportCounts()
	m.log.Info("joined the fleet", "process", m.incarnation, "revision", o.Revision, "replica", isReplica)
	return m, nil
}

// Shutdowns brings the grant to shut down, once.
func (m *Member) Shutdowns() <-chan ShutdownGrant { return m.shutdowns }

// Registered is closed once the log has this process and the drains in the log are in force here. A front end that
// served earlier could send to an engine that all others have reported as drained. One that reaches no replica must not
// wait for it for ever.
func (m *Member) Registered() <-chan struct{} { return m.registered }

// AliveMembers is how many members this one takes to be alive, itself among them. One that gossip suspects counts.
func (m *Member) AliveMembers() int { return m.gossip.members.NumMembers() }

// SetPhase reports what the process does from now on. It does not block.
func (m *Member) SetPhase(phase rollout.Phase) {
	m.mu.Lock()
	if m.phase != phase {
		m.phase = phase
		m.sequence++
	}
	m.mu.Unlock()
	notify(m.statusChanged)
}

// notify leaves a value in a channel that holds one, unless there is one already.
func notify(channel chan<- struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// Close reports that the process has terminated, for at most that long, and ends the member and its goroutines.
func (m *Member) Close(timeout time.Duration) {
	m.SetPhase(rollout.Terminated)
	m.awaitStatusTaken(timeout)
	close(m.stop)
	m.done.Wait()
	m.gossip.close()
	if m.options.Transport != nil {
		m.options.Transport.http.CloseIdleConnections()
	}
}

// awaitStatusTaken returns once a replica has taken the last status, or after that long.
func (m *Member) awaitStatusTaken(timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for m.statusPending() {
		select {
		case <-m.statusTaken:
		case <-timer.C:
			return
		}
	}
}

// statusPending tells whether there is a status that no replica has taken.
func (m *Member) statusPending() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.acknowledged != m.sequence
}

// exclude puts drains in force, unless the replica that tells of them is behind the one that told of those in force: it
// may know of no drain yet.
func (m *Member) exclude(appliedIndex uint64, engines EngineSet) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if appliedIndex < m.appliedIndex {
		return false
	}
	m.appliedIndex = appliedIndex
	m.frontEnd.Exclude(engines)
	return true
}

func (m *Member) stopped() bool {
	select {
	case <-m.stop:
		return true
	default:
		return false
	}
}

// sleep returns after that long; false when the member ends.
func (m *Member) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-m.stop:
		return false
	case <-timer.C:
		return true
	}
}
