package admission_test

import (
	"fmt"
	"time"

	"beechcart/admission"
)

// A front end passes events to the controller and carries out the actions that it returns.
func Example() {
	controller, err := admission.New(admission.Settings{
		Replicas: 1,
		Kinds:    []admission.Kind{{Cores: 8, MemoryMB: 16384}},
		Classes: []admission.Class{{
			LatencyObjective: time.Second, Deadline: 5 * time.Second, PriorityWeight: 1, Threads: 1,
		}},
		MaxAttempts:   3,
		MaxRetryAfter: time.Second,
	}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := 10 * time.Second
	actions := controller.Step(now, []admission.Event{
		admission.EndpointsChanged{Engines: []admission.Engine{{ID: 7}}},
		admission.Request{ID: "q1", Timeout: 5 * time.Second, TableGroup: -1},
	})
	for _, action := range actions {
		switch action := action.(type) {
		case admission.Send: // start an attempt on the engine; report its end as an Outcome
			fmt.Printf("send %s to engine %d\n", action.ID, action.Engine)
		case admission.Reject: // answer the client, which may repeat the request after RetryAfter
			fmt.Printf("reject %s for %v\n", action.ID, action.RetryAfter)
		case admission.Fail:
			fmt.Printf("fail %s\n", action.ID)
		case admission.SetTimer: // after the delay, call Step with a Timer that has this token
		}
	}
	// Output: send q1 to engine 7
}
