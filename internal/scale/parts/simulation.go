package parts

import (
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"beechcart/admission"
	"beechcart/decision/reuse"
	"beechcart/internal/faulttest"
	"beechcart/internal/scale/record"
)

// simulatedWork is the mean work of a statement in CPU time, by class of faulttest.Settings.
var simulatedWork = []time.Duration{time.Millisecond, 8 * time.Millisecond, 8 * time.Millisecond}

const (
	simulatedCores     = 4                    // of each database, as in faulttest.Settings
	simulatedRoundTrip = time.Millisecond     // network round trip
	simulatedProbeTime = 2 * time.Millisecond // from a probe to its response
	tableGroups        = 20
)

// maxIdleConnections returns the largest number of idle connections to databases that a front end keeps, by the
// limits of decision/reuse and of its sockets.
func maxIdleConnections() float64 {
	return float64(min(reuse.Defaults().MaxIdleTotal, frontEndSockets/8))
}

// simulation runs front ends of a fleet and the fleet's databases on one simulated clock.
type simulation struct {
	size       record.Size
	rate       int           // statements per second at each front end
	workFactor time.Duration // multiplies the work of each statement
	sharedLoad bool          // utilization follows the simulated load; otherwise each database reports meanUtilization

	now         time.Duration
	pending     pendingEvents
	sequence    uint64 // of the latest pending event
	frontEnds   []*simulatedFrontEnd
	busyThreads []int // running threads, by database

	requested, answered int
}

func newSimulation(size record.Size, rate int, workFactor time.Duration) *simulation {
	return &simulation{size: size, rate: rate, workFactor: workFactor, now: 1000 * time.Second,
		busyThreads: make([]int, size.Engines+1)}
}

// simulatedFrontEnd is an admission controller with its open statements and the databases that it has contacted.
type simulatedFrontEnd struct {
	controller *admission.Controller
	classes    []admission.Class
	random     *rand.Rand
	open       map[string]*simulatedStatement

	sent, probed                  map[uint32]bool
	probes, inFlight, maxInFlight int
}

type simulatedStatement struct {
	class, attempts int
}

// addFrontEnd adds the front end with the given index in the fleet. The index and repeat determine its random seed.
func (s *simulation) addFrontEnd(index int, repeat uint64) error {
	set, _, err := settingsOf(index, s.size.Members)
	if err != nil {
		return err
	}
	seed := repeat<<32 + uint64(index)
	controller, err := admission.New(set, seed)
	if err != nil {
		return err
	}
	f := &simulatedFrontEnd{controller: controller, classes: set.Classes, random: rand.New(rand.NewPCG(seed, 1)),
		open: map[string]*simulatedStatement{}, sent: map[uint32]bool{}, probed: map[uint32]bool{}}
	list := admission.EndpointsChanged{Kind: admission.Persisted}
	for i := range s.size.Engines {
		list.Engines = append(list.Engines, admission.Engine{ID: uint32(i + 1), Units: 1})
	}
	s.frontEnds = append(s.frontEnds, f)
	s.step(f, list)
	s.nextArrival(f)
	return nil
}

// contacted returns the databases to which the front end has sent a statement or a probe.
func (f *simulatedFrontEnd) contacted() map[uint32]bool {
	all := map[uint32]bool{}
	for _, set := range []map[uint32]bool{f.sent, f.probed} {
		for engine := range set {
			all[engine] = true
		}
	}
	return all
}

// unanswered returns the ratio of statements that were rejected, have failed or are still open.
func (s *simulation) unanswered() float64 {
	return 1 - float64(s.answered)/float64(max(1, s.requested))
}

// run advances the simulated clock by the given duration and handles the events in it.
func (s *simulation) run(ctx context.Context, duration time.Duration) error {
	for end := s.now + duration; len(s.pending) > 0 && s.pending[0].at < end; {
		next := heap.Pop(&s.pending).(pendingEvent)
		s.now = next.at
		if next.event == nil {
			if err := ctx.Err(); err != nil {
				return err
			}
			s.arrive(next.front)
			continue
		}
		if outcome, ok := next.event.(admission.Outcome); ok {
			s.recordOutcome(next.front, outcome, next.threads)
		}
		s.step(next.front, next.event)
	}
	return nil
}

// schedule schedules an event for a front end. A nil event is the arrival of its next statement.
func (s *simulation) schedule(after time.Duration, f *simulatedFrontEnd, event admission.Event) {
	s.scheduleOutcome(after, f, event, 0)
}

// scheduleOutcome schedules an event that frees threads of its database, if the event is the end of an attempt.
func (s *simulation) scheduleOutcome(after time.Duration, f *simulatedFrontEnd, event admission.Event, threads int) {
	s.sequence++
	heap.Push(&s.pending, pendingEvent{at: s.now + after, sequence: s.sequence, front: f, event: event,
		threads: threads})
}

// nextArrival schedules a front end's next statement after an exponentially distributed time.
func (s *simulation) nextArrival(f *simulatedFrontEnd) {
	s.schedule(time.Duration(f.random.ExpFloat64()*float64(time.Second)/float64(s.rate)), f, nil)
}

// arrive creates a statement, its class drawn by the shares of faulttest.Classes.
func (s *simulation) arrive(f *simulatedFrontEnd) {
	s.nextArrival(f)
	class, remaining := 0, f.random.Float64()
	for ; class < len(faulttest.Classes)-1 && remaining >= faulttest.Classes[class].Share; class++ {
		remaining -= faulttest.Classes[class].Share
	}
	s.requested++
	id := fmt.Sprintf("%016x", s.requested)
	f.open[id] = &simulatedStatement{class: class}
	s.step(f, admission.Request{ID: id, Class: class, Timeout: f.classes[class].Deadline,
		Work: s.workFactor * simulatedWork[class], MemoryMB: 16,
		TableGroup: f.random.IntN(tableGroups)})
}

// step passes an event to a controller and executes the controller's actions.
func (s *simulation) step(f *simulatedFrontEnd, event admission.Event) {
	for _, action := range f.controller.Step(s.now, []admission.Event{event}) {
		switch action := action.(type) {
		case admission.Send:
			s.send(f, action)
		case admission.HealthCheck:
			f.probes++
			f.probed[action.Engine] = true
			s.schedule(simulatedProbeTime, f, admission.HealthCheckResult{Engine: action.Engine, Status: admission.OK,
				Latency: simulatedProbeTime,
				Report: &admission.Report{InFlight: -1, Queued: -1, Utilization: s.utilization(action.Engine),
					MemoryUtilization: -1, DiskUtilization: -1}})
		case admission.SetTimer:
			s.schedule(action.Delay, f, admission.Timer{Token: action.Token})
		case admission.Reject:
			delete(f.open, action.ID)
		case admission.Fail:
			delete(f.open, action.ID)
		}
	}
}

// utilization returns the share of a database's cores that is in use.
func (s *simulation) utilization(engine uint32) float64 {
	if !s.sharedLoad {
		return meanUtilization
	}
	return min(1, float64(s.busyThreads[engine])/simulatedCores)
}

// send starts an attempt. Its work is exponentially distributed around the mean, and takes longer if the database has
// more running threads than cores.
func (s *simulation) send(f *simulatedFrontEnd, send admission.Send) {
	statement := f.open[send.ID]
	if statement == nil {
		return
	}
	f.sent[send.Engine] = true
	f.inFlight++
	f.maxInFlight = max(f.maxInFlight, f.inFlight)
	threads := max(1, f.classes[statement.class].Threads)
	s.busyThreads[send.Engine] += threads
	slowdown := 1.0
	if s.sharedLoad {
		slowdown = max(1, float64(s.busyThreads[send.Engine])/simulatedCores)
	}
	work := time.Duration(float64(s.workFactor*simulatedWork[statement.class]) * f.random.ExpFloat64())
	latency := simulatedRoundTrip + time.Duration(slowdown*float64(work)/float64(threads))
	s.scheduleOutcome(latency, f, admission.Outcome{ID: send.ID, Attempt: statement.attempts, Engine: send.Engine,
		Status: admission.OK, Latency: latency,
		Closed: true, Work: work, MemoryMB: 16}, threads)
	statement.attempts++
}

// recordOutcome handles the end of an attempt. A statement is answered by the first of its attempts that ends.
func (s *simulation) recordOutcome(f *simulatedFrontEnd, outcome admission.Outcome, threads int) {
	f.inFlight--
	s.busyThreads[outcome.Engine] -= threads
	if f.open[outcome.ID] != nil {
		s.answered++
		delete(f.open, outcome.ID)
	}
}

// pendingEvent is an event that reaches a front end at a time. Events of the same time are handled in the order of
// their sequence numbers.
type pendingEvent struct {
	at       time.Duration
	sequence uint64
	front    *simulatedFrontEnd
	event    admission.Event
	threads  int // threads of the database that the end of an attempt frees
}

type pendingEvents []pendingEvent

func (p pendingEvents) Len() int { return len(p) }
func (p pendingEvents) Less(i, j int) bool {
	return p[i].at < p[j].at || (p[i].at == p[j].at && p[i].sequence < p[j].sequence)
}
func (p pendingEvents) Swap(i, j int) { p[i], p[j] = p[j], p[i] }
func (p *pendingEvents) Push(x any)   { *p = append(*p, x.(pendingEvent)) }
func (p *pendingEvents) Pop() any {
	last := (*p)[len(*p)-1]
	*p = (*p)[:len(*p)-1]
	return last
}
