package execution

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// simulation holds the replicas and executions of one id, and the messages between them, which may be lost, late or
// duplicated.
type simulation struct {
	now        time.Duration
	config     Config
	replicas   map[string]*Replica
	executions []*Execution
	sendCount  []int      // how often SendNow was returned, by execution
	decisions  []Decision // final decisions by execution; Pending: none yet
	inFlight   []func()   // deliveries of messages and replies
}

// newSimulation begins an execution for each value of retried, which is the value of its Parameters.Retried.
func newSimulation(t require.TestingT, retried ...bool) *simulation {
	s := &simulation{
		config:    Config{Number: 1, Members: fleetOf(3)},
		replicas:  map[string]*Replica{},
		sendCount: make([]int, len(retried)),
		decisions: make([]Decision, len(retried)),
	}
	for _, member := range s.config.Members {
		r, err := NewReplica(Defaults(), 1)
		require.NoError(t, err)
		s.replicas[member.Name] = r
	}
	for i := range retried {
		e, err := Begin(0, Parameters{
			Limits:   DefaultLimits(),
			Settings: Defaults(),
			Config:   s.config,
			Request:  Request{ID: "id", StatementDigest: "sum", Proposer: fmt.Sprintf("m%d/1", i), Zone: "zone-0"},
			Round:    1,
			Engine:   "e1",
			Process:  7,
			Retried:  retried[i],
		})
		require.NoError(t, err)
		s.executions = append(s.executions, e)
	}
	return s
}

// send puts the due messages of an execution in flight.
func (s *simulation) send(e *Execution) {
	prepare, accept, to := e.Messages(s.now)
	for _, name := range to {
		s.inFlight = append(s.inFlight, func() {
			var reply Reply
			if prepare != nil {
				reply = s.replicas[name].Prepare(s.now, *prepare)
			} else {
				reply = s.replicas[name].Accept(s.now, *accept)
			}
			s.inFlight = append(s.inFlight, func() { e.HandleReply(name, reply) })
		})
	}
}

// step calls Step of an execution and checks the decision against its earlier ones.
func (s *simulation) step(t require.TestingT, i int) Decision {
	decision := s.executions[i].Step(s.now)
	switch {
	case decision == SendNow:
		s.sendCount[i]++
		require.Zero(t, s.decisions[i], "sent after a final decision")
		require.Less(t, s.now, DefaultLimits().MaxWait, "sent after MaxWait")
	case decision != Pending && decision != QueryEngine:
		if s.decisions[i] == Pending {
			require.LessOrEqual(t, s.now, DefaultLimits().MaxWait+50*time.Millisecond, "final decision over 50 ms late")
			s.decisions[i] = decision
		}
		require.Equal(t, s.decisions[i], decision, "a final decision was changed")
		require.Zero(t, s.sendCount[i], "a final decision after SendNow")
	}
	return decision
}

// With messages lost, late and duplicated, and one or two retried requests beside a first request, at most one attempt
// is sent and no decision contradicts another.
func TestExecutionsSendAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, false, true, rapid.Bool().Draw(t, "retried"))
		for range rapid.IntRange(10, 150).Draw(t, "events") {
			s.randomEvent(t)
		}
		sent := 0
		for _, n := range s.sendCount {
			sent += n
		}
		require.LessOrEqual(t, sent, 1, "sent more than once")
		for i, e := range s.executions {
			if s.decisions[i] == NotSent {
				require.Zero(t, i, "NotSent was returned for a retried request")
			}
			if s.decisions[i] == Resolved && sent > 0 {
				require.Equal(t, Completed, e.Outcome().Phase, "sent, but resolved to another outcome")
			}
		}
	})
}

// randomEvent applies a drawn event to a drawn execution.
func (s *simulation) randomEvent(t *rapid.T) {
	i := rapid.IntRange(0, len(s.executions)-1).Draw(t, "execution")
	switch rapid.IntRange(0, 6).Draw(t, "event") {
	case 0:
		s.send(s.executions[i])
	case 1, 2, 3:
		if n := len(s.inFlight); n > 0 {
			index := rapid.IntRange(0, n-1).Draw(t, "message")
			deliver := s.inFlight[index]
			if rapid.IntRange(0, 4).Draw(t, "duplicated") > 0 {
				s.inFlight = append(s.inFlight[:index:index], s.inFlight[index+1:]...)
			}
			deliver()
		}
	case 4:
		if n := len(s.inFlight); n > 0 && rapid.Bool().Draw(t, "lost") {
			s.inFlight = s.inFlight[:n-1]
		}
		s.now += time.Duration(rapid.Int64Range(0, int64(30*time.Millisecond)).Draw(t, "pass"))
		for j := range s.executions { // every execution checks the time
			s.step(t, j)
		}
	case 5:
		if s.step(t, i) == QueryEngine { // unknown to the engine, and the proposer may still run: in doubt
			s.executions[i].ResolveOutcome(Evidence{UnknownToEngine: true})
		}
	case 6:
		if s.sendCount[i] > 0 {
			s.executions[i].AttemptEnded(Evidence{Ran: true, Completed: true, Result: []byte("done")})
		}
	}
}

// deliver delivers all messages in flight in order, and then the messages that result from them.
func (s *simulation) deliver() {
	for len(s.inFlight) > 0 {
		next := s.inFlight[0]
		s.inFlight = s.inFlight[1:]
		next()
	}
}

// run sends, delivers and steps in turn for the executions at indexes, until they have nothing more to send.
func (s *simulation) run(t require.TestingT, indexes ...int) {
	for range 50 {
		for _, i := range indexes {
			s.send(s.executions[i])
		}
		s.deliver()
		for _, i := range indexes {
			s.step(t, i)
		}
	}
}

// The intent is accepted in time, but the process is suspended before it checks MaySend. It must not send afterwards,
// however long its lease.
func TestSuspendedProcessDoesNotSend(t *testing.T) {
	s := newSimulation(t, false)
	e := s.executions[0]
	for !e.proposer.MaySend() {
		s.send(e)
		s.deliver()
		if e.proposer.state == Established && !e.proposer.MaySend() {
			e.Step(s.now)
		}
	}
	s.now = 10 * time.Second
	assert.Equal(t, NotSent, e.Step(s.now))
	s.runDecided()
	assert.True(t, e.Done())
	assert.Equal(t, NeverRan, e.Outcome().Phase)
}

// runDecided sends and delivers the messages of executions that have made a final decision.
func (s *simulation) runDecided() {
	for range 5 {
		s.now += DefaultLimits().ResendInterval
		for _, e := range s.executions {
			s.send(e)
			e.Step(s.now)
		}
		s.deliver()
	}
}

// The intent reaches a majority only after MaxWait, when the client was already told that a retry is harmless. A later
// execution must find NeverRan.
func TestLateIntentIsWithdrawn(t *testing.T) {
	s := newSimulation(t, false, true)
	e := s.executions[0]
	for e.proposer.state != Accepting {
		s.send(e)
		s.deliver()
		e.Step(s.now)
	}
	s.send(e) // in flight for longer than MaxWait
	s.now = DefaultLimits().MaxWait
	require.Equal(t, NotSent, s.step(t, 0))
	assert.False(t, e.Done(), "the intent has to be withdrawn")
	s.run(t, 0)
	assert.True(t, e.Done())
	s.executions[1].startedAt = s.now
	s.run(t, 1)
	assert.Equal(t, Resolved, s.executions[1].decision)
	assert.Equal(t, NeverRan, s.executions[1].Outcome().Phase)
	assert.Equal(t, []int{0, 0}, s.sendCount)
}

func TestExecutionDecisions(t *testing.T) {
	t.Run("retried request finds the recorded outcome", func(t *testing.T) {
		s := newSimulation(t, false, true)
		s.run(t, 0)
		require.Equal(t, []int{1, 0}, s.sendCount)
		s.executions[0].AttemptEnded(Evidence{Ran: true, Completed: true, Result: []byte("rows")})
		s.run(t, 0)
		require.True(t, s.executions[0].Done())
		s.run(t, 1)
		assert.Equal(t, Resolved, s.executions[1].decision)
		assert.Equal(t, "rows", string(s.executions[1].Outcome().Result))
	})
	t.Run("no replica answers", func(t *testing.T) {
		s := newSimulation(t, false, true)
		s.now = DefaultLimits().MaxWait
		assert.Equal(t, []Decision{NotSent, MayHaveRun}, []Decision{s.step(t, 0), s.step(t, 1)})
		assert.True(t, s.executions[0].Done(), "without an intent, it sends no more prepares that could fence others")
	})
	t.Run("two first requests at once do not fence each other in turn", func(t *testing.T) {
		s := newSimulation(t, false, false)
		for range 20 {
			s.run(t, 0, 1)
		}
		assert.Equal(t, []int{0, 1}, s.sendCount, "the execution with the greater ballot sends")
		assert.Equal(t, MayHaveRun, s.decisions[0])
		assert.Equal(t, 1, s.executions[0].prepares)
	})
	t.Run("attempt of another front end is found, and its engine does not answer in time", func(t *testing.T) {
		s := newSimulation(t, true, false)
		s.run(t, 0)
		require.Equal(t, []int{1, 0}, s.sendCount)
		s.executions[1].prepare(2)
		s.run(t, 1)
		assert.Equal(t, QueryEngine, s.step(t, 1))
		s.now = DefaultLimits().MaxWait
		assert.Equal(t, MayHaveRun, s.step(t, 1), "a retry is not harmless: the attempt may run")
	})
	t.Run("no capacity", func(t *testing.T) {
		s := newSimulation(t, false)
		settings := Defaults()
		settings.MaxBytes = 1
		for name := range s.replicas {
			s.replicas[name], _ = NewReplica(settings, 1)
		}
		s.run(t, 0)
		assert.Equal(t, NotSent, s.decisions[0])
	})
}

func TestLimitsAreChecked(t *testing.T) {
	for field, invalidate := range map[string]func(*Limits){
		"resend_interval": func(l *Limits) { l.ResendInterval = 0 },
		"max_wait":        func(l *Limits) { l.MaxWait = 0 },
		"max_prepares":    func(l *Limits) { l.MaxPrepares = 0 },
	} {
		limits := DefaultLimits()
		invalidate(&limits)
		assert.ErrorContains(t, limits.Check(), field+": found")
	}
}
