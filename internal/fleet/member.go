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

// Front is what a member asks of the front end that it stands for. Its methods are safe for concurrent use, and none waits.
type Front interface {
	// Veto lets the engines of these names get nothing more; the last call holds.
	Veto(engines map[string]bool)
	// Idle tells that the veto on an engine is in force, and that nothing is out there; true also where it is not known.
	Idle(engine string) bool
	// Engines tells what the list says, for the log; only asked where the log is kept.
	Engines() []rollout.Engine
	// Counted tells the counts since the start: requests, failed, refused.
	Counted() rollout.RequestCounts
}

// Member is a front end's part in the fleet. It is safe for concurrent use.
type Member struct {
	opt    Options
	log    *slog.Logger
	front  Front
	client *Client
	gossip *gossip
	inc    uint64

	goes chan Go
	stop chan struct{}
	done sync.WaitGroup

	mu    sync.Mutex
	phase rollout.Phase
	seq   uint64 // of the last word that was made
	told  uint64 // of the last one that a keeper has taken
	asked map[uint64]bool
	word  chan struct{} // there is a word to say
	seen  uint64        // how far the log was known to whoever told of vetoes last
	known chan struct{} // closed once the log has this process, and its drains are in force here
}

// Go tells the front end to go out: to take nothing more, to answer all, and to end.
type Go struct {
	Permit   uint64
	For      rollout.Purpose
	Revision string // to be started on
}

// Join enters the fleet. The process is starting until Serve is told. An error tells what can't be opened; a fleet that can't be
// reached is none.
func Join(o Options, front Front) (*Member, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	m := &Member{opt: o, log: o.Log.With("part", "fleet"), front: front, goes: make(chan Go, 1), stop: make(chan struct{}),
		phase: rollout.Starting, seq: 1, asked: map[uint64]bool{}, word: make(chan struct{}, 1), known: make(chan struct{})}
	m.opt.Log = m.log
	m.client = NewClient(&m.opt)
	var err error
	if m.inc, err = incarnation(o.Dir, o.now()); err != nil {
		return nil, err
	}
	if m.gossip, err = openGossip(&m.opt, m.inc); err != nil {
		return nil, err
	}
	if m.opt.keeper() != nil {
		if err = m.openLog(); err != nil {
			m.gossip.close()
			return nil, err
		}
	}
	m.done.Add(3)
	go m.talk()
	go m.watch()
	go m.count()
	m.log.Info("in the fleet", "process", m.inc, "revision", o.Revision, "keeps", m.opt.keeper() != nil)
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

// Goes brings the word to go out, once.
func (m *Member) Goes() <-chan Go { return m.goes }

// Known is closed once the log has this process and the drains that it holds are in force here. Guards against a process that is new, and
// sends to an engine that all others have said to be empty. One that reaches nobody must not wait for it for ever.
func (m *Member) Known() <-chan struct{} { return m.known }

// veto puts drains in force, unless what tells of them is older than what is in force. Guards against a keeper that is behind, or that
// has just started, and knows of no drain.
func (m *Member) veto(applied uint64, engines map[string]bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if applied < m.seen {
		return false
	}
	m.seen = applied
	m.front.Veto(engines)
	return true
}

// Say tells the fleet what the process does from now on. It does not wait.
func (m *Member) Say(p rollout.Phase) {
	m.mu.Lock()
	if m.phase != p {
		m.phase = p
		m.seq++
	}
	m.mu.Unlock()
	m.nudge()
}

func (m *Member) nudge() {
	select {
	case m.word <- struct{}{}:
	default:
	}
}

// Close says that the process is gone, for so long at most, and ends its part.
func (m *Member) Close(within time.Duration) {
	m.Say(rollout.Terminated)
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		m.mu.Lock()
		told := m.told == m.seq
		m.mu.Unlock()
		if told {
			break
		}
	}
	close(m.stop)
	m.done.Wait()
	m.gossip.close()
	if m.opt.Wire != nil {
		m.opt.Wire.http.CloseIdleConnections()
	}
}

// Heard is how many members this one hears of, itself among them. One that is suspected for less than a moment is counted.
func (m *Member) Heard() int { return m.gossip.list.NumMembers() }

func (m *Member) stopped() bool {
	select {
	case <-m.stop:
		return true
	default:
		return false
	}
}

// rest waits; false when the member ends.
func (m *Member) rest(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-m.stop:
		return false
	case <-t.C:
		return true
	}
}

// talk says what has not been taken yet, until a keeper has.
func (m *Member) talk() {
	defer m.done.Done()
	var first sync.Once
	for {
		m.mu.Lock()
		w := rollout.ReportStatus{Name: m.opt.Name, Zone: m.opt.Room, Kind: m.opt.Kind, Weight: m.opt.Weight, Incarnation: m.inc, StatusSequence: m.seq,
			Revision: m.opt.Revision, Phase: m.phase}
		pending := m.told < m.seq
		m.mu.Unlock()
		if !pending {
			select {
			case <-m.stop:
				return
			case <-m.word:
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
			m.veto(r.Applied, drained)
			m.mu.Lock()
			m.told = max(m.told, w.StatusSequence)
			m.mu.Unlock()
			first.Do(func() { close(m.known) })
		} else if !m.rest(100 * time.Millisecond) {
			return
		}
	}
}

// watch follows what concerns this member, at one keeper at a time.
func (m *Member) watch() {
	defer m.done.Done()
	at, have, lost := int(m.inc/1000)%len(m.opt.Keepers), "", false
	for !m.stopped() {
		var w watched
		path := "/watch?name=" + m.opt.Name + "&have=" + have
		if err := call(&m.opt, m.opt.Keepers[at%len(m.opt.Keepers)].Ask, path, nil, &w); err != nil {
			if !lost {
				m.log.Warn("fleet lost", "keeper", m.opt.Keepers[at%len(m.opt.Keepers)].Name, "error", err)
			}
			lost = true
			at, have = at+1, ""
			if !m.rest(100 * time.Millisecond) {
				return
			}
			continue
		}
		if lost {
			lost = false
			m.log.Info("fleet back", "keeper", m.opt.Keepers[at%len(m.opt.Keepers)].Name)
		}
		have = w.Have
		veto := map[string]bool{}
		for _, d := range w.View.Drains {
			veto[d.Engine] = true
		}
		if !m.veto(w.Applied, veto) { // this keeper is behind: another one, or it later, knows more
			at, have = at+1, ""
			if !m.rest(50 * time.Millisecond) {
				return
			}
			continue
		}
		if again := m.follow(w.View); again {
			have = "" // something is still to be done, and looked at again soon
			if !m.rest(50 * time.Millisecond) {
				return
			}
		}
	}
}

// follow carries out what the view asks for; true where it must be looked at again before it changes.
func (m *Member) follow(v View) (again bool) {
	m.mu.Lock()
	seq, phase := m.seq, m.phase
	// Doubted, forgotten, or not known to this keeper yet: say more. An older word of a keeper that is behind does no harm.
	if v.Incarnation <= m.inc && (!v.Known || v.Doubted || v.Seq < seq) && m.told == m.seq {
		if v.Known && v.Seq == seq {
			m.seq++
		} else {
			m.told = 0
		}
		m.nudge()
	}
	m.mu.Unlock()
	if v.Incarnation > m.inc {
		m.log.Error("another process stands in the fleet under this name", "process", v.Incarnation, "this", m.inc)
		return true
	}
	for _, d := range v.Drains {
		if d.Said || v.Incarnation != m.inc {
			continue
		}
		if !m.front.Idle(d.Engine) {
			again = true
			continue
		}
		_, err := m.client.Apply(rollout.Command{ReportDrained: &rollout.ReportDrained{Name: m.opt.Name, Incarnation: m.inc, Permit: d.Permit}})
		again = again || err != nil
	}
	if p := v.Permit; p != nil && p.Incarnation == m.inc && phase == rollout.Serving {
		again = m.begin(p) || again
	}
	return again
}

// begin asks, at the last moment, whether the permit still stands, and goes out on it once.
func (m *Member) begin(p *rollout.Permit) (again bool) {
	if m.asked[p.Number] || p.Cancelled {
		return false
	}
	asked := time.Now()
	r, err := m.client.Apply(rollout.Command{ActivatePermit: &rollout.PermitReference{Name: m.opt.Name, Incarnation: m.inc, Permit: p.Number}})
	if err != nil {
		return true // it may have been taken: ask again, under the same number
	}
	if r.Rejected != nil {
		m.log.Info("not going out", "permit", p.Number, "why", r.Rejected.Error())
		if p.ActivatedAt > 0 { // told to go once, and the answer was lost: it stays, and says so
			_, err := m.client.Apply(rollout.Command{ReturnPermit: &rollout.PermitReference{Name: m.opt.Name, Incarnation: m.inc, Permit: p.Number}})
			return err != nil
		}
		return false
	}
	if !r.Shutdown {
		return false
	}
	// Guards against an answer that was long on its way, or a process that stood still with it in hand: others may be out by now.
	if time.Since(asked) > goWithin {
		return true
	}
	m.asked[p.Number] = true
	m.log.Info("going out", "permit", p.Number, "for", string(p.Purpose), "revision", p.Revision)
	select {
	case m.goes <- Go{p.Number, p.Purpose, p.Revision}:
	default:
	}
	return false
}

// count tells the leader what was done in each window.
func (m *Member) count() {
	defer m.done.Done()
	last, began := m.front.Counted(), time.Now()
	for {
		now := m.opt.now()
		next := time.Unix(0, (window(now)+1)*int64(countsFor))
		if !m.rest(next.Sub(now)) {
			return
		}
		c := m.front.Counted()
		w := Counts{Name: m.opt.Name, Room: m.opt.Room, Revision: m.opt.Revision, Window: window(next) - 1, Count: rollout.RequestCounts{
			Requests: c.Requests - last.Requests, Failed: c.Failed - last.Failed, Rejected: c.Rejected - last.Rejected, Slow: c.Slow - last.Slow,
		}}
		w.Load = float64(w.Count.Requests) / max(time.Since(began).Seconds(), 0.1)
		last, began = c, time.Now()
		m.mu.Lock()
		serving := m.phase == rollout.Serving
		m.mu.Unlock()
		if serving {
			_ = m.client.ask(0, "/counts", w, nil) // a window that is lost is not missed
		}
	}
}
