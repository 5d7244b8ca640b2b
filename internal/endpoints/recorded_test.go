package endpoints_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"

	"beechcart/internal/endpoints"
	"beechcart/internal/platformconfig"
	"beechcart/internal/recorded"
)

// events returns a change log answer with random events, whose sequence numbers are those in [from, to].
func events(rng *rand.Rand, from, to int) string {
	var list []string
	for seq := from; seq <= to; seq++ {
		var endpoints []string
		for range rng.IntN(5) {
			status := []string{"ready", "draining", "gone", "resting"}[rng.IntN(4)]
			name := []string{"s-00c41f7a", "s-ffffffff", "s-1", "engine", "a-b-00c41f7a"}[rng.IntN(5)]
			endpoints = append(endpoints, fmt.Sprintf(`{"name":%q,"address":"10.1.0.%d:7001","zone":%q,
				"type":%q,"group":%d,"status":%q,
				"weight":%d.5,"since_ms":%d,"later":[1]}`, name, rng.IntN(200), []string{"east", "west", "?"}[rng.IntN(3)],
				[]string{"std", "big", ""}[rng.IntN(3)], rng.IntN(9), status, rng.IntN(9), rng.IntN(100000)))
		}
		if rng.IntN(6) == 0 {
			list = append(list, fmt.Sprintf(`{"seq":%d,"object":{}}`, seq))
			continue
		}
		list = append(list, fmt.Sprintf(`{"seq":%d,"fleet":{"snapshot":%t,"endpoints":[%s]}}`,
			seq, rng.IntN(4) == 0, strings.Join(endpoints, ",")))
	}
	return fmt.Sprintf(`{"seq":%d,"results":[%s]}`, to+rng.IntN(3), strings.Join(list, ","))
}

// The lists parsed from a seeded random change log equal the recorded ones.
func TestRecordedChangeLog(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 8))
	names := platformconfig.Names{Zones: map[string]int{"east": 0, "west": 1}, Kinds: map[string]int{"std": 0, "big": 1}}
	log := endpoints.NewChangeLog(names)
	var out strings.Builder
	read := func(text string) {
		lists, err := log.Read([]byte(text))
		fmt.Fprintln(&out, "read", log.Seq(), log.Behind(), err == nil)
		for _, l := range lists {
			members := l.Event()
			fmt.Fprintln(&out, "list", l.Complete, int(members.Kind), len(members.Engines))
			for _, e := range l.Endpoints {
				fmt.Fprintf(&out, "%q %q %q %d %d %d %d %d %x %d\n",
					e.Name, e.Address, e.Reason, e.ID, e.Kind, e.Zone, e.Cell, int(e.State),
					math.Float64bits(e.Units), e.Started.Nanoseconds())
			}
		}
	}
	for seq := 1; seq < 60; seq += rng.IntN(5) {
		read(events(rng, max(1, seq-rng.IntN(3)), seq+rng.IntN(4)))
	}
	for _, text := range []string{``, `{}`, `{"seq":"1"}`, `{"seq":99,"results":[{"seq":98,"fleet":{"snapshot":true}}]}`,
		`{"seq":99,"results":[{"seq":98,"fleet":{"endpoints":[{"status":"ready"}]}}]}`, `{"seq":99}`} {
		read(text)
	}
	recorded.Compare(t, "lists", []byte(out.String()))
}
