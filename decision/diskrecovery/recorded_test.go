package diskrecovery_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"beechcart/decision/diskrecovery"
)

// checkRecorded compares bytes with those that a file of testdata/recorded holds. A missing file is written where
// RECORD=1 is set, and fails the test elsewhere; one that exists is never written.
func checkRecorded(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", "recorded", name)
	want, err := os.ReadFile(path)
	if os.IsNotExist(err) && os.Getenv("RECORD") == "1" {
		require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o755))
		require.NoError(t, os.WriteFile(path, got, 0o644))
		return
	}
	require.NoError(t, err)
	require.True(t, bytes.Equal(want, got), "%s: recorded\n%s\nfound\n%s", path, want, got)
}

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

// play tells a new decider of events, each an event and the pause before it, and hands what it answers to note.
func play(t *testing.T, marked bool, sequence []int, note func(answer int, reason string)) {
	t.Helper()
	k, err := diskrecovery.New(diskrecovery.Defaults(), 0, marked)
	require.NoError(t, err)
	now := time.Duration(0)
	for _, choice := range sequence {
		now += pauses[choice/events]
		switch event := choice % events; {
		case event < failures:
			k.Failed(now, diskrecovery.Kind(event))
		case event < failures+2:
			k.Opened(now, event == failures+1)
		default:
			note(int(k.Next(now, event == events-1)), k.Why())
		}
	}
	for _, agreed := range []bool{false, true} {
		note(int(k.Next(now, agreed)), k.Why())
	}
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
	for _, marked := range []bool{false, true} {
		hash, o, reasons := fnv.New64a(), outcome{Marked: marked, Answers: map[string]int{}}, map[string]int{}
		sequences(func(sequence []int) {
			o.Sequences++
			play(t, marked, sequence, func(answer int, reason string) {
				if _, known := reasons[reason]; !known {
					reasons[reason] = len(reasons)
				}
				hash.Write([]byte{byte(answer), byte(reasons[reason])})
				o.Answers[fmt.Sprintf("%d, reason %d", answer, reasons[reason])]++
			})
		})
		o.Hash = fmt.Sprintf("%016x", hash.Sum64())
		outcomes = append(outcomes, o)
	}
	text, err := json.MarshalIndent(outcomes, "", "  ")
	require.NoError(t, err)
	checkRecorded(t, "sequences.json", append(text, '\n'))
}
