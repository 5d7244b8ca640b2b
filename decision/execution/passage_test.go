package execution

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// crossing is shelves and passages of one id, and words between them that are lost, late or repeated.
type crossing struct {
	now     time.Duration
	config  Config
	shelves map[string]*Shelf
	list    []*Passage
	sent    []int // Go, by passage
	first   []Verdict
	words   []func()
}

func newCrossing(t require.TestingT, backs ...bool) *crossing {
	c := &crossing{config: Config{Number: 1, Members: fleetOf(3)}, shelves: map[string]*Shelf{}}
	for _, m := range c.config.Members {
		s, err := NewShelf(Defaults(), 1, true)
		require.NoError(t, err)
		c.shelves[m.Name] = s
	}
	for i, back := range backs {
		p, err := Begin(0, DefaultWay(), Defaults(), "id", "sum", fmt.Sprintf("m%d/1", i), "room-0", 1, c.config, "e1", 7, back)
		require.NoError(t, err)
		c.list = append(c.list, p)
	}
	c.sent, c.first = make([]int, len(backs)), make([]Verdict, len(backs))
	return c
}

// say puts what a passage has to say on its way.
func (c *crossing) say(p *Passage) {
	claim, write, to := p.Words(c.now)
	for _, h := range to {
		c.words = append(c.words, func() {
			var r Reply
			if claim != nil {
				r = c.shelves[h].Claim(c.now, *claim)
			} else {
				r = c.shelves[h].Write(c.now, *write)
			}
			c.words = append(c.words, func() { p.Heard(h, r) })
		})
	}
}

// step lets a passage go on, and holds its verdicts to what was told before.
func (c *crossing) step(t require.TestingT, i int) Verdict {
	v := c.list[i].Step(c.now)
	switch {
	case v == Go:
		c.sent[i]++
		require.Zero(t, c.first[i], "sent after a verdict")
		require.Less(t, c.now, DefaultWay().MostWait, "sent after the wait")
	case v != Pending && v != Ask:
		if c.first[i] == 0 {
			require.LessOrEqual(t, c.now, DefaultWay().MostWait+50*time.Millisecond, "told late")
			c.first[i] = v
		}
		require.Equal(t, c.first[i], v, "a verdict was taken back")
		require.Zero(t, c.sent[i], "a verdict for what was sent")
	}
	return v
}

// Words lost, late and repeated, two clients that came back beside one that asks for the first time: one attempt at most, and no verdict
// that another one contradicts.
func TestPassagesSendOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCrossing(t, false, true, rapid.Bool().Draw(t, "back"))
		for range rapid.IntRange(10, 150).Draw(t, "events") {
			switch i := rapid.IntRange(0, len(c.list)-1).Draw(t, "who"); rapid.IntRange(0, 6).Draw(t, "event") {
			case 0:
				c.say(c.list[i])
			case 1, 2, 3:
				if n := len(c.words); n > 0 {
					at := rapid.IntRange(0, n-1).Draw(t, "word")
					w := c.words[at]
					if rapid.IntRange(0, 4).Draw(t, "again") > 0 {
						c.words = append(c.words[:at:at], c.words[at+1:]...)
					}
					w()
				}
			case 4:
				if n := len(c.words); n > 0 && rapid.Bool().Draw(t, "lost") {
					c.words = c.words[:n-1]
				}
				c.now += time.Duration(rapid.Int64Range(0, int64(30*time.Millisecond)).Draw(t, "pass"))
				for j := range c.list { // all look at their clocks
					c.step(t, j)
				}
			case 5:
				if c.step(t, i) == Ask { // the engine does not know it, and its owner may live: a doubt
					c.list[i].Learned(Evidence{Unknown: true})
				}
			case 6:
				if c.sent[i] > 0 {
					c.list[i].Ended(Evidence{Ran: true, Ended: true, Result: []byte("done")})
				}
			}
		}
		all := 0
		for _, n := range c.sent {
			all += n
		}
		require.LessOrEqual(t, all, 1, "sent more than once")
		for i, p := range c.list {
			if c.first[i] == Refused {
				require.Zero(t, i, "a client that came back was told that a repeat is harmless")
			}
			if c.first[i] == Known && all > 0 {
				require.Equal(t, Ended, p.Fate().Phase, "it was sent, and another fate is told")
			}
		}
	})
}

// deliver lets all words on their way arrive, in order, and those that they lead to.
func (c *crossing) deliver() {
	for len(c.words) > 0 {
		w := c.words[0]
		c.words = c.words[1:]
		w()
	}
}

// flow delivers all words, and lets each passage step, until nothing more is said.
func (c *crossing) flow(t require.TestingT, only ...int) {
	for range 50 {
		for _, i := range only {
			c.say(c.list[i])
		}
		c.deliver()
		for _, i := range only {
			c.step(t, i)
		}
	}
}

// The intent is held in time, and the process stands still before it looks: it must not send then, however long its lease.
func TestAProcessThatStoodStillDoesNotSend(t *testing.T) {
	c := newCrossing(t, false)
	p := c.list[0]
	for !p.owner.Cleared() {
		c.say(p)
		c.deliver()
		if p.owner.stand == Holding && !p.owner.Cleared() {
			p.Step(c.now)
		}
	}
	c.now = 10 * time.Second
	assert.Equal(t, Refused, p.Step(c.now))
	c.flowOn(t)
	assert.True(t, p.Done())
	assert.Equal(t, NeverRan, p.Fate().Phase)
}

// flowOn delivers words of what has its verdict already.
func (c *crossing) flowOn(t require.TestingT) {
	for range 5 {
		c.now += DefaultWay().Again
		for _, p := range c.list {
			c.say(p)
			p.Step(c.now)
		}
		c.deliver()
	}
}

// The intent reaches a majority after the wait: the client was told that a repeat is harmless, and whoever asks later must find that nothing ran.
func TestALateIntentIsWithdrawn(t *testing.T) {
	c := newCrossing(t, false, true)
	p := c.list[0]
	for p.owner.stand != Writing {
		c.say(p)
		c.deliver()
		p.Step(c.now)
	}
	c.say(p) // on its way for longer than the wait
	c.now = DefaultWay().MostWait
	require.Equal(t, Refused, c.step(t, 0))
	assert.False(t, p.Done(), "there is something to withdraw")
	c.flow(t, 0)
	assert.True(t, p.Done())
	c.list[1].began = c.now
	c.flow(t, 1)
	assert.Equal(t, Known, c.list[1].verdict)
	assert.Equal(t, NeverRan, c.list[1].Fate().Phase)
	assert.Equal(t, []int{0, 0}, c.sent)
}

func TestPassagesOneAfterTheOther(t *testing.T) {
	t.Run("its end is found by a client that comes back", func(t *testing.T) {
		c := newCrossing(t, false, true)
		c.flow(t, 0)
		require.Equal(t, []int{1, 0}, c.sent)
		c.list[0].Ended(Evidence{Ran: true, Ended: true, Result: []byte("rows")})
		c.flow(t, 0)
		require.True(t, c.list[0].Done())
		c.flow(t, 1)
		assert.Equal(t, Known, c.list[1].verdict)
		assert.Equal(t, "rows", string(c.list[1].Fate().Result))
	})
	t.Run("no holder answers", func(t *testing.T) {
		c := newCrossing(t, false, true)
		c.now = DefaultWay().MostWait
		assert.Equal(t, []Verdict{Refused, InDoubt}, []Verdict{c.step(t, 0), c.step(t, 1)})
		assert.True(t, c.list[0].Done(), "it has asked for nothing, and seals nobody out")
	})
	t.Run("two that ask at once do not fight", func(t *testing.T) {
		c := newCrossing(t, false, false)
		for range 20 {
			c.flow(t, 0, 1)
		}
		assert.Equal(t, []int{0, 1}, c.sent, "the greater ballot")
		assert.Equal(t, InDoubt, c.first[0])
		assert.Equal(t, 1, c.list[0].tries)
	})
	t.Run("another's attempt is found, and its engine says nothing in time", func(t *testing.T) {
		c := newCrossing(t, true, false)
		c.flow(t, 0)
		require.Equal(t, []int{1, 0}, c.sent)
		c.list[1].claim(2)
		c.flow(t, 1)
		assert.Equal(t, Ask, c.step(t, 1))
		c.now = DefaultWay().MostWait
		assert.Equal(t, InDoubt, c.step(t, 1), "a repeat is not harmless: it may run")
	})
	t.Run("no room", func(t *testing.T) {
		c := newCrossing(t, false)
		set := Defaults()
		set.MostBytes = 1
		for name := range c.shelves {
			c.shelves[name], _ = NewShelf(set, 1, true)
		}
		c.flow(t, 0)
		assert.Equal(t, Refused, c.first[0])
	})
}

func TestWayIsChecked(t *testing.T) {
	for field, spoil := range map[string]func(*Way){
		"again": func(w *Way) { w.Again = 0 }, "most_wait": func(w *Way) { w.MostWait = 0 }, "most_tries": func(w *Way) { w.MostTries = 0 },
	} {
		w := DefaultWay()
		spoil(&w)
		assert.ErrorContains(t, w.Check(), field+": found")
	}
}
