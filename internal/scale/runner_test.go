package scale

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"beechcart/internal/testbinary"
)

// hostModeVariable names the environment variable that makes the test binary run as a host instead of running its
// tests.
const hostModeVariable = "BEECHCART_SCALE_HOST"

// program is the path of a debug build of the gateway.
var program string

func TestMain(m *testing.M) {
	if os.Getenv(hostModeVariable) == "" {
		testbinary.Main(m, &program, "-tags", "debug")
	}
	if err := RunHost(context.Background(), os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(0)
}

// testOptions returns the options of a small fleet, with time limits that do not depend on the speed of the machine.
func testOptions(t *testing.T) Options {
	t.Helper()
	o := Defaults()
	o.Members, o.Engines, o.Real, o.Control, o.Zones, o.PerHost, o.Seconds = 60, 40, 1, 3, 5, 15, 2
	o.Settle, o.RevertWindow, o.StartPace = time.Second, time.Second, 200*time.Millisecond
	o.Changes, o.PrimaryChanges, o.FormWithin, o.ChangeWithin = 2, 1, waitTimeout, waitTimeout
	o.Seed, o.Program, o.HostCommand = rand.Uint64N(1_000_000), program, []string{os.Args[0]}
	o.Logf = t.Logf
	return o
}

// A fleet forms, and drains reach every live member and stay in force, also after the leader is killed. The test checks
// no times or budgets; 'gatewayctl scale' measures them.
func TestDrainsReachEveryMemberOfSmallFleet(t *testing.T) {
	t.Setenv(hostModeVariable, "1")
	o := testOptions(t)
	r, err := Run(context.Background(), o)
	require.NoError(t, err, "seed %d", o.Seed)
	assert.Zero(t, r.Formation.Unknown, "seed %d: all members must be registered", o.Seed)
	assert.Equal(t, Changes{Made: 3}, r.Changes, "seed %d: no drain may be lost or reverted", o.Seed)
	assert.Len(t, r.PrimaryChange.Each, 1)
	assert.Positive(t, r.PrimaryChange.Max)
	assert.Positive(t, r.InForce.P50)
	assert.GreaterOrEqual(t, r.InForce.Max, r.InForce.P50)
	assert.Equal(t, Sizes{Members: 60, Real: 1, Simulated: 59, Engines: 40, Control: 3}, r.Scale)
	assert.Equal(t, o.processes(), r.Machine.Processes)
	for name, figure := range map[string]float64{"gossip sent": r.PerMember.GossipSentBytesPerSecond,
		"gossip received": r.PerMember.GossipReceivedBytesPerSecond,
		"calls sent":      r.PerMember.CallsSentBytesPerSecond, "calls received": r.PerMember.CallsReceivedBytesPerSecond,
		"CPU":           r.Machine.CPUCores,
		"replica's CPU": r.Control.CPUShareMax, "replica's memory": r.Control.ResidentBytesMax,
		"log":             r.Control.LogBytesPerSecond,
		"replica's calls": r.Control.CallsBytesPerSecondMax} {
		assert.Positive(t, figure, name)
	}
	for _, s := range r.Samples(1) {
		assert.NotEmpty(t, s.Role, s.Quantity)
	}
}

func TestInvalidOptionsAreRejectedByName(t *testing.T) {
	for option, invalidate := range map[string]func(*Options){
		"members":  func(o *Options) { o.Members = 1001 },
		"real":     func(o *Options) { o.Real = 21 },
		"control":  func(o *Options) { o.Control = 4 },
		"regions":  func(o *Options) { o.Regions = 8 },
		"per-host": func(o *Options) { o.PerHost = 2 },
		"seconds":  func(o *Options) { o.Seconds = 0 },
		"faults":   func(o *Options) { o.Faults = []string{"flood"} },
		"pause-share": func(o *Options) {
			o.PauseShare = 1.5
		},
		"notice-within": func(o *Options) { o.NoticeWithin = 0 },
		"beechcart":     func(o *Options) { o.Program = "" },
	} {
		o := Defaults()
		o.Program, o.HostCommand = "beechcart", []string{"host"}
		require.NoError(t, o.Check())
		invalidate(&o)
		_, err := Run(context.Background(), o)
		var sizeError *SizeError
		require.ErrorAs(t, err, &sizeError, option)
		assert.Equal(t, option, sizeError.Option)
		assert.NotEmpty(t, sizeError.Allowed)
	}
	o := Defaults()
	o.Program, o.HostCommand, o.Members, o.Control = "beechcart", []string{"host"}, 6, 5
	assert.ErrorContains(t, o.Check(), "at least 9")
}

// Guards against counting a member that has not applied a change as one that has.
func TestChangeIsLostOrRevertedByOneMember(t *testing.T) {
	began := time.Unix(1000, 0)
	reports := func(nanos ...int64) *hostProcess {
		plan := hostPlan{members: make([]MemberConfig, 2)}
		return &hostProcess{plan: plan, process: &os.Process{}, reports: []HostReport{{Drains: []DrainState{{Engine: "e0",
			EachNanos: nanos}}}}}
	}
	at := func(millis int) int64 { return began.Add(time.Duration(millis) * time.Millisecond).UnixNano() }
	r := &run{hosts: []*hostProcess{reports(at(10), at(30)), reports(at(20))}}
	c := &change{engine: "e0", sent: began}
	r.collect(c)
	assert.True(t, c.lost())
	assert.Equal(t, 4, c.live)

	r.hosts[1] = reports(at(20), at(40))
	r.collect(c)
	assert.False(t, c.lost())
	assert.Zero(t, r.reverted(c))
	changes := changeLog{made: []*change{c}}
	var result Result
	changes.summarize(&result)
	assert.Equal(t, Changes{Made: 1}, result.Changes)
	assert.InDelta(t, 0.04, result.InForce.Max, 0.001)

	r.hosts[1] = reports(at(20), at(500))
	assert.Equal(t, 1, r.reverted(c), "the drain ended at one member and was applied again")
	r.hosts[1] = reports(at(20))
	assert.Equal(t, 1, r.reverted(c))
}

func TestRatesAreDifferencesBetweenFirstAndLastReport(t *testing.T) {
	first := HostReport{UnixNanos: 1e9, Gossip: Traffic{SentBytes: 100, SentMessages: 1}, CPUSeconds: 1, HeapBytes: 10}
	last := HostReport{UnixNanos: 3e9, Gossip: Traffic{SentBytes: 500, SentMessages: 5}, CPUSeconds: 1.5, HeapBytes: 20,
		Members: 3}
	_, ok := ratesOf([]HostReport{first})
	assert.False(t, ok)
	got, ok := ratesOf([]HostReport{first, last})
	require.True(t, ok)
	assert.InDelta(t, 200, got.gossip.sent, 1e-9)
	assert.InDelta(t, 2, got.gossip.messages, 1e-9)
	assert.InDelta(t, 0.25, got.cpu, 1e-9)
	assert.InDelta(t, 15, got.heap, 1e-9)
}

func TestMissedBudgetIsNamed(t *testing.T) {
	r := Result{PerMember: MemberCost{SentBytesPerSecond: 2500, ReceivedBytesPerSecond: 2000},
		InForce: Percentiles{Max: 3.9}}
	r.judge()
	assert.False(t, r.Passed)
	require.Len(t, r.Missed, 1)
	assert.Contains(t, r.Missed[0].String(), "sent_and_received_bytes_per_second: found 4500, allowed is up to 4096")
	r.PerMember.ReceivedBytesPerSecond = 1000
	r.judge()
	assert.True(t, r.Passed)
	r.Changes.Lost = 1
	r.judge()
	assert.False(t, r.Passed)
}
