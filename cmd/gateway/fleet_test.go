//go:build !lean

package main

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"beechcart/decision/rollout"
)

// Guards against a window with more failures than requests. Three requests that started in the previous window fail in
// this window, in which only one request starts, so that a count of started requests would be lower than the failures.
func TestFailuresInAWindowDoNotExceedRequests(t *testing.T) {
	before := requestCounts(map[string]int64{"taken": 13, "served": 9, "served_late": 2, "refused": 1})
	now := requestCounts(map[string]int64{"taken": 14, "served": 9, "served_late": 2, "refused": 1, "deadline": 3})
	assert.Equal(t, rollout.RequestCounts{Requests: 10, Rejected: 1, Slow: 2}, before)
	assert.Equal(t, int64(3), now.Failed-before.Failed)
	assert.LessOrEqual(t, now.Failed-before.Failed, now.Requests-before.Requests)
}
