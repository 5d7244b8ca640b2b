package execution

import (
	"fmt"
	"maps"
	"strconv"
	"time"
)

const (
	minute = time.Minute
	now    = 10 * time.Hour
)

// sentAttempt identifies an attempt that a process has sent to the engine.
type sentAttempt struct{ process, number int }

// processEnd is whether a process has ended and whether its attempts may still arrive.
type processEnd int

const (
	running   processEnd = iota
	ended                // the process has ended, and its attempts may still arrive
	abandoned            // Settings.EngineAbandonTime has passed since the end
)

// process is a front end process with its proposer.
type process struct {
	proposer     *Proposer
	end          processEnd
	configNumber uint64
	lastSent     int // number of the last attempt that was sent
	// The answer to the client of the process.
	answered         bool
	answeredRan      bool
	answeredNeverRan bool
}

// world is the state of all processes, replicas and attempts of one id.
type world struct {
	settings         Settings
	replicas         map[string]*Replica
	processes        []*process
	attempts         map[sentAttempt]bool // in flight to the engine
	runs             int                  // number of times that the engine has run the request
	latestConfig     uint64
	answeredNeverRan bool   // whether any client was told that the request never ran
	violation        string // a violated invariant; empty: none

	// Numbers of faults that may still happen.
	deaths, diskLosses, moves, expiries int
}

// faults are the numbers of faults of each kind that may happen in a world.
type faults struct{ deaths, diskLosses, moves, expiries int }

var (
	members    = []string{"a", "b", "c", "d"}
	membersABC = []Member{{"a", "r1", 1}, {"b", "r2", 1}, {"c", "r3", 1}}
	membersBCD = []Member{{"b", "r2", 1}, {"c", "r3", 1}, {"d", "r1", 1}}
)

// configAt returns the configuration of a number from 1 to 3. From configuration 1 to 3, member "d" replaces member "a"
// as a replica.
func configAt(number uint64) Config {
	switch number {
	case 1:
		return Config{Number: 1, Members: membersABC}
	case 2:
		return Config{Number: 2, Members: membersBCD, Previous: membersABC}
	}
	return Config{Number: 3, Members: membersBCD}
}

func newWorld(processes int, f faults) *world {
	w := &world{
		settings:     Defaults(),
		replicas:     map[string]*Replica{},
		attempts:     map[sentAttempt]bool{},
		latestConfig: 1,
		deaths:       f.deaths,
		diskLosses:   f.diskLosses,
		moves:        f.moves,
		expiries:     f.expiries,
	}
	for _, name := range members {
		w.replicas[name], _ = NewReplica(w.settings, 1)
	}
	w.replicas["d"], _ = NewReplacementReplica(w.settings, 1)
	for i := range processes {
		// No process is in the zone of a replica, so any majority is a quorum.
		request := Request{ID: "id", StatementDigest: "load x", Proposer: processName(i), Zone: "r9"}
		w.processes = append(w.processes, &process{
			proposer:     NewProposer(w.settings, request, uint64(i+1), configAt(1)),
			configNumber: 1,
		})
	}
	return w
}

func processName(i int) string { return fmt.Sprint("n", i+1, "/1") }

func (r *Replica) clone() *Replica {
	c := *r
	c.records = map[string]*Record{}
	for id, record := range r.records {
		copied := *record
		c.records[id] = &copied
	}
	return &c
}

func (p *Proposer) clone() *Proposer {
	c := *p
	c.acknowledged = maps.Clone(p.acknowledged)
	return &c
}

func (w *world) clone() *world {
	c := *w
	c.replicas, c.processes, c.attempts = map[string]*Replica{}, nil, maps.Clone(w.attempts)
	for name, r := range w.replicas {
		c.replicas[name] = r.clone()
	}
	for _, p := range w.processes {
		copied := *p
		copied.proposer = p.proposer.clone()
		c.processes = append(c.processes, &copied)
	}
	return &c
}

// stateKey encodes the fields that distinguish the states of a world.
type stateKey []byte

func (k *stateKey) number(n uint64) { *k = append(strconv.AppendUint(*k, n, 36), '.') }

func (k *stateKey) bools(values ...bool) {
	for _, value := range values {
		if value {
			*k = append(*k, '+')
		} else {
			*k = append(*k, '-')
		}
	}
}

func (k *stateKey) end() { *k = append(*k, '|') }

// ballot encodes the round only, because each round belongs to one proposer in a world.
func (k *stateKey) ballot(b Ballot) { k.number(b.Round) }

func (k *stateKey) outcome(o Outcome) {
	k.number(uint64(o.Phase))
	k.number(uint64(o.Attempt))
	*k = append(*k, o.IntendedBy...)
}

func (k *stateKey) replica(r *Replica) {
	k.number(r.configNumber)
	k.bools(r.bootstrapped)
	if record := r.records["id"]; record != nil {
		k.ballot(record.Promised)
		k.ballot(record.Accepted)
		k.number(record.Version)
		k.outcome(record.Outcome)
	}
	k.end()
}

func (k *stateKey) process(p *process) {
	proposer := p.proposer
	k.number(uint64(proposer.state))
	k.number(proposer.version)
	k.outcome(proposer.outcome)
	k.outcome(proposer.proposed)
	k.outcome(proposer.found)
	k.ballot(proposer.foundBallot)
	k.number(proposer.foundVersion)
	for _, name := range members {
		k.bools(proposer.acknowledged[name])
	}
	k.number(uint64(p.end))
	k.number(p.configNumber)
	k.bools(p.answered, p.answeredRan, p.answeredNeverRan)
	k.number(uint64(p.lastSent))
	k.end()
}

// attemptNumberLimit is an exclusive upper bound of the attempt numbers of a process.
const attemptNumberLimit = 4

func (w *world) key() string {
	k := make(stateKey, 0, 400)
	for _, name := range members {
		k.replica(w.replicas[name])
	}
	for _, p := range w.processes {
		k.process(p)
	}
	for i := range w.processes {
		for number := range attemptNumberLimit {
			k.bools(w.attempts[sentAttempt{i, number}])
		}
	}
	k.number(uint64(w.runs))
	k.number(w.latestConfig)
	k.number(uint64(w.deaths*1000 + w.diskLosses*100 + w.moves*10 + w.expiries))
	k.bools(w.answeredNeverRan)
	return string(k)
}

// step is an event that may happen next. It changes the world that is passed to it, which may be a copy of the world in
// which the step was found.
type step func(*world)

// steps are the steps that may happen next, by kind.
type steps struct {
	progress []step // steps that advance a request
	other    []step // faults, and events that may be delayed
}

// steps returns all steps that may happen next, those that advance a request first, and the number of those. A message
// and its reply are one step. A message is lost if its step never happens, and late if the step happens later. An old
// message that reaches a replica late is modelled by a process that sends the message late.
func (w *world) steps() (all []step, progress int) {
	var s steps
	for i, p := range w.processes {
		switch p.end {
		case running:
			w.processSteps(&s, i, p)
		case ended:
			s.other = append(s.other, func(w *world) { w.abandon(i) })
		case abandoned:
		}
	}
	w.engineSteps(&s)
	w.diskSteps(&s)
	w.replicaSteps(&s)
	w.moveSteps(&s)
	return append(s.progress, s.other...), len(s.progress)
}

func (w *world) processSteps(s *steps, i int, p *process) {
	prepare, accept, to := p.proposer.Messages()
	for _, name := range to {
		s.progress = append(s.progress, func(w *world) { // the message and its reply arrive
			w.processes[i].proposer.HandleReply(name, w.deliver(name, prepare, accept))
		})
		s.other = append(s.other, func(w *world) { w.deliver(name, prepare, accept) }) // the reply is lost
	}
	switch p.proposer.Permission() {
	case Send:
		s.progress = append(s.progress, func(w *world) { w.processes[i].proposer.Intend("e", 1) })
	case Resolve:
		s.progress = append(s.progress, func(w *world) { w.resolve(i) })
	case Answer:
		if !p.answered {
			s.progress = append(s.progress, func(w *world) { w.answer(i) })
		}
	case Wait:
		w.attemptSteps(s, i, p)
	}
	if p.configNumber < w.latestConfig {
		s.other = append(s.other, func(w *world) {
			w.processes[i].configNumber = w.latestConfig
			w.processes[i].proposer.Reconfigure(configAt(w.latestConfig))
		})
	}
	if w.deaths > 0 {
		s.other = append(s.other, func(w *world) {
			w.deaths--
			w.processes[i].end = ended
		})
	}
}

// attemptSteps adds the steps of a process whose intent is accepted: the process sends its attempt, and records the
// outcome once the attempt has arrived and the request has run.
func (w *world) attemptSteps(s *steps, i int, p *process) {
	if !p.proposer.MaySend() {
		return
	}
	number := p.proposer.outcome.Attempt
	if p.lastSent < number {
		s.progress = append(s.progress, func(w *world) {
			w.processes[i].lastSent = number
			w.attempts[sentAttempt{i, number}] = true
		})
	}
	if p.lastSent == number && w.runs > 0 && !w.attempts[sentAttempt{i, number}] {
		s.other = append(s.other, func(w *world) {
			w.processes[i].proposer.ResolveOutcome(Evidence{Ran: true, Completed: true, Result: []byte("r")})
		})
	}
}

// abandon lets Settings.EngineAbandonTime pass after the end of a process, so that its attempts no longer arrive.
func (w *world) abandon(i int) {
	w.processes[i].end = abandoned
	maps.DeleteFunc(w.attempts, func(a sentAttempt, _ bool) bool { return a.process == i })
}

// engineSteps adds the arrivals of attempts at the engine, each at any time after it was sent.
func (w *world) engineSteps(s *steps) {
	for i := range w.processes {
		for number := range attemptNumberLimit {
			if attempt := (sentAttempt{i, number}); w.attempts[attempt] {
				s.other = append(s.other, func(w *world) { w.run(attempt) })
			}
		}
	}
}

func (w *world) run(attempt sentAttempt) {
	delete(w.attempts, attempt)
	if w.runs++; w.runs > 1 {
		w.violation = "the request ran twice"
	}
	if w.answeredNeverRan {
		w.violation = "the request ran after a client was told that it never ran"
	}
}

func (w *world) diskSteps(s *steps) {
	if w.diskLosses == 0 {
		return
	}
	for _, name := range []string{"a", "b", "c"} {
		s.other = append(s.other, func(w *world) {
			w.diskLosses--
			w.replicas[name], _ = NewReplacementReplica(w.settings, w.replicas[name].configNumber)
		})
	}
}

func (w *world) replicaSteps(s *steps) {
	for _, name := range members {
		r := w.replicas[name]
		if !r.bootstrapped && name != "d" {
			s.other = append(s.other, func(w *world) { w.bootstrap(name) })
		}
		if r.configNumber < w.latestConfig {
			s.other = append(s.other, func(w *world) { w.replicas[name].Configure(w.latestConfig) })
		}
		if w.expiries > 0 && r.records["id"] != nil {
			s.other = append(s.other, func(w *world) {
				w.expiries--
				w.replicas[name].Expire(now + minute)
			})
		}
	}
}

// moveSteps adds the steps by which member "d" replaces member "a" as a replica.
func (w *world) moveSteps(s *steps) {
	if w.moves > 0 && w.latestConfig == 1 {
		s.other = append(s.other, func(w *world) { w.latestConfig = 2 })
	}
	if w.latestConfig != 2 {
		return
	}
	ready := 0
	for _, name := range []string{"a", "b", "c"} {
		if w.replicas[name].configNumber >= 2 && w.replicas[name].bootstrapped {
			ready++
		}
	}
	if ready == 3 && !w.replicas["d"].bootstrapped {
		s.other = append(s.other, func(w *world) {
			w.replicas["d"].Configure(2)
			w.bootstrap("d")
		})
	}
	if w.replicas["d"].bootstrapped {
		s.other = append(s.other, func(w *world) { w.latestConfig = 3 })
	}
}

func (w *world) deliver(to string, prepare *Prepare, accept *Accept) Reply {
	if prepare != nil {
		return w.replicas[to].Prepare(now, *prepare)
	}
	return w.replicas[to].Accept(now, *accept)
}

// bootstrap merges the records of the members "a", "b" and "c" into the named member's empty replica.
func (w *world) bootstrap(name string) {
	for _, other := range []string{"a", "b", "c"} {
		if other == name {
			continue
		}
		if !w.replicas[other].bootstrapped {
			return // too few replicas can be read
		}
		for _, record := range w.replicas[other].Records() {
			w.replicas[name].Merge(record)
		}
	}
	w.replicas[name].MarkBootstrapped()
}

// resolve queries the engine for another proposer's attempt and passes the evidence to the proposer.
func (w *world) resolve(i int) {
	proposer := w.processes[i].proposer
	evidence := Evidence{Ran: w.runs > 0, Completed: w.runs > 0, UnknownToEngine: w.runs == 0, Result: []byte("r")}
	for k, p := range w.processes {
		if proposer.outcome.IntendedBy != processName(k) {
			continue
		}
		switch p.end {
		case running:
		case ended:
			evidence.ProcessEndedFor = time.Millisecond
		case abandoned:
			evidence.ProcessEndedFor = w.settings.EngineAbandonTime + 1
		}
	}
	proposer.ResolveOutcome(evidence)
}

func (w *world) answer(i int) {
	p := w.processes[i]
	p.answered = true
	if p.proposer.Outcome().Phase == NeverRan {
		p.answeredNeverRan, w.answeredNeverRan = true, true
	} else {
		p.answeredRan = true
	}
	for _, other := range w.processes {
		if (p.answeredNeverRan && other.answeredRan) || (p.answeredRan && other.answeredNeverRan) {
			w.violation = "one client was told that the request ran, and another that it never ran"
		}
	}
	if p.answeredNeverRan && w.runs > 0 {
		w.violation = "the request ran, and a client was told that it never ran"
	}
}
