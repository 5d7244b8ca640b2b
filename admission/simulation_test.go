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

// scheduledCall is a call that the simulation makes at a given time. Calls for the same time are made in the order in
// which they were scheduled.
type scheduledCall struct {
	at       time.Duration
	sequence int
	call     func()
}

// schedule is a heap of calls, the earliest first.
type schedule []scheduledCall

func (a schedule) Len() int { return len(a) }
func (a schedule) Less(i, j int) bool {
	return a[i].at < a[j].at || (a[i].at == a[j].at && a[i].sequence < a[j].sequence)
}
func (a schedule) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *schedule) Push(x any)   { *a = append(*a, x.(scheduledCall)) }
func (a *schedule) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// fault is the fault of a simulated engine, which decides how the engine handles attempts and health checks.
type fault int

const (
	noFault        fault = iota
	hung                 // answers neither attempts nor health checks
	refusing             // refuses connections, as an engine whose process has ended
	erring               // answers most requests with an error
	resetting            // resets most connections
	losingAnswers        // loses one in four answers
	ignoringClass0       // answers no requests of class 0
	slow                 // runs requests six times slower
)

// machine is one simulated engine.
type machine struct {
	endpoint admission.Engine
	cores    float64
	threads  float64
	memory   float64 // MB in use
	fault    fault
}

// runningAttempt is an attempt on a simulated engine.
type runningAttempt struct {
	frontEnd *frontEnd
	id       string
	number   int
	engine   *machine
	threads  float64
	memory   float64
	finished bool
}

// frontEnd is one controller with its pending events, attempts and requests.
type frontEnd struct {
	number     int
	controller *admission.Controller
	pending    []admission.Event
	attempts   map[string][]*runningAttempt
	requests   map[string]admission.Request
	stopped    bool
}

// recordedRun is the configuration of one run: the settings of the controllers, and those of the simulation.
type recordedRun struct {
	settings   admission.Settings
	frontEnds  int // simulated front ends, of settings.Replicas
	engines    int
	length     time.Duration
	gap        time.Duration // mean time between requests of one front end
	report     func(m *machine) *admission.Report
	tellsWork  bool          // engines report work and memory with the outcome
	stopping   bool          // the last front end stops before the end of the run
	partial    bool          // changes of the list are sent as partial lists
	listErrors bool          // most subscriptions to the list fail
	flood      bool          // 400 requests arrive at once in the middle of the run
	listAfter  time.Duration // delay of the first list
}

// simulation is the state of one simulated run.
type simulation struct {
	recordedRun
	recorder
	random       recorded.Random
	now          time.Duration
	schedule     schedule
	sequence     int
	allFrontEnds []*frontEnd
	machines     []*machine
	nextID       uint32
	requests     int
}

func (sim *simulation) after(delay time.Duration, call func()) {
	sim.sequence++
	heap.Push(&sim.schedule, scheduledCall{sim.now + delay, sim.sequence, call})
}

func (sim *simulation) notify(fe *frontEnd, event admission.Event) {
	fe.pending = append(fe.pending, event)
}

func play(t *testing.T, run recordedRun, seed uint64) string {
	t.Helper()
	sim := &simulation{recordedRun: run, random: recorded.Random(seed), now: 100 * time.Second}
	sim.hash = sha256.New()
	for range run.engines {
		sim.addEngine(0)
	}
	for number := range run.frontEnds {
		settings := run.settings
		settings.Me = number
		controller, err := admission.New(settings, seed+uint64(number))
		require.NoError(t, err)
		fe := &frontEnd{number: number, controller: controller, attempts: map[string][]*runningAttempt{},
			requests: map[string]admission.Request{}}
		sim.allFrontEnds = append(sim.allFrontEnds, fe)
		sim.after(run.listAfter,
			func() { sim.notify(fe, admission.EndpointsChanged{Kind: admission.Persisted, Engines: sim.list()}) })
		sim.after(time.Millisecond, func() { sim.arrive(fe) })
	}
	sim.after(sim.random.Exponential(time.Second), sim.injectFault)
	sim.after(3*time.Second, sim.changeEndpoint)
	if run.flood {
		sim.after(run.length/2, func() {
			for range 400 {
				sim.submit(sim.allFrontEnds[0], sim.request(sim.allFrontEnds[0]))
			}
		})
	}
	sim.after(2*time.Second, sim.sendInvalidEvents)
	if run.stopping {
		last := sim.allFrontEnds[run.frontEnds-1]
		sim.after(run.length/4, func() { sim.notify(last, admission.ShutdownRequested{Timeout: 4 * time.Second}) })
		sim.after(run.length/4+4*time.Second, func() { last.stopped = true })
	}
	end := sim.now + run.length
	for len(sim.schedule) > 0 && sim.schedule[0].at < end {
		sim.now = sim.schedule[0].at
		for len(sim.schedule) > 0 && sim.schedule[0].at == sim.now {
			heap.Pop(&sim.schedule).(scheduledCall).call()
		}
		for _, fe := range sim.allFrontEnds {
			sim.step(fe)
		}
	}
	require.Empty(t, sim.unknown, "actions of types that the recorder does not know")
	return sim.String()
}

func (sim *simulation) step(fe *frontEnd) {
	if len(fe.pending) == 0 || fe.stopped {
		fe.pending = nil
		return
	}
	events := fe.pending
	fe.pending = nil
	sim.events += len(events)
	for _, action := range fe.controller.Step(sim.now, events) {
		sim.record(fe.number, sim.now, action)
		sim.execute(fe, action)
	}
}

func (sim *simulation) execute(fe *frontEnd, action admission.Action) {
	switch a := action.(type) {
	case admission.Send:
		sim.send(fe, a)
	case admission.Reject:
		if request := fe.requests[a.ID]; sim.random.Float() < 0.7 && a.RetryAfter > 0 {
			sim.after(a.RetryAfter, func() { sim.repeatRequest(fe, request, a.RetryAfter) })
		}
	case admission.Cancel:
		attempt := fe.attempts[a.ID][a.Attempt]
		sim.after(5*time.Millisecond, func() { sim.end(attempt, admission.Outcome{Status: admission.Cancelled}) })
	case admission.HealthCheck:
		sim.checkHealth(fe, a.Engine)
	case admission.SendGossip:
		for _, other := range sim.allFrontEnds {
			if other != fe && (a.To < 0 || a.To == other.number) {
				data := append([]byte(nil), a.Data...)
				sim.after(3*time.Millisecond, func() { sim.notify(other, admission.GossipReceived{From: fe.number, Data: data}) })
			}
		}
	case admission.SetTimer:
		sim.after(a.Delay, func() { sim.notify(fe, admission.Timer{Token: a.Token}) })
	case admission.WatchEndpoints:
		sim.after(10*time.Millisecond, func() {
			if sim.listErrors && sim.random.Float() < 0.6 {
				sim.notify(fe, admission.EndpointsChanged{Kind: admission.ListError})
				return
			}
			sim.notify(fe, admission.EndpointsChanged{Kind: admission.Complete, Engines: sim.list()})
		})
	}
}

// arrive submits a request and schedules the next. In every sixth second requests arrive five times as fast.
func (sim *simulation) arrive(fe *frontEnd) {
	gap := sim.gap
	if int(sim.now/time.Second)%6 == 5 {
		gap /= 5
	}
	sim.after(sim.random.Exponential(gap), func() { sim.arrive(fe) })
	sim.submit(fe, sim.request(fe))
}

func (sim *simulation) request(fe *frontEnd) admission.Request {
	sim.requests++
	class := sim.random.Below(len(sim.settings.Classes))
	if sim.random.Float() < 0.5 {
		class = 0
	}
	classSettings := &sim.settings.Classes[class]
	request := admission.Request{
		ID: fmt.Sprint(fe.number, ".", sim.requests), Class: class, Tenant: sim.random.Below(len(sim.settings.Tenants)+1) - 1,
		Timeout: classSettings.Deadline, TableGroup: sim.random.Below(4) - 1, Write: sim.random.Float() < 0.2,
	}
	if sim.random.Float() < 0.6 {
		request.Key = fmt.Sprint("key", sim.random.Below(6))
	}
	if sim.random.Float() < 0.7 {
		request.Work = sim.work(class)
		request.MemoryMB = 100 + 900*sim.random.Float()
	}
	if sim.random.Float() < 0.1 {
		request.Timeout = time.Duration(float64(request.Timeout) * sim.random.Float())
	}
	return request
}

// sendInvalidEvents sends events that a controller must ignore, every 3 s.
func (sim *simulation) sendInvalidEvents() {
	sim.after(3*time.Second, sim.sendInvalidEvents)
	fe := sim.allFrontEnds[0]
	sim.notify(fe, admission.Request{ID: "odd", Class: len(sim.settings.Classes), Timeout: time.Second})
	sim.notify(fe, admission.Outcome{ID: "odd", Engine: 1, Status: admission.OK, Report: allReported(sim.machines[0])})
	sim.notify(fe, admission.ClientDisconnected{ID: "odd"})
	sim.notify(fe, admission.FirstByte{ID: "odd", Engine: 1})
	sim.notify(fe, admission.Progress{ID: "odd", Engine: 1, Kind: admission.Waiting, Value: 1})
	sim.notify(fe, admission.HealthCheckResult{Engine: 1 << 20, Status: admission.OK})
	sim.notify(fe, admission.GossipReceived{From: sim.settings.Replicas, Data: []byte{1, 2, 3}})
	sim.notify(fe, admission.GossipReceived{From: sim.settings.Replicas - 1, Data: []byte{1, 2, 3, 4}})
}

func (sim *simulation) repeatRequest(fe *frontEnd, request admission.Request, waited time.Duration) {
	request.Timeout -= waited
	request.ID += "r"
	request.Retry = true
	sim.submit(fe, request)
}

func (sim *simulation) submit(fe *frontEnd, request admission.Request) {
	fe.requests[request.ID] = request
	sim.notify(fe, request)
	if sim.random.Float() < 0.05 {
		id := request.ID
		sim.after(sim.random.Exponential(300*time.Millisecond),
			func() { sim.notify(fe, admission.ClientDisconnected{ID: id}) })
	}
}

// work draws the work of a request. The mean quadruples from each class to the next, and starts again after four
// classes.
func (sim *simulation) work(class int) time.Duration {
	mean := 20 * math.Pow(4, float64(class%4)) * float64(time.Millisecond)
	return time.Duration(mean * (0.5 + sim.random.Float()))
}

func (sim *simulation) send(fe *frontEnd, a admission.Send) {
	request := fe.requests[a.ID]
	class := &sim.settings.Classes[request.Class]
	m := sim.machine(a.Engine)
	attempt := &runningAttempt{frontEnd: fe, id: a.ID, number: len(fe.attempts[a.ID]), engine: m,
		threads: float64(class.Threads), memory: 50 + 400*sim.random.Float()}
	fe.attempts[a.ID] = append(fe.attempts[a.ID], attempt)
	work := sim.work(request.Class)
	if request.Work > 0 {
		work = time.Duration(float64(request.Work) * 1.3)
	}
	if sim.random.Float() < 0.03 {
		work *= 12 // a slow query plan
	}
	m.threads += attempt.threads
	m.memory += attempt.memory
	slowdown := math.Max(1, m.threads/m.cores)
	if m.fault == slow {
		slowdown *= 6
	}
	latency := time.Duration(float64(work) / attempt.threads * slowdown * (0.8 + 0.4*sim.random.Float()))
	ok := admission.Outcome{Status: admission.OK, Closed: true, Latency: latency}
	if sim.tellsWork {
		ok.Work, ok.MemoryMB = work, attempt.memory
	}
	sim.planOutcome(attempt, request, a.Timeout, latency, ok)
}

// planOutcome schedules the progress reports and the outcome of an attempt.
func (sim *simulation) planOutcome(
	attempt *runningAttempt, request admission.Request, timeout, latency time.Duration, ok admission.Outcome,
) {
	end := func(delay time.Duration, outcome admission.Outcome) {
		if timeout > 0 && delay >= timeout {
			delay, outcome = timeout, admission.Outcome{Status: admission.TimedOut, Closed: true}
		}
		sim.after(delay, func() { sim.end(attempt, outcome) })
	}
	const never = time.Hour
	m, draw := attempt.engine, sim.random.Float()
	switch {
	case m.endpoint.State == admission.Removed || m.fault == refusing:
		end(2*time.Millisecond, admission.Outcome{Status: admission.ConnectFailed})
	case m.threads > 4*m.cores:
		end(time.Millisecond, admission.Outcome{Status: admission.Overloaded})
	case m.fault == hung, m.fault == ignoringClass0 && request.Class == 0, m.fault == losingAnswers && draw < 0.25:
		end(never, ok)
	case m.fault == erring && draw < 0.8, draw < 0.004:
		end(3*time.Millisecond, admission.Outcome{Status: admission.Errored, Latency: 3 * time.Millisecond})
	case m.fault == resetting && draw < 0.6, draw < 0.008:
		alive := sim.random.Float() < 0.3
		end(latency/2, admission.Outcome{Status: admission.Reset, EngineAlive: alive, Latency: latency / 2})
	case draw < 0.012:
		end(0, admission.Outcome{Status: admission.NotSent})
	case draw < 0.016:
		end(latency/3, admission.Outcome{Status: admission.TimedOut})
	default:
		sim.planProgress(attempt, latency)
		if sim.settings.Classes[request.Class].Stream {
			firstByte := admission.FirstByte{ID: attempt.id, Attempt: attempt.number, Engine: m.endpoint.ID}
			sim.after(latency*2/3, func() { sim.notify(attempt.frontEnd, firstByte) })
		}
		end(latency, ok)
	}
}

// planProgress schedules the progress reports of an attempt. One attempt in twenty gets none.
func (sim *simulation) planProgress(attempt *runningAttempt, latency time.Duration) {
	interval := sim.settings.ProgressInterval
	if interval <= 0 || sim.random.Float() < 0.05 {
		return
	}
	for at := interval; at < latency; at += interval {
		progress := admission.Progress{ID: attempt.id, Attempt: attempt.number, Engine: attempt.engine.endpoint.ID,
			Kind: admission.ProgressFraction, Value: float64(at) / float64(latency)}
		if sim.random.Float() < 0.1 {
			progress.Kind = admission.Spills
		}
		sim.after(at, func() {
			if !attempt.finished {
				sim.notify(attempt.frontEnd, progress)
			}
		})
	}
}

func (sim *simulation) end(attempt *runningAttempt, outcome admission.Outcome) {
	if attempt.finished {
		return
	}
	attempt.finished = true
	m := attempt.engine
	m.threads -= attempt.threads
	m.memory -= attempt.memory
	outcome.ID, outcome.Attempt, outcome.Engine = attempt.id, attempt.number, m.endpoint.ID
	if sim.settings.LoadReporting == admission.InBandReports && outcome.Status <= admission.Overloaded {
		outcome.Report = sim.report(m)
	}
	sim.notify(attempt.frontEnd, outcome)
}

func (sim *simulation) checkHealth(fe *frontEnd, id uint32) {
	m := sim.machine(id)
	result := admission.HealthCheckResult{Engine: id, Status: admission.OK, Latency: 2 * time.Millisecond}
	delay := result.Latency
	switch {
	case m.fault == refusing || m.endpoint.State == admission.Removed:
		result.Status = admission.ConnectFailed
	case m.fault == hung:
		result.Status, delay = admission.TimedOut, 300*time.Millisecond
	default:
		if sim.settings.LoadReporting != admission.NoLoadReports {
			result.Report = sim.report(m)
		}
	}
	sim.after(delay, func() { sim.notify(fe, result) })
}

// injectFault gives one engine a fault for a while, and schedules the next fault.
func (sim *simulation) injectFault() {
	m := sim.machines[sim.random.Below(len(sim.machines))]
	m.fault = fault(1 + sim.random.Below(int(slow)))
	sim.after(time.Second+sim.random.Exponential(3*time.Second), func() { m.fault = noFault })
	sim.after(sim.random.Exponential(2*time.Second), sim.injectFault)
}

// changeEndpoint drains an engine that is removed later, removes one at once, restarts one or adds a new one, and
// schedules the next change. Removed engines return.
func (sim *simulation) changeEndpoint() {
	sim.after(sim.random.Exponential(4*time.Second), sim.changeEndpoint)
	m := sim.machines[sim.random.Below(len(sim.machines))]
	switch draw := sim.random.Float(); {
	case draw < 0.3:
		m.endpoint.State = admission.Draining
		sim.after(2*time.Second, func() {
			m.endpoint.State = admission.Removed
			sim.announceEndpoint(m)
		})
		absence := 6 * time.Second
		if sim.random.Float() < 0.3 {
			absence = time.Duration(80+sim.random.Below(80)) * time.Second
		}
		sim.after(absence, func() {
			m.endpoint.State = admission.Ready
			sim.announceEndpoint(m)
		})
	case draw < 0.4:
		m.endpoint.State = admission.Removed
		sim.after(3*time.Second, func() {
			m.endpoint.State = admission.Ready
			sim.announceEndpoint(m)
		})
	case draw < 0.6:
		m.endpoint.Started = sim.now
	default:
		m = sim.addEngine(sim.now)
	}
	sim.announceEndpoint(m)
}

// announceEndpoint sends a change of the list to all front ends, to each 15 ms after the one before.
func (sim *simulation) announceEndpoint(m *machine) {
	update := m.endpoint
	for i, fe := range sim.allFrontEnds {
		sim.after(time.Duration(i)*15*time.Millisecond, func() {
			if sim.partial {
				sim.notify(fe, admission.EndpointsChanged{Kind: admission.Partial, Engines: []admission.Engine{update}})
				return
			}
			sim.notify(fe, admission.EndpointsChanged{Kind: admission.Complete, Engines: sim.list()})
		})
	}
}

func (sim *simulation) addEngine(started time.Duration) *machine {
	sim.nextID++
	id := int(sim.nextID)
	kind := id % (len(sim.settings.Kinds) + 1) // the last number stands for an unknown kind
	m := &machine{cores: 4, endpoint: admission.Engine{ID: sim.nextID, Kind: kind, Zone: id%3 - 1, Cell: id % 2,
		Units: 1, Started: started}}
	if kind < len(sim.settings.Kinds) {
		m.cores = float64(sim.settings.Kinds[kind].Cores)
	} else {
		m.endpoint.Kind = -1
	}
	sim.machines = append(sim.machines, m)
	return m
}

func (sim *simulation) machine(id uint32) *machine { return sim.machines[id-1] }

// list returns the complete list. It omits removed engines that have an odd ID.
func (sim *simulation) list() (list []admission.Engine) {
	for _, m := range sim.machines {
		if m.endpoint.State != admission.Removed || m.endpoint.ID%2 == 0 {
			list = append(list, m.endpoint)
		}
	}
	return list
}
