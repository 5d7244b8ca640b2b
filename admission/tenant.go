package admission

import (
	"math"
	"time"
)

// tenantState is what the controller keeps of one tenant.
type tenantState struct {
	queues  [][2][]*requestState // by class and queue rank
	weight  float64              // in the deficit round robin
	deficit float64              // work that it may still send in its turn, in seconds over all threads

	threads     float64 // of its attempts in flight
	memory      float64 // reserved by them, in MB
	smallMemory float64 // by those of small classes

	tokens        float64 // requests that are within its quota
	tokensAt      time.Duration
	arrivalRate   float64 // requests a second, as of arrivalRateAt; read it with Controller.arrivalRate
	arrivalRateAt time.Duration
}

func newTenant(classes int) *tenantState {
	return &tenantState{queues: make([][2][]*requestState, classes), weight: 1, tokens: math.Inf(1)}
}

// idle reports whether none of its requests waits.
func (t *tenantState) idle() bool {
	for _, ranks := range t.queues {
		if len(ranks[0])+len(ranks[1]) > 0 {
			return false
		}
	}
	return true
}
