package fleet

import (
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/renameio/v2"

	"beechcart/decision/rollout"
)

// FrontEnd is what a member asks of the front end that it stands for. Its methods are safe for concurrent use, and none waits.
type FrontEnd interface {
	// Exclude lets the engines of these names get nothing more; the last call holds.
	Exclude(engines map[string]bool)
	// Drained tells that the veto on an engine is in force, and that nothing is out there; true also where it is not known.
	Drained(engine string) bool
	// Engines tells what the list says, for the log; only asked where the log is kept.
	Engines() []rollout.Engine
	// RequestCounts tells the counts since the start: requests, failed, refused.
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

	shutdowns chan ShutdownGrant
	stop      chan struct{}
	done      sync.WaitGroup

	mu               sync.Mutex
	phase            rollout.Phase
	sequence         uint64 // of the last word that was made
	acknowledged     uint64 // of the last one that a keeper has taken
	requestedPermits map[uint64]bool
	statusChanged    chan struct{} // there is a word to say
	appliedIndex     uint64        // how far the log was known to whoever told of vetoes last
	registered       chan struct{} // closed once the log has this process, and its drains are in force here
}

// ShutdownGrant tells the front end to go out: to take nothing more, to answer all, and to end.
type ShutdownGrant struct {
	Permit   uint64
	Purpose  rollout.Purpose
	Revision string // to be started on
}

// Join enters the fleet. The process is starting until Serve is told. An error tells what can't be opened; a fleet that can't be
// reached is none.
func Join(o Options, front FrontEnd) (*Member, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	m := &Member{options: o, log: o.Log.With("part", "fleet"), frontEnd: front, shutdowns: make(chan ShutdownGrant, 1), stop: make(chan struct{}),
		phase: rollout.Starting, sequence: 1, requestedPermits: map[uint64]bool{}, statusChanged: make(chan struct{}, 1), registered: make(chan struct{})}
	m.options.Log = m.log
	m.client = NewClient(&m.options)
	var err error
	if m.incarnation, err = incarnation(o.LogDirectory, o.now()); err != nil {
		return nil, err
	}
	if m.gossip, err = openGossip(&m.options, m.incarnation); err != nil {
		return nil, err
	}
	if m.options.self() != nil {
		if err = m.openLog(); err != nil {
			m.gossip.close()
			return nil, err
		}
	}
	m.done.Add(3)
	go m.reportStatus()
	go m.watchState()
	go m.reportCounts()
	m.log.Info("in the fleet", "process", m.incarnation, "revision", o.Revision, "keeps", m.options.self() != nil)
	return m, nil
}

// incarnation numbers this process: by the clock, and over the last one where there is a folder to remember it. Guards
// against a clock that was set back, where every word of the new process would be taken for an old one's.
func incarnation(dir string, clock time.Time) (uint64, error) {
	now := uint64(clock.UnixNano())
	if dir == "" {
		return now, nil
	}
	path := filepath.Join(filepath.Dir(dir), filepath.Base(dir)+".process")
	if text, err := os.ReadFile(path); err == nil {
		if last, err := strconv.ParseUint(strings.TrimSpace(string(text)), 10, 64); err == nil && last >= now {
			now = last + 1
		}
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		return 0, fmt.Errorf("fleet: %w", err)
	}
	if err := renameio.WriteFile(path, []byte(strconv.FormatUint(now, 10)+"\n"), 0o600); err != nil {
		return 0, fmt.Errorf("fleet: %w", err)
	}
	return now, nil
}

// Shutdowns brings the word to go out, once.
func (m *Member) Shutdowns() <-chan ShutdownGrant { return m.shutdowns }

// Registered is closed once the log has this process and the drains that it holds are in force here. Guards against a process that is new, and
// sends to an engine that all others have said to be empty. One that reaches nobody must not wait for it for ever.
func (m *Member) Registered() <-chan struct{} { return m.registered }

// exclude puts drains in force, unless what tells of them is older than what is in force. Guards against a keeper that is behind, or that
// has just started, and knows of no drain.
func (m *Member) exclude(applied uint64, engines map[string]bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if applied < m.appliedIndex {
		return false
	}
	m.appliedIndex = applied
	m.frontEnd.Exclude(engines)
	return true
}

// SetPhase tells the fleet what the process does from now on. It does not wait.
func (m *Member) SetPhase(p rollout.Phase) {
	m.mu.Lock()
	if m.phase != p {
		m.phase = p
		m.sequence++
	}
	m.mu.Unlock()
	m.notifyStatusChanged()
}

func (m *Member) notifyStatusChanged() {
	select {
	case m.statusChanged <- struct{}{}:
	default:
	}
}

// Close says that the process is gone, for so long at most, and ends its part.
func (m *Member) Close(within time.Duration) {
	m.SetPhase(rollout.Terminated)
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		m.mu.Lock()
		told := m.acknowledged == m.sequence
		m.mu.Unlock()
		if told {
			break
		}
	}
	close(m.stop)
	m.done.Wait()
	m.gossip.close()
	if m.options.Transport != nil {
		m.options.Transport.http.CloseIdleConnections()
	}
}

// AliveMembers is how many members this one hears of, itself among them. One that is suspected for less than a moment is counted.
func (m *Member) AliveMembers() int { return m.gossip.members.NumMembers() }

func (m *Member) stopped() bool {
	select {
	case <-m.stop:
		return true
	default:
		return false
	}
}

// wait waits; false when the member ends.
func (m *Member) wait(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-m.stop:
		return false
	case <-t.C:
		return true
	}
}

// reportStatus says what has not been taken yet, until a keeper has.
func (m *Member) reportStatus() {
	defer m.done.Done()
	var first sync.Once
	for {
		m.mu.Lock()
		w := rollout.ReportStatus{Name: m.options.Name, Zone: m.options.Zone, Kind: m.options.Kind, Weight: m.options.CapacityPerSecond, Incarnation: m.incarnation, StatusSequence: m.sequence,
			Revision: m.options.Revision, Phase: m.phase}
		pending := m.acknowledged < m.sequence
		m.mu.Unlock()
		if !pending {
			select {
			case <-m.stop:
				return
			case <-m.statusChanged:
			}
			continue
		}
		r, err := m.client.Apply(rollout.Command{ReportStatus: &w})
		if err == nil && r.Rejected != nil && r.Rejected.Code != rollout.StaleMessage {
			m.log.Error("the fleet does not take a word", "word", string(w.Phase), "error", r.Rejected.Error())
		}
		if err == nil {
			drained := map[string]bool{}
			for _, e := range r.Drained {
				drained[e] = true
			}
			m.exclude(r.Applied, drained)
			m.mu.Lock()
			m.acknowledged = max(m.acknowledged, w.StatusSequence)
			m.mu.Unlock()
			first.Do(func() { close(m.registered) })
		} else if !m.wait(100 * time.Millisecond) {
			return
		}
	}
}

// watchState follows what concerns this member, at one keeper at a time.
func (m *Member) watchState() {
	defer m.done.Done()
	at, have, lost := int(m.incarnation/1000)%len(m.options.ControlReplicas), "", false
	for !m.stopped() {
		var w watchAnswer
		path := "/watch?name=" + m.options.Name + "&have=" + have
		if err := call(&m.options, m.options.ControlReplicas[at%len(m.options.ControlReplicas)].APIAddress, path, nil, &w); err != nil {
			if !lost {
				m.log.Warn("fleet lost", "keeper", m.options.ControlReplicas[at%len(m.options.ControlReplicas)].Name, "error", err)
			}
			lost = true
			at, have = at+1, ""
			if !m.wait(100 * time.Millisecond) {
				return
			}
			continue
		}
		if lost {
			lost = false
			m.log.Info("fleet back", "keeper", m.options.ControlReplicas[at%len(m.options.ControlReplicas)].Name)
		}
		have = w.Version
		veto := map[string]bool{}
		for _, d := range w.View.Drains {
			veto[d.Engine] = true
		}
		if !m.exclude(w.AppliedIndex, veto) { // this keeper is behind: another one, or it later, knows more
			at, have = at+1, ""
			if !m.wait(50 * time.Millisecond) {
				return
			}
			continue
		}
		if again := m.applyView(w.View); again {
			have = "" // something is still to be done, and looked at again soon
			if !m.wait(50 * time.Millisecond) {
				return
			}
		}
	}
}

// applyView carries out what the view asks for; true where it must be looked at again before it changes.
func (m *Member) applyView(v MemberView) (again bool) {
	m.mu.Lock()
	seq, phase := m.sequence, m.phase
	// Doubted, forgotten, or not known to this keeper yet: say more. An older word of a keeper that is behind does no harm.
	if v.Incarnation <= m.incarnation && (!v.Registered || v.Suspected || v.StatusSequence < seq) && m.acknowledged == m.sequence {
		if v.Registered && v.StatusSequence == seq {
			m.sequence++
		} else {
			m.acknowledged = 0
		}
		m.notifyStatusChanged()
	}
	m.mu.Unlock()
	if v.Incarnation > m.incarnation {
		m.log.Error("another process stands in the fleet under this name", "process", v.Incarnation, "this", m.incarnation)
		return true
	}
	for _, d := range v.Drains {
		if d.Acknowledged || v.Incarnation != m.incarnation {
			continue
		}
		if !m.frontEnd.Drained(d.Engine) {
			again = true
			continue
		}
		_, err := m.client.Apply(rollout.Command{ReportDrained: &rollout.ReportDrained{Name: m.options.Name, Incarnation: m.incarnation, Permit: d.Permit}})
		again = again || err != nil
	}
	if p := v.Permit; p != nil && p.Incarnation == m.incarnation && phase == rollout.Serving {
		again = m.activatePermit(p) || again
	}
	return again
}

// activatePermit asks, at the last moment, whether the permit still stands, and goes out on it once.
func (m *Member) activatePermit(p *rollout.Permit) (again bool) {
	if m.requestedPermits[p.Number] || p.Cancelled {
		return false
	}
	asked := time.Now()
	r, err := m.client.Apply(rollout.Command{ActivatePermit: &rollout.PermitReference{Name: m.options.Name, Incarnation: m.incarnation, Permit: p.Number}})
	if err != nil {
		return true // it may have been taken: ask again, under the same number
	}
	if r.Rejected != nil {
		m.log.Info("not going out", "permit", p.Number, "why", r.Rejected.Error())
		if p.ActivatedAt > 0 { // told to go once, and the answer was lost: it stays, and says so
			_, err := m.client.Apply(rollout.Command{ReturnPermit: &rollout.PermitReference{Name: m.options.Name, Incarnation: m.incarnation, Permit: p.Number}})
			return err != nil
		}
		return false
	}
	if !r.Shutdown {
		return false
	}
	// Guards against an answer that was long on its way, or a process that stood still with it in hand: others may be out by now.
	if time.Since(asked) > activationTimeout {
		return true
	}
	m.requestedPermits[p.Number] = true
	m.log.Info("going out", "permit", p.Number, "for", string(p.Purpose), "revision", p.Revision)
	select {
	case m.shutdowns <- ShutdownGrant{p.Number, p.Purpose, p.Revision}:
	default:
	}
	return false
}

// reportCounts tells the leader what was done in each window.
func (m *Member) reportCounts() {
	defer m.done.Done()
	last, began := m.frontEnd.RequestCounts(), time.Now()
	for {
		now := m.options.now()
		next := time.Unix(0, (window(now)+1)*int64(windowLength))
		if !m.wait(next.Sub(now)) {
			return
		}
		c := m.frontEnd.RequestCounts()
		w := WindowCounts{Name: m.options.Name, Zone: m.options.Zone, Revision: m.options.Revision, Window: window(next) - 1, Counts: rollout.RequestCounts{
			Requests: c.Requests - last.Requests, Failed: c.Failed - last.Failed, Rejected: c.Rejected - last.Rejected, Slow: c.Slow - last.Slow,
		}}
		w.Load = float64(w.Counts.Requests) / max(time.Since(began).Seconds(), 0.1)
		last, began = c, time.Now()
		m.mu.Lock()
		serving := m.phase == rollout.Serving
		m.mu.Unlock()
		if serving {
			_ = m.client.call(0, "/counts", w, nil) // a window that is lost is not missed
		}
	}
}
