package parts

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"beechcart/internal/scale/record"
	"beechcart/internal/testbinary"
)

// replicaEnv is the environment variable that makes the test binary run ServeReplica.
const replicaEnv = "BEECHCART_PARTS_REPLICA"

// program is the path of the front end's executable.
var program string

func TestMain(m *testing.M) {
	if os.Getenv(replicaEnv) != "" {
		if err := ServeReplica(os.Stdin, os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	testbinary.Main(m, &program)
}

// quickOptions returns options for a measurement that takes a few seconds.
func quickOptions() Options {
	o := Defaults()
	o.Sizes = []record.Size{SizeOf(8), SizeOf(16)}
	o.Repeats, o.Window, o.Starts, o.TrafficFronts, o.TrafficTime, o.FleetTime = 1, 200*time.Millisecond, 1, 2,
		2*time.Second, 2*time.Second
	o.Sessions, o.Rates, o.LoginRates = []int{5, 10}, []int{20}, []int{20}
	return o
}

// measurePart runs a part and returns the values of each quantity by number of front ends.
func measurePart(t *testing.T, name string, o Options) map[string]map[int]float64 {
	t.Helper()
	part, err := Find(name)
	require.NoError(t, err)
	result, err := part.Measure(context.Background(), o)
	require.NoError(t, err)
	require.NotEmpty(t, result.Notes)
	recording := record.Recording{Version: record.FormatVersion, Name: "parts-" + name, Command: "test",
		Samples: result.Samples}
	require.NoError(t, recording.Check())
	values := map[string]map[int]float64{}
	for _, s := range result.Samples {
		assert.GreaterOrEqual(t, s.Value, 0.0, s.Quantity)
		if values[s.Quantity] == nil {
			values[s.Quantity] = map[int]float64{}
		}
		values[s.Quantity][s.Size.Members] = s.Value
	}
	return values
}

// assertDoubles asserts that a quantity, less its constant part, about doubles from 8 to 16 front ends.
func assertDoubles(t *testing.T, values map[string]map[int]float64, quantity string, constant float64) {
	t.Helper()
	require.Contains(t, values, quantity)
	small, large := values[quantity][8]-constant, values[quantity][16]-constant
	assert.InDelta(t, 2, large/small, 0.2, "%s: %v", quantity, values[quantity])
}

func TestDefaultSizesKeepThePlannedProportion(t *testing.T) {
	var engines []int
	for _, size := range Defaults().Sizes {
		engines = append(engines, size.Engines)
	}
	assert.Equal(t, []int{57, 114, 228, 456, 810}, engines)
}

func TestInvalidOptionsAreRejected(t *testing.T) {
	for option, invalidate := range map[string]func(*Options){
		"sizes":   func(o *Options) { o.Sizes = nil },
		"repeats": func(o *Options) { o.Repeats = 0 },
		"window":  func(o *Options) { o.Window = 0 },
		"starts":  func(o *Options) { o.Starts = 0 },
	} {
		o := quickOptions()
		invalidate(&o)
		_, err := Part{}.Measure(context.Background(), o)
		require.ErrorContains(t, err, option)
	}
	_, err := Find("nothing")
	assert.ErrorContains(t, err, "state")
}

func TestControlLogStateGrowsWithTheFleet(t *testing.T) {
	values := measurePart(t, "state", quickOptions())
	machine, err := newState(record.Size{})
	require.NoError(t, err)
	empty, err := machine.Snapshot()
	require.NoError(t, err)
	assertDoubles(t, values, "control_log_snapshot_idle_bytes", float64(len(empty)))
	assert.Greater(t, values["control_log_snapshot_busy_bytes"][16], values["control_log_snapshot_idle_bytes"][16])
	assert.Greater(t, values["control_log_history_bytes"][8], 1e5, "a full audit and thousands of stored results")
	assert.Contains(t, values, "control_log_due_cpu_seconds")
}

func TestMeasureReplicaWithOpenWatches(t *testing.T) {
	t.Setenv(replicaEnv, "1")
	o := quickOptions()
	o.ReplicaArgs = []string{os.Args[0]}
	values := measurePart(t, "replica", o)
	assert.Greater(t, values["status_idle_bytes"][16], values["status_idle_bytes"][8])
	assert.Greater(t, values["status_busy_bytes"][16], values["status_idle_bytes"][16])
	assert.Greater(t, values["database_drain_watch_bytes"][16], values["database_drain_watch_bytes"][8])
	for _, quantity := range []string{"control_command_alone_cpu_seconds", "control_command_watched_cpu_seconds",
		"control_command_busy_cpu_seconds",
		"counts_bytes_per_second", "idle_watches_cpu_cores", "control_replica_resident_bytes"} {
		assert.Contains(t, values, quantity)
	}
}

func TestReplicaStartFailures(t *testing.T) {
	part, err := Find("replica")
	require.NoError(t, err)
	_, err = part.Measure(context.Background(), quickOptions())
	require.ErrorContains(t, err, "no command line")
	assert.Error(t, ServeReplica(bytes.NewBufferString("{}"), new(bytes.Buffer)), "a configuration line without a newline")
}

func TestListSizesGrowWithTheDatabases(t *testing.T) {
	values := measurePart(t, "lists", quickOptions())
	assert.InDelta(t, values["change_log_event_bytes"][8], values["change_log_event_bytes"][16], 0,
		"the size of an event does not depend on the number of databases")
	assert.Greater(t, values["change_log_list_bytes"][16]-values["change_log_list_bytes"][8], 8*100.0)
	assert.Greater(t, values["consul_list_bytes"][16]-values["consul_list_bytes"][8], 8*100.0)
	assert.InDelta(t, values["change_log_idle_polls_per_second"][8], values["change_log_idle_polls_per_second"][16], 1e-9)
	assert.Contains(t, values, "list_read_cpu_seconds")
}

func TestTrafficSimulationIsDeterministic(t *testing.T) {
	first, second := measurePart(t, "traffic", quickOptions()), measurePart(t, "traffic", quickOptions())
	for _, quantity := range []string{"databases_sent_to_count", "databases_probed_count", "databases_spoken_to_count",
		"alone_probes_sent_per_second", "front_ends_seen_count"} {
		require.Contains(t, first, quantity)
		assert.Equal(t, first[quantity], second[quantity], quantity)
		assert.Greater(t, first[quantity][16], 0.0, quantity)
	}
	assert.LessOrEqual(t, first["databases_spoken_to_count"][16], float64(SizeOf(16).Engines))
}

func TestMeasureFrontEnd(t *testing.T) {
	o := quickOptions()
	o.Program = program
	values := measurePart(t, "frontend", o)
	for _, quantity := range []string{"front_end_session_resident_bytes", "front_end_cpu_cores",
		"front_end_reuse_cpu_cores", "front_end_login_cpu_cores"} {
		assert.Greater(t, values[quantity][16], 0.0, quantity)
	}
	assert.Contains(t, values, "front_end_statements_per_second")
	assert.LessOrEqual(t, values["front_end_statements_unanswered_ratio"][16], maxUnansweredRatio)
	values = measurePart(t, "frontlist", o)
	for _, quantity := range []string{"front_end_idle_cpu_cores", "front_end_idle_resident_bytes",
		"front_end_by_list_cpu_cores"} {
		assert.Contains(t, values[quantity], 8, quantity)
	}
}

func TestMeasureStartAndReload(t *testing.T) {
	o := quickOptions()
	o.Program = program
	values := measurePart(t, "start", o)
	assert.Greater(t, values["front_end_start_seconds"][8], 0.0)
	assert.GreaterOrEqual(t, values["front_end_list_taken_seconds"][8], 0.0)
	values = measurePart(t, "reload", o)
	assert.Greater(t, values["front_end_reload_seconds"][16], 0.0)
	assert.Greater(t, values["front_end_reload_followed_seconds"][16], 0.0)
}
