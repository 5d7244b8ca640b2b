package bench

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"

	"github.com/google/renameio/v2"
)

// BaselineSchema is the version of a baseline file.
const BaselineSchema = 1

// MaxRise is by how much a count may rise over its baseline. Of what is counted one by one, MaxRiseOfOne is the most:
// a tenth of twenty allocations would let one more through.
const (
	MaxRise      = 0.10
	MaxRiseOfOne = 0.5
)

// allowed is the most that a count may be. The allocations of a large result go with the reads that bring it, which
// the machine cuts as it likes: there the tenth holds alone.
func allowed(scenario, name string, was float64) float64 {
	if name == "alloc_bytes" || (scenario == "large" && name == "allocs") {
		return was * (1 + MaxRise)
	}
	return was + min(was*MaxRise, MaxRiseOfOne)
}

// heldCounts are the counts that a baseline holds. Times are not among them.
var heldCounts = []string{"allocs", "alloc_bytes", "copied"}

// Baseline is the record of what requests cost.
type Baseline struct {
	Schema  int               `json:"schema"`
	Lookups int               `json:"lookups"` // in each count
	Counts  map[string]Counts `json:"counts"`  // by scenario
}

// ReadBaseline reads a record; one that is missing, or of another schema, is an error and no pass.
func ReadBaseline(path string) (*Baseline, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("baseline: %w", err)
	}
	var b Baseline
	if err := json.Unmarshal(text, &b); err != nil {
		return nil, fmt.Errorf("baseline %s: %w", path, err)
	}
	if b.Schema != BaselineSchema {
		return nil, fmt.Errorf("baseline %s: schema: found %d, allowed is %d", path, b.Schema, BaselineSchema)
	}
	if len(b.Counts) == 0 {
		return nil, fmt.Errorf("baseline %s: it holds no counts", path)
	}
	return &b, nil
}

// WriteBaseline records the counts that are held.
func WriteBaseline(path string, counts map[string]Counts, o PathOptions) error {
	b := Baseline{Schema: BaselineSchema, Lookups: o.Lookups, Counts: map[string]Counts{}}
	for scenario, c := range counts {
		b.Counts[scenario] = Counts{}
		for _, name := range heldCounts {
			if v, ok := c[name]; ok {
				b.Counts[scenario][name] = float64(int(v*100+0.5)) / 100
			}
		}
	}
	text, err := json.MarshalIndent(b, "", "  ")
	if err != nil {
		return fmt.Errorf("baseline: %w", err)
	}
	return renameio.WriteFile(path, append(text, '\n'), 0o644)
}

// Compare tells each count that has risen by more than MaxRise, or that could not be held.
func (b *Baseline) Compare(counts map[string]Counts) (risen []string) {
	for _, scenario := range slices.Sorted(maps.Keys(b.Counts)) {
		for _, name := range slices.Sorted(maps.Keys(b.Counts[scenario])) {
			was := b.Counts[scenario][name]
			now, ok := counts[scenario][name]
			switch {
			case !ok:
				risen = append(risen, fmt.Sprintf("%s %s: not counted; the baseline is %.2f", scenario, name, was))
			case now > allowed(scenario, name, was):
				risen = append(risen, fmt.Sprintf("%s %s: %.2f, the baseline is %.2f, allowed is %.2f; 'make cheap' counts it "+
					"again",
					scenario, name, now, was, allowed(scenario, name, was)))
			}
		}
	}
	return risen
}

// KeepLeast lowers each count to that of another measurement of the same program where that is less. A count that
// only one of them has stays as it is in counts.
func KeepLeast(counts, again map[string]Counts) {
	for scenario, c := range counts {
		for name, was := range c {
			if now, ok := again[scenario][name]; ok {
				c[name] = min(was, now)
			}
		}
	}
}
