package diskrecovery_test

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"beechcart/decision/diskrecovery"
	"beechcart/internal/recorded"
)

const (
	failures = 3                // kinds of failure
	events   = failures + 2 + 2 // failures, openings, questions
	depth    = 3                // of the sequences that are all walked
	drawn    = 20_000           // longer sequences, from a seed
	drawnLen = 14
)

// pauses lie on both sides of the first wait, the greatest wait and the time after which a failure counts as first.
var pauses = []time.Duration{0, 999 * time.Millisecond, 29 * time.Second, 61 * time.Second}

// outcome is what the sequences from one start led to.
type outcome struct {
	Marked    bool           `json:"marked"`
	Sequences int            `json:"sequences"`
	Answers   map[string]int `json:"answers"`
	Hash      string         `json:"hash"`
}

// starts are the policies of a disk that is well and of one that is marked.
var starts = []func(diskrecovery.Settings, time.Duration) (*diskrecovery.Policy, error){
	diskrecovery.New, diskrecovery.NewMarked,
}

// play tells a policy of events, each an event and the pause before it, and hands what it answers to note.
func play(policy *diskrecovery.Policy, sequence []int, note func(answer int, reason string)) {
	now := time.Duration(0)
	ask := func(quorum diskrecovery.Quorum) { note(int(policy.Next(now, quorum)), policy.Reason()) }
	for _, choice := range sequence {
		now += pauses[choice/events]
		switch event := choice % events; {
		case event < failures:
			policy.Failed(now, diskrecovery.Failure(event))
		case event == failures:
			policy.Reopened(now)
		case event == failures+1:
			policy.Reinitialized(now)
		default:
			ask(event == events-1)
		}
	}
	ask(diskrecovery.NoQuorum)
	ask(diskrecovery.QuorumAvailable)
}

// sequences calls f with every sequence of depth choices, then with longer ones that are drawn.
func sequences(f func([]int)) {
	choices := events * len(pauses)
	total := 1
	for range depth {
		total *= choices
	}
	sequence := make([]int, depth)
	for number := range total {
		for i := range sequence {
			sequence[i], number = number%choices, number/choices
		}
		f(sequence)
	}
	rng := rand.New(rand.NewPCG(32, 1))
	sequence = make([]int, drawnLen)
	for range drawn {
		for i := range sequence {
			sequence[i] = rng.IntN(choices)
		}
		f(sequence)
	}
}

// Sequences of events from a disk that is well and from one that is marked, with pauses between them: the hash over the
// answers to both questions, and how often each answer was given. A reason counts by the order in which it first came.
func TestRecordedSequences(t *testing.T) {
	var outcomes []outcome
	for i, start := range starts {
		hash, o, reasons := fnv.New64a(), outcome{Marked: i == 1, Answers: map[string]int{}}, map[string]int{}
		sequences(func(sequence []int) {
			o.Sequences++
			policy, err := start(diskrecovery.Defaults(), 0)
			require.NoError(t, err)
			play(policy, sequence, func(answer int, reason string) {
				if _, known := reasons[reason]; !known {
					reasons[reason] = len(reasons)
				}
				_, _ = hash.Write([]byte{byte(answer), byte(reasons[reason])})
				o.Answers[fmt.Sprintf("%d, reason %d", answer, reasons[reason])]++
			})
		})
		o.Hash = fmt.Sprintf("%016x", hash.Sum64())
		outcomes = append(outcomes, o)
	}
	text, err := json.MarshalIndent(outcomes, "", "  ")
	require.NoError(t, err)
	recorded.Compare(t, "sequences.json", append(text, '\n'))
}
