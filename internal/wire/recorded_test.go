package wire_test

import (
	"crypto/sha256"
	"fmt"
	"maps"
	"math/rand/v2"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"beechcart/internal/recorded"
	"beechcart/internal/wire"
)

// settingsFormat is the settings of a gateway, without its discovery mode and mode of load reports.
const settingsFormat = `{"discovery":%q,"family_info":{"size_cores":[8,16],"kind_memory_mb":[16384,32768],` +
	`"threads_by_class":[1,2,1],` +
	`"holds_tables":[false,true,false],"waits_for_loads":[true,false,false],"lanes_count":true,"says_cost":true,` +
	`"tells_every":1000000000,"overbooked":"cut","takes_grants":true,"most_grant":0.5},"locality":"east","me":0,` +
	`"replicas_of_me":2,` +
	`"permissions":{"attempts_cap":3,"cancel":true,"probes":true,"may_tell":true,"may_duplicate":true,` +
	`"max_retry_after":2000000000,"retry_after":true},"prices":{"probe":0.001},` +
	`"reporting":{"via":%q,"columns":["utilization"]},"callers":{"marks_retry":true},` +
	`"rules":{"ask_every":1000000000,"answer_slack":20000000,"cold":9000000000,"cold_from":0.3,"drain_grace":250000000,` +
	`"fall_multiple":3,"overload_for":2000000000,"settle_after_doubt":3000000000,"spare_attempts":4,"repeat_ratio":0.2,` +
	`"ratio_span":10000000000},` +
	`"services":[{"name":"small","on_time":500000000,"deadline":2000000000,"points":1,"late_worth":0.2,` +
	`"semantics":"read_like"},` +
	`{"name":"big","on_time":3000000000,"deadline":20000000000,"points":4,"late_worth":0.5,"semantics":"non_idempotent",` +
	`"runs_on":["b"]},` +
	`{"name":"put","on_time":1000000000,"deadline":5000000000,"points":2,"semantics":"idempotency_key","group":"zone",` +
	`"memory_span":4000000000,"in_order":true}],"skus":["a","b"],` +
	`"tenants":[{"name":"t","fraction":0.7,"allowance_per_s":50},{"name":"u","fraction":0.3,"allowance_per_s":10}],` +
	`"zones":["east","west"]}`

func begin(id int, discovery, reporting string) string {
	return fmt.Sprintf("begin who=%d rng_seed=%d facts=%s\n", id, id+1, fmt.Sprintf(settingsFormat, discovery, reporting))
}

func batch(clock int64, lines string) string {
	return fmt.Sprintf("tick clock=%d\n%seof_batch\n\n", clock, lines)
}

func serve(t *testing.T, in string) string {
	t.Helper()
	var out strings.Builder
	require.NoError(t, wire.Serve(strings.NewReader(in), &out))
	return out.String()
}

const engines = "catalog roster_id=0 records=3\n" +
	"engine shape=a rack_zone=east state=in_service cell=0 units=1 engine=11\n" +
	"engine shape=b rack_zone=west state=in_service cell=1 units=1.5 engine=22 last_start=500000000\n" +
	"engine shape=c rack_zone=south state=terminating cell=0 units=1 engine=33\n" +
	"endpoints who=0 scope=Complete gen=1 roster_id=0\n"

// TestRecordedMessages sends every kind of message and compares the replies with a recording.
func TestRecordedMessages(t *testing.T) {
	in := batch(1e9, "") +
		batch(2e9, begin(0, "push", "piggyback")+engines) +
		batch(21e8, "work_item who=0 ticket=q1 band=big org=t patience_left=20000000000 extra=9 source_set=4 "+
			"est_cost=50000000 mem_mb=96.5\n"+
			"work_item who=0 ticket=q2 band=small org=u patience_left=2000000000 repeat=1\n"+
			"work_item who=0 ticket=q3 band=put org=nobody order_key=k1 patience_left=5000000000 update=1\n"+
			"work_item who=0 ticket=q4 band=put org=t order_key=k1 patience_left=5000000000 update=1\n") +
		batch(22e8, "heartbeat who=0 ticket=q1 go=0 engine=22 topic=1 level=0.25\n"+
			"established who=0 ticket=q2 go=0 engine=11\nheartbeat who=0 ticket=q1 go=0 engine=22 topic=3 level=1\n") +
		batch(23e8, "response who=0 ticket=q1 go=0 engine=22 ending=1 wait_time=1000 terminal=1 stats=69728 "+
			"gauge=utilization:0.5,outstanding:3,backlog:1,x0:0.2,x1:0.1,more:9\n"+
			"cancelled_by_client who=0 ticket=q2\nresponse who=0 ticket=gone go=4 engine=99 ending=3\n") +
		batch(24e8, "memo who=0 src_peer=1 data=-\nmemo who=0 src_peer=1 data=0102ff\nping_result who=0 engine=11 ending=1 "+
			"wait_time=5 gauge=-\nping_result who=0 engine=22 ending=3 wait_time=5\n") +
		batch(26e8, "deadline_hit who=0 nonce=1\nodd_message who=0 a=b\n") +
		batch(3e9, "catalog roster_id=1 records=1\nengine shape=a rack_zone=east state=terminated cell=0 units=1 engine=11\n"+
			"endpoints who=0 scope=Partial gen=2 roster_id=1\nendpoints who=0 scope=Error gen=0 roster_id=9\n"+
			"work_item who=0 ticket=q5 band=small org=t patience_left=100000000\n") +
		batch(4e9, "kill who=0\ndeadline_hit who=0 nonce=2\n") +
		batch(5e9, begin(0, "ask", "pull")+begin(1, "ask", "pull")+"endpoints who=1 scope=Persisted gen=1 roster_id=0\n") +
		batch(6e9, "work_item who=1 ticket=q6 band=small org=t patience_left=2000000000\ndeadline_hit who=0 nonce=1\n")
	recorded.Compare(t, "messages", []byte(serve(t, in)))
}

// TestRecordedErrors compares the errors for malformed input with a recording.
func TestRecordedErrors(t *testing.T) {
	var out strings.Builder
	for _, bad := range []string{
		"work_item who=0 ticket=q band=small patience_left=soon\n", "work_item who=0 band=small patience_left=1\n",
		"work_item who=0 ticket=q band=odd patience_left=1\n", "work_item who=0 ticket=q band=small\n",
		"work_item who=0 ticket=q band=small patience_left=1 mem_mb=x\n",
		"work_item who=0 ticket=q band=small patience_left=1 mem_mb=NaN\n",
		"response who=0 ticket=q go=0 engine=4294967296 ending=1\n", "response who=0 ticket=q go=0 engine=1 ending=8\n",
		"response who=0 ticket=q go=0 engine=1 ending=-1\n", "response who=0 ticket=q go=0 engine=1 ending=1 gauge=u;1\n",
		"response who=0 ticket=q go=0 engine=1 ending=1 gauge=u:x\n", "endpoints who=0 scope=Most gen=1 roster_id=0\n",
		"endpoints who=0 scope=Complete gen=1 roster_id=7\n", "deadline_hit nonce=1\n", "deadline_hit who=0 nonce\n",
		"deadline_hit who=0 " + strings.Repeat("x", 60) + "\n", "memo who=0 src_peer=1 data=zz\n",
		"ping_result who=5 engine=1 ending=1\n",
		"begin who=1 rng_seed=1 facts={\"replicas_of_me\":0}\n",
		"begin who=1 rng_seed=1 facts={\"reporting\":{\"via\":\"x\"}}\n",
		"begin who=1 rng_seed=x facts={}\n", "catalog roster_id=3 records=-1\n", "catalog roster_id=3 records=1\nother a=b\n",
		"catalog roster_id=3\n", "catalog roster_id=3 records=1\nengine state=odd engine=1\nendpoints who=0 " +
			"scope=Complete roster_id=3\n",
		"catalog roster_id=3 records=1\nengine state=in_service\nendpoints who=0 scope=Complete roster_id=3\n",
	} {
		err := wire.Serve(strings.NewReader(batch(1e9, begin(0, "push", "pull")+bad)), &strings.Builder{})
		fmt.Fprintf(&out, "%v\n", err)
	}
	for _, bad := range []string{"tick clock=1\n", "tock\n", "tick clock=x\neof_batch\n", "tick\neof_batch\n",
		"tick clock=1\ncatalog roster_id=3 records=2\n"} {
		fmt.Fprintf(&out, "%v\n", wire.Serve(strings.NewReader(bad), &strings.Builder{}))
	}
	recorded.Compare(t, "errors", []byte(out.String()))
}

var logText = regexp.MustCompile("message=.*")

// TestRecordedRun sends random batches for two gateways, generated from a fixed seed, and compares the hash and the
// message counts of the replies with a recording.
func TestRecordedRun(t *testing.T) {
	rng := rand.New(rand.NewPCG(20, 7))
	var in strings.Builder
	in.WriteString(batch(1e9, begin(0, "push", "piggyback")+begin(1, "push",
		"pull")+engines+"endpoints who=1 scope=Complete gen=1 roster_id=0\n"))
	classes, tenants, states := []string{"small", "big", "put"}, []string{"t", "u", "x"}, []string{"in_service",
		"terminating", "terminated"}
	for tick := range 400 {
		var lines strings.Builder
		for n := range rng.IntN(4) {
			fmt.Fprintf(&lines, "work_item who=%d ticket=q%d.%d band=%s org=%s order_key=k%d patience_left=%d est_cost=%d "+
				"mem_mb=%d source_set=%d repeat=%d\n",
				rng.IntN(2), tick, n, classes[rng.IntN(3)], tenants[rng.IntN(3)], rng.IntN(3), 1e8+rng.Int64N(4e9),
				rng.Int64N(2e8),
				rng.IntN(400), rng.IntN(3), rng.IntN(2))
		}
		for n := range rng.IntN(5) {
			fmt.Fprintf(&lines, "response who=%d ticket=q%d.%d go=%d engine=%d ending=%d wait_time=%d terminal=%d stats=%d "+
				"gauge=utilization:%.2f\n",
				rng.IntN(2), max(0, tick-rng.IntN(12)), n, rng.IntN(2), 11*(1+rng.IntN(3)), rng.IntN(8), rng.Int64N(1e9),
				rng.IntN(2),
				rng.IntN(200000), rng.Float64())
		}
		switch rng.IntN(12) {
		case 0:
			fmt.Fprintf(&lines, "cancelled_by_client who=%d ticket=q%d.0\n", rng.IntN(2), max(0, tick-rng.IntN(5)))
		case 1:
			fmt.Fprintf(&lines, "ping_result who=%d engine=%d ending=%d wait_time=%d gauge=utilization:%.2f\n", rng.IntN(2),
				11*(1+rng.IntN(3)),
				rng.IntN(8), rng.Int64N(1e8), rng.Float64())
		case 2:
			fmt.Fprintf(&lines, "catalog roster_id=1 records=1\nengine shape=b rack_zone=east state=%s cell=0 units=1 "+
				"engine=%d\n"+
				"endpoints who=%d scope=Partial gen=2 roster_id=1\n", states[rng.IntN(3)], 11*(1+rng.IntN(3)), rng.IntN(2))
		case 3:
			fmt.Fprintf(&lines, "memo who=%d src_peer=1 data=%08x\n", rng.IntN(2), rng.Uint32())
		}
		for n := range 3 {
			fmt.Fprintf(&lines, "deadline_hit who=%d nonce=%d\n", rng.IntN(2), max(0, tick-n))
		}
		in.WriteString(batch(1e9+int64(tick+1)*5e7, lines.String()))
	}
	out := logText.ReplaceAllString(serve(t, in.String()), "message=") // the text of log messages may change
	counts := map[string]int{}
	for line := range strings.Lines(out) {
		op, _, _ := strings.Cut(strings.TrimSpace(line), " ")
		counts[op]++
	}
	var got strings.Builder
	fmt.Fprintf(&got, "%x %d bytes\n", sha256.Sum256([]byte(out)), len(out))
	for _, op := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(&got, "%s %d\n", op, counts[op])
	}
	recorded.Compare(t, "run", []byte(got.String()))
}
