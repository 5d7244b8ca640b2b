package fleet

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"github.com/hashicorp/raft"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"beechcart/decision/diskrecovery"
	"beechcart/decision/rollout"
)

const (
	testKey  = "0123456789abcdef"
	otherKey = "fedcba9876543210"
)

// freeAddress returns a loopback address whose port is free over TCP and UDP. Gossip needs both.
func freeAddress(t *testing.T) string {
	t.Helper()
	for range 100 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		address := listener.Addr().String()
		packets, err := net.ListenPacket("udp", address)
		require.NoError(t, listener.Close())
		if err == nil {
			require.NoError(t, packets.Close())
			return address
		}
	}
	require.Fail(t, "found no port that is free over TCP and UDP in 100 attempts")
	return ""
}

// options returns the options of the only control replica of a fleet.
func options(t *testing.T) *Options {
	t.Helper()
	o := &Options{
		Name: "n0", Zone: "room-a", Revision: "r1", GossipAddress: freeAddress(t), Key: testKey,
		LogDirectory: filepath.Join(t.TempDir(), "log"), Settings: rollout.Defaults(),
		Log: slog.New(slog.DiscardHandler),
	}
	o.ControlReplicas = []ReplicaAddress{{
		Name: "n0", LogAddress: freeAddress(t), APIAddress: freeAddress(t), GossipAddress: o.GossipAddress,
	}}
	return o
}

func TestCheckNamesTheInvalidOption(t *testing.T) {
	for want, change := range map[string]func(*Options){
		"revision":           func(o *Options) { o.Revision = "" },
		"keepers: found 2":   func(o *Options) { o.ControlReplicas = append(o.ControlReplicas, o.ControlReplicas[0]) },
		"key: found 3 bytes": func(o *Options) { o.Key = "abc" },
		"keepers[0]: log":    func(o *Options) { o.ControlReplicas[0].LogAddress = "here" },
		"keepers[1]: name": func(o *Options) {
			o.ControlReplicas = append(o.ControlReplicas, o.ControlReplicas[0], o.ControlReplicas[0])
		},
		"gossip": func(o *Options) { o.GossipAddress = "" },
		"dir":    func(o *Options) { o.LogDirectory = "" },
		"routes": func(o *Options) {
			o.Transport, o.DialOverrides = NewTransport("127.0.0.1"), map[string]string{"127.0.0.1:1": "127.0.0.1:2"}
		},
	} {
		t.Run(want, func(t *testing.T) {
			o := options(t)
			require.NoError(t, o.Check())
			change(o)
			assert.ErrorContains(t, o.Check(), want)
		})
	}
}

// The clock is set back between two processes of a front end. The later process must have the higher incarnation, or
// its reports would count as stale.
func TestIncarnationIncreasesAfterClockIsSetBack(t *testing.T) {
	directory := filepath.Join(t.TempDir(), "log")
	storedIncarnation := uint64(time.Now().Add(time.Hour).UnixNano())
	require.NoError(t, os.WriteFile(directory+".process", []byte(strconv.FormatUint(storedIncarnation, 10)), 0o600))
	for _, want := range []uint64{storedIncarnation + 1, storedIncarnation + 2} {
		got, err := nextIncarnation(directory, time.Now())
		require.NoError(t, err)
		assert.Equal(t, want, got)
	}
}

// A replica that has lost its log must not accept connections that are meant for its old identity. Otherwise the
// replica would vote on behalf of an identity whose votes and entries it has lost.
func TestHandshakeRejectsAnotherIdentity(t *testing.T) {
	o := options(t)
	address := o.ControlReplicas[0].LogAddress
	s, err := listenRaft(o, address, "n0.new")
	require.NoError(t, err)
	defer func() { _ = s.Close() }()
	_, err = s.Dial(serverAddress("n0.old", address), time.Second)
	require.ErrorContains(t, err, "did not accept the handshake for identity n0.old")
	otherKeyOptions := *o
	otherKeyOptions.Key = otherKey
	_, err = (&raftStream{options: &otherKeyOptions}).Dial(serverAddress("n0.new", address), time.Second)
	require.Error(t, err, "handshake with another fleet key")
	dialled, err := s.Dial(serverAddress("n0.new", address), time.Second)
	require.NoError(t, err)
	defer dialled.Close()
	accepted, err := s.Accept()
	require.NoError(t, err)
	defer accepted.Close()
	writeText(t, dialled, "x")
	readText(t, accepted, "x")
}

// applyEventually repeats a command until the replica leads and applies it.
func applyEventually(t *testing.T, r *ControlReplica, command rollout.Command) {
	t.Helper()
	require.Eventually(t, func() bool {
		_, err := r.Apply(command)
		return err == nil
	}, 10*time.Second, 20*time.Millisecond)
}

// A replica that reopens its log has its old identity and the committed state. Log files without an identity file are
// rejected. An empty directory gives the replica a new identity, and the replica does not start a fleet without Init.
func TestReplicaRestartsFromItsLog(t *testing.T) {
	o := options(t)
	r, err := OpenReplica(o)
	require.NoError(t, err)
	require.NoError(t, r.Init())
	applyEventually(t, r, rollout.Command{ReportStatus: &rollout.ReportStatus{
		Name: "n0", Zone: "room-a", Incarnation: 1, StatusSequence: 1, Revision: "r1", Phase: rollout.Serving,
	}})
	identity := r.id
	r.Close()

	r, err = OpenReplica(o)
	require.NoError(t, err)
	assert.Equal(t, identity, r.id)
	applyEventually(t, r, rollout.Command{Tick: &struct{}{}})
	r.readState(func(m *rollout.StateMachine) { assert.Equal(t, "r1", m.Members["n0"].Revision) })
	answer, err := r.serveWatch(httptest.NewRequest(http.MethodGet, "/watch?name=n0", nil))
	require.NoError(t, err)
	assert.True(t, answer.(watchAnswer).View.Registered)
	r.Close()

	require.NoError(t, os.Remove(filepath.Join(o.LogDirectory, identityFile)))
	_, err = OpenReplica(o)
	require.ErrorContains(t, err, "holds files and no identity")
	require.NoError(t, os.RemoveAll(o.LogDirectory))
	r, err = OpenReplica(o)
	require.NoError(t, err)
	defer r.Close()
	assert.NotEqual(t, identity, r.id)
	assert.False(t, r.isLeader(), "a replica with an empty log leads without Init")
}

// On a full disk the raft library can't write its term, and would panic. Only the replica may stop, not the process of
// the front end. The replica reopens its log once there is space.
func TestFullDiskStopsOnlyTheReplica(t *testing.T) {
	o := options(t)
	o.DiskFaultFile = filepath.Join(t.TempDir(), "fault")
	r, err := OpenReplica(o)
	require.NoError(t, err)
	require.NoError(t, r.Init())
	require.Eventually(t, r.isLeader, 10*time.Second, 10*time.Millisecond)
	identity := r.id

	require.NoError(t, os.WriteFile(o.DiskFaultFile, []byte("full"), 0o600))
	_, err = r.Apply(rollout.Command{Tick: &struct{}{}})
	require.Error(t, err)
	<-r.store.failed
	assert.Equal(t, diskrecovery.NoSpace, classifyFailure(r.store.firstFailure()))
	require.Error(t, r.store.Set([]byte("a"), []byte("b")), "no write may follow a failed write")
	isCandidate := func() bool { return r.raft.State() == raft.Candidate }
	require.Eventually(t, isCandidate, 10*time.Second, 10*time.Millisecond, "the replica did not become a candidate")
	returned := make(chan bool, 1)
	go func() {
		done := false
		defer func() { returned <- done }()
		_ = r.store.SetUint64([]byte(currentTermKey), 99)
		done = true
	}()
	assert.False(t, <-returned, "SetUint64 returned, and the library panics on its error")
	r.Close()

	_, err = OpenReplica(o)
	var diskErr *DiskError
	require.ErrorAs(t, err, &diskErr, "opening the log on a full disk")
	require.NoError(t, os.Remove(o.DiskFaultFile))
	r, err = OpenReplica(o)
	require.NoError(t, err)
	defer r.Close()
	assert.Equal(t, identity, r.id)
	require.Eventually(t, r.isLeader, 10*time.Second, 10*time.Millisecond)
}

// Two of three members end at once, so no other member confirms the suspicions of the remaining one. With the
// library's defaults, an unconfirmed suspicion lasts 5.4 s or more, and the ended members would count as available
// for that long. Fault test rollout, seed 2005.
func TestEndedMembersStopBeingAliveWithinFourSeconds(t *testing.T) {
	first := options(t)
	var all []*gossip
	for i := range 3 {
		o := *first
		o.Name = fmt.Sprint("n", i)
		if i > 0 {
			o.GossipAddress = options(t).GossipAddress
		}
		g, err := openGossip(&o, uint64(i+1))
		require.NoError(t, err)
		all = append(all, g)
	}
	defer all[0].close()
	aliveCountIs := func(want int) func() bool { return func() bool { return len(all[0].aliveProcesses()) == want } }
	require.Eventually(t, aliveCountIs(3), 10*time.Second, 10*time.Millisecond)
	for _, g := range all[1:] {
		close(g.stop)
		require.NoError(t, g.members.Shutdown(), "shutdown without a leave message")
	}
	ended := time.Now()
	require.Eventually(t, aliveCountIs(1), 20*time.Second, 10*time.Millisecond)
	assert.Less(t, time.Since(ended), 4*time.Second)
}

func TestOnlyNoSpaceLeavesDurabilityKnown(t *testing.T) {
	for fault, want := range map[string]diskrecovery.Failure{
		"full": diskrecovery.NoSpace, "sync": diskrecovery.DurabilityUnknown,
	} {
		t.Run(fault, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "fault")
			require.NoError(t, os.WriteFile(path, []byte(fault), 0o600))
			wrote := false
			err := withInjectedFault(path, func() error {
				wrote = true
				return nil
			})
			require.Error(t, err)
			assert.Equal(t, want, classifyFailure(err))
			assert.Equal(t, want == diskrecovery.DurabilityUnknown, wrote)
		})
	}
	assert.Equal(t, diskrecovery.DurabilityUnknown, classifyFailure(io.ErrUnexpectedEOF), "an error other than no space")
}

func TestCallsRequireTheKey(t *testing.T) {
	o := options(t)
	address := o.ControlReplicas[0].APIAddress
	r, err := OpenReplica(o)
	require.NoError(t, err)
	defer r.Close()
	otherKeyOptions := *o
	otherKeyOptions.Key = otherKey
	var rejected *RejectedError
	require.ErrorAs(t, call(&otherKeyOptions, address, "/status", nil, nil), &rejected)
	var status Status
	require.NoError(t, call(o, address, "/status", nil, &status))
	assert.Equal(t, "n0", status.Replica)
	require.ErrorContains(t, call(o, address, "/apply", map[string]int{"odd": 1}, nil), "odd")
	_, err = NewClient(o).Apply(rollout.Command{Tick: &struct{}{}})
	require.ErrorContains(t, err, "no keeper could be asked", "no replica leads")
}

func TestCountsAreCollectedByWindow(t *testing.T) {
	var c countWindows
	for i, name := range []string{"a", "b", "a"} {
		counts := rollout.RequestCounts{Requests: int64(i + 1)}
		c.add(WindowCounts{Name: name, Window: 5, Counts: counts})
	}
	c.add(WindowCounts{Name: "a", Window: 6})
	windows := c.completeWindows(5)
	require.Len(t, windows, 1)
	assert.Equal(t, int64(5), windows[0].number)
	require.Len(t, windows[0].counts, 2, "a member's later counts replace its earlier ones")
	assert.Empty(t, c.completeWindows(5))
	text, err := json.Marshal(rollout.Command{Tick: &struct{}{}})
	require.NoError(t, err)
	assert.Contains(t, string(text), "tick")
}
