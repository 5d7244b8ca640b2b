package discovery

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const second = time.Second

// testEndpoints returns n endpoints at different addresses, all passing and none draining.
func testEndpoints(n int) []Endpoint {
	var list []Endpoint
	for i := range n {
		list = append(list, Endpoint{
			Key:         fmt.Sprintf("n%d/e%d", i, i),
			Addr:        fmt.Sprintf("10.0.0.%d:9", i+1),
			Weight:      1,
			CreateIndex: uint64(i + 1),
			Passing:     true,
		})
	}
	return list
}

// newTestSet returns an empty set with the default settings.
func newTestSet(t *testing.T) *EndpointSet {
	t.Helper()
	s, err := New(Defaults())
	require.NoError(t, err)
	return s
}

// trustedAt returns a trusted observation of the given index.
func trustedAt(index uint64, list []Endpoint) Observation {
	return Observation{Index: index, HasLeader: true, Endpoints: list}
}

// withEntry returns a copy of the list in which change has been applied to entry i.
func withEntry(list []Endpoint, i int, change func(*Endpoint)) []Endpoint {
	out := append([]Endpoint(nil), list...)
	change(&out[i])
	return out
}

func drain(e *Endpoint) { e.Drain = true }
func fail(e *Endpoint)  { e.Passing = false }

// states counts the endpoints by state and reason.
func states(s *EndpointSet) map[string]int {
	n := map[string]int{}
	for _, change := range s.Current() {
		n[change.State.String()+", "+string(change.Reason)]++
	}
	return n
}

// Keys of the map that the function states returns.
const (
	passing          = "ready, passing"
	drainRequested   = "draining, drain commanded"
	missingSuspect   = "ready, missing, list in doubt"
	deregistered     = "draining, deregistered"
	missingEmptyList = "ready, missing, an empty list is not obeyed"
	checkFailing     = "draining, check failing"
	failingKept      = "ready, failing, kept: too many are out"
	flapping         = "draining, flapping"
	addressReused    = "draining, address taken by a later registration"
	addressDraining  = "draining, an engine at this address drains"
	cached           = "ready, from the last good list"
)

// truthTable lists the effect of each kind of observation on a ready endpoint, like the table in docs/consul.md.
var truthTable = []struct {
	name     string
	reported []Observation // one second apart, after a first observation that has index 10 and reports all endpoints
	want     map[string]int
}{
	{
		name:     "drain, trusted",
		reported: []Observation{trustedAt(11, withEntry(all, 0, drain))},
		want:     map[string]int{passing: 7, drainRequested: 1},
	},
	{
		name:     "drain, same index",
		reported: []Observation{trustedAt(10, withEntry(all, 0, drain))},
		want:     map[string]int{passing: 7, drainRequested: 1},
	},
	{
		name:     "drain, earlier index",
		reported: []Observation{trustedAt(5, withEntry(all, 0, drain))},
		want:     map[string]int{passing: 7, drainRequested: 1},
	},
	{
		name:     "drain, no leader",
		reported: []Observation{{Index: 11, Endpoints: withEntry(all, 0, drain)}},
		want:     map[string]int{passing: 7, drainRequested: 1},
	},
	{
		name:     "drain, in a suspect list",
		reported: []Observation{trustedAt(11, withEntry(all, 0, drain)[:3])},
		want:     map[string]int{passing: 2, drainRequested: 1, missingSuspect: 5},
	},
	{
		name:     "all drain",
		reported: []Observation{trustedAt(11, drainAll(all))},
		want:     map[string]int{drainRequested: 8},
	},
	{
		name:     "lift, later index",
		reported: []Observation{trustedAt(11, withEntry(all, 0, drain)), trustedAt(12, all)},
		want:     map[string]int{passing: 8},
	},
	{
		name:     "lift, same index",
		reported: []Observation{trustedAt(11, withEntry(all, 0, drain)), trustedAt(11, all)},
		want:     map[string]int{passing: 7, drainRequested: 1},
	},
	{
		name:     "lift, earlier index",
		reported: []Observation{trustedAt(11, withEntry(all, 0, drain)), trustedAt(9, all)},
		want:     map[string]int{passing: 7, drainRequested: 1},
	},
	{
		name:     "lift, no leader",
		reported: []Observation{trustedAt(11, withEntry(all, 0, drain)), {Index: 12, Endpoints: all}},
		want:     map[string]int{passing: 7, drainRequested: 1},
	},
	{
		name: "lift, too stale",
		reported: []Observation{
			trustedAt(11, withEntry(all, 0, drain)),
			{Index: 12, HasLeader: true, LastContact: 3 * second, Endpoints: all},
		},
		want: map[string]int{passing: 7, drainRequested: 1},
	},
	{
		name:     "one deregistered",
		reported: []Observation{trustedAt(11, all[1:])},
		want:     map[string]int{passing: 7, deregistered: 1},
	},
	{
		name:     "two deregistered",
		reported: []Observation{trustedAt(11, all[2:])},
		want:     map[string]int{passing: 6, deregistered: 2},
	},
	{
		name:     "three deregistered at once",
		reported: []Observation{trustedAt(11, all[3:])},
		want:     map[string]int{passing: 5, missingSuspect: 3},
	},
	{
		name:     "three deregistered one by one",
		reported: []Observation{trustedAt(11, all[1:]), trustedAt(12, all[2:]), trustedAt(13, all[3:])},
		want:     map[string]int{passing: 5, deregistered: 2, missingSuspect: 1},
	},
	{
		name:     "one missing, same index",
		reported: []Observation{trustedAt(10, all[1:])},
		want:     map[string]int{passing: 7, missingSuspect: 1},
	},
	{
		name:     "one missing, earlier index",
		reported: []Observation{trustedAt(9, all[1:])},
		want:     map[string]int{passing: 8},
	},
	{
		name:     "one missing, no leader",
		reported: []Observation{{Index: 11, Endpoints: all[1:]}},
		want:     map[string]int{passing: 8},
	},
	{
		name:     "empty list",
		reported: []Observation{trustedAt(11, nil)},
		want:     map[string]int{missingEmptyList: 8},
	},
	{
		name:     "empty list after a drain",
		reported: []Observation{trustedAt(11, withEntry(all, 0, drain)), trustedAt(12, nil)},
		want:     map[string]int{missingEmptyList: 7, drainRequested: 1},
	},
	{
		name:     "one fails",
		reported: []Observation{trustedAt(11, withEntry(all, 0, fail))},
		want:     map[string]int{passing: 7, checkFailing: 1},
	},
	{
		name:     "one fails, no leader",
		reported: []Observation{{Index: 11, Endpoints: withEntry(all, 0, fail)}},
		want:     map[string]int{passing: 8},
	},
	{
		name:     "all fail",
		reported: []Observation{trustedAt(11, failFirst(all, 8))},
		want:     map[string]int{checkFailing: 2, failingKept: 6},
	},
	{
		name:     "one fails, then passes",
		reported: []Observation{trustedAt(11, withEntry(all, 0, fail)), trustedAt(12, all)},
		want:     map[string]int{passing: 8},
	},
	{
		name: "one flaps",
		reported: []Observation{
			trustedAt(11, withEntry(all, 0, fail)),
			trustedAt(12, all),
			trustedAt(13, withEntry(all, 0, fail)),
			trustedAt(14, all),
			trustedAt(15, withEntry(all, 0, fail)),
			trustedAt(16, all),
		},
		want: map[string]int{passing: 7, flapping: 1},
	},
	{
		name: "malformed entries",
		reported: []Observation{trustedAt(11, append(testEndpoints(8),
			Endpoint{Key: "n9/x", Addr: "nowhere"},
			Endpoint{Addr: "10.0.0.9:1"},
			Endpoint{Key: "n9/y", Addr: "10.0.0.9:0"},
		))},
		want: map[string]int{passing: 8},
	},
	{
		name:     "two entries with one key",
		reported: []Observation{trustedAt(11, append(testEndpoints(8), all[3]))},
		want:     map[string]int{passing: 8},
	},
	{
		name:     "two entries with one key, one drains",
		reported: []Observation{trustedAt(11, append(testEndpoints(8), withEntry(all, 3, drain)[3]))},
		want:     map[string]int{passing: 7, drainRequested: 1},
	},
	{
		name: "two endpoints at one address",
		reported: []Observation{trustedAt(11, append(testEndpoints(8),
			Endpoint{Key: "z/z", Addr: all[3].Addr, CreateIndex: 99, Passing: true},
		))},
		want: map[string]int{passing: 8, addressReused: 1},
	},
	{
		name: "two endpoints at one address, the earlier one drains",
		reported: []Observation{trustedAt(11, append(withEntry(all, 3, drain),
			Endpoint{Key: "z/z", Addr: all[3].Addr, CreateIndex: 99, Passing: true},
		))},
		want: map[string]int{passing: 7, drainRequested: 1, addressDraining: 1},
	},
}

// all lists the endpoints of the truth table.
var all = testEndpoints(8)

func TestTruthTable(t *testing.T) {
	for _, row := range truthTable {
		t.Run(row.name, func(t *testing.T) {
			s := newTestSet(t)
			update := s.Observe(second, trustedAt(10, all))
			require.Len(t, update.Changes, 8)
			for i, observation := range row.reported {
				s.Observe(time.Duration(i+2)*second, observation)
			}
			assert.Equal(t, row.want, states(s))
		})
	}
}

// drainAll returns a copy of the list in which every endpoint drains.
func drainAll(list []Endpoint) []Endpoint {
	out := append([]Endpoint(nil), list...)
	for i := range out {
		out[i].Drain = true
	}
	return out
}

// failFirst returns a copy of the list in which the first n endpoints fail.
func failFirst(list []Endpoint, n int) []Endpoint {
	out := append([]Endpoint(nil), list...)
	for i := range n {
		out[i].Passing = false
	}
	return out
}

func TestSuspectListIsObeyedOnceConfirmed(t *testing.T) {
	s := newTestSet(t)
	s.Observe(second, trustedAt(10, all))
	update := s.Observe(2*second, trustedAt(11, all[4:]))
	require.True(t, s.Suspicious())
	require.Equal(t, []Notice{{NoticeListSuspect, 4, "of 8"}}, update.Notices)
	s.Observe(7*second, trustedAt(11, all[4:]))
	assert.Equal(t, 4, states(s)[missingSuspect], "two reads must not confirm the list")
	update = s.Observe(12*second, trustedAt(11, all[4:]))
	require.Equal(t, []Notice{{NoticeListConfirmed, 4, ""}}, update.Notices)
	assert.Equal(t, 4, states(s)[deregistered])
	next, ok := s.Next()
	require.True(t, ok)
	require.Equal(t, 42*second, next)
	update = s.Advance(next)
	require.Len(t, update.Changes, 4)
	assert.Equal(t, Removed, update.Changes[0].State)
	assert.Len(t, s.Current(), 4)
	_, ok = s.Next()
	assert.False(t, ok)
}

func TestSuspectListIsObeyedAfterMaxSuspicion(t *testing.T) {
	s := newTestSet(t)
	s.Observe(second, trustedAt(10, all))
	s.Observe(2*second, trustedAt(11, all[4:]))
	next, ok := s.Next()
	require.True(t, ok)
	require.Equal(t, 62*second, next)
	update := s.Advance(next)
	require.Equal(t, []Notice{{NoticeSuspicionExpired, 4, ""}}, update.Notices)
	assert.Equal(t, 4, states(s)[deregistered])
}

// An empty list is never obeyed, and its reads do not confirm a later list that is short but not empty.
func TestEmptyListsConfirmNothing(t *testing.T) {
	s := newTestSet(t)
	s.Observe(second, trustedAt(10, all))
	for i := range 300 {
		s.Observe(time.Duration(i+2)*second, trustedAt(11, nil))
		s.Advance(time.Duration(i+2) * second)
	}
	assert.Equal(t, map[string]int{missingEmptyList: 8}, states(s))
	s.Observe(400*second, trustedAt(12, all[4:]))
	assert.Equal(t, 4, states(s)[missingSuspect])
	update := s.Observe(401*second, trustedAt(13, all))
	assert.Equal(t, NoticeSuspicionCleared, update.Notices[0].Kind)
	assert.Equal(t, map[string]int{passing: 8}, states(s))
}

func TestIndexResetIsAcceptedOnceResetAfterHasPassed(t *testing.T) {
	s := newTestSet(t)
	s.Observe(second, trustedAt(1000, withEntry(all, 0, drain)))
	for i := range 10 {
		s.Observe(time.Duration(i+2)*second, trustedAt(uint64(5+i), all))
		require.Equal(t, 1, states(s)[drainRequested], "an earlier index must not lift a drain")
	}
	update := s.Observe(12*second, trustedAt(15, all))
	require.Equal(t, []Notice{{NoticeIndexReset, 8, "from 1000 to 15"}}, update.Notices)
	assert.Equal(t, 8, states(s)[passing])
	for _, c := range update.Changes {
		assert.Zero(t, c.StartedAt, "an index reset must not look like a process restart")
	}
	assert.EqualValues(t, 15, s.Index())
}

// A drain that the first observation of an epoch reports is not lifted by a further observation of the same index.
func TestDrainOfTheFirstObservationOfAnEpochHolds(t *testing.T) {
	s := newTestSet(t)
	s.Observe(second, trustedAt(1000, all))
	for i := range 12 {
		s.Observe(time.Duration(i+2)*second, trustedAt(5, withEntry(all, 0, drain)))
	}
	require.EqualValues(t, 5, s.Index())
	s.Observe(20*second, trustedAt(5, all))
	assert.Equal(t, 1, states(s)[drainRequested])
	s.Observe(21*second, trustedAt(6, all))
	assert.Equal(t, 8, states(s)[passing])
}

// The catalogue's leader and a lagging follower respond in turn. The follower's earlier index does not reset the index.
func TestAlternatingLaggingFollowerDoesNotResetTheIndex(t *testing.T) {
	s := newTestSet(t)
	for i := range 100 {
		s.Observe(time.Duration(2*i+1)*second, trustedAt(uint64(1000+i), withEntry(all, 0, drain)))
		update := s.Observe(time.Duration(2*i+2)*second, trustedAt(500, all))
		for _, notice := range update.Notices {
			require.Equal(t, NoticeUntrusted, notice.Kind)
		}
	}
	assert.Equal(t, 1, states(s)[drainRequested])
}

func TestStartTimeOfAReplacedProcess(t *testing.T) {
	for name, testCase := range map[string]struct {
		change   func(*Endpoint)
		replaced bool
	}{
		"no change":                   {func(*Endpoint) {}, false},
		"new registration":            {func(e *Endpoint) { e.CreateIndex = 50 }, true},
		"new address":                 {func(e *Endpoint) { e.Addr = "10.0.1.1:9" }, true},
		"new incarnation":             {func(e *Endpoint) { e.Incarnation = "p2" }, true},
		"new tag or check":            {func(e *Endpoint) { e.ModifyIndex = 50 }, false},
		"new weight":                  {func(e *Endpoint) { e.Weight = 3 }, false},
		"new start time, as reported": {func(e *Endpoint) { e.CreateIndex, e.StartedAt = 50, 7*second }, true},
	} {
		t.Run(name, func(t *testing.T) {
			s, all := newTestSet(t), testEndpoints(4)
			s.Observe(second, trustedAt(10, all))
			s.Observe(9*second, trustedAt(11, withEntry(all, 0, testCase.change)))
			want := time.Duration(0)
			if testCase.replaced {
				want = 9 * second
			}
			if all := withEntry(all, 0, testCase.change); all[0].StartedAt > 0 {
				want = all[0].StartedAt
			}
			assert.Equal(t, want, s.Current()[0].StartedAt)
		})
	}
}

func TestSameIncarnationIsTheSameProcess(t *testing.T) {
	s := newTestSet(t)
	all := withEntry(testEndpoints(4), 0, func(e *Endpoint) { e.Incarnation = "p1" })
	s.Observe(second, trustedAt(10, all))
	s.Observe(2*second, trustedAt(11, withEntry(all, 0, func(e *Endpoint) { e.CreateIndex = 40 })))
	assert.Zero(t, s.Current()[0].StartedAt, "a new registration of the same process is not a restart")
}

func TestDeregisteredEndpointReturnsAtANewAddress(t *testing.T) {
	s := newTestSet(t)
	s.Observe(second, trustedAt(10, all))
	s.Observe(2*second, trustedAt(11, all[1:]))
	s.Observe(3*second, trustedAt(12, withEntry(all, 0, func(e *Endpoint) { e.Addr, e.CreateIndex = "10.0.2.2:9", 12 })))
	change := s.Current()[0]
	assert.Equal(t, Ready, change.State)
	assert.Equal(t, "10.0.2.2:9", change.Addr)
	assert.Equal(t, 3*second, change.StartedAt)
}

func TestRestore(t *testing.T) {
	s := newTestSet(t)
	update := s.Restore(second, withEntry(all, 0, drain))
	require.Len(t, update.Changes, 8)
	assert.Equal(t, map[string]int{cached: 7, drainRequested: 1}, states(s))
	s.Observe(2*second, trustedAt(7, nil))
	assert.Equal(t, 7, states(s)[missingEmptyList], "an empty first response removes no endpoint")
	s.Observe(3*second, trustedAt(8, withEntry(all, 1, drain)))
	assert.Equal(t, map[string]int{passing: 7, drainRequested: 1}, states(s), "the catalogue replaces the cached list")
}

func TestSwitchToAnotherCatalogue(t *testing.T) {
	s := newTestSet(t)
	s.Observe(second, trustedAt(1000, withEntry(all, 0, drain)))
	s.Switch(2 * second)
	assert.Equal(t, 1, states(s)[drainRequested])
	update := s.Observe(3*second, trustedAt(4, all))
	assert.Equal(t, 8, states(s)[passing])
	require.Len(t, update.Changes, 1)
	assert.Zero(t, update.Changes[0].StartedAt)
}

func TestFirstListNeedNotBeTrusted(t *testing.T) {
	s := newTestSet(t)
	s.Observe(second, Observation{})
	assert.Empty(t, s.Current())
	s.Observe(second, Observation{Index: 4, Endpoints: testEndpoints(2)})
	assert.Equal(t, 2, states(s)[passing], "untrusted endpoints are better than none")
}

func TestNewRejectsInvalidSettings(t *testing.T) {
	for key, invalidate := range map[string]func(*Settings){
		"max_out":       func(s *Settings) { s.MaxEjected = 1.5 },
		"max_loss":      func(s *Settings) { s.MaxLoss = -1 },
		"max_lag":       func(s *Settings) { s.MaxStaleness = 0 },
		"confirm_reads": func(s *Settings) { s.ConfirmReads = 0 },
		"doubt_for":     func(s *Settings) { s.MaxSuspicion = second },
		"penalty":       func(s *Settings) { s.Penalty = 0 },
		"reuse":         func(s *Settings) { s.Reuse = 0 },
		"suppress":      func(s *Settings) { s.Suppress = 0.1 },
		"half_life":     func(s *Settings) { s.HalfLife = -1 },
		"linger":        func(s *Settings) { s.Linger = 0 },
	} {
		settings := Defaults()
		invalidate(&settings)
		_, err := New(settings)
		assert.ErrorContains(t, err, "membership: "+key+":")
	}
}
