package scale

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"beechcart/decision/rollout"
	"beechcart/internal/fleet"
)

const testKey = "0123456789abcdef"

// waitTimeout is longer than any step takes on an overloaded machine. No test checks how much earlier a step completes.
const waitTimeout = 90 * time.Second

// loopbackNet returns the first three bytes of a loopback network that no other fleet on this machine uses. Until the
// test ends, a listener on the network's last address marks the network as taken.
func loopbackNet(t *testing.T) string {
	t.Helper()
	for n := range 200 {
		base := fmt.Sprintf("127.%d.%d", 20+(os.Getpid()+n)%200, 20+n)
		if l, err := net.Listen("tcp", base+".254:7000"); err == nil {
			t.Cleanup(func() { l.Close() })
			return base
		}
	}
	t.Fatal("found no free loopback network in 200 tries")
	return ""
}

// testConfig returns the configuration of one control replica and members-1 simulated front ends, placed alternately in
// zones a and b.
func testConfig(t *testing.T, members int) HostConfig {
	t.Helper()
	base := loopbackNet(t)
	address := func(i, port int) string { return fmt.Sprintf("%s.%d:%d", base, i+1, port) }
	config := HostConfig{Key: testKey, Revision: "r1", ReportMillis: 50, RequestsASec: 10,
		Replicas: []fleet.ReplicaAddress{{Name: "n0", LogAddress: address(0, 7002), APIAddress: address(0, 7003),
			GossipAddress: address(0, 7004)}},
		Engines:       []EngineConfig{{"e0", "a", 12}, {"e1", "b", 12}, {"e2", "a", 12}, {"e3", "b", 12}},
		AddressByZone: []ZoneAddresses{{Zone: "a"}, {Zone: "b"}},
	}
	for i := range members {
		zone := &config.AddressByZone[i%2]
		zone.Hosts = append(zone.Hosts, fmt.Sprintf("%s.%d", base, i+1))
		config.Members = append(config.Members, MemberConfig{Name: fmt.Sprint("n", i), Zone: zone.Zone, Region: "r",
			Gossip: address(i, 7004)})
	}
	if members > 0 {
		config.Members[0].Dir = filepath.Join(t.TempDir(), "log")
	}
	return config
}

// testHost is a host that runs in the test's process.
type testHost struct {
	t       *testing.T
	in      *io.PipeWriter
	reports chan HostReport
	ended   chan error
}

func startHost(t *testing.T, config HostConfig) *testHost {
	t.Helper()
	orderReader, orderWriter := io.Pipe()
	reportReader, reportWriter := io.Pipe()
	h := &testHost{t: t, in: orderWriter, reports: make(chan HostReport), ended: make(chan error, 1)}
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		h.ended <- RunHost(ctx, orderReader, reportWriter)
		_ = reportWriter.Close()
		_ = orderReader.Close() // a write to a host that has ended then fails
	}()
	go func() {
		defer close(h.reports)
		for lines := bufio.NewScanner(reportReader); lines.Scan(); {
			var report HostReport
			if assert.NoError(t, json.Unmarshal(lines.Bytes(), &report), lines.Text()) {
				h.reports <- report
			}
		}
	}()
	t.Cleanup(func() {
		cancel()
		for range h.reports {
		}
	})
	h.send(config)
	return h
}

func (h *testHost) send(line any) {
	require.NoError(h.t, json.NewEncoder(h.in).Encode(line))
}

// await returns the first report for which wanted is true. what names the awaited state in failure messages.
func (h *testHost) await(what string, wanted func(HostReport) bool) HostReport {
	h.t.Helper()
	timeout := time.After(waitTimeout)
	var last HostReport
	for {
		select {
		case report, running := <-h.reports:
			require.True(h.t, running, "the host ended before: %s", what)
			if last = report; wanted(report) {
				return report
			}
		case <-timeout:
			require.Fail(h.t, "no such report in time", "awaited: %s; last report: %+v", what, last)
		}
	}
}

// end closes the host's input, and returns the result of RunHost.
func (h *testHost) end() error {
	require.NoError(h.t, h.in.Close())
	for range h.reports {
	}
	return <-h.ended
}

// initFleetLog initializes the control log once its replica answers.
func initFleetLog(t *testing.T, config HostConfig) *fleet.Client {
	t.Helper()
	client := fleet.NewClient(&fleet.Options{ControlReplicas: config.Replicas, Key: testKey})
	require.Eventually(t, func() bool { return client.Init() == nil }, waitTimeout, 20*time.Millisecond)
	return client
}

func TestHostRunsFleet(t *testing.T) {
	config := testConfig(t, 11)
	h := startHost(t, config)
	client := initFleetLog(t, config)
	report := h.await("all members registered and heard of", func(r HostReport) bool {
		return r.Known == 11 &&
			r.HeardLeast == 11
	})
	assert.Equal(t, 11, report.Members)
	assert.Equal(t, 11, report.HeardMost)
	assert.InDelta(t, 11, report.HeardMean, 1e-9)
	for kind, traffic := range map[string]Traffic{"gossip": report.Gossip, "calls": report.Calls,
		"served": report.Served} {
		assert.Positive(t, traffic.SentBytes, kind)
		assert.Positive(t, traffic.ReceivedMessages, kind)
	}
	assert.Positive(t, report.CPUSeconds)
	assert.Positive(t, report.HeapBytes)
	assert.Positive(t, report.ResidentBytes)
	assert.Greater(t, report.Goroutines, 11)

	ready := func() bool {
		status, err := client.Status()
		serving := 0
		for _, member := range status.State.Members {
			if member.Phase == rollout.Serving && !member.Suspected {
				serving++
			}
		}
		return err == nil && serving == 11 && len(status.State.Engines) == len(config.Engines)
	}
	require.Eventually(t, ready, waitTimeout, 50*time.Millisecond)
	drain := rollout.Command{ID: "drain-e1", Drain: &rollout.Subject{Name: "e1", Engine: true}}
	var result rollout.Result
	began := time.Now()
	require.Eventually(t, func() bool {
		var err error
		result, err = client.Apply(drain)
		return err == nil
	}, waitTimeout, 100*time.Millisecond)
	require.Nil(t, result.Rejected)
	report = h.await("the drain in force at all members", func(r HostReport) bool {
		return len(r.Drains) == 1 &&
			r.Drains[0].InForce == 11
	})
	state := report.Drains[0]
	assert.Equal(t, "e1", state.Engine)
	assert.Len(t, state.EachNanos, 11)
	assert.GreaterOrEqual(t, state.FirstNanos, began.UnixNano())
	assert.GreaterOrEqual(t, state.LatestNanos, state.FirstNanos)
	require.NoError(t, h.end())
}

// A cut between zones also separates members of one process, and ends with the next order.
func TestHostCutsZonesApart(t *testing.T) {
	config := testConfig(t, 6)
	h := startHost(t, config)
	initFleetLog(t, config)
	h.await("all members heard of", func(r HostReport) bool { return r.Known == 6 && r.HeardLeast == 6 })
	h.send(HostOrder{Blocked: map[string][]string{"a": {"b"}, "b": {"a"}}})
	h.await("each zone hearing only of itself", func(r HostReport) bool { return r.HeardLeast == 3 && r.HeardMost == 3 })
	h.send(HostOrder{})
	h.await("all members heard of again", func(r HostReport) bool { return r.HeardLeast == 6 })
	h.send(HostOrder{Blocked: map[string][]string{"a": {"nowhere"}}})
	for range h.reports {
	}
	assert.ErrorContains(t, <-h.ended, `blocked: a: found zone "nowhere"`)
}

// Another replica becomes leader when the leader is cut off, also in one direction only. Before the next cut, the
// fleet has a leader and all three servers again.
func TestAHostCutsALeaderOff(t *testing.T) {
	config := testConfig(t, 3)
	dir := t.TempDir()
	config.Replicas, config.AddressByZone = nil, nil
	for i := range config.Members {
		member := &config.Members[i]
		address, _, err := net.SplitHostPort(member.Gossip)
		require.NoError(t, err)
		member.Zone, member.Dir = fmt.Sprint("z", i), filepath.Join(dir, member.Name)
		config.Replicas = append(config.Replicas, fleet.ReplicaAddress{Name: member.Name, LogAddress: address + ":7002",
			APIAddress: address + ":7003", GossipAddress: member.Gossip})
		config.AddressByZone = append(config.AddressByZone, ZoneAddresses{Zone: member.Zone, Hosts: []string{address}})
	}
	h := startHost(t, config)
	client := initFleetLog(t, config)
	discardEnded := make(chan struct{})
	defer close(discardEnded)
	h.await("all members registered and heard of", func(r HostReport) bool {
		return r.Known == 3 && r.HeardLeast == 3 &&
			r.Log.SentBytes > 0
	})
	go func() {
		for range h.reports { // the host blocks until its reports are read
			select {
			case <-discardEnded:
				return
			default:
			}
		}
	}()
	leader := func() string {
		for _, replica := range config.Replicas {
			if status, err := client.StatusOf(replica.Name); err == nil && status.IsLeader && len(status.Servers) == 3 {
				return replica.Name
			}
		}
		return ""
	}
	for _, blocked := range []func(leader, b, c string) map[string][]string{
		func(leader, b, c string) map[string][]string {
			return map[string][]string{leader: {b, c}, b: {leader}, c: {leader}}
		},
		func(leader, b, c string) map[string][]string { return map[string][]string{leader: {b, c}} },
		func(leader, b, c string) map[string][]string { return map[string][]string{b: {leader}, c: {leader}} },
	} {
		previous := ""
		require.Eventually(t, func() bool { previous = leader(); return previous != "" }, waitTimeout, 50*time.Millisecond)
		zones := map[string]string{}
		var others []string
		for _, member := range config.Members {
			zones[member.Name] = member.Zone
			if member.Name != previous {
				others = append(others, member.Zone)
			}
		}
		h.send(HostOrder{Blocked: blocked(zones[previous], others[0], others[1])})
		require.Eventually(t, func() bool { now := leader(); return now != "" && now != previous }, waitTimeout,
			50*time.Millisecond)
		h.send(HostOrder{})
	}
}

func TestHostWithoutMembersReportsItsOwnCost(t *testing.T) {
	h := startHost(t, HostConfig{ReportMillis: 10})
	report := h.await("a report", func(HostReport) bool { return true })
	assert.Zero(t, report.Members)
	assert.Zero(t, report.Gossip)
	assert.Positive(t, report.ResidentBytes)
	require.NoError(t, h.end())
}

func TestRunHostNamesInvalidField(t *testing.T) {
	config := testConfig(t, 3)
	for wantError, change := range map[string]func(*HostConfig){
		"report_millis: found 0":          func(c *HostConfig) { c.ReportMillis = 0 },
		"requests_a_sec: found -1":        func(c *HostConfig) { c.RequestsASec = -1 },
		"revision: found none":            func(c *HostConfig) { c.Revision = "" },
		"members[2]: name: found \"n1\"":  func(c *HostConfig) { c.Members[2].Name = "n1" },
		"members[1]: zone":                func(c *HostConfig) { c.Members[1].Zone = "" },
		"members[1]: gossip: found \"x\"": func(c *HostConfig) { c.Members[1].Gossip = "x" },
		"members[1]: dir":                 func(c *HostConfig) { c.Members[1].Dir = "log" },
		"members[0]: dir":                 func(c *HostConfig) { c.Members[0].Dir = "" },
		"engines[0]: name":                func(c *HostConfig) { c.Engines[0].Name = "" },
		"engines[3]: cores: found -1":     func(c *HostConfig) { c.Engines[3].Cores = -1 },
		"address_by_zone[1]: hosts[0]":    func(c *HostConfig) { c.AddressByZone[1].Hosts[0] = "here" },
		"key: found 3 bytes":              func(c *HostConfig) { c.Key = "abc" },
	} {
		text, err := json.Marshal(config)
		require.NoError(t, err)
		var changed HostConfig
		require.NoError(t, json.Unmarshal(text, &changed))
		change(&changed)
		text, err = json.Marshal(changed)
		require.NoError(t, err)
		openInput, end := io.Pipe() // keeps the input open
		defer func() { _ = end.Close() }()
		var out bytes.Buffer
		require.ErrorContains(t, RunHost(context.Background(), io.MultiReader(bytes.NewReader(text), openInput), &out),
			wantError)
	}
	assert.ErrorContains(t, RunHost(context.Background(), bytes.NewBufferString(`{"memebrs":[]}`), io.Discard), "memebrs")
}
