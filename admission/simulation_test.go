package admission_test

import (
	"container/heap"
	"crypto/sha256"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"beechcart/admission"
	"beechcart/internal/recorded"
)

// happening is something that the simulation does at a time; those of one time go in the order they were planned in.
type happening struct {
	at    time.Duration
	order int
	do    func()
}

type agenda []happening

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || (a[i].at == a[j].at && a[i].order < a[j].order)
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(happening)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// mood is how a simulated engine treats what reaches it.
type mood int

const (
	sound     mood = iota
	hung           // answers nothing, not even health checks
	refusing       // its process is gone
	erring         // answers most requests with an error
	resetting      // loses connections
	lossy          // loses every fourth answer
	choosy         // answers nothing of class 0
	crawling       // runs everything six times slower
)

// machine is one simulated engine.
type machine struct {
	entry   admission.Engine
	cores   float64
	threads float64
	memory  float64 // MB in use
	mood    mood
}

// running is an attempt that a simulated engine has.
type running struct {
	frontEnd *frontEnd
	id       string
	number   int
	on       *machine
	threads  float64
	memory   float64
	over     bool
}

// frontEnd is one controller with what surrounds it.
type frontEnd struct {
	number   int
	ctl      *admission.Controller
	pending  []admission.Event
	attempts map[string][]*running
	requests map[string]admission.Request
	ended    bool
}

// recordedRun is one run: the settings, and what the simulation does beside them.
type recordedRun struct {
	settings   admission.Settings
	frontEnds  int // that are played, of settings.Replicas
	engines    int
	length     time.Duration
	gap        time.Duration // mean time between two requests of a front end
	report     func(m *machine) *admission.Report
	tellsWork  bool
	stopping   bool // the last front end ends before the run does
	partial    bool // changes of the list come as changes
	listErrors bool
	flood      bool          // all clients ask at once, in the middle of the run
	listAfter  time.Duration // the first list comes so late
}

// world plays a run.
type world struct {
	recordedRun
	recorder
	random   recorded.Random
	now      time.Duration
	agenda   agenda
	order    int
	fronts   []*frontEnd
	machines []*machine
	nextID   uint32
	requests int
}

func (w *world) after(delay time.Duration, do func()) {
	w.order++
	heap.Push(&w.agenda, happening{w.now + delay, w.order, do})
}

func (w *world) tell(g *frontEnd, event admission.Event) { g.pending = append(g.pending, event) }

func play(t *testing.T, run recordedRun, seed uint64) string {
	t.Helper()
	w := &world{recordedRun: run, random: recorded.Random(seed), now: 100 * time.Second}
	w.hash = sha256.New()
	for range run.engines {
		w.addEngine(0)
	}
	for number := range run.frontEnds {
		settings := run.settings
		settings.Me = number
		ctl, err := admission.New(settings, seed+uint64(number))
		require.NoError(t, err)
		g := &frontEnd{number: number, ctl: ctl, attempts: map[string][]*running{},
			requests: map[string]admission.Request{}}
		w.fronts = append(w.fronts, g)
		w.after(run.listAfter, func() { w.tell(g, admission.EndpointsChanged{Kind: admission.Persisted, Engines: w.list()}) })
		w.after(time.Millisecond, func() { w.arrive(g) })
	}
	w.after(w.random.Exponential(time.Second), w.trouble)
	w.after(3*time.Second, w.change)
	if run.flood {
		w.after(run.length/2, func() {
			for range 400 {
				w.take(w.fronts[0], w.request(w.fronts[0]))
			}
		})
	}
	w.after(2*time.Second, w.oddEvents)
	if run.stopping {
		last := w.fronts[run.frontEnds-1]
		w.after(run.length/4, func() { w.tell(last, admission.ShutdownRequested{Timeout: 4 * time.Second}) })
		w.after(run.length/4+4*time.Second, func() { last.ended = true })
	}
	end := w.now + run.length
	for len(w.agenda) > 0 && w.agenda[0].at < end {
		w.now = w.agenda[0].at
		for len(w.agenda) > 0 && w.agenda[0].at == w.now {
			heap.Pop(&w.agenda).(happening).do()
		}
		for _, g := range w.fronts {
			w.step(g)
		}
	}
	require.Empty(t, w.unknown, "actions without a number")
	return w.String()
}

func (w *world) step(g *frontEnd) {
	if len(g.pending) == 0 || g.ended {
		g.pending = nil
		return
	}
	events := g.pending
	g.pending = nil
	w.events += len(events)
	for _, action := range g.ctl.Step(w.now, events) {
		w.record(g.number, w.now, action)
		w.carryOut(g, action)
	}
}

func (w *world) carryOut(g *frontEnd, action admission.Action) {
	switch a := action.(type) {
	case admission.Send:
		w.send(g, a)
	case admission.Reject:
		if request := g.requests[a.ID]; w.random.Float() < 0.7 && a.RetryAfter > 0 {
			w.after(a.RetryAfter, func() { w.repeat(g, request, a.RetryAfter) })
		}
	case admission.Cancel:
		attempt := g.attempts[a.ID][a.Attempt]
		w.after(5*time.Millisecond, func() { w.end(attempt, admission.Outcome{Status: admission.Cancelled}) })
	case admission.HealthCheck:
		w.probe(g, a.Engine)
	case admission.SendGossip:
		for _, other := range w.fronts {
			if other != g && (a.To < 0 || a.To == other.number) {
				data := append([]byte(nil), a.Data...)
				w.after(3*time.Millisecond, func() { w.tell(other, admission.GossipReceived{From: g.number, Data: data}) })
			}
		}
	case admission.SetTimer:
		w.after(a.Delay, func() { w.tell(g, admission.Timer{Token: a.Token}) })
	case admission.WatchEndpoints:
		w.after(10*time.Millisecond, func() {
			if w.listErrors && w.random.Float() < 0.6 {
				w.tell(g, admission.EndpointsChanged{Kind: admission.ListError})
				return
			}
			w.tell(g, admission.EndpointsChanged{Kind: admission.Complete, Engines: w.list()})
		})
	}
}

// arrive is a request that comes, and plans the next; every sixth second has a burst.
func (w *world) arrive(g *frontEnd) {
	gap := w.gap
	if int(w.now/time.Second)%6 == 5 {
		gap /= 5
	}
	w.after(w.random.Exponential(gap), func() { w.arrive(g) })
	w.take(g, w.request(g))
}

func (w *world) request(g *frontEnd) admission.Request {
	w.requests++
	class := w.random.Below(len(w.settings.Classes))
	if w.random.Float() < 0.5 {
		class = 0
	}
	described := &w.settings.Classes[class]
	request := admission.Request{
		ID: fmt.Sprint(g.number, ".", w.requests), Class: class, Tenant: w.random.Below(len(w.settings.Tenants)+1) - 1,
		Timeout: described.Deadline, TableGroup: w.random.Below(4) - 1, Write: w.random.Float() < 0.2,
	}
	if w.random.Float() < 0.6 {
		request.Key = fmt.Sprint("key", w.random.Below(6))
	}
	if w.random.Float() < 0.7 {
		request.Work = w.work(class)
		request.MemoryMB = 100 + 900*w.random.Float()
	}
	if w.random.Float() < 0.1 {
		request.Timeout = time.Duration(float64(request.Timeout) * w.random.Float())
	}
	return request
}

// oddEvents are those that a controller has to pass over.
func (w *world) oddEvents() {
	w.after(3*time.Second, w.oddEvents)
	g := w.fronts[0]
	w.tell(g, admission.Request{ID: "odd", Class: len(w.settings.Classes), Timeout: time.Second})
	w.tell(g, admission.Outcome{ID: "odd", Engine: 1, Status: admission.OK, Report: allReported(w.machines[0])})
	w.tell(g, admission.ClientDisconnected{ID: "odd"})
	w.tell(g, admission.FirstByte{ID: "odd", Engine: 1})
	w.tell(g, admission.Progress{ID: "odd", Engine: 1, Kind: admission.Waiting, Value: 1})
	w.tell(g, admission.HealthCheckResult{Engine: 1 << 20, Status: admission.OK})
	w.tell(g, admission.GossipReceived{From: w.settings.Replicas, Data: []byte{1, 2, 3}})
	w.tell(g, admission.GossipReceived{From: w.settings.Replicas - 1, Data: []byte{1, 2, 3, 4}})
}

func (w *world) repeat(g *frontEnd, request admission.Request, spent time.Duration) {
	request.Timeout -= spent
	request.ID += "r"
	request.Retry = true
	w.take(g, request)
}

func (w *world) take(g *frontEnd, request admission.Request) {
	g.requests[request.ID] = request
	w.tell(g, request)
	if w.random.Float() < 0.05 {
		id := request.ID
		w.after(w.random.Exponential(300*time.Millisecond), func() { w.tell(g, admission.ClientDisconnected{ID: id}) })
	}
}

// work is the estimated work of a class: each is four times as heavy as the one before.
func (w *world) work(class int) time.Duration {
	mean := 20 * math.Pow(4, float64(class%4)) * float64(time.Millisecond)
	return time.Duration(mean * (0.5 + w.random.Float()))
}

func (w *world) send(g *frontEnd, a admission.Send) {
	request := g.requests[a.ID]
	class := &w.settings.Classes[request.Class]
	m := w.machine(a.Engine)
	attempt := &running{frontEnd: g, id: a.ID, number: len(g.attempts[a.ID]), on: m,
		threads: float64(class.Threads), memory: 50 + 400*w.random.Float()}
	g.attempts[a.ID] = append(g.attempts[a.ID], attempt)
	work := w.work(request.Class)
	if request.Work > 0 {
		work = time.Duration(float64(request.Work) * 1.3)
	}
	if w.random.Float() < 0.03 {
		work *= 12 // a bad plan
	}
	m.threads += attempt.threads
	m.memory += attempt.memory
	slowdown := math.Max(1, m.threads/m.cores)
	if m.mood == crawling {
		slowdown *= 6
	}
	latency := time.Duration(float64(work) / attempt.threads * slowdown * (0.8 + 0.4*w.random.Float()))
	ok := admission.Outcome{Status: admission.OK, Closed: true, Latency: latency}
	if w.tellsWork {
		ok.Work, ok.MemoryMB = work, attempt.memory
	}
	w.settle(attempt, request, a.Timeout, latency, ok)
}

// settle plans how an attempt goes on and ends.
func (w *world) settle(
	attempt *running, request admission.Request, limit, latency time.Duration, ok admission.Outcome,
) {
	end := func(delay time.Duration, outcome admission.Outcome) {
		if limit > 0 && delay >= limit {
			delay, outcome = limit, admission.Outcome{Status: admission.TimedOut, Closed: true}
		}
		w.after(delay, func() { w.end(attempt, outcome) })
	}
	const never = time.Hour
	m, chance := attempt.on, w.random.Float()
	switch {
	case m.entry.State == admission.Removed || m.mood == refusing:
		end(2*time.Millisecond, admission.Outcome{Status: admission.ConnectFailed})
	case m.threads > 4*m.cores:
		end(time.Millisecond, admission.Outcome{Status: admission.Overloaded})
	case m.mood == hung, m.mood == choosy && request.Class == 0, m.mood == lossy && chance < 0.25:
		end(never, ok)
	case m.mood == erring && chance < 0.8, chance < 0.004:
		end(3*time.Millisecond, admission.Outcome{Status: admission.Errored, Latency: 3 * time.Millisecond})
	case m.mood == resetting && chance < 0.6, chance < 0.008:
		alive := w.random.Float() < 0.3
		end(latency/2, admission.Outcome{Status: admission.Reset, EngineAlive: alive, Latency: latency / 2})
	case chance < 0.012:
		end(0, admission.Outcome{Status: admission.NotSent})
	case chance < 0.016:
		end(latency/3, admission.Outcome{Status: admission.TimedOut})
	default:
		w.notes(attempt, latency)
		if w.settings.Classes[request.Class].Stream {
			begun := admission.FirstByte{ID: attempt.id, Attempt: attempt.number, Engine: m.entry.ID}
			w.after(latency*2/3, func() { w.tell(attempt.frontEnd, begun) })
		}
		end(latency, ok)
	}
}

// notes sends the progress notes of an attempt, all but the last fifth of them.
func (w *world) notes(attempt *running, latency time.Duration) {
	every := w.settings.ProgressInterval
	if every <= 0 || w.random.Float() < 0.05 {
		return
	}
	for at := every; at < latency; at += every {
		note := admission.Progress{ID: attempt.id, Attempt: attempt.number, Engine: attempt.on.entry.ID,
			Kind: admission.ProgressFraction, Value: float64(at) / float64(latency)}
		if w.random.Float() < 0.1 {
			note.Kind = admission.Spills
		}
		w.after(at, func() {
			if !attempt.over {
				w.tell(attempt.frontEnd, note)
			}
		})
	}
}

func (w *world) end(attempt *running, outcome admission.Outcome) {
	if attempt.over {
		return
	}
	attempt.over = true
	m := attempt.on
	m.threads -= attempt.threads
	m.memory -= attempt.memory
	outcome.ID, outcome.Attempt, outcome.Engine = attempt.id, attempt.number, m.entry.ID
	if w.settings.LoadReporting == admission.InBandReports && outcome.Status <= admission.Overloaded {
		outcome.Report = w.report(m)
	}
	w.tell(attempt.frontEnd, outcome)
}

func (w *world) probe(g *frontEnd, id uint32) {
	m := w.machine(id)
	result := admission.HealthCheckResult{Engine: id, Status: admission.OK, Latency: 2 * time.Millisecond}
	delay := result.Latency
	switch {
	case m.mood == refusing || m.entry.State == admission.Removed:
		result.Status = admission.ConnectFailed
	case m.mood == hung:
		result.Status, delay = admission.TimedOut, 300*time.Millisecond
	default:
		if w.settings.LoadReporting != admission.NoLoadReports {
			result.Report = w.report(m)
		}
	}
	w.after(delay, func() { w.tell(g, result) })
}

// trouble gives one engine another mood, for a while.
func (w *world) trouble() {
	m := w.machines[w.random.Below(len(w.machines))]
	m.mood = mood(1 + w.random.Below(int(crawling)))
	w.after(time.Second+w.random.Exponential(3*time.Second), func() { m.mood = sound })
	w.after(w.random.Exponential(2*time.Second), w.trouble)
}

// change drains an engine, which leaves later, takes one away at once, restarts one, or adds a fresh one.
func (w *world) change() {
	w.after(w.random.Exponential(4*time.Second), w.change)
	m := w.machines[w.random.Below(len(w.machines))]
	switch chance := w.random.Float(); {
	case chance < 0.3:
		m.entry.State = admission.Draining
		w.after(2*time.Second, func() {
			m.entry.State = admission.Removed
			w.news(m)
		})
		away := 6 * time.Second
		if w.random.Float() < 0.3 {
			away = time.Duration(80+w.random.Below(80)) * time.Second
		}
		w.after(away, func() {
			m.entry.State = admission.Ready
			w.news(m)
		})
	case chance < 0.4:
		m.entry.State = admission.Removed
		w.after(3*time.Second, func() {
			m.entry.State = admission.Ready
			w.news(m)
		})
	case chance < 0.6:
		m.entry.Started = w.now
	default:
		m = w.addEngine(w.now)
	}
	w.news(m)
}

// news tells all front ends of a change of the list, each a little later than the one before.
func (w *world) news(m *machine) {
	changed := m.entry
	for i, g := range w.fronts {
		w.after(time.Duration(i)*15*time.Millisecond, func() {
			if w.partial {
				w.tell(g, admission.EndpointsChanged{Kind: admission.Partial, Engines: []admission.Engine{changed}})
				return
			}
			w.tell(g, admission.EndpointsChanged{Kind: admission.Complete, Engines: w.list()})
		})
	}
}

func (w *world) addEngine(started time.Duration) *machine {
	w.nextID++
	id := int(w.nextID)
	kind := id % (len(w.settings.Kinds) + 1) // the last is one that is not known
	m := &machine{cores: 4, entry: admission.Engine{ID: w.nextID, Kind: kind, Zone: id%3 - 1, Cell: id % 2,
		Units: 1, Started: started}}
	if kind < len(w.settings.Kinds) {
		m.cores = float64(w.settings.Kinds[kind].Cores)
	} else {
		m.entry.Kind = -1
	}
	w.machines = append(w.machines, m)
	return m
}

func (w *world) machine(id uint32) *machine { return w.machines[id-1] }

// list is the complete list: of the engines that were removed, every second is left out.
func (w *world) list() (list []admission.Engine) {
	for _, m := range w.machines {
		if m.entry.State != admission.Removed || m.entry.ID%2 == 0 {
			list = append(list, m.entry)
		}
	}
	return list
}
