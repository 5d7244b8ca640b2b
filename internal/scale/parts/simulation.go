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

// simulatedWork is the mean work of a statement on one core, by class of faulttest.Settings.
var simulatedWork = []time.Duration{time.Millisecond, 8 * time.Millisecond, 8 * time.Millisecond}

const (
	simulatedCores = 4                    // of a database, as faulttest.Settings tell
	simulatedTrip  = time.Millisecond     // there and back
	simulatedProbe = 2 * time.Millisecond // from a probe to its answer
	tableGroups    = 20
)

// maxIdleConnections is the most connections to databases that a front end keeps: by decision/reuse, and by its
// sockets.
func maxIdleConnections() float64 { return float64(min(reuse.Defaults().MaxIdleTotal, frontSockets/8)) }

// simulation is some front ends of a fleet and its databases on one clock.
type simulation struct {
	size    record.Size
	rate    int           // statements a second to each front end
	stretch time.Duration // times the work of each statement
	shared  bool          // databases are as loaded as the front ends make them; otherwise in mean use throughout

	now     time.Duration
	pending pendingEvents
	order   uint64 // of events at one time
	fronts  []*simulatedFrontEnd
	threads []int // that run, by database

	asked, answered int
}

func newSimulation(size record.Size, rate int, stretch time.Duration) *simulation {
	return &simulation{size: size, rate: rate, stretch: stretch, now: 1000 * time.Second,
		threads: make([]int, size.Engines+1)}
}

// simulatedFrontEnd is one controller with what its clients and databases know.
type simulatedFrontEnd struct {
	controller *admission.Controller
	classes    []admission.Class
	random     *rand.Rand
	open       map[string]*simulatedStatement

	sent, probed         map[uint32]bool
	probes, out, mostOut int
}

type simulatedStatement struct {
	class, attempts int
}

// addFrontEnd adds the front end with that place in the fleet.
func (s *simulation) addFrontEnd(me int, repeat uint64) error {
	set, _, err := factsOf(me, s.size.Members)
	if err != nil {
		return err
	}
	seed := repeat<<32 + uint64(me)
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
	s.fronts = append(s.fronts, f)
	s.step(f, list)
	s.nextArrival(f)
	return nil
}

// contacted are the databases that were sent to or probed.
func (f *simulatedFrontEnd) contacted() map[uint32]bool {
	all := map[uint32]bool{}
	for _, some := range []map[uint32]bool{f.sent, f.probed} {
		for engine := range some {
			all[engine] = true
		}
	}
	return all
}

// unanswered is the share of statements that were rejected or failed, or are open still.
func (s *simulation) unanswered() float64 { return 1 - float64(s.answered)/float64(max(1, s.asked)) }

// run plays on for so long.
func (s *simulation) run(ctx context.Context, long time.Duration) error {
	for end := s.now + long; len(s.pending) > 0 && s.pending[0].at < end; {
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
			s.ended(next.front, outcome, next.threads)
		}
		s.step(next.front, next.event)
	}
	return nil
}

// later lets an event come to a front end; a nil one is its next statement.
func (s *simulation) later(after time.Duration, f *simulatedFrontEnd, event admission.Event) {
	s.laterEnd(after, f, event, 0)
}

// laterEnd is later for the end of an attempt, which frees threads of its database.
func (s *simulation) laterEnd(after time.Duration, f *simulatedFrontEnd, event admission.Event, threads int) {
	s.order++
	heap.Push(&s.pending, pendingEvent{at: s.now + after, order: s.order, front: f, event: event, threads: threads})
}

// nextArrival draws the time to a front end's next statement.
func (s *simulation) nextArrival(f *simulatedFrontEnd) {
	s.later(time.Duration(f.random.ExpFloat64()*float64(time.Second)/float64(s.rate)), f, nil)
}

// arrive makes a statement, its class drawn by the shares of faulttest.Classes.
func (s *simulation) arrive(f *simulatedFrontEnd) {
	s.nextArrival(f)
	class, left := 0, f.random.Float64()
	for ; class < len(faulttest.Classes)-1 && left >= faulttest.Classes[class].Share; class++ {
		left -= faulttest.Classes[class].Share
	}
	s.asked++
	id := fmt.Sprintf("%016x", s.asked)
	f.open[id] = &simulatedStatement{class: class}
	s.step(f, admission.Request{ID: id, Class: class, Timeout: f.classes[class].Deadline,
		Work: s.stretch * simulatedWork[class], MemoryMB: 16,
		TableGroup: f.random.IntN(tableGroups)})
}

// step hands an event to a controller and carries its answer out.
func (s *simulation) step(f *simulatedFrontEnd, event admission.Event) {
	for _, action := range f.controller.Step(s.now, []admission.Event{event}) {
		switch action := action.(type) {
		case admission.Send:
			s.send(f, action)
		case admission.HealthCheck:
			f.probes++
			f.probed[action.Engine] = true
			s.later(simulatedProbe, f, admission.HealthCheckResult{Engine: action.Engine, Status: admission.OK,
				Latency: simulatedProbe,
				Report: &admission.Report{InFlight: -1, Queued: -1, Utilization: s.use(action.Engine), MemoryUtilization: -1,
					DiskUtilization: -1}})
		case admission.SetTimer:
			s.later(action.Delay, f, admission.Timer{Token: action.Token})
		case admission.Reject:
			delete(f.open, action.ID)
		case admission.Fail:
			delete(f.open, action.ID)
		}
	}
}

// use is how much of its cores a database uses.
func (s *simulation) use(engine uint32) float64 {
	if !s.shared {
		return meanUse
	}
	return min(1, float64(s.threads[engine])/simulatedCores)
}

// send starts an attempt: its work drawn around the mean, stretched where the database's cores are short.
func (s *simulation) send(f *simulatedFrontEnd, send admission.Send) {
	statement := f.open[send.ID]
	if statement == nil {
		return
	}
	f.sent[send.Engine] = true
	f.out++
	f.mostOut = max(f.mostOut, f.out)
	threads := max(1, f.classes[statement.class].Threads)
	s.threads[send.Engine] += threads
	crowd := 1.0
	if s.shared {
		crowd = max(1, float64(s.threads[send.Engine])/simulatedCores)
	}
	work := time.Duration(float64(s.stretch*simulatedWork[statement.class]) * f.random.ExpFloat64())
	took := simulatedTrip + time.Duration(crowd*float64(work)/float64(threads))
	s.laterEnd(took, f, admission.Outcome{ID: send.ID, Attempt: statement.attempts, Engine: send.Engine,
		Status: admission.OK, Latency: took,
		Closed: true, Work: work, MemoryMB: 16}, threads)
	statement.attempts++
}

// ended books the end of an attempt. The first one's answer is its statement's.
func (s *simulation) ended(f *simulatedFrontEnd, outcome admission.Outcome, threads int) {
	f.out--
	s.threads[outcome.Engine] -= threads
	if f.open[outcome.ID] != nil {
		s.answered++
		delete(f.open, outcome.ID)
	}
}

// pendingEvent is an event that comes to a front end at a time; those of one time come in the order in which they were
// made.
type pendingEvent struct {
	at      time.Duration
	order   uint64
	front   *simulatedFrontEnd
	event   admission.Event
	threads int // that an Outcome frees at its database
}

type pendingEvents []pendingEvent

func (p pendingEvents) Len() int { return len(p) }
func (p pendingEvents) Less(i, j int) bool {
	return p[i].at < p[j].at || (p[i].at == p[j].at && p[i].order < p[j].order)
}
func (p pendingEvents) Swap(i, j int) { p[i], p[j] = p[j], p[i] }
func (p *pendingEvents) Push(x any)   { *p = append(*p, x.(pendingEvent)) }
func (p *pendingEvents) Pop() any {
	last := (*p)[len(*p)-1]
	*p = (*p)[:len(*p)-1]
	return last
}
