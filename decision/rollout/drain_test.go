package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A front end whose process has terminated sends no report for a drain. Its queries may run on engines for
// AbandonedQueryTimeout, and the engine must not be stopped before.
func TestQueriesOfATerminatedProcessAreWaitedFor(t *testing.T) {
	f := newTestFleet(t, 2, nil)
	f.apply(Command{Engine: &Engine{Name: "e0", Zone: "room-a", Cores: 12, Process: 5, Listed: true, Ready: true}})
	permit := f.apply(Command{Drain: &Subject{"e0", true}}).Permit
	require.NotZero(t, permit)
	f.apply(Command{ReportDrained: &ReportDrained{"n0", 1, permit}})
	require.Nil(t, f.report(1, 1, 2, "old", Terminated).Rejected)
	f.wait(f.machine.Settings.AbandonedQueryTimeout - 1)
	assert.Zero(t, f.machine.Permits[permit].DrainedAt)
	assert.Equal(t, []string{"n1: its queries may run for 1ns more"}, f.machine.DrainBlockers(permit))
	f.wait(1)
	assert.Equal(t, f.now, f.machine.Permits[permit].DrainedAt)
}

func TestOlderListOfEnginesIsRejected(t *testing.T) {
	f := newTestFleet(t, 2, nil)
	newer := Engine{Name: "e0", Zone: "room-a", Cores: 12, Process: 5, Listed: true, Ready: true}
	f.apply(Command{Engine: &newer})
	older := newer
	older.Process, older.Ready = 4, false
	rejected := f.apply(Command{Engine: &older}).Rejected
	require.NotNil(t, rejected)
	assert.Equal(t, StaleMessage, rejected.Code)
	assert.Equal(t, newer, *f.machine.Engines["e0"])
	f.wait(time.Second)
	assert.True(t, f.machine.Engines["e0"].Ready)
}
