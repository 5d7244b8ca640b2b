package bench

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sys/unix"

	"beechcart/internal/door"
	"beechcart/internal/drill"
	"beechcart/internal/standin/changelog"
	"beechcart/internal/standin/engine"
)

// PathOptions are what the measurement of the ordinary path takes.
type PathOptions struct {
	Program  string // a release build of the front end
	Counting string // one with the tag count; empty: copies are not counted
	Lookups  int    // in each count
	Engines  int
	Only     string // one scenario; empty: all
}

// Check tells which option can't be used.
func (o *PathOptions) Check() error {
	switch {
	case o.Lookups < 50 || o.Lookups > 1_000_000:
		return fmt.Errorf("lookups: found %d, allowed is 50 to 1000000", o.Lookups)
	case o.Engines < 1 || o.Engines > 64:
		return fmt.Errorf("engines: found %d, allowed is 1 to 64", o.Engines)
	case o.Only != "" && !slices.ContainsFunc(Scenarios, func(s Scenario) bool { return s.Name == o.Only }):
		return fmt.Errorf("only: found %q, allowed is one of the scenarios", o.Only)
	}
	return nil
}

// Scenario is one kind of request whose cost is counted.
type Scenario struct {
	Name  string
	class string
	wait  time.Duration
	fresh bool // each on a session of its own: connect, login and query in one, quit
}

// Scenarios are the kinds of request that Path counts.
var Scenarios = []Scenario{
	{"lookup", "lookup", 2500 * time.Millisecond, false},
	{"report", "report", 8 * time.Second, false},
	{"large", "load", 8 * time.Second, false},
	{"refusal", "lookup", 10 * time.Millisecond, false},
	{"session", "lookup", 2500 * time.Millisecond, true},
}

// results are the classes of the stand-in engines: 1 KB, 48 KB in 8 pages, 0.95 MB in 140 pages.
var results = map[string]engine.Class{
	"lookup": {Threads: 1, Rows: 42},
	"report": {Threads: 1, Rows: 240, Pages: 8},
	"load":   {Threads: 1, Rows: 200, Pages: 140},
}

// Counts are the costs of one request of a scenario.
type Counts map[string]float64

// house is a front end with all that it needs, and the door to its figures.
type house struct {
	log     *changelog.Log
	engines []*engine.Engine
	front   *drill.Front
	door    *door.Client // nil where the program has none
	dir     string
}

// build starts a front end on stand-in engines that answer at once. Probes are off: they are the controller's, by time
// and not by request, and would be counted as the request's.
func build(program string, engines, sockets int, settings string, withDoor bool) (h *house, err error) {
	h = &house{}
	defer func() {
		if err != nil {
			h.close()
		}
	}()
	if h.dir, err = os.MkdirTemp("", "bench"); err != nil {
		return nil, err
	}
	if h.log, err = changelog.Start("127.0.0.1:0"); err != nil {
		return nil, err
	}
	var list []changelog.Endpoint
	for i := range engines {
		e, err := engine.Start("127.0.0.1:0", engine.Options{Name: "s-0000000" + strconv.Itoa(i%10), Cores: 64, Sessions: 10_000, Classes: results})
		if err != nil {
			return nil, err
		}
		h.engines = append(h.engines, e)
		list = append(list, changelog.Endpoint{Name: fmt.Sprintf("s-%08x", i+1), Address: e.Addr, Zone: "room-a", Type: "std-4", Status: "ready"})
	}
	h.log.Tell(true, list...)
	ready := make(chan struct{}, 4096)
	o := drill.FrontOptions{Program: program, Dir: h.dir, Name: "n0", MemoryMB: 512, Sockets: sockets, ChangeLog: h.log.Addr, Settings: settings,
		Facts: strings.Replace(drill.Facts, `"probes":true`, `"probes":false`, 1),
		Line: func(text string) {
			if _, ok := drill.ParseListed(text); ok {
				ready <- struct{}{}
			}
		}}
	if withDoor {
		pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
		if err != nil {
			return nil, err
		}
		theirs := os.NewFile(uintptr(pair[1]), "door")
		defer theirs.Close()
		h.door = door.NewClient(os.NewFile(uintptr(pair[0]), "door"))
		o.Files, o.Env = []*os.File{theirs}, []string{door.Env + "=3"}
	}
	if h.front, err = drill.StartFront(o); err != nil {
		return nil, err
	}
	for range engines {
		select {
		case <-ready:
		case <-time.After(10 * time.Second):
			return nil, errors.New("bench: the front end has not taken its list")
		}
	}
	return h, nil
}

func (h *house) close() {
	if h.door != nil {
		h.door.Close()
	}
	if h.front != nil {
		_ = h.front.Stop()
	}
	for _, e := range h.engines {
		e.Kill()
	}
	if h.log != nil {
		h.log.Close()
	}
	_ = os.RemoveAll(h.dir)
}

var lastID uint64

// statement is a query of a scenario under a new id.
func (s Scenario) statement(id uint64) string {
	return fmt.Sprintf("/* c=%s,i=%016x,d=%d,t=south-grain,h=20.0,need_mb=16 */ SELECT a FROM sales_%d.orders", s.class, id, s.wait.Milliseconds(), id%20)
}

// one makes one request and checks its answer.
func (s Scenario) one(ses **drill.Session, addr string, id uint64) error {
	deadline := time.Now().Add(s.wait + 5*time.Second)
	var rows [][]string
	var err error
	if s.fresh {
		rows, err = drill.OneQuery(addr, s.statement(id), deadline)
	} else {
		if *ses == nil {
			if *ses, err = drill.Dial(addr, 3*time.Second); err != nil {
				return err
			}
		}
		rows, err = (*ses).Query(s.statement(id), deadline)
	}
	var refused *drill.ServerError
	switch {
	case s.Name == "refusal":
		if !errors.As(err, &refused) || !refused.Harmless() {
			return fmt.Errorf("bench: %s: not refused: %w", s.Name, err)
		}
		return nil
	case err != nil:
		return fmt.Errorf("bench: %s: %w", s.Name, err)
	}
	kind := results[s.class]
	if want := max(1, kind.Pages) * max(1, kind.Rows); len(rows) != want {
		return fmt.Errorf("bench: %s: %d rows in place of %d", s.Name, len(rows), want)
	}
	return nil
}

// repeat makes n requests one after the other.
func (s Scenario) repeat(ctx context.Context, ses **drill.Session, addr string, n int) error {
	for range n {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		lastID++
		if err := s.one(ses, addr, 1<<40+lastID); err != nil {
			return err
		}
	}
	return nil
}

// repeats is how many requests of a scenario make one count: large ones are fewer.
func (s Scenario) repeats(lookups int) int {
	switch s.Name {
	case "report":
		return max(20, lookups/5)
	case "large":
		return max(10, lookups/50)
	}
	return lookups
}

// resultBytes are the bytes of one result, as the engine made them.
func (s Scenario) resultBytes() float64 {
	kind := results[s.class]
	n := 0
	for i := range max(1, kind.Pages) * max(1, kind.Rows) {
		n += 16 + 1 + len("s-00000000") + 1 + len(strconv.Itoa(i)) + 1
	}
	return float64(n)
}

// Path counts what one request of each scenario costs: allocations and bytes allocated, and bytes copied for each byte
// of the result. Costs that come by time are measured while nothing is asked, and taken off.
func Path(ctx context.Context, o PathOptions, step func(string)) (map[string]Counts, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	out := map[string]Counts{}
	for _, s := range Scenarios {
		if o.Only != "" && s.Name != o.Only {
			continue
		}
		step(s.Name)
		c, err := o.count(ctx, s)
		if err != nil {
			return nil, err
		}
		out[s.Name] = c
	}
	return out, nil
}

func (o *PathOptions) count(ctx context.Context, s Scenario) (Counts, error) {
	h, err := build(o.Program, o.Engines, 1024, "", true)
	if err != nil {
		return nil, err
	}
	defer h.close()
	var ses *drill.Session
	defer func() { ses.Close() }()
	n := s.repeats(o.Lookups)
	if err := s.repeat(ctx, &ses, h.front.Addr, max(50, n/2)); err != nil { // pools are full and trust is earned by then
		return nil, err
	}
	c := Counts{}
	if err := h.heap(ctx, c, n, func() error { return s.repeat(ctx, &ses, h.front.Addr, n) }); err != nil {
		return nil, err
	}
	_, c["peak_mb"] = resident(h.front.Pid())
	if o.Counting == "" {
		return c, nil
	}
	counting, err := build(o.Counting, o.Engines, 1024, "", true)
	if err != nil {
		return nil, err
	}
	defer counting.close()
	var other *drill.Session
	defer func() { other.Close() }()
	before, err := counting.door.Ask()
	if err != nil {
		return nil, err
	}
	if err := s.repeat(ctx, &other, counting.front.Addr, n); err != nil {
		return nil, err
	}
	after, err := counting.door.Ask()
	if err != nil {
		return nil, err
	}
	if after.Copies == nil {
		return nil, fmt.Errorf("bench: %s does not count copies: build it with -tags count", o.Counting)
	}
	if s.Name != "refusal" {
		total := 0.0
		for place, v := range after.Copies {
			per := float64(v-before.Copies[place]) / float64(n) / s.resultBytes()
			if place != "statement" && place != "call" {
				c["copied_"+place] = per
				total += per
			}
		}
		c["copied"] = total
	}
	return c, nil
}

// still is how long the costs that come by time are measured.
const still = 1500 * time.Millisecond

// heap counts allocations of n requests.
func (h *house) heap(ctx context.Context, c Counts, n int, run func() error) error {
	var f [4]door.Figures
	ask := func(i int) (err error) {
		f[i], err = h.door.Ask()
		return err
	}
	// The first two asks tell what an ask costs, the next what time costs.
	if err := errors.Join(ask(0), ask(0), ask(1)); err != nil { // the very first costs more than the others
		return err
	}
	asked, askedBytes := float64(f[1].Mallocs-f[0].Mallocs), float64(f[1].Bytes-f[0].Bytes)
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(still):
	}
	if err := ask(2); err != nil {
		return err
	}
	perS, bytesPerS := (float64(f[2].Mallocs-f[1].Mallocs)-asked)/still.Seconds(), (float64(f[2].Bytes-f[1].Bytes)-askedBytes)/still.Seconds()
	began := time.Now()
	if err := run(); err != nil {
		return err
	}
	took := time.Since(began).Seconds()
	if err := ask(3); err != nil {
		return err
	}
	c["allocs"] = (float64(f[3].Mallocs-f[2].Mallocs) - asked - perS*took) / float64(n)
	c["alloc_bytes"] = (float64(f[3].Bytes-f[2].Bytes) - askedBytes - bytesPerS*took) / float64(n)
	c["idle_allocs_per_s"] = perS
	return nil
}

// Speed is what a front end does at full load and at a steady rate.
type Speed struct {
	CPUPerLookup float64 // microseconds of user and system time, closed loop
	Saturated    float64 // lookups a second, closed loop
	P50, P99     float64 // milliseconds, open arrivals at the rate asked for, from the time each was due
	P999         float64
}

// SpeedOptions are what Measure takes.
type SpeedOptions struct {
	Program  string
	Engines  int
	Sessions int           // in the closed loop
	For      time.Duration // each part
	Rate     float64       // open arrivals a second; 0: that part is left out
	Idle     int           // further sessions that do nothing
}

// Measure runs lookups through a front end on one core.
func Measure(ctx context.Context, o SpeedOptions) (Speed, error) {
	var s Speed
	settings := ""
	if o.Idle > 0 {
		settings = idleSettings(o.Idle)
	}
	h, err := build(o.Program, o.Engines, max(2048, 4*(o.Idle+1000)), settings, false)
	if err != nil {
		return s, err
	}
	defer h.close()
	idle, err := h.idle(o.Idle)
	defer closeAll(idle)
	if err != nil {
		return s, err
	}
	lookup := Scenarios[0]
	loop := func(d time.Duration) (int, error) {
		var wg sync.WaitGroup
		var mu sync.Mutex
		var first error
		total, end := 0, time.Now().Add(d)
		for w := range o.Sessions {
			wg.Add(1)
			go func() {
				defer wg.Done()
				var ses *drill.Session
				defer func() { ses.Close() }()
				n, id := 0, uint64(w+1)<<48+uint64(time.Now().UnixNano())&(1<<47-1)
				var err error
				for ; time.Now().Before(end) && err == nil && ctx.Err() == nil; n++ {
					id++
					err = lookup.one(&ses, h.front.Addr, id)
				}
				mu.Lock()
				defer mu.Unlock()
				total += n
				if first == nil {
					first = err
				}
			}()
		}
		wg.Wait()
		return total, errors.Join(first, ctx.Err())
	}
	if _, err := loop(o.For / 4); err != nil {
		return s, err
	}
	before, began := cpuNanos(h.front.Pid()), time.Now()
	n, err := loop(o.For)
	if err != nil {
		return s, err
	}
	s.CPUPerLookup = float64(cpuNanos(h.front.Pid())-before) / 1000 / float64(n)
	s.Saturated = float64(n) / time.Since(began).Seconds()
	if o.Rate == 0 {
		return s, nil
	}
	through, err := open(ctx, o, func(id uint64, ses **drill.Session) error { return lookup.one(ses, h.front.Addr, id) })
	if err != nil {
		return s, err
	}
	s.P50, s.P99, s.P999 = quantile(through, 50), quantile(through, 99), quantile(through, 99.9)
	return s, nil
}

func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1e6
}

// open makes requests at a fixed rate, whatever the answers do, and counts each from the time at which it was due.
func open(ctx context.Context, o SpeedOptions, one func(uint64, **drill.Session) error) (*hdrhistogram.Histogram, error) {
	h := hdrhistogram.New(1000, int64(time.Minute), 3)
	var mu sync.Mutex
	var first error
	free := make(chan *drill.Session, 4096)
	var wg sync.WaitGroup
	began, every := time.Now(), time.Duration(float64(time.Second)/o.Rate)
	for i := 0; time.Duration(i)*every < o.For && ctx.Err() == nil; i++ {
		due := began.Add(time.Duration(i) * every)
		if d := time.Until(due); d > 0 {
			time.Sleep(d)
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			var ses *drill.Session
			select {
			case ses = <-free:
			default:
			}
			err := one(uint64(1)<<62+uint64(due.UnixNano()), &ses)
			took := time.Since(due)
			select {
			case free <- ses:
			default:
				ses.Close()
			}
			mu.Lock()
			defer mu.Unlock()
			if first == nil {
				first = err
			}
			_ = h.RecordValue(int64(took))
		}()
	}
	wg.Wait()
	close(free)
	for ses := range free {
		ses.Close()
	}
	return h, errors.Join(first, ctx.Err())
}

// cpuNanos is the CPU time of all threads of a process, by the scheduler's own count.
func cpuNanos(pid int) (sum int64) {
	list, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	for _, path := range list {
		text, err := os.ReadFile(path)
		if err != nil {
			continue
		}
		if f := strings.Fields(string(text)); len(f) > 0 {
			n, _ := strconv.ParseInt(f[0], 10, 64)
			sum += n
		}
	}
	return sum
}

// idleSettings let n sessions stay that ask nothing, and some more that do.
func idleSettings(n int) string {
	return fmt.Sprintf(`{"schema":1,"clients":{"idle_ms":600000,"max_sessions":%d}}`, n+1000)
}

// idle opens n sessions that ask nothing; those that were opened are returned with an error too.
func (h *house) idle(n int) (list []*drill.Session, err error) {
	for range n {
		ses, err := drill.Dial(h.front.Addr, 5*time.Second)
		if err != nil {
			return list, fmt.Errorf("bench: idle session %d: %w", len(list), err)
		}
		list = append(list, ses)
	}
	return list, nil
}

func closeAll(list []*drill.Session) {
	for _, ses := range list {
		ses.Close()
	}
}

// Idle is what sessions that do nothing cost.
type Idle struct {
	Sessions    int
	BytesEach   float64 // resident, above that of none
	CPUPerS     float64 // milliseconds of CPU a second while nothing is asked
	CloseAllFor float64 // seconds until all that were closed at once are forgotten
}

// MeasureIdle opens idle sessions on a front end and counts what they cost.
func MeasureIdle(ctx context.Context, program string, n int) (Idle, error) {
	out := Idle{Sessions: n}
	h, err := build(program, 2, 4*(n+1000), idleSettings(n), true)
	if err != nil {
		return out, err
	}
	defer h.close()
	var warm *drill.Session
	if err := Scenarios[0].repeat(ctx, &warm, h.front.Addr, 500); err != nil {
		return out, err
	}
	warm.Close()
	none, _ := resident(h.front.Pid())
	list, err := h.idle(n)
	defer closeAll(list)
	if err != nil {
		return out, err
	}
	before := cpuNanos(h.front.Pid())
	select {
	case <-ctx.Done():
		return out, ctx.Err()
	case <-time.After(2 * time.Second):
	}
	out.CPUPerS = float64(cpuNanos(h.front.Pid())-before) / 1e6 / 2
	with, _ := resident(h.front.Pid())
	out.BytesEach = (with - none) * (1 << 20) / float64(n)
	fds := func() int {
		d, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", h.front.Pid()))
		return len(d)
	}
	began := time.Now()
	closeAll(list)
	for fds() > 100 {
		if time.Since(began) > 30*time.Second {
			return out, fmt.Errorf("bench: %d descriptors are still open", fds())
		}
		time.Sleep(5 * time.Millisecond)
	}
	out.CloseAllFor = time.Since(began).Seconds()
	return out, nil
}
