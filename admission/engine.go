package admission

import (
	"math"
	"slices"
	"sort"
	"time"

	"beechcart/decision/slowstart"
)

const (
	goneFor  = 2 * time.Minute        // engines that are gone are remembered for, lest they come back
	askAgain = 500 * time.Millisecond // after discovery failed
)

type engine struct {
	Engine
	cores, memory float64
	gone          bool
	goneAt        time.Duration  // when it went
	coldFrom      time.Duration  // when it started, as far as we know; negative: long ago
	spent         []spend        // own work sent while it is cold
	share         slowstart.Held // our share of what it may get while it is cold
	rep           Report
	repAt         time.Duration // negative: never
	errs          float64       // share of errors in its answers
	misses        int           // failed probes in a row
	lost          bool          // ejected for failed connects or resets: its process may have died
	guess         time.Duration // since when it is taken for cold without word from the list
	rest          time.Duration // full: nothing before this
	heard         time.Duration // when last asked or told of
	hash          uint16        // its name among peers
	outs          []*attemptRef
	threads       float64
	mem           float64
	smallMem      float64 // ... that of small classes
	usual         float64 // own threads, smoothed
	factor        float64 // threads per core
	pace          float64 // slowdown seen, smoothed
	luck          float64 // draw for a part under one query of its cold budget
	luckUntil     time.Duration
	cutAt         time.Duration
	lastOK        time.Duration
	strikes       int
	ejected       bool
	until         time.Duration // no trickle before this
	trickle       int           // attempts out since ejection
	mutes         []mute        // by class
}

// members applies a list, or a change to it, and starts the clocks of drains and cold starts.
func (c *Controller) members(ev EndpointsChanged) {
	if ev.Kind == ListError {
		c.asked, c.retryAt = false, c.now+askAgain
		return
	}
	seen := map[uint32]bool{}
	for _, en := range ev.Engines {
		seen[en.ID] = true
		c.listed(en)
	}
	if ev.Kind == Partial {
		return
	}
	for _, e := range c.engines {
		if !seen[e.ID] && !e.gone {
			en := e.Engine
			en.State = Removed
			c.listed(en)
		}
	}
}

func (c *Controller) listed(en Engine) {
	c.relisted = true
	e := c.byID[en.ID]
	fresh := e == nil
	if fresh {
		e = &engine{
			Engine: en, repAt: -1, coldFrom: -1, factor: factorStart, pace: 1, lastOK: c.now,
			mutes: make([]mute, len(c.classes)), hash: uint16(homeHash(0, en.ID)),
		}
		c.byHash[e.hash] = e
		c.byID[en.ID] = e
		at := sort.Search(len(c.engines), func(i int) bool {
			return homeHash(1, c.engines[i].ID) >= homeHash(1, e.ID)
		})
		c.engines = slices.Insert(c.engines, at, e)
	}
	restarted := en.Started > 0 && (fresh || en.Started != e.Started)
	back := e.gone && en.State == Ready
	e.Engine = en
	e.cores, e.memory = 1, 0
	if en.Kind >= 0 && en.Kind < len(c.set.Kinds) {
		e.cores, e.memory = math.Max(float64(c.set.Kinds[en.Kind].Cores), 1), c.set.Kinds[en.Kind].MemoryMB
	}
	if !e.gone && en.State != Ready {
		e.goneAt = c.now
	}
	e.gone = en.State != Ready
	if restarted && c.now-en.Started < c.set.Cold {
		c.startCold(e, en.Started)
	} else if back && !restarted {
		c.startCold(e, c.now)
	}
}

// forgetGone drops engines that left long ago and hold nothing. Guards against days on which engines are replaced
// all the time: each step looks at all that are remembered. One that drains may still come back.
func (c *Controller) forgetGone() {
	c.engines = slices.DeleteFunc(c.engines, func(e *engine) bool {
		old := e.State == Removed && len(e.outs) == 0 && c.now-e.goneAt > goneFor
		if old {
			delete(c.byID, e.ID)
			if c.byHash[e.hash] == e {
				delete(c.byHash, e.hash)
			}
		}
		return old
	})
}
