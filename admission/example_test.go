package admission_test

import (
	"fmt"
	"time"

	"beechcart/admission"
)

// A front end tells the controller what happened and carries out what it answers.
func Example() {
	ctl, err := admission.New(admission.Settings{
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
	actions := ctl.Step(now, []admission.Event{
		admission.EndpointsChanged{Engines: []admission.Engine{{ID: 7}}},
		admission.Request{ID: "q1", Timeout: 5 * time.Second, TableGroup: -1},
	})
	for _, a := range actions {
		switch a := a.(type) {
		case admission.Send: // start the request on the engine; report its end as an Outcome
			fmt.Printf("send %s to engine %d\n", a.ID, a.Engine)
		case admission.Reject: // tell the client when to come back
			fmt.Printf("reject %s for %v\n", a.ID, a.RetryAfter)
		case admission.Fail:
			fmt.Printf("fail %s\n", a.ID)
		case admission.SetTimer: // call Step with a Timer of this token after the delay
		}
	}
	// Output: send q1 to engine 7
}
