package admission

import (
	"math"
	"time"
)

// Margins on memory estimates, as factors. reservationMargin applies where this front end grants the memory, as
// estimates have a long upper tail; engineGrantMargin applies where the engine alone decides.
const (
	reservationMargin = 1.5
	engineGrantMargin = 1.25
)

// correctionRate is the lowest weight of a sample in a correction of estimates. Corrections apply from
// correctionMinSamples samples on.
const (
	correctionRate       = 0.03
	correctionMinSamples = 5
)

// Weights of one answer in the estimates of its class.
const (
	minMeanRate  = 0.01 // in mean work and mean memory, at least
	slowdownRate = 0.03 // in the slowdown on calm engines
)

// initialWorkSamples is the number of answers that the work assumed of a class before its first answers counts as.
const initialWorkSamples = 4

// objectiveOverWork is the latency objective of a class divided by the time that its requests are assumed to take
// before the first answers.
const objectiveOverWork = 3

// initialLogSlowdown is the logarithm of the slowdown that is assumed on calm engines before the first answers.
const initialLogSlowdown = 0.3

// minWork is the lower bound on the work of a request, in seconds over all threads.
const minWork = 0.001

// Bounds on the values learned from one answer.
const (
	maxWorkByLatency    = 20 // work derived from the latency, as a multiple of the mean work of the class
	minObservedSlowdown = 0.2
	maxObservedSlowdown = 8
)

// classEstimate holds the estimates of one class and the samples behind them.
type classEstimate struct {
	requests float64 // number of arrivals

	work           float64 // mean, in seconds over all threads
	answers        float64 // number of answers in the mean work
	workSamples    correction
	workCorrection float64 // factor on the work estimates of requests

	memory           float64 // mean, in MB
	memoryAnswers    float64 // number of answers in the mean memory
	memorySamples    correction
	memoryCorrection float64 // factor on the memory estimates of requests

	logSlowdown float64         // mean slowdown on calm engines, as a logarithm
	answeredAt  time.Duration   // when an engine last answered a request of the class
	overdue     overdueAttempts // at the engine that checkOverdueAttempts is checking
}

func newClassEstimate(class *Class) classEstimate {
	return classEstimate{
		work:             class.LatencyObjective.Seconds() * float64(class.Threads) / objectiveOverWork,
		workCorrection:   1,
		memoryCorrection: 1,
		logSlowdown:      initialLogSlowdown,
	}
}

// countRequest counts an arrival. The mean work of the class follows the estimates of requests until
// correctionMinSamples answers have come.
func (e *classEstimate) countRequest(request *requestState) {
	e.requests++
	if request.Work > 0 && e.answers < correctionMinSamples {
		e.work += (request.Work.Seconds() - e.work) / e.requests
	}
}

// correction relates smoothed actual values to smoothed estimates.
type correction struct{ samples, actual, estimate float64 }

// observe adds a pair of values and returns the factor to apply to estimates, which is 1 below correctionMinSamples
// pairs.
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

// expectedWork returns the expected work of a request, in seconds over all its threads.
func (c *Controller) expectedWork(request *requestState) float64 {
	estimate := &c.estimates[request.Class]
	work := estimate.work
	if request.Work > 0 {
		work = request.Work.Seconds() * estimate.workCorrection
	}
	return math.Max(work, minWork)
}

// expectedMemory returns the memory to reserve for a request, in MB; 0 if neither the request nor an answer of its
// class gives one.
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

// expectedLatency returns the expected time from sending to answer on an engine with the slowdown.
func (c *Controller) expectedLatency(request *requestState, slowdown float64) time.Duration {
	slowdown *= math.Exp(c.estimates[request.Class].logSlowdown)
	threads := float64(request.classSettings.Threads)
	return time.Duration(c.expectedWork(request) / threads * slowdown * float64(time.Second))
}

// learnFromAnswer updates the estimates of work, memory and slowdown with an answer.
func (c *Controller) learnFromAnswer(request *requestState, attempt *attemptState, event Outcome) {
	c.learnWork(request, attempt, event)
	c.estimates[request.Class].learnMemory(request, event)
	c.learnSlowdown(request, attempt, event)
}

// learnWork updates the work of the class with an answer. If the answer reports no work, its latency on a calm engine
// is used instead. The work of a request with an estimate counts only up to slowPlanMultiple times the expected work,
// so that slow plans do not raise the mean of the class.
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

// learnSlowdown updates slowdowns with that of an answer: its latency divided by its work per thread, relative to the
// slowdown of the class on calm engines.
func (c *Controller) learnSlowdown(request *requestState, attempt *attemptState, event Outcome) {
	estimate := &c.estimates[request.Class]
	work := estimate.work
	if event.Work > 0 {
		work = event.Work.Seconds()
	}
	slowdown := event.Latency.Seconds() * float64(request.classSettings.Threads) / math.Max(work, minWork)
	logSlowdown := math.Log(math.Min(math.Max(slowdown, minObservedSlowdown), maxObservedSlowdown))
	if attempt.onCalmEngine {
		estimate.logSlowdown += (logSlowdown - estimate.logSlowdown) * slowdownRate
	}
	c.adjustThreadFactor(attempt.engine, logSlowdown-estimate.logSlowdown)
	c.adjustThreadFactor(&c.allEngines, logSlowdown-estimate.logSlowdown)
}
