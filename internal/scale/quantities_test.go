package scale

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against recording a drain that the control log never accepted as in force after 0 s.
func TestSamplesOmitLatencyOfLostDrain(t *testing.T) {
	latencies := func(lost bool) (values []float64) {
		r := Result{Scale: Sizes{Members: 10}, Faults: []FaultResult{{Name: "zone", DrainInForce: 3, DrainLost: lost}}}
		for _, s := range r.Samples(1) {
			if s.Quantity == "fault_zone_drain_in_force_seconds" {
				values = append(values, s.Value)
			}
		}
		return values
	}
	assert.Equal(t, []float64{3}, latencies(false))
	assert.Empty(t, latencies(true))
}
