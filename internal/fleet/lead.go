package fleet

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"beechcart/decision/rollout"
)

// WindowCounts is what one front end did in one window.
type WindowCounts struct {
	Name     string                `json:"Name"`
	Zone     string                `json:"Room"`
	Revision string                `json:"Revision"`
	Window   int64                 `json:"Window"` // Unix time over windowLength
	Load     float64               `json:"Load"`   // requests a second
	Counts   rollout.RequestCounts `json:"Count"`
}

// countWindows gathers windows until they are old enough to be whole.
type countWindows struct {
	mu      sync.Mutex
	windows map[int64]map[string]WindowCounts
}

func (c *countWindows) add(w WindowCounts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.windows == nil {
		c.windows = map[int64]map[string]WindowCounts{}
	}
	if c.windows[w.Window] == nil {
		c.windows[w.Window] = map[string]WindowCounts{}
	}
	if len(c.windows[w.Window]) < 10_000 {
		c.windows[w.Window][w.Name] = w
	}
}

// completeWindows takes the windows up to that one out, in order.
func (c *countWindows) completeWindows(upTo int64) (windows [][]WindowCounts, numbers []int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for n := range c.windows {
		if n <= upTo {
			numbers = append(numbers, n)
		}
	}
	slices.Sort(numbers)
	for _, n := range numbers {
		var w []WindowCounts
		for _, v := range c.windows[n] {
			w = append(w, v)
		}
		delete(c.windows, n)
		windows = append(windows, w)
	}
	return windows, numbers
}

func add(to *rollout.RequestCounts, c rollout.RequestCounts) {
	to.Requests, to.Failed, to.Rejected, to.Slow = to.Requests+c.Requests, to.Failed+c.Failed, to.Rejected+c.Rejected, to.Slow+c.Slow
}

// window is the number of the window at a time.
func window(t time.Time) int64 { return t.UnixNano() / int64(windowLength) }

// runLeader looks around while this keeper leads: doubts, ticks, what was counted, and what its own list says of engines.
func (k *ControlReplica) runLeader(g *gossip, engines func() []rollout.Engine) {
	defer k.done.Done()
	silent := map[string]time.Time{} // since when a member is not heard of
	led := false
	for {
		select {
		case <-k.stop:
			return
		case <-time.After(leaderInterval):
		}
		if !k.isLeader() {
			led = false
			clear(silent)
			continue
		}
		if !led { // all that was agreed before must be known here first
			if k.raft.Barrier(commitTimeout).Error() != nil {
				continue
			}
			led = true
		}
		for _, c := range k.periodicCommands(g.aliveProcesses(), silent, engines()) {
			if _, err := k.Apply(c); err != nil {
				break
			}
		}
	}
}

// periodicCommands lists the commands that the leader enters by itself.
func (k *ControlReplica) periodicCommands(heard map[string]uint64, silent map[string]time.Time, engines []rollout.Engine) (out []rollout.Command) {
	now := k.options.now()
	windows, numbers := k.counts.completeWindows(window(now) - 2)
	k.readState(func(m *rollout.StateMachine) {
		for name, o := range m.Members {
			if o.Suspected || o.Phase == rollout.Terminated || heard[name] == o.Incarnation {
				delete(silent, name)
				continue
			}
			if silent[name].IsZero() {
				silent[name] = now
			}
			if now.Sub(silent[name]) >= suspicionTimeout {
				out = append(out, rollout.Command{Suspect: &rollout.Suspect{Name: name, Incarnation: o.Incarnation}})
				delete(silent, name)
			}
		}
		named := map[string]bool{}
		for _, e := range engines {
			named[e.Name] = true
			if was := m.Engines[e.Name]; was == nil || *was != e {
				out = append(out, rollout.Command{Engine: &e})
			}
		}
		for name, e := range m.Engines {
			if !named[name] && e.Listed && len(engines) > 0 { // no list at all tells nothing
				out = append(out, rollout.Command{Engine: &rollout.Engine{Name: name, Process: e.Process}})
			}
		}
		for i, w := range windows {
			load := rollout.Load{Engines: m.Load.Engines}
			h := rollout.Health{Window: uint64(numbers[i])}
			rooms := map[string]*rollout.ZoneCounts{}
			for _, c := range w {
				load.FrontEnds += c.Load
				r := rooms[c.Zone]
				if r == nil {
					r = &rollout.ZoneCounts{Zone: c.Zone}
					rooms[c.Zone] = r
				}
				if rel := m.Release; rel != nil && c.Revision == rel.Revision {
					add(&r.New, c.Counts)
				} else {
					add(&r.Old, c.Counts)
				}
			}
			if change := load.FrontEnds - m.Load.FrontEnds; change > m.Load.FrontEnds/10 || -change > m.Load.FrontEnds/10 {
				out = append(out, rollout.Command{Load: &load})
			}
			if rel := m.Release; rel != nil && rel.State != rollout.Done && !rel.RollingBack {
				h.Release = rel.Number
				for _, r := range rooms {
					h.Zones = append(h.Zones, *r)
				}
				slices.SortFunc(h.Zones, func(a, b rollout.ZoneCounts) int { return cmp.Compare(a.Zone, b.Zone) })
				out = append(out, rollout.Command{Health: &h})
			}
		}
		if at, ok := m.NextDeadline(); ok && time.Duration(now.UnixNano()) >= at {
			out = append(out, rollout.Command{Tick: &struct{}{}})
		}
	})
	return out
}
