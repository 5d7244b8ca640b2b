package faulttest

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"beechcart/internal/fake/engine"
)

// An execution violates the rule if it began in the empty period, or began before and ended after the grace.
func TestCheckEmptinessFindsExecutions(t *testing.T) {
	from := time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)
	at := func(ms int) time.Time { return from.Add(time.Duration(ms) * time.Millisecond) }
	c := &rolloutChecker{emptyPeriods: []emptyPeriod{{"e1", period{at(0), at(1000)}}}}
	for name, test := range map[string]struct {
		engine            string
		receivedAt, endAt time.Time
		want              bool
	}{
		"before":                 {"e1", at(-500), at(-100), false},
		"ended within the grace": {"e1", at(-500), at(50), false},
		"ended after the grace":  {"e1", at(-500), at(51), true},
		"never ended":            {"e1", at(-500), time.Time{}, true},
		"began in the period":    {"e1", at(1), at(2), true},
		"began after the stop":   {"e1", at(1000), at(1100), false},
		"on another engine":      {"e2", at(1), at(2), false},
	} {
		c.violations = nil
		c.checkEmptiness([]engine.Execution{{Engine: test.engine, ID: "a", ReceivedAt: test.receivedAt, EndedAt: test.endAt}})
		if !test.want {
			assert.Empty(t, c.violations, name)
		} else if assert.Len(t, c.violations, 1, name) {
			assert.Equal(t, NotEmpty, c.violations[0].Rule)
		}
	}
}
