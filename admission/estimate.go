package admission

import (
	"math"
	"time"
)

// The margins of memory over the estimate: where this front end grants it, as estimates have a long upper tail, and
// where the engine alone decides.
const (
	reservationMargin = 1.5
	engineGrantMargin = 1.25
)

// Corrections of estimates: how fast they follow, and from how many answers on they are used.
const (
	correctionRate       = 0.03
	correctionMinSamples = 5
)

// How fast the means of a class follow at least, and how fast its slowdown on calm engines follows.
const (
	minMeanRate  = 0.01
	slowdownRate = 0.03
)

// The work assumed of a class before its first answers counts as so many of them.
const initialWorkSamples = 4

// objectiveOverWork is the latency objective of a class over the time that its requests are assumed to take before its
// first answers.
const objectiveOverWork = 3

// initialLogSlowdown is the logarithm of the slowdown that is assumed on calm engines before any was seen.
const initialLogSlowdown = 0.3

// minWork is the least work of a request, in seconds over all threads.
const minWork = 0.001

// Bounds on what one answer teaches: its latency as work, over the mean of the class, and its slowdown.
const (
	maxWorkByLatency = 20
	minSeenSlowdown  = 0.2
	maxSeenSlowdown  = 8
)

// classEstimate is what answers have taught of one class.
type classEstimate struct {
	requests float64 // that arrived

	work           float64 // mean, in seconds over all threads
	answers        float64 // that it is a mean of
	workSamples    correction
	workCorrection float64 // work over its estimate

	memory           float64 // mean, in MB
	memoryAnswers    float64
	memorySamples    correction
	memoryCorrection float64

	logSlowdown float64         // mean slowdown on calm engines, as a logarithm
	answeredAt  time.Duration   // when any engine answered the class last
	overdue     overdueAttempts // of the engine that checkOverdueAttempts looks at
}

func newClassEstimate(class *Class) classEstimate {
	return classEstimate{
		work:             class.LatencyObjective.Seconds() * float64(class.Threads) / objectiveOverWork,
		workCorrection:   1,
		memoryCorrection: 1,
		logSlowdown:      initialLogSlowdown,
	}
}

// countRequest takes in a request that arrived. Its estimate counts for the class until answers do.
func (e *classEstimate) countRequest(request *requestState) {
	e.requests++
	if request.Work > 0 && e.answers < correctionMinSamples {
		e.work += (request.Work.Seconds() - e.work) / e.requests
	}
}

// correction relates what was found to what was estimated.
type correction struct{ samples, actual, estimate float64 }

// observe takes a pair in and returns the factor by which estimates are to be corrected.
func (c *correction) observe(actual, estimate float64) float64 {
	c.samples++
	rate := math.Max(correctionRate, 1/c.samples)
	c.actual += (actual - c.actual) * rate
	c.estimate += (estimate - c.estimate) * rate
	if c.samples < correctionMinSamples {
		return 1
	}
	return c.actual / math.Max(c.estimate, 1e-6)
}

// expectedWork is the expected work of a request, in seconds over all its threads.
func (c *Controller) expectedWork(request *requestState) float64 {
	estimate := &c.estimates[request.Class]
	work := estimate.work
	if request.Work > 0 {
		work = request.Work.Seconds() * estimate.workCorrection
	}
	return math.Max(work, minWork)
}

// expectedMemory is the memory to reserve for a request, in MB; 0 where nothing tells it.
func (c *Controller) expectedMemory(request *requestState) float64 {
	estimate := &c.estimates[request.Class]
	switch {
	case request.MemoryMB <= 0:
		return estimate.memory * reservationMargin
	case c.settings.GrantsSupported:
		return request.MemoryMB * estimate.memoryCorrection * reservationMargin
	}
	return request.MemoryMB * engineGrantMargin
}

// expectedLatency is the expected time from sending to answer, on an engine of that slowdown.
func (c *Controller) expectedLatency(request *requestState, slowdown float64) time.Duration {
	slowdown *= math.Exp(c.estimates[request.Class].logSlowdown)
	threads := float64(request.classSettings.Threads)
	return time.Duration(c.expectedWork(request) / threads * slowdown * float64(time.Second))
}

// learnFromAnswer takes work, memory and slowdown from an answer.
func (c *Controller) learnFromAnswer(request *requestState, attempt *attemptState, event Outcome) {
	c.learnWork(request, attempt, event)
	c.estimates[request.Class].learnMemory(request, event)
	c.learnSlowdown(request, attempt, event)
}

// learnWork takes the work from an answer. Where it isn't told, the latency on a calm engine stands for it. A slow plan
// doesn't count as the work of its class.
func (c *Controller) learnWork(request *requestState, attempt *attemptState, event Outcome) {
	estimate := &c.estimates[request.Class]
	work := event.Work.Seconds()
	if work <= 0 && attempt.onCalmEngine {
		byLatency := event.Latency.Seconds() * float64(request.classSettings.Threads)
		work = math.Min(byLatency, maxWorkByLatency*estimate.work)
	}
	if request.Work > 0 && event.Work > 0 {
		work = math.Min(work, slowPlanMultiple*c.expectedWork(request))
		estimate.workCorrection = estimate.workSamples.observe(work, request.Work.Seconds())
	}
	if work > 0 {
		estimate.answers++
		estimate.work += (work - estimate.work) * math.Max(minMeanRate, 1/(estimate.answers+initialWorkSamples))
	}
}

func (e *classEstimate) learnMemory(request *requestState, event Outcome) {
	if event.MemoryMB <= 0 {
		return
	}
	e.memoryAnswers++
	e.memory += (event.MemoryMB - e.memory) * math.Max(minMeanRate, 1/e.memoryAnswers)
	if request.MemoryMB > 0 {
		e.memoryCorrection = e.memorySamples.observe(event.MemoryMB, request.MemoryMB)
	}
}

// learnSlowdown takes the slowdown from an answer: its latency over its work a thread, against what the class has on
// calm engines.
func (c *Controller) learnSlowdown(request *requestState, attempt *attemptState, event Outcome) {
	estimate := &c.estimates[request.Class]
	work := estimate.work
	if event.Work > 0 {
		work = event.Work.Seconds()
	}
	slowdown := event.Latency.Seconds() * float64(request.classSettings.Threads) / math.Max(work, minWork)
	logSlowdown := math.Log(math.Min(math.Max(slowdown, minSeenSlowdown), maxSeenSlowdown))
	if attempt.onCalmEngine {
		estimate.logSlowdown += (logSlowdown - estimate.logSlowdown) * slowdownRate
	}
	c.adjustThreadFactor(attempt.engine, logSlowdown-estimate.logSlowdown)
	c.adjustThreadFactor(&c.allEngines, logSlowdown-estimate.logSlowdown)
}
