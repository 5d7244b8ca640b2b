package execution

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// simulation is shelves and passages of one id, and words between them that are lost, late or repeated.
type simulation struct {
	now        time.Duration
	config     Config
	replicas   map[string]*Replica
	executions []*Execution
	sendCount  []int // Go, by passage
	decisions  []Decision
	inFlight   []func()
}

func newSimulation(t require.TestingT, backs ...bool) *simulation {
	c := &simulation{config: Config{Number: 1, Members: fleetOf(3)}, replicas: map[string]*Replica{}}
	for _, m := range c.config.Members {
		s, err := NewReplica(Defaults(), 1, true)
		require.NoError(t, err)
		c.replicas[m.Name] = s
	}
	for i, back := range backs {
		p, err := Begin(0, DefaultLimits(), Defaults(), "id", "sum", fmt.Sprintf("m%d/1", i), "room-0", 1, c.config, "e1", 7, back)
		require.NoError(t, err)
		c.executions = append(c.executions, p)
	}
	c.sendCount, c.decisions = make([]int, len(backs)), make([]Decision, len(backs))
	return c
}

// send puts what a passage has to say on its way.
func (c *simulation) send(p *Execution) {
	claim, write, to := p.Messages(c.now)
	for _, h := range to {
		c.inFlight = append(c.inFlight, func() {
			var r Reply
			if claim != nil {
				r = c.replicas[h].Prepare(c.now, *claim)
			} else {
				r = c.replicas[h].Accept(c.now, *write)
			}
			c.inFlight = append(c.inFlight, func() { p.HandleReply(h, r) })
		})
	}
}

// step lets a passage go on, and holds its verdicts to what was told before.
func (c *simulation) step(t require.TestingT, i int) Decision {
	v := c.executions[i].Step(c.now)
	switch {
	case v == SendNow:
		c.sendCount[i]++
		require.Zero(t, c.decisions[i], "sent after a verdict")
		require.Less(t, c.now, DefaultLimits().MaxWait, "sent after the wait")
	case v != Pending && v != QueryEngine:
		if c.decisions[i] == 0 {
			require.LessOrEqual(t, c.now, DefaultLimits().MaxWait+50*time.Millisecond, "told late")
			c.decisions[i] = v
		}
		require.Equal(t, c.decisions[i], v, "a verdict was taken back")
		require.Zero(t, c.sendCount[i], "a verdict for what was sent")
	}
	return v
}

// Words lost, late and repeated, two clients that came back beside one that asks for the first time: one attempt at most, and no verdict
// that another one contradicts.
func TestPassagesSendOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newSimulation(t, false, true, rapid.Bool().Draw(t, "back"))
		for range rapid.IntRange(10, 150).Draw(t, "events") {
			switch i := rapid.IntRange(0, len(c.executions)-1).Draw(t, "who"); rapid.IntRange(0, 6).Draw(t, "event") {
			case 0:
				c.send(c.executions[i])
			case 1, 2, 3:
				if n := len(c.inFlight); n > 0 {
					at := rapid.IntRange(0, n-1).Draw(t, "word")
					w := c.inFlight[at]
					if rapid.IntRange(0, 4).Draw(t, "again") > 0 {
						c.inFlight = append(c.inFlight[:at:at], c.inFlight[at+1:]...)
					}
					w()
				}
			case 4:
				if n := len(c.inFlight); n > 0 && rapid.Bool().Draw(t, "lost") {
					c.inFlight = c.inFlight[:n-1]
				}
				c.now += time.Duration(rapid.Int64Range(0, int64(30*time.Millisecond)).Draw(t, "pass"))
				for j := range c.executions { // all look at their clocks
					c.step(t, j)
				}
			case 5:
				if c.step(t, i) == QueryEngine { // the engine does not know it, and its owner may live: a doubt
					c.executions[i].ResolveOutcome(Evidence{UnknownToEngine: true})
				}
			case 6:
				if c.sendCount[i] > 0 {
					c.executions[i].AttemptEnded(Evidence{Ran: true, Completed: true, Result: []byte("done")})
				}
			}
		}
		all := 0
		for _, n := range c.sendCount {
			all += n
		}
		require.LessOrEqual(t, all, 1, "sent more than once")
		for i, p := range c.executions {
			if c.decisions[i] == NotSent {
				require.Zero(t, i, "a client that came back was told that a repeat is harmless")
			}
			if c.decisions[i] == Resolved && all > 0 {
				require.Equal(t, Completed, p.Outcome().Phase, "it was sent, and another fate is told")
			}
		}
	})
}

// deliver lets all words on their way arrive, in order, and those that they lead to.
func (c *simulation) deliver() {
	for len(c.inFlight) > 0 {
		w := c.inFlight[0]
		c.inFlight = c.inFlight[1:]
		w()
	}
}

// run delivers all words, and lets each passage step, until nothing more is said.
func (c *simulation) run(t require.TestingT, only ...int) {
	for range 50 {
		for _, i := range only {
			c.send(c.executions[i])
		}
		c.deliver()
		for _, i := range only {
			c.step(t, i)
		}
	}
}

// The intent is held in time, and the process stands still before it looks: it must not send then, however long its lease.
func TestAProcessThatStoodStillDoesNotSend(t *testing.T) {
	c := newSimulation(t, false)
	p := c.executions[0]
	for !p.proposer.MaySend() {
		c.send(p)
		c.deliver()
		if p.proposer.state == Established && !p.proposer.MaySend() {
			p.Step(c.now)
		}
	}
	c.now = 10 * time.Second
	assert.Equal(t, NotSent, p.Step(c.now))
	c.runDecided(t)
	assert.True(t, p.Done())
	assert.Equal(t, NeverRan, p.Outcome().Phase)
}

// runDecided delivers words of what has its verdict already.
func (c *simulation) runDecided(t require.TestingT) {
	for range 5 {
		c.now += DefaultLimits().ResendInterval
		for _, p := range c.executions {
			c.send(p)
			p.Step(c.now)
		}
		c.deliver()
	}
}

// The intent reaches a majority after the wait: the client was told that a repeat is harmless, and whoever asks later must find that nothing ran.
func TestALateIntentIsWithdrawn(t *testing.T) {
	c := newSimulation(t, false, true)
	p := c.executions[0]
	for p.proposer.state != Accepting {
		c.send(p)
		c.deliver()
		p.Step(c.now)
	}
	c.send(p) // on its way for longer than the wait
	c.now = DefaultLimits().MaxWait
	require.Equal(t, NotSent, c.step(t, 0))
	assert.False(t, p.Done(), "there is something to withdraw")
	c.run(t, 0)
	assert.True(t, p.Done())
	c.executions[1].startedAt = c.now
	c.run(t, 1)
	assert.Equal(t, Resolved, c.executions[1].decision)
	assert.Equal(t, NeverRan, c.executions[1].Outcome().Phase)
	assert.Equal(t, []int{0, 0}, c.sendCount)
}

func TestPassagesOneAfterTheOther(t *testing.T) {
	t.Run("its end is found by a client that comes back", func(t *testing.T) {
		c := newSimulation(t, false, true)
		c.run(t, 0)
		require.Equal(t, []int{1, 0}, c.sendCount)
		c.executions[0].AttemptEnded(Evidence{Ran: true, Completed: true, Result: []byte("rows")})
		c.run(t, 0)
		require.True(t, c.executions[0].Done())
		c.run(t, 1)
		assert.Equal(t, Resolved, c.executions[1].decision)
		assert.Equal(t, "rows", string(c.executions[1].Outcome().Result))
	})
	t.Run("no holder answers", func(t *testing.T) {
		c := newSimulation(t, false, true)
		c.now = DefaultLimits().MaxWait
		assert.Equal(t, []Decision{NotSent, MayHaveRun}, []Decision{c.step(t, 0), c.step(t, 1)})
		assert.True(t, c.executions[0].Done(), "it has asked for nothing, and seals nobody out")
	})
	t.Run("two that ask at once do not fight", func(t *testing.T) {
		c := newSimulation(t, false, false)
		for range 20 {
			c.run(t, 0, 1)
		}
		assert.Equal(t, []int{0, 1}, c.sendCount, "the greater ballot")
		assert.Equal(t, MayHaveRun, c.decisions[0])
		assert.Equal(t, 1, c.executions[0].prepares)
	})
	t.Run("another's attempt is found, and its engine says nothing in time", func(t *testing.T) {
		c := newSimulation(t, true, false)
		c.run(t, 0)
		require.Equal(t, []int{1, 0}, c.sendCount)
		c.executions[1].prepare(2)
		c.run(t, 1)
		assert.Equal(t, QueryEngine, c.step(t, 1))
		c.now = DefaultLimits().MaxWait
		assert.Equal(t, MayHaveRun, c.step(t, 1), "a repeat is not harmless: it may run")
	})
	t.Run("no room", func(t *testing.T) {
		c := newSimulation(t, false)
		set := Defaults()
		set.MaxBytes = 1
		for name := range c.replicas {
			c.replicas[name], _ = NewReplica(set, 1, true)
		}
		c.run(t, 0)
		assert.Equal(t, NotSent, c.decisions[0])
	})
}

func TestWayIsChecked(t *testing.T) {
	for field, spoil := range map[string]func(*Limits){
		"again": func(w *Limits) { w.ResendInterval = 0 }, "most_wait": func(w *Limits) { w.MaxWait = 0 }, "most_tries": func(w *Limits) { w.MaxPrepares = 0 },
	} {
		w := DefaultLimits()
		spoil(&w)
		assert.ErrorContains(t, w.Check(), field+": found")
	}
}
