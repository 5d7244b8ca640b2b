package drill

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"beechcart/decision/rollout"
	"beechcart/internal/drill/rig"
	"beechcart/internal/fleet"
	"beechcart/internal/standin/changelog"
	"beechcart/internal/standin/engine"
)

// Rollout plays faults among the front ends of a fleet through two releases, one of them bad, and drains of engines.
var Rollout = Drill{
	Name:   "rollout",
	Short:  "Front ends in three rooms that are killed, stopped, cut off and robbed of disks through releases and drains",
	Kinds:  fleetKinds(),
	Fronts: rolloutFronts,
	// Without judgement a bad release goes on until the drill's patience ends.
	Policies: []string{"unjudged"},
	Bads:     []string{badErrors, badSlow},
	Run:      runRollout,
}

// What is wrong with the bad revision: its engines fail three queries in five, or take 0.7 s longer for each.
const (
	badErrors = "errors"
	badSlow   = "slow"
)

// The budgets of the drill, as its checker knows them.
const (
	rolloutFronts = 12
	mostOut       = 2
	mostInRoom    = 1
	// outSeen is after how long everyone must know that a front end is out that has not said so.
	outSeen = 4 * time.Second
)

var rolloutRooms = []string{"room-a", "room-b", "room-c"}

// field is the drill's world.
type field struct {
	opt    Options
	fleet  *rig.Fleet
	net    *rig.Net
	log    *changelog.Log     // of the good revisions
	bad    *changelog.Log     // of the bad one: the same engines, behind something that spoils
	drains map[string]*Drains // what each front end was told, by its address

	mu      sync.Mutex
	engines []*drained
	dead    []*engine.Engine
	empty   []emptySpan // engines that were said to be empty, and until when
	halts   []haltSpan
	busy    map[string]bool // members that a fault has in hand
	figures map[string]float64
	ids     int
}

type drained struct {
	name     string
	good, ng *engine.Engine // the engine, and what the bad revision takes for it
	since    int64
}

type emptySpan struct {
	engine   string
	from, to time.Time
}

type haltSpan struct{ from, to time.Time }

// fleetFault is one kind of trouble among front ends: it plays out, and leaves all well again.
type fleetFault struct {
	name string
	play func(ctx context.Context, f *field, rng *rand.Rand)
}

var fleetFaults = []fleetFault{
	{"kill", func(ctx context.Context, f *field, rng *rand.Rand) { f.strike(ctx, rng, "kill", syscall.SIGKILL) }},
	{"stop", func(ctx context.Context, f *field, rng *rand.Rand) {
		if m := f.take(rng, false); m != nil {
			defer f.give(m)
			f.opt.note("stop %s", m.Name)
			m.Signal(syscall.SIGSTOP)
			pause(ctx, between(rng, time.Second, 10*time.Second))
			m.Signal(syscall.SIGCONT)
			f.back(ctx, m)
		}
	}},
	{"term", func(ctx context.Context, f *field, rng *rand.Rand) { f.strike(ctx, rng, "term", syscall.SIGTERM) }},
	{"room", func(ctx context.Context, f *field, rng *rand.Rand) {
		room := rolloutRooms[rng.IntN(len(rolloutRooms))]
		f.opt.note("cut %s off", room)
		inside := f.room(room)
		f.trouble(ctx, rng, func(from, to string) bool { return inside[from] != inside[to] }, rig.Trouble{Cut: true})
	}},
	{"one-way", func(ctx context.Context, f *field, rng *rand.Rand) {
		m := f.fleet.Members[rng.IntN(len(f.fleet.Members))].Name
		hears := rng.IntN(2) == 0
		f.opt.note("%s hears nothing, or is not heard: %v", m, hears)
		f.trouble(ctx, rng, func(from, to string) bool { return (hears && to == m) || (!hears && from == m) }, rig.Trouble{Cut: true})
	}},
	{"slow", func(ctx context.Context, f *field, rng *rand.Rand) {
		inside := f.room(rolloutRooms[rng.IntN(len(rolloutRooms))])
		f.opt.note("slow links")
		f.trouble(ctx, rng, func(from, to string) bool { return inside[from] != inside[to] },
			rig.Trouble{Delay: between(rng, 30*time.Millisecond, 200*time.Millisecond)})
	}},
	{"lossy", func(ctx context.Context, f *field, rng *rand.Rand) {
		f.opt.note("datagrams are lost and repeated")
		f.trouble(ctx, rng, func(string, string) bool { return true }, rig.Trouble{Drop: 0.2, Dup: 0.2})
	}},
	{"reset", func(ctx context.Context, f *field, rng *rand.Rand) {
		m := f.fleet.Members[rng.IntN(len(f.fleet.Members))].Name
		f.opt.note("reset the connections of %s", m)
		f.net.Each(func(from, to string) bool { return from == m || to == m }, (*rig.Link).Reset)
	}},
	{"disk", func(ctx context.Context, f *field, rng *rand.Rand) {
		if m := f.take(rng, true); m != nil {
			defer f.give(m)
			f.opt.note("%s loses its disk", m.Name)
			if err := m.LoseDisk(); err != nil {
				f.opt.note("%v", err)
			}
			f.back(ctx, m)
			f.rejoined(ctx, m)
		}
	}},
	{"full", func(ctx context.Context, f *field, rng *rand.Rand) { f.failDisk(ctx, rng, "full") }},
	{"sync", func(ctx context.Context, f *field, rng *rand.Rand) { f.failDisk(ctx, rng, "sync") }},
	{"slow-disk", func(ctx context.Context, f *field, rng *rand.Rand) { f.failDisk(ctx, rng, "slow") }},
	{"keepers", func(ctx context.Context, f *field, rng *rand.Rand) {
		// All that keep the log at once: nothing is agreed for a while, and nothing of it may be lost.
		f.mu.Lock()
		free := true
		for _, m := range f.fleet.Members {
			free = free && !(m.Keeps && f.busy[m.Name])
		}
		for _, m := range f.fleet.Members {
			if m.Keeps && free {
				f.busy[m.Name] = true
			}
		}
		f.mu.Unlock()
		if !free {
			return
		}
		f.opt.note("kill all keepers")
		for _, m := range f.fleet.Members {
			if m.Keeps {
				m.Signal(syscall.SIGKILL)
			}
		}
		for _, m := range f.fleet.Members {
			if m.Keeps {
				f.back(ctx, m)
				f.give(m)
			}
		}
	}},
}

func fleetKinds() (names []string) {
	for _, f := range fleetFaults {
		names = append(names, f.name)
	}
	return names
}

func between(rng *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rng.Int64N(int64(high-low)+1))
}

// take picks a member that no other fault has in hand, at most two at a time and one keeper.
func (f *field) take(rng *rand.Rand, keeps bool) *rig.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	keepers := 0
	for _, m := range f.fleet.Members {
		if f.busy[m.Name] && m.Keeps {
			keepers++
		}
	}
	var free []*rig.Member
	for _, m := range f.fleet.Members {
		if !f.busy[m.Name] && (!m.Keeps || keepers == 0) && (!keeps || m.Keeps) {
			free = append(free, m)
		}
	}
	if len(free) == 0 || len(f.busy) >= 2 {
		return nil
	}
	m := free[rng.IntN(len(free))]
	f.busy[m.Name] = true
	return m
}

func (f *field) give(m *rig.Member) {
	f.mu.Lock()
	delete(f.busy, m.Name)
	f.mu.Unlock()
}

// strike signals a member, which its service manager starts again.
func (f *field) strike(ctx context.Context, rng *rand.Rand, name string, sig syscall.Signal) {
	if m := f.take(rng, false); m != nil {
		defer f.give(m)
		f.opt.note("%s %s", name, m.Name)
		m.Signal(sig)
		f.back(ctx, m)
	}
}

// failDisk lets a keeper's disk fail for a while. Its process goes on, and it is among the keepers again soon after.
func (f *field) failDisk(ctx context.Context, rng *rand.Rand, how string) {
	m := f.take(rng, true)
	if m == nil {
		return
	}
	defer f.give(m)
	f.opt.note("the disk of %s fails: %s", m.Name, how)
	if err := m.FailDisk(how); err != nil {
		f.opt.note("%v", err)
	}
	pause(ctx, between(rng, time.Second, 5*time.Second))
	if err := m.FailDisk(""); err != nil {
		f.opt.note("%v", err)
	}
	f.rejoined(ctx, m)
}

// back waits until a member's process listens again.
func (f *field) back(ctx context.Context, m *rig.Member) {
	pause(ctx, 100*time.Millisecond)
	for !m.Up() && pause(ctx, 50*time.Millisecond) {
	}
}

// rejoined waits until a keeper with a new disk is one of the log's servers again. Two disks lost before the first is
// filled again are more than three keepers bear.
func (f *field) rejoined(ctx context.Context, m *rig.Member) {
	for range 300 {
		if s, err := f.fleet.Client.Status(); err == nil && s.Leads && len(s.Servers) == 3 {
			index, filled := s.Index, true
			for _, id := range s.Servers {
				filled = filled && id != ""
			}
			if one, err := f.fleet.Client.StatusOf(m.Name); err == nil && filled && one.Index+5 >= index {
				return
			}
		}
		if !pause(ctx, 100*time.Millisecond) {
			return
		}
	}
	f.opt.note("%s is not back among the keepers", m.Name)
}

func (f *field) room(name string) map[string]bool {
	in := map[string]bool{}
	for _, m := range f.fleet.Members {
		if m.Room == name {
			in[m.Name] = true
		}
	}
	return in
}

// trouble sets links in trouble for a while.
func (f *field) trouble(ctx context.Context, rng *rand.Rand, chosen func(from, to string) bool, t rig.Trouble) {
	f.net.Each(chosen, func(l *rig.Link) { l.Set(t) })
	pause(ctx, between(rng, time.Second, 6*time.Second))
	f.net.Each(chosen, func(l *rig.Link) { l.Set(rig.Trouble{}) })
}

// play draws faults one after the other until ctx ends.
func (f *field) play(ctx context.Context, rng *rand.Rand, links bool) {
	var list []fleetFault
	for _, k := range fleetFaults {
		onLinks := slices.Contains([]string{"room", "one-way", "slow", "lossy", "reset"}, k.name)
		if onLinks == links && (f.opt.Faults == "all" || f.opt.Faults == k.name) {
			list = append(list, k)
		}
	}
	for len(list) > 0 && pause(ctx, between(rng, 500*time.Millisecond, 3*time.Second)) {
		list[rng.IntN(len(list))].play(ctx, f, rng)
	}
}

// apply enters an operator's command, again under the same id until it is answered.
func (f *field) apply(ctx context.Context, c rollout.Command) (rollout.Result, error) {
	f.mu.Lock()
	f.ids++
	c.ID, c.By = fmt.Sprintf("drill-%d", f.ids), "the drill"
	f.mu.Unlock()
	for {
		r, err := f.fleet.Client.Apply(c)
		if err == nil {
			return r, nil
		}
		if !pause(ctx, 100*time.Millisecond) {
			return r, ctx.Err()
		}
	}
}

// state is what the leader knows; nil where nobody leads.
func (f *field) state() *fleet.Status {
	if s, err := f.fleet.Client.Status(); err == nil && s.Leads {
		return &s
	}
	return nil
}

// drain takes an engine out by agreement, stops it once that is said to be safe, and brings it back as a new process.
func (f *field) drain(ctx context.Context, rng *rand.Rand) {
	d := f.engines[rng.IntN(len(f.engines))]
	var r rollout.Result
	for {
		var err error
		if r, err = f.apply(ctx, rollout.Command{Drain: &rollout.Holder{Name: d.name, Engine: true}}); err != nil {
			return
		}
		if r.Refusal == nil {
			break
		}
		f.opt.note("drain of %s refused: %v", d.name, r.Refusal)
		if !pause(ctx, time.Second) {
			return
		}
	}
	f.count("drains", 1)
	f.opt.note("drain %s, permit %d", d.name, r.Permit)
	began := time.Now()
	for {
		if s := f.state(); s != nil {
			if p := s.State.Permits[r.Permit]; p != nil && p.MayStop > 0 {
				break
			}
		}
		if !pause(ctx, 50*time.Millisecond) {
			return
		}
	}
	said := time.Now()
	f.count("drain_s", said.Sub(began).Seconds())
	f.opt.note("%s may be stopped, after %v", d.name, said.Sub(began).Round(time.Millisecond))
	pause(ctx, between(rng, 200*time.Millisecond, time.Second))
	f.mu.Lock()
	f.empty = append(f.empty, emptySpan{d.name, said, time.Now()})
	f.dead = append(f.dead, d.good, d.ng)
	f.mu.Unlock()
	d.good.Kill()
	d.ng.Kill()
	if err := f.startEngine(d); err != nil {
		f.opt.note("%v", err)
		return
	}
	f.tell(false, d)
}

func (f *field) startEngine(d *drained) error {
	good, err := engine.Start("127.0.0.1:0", engine.Options{Name: d.name, Cores: 4, Sessions: 64, Classes: stock})
	if err != nil {
		return fmt.Errorf("drill: %w", err)
	}
	spoilt := engine.Options{Name: d.name, Cores: 4, Sessions: 64, Classes: stock, Errs: 0.6}
	if f.opt.Bad == badSlow {
		spoilt.Errs, spoilt.Lag = 0, 700*time.Millisecond
	}
	ng, err := engine.Start("127.0.0.1:0", spoilt)
	if err != nil {
		return fmt.Errorf("drill: %w", err)
	}
	f.mu.Lock()
	d.good, d.ng, d.since = good, ng, time.Now().UnixMilli()
	f.mu.Unlock()
	return nil
}

// tell writes engines to both change logs.
func (f *field) tell(complete bool, list ...*drained) {
	var good, ng []changelog.Endpoint
	for _, d := range list {
		e := changelog.Endpoint{Name: d.name, Address: d.good.Addr, Zone: rolloutRooms[int(d.name[1])%3], Type: "std-4", Status: "ready", SinceMS: d.since}
		good = append(good, e)
		e.Address = d.ng.Addr
		ng = append(ng, e)
	}
	f.log.Tell(complete, good...)
	f.bad.Tell(complete, ng...)
}

func (f *field) count(name string, n float64) {
	f.mu.Lock()
	f.figures[name] += n
	f.mu.Unlock()
}

// release brings the fleet to a revision; a release that is halted is resumed where resume is set, and taken back else.
func (f *field) release(ctx context.Context, revision string, resume bool) {
	s := rollout.Start{Revision: revision, Waves: []float64{0.05, 0.5, 1}, Soak: 5 * time.Second}
	if f.opt.Seconds < 20 { // the short form
		s.Waves, s.Soak = []float64{0.05, 1}, 3*time.Second
	}
	var number uint64
	for {
		r, err := f.apply(ctx, rollout.Command{Start: &s})
		if err != nil {
			return
		}
		if number = r.Release; r.Refusal == nil {
			break
		}
		if !pause(ctx, 500*time.Millisecond) {
			return
		}
	}
	f.opt.note("release %d to %s", number, revision)
	began := time.Now()
	for back := false; pause(ctx, 100*time.Millisecond); {
		st := f.state()
		if st == nil || st.State.Release == nil || st.State.Release.Number != number {
			continue
		}
		switch rel := st.State.Release; {
		case rel.State == rollout.Done:
			f.count("release_s_"+revision, time.Since(began).Seconds())
			f.opt.note("release %d ended, back %v, after %v", number, rel.Back, time.Since(began).Round(time.Millisecond))
			return
		case rel.State == rollout.Halted && !back:
			acknowledged := time.Now()
			f.count("halts_"+revision, 1)
			f.opt.note("release %d halted: %s", number, rel.Cause)
			pause(ctx, 2*time.Second)
			f.mu.Lock()
			f.halts = append(f.halts, haltSpan{acknowledged, time.Now()})
			f.mu.Unlock()
			if resume {
				_, _ = f.apply(ctx, rollout.Command{Resume: &struct{}{}})
			} else {
				back = true
				_, _ = f.apply(ctx, rollout.Command{WayBack: &struct{}{}})
			}
		case !resume && !back && time.Since(began) > 30*time.Second && rel.State == rollout.Running:
			f.opt.note("the bad release was not halted by itself")
			f.count("halted_by_hand", 1)
			_, _ = f.apply(ctx, rollout.Command{Halt: &rollout.Halt{Cause: "the drill's patience"}})
		}
	}
}

var (
	stopping = regexp.MustCompile(`time=(\S+) .*msg=stopping .*?(exit=\d+)?$`)
	listing  = regexp.MustCompile(`time=(\S+) .*msg="engine listed" .*engine=(\S+) .*state=(\S+)`)
)

// line follows what a front end says: when it stops taking, and when the word of a drain has reached it.
func (f *field) line(m *rig.Member, text string) {
	if g := listing.FindStringSubmatch(text); g != nil {
		if at, err := time.Parse(time.RFC3339Nano, g[1]); err == nil {
			f.heard(m.Addr, g[2], g[3] != "ready", at)
		}
	}
	if g := stopping.FindStringSubmatch(text); g != nil {
		if at, err := time.Parse(time.RFC3339Nano, g[1]); err == nil {
			m.Left(at, g[2] != "")
		}
	}
}

// heard tells that a front end has just taken a word on an engine.
func (f *field) heard(addr, engine string, drains bool, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := f.drains[addr]
	if d == nil {
		d = &Drains{}
		f.drains[addr] = d
	}
	if drains {
		d.Told(engine, at)
	} else {
		d.Lifted(engine, at)
	}
}

// toldBy is what the front end that had a request was told of drains, by the request's id. Front ends hear of a drain at
// different times: what one did after its own word is held against that.
func (f *field) toldBy(requests []Request) func(id string) *Drains {
	by := make(map[string]*Drains, len(requests))
	for _, r := range requests {
		by[r.ID] = f.drains[r.Addr]
	}
	return func(id string) *Drains { return by[id] }
}

// facts are the settings of one front end of so many.
func rolloutFacts(m *rig.Member, all int) string {
	s := strings.Replace(Facts, `"locality":"room-a","me":0,"replicas_of_me":1`, fmt.Sprintf(`"locality":%q,"me":%d,"replicas_of_me":%d`, m.Room, m.Number, all), 1)
	return strings.Replace(s, `"zones":["room-a"]`, `"zones":["room-a","room-b","room-c"]`, 1)
}

// open starts stand-ins and front ends, and returns once the fleet has agreed on the drill's budgets. close ends all.
func open(ctx context.Context, o Options) (opened *field, close func(), err error) {
	var closers []func()
	close = func() {
		for _, c := range slices.Backward(closers) {
			c()
		}
	}
	defer func() {
		if err != nil {
			close()
		}
	}()
	dir, err := os.MkdirTemp("", "drill")
	if err != nil {
		return nil, close, fmt.Errorf("drill: %w", err)
	}
	closers = append(closers, func() { os.RemoveAll(dir) })
	f := &field{opt: o, net: rig.NewNet(o.Seed), busy: map[string]bool{}, figures: map[string]float64{}, drains: map[string]*Drains{}}
	closers = append(closers, f.net.Close)
	for _, l := range []**changelog.Log{&f.log, &f.bad} {
		if *l, err = changelog.Start("127.0.0.1:0"); err != nil {
			return nil, close, fmt.Errorf("drill: %w", err)
		}
		closers = append(closers, (*l).Close)
	}
	closers = append(closers, func() {
		for _, d := range f.engines {
			d.good.Kill()
			d.ng.Kill()
		}
	})
	for i := range o.Engines {
		d := &drained{name: fmt.Sprintf("e%d", i)}
		if err := f.startEngine(d); err != nil {
			return nil, close, err
		}
		d.since = 0 // it has run for long
		f.engines = append(f.engines, d)
	}
	f.tell(true, f.engines...)
	starts := map[string]int{}
	var mu sync.Mutex
	f.fleet, err = rig.NewFleet(rig.Options{Members: o.Fronts, Rooms: rolloutRooms, Keepers: 3, Dir: dir, Net: f.net, Note: o.note,
		Start: func(m *rig.Member, revision, part string) (rig.Front, error) {
			mu.Lock()
			starts[m.Name]++
			own := filepath.Join(dir, fmt.Sprintf("%s-%d", m.Name, starts[m.Name]))
			mu.Unlock()
			if err := os.Mkdir(own, 0o700); err != nil {
				return nil, err
			}
			source := f.log.Addr
			if revision == "bad" {
				source = f.bad.Addr
			}
			front, err := StartFront(FrontOptions{Program: o.Program, Dir: own, Name: m.Name, Listen: m.Addr, ChangeLog: source,
				MemoryMB: 192, Sockets: 1024, Facts: rolloutFacts(m, o.Fronts), Settings: `{"schema":1,"fleet":` + part + `}`,
				Line: func(text string) { f.line(m, text) }})
			if err != nil {
				return nil, err
			}
			return front, nil
		}})
	if err != nil {
		return nil, close, err
	}
	closers = append(closers, f.fleet.Stop)
	if err = f.fleet.Start(ctx, "r1"); err != nil {
		return nil, close, err
	}
	return f, close, f.begin(ctx)
}

func runRollout(ctx context.Context, o Options) (*Report, error) {
	if o.Fronts == 0 {
		o.Fronts = rolloutFronts
	}
	f, end, err := open(ctx, o)
	if err != nil {
		return nil, err
	}
	defer end()
	play, enough := context.WithCancel(ctx)
	defer enough()
	var players, actors sync.WaitGroup
	for i, links := range []bool{false, false, true} {
		players.Add(1)
		go func() {
			defer players.Done()
			f.play(play, rand.New(rand.NewPCG(o.Seed, uint64(10+i))), links)
		}()
	}
	actors.Add(2)
	long := time.Duration(o.Seconds) * time.Second
	act, late := context.WithTimeout(ctx, long+90*time.Second)
	defer late()
	go func() {
		defer actors.Done()
		f.release(act, "r2", true)
		f.release(act, "bad", false)
	}()
	go func() {
		defer actors.Done()
		rng := rand.New(rand.NewPCG(o.Seed, 30))
		for range 3 {
			pause(act, between(rng, time.Second, 4*time.Second))
			f.drain(act, rng)
		}
	}()
	load := &Load{Rate: o.Rate, Classes: Classes, Rand: rand.New(rand.NewPCG(o.Seed, 2)), Pick: f.pick(), Lost: f.lost}
	began := time.Now()
	go f.measure(play)
	go func() {
		for i := 1; i <= o.Seconds; i++ {
			if !pause(play, time.Until(began.Add(time.Duration(i)*time.Second))) {
				return
			}
			if o.Step != nil {
				o.Step(i, o.Seconds)
			}
		}
	}()
	loadCtx, loadEnd := context.WithCancel(ctx)
	defer loadEnd()
	over := make(chan []Request, 1)
	go func() { over <- load.Run(loadCtx, long+5*time.Minute) }()
	pause(ctx, long)
	enough()
	players.Wait() // faults leave all well again
	f.net.Each(func(string, string) bool { return true }, func(l *rig.Link) { l.Set(rig.Trouble{}) })
	actors.Wait()
	settled := f.settled(ctx)
	f.cpu()
	loadEnd()
	requests := <-over
	ended := time.Now()
	f.fleet.Stop()
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return f.report(requests, load.surplus, settled, began, ended), nil
}

// measure tells what words between members cost, at rest and while a release is under way.
func (f *field) measure(ctx context.Context) {
	bytes, messages := f.net.Traffic()
	at := time.Now()
	sums := map[string][3]float64{}
	for pause(ctx, 500*time.Millisecond) {
		b, m := f.net.Traffic()
		long := time.Since(at).Seconds()
		kind := "rest"
		if s := f.state(); s == nil {
			kind = "" // nothing is known
		} else if r := s.State.Release; r != nil && r.State != rollout.Done {
			kind = "release"
		}
		v := sums[kind]
		sums[kind] = [3]float64{v[0] + float64(b-bytes), v[1] + float64(m-messages), v[2] + long}
		bytes, messages, at = b, m, time.Now()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, kind := range []string{"rest", "release"} {
		if v := sums[kind]; v[2] > 0 {
			f.figures["bytes_member_s_"+kind] = v[0] / v[2] / float64(f.opt.Fronts)
			f.figures["messages_member_s_"+kind] = v[1] / v[2] / float64(f.opt.Fronts)
		}
	}
}

// cpu tells the share of a core that the leader's process takes, beside the median of those that keep no log.
func (f *field) cpu() {
	s := f.state()
	if s == nil {
		return
	}
	var others []float64
	for _, m := range f.fleet.Members {
		list := m.Processes()
		p := list[len(list)-1]
		share := CPUSeconds(m.Pid()) / time.Since(p.Started).Seconds()
		if m.Name == s.Keeper {
			f.count("cpu_leader", share)
		} else if !m.Keeps {
			others = append(others, share)
		}
	}
	if slices.Sort(others); len(others) > 0 {
		f.count("cpu_member", others[len(others)/2])
	}
}

// begin lets the keepers begin, and agrees on the budgets of the drill.
func (f *field) begin(ctx context.Context) error {
	var last error
	for range 200 {
		if last = f.fleet.Client.Init(); last == nil || errors.As(last, new(*fleet.RefusedError)) {
			break
		}
		if !pause(ctx, 50*time.Millisecond) {
			return ctx.Err()
		}
	}
	set := rollout.Defaults()
	set.FrontEnds, set.WayBack = rollout.Budget{Most: mostOut, RoomMost: mostInRoom}, rollout.Budget{Most: mostOut, RoomMost: mostInRoom}
	set.Engines, set.NotBack, set.Judge.Least = rollout.Budget{Most: 1}, 25*time.Second, 200
	set.CrashLoop, set.Judge.Dispersion = 4, 1 // failures here come one by one
	if f.opt.Policy == "unjudged" {
		set.Judge.Alpha = 1e-300
	}
	if _, err := f.apply(ctx, rollout.Command{Configure: &set}); err != nil {
		return fmt.Errorf("drill: no keeper leads: %w (%w)", err, last)
	}
	for range 400 {
		if s := f.state(); s != nil && len(s.Servers) == 3 {
			in := 0
			for _, m := range s.State.Members {
				if m.Phase == rollout.Serving && !m.Doubted {
					in++
				}
			}
			if in == f.opt.Fronts && len(s.State.Engines) == f.opt.Engines {
				return nil
			}
		}
		if !pause(ctx, 50*time.Millisecond) {
			return ctx.Err()
		}
	}
	return errors.New("drill: the fleet does not come together")
}

// settled waits until all members serve on the revision that the log names; what is missing otherwise.
func (f *field) settled(ctx context.Context) (missing []string) {
	for range 400 {
		missing = []string{"nobody leads"}
		if s := f.state(); s != nil {
			missing = nil
			for _, m := range f.fleet.Members {
				o := s.State.Members[m.Name]
				list := m.Processes()
				switch p := list[len(list)-1]; {
				case o == nil || o.Phase != rollout.Serving || o.Doubted || !m.Up():
					missing = append(missing, m.Name+" does not serve")
				case o.Revision != o.Wanted || p.Revision != o.Wanted:
					missing = append(missing, fmt.Sprintf("%s runs %s, and %s is agreed", m.Name, p.Revision, o.Wanted))
				case s.State.Release == nil || s.State.Release.State != rollout.Done:
					missing = append(missing, "a release is under way")
				}
			}
		}
		if len(missing) == 0 {
			return nil
		}
		if !pause(ctx, 100*time.Millisecond) {
			return missing
		}
	}
	return missing
}

// pick is the front layer: it knows who listens, a little late, and spreads evenly.
func (f *field) pick() func() string {
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(f.opt.Seed, 3))
	return func() string {
		mu.Lock()
		defer mu.Unlock()
		for range 50 {
			if m := f.fleet.Members[rng.IntN(len(f.fleet.Members))]; m.Takes() {
				return m.Addr
			}
		}
		return f.fleet.Members[0].Addr
	}
}

func (f *field) lost(addr string, from, to time.Time) bool {
	for _, m := range f.fleet.Members {
		if m.Addr == addr {
			return m.Disturbed(from, to)
		}
	}
	return false
}

// judged are the requests that the rules hold for: not those whose front end was lost with them, and those that were answered
// late by one that stood still without their time. What was not answered at all stays a violation.
func judged(requests []Request, lost func(addr string, from, to time.Time) bool) (out []Request) {
	for _, r := range requests {
		if r.Outcome == WithFront {
			continue
		}
		if r.Outcome != Unanswered && lost(r.Addr, r.Due, r.Due.Add(r.Latency)) {
			r.Latency = 0
		}
		out = append(out, r)
	}
	return out
}

// report holds what was seen against the rules.
func (f *field) report(requests []Request, surplus, missing []string, began, ended time.Time) *Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	var runs []engine.Execution
	for _, d := range f.engines {
		runs = append(runs, append(d.good.Executions(), d.ng.Executions()...)...)
	}
	for _, e := range f.dead {
		runs = append(runs, e.Executions()...)
	}
	violations := Check(Classes, judged(requests, f.lost), runs, f.toldBy(requests), surplus)
	violate := func(rule string, at time.Time, format string, a ...any) {
		violations = append(violations, Violation{rule, at, "", fmt.Sprintf(format, a...)})
	}
	for _, x := range runs {
		for _, e := range f.empty {
			if x.Engine == e.engine && x.Sent.Before(e.to) && (x.Sent.After(e.from) || (x.Sent.Before(e.from) && (x.Ended.IsZero() || x.Ended.After(e.from.Add(50*time.Millisecond))))) {
				violate(NotEmpty, x.Sent, "%s ran %s until %v, and was said to be empty at %s", e.engine, x.ID, x.Ended.Sub(e.from), e.from.Format("15:04:05.000"))
			}
		}
	}
	exposed := map[string]bool{}
	for _, m := range f.fleet.Members {
		for _, p := range m.Processes() {
			f.figures["starts"]++
			if p.Revision == "bad" && !p.Ready.IsZero() {
				exposed[m.Name] = true
			}
			if p.Fault != "" {
				violate(Crashes, p.Ended, "%s: %s", p.Member, p.Fault)
			}
			if !p.Ended.IsZero() && !p.Killed && p.Code != 0 && p.Code != 75 && p.Code != 76 {
				violate(Crashes, p.Ended, "%s ended by itself with code %d", p.Member, p.Code)
			}
			if !p.Chosen || p.Left.IsZero() {
				continue
			}
			f.figures["went_out"]++
			for _, h := range f.halts {
				if p.Left.After(h.from) && p.Left.Before(h.to) {
					violate(AfterHalt, p.Left, "%s went out %v after a halt was acknowledged", p.Member, p.Left.Sub(h.from))
				}
			}
			var out, inRoom []string
			for _, o := range f.fleet.Members {
				if o == m {
					continue
				}
				is, by, since := o.Out(p.Left)
				if is && (by || p.Left.Sub(since) > outSeen) {
					out = append(out, o.Name)
					if o.Room == m.Room {
						inRoom = append(inRoom, o.Name)
					}
				}
			}
			if len(out) >= mostOut || len(inRoom) >= mostInRoom {
				violate(OverBudget, p.Left, "%s went out while %s were out, %s of its room", p.Member, strings.Join(out, " "), strings.Join(inRoom, " "))
			}
		}
	}
	for _, m := range missing {
		violate(WrongRevision, ended, "%s", m)
	}
	slices.SortStableFunc(violations, func(a, b Violation) int { return cmp.Compare(a.At.UnixNano(), b.At.UnixNano()) })
	for _, r := range requests {
		f.figures[string(r.Outcome)]++
	}
	f.figures["requests"] = float64(len(requests))
	f.figures["executions"] = float64(len(runs))
	f.figures["exposed_to_bad"] = float64(len(exposed))
	f.figures["service"] = Service(Classes, requests, began, ended)
	f.figures["seconds"] = ended.Sub(began).Seconds()
	return newReport("rollout", f.opt.Seed, violations, f.figures)
}
