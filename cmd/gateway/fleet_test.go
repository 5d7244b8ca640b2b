//go:build !lean

package main

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"beechcart/decision/rollout"
)

// Three requests were taken in the window before and end in this one, in which one comes: counted against what was
// taken, the window had more failures than requests.
func TestCountsOfAWindowArePossible(t *testing.T) {
	before := requestCounts(map[string]int64{"taken": 13, "served": 9, "served_late": 2, "refused": 1})
	now := requestCounts(map[string]int64{"taken": 14, "served": 9, "served_late": 2, "refused": 1, "deadline": 3})
	assert.Equal(t, rollout.RequestCounts{Requests: 10, Rejected: 1, Slow: 2}, before)
	assert.Equal(t, int64(3), now.Failed-before.Failed)
	assert.LessOrEqual(t, now.Failed-before.Failed, now.Requests-before.Requests)
}
