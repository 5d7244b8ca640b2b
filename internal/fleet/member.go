package fleet

import (
	"log/slog"
	"sync"
	"time"

	"beechcart/decision/rollout"
)

// EngineSet is a set of engines by name.
type EngineSet map[string]bool

// FrontEnd is the interface of a front end to its member. Its methods are safe for concurrent use and don't block.
type FrontEnd interface {
	// Exclude stops new queries to these engines, and allows them again to the engines of earlier calls that are not
	// in the set.
	Exclude(engines EngineSet)
	// Drained reports whether an engine is excluded and runs no query of this front end. It returns true for an unknown
	// engine.
	Drained(engine string) bool
	// Engines returns the engines of the endpoint list. It is called only on control replicas.
	Engines() []rollout.Engine
	// RequestCounts returns the request counts since the start of the process.
	RequestCounts() rollout.RequestCounts
}

// Member is a front end's membership of the fleet. It is safe for concurrent use.
type Member struct {
	options     Options
	log         *slog.Logger
	frontEnd    FrontEnd
	client      *Client
	gossip      *gossip
	incarnation uint64

	shutdowns          chan ShutdownGrant
	registered         chan struct{} // closed once the log contains this process and its drains are in force here
	statusChanged      chan struct{} // holds one value while there is a status to report
	statusAcknowledged chan struct{} // holds one value after a replica has acknowledged a status
	stop               chan struct{} // closed by Close
	done               sync.WaitGroup

	grantedPermits map[uint64]bool // by number; permits on which a shutdown was granted. Used by watchState alone

	mu           sync.Mutex
	phase        rollout.Phase // guarded by mu
	sequence     uint64        // guarded by mu; of the last status
	acknowledged uint64        // guarded by mu; sequence of the last status that a replica has acknowledged
	appliedIndex uint64        // guarded by mu; commands applied by the replica that sent the drains in force
}

// ShutdownGrant permits and requests a shutdown: the front end accepts no more requests, answers those in flight, and
// exits.
type ShutdownGrant struct {
	Permit   uint64
	Purpose  rollout.Purpose
	Revision string // of the next process
}

// Join starts a member in the phase rollout.Starting. It returns an error if the options are invalid or a port or the
// log can't be opened; an unreachable fleet or a failed disk is no error. The caller must close the member.
func Join(o Options, frontEnd FrontEnd) (*Member, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	m := &Member{
		options:            o,
		log:                o.Log.With("part", "fleet"),
		frontEnd:           frontEnd,
		shutdowns:          make(chan ShutdownGrant, 1),
		registered:         make(chan struct{}),
		statusChanged:      make(chan struct{}, 1),
		statusAcknowledged: make(chan struct{}, 1),
		stop:               make(chan struct{}),
		grantedPermits:     map[uint64]bool{},
		phase:              rollout.Starting,
		sequence:           1,
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

// Shutdowns returns the channel on which the grant to shut down arrives, once.
func (m *Member) Shutdowns() <-chan ShutdownGrant { return m.shutdowns }

// Registered returns a channel that is closed once the log contains this process and the drains in the log are in
// force here. A front end that serves before could send queries to an engine that all other front ends have reported
// as drained. The wait needs a timeout: the channel stays open while no replica can be reached.
func (m *Member) Registered() <-chan struct{} { return m.registered }

// AliveMembers returns the number of members that this member considers alive, including itself and suspected ones.
func (m *Member) AliveMembers() int { return m.gossip.members.NumMembers() }

// SetPhase sets the phase of the process, which the member then reports. It does not block.
func (m *Member) SetPhase(phase rollout.Phase) {
	m.mu.Lock()
	if m.phase != phase {
		m.phase = phase
		m.sequence++
	}
	m.mu.Unlock()
	notify(m.statusChanged)
}

// notify sends to a channel with a buffer of one value, unless the buffer is full.
func notify(channel chan<- struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// Close reports that the process has terminated, waits up to timeout for the acknowledgement, and stops the member and
// its goroutines.
func (m *Member) Close(timeout time.Duration) {
	m.SetPhase(rollout.Terminated)
	m.awaitStatusAcknowledged(timeout)
	close(m.stop)
	m.done.Wait()
	m.gossip.close()
	if m.options.Transport != nil {
		m.options.Transport.http.CloseIdleConnections()
	}
}

// awaitStatusAcknowledged returns once a replica has acknowledged the last status, or after the timeout.
func (m *Member) awaitStatusAcknowledged(timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for m.statusPending() {
		select {
		case <-m.statusAcknowledged:
		case <-timer.C:
			return
		}
	}
}

// statusPending reports whether the last status has not been acknowledged yet.
func (m *Member) statusPending() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.acknowledged != m.sequence
}

// exclude puts the drains of a replica in force and returns true, unless the replica has applied fewer commands than
// the one that sent the drains in force: a replica that is behind may lack the latest drains.
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

// sleep returns true after the duration, or false once the member stops.
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
