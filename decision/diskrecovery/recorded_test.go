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
	failures        = 3                // kinds of failure
	events          = failures + 2 + 2 // failures; Reopened and Reinitialized; Next without and with a quorum
	depth           = 3                // length of the sequences that are enumerated completely
	randomSequences = 20_000           // number of longer sequences, drawn from a seed
	randomLength    = 14               // of the longer sequences
)

// pauses are times between events, on both sides of MinBackoff, MaxBackoff and StableAfter.
var pauses = []time.Duration{0, 999 * time.Millisecond, 29 * time.Second, 61 * time.Second}

// outcome summarizes the answers to all sequences from one constructor.
type outcome struct {
	Marked    bool           `json:"marked"`
	Sequences int            `json:"sequences"`
	Answers   map[string]int `json:"answers"`
	Hash      string         `json:"hash"`
}

// constructors create the policy of a healthy disk and that of a marked one.
var constructors = []func(diskrecovery.Settings, time.Duration) (*diskrecovery.Policy, error){
	diskrecovery.New, diskrecovery.NewMarked,
}

// play applies a sequence to a policy and passes each answer of Next, with its reason, to record. A choice of the
// sequence encodes an event and the pause before it.
func play(policy *diskrecovery.Policy, sequence []int, record func(answer int, reason string)) {
	now := time.Duration(0)
	next := func(quorum diskrecovery.Quorum) { record(int(policy.Next(now, quorum)), policy.Reason()) }
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
			next(event == events-1)
		}
	}
	next(diskrecovery.NoQuorum)
	next(diskrecovery.QuorumAvailable)
}

// forEachSequence calls f with every sequence of depth choices, then with longer random ones.
func forEachSequence(f func([]int)) {
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
	sequence = make([]int, randomLength)
	for range randomSequences {
		for i := range sequence {
			sequence[i] = rng.IntN(choices)
		}
		f(sequence)
	}
}

// Records a hash over the answers of Next and Reason to all sequences, and the number of each answer, for a healthy
// disk and for a marked one. Reasons are numbered in the order of their first use, so that their wording is not
// recorded.
func TestRecordedSequences(t *testing.T) {
	var outcomes []outcome
	for i, newPolicy := range constructors {
		hash, o, reasons := fnv.New64a(), outcome{Marked: i == 1, Answers: map[string]int{}}, map[string]int{}
		forEachSequence(func(sequence []int) {
			o.Sequences++
			policy, err := newPolicy(diskrecovery.Defaults(), 0)
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
