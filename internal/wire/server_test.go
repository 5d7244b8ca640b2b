package wire

import (
	"bufio"
	"fmt"
	"strings"
	"testing"
)

// settingsJSON is the settings of a gateway. The unknown field is ignored.
const settingsJSON = `{"discovery":"push","family_info":{"size_cores":[8,8],"kind_memory_mb":[16384,16384],` +
	`"threads_by_class":[1,2],"holds_tables":[false,true],"waits_for_loads":[true,false],"lanes_count":true,` +
	`"overbooked":"cut","takes_grants":true,"unheard_of":{"x":1}},"locality":"east","me":0,"replicas_of_me":1,` +
	`"permissions":{"attempts_cap":3,"max_retry_after":2000000000,"retry_after":true},` +
	`"reporting":{"via":"piggyback","columns":["utilization"]},` +
	`"rules":{"cold":9000000000,"cold_from":0.3,"drain_grace":250000000,"fall_multiple":3,"overload_for":2000000000},` +
	`"services":[{"name":"small","on_time":500000000,"deadline":2000000000,"points":1,"semantics":"read_like"},` +
	`{"name":"big","on_time":3000000000,"deadline":20000000000,"points":4,"semantics":"non_idempotent",` +
	`"runs_on":["b"]}],"skus":["a","b"],"tenants":[{"name":"t","fraction":1,"allowance_per_s":50}],"zones":["east"]}`

func begin(id int) string {
	return fmt.Sprintf("begin who=%d rng_seed=%d facts=%s\n", id, id+1, settingsJSON) +
		"catalog roster_id=0 records=2\n" +
		"engine shape=a rack_zone=east state=in_service cell=0 units=1 engine=11\n" +
		"engine shape=b rack_zone=east state=in_service cell=0 units=1 engine=22\n" +
		fmt.Sprintf("endpoints who=%d scope=Persisted gen=1 roster_id=0\n", id)
}

func batch(clock int64, lines string) string {
	return fmt.Sprintf("tick clock=%d\n%seof_batch\n\n", clock, lines)
}

func serve(in string) (string, error) {
	var out strings.Builder
	err := Serve(strings.NewReader(in), &out)
	return out.String(), err
}

func TestServesRequest(t *testing.T) {
	out, err := serve(batch(1e9, "") + batch(2e9, begin(3)) +
		batch(21e8, "work_item who=3 ticket=q1 band=big org=t patience_left=20000000000 extra=9 source_set=4\n") +
		batch(22e8, "response who=3 ticket=q1 go=0 engine=22 ending=1 wait_time=1000 terminal=1 stats=69728 "+
			"gauge=utilization:0.5\n"+
			"cancelled_by_client who=3 ticket=q1\nresponse who=3 ticket=gone go=4 engine=99 ending=3\n"))
	if err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(out, "ready\n"); n != 4 {
		t.Errorf("got %d replies, want 4", n)
	}
	if !strings.HasPrefix(out, "ready\n") {
		t.Error("the reply to an empty batch is not the line ready alone")
	}
	if !strings.Contains(out, "transmit who=3 ticket=q1 engine=22 ") {
		t.Errorf("the request was not sent to engine 22, the only engine of its kind: %s", out)
	}
	if strings.Contains(out, "refuse") || strings.Contains(out, "finish_error") {
		t.Errorf("the request was rejected or failed after it was served: %s", out)
	}
}

// TestCatalogsAreAppliedInOrder replaces a catalog within a batch, between two messages that refer to it. Each change
// of the endpoint list must use the catalog as it is at that point of the batch.
func TestCatalogsAreAppliedInOrder(t *testing.T) {
	out, err := serve(batch(1e9, begin(0)+
		"catalog roster_id=0 records=1\nengine shape=b rack_zone=east state=terminated cell=0 units=1 engine=22\n"+
		"endpoints who=0 scope=Partial gen=2 roster_id=0\nendpoints who=0 scope=Error gen=0 roster_id=9\n") +
		batch(2e9, "work_item who=0 ticket=q band=big org=nobody patience_left=9000000000\n"))
	if err != nil {
		t.Fatal(err)
	}
	if strings.Contains(out, "transmit") {
		t.Errorf("the request was sent to an engine that had been removed: %s", out)
	}
}

// TestKillAndBeginInOneBatch restarts a gateway within a batch. The new gateway must handle its own requests and none
// of its predecessor's.
func TestKillAndBeginInOneBatch(t *testing.T) {
	workItem := "work_item who=0 ticket=%s band=small org=t patience_left=2000000000\n"
	out, err := serve(batch(1e9, begin(0)+fmt.Sprintf(workItem, "old")) +
		batch(2e9, "kill who=0\n"+begin(0)+fmt.Sprintf(workItem, "new")) + batch(9e9, "deadline_hit who=0 nonce=1\n"))
	if err != nil {
		t.Fatal(err)
	}
	last := out[strings.LastIndex(out[:len(out)-10], "ready"):]
	if strings.Contains(last, "old") {
		t.Errorf("a request of the killed gateway is in the last reply: %s", last)
	}
	if !strings.Contains(out, "ticket=new") {
		t.Error("the new gateway did not handle its request")
	}
}

// TestGatewaysAreIndependent checks that a gateway acts the same with and without a second gateway in the batch.
func TestGatewaysAreIndependent(t *testing.T) {
	workItem := "work_item who=%d ticket=q band=small org=t patience_left=2000000000\n"
	both, err := serve(batch(1e9, begin(0)+begin(1)) + batch(2e9, fmt.Sprintf(workItem, 0)+fmt.Sprintf(workItem, 1)))
	if err != nil {
		t.Fatal(err)
	}
	for id := range 2 {
		alone, err := serve(batch(1e9, begin(id)) + batch(2e9, fmt.Sprintf(workItem, id)))
		if err != nil {
			t.Fatal(err)
		}
		for _, l := range strings.Split(alone, "\n") {
			if !strings.Contains(both, l) {
				t.Errorf("line %q is in the replies to one gateway alone, but not in the replies to both gateways", l)
			}
		}
	}
}

// TestMalformedInputNamesLineAndField checks that the error for malformed input names its line and field.
func TestMalformedInputNamesLineAndField(t *testing.T) {
	for bad, want := range map[string]string{
		"work_item who=0 ticket=q band=small patience_left=soon\n":       "patience_left",
		"work_item who=0 band=small patience_left=1\n":                   "ticket",
		"work_item who=0 ticket=q band=odd patience_left=1\n":            "band",
		"response who=0 ticket=q go=0 engine=4294967296 ending=1\n":      "engine",
		"response who=0 ticket=q go=0 engine=1 ending=8\n":               "ending",
		"response who=0 ticket=q go=0 engine=1 ending=1 gauge=u;1\n":     "gauge",
		"endpoints who=0 scope=Most gen=1 roster_id=0\n":                 "scope",
		"endpoints who=0 scope=Complete gen=1 roster_id=7\n":             "roster_id",
		"deadline_hit nonce=1\n":                                         "who",
		"deadline_hit who=0 nonce\n":                                     "name=value",
		"memo who=0 src_peer=1 data=zz\n":                                "data",
		"ping_result who=5 engine=1 ending=1\n":                          "who",
		"begin who=1 rng_seed=1 facts={\"replicas_of_me\":0}\n":          "Replicas",
		"begin who=1 rng_seed=1 facts={\"reporting\":{\"via\":\"x\"}}\n": "reporting.via",
	} {
		_, err := serve(batch(1e9, begin(0)+bad))
		if err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), "line 7") {
			t.Errorf("%q: error is %v, want line 7 and %s", bad, err, want)
		}
	}
	if _, err := serve("tick clock=1\n"); err == nil {
		t.Error("a batch without eof_batch was accepted")
	}
}

// TestPanicBecomesFatal checks that a panic of a controller is reported once, with the message fatal.
func TestPanicBecomesFatal(t *testing.T) {
	var out strings.Builder
	s := &server{out: bufio.NewWriter(&out), gateways: map[int]*gateway{4: {running: true}}}
	s.step(4) // panics, since the gateway has no controller
	s.step(4) // has no effect, since the panic has stopped the gateway
	if err := s.out.Flush(); err != nil {
		t.Fatal(err)
	}
	if got := out.String(); !strings.HasPrefix(got, "fatal who=4 message=") || strings.Count(got, "\n") != 1 {
		t.Errorf("got %q, want one line with the message fatal", got)
	}
}
