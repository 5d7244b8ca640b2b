package endpoints

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"beechcart/admission"
)

// endpoint returns an entry of a list. started is in milliseconds.
func endpoint(id uint32, address string, state admission.State, started int) Endpoint {
	return Endpoint{
		Engine:  admission.Engine{ID: id, State: state, Started: time.Duration(started) * time.Millisecond},
		Name:    string(rune('a' + id)),
		Address: address,
	}
}

// An engine must be removed as soon as another one is listed at its address, and stay removed until it starts again.
func TestEngineIsRemovedWhenAnotherOneHasItsAddress(t *testing.T) {
	ready, draining, removed := admission.Ready, admission.Draining, admission.Removed
	type entry struct {
		id    uint32
		state admission.State
	}
	for name, steps := range map[string][]struct {
		list List
		want []entry
	}{
		"a new engine": {
			{List{true, []Endpoint{endpoint(0, "x", ready, 0), endpoint(1, "y", ready, 0)}}, []entry{{0, ready}, {1, ready}}},
			{List{false, []Endpoint{endpoint(2, "x", ready, 5)}}, []entry{{0, removed}, {2, ready}}},
			{List{false, []Endpoint{endpoint(0, "x", ready, 0)}}, []entry{{0, removed}}},
			{List{false, []Endpoint{endpoint(0, "x", removed, 0)}}, []entry{{0, removed}}},
			{List{false, []Endpoint{endpoint(0, "x", ready, 9)}}, []entry{{2, removed}, {0, ready}}},
		},
		"a new engine without a time": {
			{List{true, []Endpoint{endpoint(0, "x", ready, 0)}}, []entry{{0, ready}}},
			{List{false, []Endpoint{endpoint(2, "x", ready, 0)}}, []entry{{0, removed}, {2, ready}}},
			{List{false, []Endpoint{endpoint(0, "x", ready, 0)}}, []entry{{0, removed}}},
			{List{false, []Endpoint{endpoint(0, "x", draining, 0)}}, []entry{{0, draining}}},
			{List{false, []Endpoint{endpoint(2, "x", ready, 0)}}, []entry{{2, ready}}},
		},
		"a complete list": {
			{List{true, []Endpoint{endpoint(0, "x", ready, 5)}}, []entry{{0, ready}}},
			{List{true, []Endpoint{endpoint(1, "x", ready, 0)}}, []entry{{1, ready}}},
		},
		"the engine that is there restarts": {
			{List{true, []Endpoint{endpoint(0, "x", ready, 0)}}, []entry{{0, ready}}},
			{List{false, []Endpoint{endpoint(0, "x", ready, 7)}}, []entry{{0, ready}}},
		},
		"gone in the same list": {
			{List{true, []Endpoint{endpoint(0, "x", ready, 0)}}, []entry{{0, ready}}},
			{List{false, []Endpoint{endpoint(0, "x", removed, 0), endpoint(1, "x", ready, 3)}},
				[]entry{{0, removed}, {1, ready}}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			owners := newAddressOwners()
			for i, step := range steps {
				var got []entry
				for _, e := range owners.apply(step.list).Endpoints {
					got = append(got, entry{e.ID, e.State})
				}
				assert.Equal(t, step.want, got, "step %d", i)
			}
		})
	}
}
