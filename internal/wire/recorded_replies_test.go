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

// replySettingsFormat is the settings of a gateway, without its discovery mode, index and mode of load reports.
const replySettingsFormat = `{"discovery":"%s","family_info":{"size_cores":[8,8],"kind_memory_mb":[16384,16384],` +
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

// catalog returns a catalog message with eight engines in random states: in service, draining or removed.
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

// attempt is an attempt that a gateway has sent to an engine and that has no outcome yet.
type attempt struct {
	gateway, number, engine int
	ticket                  string
}

// simulator plays the simulator's side of the protocol. It sends random events for three gateways to a wire server, and
// outcomes for the attempts in the server's replies.
type simulator struct {
	rng      *rand.Rand
	in       io.Writer
	out      *bufio.Reader
	attempts []attempt
	numbers  map[string]int // number of attempts so far, by gateway and ticket
	tickets  int
	clock    int64
	hash     hash.Hash
	counts   map[string]int
}

func (s *simulator) ticket() string { return fmt.Sprintf("q%d", max(0, s.tickets-s.rng.IntN(20))) }
func (s *simulator) engine() int    { return 11 * (1 + s.rng.IntN(8)) }

func (s *simulator) gauge() string {
	if s.rng.IntN(2) == 0 {
		return "-"
	}
	return fmt.Sprintf("outstanding:%d,backlog:%d,utilization:%.2f,x0:%.2f,x1:%.2f", s.rng.IntN(9), s.rng.IntN(5),
		s.rng.Float64(), s.rng.Float64(), s.rng.Float64())
}

func (s *simulator) start(gateway int) string {
	s.attempts = slices.DeleteFunc(s.attempts, func(a attempt) bool { return a.gateway == gateway })
	return fmt.Sprintf("begin who=%d rng_seed=%d facts=%s\n", gateway, s.rng.Int64(), fmt.Sprintf(replySettingsFormat,
		[]string{"push", "ask"}[gateway%2], gateway%2, []string{"piggyback", "pull", "silent"}[gateway%3]))
}

// response returns the outcome of a random open attempt, or sometimes of an attempt that does not exist.
func (s *simulator) response(gateway int) string {
	a := attempt{gateway, s.rng.IntN(3), s.engine(), s.ticket()}
	if len(s.attempts) > 0 && s.rng.IntN(10) > 0 {
		i := s.rng.IntN(len(s.attempts))
		a = s.attempts[i]
		s.attempts = slices.Delete(s.attempts, i, i+1)
	}
	return fmt.Sprintf("response who=%d ticket=%s go=%d engine=%d ending=%d wait_time=%d terminal=%d stats=%d gauge=%s\n",
		a.gateway, a.ticket, a.number, a.engine, []int{0, 0, 0, 0, 1, s.rng.IntN(6)}[s.rng.IntN(6)], s.rng.IntN(2e9),
		s.rng.IntN(2), s.rng.IntN(1<<22), s.gauge())
}

// event returns a random event for a gateway, or an empty string.
func (s *simulator) event(gateway int) string {
	rng := s.rng
	switch rng.IntN(14) {
	case 0, 1, 2, 3:
		s.tickets++
		return fmt.Sprintf("work_item who=%d ticket=q%d band=%s org=%s patience_left=%d est_cost=%d mem_mb=%d "+
			"repeat=%d update=%d order_key=%s\n",
			gateway, s.tickets, []string{"small", "small", "big"}[rng.IntN(3)], []string{"t", "u", "x"}[rng.IntN(3)],
			int64(1+rng.IntN(20))*1e9, rng.IntN(3)*1e8, rng.IntN(4000), rng.IntN(2), rng.IntN(2),
			[]string{"", "", "k1", "k2"}[rng.IntN(4)])
	case 4, 5, 6, 7, 8:
		return s.response(gateway)
	case 9:
		if len(s.attempts) == 0 {
			return ""
		}
		a := s.attempts[rng.IntN(len(s.attempts))]
		return fmt.Sprintf("established who=%d ticket=%s go=%d engine=%d\n", a.gateway, a.ticket, a.number, a.engine)
	case 10:
		return fmt.Sprintf("cancelled_by_client who=%d ticket=%s\n", gateway, s.ticket())
	case 11:
		return fmt.Sprintf("ping_result who=%d engine=%d ending=%d wait_time=%d gauge=%s\n", gateway, s.engine(), rng.IntN(4),
			rng.IntN(1e9), s.gauge())
	case 12:
		if len(s.attempts) == 0 {
			return ""
		}
		a := s.attempts[rng.IntN(len(s.attempts))]
		return fmt.Sprintf("heartbeat who=%d ticket=%s go=%d engine=%d topic=%d level=%.2f\n", a.gateway, a.ticket, a.number,
			a.engine, rng.IntN(4), rng.Float64())
	default:
		return fmt.Sprintf("deadline_hit who=%d nonce=%d\n", gateway, 1+rng.IntN(200))
	}
}

// batch returns one batch of random events. Gateways are restarted and endpoint lists change in some batches.
func (s *simulator) batch(number int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "tick clock=%d\n", s.clock)
	s.clock += s.rng.Int64N(50e6)
	for gateway := range 3 {
		switch {
		case number == 0:
			b.WriteString(s.start(gateway))
		case s.rng.IntN(300) == 0:
			fmt.Fprintf(&b, "kill who=%d\n%s", gateway, s.start(gateway))
		}
		if number%40 == 0 {
			b.WriteString(catalog(s.rng, number))
			scope := []string{"Complete", "Partial", "Persisted", "Complete"}[s.rng.IntN(4)]
			fmt.Fprintf(&b, "endpoints who=%d scope=%s gen=1 roster_id=%d\n", gateway, scope, number)
		}
		if s.rng.IntN(100) == 0 {
			fmt.Fprintf(&b, "endpoints who=%d scope=Error gen=0 roster_id=9\n", gateway)
		}
		for range s.rng.IntN(5) {
			b.WriteString(s.event(gateway))
		}
	}
	b.WriteString("eof_batch\n\n")
	return b.String()
}

// replies reads the reply to one batch and adds it to the hash, except the texts of log messages, which may change.
func (s *simulator) replies(t *testing.T) {
	t.Helper()
	for {
		line, err := s.out.ReadString('\n')
		require.NoError(t, err)
		line, _, _ = strings.Cut(line, "message=")
		s.hash.Write([]byte(line))
		op, _, _ := strings.Cut(strings.TrimSpace(line), " ")
		s.counts[op]++
		switch op {
		case "ready":
			return
		case "transmit":
			var a attempt
			_, err := fmt.Sscanf(line, "transmit who=%d ticket=%s engine=%d", &a.gateway, &a.ticket, &a.engine)
			require.NoError(t, err)
			name := fmt.Sprint(a.gateway, a.ticket)
			a.number = s.numbers[name]
			s.numbers[name]++
			s.attempts = append(s.attempts, a)
		}
	}
}

// TestRecordedReplies compares the hash and the message counts of the replies to random batches with a recording.
func TestRecordedReplies(t *testing.T) {
	var lines strings.Builder
	for seed := range uint64(4) {
		toServer, in := io.Pipe()
		out, fromServer := io.Pipe()
		ended := make(chan error, 1)
		go func() { ended <- wire.Serve(toServer, fromServer) }()
		s := &simulator{rng: rand.New(rand.NewPCG(seed, 1)), in: in, out: bufio.NewReader(out), clock: 1e9,
			numbers: map[string]int{}, hash: sha256.New(), counts: map[string]int{}}
		for number := range 600 {
			text := s.batch(number)
			go func() { _, _ = io.WriteString(in, text) }()
			s.replies(t)
		}
		require.NoError(t, in.Close())
		require.NoError(t, <-ended)
		fmt.Fprintf(&lines, "seed %d: %x", seed, s.hash.Sum(nil))
		for _, op := range slices.Sorted(maps.Keys(s.counts)) {
			fmt.Fprintf(&lines, " %s=%d", op, s.counts[op])
		}
		lines.WriteByte('\n')
	}
	recorded.Compare(t, "replies.txt", []byte(lines.String()))
}
