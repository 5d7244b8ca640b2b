package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A front end whose process has ended needs no report; its queries may run on for a while.
func TestQueriesOfATerminatedProcessAreWaitedFor(t *testing.T) {
	b := newBed(t, 2, nil)
	b.do(Command{Engine: &Engine{Name: "e0", Zone: "room-a", Cores: 12, Process: 5, Listed: true, Ready: true}})
	permit := b.do(Command{Drain: &Subject{"e0", true}}).Permit
	require.NotZero(t, permit)
	b.do(Command{ReportDrained: &ReportDrained{"n0", 1, permit}})
	require.Nil(t, b.say(1, 1, 2, "old", Terminated).Rejected)
	b.after(b.m.Settings.AbandonedQueryTimeout - 1)
	assert.Zero(t, b.m.Permits[permit].DrainedAt)
	assert.Equal(t, []string{"n1: its queries may run for 1ns more"}, b.m.DrainBlockers(permit))
	b.after(1)
	assert.Equal(t, b.now, b.m.Permits[permit].DrainedAt)
}

func TestOlderListOfEnginesIsRejected(t *testing.T) {
	b := newBed(t, 2, nil)
	newer := Engine{Name: "e0", Zone: "room-a", Cores: 12, Process: 5, Listed: true, Ready: true}
	b.do(Command{Engine: &newer})
	older := newer
	older.Process, older.Ready = 4, false
	rejected := b.do(Command{Engine: &older}).Rejected
	require.NotNil(t, rejected)
	assert.Equal(t, StaleMessage, rejected.Code)
	assert.Equal(t, newer, *b.m.Engines["e0"])
	b.after(time.Second)
	assert.True(t, b.m.Engines["e0"].Ready)
}
