package faulttest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"beechcart/internal/fake/consul"
	"beechcart/internal/fake/engine"
)

// Catalogue plays a Consul that is slow, wrong, flapping or gone.
var Catalogue = Drill{
	Name:     "catalogue",
	Short:    "A Consul catalogue that is slow, wrong, flapping or gone, with engines that drain, die and move",
	Kinds:    kinds(),
	Policies: []string{"naive"},
	Run:      runCatalogue,
}

// service is the name that the engines are registered under.
const service = "engine"

// ward is the fleet of a drill: engines, and what the catalogue tells of them.
type ward struct {
	opt    Options
	cat    *consul.Server
	drains Drains

	mu      sync.Mutex
	engines []*unit
	dead    []*engine.Engine
	wrote   map[string]time.Time // when a change of an engine was written to the catalogue
	seen    *hdrhistogram.Histogram
	ready   map[string]bool // by what the front end has logged
	gaps    []Violation
	changes int
}

// player plays faults one after the other, from a stream of random numbers of its own: the script of a seed does not
// depend on how players come to run.
type player struct {
	*ward
	rng *rand.Rand
}

// unit is one engine of the fleet, through all its processes.
type unit struct {
	name     string
	e        *engine.Engine
	process  int
	busy     bool // a fault has it in hand
	failing  bool
	draining bool
}

var stock = map[string]engine.Class{
	"lookup": {Work: 20 * time.Millisecond, Threads: 1},
	"report": {Work: 200 * time.Millisecond, Threads: 2, Pages: 2, Rows: 3},
	"load":   {Work: 300 * time.Millisecond, Threads: 2},
}

func (w *ward) start(u *unit) error {
	e, err := engine.Start("127.0.0.1:0", engine.Options{Name: u.name, Cores: 4, MaxQueries: 64, Classes: stock})
	if err != nil {
		return fmt.Errorf("drill: %w", err)
	}
	u.process++
	u.e = e
	return nil
}

// register writes a unit as it is into the catalogue.
func (w *ward) register(u *unit) {
	w.cat.Register(consul.Node{Node: "n-" + u.name, Address: u.e.Host()}, consul.Service{ID: u.name, Service: service, Port: u.e.Port(),
		Meta: map[string]string{"zone": "room-a", "kind": "std-4", "start": strconv.Itoa(u.process)}}, consul.Check{CheckID: "service:" + u.name, Status: statusOf(!u.failing)})
}

func (w *ward) status(u *unit, passing bool) {
	w.mu.Lock()
	u.failing = !passing
	w.mu.Unlock()
	w.write(u)
	w.check(u, passing)
}

// check writes the state of a unit's check into the catalogue.
func (w *ward) check(u *unit, passing bool) {
	w.cat.SetStatus("n-"+u.name, "service:"+u.name, statusOf(passing), "")
}

func statusOf(passing bool) string {
	if passing {
		return "passing"
	}
	return "critical"
}

// write remembers when a change of a unit is told to the catalogue.
func (w *ward) write(u *unit) {
	w.mu.Lock()
	w.wrote[u.name] = time.Now()
	w.mu.Unlock()
}

func (w *ward) drain(u *unit, on bool) {
	w.mu.Lock()
	u.draining = on
	w.mu.Unlock()
	if !on {
		w.drains.Lifted(u.name, time.Now())
	}
	w.write(u)
	w.cat.SetMaintenance("n-"+u.name, u.name, consul.Maintenance{Enabled: on, Reason: "drill"})
}

// take picks a unit that no other fault has in hand; nil where too few would be left.
func (w *player) take() *unit {
	w.mu.Lock()
	defer w.mu.Unlock()
	var free []*unit
	for _, u := range w.engines {
		if !u.busy {
			free = append(free, u)
		}
	}
	if len(free) <= len(w.engines)/2 {
		return nil
	}
	u := free[w.rng.IntN(len(free))]
	u.busy = true
	return u
}

func (w *ward) give(u *unit) {
	w.mu.Lock()
	u.busy = false
	w.mu.Unlock()
}

// draw is a time between both, drawn from the seed.
func (w *player) draw(low, high time.Duration) time.Duration {
	return between(w.rng, low, high)
}

// fault is one kind of trouble: it plays out, and leaves all well again.
type fault struct {
	name   string
	engine bool // it needs an engine of its own; others are the catalogue's, and run one at a time
	play   func(ctx context.Context, w *player, u *unit)
}

var faults = []fault{
	{"flap", true, func(ctx context.Context, w *player, u *unit) {
		every := w.draw(100*time.Millisecond, 2500*time.Millisecond)
		for end := time.Now().Add(w.draw(2*time.Second, 8*time.Second)); time.Now().Before(end); {
			w.status(u, false)
			ok := pause(ctx, every)
			w.status(u, true)
			if !ok || !pause(ctx, every) {
				return
			}
		}
	}},
	{"drain", true, func(ctx context.Context, w *player, u *unit) {
		w.drain(u, true)
		pause(ctx, w.draw(time.Second, 6*time.Second))
		w.drain(u, false)
	}},
	{"restart", true, func(ctx context.Context, w *player, u *unit) {
		w.retire(u)
		pause(ctx, w.draw(50*time.Millisecond, 500*time.Millisecond))
		w.status(u, false)
		pause(ctx, w.draw(100*time.Millisecond, 2*time.Second))
		w.renew(u)
	}},
	{"move", true, func(ctx context.Context, w *player, u *unit) {
		// Deregistered and registered at another address, at times within one read.
		w.drain(u, true)
		pause(ctx, w.draw(600*time.Millisecond, 2*time.Second))
		w.cat.Deregister("n-"+u.name, u.name)
		if w.draw(0, time.Second) > 500*time.Millisecond {
			pause(ctx, w.draw(0, time.Second))
		}
		w.retire(u)
		w.drain(u, false)
		w.renew(u)
	}},
	{"stall", true, func(ctx context.Context, w *player, u *unit) {
		for range 3 {
			goOn := u.e.Pause()
			ok := pause(ctx, w.draw(100*time.Millisecond, 350*time.Millisecond))
			goOn()
			if !ok || !pause(ctx, w.draw(500*time.Millisecond, 2*time.Second)) {
				return
			}
		}
	}},
	{"flap-all", false, func(ctx context.Context, w *player, _ *unit) {
		every := w.draw(200*time.Millisecond, time.Second)
		for range 4 {
			for _, passing := range []bool{false, true} {
				w.mu.Lock()
				all := slices.Clone(w.engines)
				w.mu.Unlock()
				for _, u := range all {
					w.mu.Lock()
					well := passing && !u.failing
					w.mu.Unlock()
					w.check(u, well)
				}
				pause(ctx, every) // the end of the drill cuts the pauses short; the last word is passing all the same
			}
		}
	}},
	{"empty", false, faulty(func(w *player) consul.Faults { return consul.Faults{Empty: true} }, time.Second, 10*time.Second)},
	{"partial", false, faulty(func(w *player) consul.Faults { return consul.Faults{MaxInstances: 1 + int(w.draw(0, 2))} }, 500*time.Millisecond, 6*time.Second)},
	{"slow", false, faulty(func(w *player) consul.Faults {
		return consul.Faults{Delay: w.draw(200*time.Millisecond, 4*time.Second)}
	}, time.Second, 6*time.Second)},
	{"hang", false, faulty(func(w *player) consul.Faults { return consul.Faults{Hang: true} }, time.Second, 8*time.Second)},
	{"no-leader", false, faulty(func(w *player) consul.Faults { return consul.Faults{Status: 500} }, time.Second, 5*time.Second)},
	{"too-many", false, faulty(func(w *player) consul.Faults { return consul.Faults{Status: 429} }, 500*time.Millisecond, 3*time.Second)},
	{"stale", false, faulty(func(w *player) consul.Faults {
		return consul.Faults{Stale: true, LastContact: w.draw(0, 5*time.Second)}
	}, time.Second, 6*time.Second)},
	{"back", false, faulty(func(w *player) consul.Faults { return consul.Faults{IndexRollback: 1 + uint64(w.draw(0, 500))} }, 500*time.Millisecond, 4*time.Second)},
	{"half", false, faulty(func(w *player) consul.Faults { return consul.Faults{Truncated: true} }, 500*time.Millisecond, 3*time.Second)},
	{"garbage", false, faulty(func(w *player) consul.Faults { return consul.Faults{Malformed: true} }, 500*time.Millisecond, 3*time.Second)},
	{"denied", false, func(ctx context.Context, w *player, _ *unit) {
		w.cat.SetTokens("another")
		pause(ctx, w.draw(500*time.Millisecond, 3*time.Second))
		w.cat.SetTokens()
	}},
}

// faulty sets faults of the catalogue for a while.
func faulty(f func(*player) consul.Faults, low, high time.Duration) func(context.Context, *player, *unit) {
	return func(ctx context.Context, w *player, _ *unit) {
		w.cat.SetFaults(f(w))
		pause(ctx, w.draw(low, high))
		w.cat.SetFaults(consul.Faults{})
	}
}

func kinds() (names []string) {
	for _, f := range faults {
		names = append(names, f.name)
	}
	return names
}

// retire kills the process of a unit.
func (w *ward) retire(u *unit) {
	u.e.Kill()
	w.mu.Lock()
	w.dead = append(w.dead, u.e)
	w.mu.Unlock()
}

// renew starts a new process of a unit and registers it as well.
func (w *ward) renew(u *unit) {
	if err := w.start(u); err != nil {
		w.opt.note("%v", err)
		return
	}
	w.mu.Lock()
	u.failing = false
	w.mu.Unlock()
	w.register(u)
}

// play draws faults one after the other until ctx ends.
func (w *player) play(ctx context.Context, engines bool) {
	var list []fault
	for _, f := range faults {
		if f.engine == engines && w.opt.plays(f.name) {
			list = append(list, f)
		}
	}
	for len(list) > 0 && pause(ctx, w.draw(200*time.Millisecond, 1500*time.Millisecond)) {
		f := list[w.draw(0, time.Duration(len(list)-1))]
		var u *unit
		if engines {
			if u = w.take(); u == nil {
				continue
			}
			w.opt.note("%s of %s", f.name, u.name)
		} else {
			w.opt.note("%s", f.name)
		}
		f.play(ctx, w, u)
		if u != nil {
			w.give(u)
		}
	}
}

// line follows what the front end logs of its list: instants with nobody ready, and how soon changes arrive.
func (w *ward) line(text string) {
	l, ok := ParseListed(text)
	if !ok {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.changes++
	was := w.readyCount()
	w.ready[l.Name] = l.State == "ready"
	// The lines of one list come one by one: what is nobody between two of them is no instant with nobody.
	if n := len(w.gaps); n > 0 && w.readyCount() > 0 && l.At.Sub(w.gaps[n-1].At) < 3*time.Millisecond {
		w.gaps = w.gaps[:n-1]
	}
	if wrote, ok := w.wrote[l.Name]; ok {
		delete(w.wrote, l.Name)
		if d := time.Since(wrote); d >= 0 && w.opt.Faults == "drain" {
			_ = w.seen.RecordValue(d.Microseconds())
		}
	}
	if was > 0 && w.readyCount() == 0 {
		w.gaps = append(w.gaps, Violation{NoEngine, l.At, "", "the front end has no engine left"})
	}
}

func (w *ward) readyCount() (n int) {
	for _, r := range w.ready {
		if r {
			n++
		}
	}
	return n
}

func runCatalogue(ctx context.Context, o Options) (*Report, error) {
	dir, err := os.MkdirTemp("", "drill")
	if err != nil {
		return nil, fmt.Errorf("drill: %w", err)
	}
	defer os.RemoveAll(dir)
	w := &ward{opt: o, wrote: map[string]time.Time{}, ready: map[string]bool{},
		seen: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
	if w.cat, err = consul.Start("127.0.0.1:0", nil); err != nil {
		return nil, fmt.Errorf("drill: %w", err)
	}
	defer w.cat.Close()
	for i := range o.Engines {
		u := &unit{name: fmt.Sprintf("e%d", i)}
		if err := w.start(u); err != nil {
			return nil, err
		}
		w.engines = append(w.engines, u)
		w.register(u)
	}
	defer func() {
		for _, u := range w.engines {
			u.e.Kill()
		}
	}()
	w.cat.OnAnswer(func(_ string, list []consul.Instance) {
		now := time.Now()
		w.mu.Lock()
		inForce := map[string]bool{} // a stale answer may tell a drain that was lifted: that is no command
		for _, u := range w.engines {
			inForce[u.name] = u.draining
		}
		w.mu.Unlock()
		for _, in := range list {
			if inForce[in.Service.ID] && slices.ContainsFunc(in.Checks, func(c consul.Check) bool { return strings.HasPrefix(c.CheckID, "_service_maintenance:") }) {
				w.drains.Told(in.Service.ID, now)
			}
		}
	})
	front := FrontOptions{Program: o.Program, Dir: dir, Name: "n0", MemoryMB: 192, Sockets: 1024, Line: w.line}
	if o.Policy == "naive" {
		naive, err := newNaive(w.cat.Addr)
		if err != nil {
			return nil, err
		}
		defer naive.close()
		front.ChangeLog = naive.log.Addr
	} else {
		front.Settings = fmt.Sprintf(`{"schema":1,"source":"consul","consul":{"addresses":[%q],"service":%q,"hold_ms":2000}}`, w.cat.Addr, service)
	}
	f, err := StartFront(front)
	if err != nil {
		return nil, err
	}
	if !w.settled(ctx, o.Engines) {
		return nil, fmt.Errorf("drill: the front end has not taken the list: %w\n%s", f.Stop(), f.Log())
	}
	play, enough := context.WithCancel(ctx)
	var players sync.WaitGroup
	for i, engines := range []bool{true, true, false} {
		p := &player{w, rand.New(rand.NewPCG(o.Seed, uint64(10+i)))}
		players.Add(1)
		go func() {
			defer players.Done()
			p.play(play, engines)
		}()
	}
	load := &Load{Addrs: []string{f.Addr}, Rate: o.Rate, Classes: Classes, Rand: rand.New(rand.NewPCG(o.Seed, 2))}
	began := time.Now()
	progress := make(chan struct{})
	go func() {
		defer close(progress)
		showProgress(play, began, o)
	}()
	requests := load.Run(ctx, time.Duration(o.Seconds)*time.Second)
	enough()
	players.Wait()
	<-progress
	usage := CPUSeconds(f.Pid())
	stopped := f.Stop()
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}

	var runs []engine.Execution
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, u := range w.engines {
		runs = append(runs, u.e.Executions()...)
	}
	for _, e := range w.dead {
		runs = append(runs, e.Executions()...)
	}
	violations := append(Check(Classes, requests, runs, func(string) *Drains { return &w.drains }, load.surplus), w.gaps...)
	if stopped != nil {
		violations = append(violations, Violation{Crashes, time.Now(), "", stopped.Error()})
	}
	sortByTime(violations)
	for at := began; at.Before(began.Add(time.Duration(o.Seconds) * time.Second)); at = at.Add(time.Second) {
		if v := Service(Classes, requests, at, at.Add(time.Second)); v < 0.9 {
			o.note("service %.2f in the second from %s", v, at.Format("15:04:05.000"))
		}
	}
	h := Latencies(requests, 0)
	figures := map[string]float64{
		"requests": float64(len(requests)), "executions": float64(len(runs)),
		"service":         Service(Classes, requests, began, began.Add(time.Duration(o.Seconds)*time.Second)),
		"lookup_p50_ms":   float64(h.ValueAtQuantile(50)) / 1000,
		"lookup_p99_ms":   float64(h.ValueAtQuantile(99)) / 1000,
		"list_changes":    float64(w.changes),
		"catalogue_reads": float64(w.cat.Reads()),
		"cpu_s":           usage,
	}
	if w.seen.TotalCount() > 0 {
		figures["told_p50_ms"] = float64(w.seen.ValueAtQuantile(50)) / 1000
		figures["told_p99_ms"] = float64(w.seen.ValueAtQuantile(99)) / 1000
		figures["told_count"] = float64(w.seen.TotalCount())
	}
	countOutcomes(figures, requests)
	return newReport("catalogue", o.Seed, violations, figures), nil
}

// settled waits until the front end has listed all engines.
func (w *ward) settled(ctx context.Context, n int) bool {
	for range 1000 {
		w.mu.Lock()
		have := w.readyCount()
		w.mu.Unlock()
		if have == n {
			return true
		}
		if !pause(ctx, 5*time.Millisecond) {
			return false
		}
	}
	return false
}
