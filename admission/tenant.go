package admission

import (
	"math"
	"time"
)

// tenantState is the controller's state of one tenant.
type tenantState struct {
	queues  [][2][]*requestState // by class and queue rank
	weight  float64              // in the deficit round robin
	deficit float64              // work that the tenant may still send, in seconds over all threads

	threads     float64 // of the tenant's attempts in flight
	memory      float64 // reserved by these attempts, in MB
	smallMemory float64 // reserved by those of small classes, in MB

	tokens        float64 // of the quota: one admits a request as within the quota
	tokensAt      time.Duration
	arrivalRate   float64 // requests per second as of arrivalRateAt; Controller.arrivalRate returns the current rate
	arrivalRateAt time.Duration
}

func newTenant(classes int) *tenantState {
	return &tenantState{queues: make([][2][]*requestState, classes), weight: 1, tokens: math.Inf(1)}
}

// idle reports whether all queues of the tenant are empty.
func (t *tenantState) idle() bool {
	for _, ranks := range t.queues {
		if len(ranks[0])+len(ranks[1]) > 0 {
			return false
		}
	}
	return true
}
