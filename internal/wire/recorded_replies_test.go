package wire_test

import (
	"bufio"
	"crypto/sha256"
	"fmt"
	"hash"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"beechcart/internal/recorded"

	"github.com/stretchr/testify/require"

	"beechcart/internal/wire"
)

const recordedFacts = `{"discovery":"%s","family_info":{"size_cores":[8,8],"kind_memory_mb":[16384,16384],` +
	`"threads_by_class":[1,2],"holds_tables":[false,true],"waits_for_loads":[true,false],"lanes_count":true,` +
	`"overbooked":"cut","takes_grants":true,"says_cost":true,"tells_every":500000000,"most_grant":0.5},` +
	`"locality":"east","me":%d,"replicas_of_me":2,` +
	`"permissions":{"attempts_cap":3,"cancel":true,"probes":true,"may_tell":true,"may_duplicate":true,` +
	`"max_retry_after":2000000000,"retry_after":true},"prices":{"probe":0.001},` +
	`"reporting":{"via":"%s","columns":["utilization"]},` +
	`"rules":{"ask_every":1000000000,"cold":9000000000,"cold_from":0.3,"drain_grace":250000000,"fall_multiple":3,` +
	`"overload_for":2000000000,"spare_attempts":5,"repeat_ratio":0.2,"ratio_span":10000000000},` +
	`"services":[{"name":"small","on_time":500000000,"deadline":2000000000,"points":1,"semantics":"read_like"},` +
	`{"name":"big","on_time":3000000000,"deadline":20000000000,"points":4,"semantics":"non_idempotent","in_order":true,` +
	`"runs_on":["b"]}],"skus":["a","b"],"tenants":[{"name":"t","fraction":0.7,"allowance_per_s":50},` +
	`{"name":"u","fraction":0.3,"allowance_per_s":20}],"zones":["east","west"]}`

// catalog is a list of eight engines; draws decide which of them drain or are gone.
func catalog(rng *rand.Rand, id int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "catalog roster_id=%d records=8\n", id)
	for engine := range 8 {
		state := []string{"in_service", "in_service", "in_service", "in_service", "terminating", "terminated"}[rng.IntN(6)]
		fmt.Fprintf(&b, "engine shape=%c rack_zone=%s state=%s cell=%d units=%d engine=%d last_start=%d\n", 'a'+engine%2,
			[]string{"east", "west"}[engine%3%2], state, engine%2, 1+engine%3, 11*(engine+1), rng.IntN(3)*1e9)
	}
	return b.String()
}

// attempt is one that the instance has sent to an engine, and that has not ended.
type attempt struct {
	who, number, engine int
	ticket              string
}

// conversation plays three instances against the wire, with answers to what they send.
type conversation struct {
	rng      *rand.Rand
	in       io.Writer
	out      *bufio.Reader
	attempts []attempt
	numbers  map[string]int // attempts so far, by instance and ticket
	tickets  int
	clock    int64
	hash     hash.Hash
	counts   map[string]int
}

func (c *conversation) ticket() string { return fmt.Sprintf("q%d", max(0, c.tickets-c.rng.IntN(20))) }
func (c *conversation) engine() int    { return 11 * (1 + c.rng.IntN(8)) }

func (c *conversation) gauge() string {
	if c.rng.IntN(2) == 0 {
		return "-"
	}
	return fmt.Sprintf("outstanding:%d,backlog:%d,utilization:%.2f,x0:%.2f,x1:%.2f", c.rng.IntN(9), c.rng.IntN(5),
		c.rng.Float64(), c.rng.Float64(), c.rng.Float64())
}

func (c *conversation) start(who int) string {
	c.attempts = slices.DeleteFunc(c.attempts, func(a attempt) bool { return a.who == who })
	return fmt.Sprintf("begin who=%d rng_seed=%d facts=%s\n", who, c.rng.Int64(), fmt.Sprintf(recordedFacts,
		[]string{"push", "ask"}[who%2], who%2, []string{"piggyback", "pull", "silent"}[who%3]))
}

// response ends an attempt, or tells of one that there never was.
func (c *conversation) response(who int) string {
	a := attempt{who, c.rng.IntN(3), c.engine(), c.ticket()}
	if len(c.attempts) > 0 && c.rng.IntN(10) > 0 {
		i := c.rng.IntN(len(c.attempts))
		a = c.attempts[i]
		c.attempts = slices.Delete(c.attempts, i, i+1)
	}
	return fmt.Sprintf("response who=%d ticket=%s go=%d engine=%d ending=%d wait_time=%d terminal=%d stats=%d gauge=%s\n",
		a.who, a.ticket, a.number, a.engine, []int{0, 0, 0, 0, 1, c.rng.IntN(6)}[c.rng.IntN(6)], c.rng.IntN(2e9),
		c.rng.IntN(2), c.rng.IntN(1<<22), c.gauge())
}

// event returns one event of an instance.
func (c *conversation) event(who int) string {
	rng := c.rng
	switch rng.IntN(14) {
	case 0, 1, 2, 3:
		c.tickets++
		return fmt.Sprintf("work_item who=%d ticket=q%d band=%s org=%s patience_left=%d est_cost=%d mem_mb=%d "+
			"repeat=%d update=%d order_key=%s\n",
			who, c.tickets, []string{"small", "small", "big"}[rng.IntN(3)], []string{"t", "u", "x"}[rng.IntN(3)],
			int64(1+rng.IntN(20))*1e9, rng.IntN(3)*1e8, rng.IntN(4000), rng.IntN(2), rng.IntN(2),
			[]string{"", "", "k1", "k2"}[rng.IntN(4)])
	case 4, 5, 6, 7, 8:
		return c.response(who)
	case 9:
		if len(c.attempts) == 0 {
			return ""
		}
		a := c.attempts[rng.IntN(len(c.attempts))]
		return fmt.Sprintf("established who=%d ticket=%s go=%d engine=%d\n", a.who, a.ticket, a.number, a.engine)
	case 10:
		return fmt.Sprintf("cancelled_by_client who=%d ticket=%s\n", who, c.ticket())
	case 11:
		return fmt.Sprintf("ping_result who=%d engine=%d ending=%d wait_time=%d gauge=%s\n", who, c.engine(), rng.IntN(4),
			rng.IntN(1e9), c.gauge())
	case 12:
		if len(c.attempts) == 0 {
			return ""
		}
		a := c.attempts[rng.IntN(len(c.attempts))]
		return fmt.Sprintf("heartbeat who=%d ticket=%s go=%d engine=%d topic=%d level=%.2f\n", a.who, a.ticket, a.number,
			a.engine, rng.IntN(4), rng.Float64())
	default:
		return fmt.Sprintf("deadline_hit who=%d nonce=%d\n", who, 1+rng.IntN(200))
	}
}

// batch is one batch of events, with starts, lists and ends now and then.
func (c *conversation) batch(number int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "tick clock=%d\n", c.clock)
	c.clock += c.rng.Int64N(50e6)
	for who := range 3 {
		switch {
		case number == 0:
			b.WriteString(c.start(who))
		case c.rng.IntN(300) == 0:
			fmt.Fprintf(&b, "kill who=%d\n%s", who, c.start(who))
		}
		if number%40 == 0 {
			b.WriteString(catalog(c.rng, number))
			scope := []string{"Complete", "Partial", "Persisted", "Complete"}[c.rng.IntN(4)]
			fmt.Fprintf(&b, "endpoints who=%d scope=%s gen=1 roster_id=%d\n", who, scope, number)
		}
		if c.rng.IntN(100) == 0 {
			fmt.Fprintf(&b, "endpoints who=%d scope=Error gen=0 roster_id=9\n", who)
		}
		for range c.rng.IntN(5) {
			b.WriteString(c.event(who))
		}
	}
	b.WriteString("eof_batch\n\n")
	return b.String()
}

// replies reads the reply to one batch. The text of a note is free, and not hashed.
func (c *conversation) replies(t *testing.T) {
	t.Helper()
	for {
		line, err := c.out.ReadString('\n')
		require.NoError(t, err)
		line, _, _ = strings.Cut(line, "message=")
		c.hash.Write([]byte(line))
		op, _, _ := strings.Cut(strings.TrimSpace(line), " ")
		c.counts[op]++
		switch op {
		case "ready":
			return
		case "transmit":
			var a attempt
			_, err := fmt.Sscanf(line, "transmit who=%d ticket=%s engine=%d", &a.who, &a.ticket, &a.engine)
			require.NoError(t, err)
			name := fmt.Sprint(a.who, a.ticket)
			a.number = c.numbers[name]
			c.numbers[name]++
			c.attempts = append(c.attempts, a)
		}
	}
}

// TestRecordedReplies holds the replies on the simulator's wire to their hash.
func TestRecordedReplies(t *testing.T) {
	var lines strings.Builder
	for seed := range uint64(4) {
		toServer, in := io.Pipe()
		out, fromServer := io.Pipe()
		ended := make(chan error, 1)
		go func() { ended <- wire.Serve(toServer, fromServer) }()
		c := &conversation{rng: rand.New(rand.NewPCG(seed, 1)), in: in, out: bufio.NewReader(out), clock: 1e9,
			numbers: map[string]int{}, hash: sha256.New(), counts: map[string]int{}}
		for number := range 600 {
			text := c.batch(number)
			go func() { _, _ = io.WriteString(in, text) }()
			c.replies(t)
		}
		require.NoError(t, in.Close())
		require.NoError(t, <-ended)
		fmt.Fprintf(&lines, "seed %d: %x", seed, c.hash.Sum(nil))
		for _, op := range slices.Sorted(maps.Keys(c.counts)) {
			fmt.Fprintf(&lines, " %s=%d", op, c.counts[op])
		}
		lines.WriteByte('\n')
	}
	recorded.Compare(t, "replies.txt", []byte(lines.String()))
}
