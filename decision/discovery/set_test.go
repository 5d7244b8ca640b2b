package discovery

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const second = time.Second

// fleet returns n endpoints as a catalogue reports them when all is well.
func fleet(n int) []Endpoint {
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

// fresh returns an empty set.
func fresh(t *testing.T) *EndpointSet {
	t.Helper()
	s, err := New(Defaults())
	require.NoError(t, err)
	return s
}

// at returns a trusted observation of that index.
func at(index uint64, list []Endpoint) Observation {
	return Observation{Index: index, HasLeader: true, Endpoints: list}
}

// with returns a copy of the list with its entry i changed.
func with(list []Endpoint, i int, change func(*Endpoint)) []Endpoint {
	out := append([]Endpoint(nil), list...)
	change(&out[i])
	return out
}

func drain(e *Endpoint) { e.Drain = true }
func fail(e *Endpoint)  { e.Passing = false }

// states counts the engines by state and reason.
func states(s *EndpointSet) map[string]int {
	n := map[string]int{}
	for _, b := range s.Current() {
		n[b.State.String()+", "+string(b.Reason)]++
	}
	return n
}

// States and reasons, as the function states counts them.
const (
	passing         = "ready, passing"
	drainRequested  = "draining, drain commanded"
	suspect         = "ready, missing, list in doubt"
	deregistered    = "draining, deregistered"
	emptyList       = "ready, missing, an empty list is not obeyed"
	checkFailing    = "draining, check failing"
	failingKept     = "ready, failing, kept: too many are out"
	flapping        = "draining, flapping"
	addressReused   = "draining, address taken by a later registration"
	addressDraining = "draining, an engine at this address drains"
	cached          = "ready, from the last good list"
)

// truthTable is the table of docs/consul.md: what each kind of observation does to an endpoint that was ready.
var truthTable = []struct {
	name     string
	reported []Observation // a second apart, after a first list of all at index 10
	want     map[string]int
}{
	{
		name:     "drain, trusted",
		reported: []Observation{at(11, with(all, 0, drain))},
		want:     map[string]int{passing: 7, drainRequested: 1},
	},
	{
		name:     "drain, same index",
		reported: []Observation{at(10, with(all, 0, drain))},
		want:     map[string]int{passing: 7, drainRequested: 1},
	},
	{
		name:     "drain, earlier index",
		reported: []Observation{at(5, with(all, 0, drain))},
		want:     map[string]int{passing: 7, drainRequested: 1},
	},
	{
		name:     "drain, no leader",
		reported: []Observation{{Index: 11, Endpoints: with(all, 0, drain)}},
		want:     map[string]int{passing: 7, drainRequested: 1},
	},
	{
		name:     "drain, in a suspect list",
		reported: []Observation{at(11, with(all, 0, drain)[:3])},
		want:     map[string]int{passing: 2, drainRequested: 1, suspect: 5},
	},
	{
		name:     "drain of all",
		reported: []Observation{at(11, drained(all))},
		want:     map[string]int{drainRequested: 8},
	},
	{
		name:     "lift, later index",
		reported: []Observation{at(11, with(all, 0, drain)), at(12, all)},
		want:     map[string]int{passing: 8},
	},
	{
		name:     "lift, same index",
		reported: []Observation{at(11, with(all, 0, drain)), at(11, all)},
		want:     map[string]int{passing: 7, drainRequested: 1},
	},
	{
		name:     "lift, earlier index",
		reported: []Observation{at(11, with(all, 0, drain)), at(9, all)},
		want:     map[string]int{passing: 7, drainRequested: 1},
	},
	{
		name:     "lift, no leader",
		reported: []Observation{at(11, with(all, 0, drain)), {Index: 12, Endpoints: all}},
		want:     map[string]int{passing: 7, drainRequested: 1},
	},
	{
		name: "lift, too stale",
		reported: []Observation{
			at(11, with(all, 0, drain)),
			{Index: 12, HasLeader: true, LastContact: 3 * second, Endpoints: all},
		},
		want: map[string]int{passing: 7, drainRequested: 1},
	},
	{
		name:     "one deregistered",
		reported: []Observation{at(11, all[1:])},
		want:     map[string]int{passing: 7, deregistered: 1},
	},
	{
		name:     "two deregistered",
		reported: []Observation{at(11, all[2:])},
		want:     map[string]int{passing: 6, deregistered: 2},
	},
	{
		name:     "three deregistered at once",
		reported: []Observation{at(11, all[3:])},
		want:     map[string]int{passing: 5, suspect: 3},
	},
	{
		name:     "three deregistered one by one",
		reported: []Observation{at(11, all[1:]), at(12, all[2:]), at(13, all[3:])},
		want:     map[string]int{passing: 5, deregistered: 2, suspect: 1},
	},
	{
		name:     "one missing, same index",
		reported: []Observation{at(10, all[1:])},
		want:     map[string]int{passing: 7, suspect: 1},
	},
	{
		name:     "one missing, earlier index",
		reported: []Observation{at(9, all[1:])},
		want:     map[string]int{passing: 8},
	},
	{
		name:     "one missing, no leader",
		reported: []Observation{{Index: 11, Endpoints: all[1:]}},
		want:     map[string]int{passing: 8},
	},
	{
		name:     "empty",
		reported: []Observation{at(11, nil)},
		want:     map[string]int{emptyList: 8},
	},
	{
		name:     "empty, drained before",
		reported: []Observation{at(11, with(all, 0, drain)), at(12, nil)},
		want:     map[string]int{emptyList: 7, drainRequested: 1},
	},
	{
		name:     "one fails",
		reported: []Observation{at(11, with(all, 0, fail))},
		want:     map[string]int{passing: 7, checkFailing: 1},
	},
	{
		name:     "one fails, no leader",
		reported: []Observation{{Index: 11, Endpoints: with(all, 0, fail)}},
		want:     map[string]int{passing: 8},
	},
	{
		name:     "all fail",
		reported: []Observation{at(11, failing(all, 8))},
		want:     map[string]int{checkFailing: 2, failingKept: 6},
	},
	{
		name:     "one fails and passes",
		reported: []Observation{at(11, with(all, 0, fail)), at(12, all)},
		want:     map[string]int{passing: 8},
	},
	{
		name: "one flaps",
		reported: []Observation{
			at(11, with(all, 0, fail)),
			at(12, all),
			at(13, with(all, 0, fail)),
			at(14, all),
			at(15, with(all, 0, fail)),
			at(16, all),
		},
		want: map[string]int{passing: 7, flapping: 1},
	},
	{
		name: "unusable addresses",
		reported: []Observation{at(11, append(fleet(8),
			Endpoint{Key: "n9/x", Addr: "nowhere"},
			Endpoint{Addr: "10.0.0.9:1"},
			Endpoint{Key: "n9/y", Addr: "10.0.0.9:0"},
		))},
		want: map[string]int{passing: 8},
	},
	{
		name:     "a key twice",
		reported: []Observation{at(11, append(fleet(8), all[3]))},
		want:     map[string]int{passing: 8},
	},
	{
		name:     "a key twice, one drains",
		reported: []Observation{at(11, append(fleet(8), with(all, 3, drain)[3]))},
		want:     map[string]int{passing: 7, drainRequested: 1},
	},
	{
		name: "an address twice",
		reported: []Observation{at(11, append(fleet(8),
			Endpoint{Key: "z/z", Addr: all[3].Addr, CreateIndex: 99, Passing: true},
		))},
		want: map[string]int{passing: 8, addressReused: 1},
	},
	{
		name: "an address twice, the old drains",
		reported: []Observation{at(11, append(with(all, 3, drain),
			Endpoint{Key: "z/z", Addr: all[3].Addr, CreateIndex: 99, Passing: true},
		))},
		want: map[string]int{passing: 7, drainRequested: 1, addressDraining: 1},
	},
}

// all is the fleet of the truth table.
var all = fleet(8)

func TestTruthTable(t *testing.T) {
	for _, row := range truthTable {
		t.Run(row.name, func(t *testing.T) {
			s := fresh(t)
			update := s.Observe(second, at(10, all))
			require.Len(t, update.Changes, 8)
			for i, observation := range row.reported {
				s.Observe(time.Duration(i+2)*second, observation)
			}
			assert.Equal(t, row.want, states(s))
		})
	}
}

func drained(list []Endpoint) []Endpoint {
	out := append([]Endpoint(nil), list...)
	for i := range out {
		out[i].Drain = true
	}
	return out
}

func failing(list []Endpoint, n int) []Endpoint {
	out := append([]Endpoint(nil), list...)
	for i := range n {
		out[i].Passing = false
	}
	return out
}

func TestShortListIsObeyedOnceConfirmed(t *testing.T) {
	s := fresh(t)
	s.Observe(second, at(10, all))
	update := s.Observe(2*second, at(11, all[4:]))
	require.True(t, s.Suspicious())
	require.Equal(t, []Notice{{NoticeListSuspect, 4, "of 8"}}, update.Notices)
	s.Observe(7*second, at(11, all[4:]))
	assert.Equal(t, 4, states(s)[suspect], "two reads confirm nothing")
	update = s.Observe(12*second, at(11, all[4:]))
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

func TestSuspicionExpires(t *testing.T) {
	s := fresh(t)
	s.Observe(second, at(10, all))
	s.Observe(2*second, at(11, all[4:]))
	next, ok := s.Next()
	require.True(t, ok)
	require.Equal(t, 62*second, next)
	update := s.Advance(next)
	require.Equal(t, []Notice{{NoticeSuspicionExpired, 4, ""}}, update.Notices)
	assert.Equal(t, 4, states(s)[deregistered])
}

// An empty list neither confirms a short one nor is ever obeyed.
func TestEmptyListsConfirmNothing(t *testing.T) {
	s := fresh(t)
	s.Observe(second, at(10, all))
	for i := range 300 {
		s.Observe(time.Duration(i+2)*second, at(11, nil))
		s.Advance(time.Duration(i+2) * second)
	}
	assert.Equal(t, map[string]int{emptyList: 8}, states(s))
	s.Observe(400*second, at(12, all[4:]))
	assert.Equal(t, 4, states(s)[suspect])
	update := s.Observe(401*second, at(13, all))
	assert.Equal(t, NoticeSuspicionCleared, update.Notices[0].Kind)
	assert.Equal(t, map[string]int{passing: 8}, states(s))
}

func TestIndexResetIsAcceptedInTheEnd(t *testing.T) {
	s := fresh(t)
	s.Observe(second, at(1000, with(all, 0, drain)))
	for i := range 10 {
		s.Observe(time.Duration(i+2)*second, at(uint64(5+i), all))
		require.Equal(t, 1, states(s)[drainRequested], "an earlier index lifts no drain")
	}
	update := s.Observe(12*second, at(15, all))
	require.Equal(t, []Notice{{NoticeIndexReset, 8, "from 1000 to 15"}}, update.Notices)
	assert.Equal(t, 8, states(s)[passing])
	for _, c := range update.Changes {
		assert.Zero(t, c.StartedAt, "an index that was reset does not make another process")
	}
	assert.EqualValues(t, 15, s.Index())
}

// A drain that the first observation of an epoch reports is not lifted by the next one of the same index.
func TestDrainOfTheFirstObservationOfAnEpochHolds(t *testing.T) {
	s := fresh(t)
	s.Observe(second, at(1000, all))
	for i := range 12 {
		s.Observe(time.Duration(i+2)*second, at(5, with(all, 0, drain)))
	}
	require.EqualValues(t, 5, s.Index())
	s.Observe(20*second, at(5, all))
	assert.Equal(t, 1, states(s)[drainRequested])
	s.Observe(21*second, at(6, all))
	assert.Equal(t, 8, states(s)[passing])
}

// A lagging follower whose answers alternate with the leader's does not reset the index.
func TestAlternatingFollowerIsNoReset(t *testing.T) {
	s := fresh(t)
	for i := range 100 {
		s.Observe(time.Duration(2*i+1)*second, at(uint64(1000+i), with(all, 0, drain)))
		update := s.Observe(time.Duration(2*i+2)*second, at(500, all))
		for _, n := range update.Notices {
			require.Equal(t, NoticeUntrusted, n.Kind)
		}
	}
	assert.Equal(t, 1, states(s)[drainRequested])
}

func TestAnotherProcessHasJustStarted(t *testing.T) {
	for name, k := range map[string]struct {
		change  func(*Endpoint)
		another bool
	}{
		"the same":                          {func(*Endpoint) {}, false},
		"registered anew":                   {func(e *Endpoint) { e.CreateIndex = 50 }, true},
		"another address":                   {func(e *Endpoint) { e.Addr = "10.0.1.1:9" }, true},
		"another incarnation":               {func(e *Endpoint) { e.Incarnation = "p2" }, true},
		"a tag or check that changed":       {func(e *Endpoint) { e.ModifyIndex = 50 }, false},
		"another weight":                    {func(e *Endpoint) { e.Weight = 3 }, false},
		"another start, reported by itself": {func(e *Endpoint) { e.CreateIndex, e.StartedAt = 50, 7*second }, true},
	} {
		t.Run(name, func(t *testing.T) {
			s, all := fresh(t), fleet(4)
			s.Observe(second, at(10, all))
			s.Observe(9*second, at(11, with(all, 0, k.change)))
			want := time.Duration(0)
			if k.another {
				want = 9 * second
			}
			if all := with(all, 0, k.change); all[0].StartedAt > 0 {
				want = all[0].StartedAt
			}
			assert.Equal(t, want, s.Current()[0].StartedAt)
		})
	}
}

func TestIncarnationOutweighsRegistration(t *testing.T) {
	s := fresh(t)
	all := with(fleet(4), 0, func(e *Endpoint) { e.Incarnation = "p1" })
	s.Observe(second, at(10, all))
	s.Observe(2*second, at(11, with(all, 0, func(e *Endpoint) { e.CreateIndex = 40 })))
	assert.Zero(t, s.Current()[0].StartedAt, "the same process was registered again")
}

func TestReturnOfADeregisteredEndpoint(t *testing.T) {
	s := fresh(t)
	s.Observe(second, at(10, all))
	s.Observe(2*second, at(11, all[1:]))
	s.Observe(3*second, at(12, with(all, 0, func(e *Endpoint) { e.Addr, e.CreateIndex = "10.0.2.2:9", 12 })))
	change := s.Current()[0]
	assert.Equal(t, Ready, change.State)
	assert.Equal(t, "10.0.2.2:9", change.Addr)
	assert.Equal(t, 3*second, change.StartedAt)
}

func TestRestore(t *testing.T) {
	s := fresh(t)
	update := s.Restore(second, with(all, 0, drain))
	require.Len(t, update.Changes, 8)
	assert.Equal(t, map[string]int{cached: 7, drainRequested: 1}, states(s))
	s.Observe(2*second, at(7, nil))
	assert.Equal(t, 7, states(s)[emptyList], "an empty first answer drops nobody")
	s.Observe(3*second, at(8, with(all, 1, drain)))
	assert.Equal(t, map[string]int{passing: 7, drainRequested: 1}, states(s), "the catalogue counts")
}

func TestAnotherCatalogue(t *testing.T) {
	s := fresh(t)
	s.Observe(second, at(1000, with(all, 0, drain)))
	s.Switch(2 * second)
	assert.Equal(t, 1, states(s)[drainRequested])
	update := s.Observe(3*second, at(4, all))
	assert.Equal(t, 8, states(s)[passing])
	require.Len(t, update.Changes, 1)
	assert.Zero(t, update.Changes[0].StartedAt)
}

func TestFirstListNeedNotBeTrusted(t *testing.T) {
	s := fresh(t)
	s.Observe(second, Observation{})
	assert.Empty(t, s.Current())
	s.Observe(second, Observation{Index: 4, Endpoints: fleet(2)})
	assert.Equal(t, 2, states(s)[passing], "any endpoint is better than none")
}

func TestSettingsAreChecked(t *testing.T) {
	for key, spoil := range map[string]func(*Settings){
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
		spoil(&settings)
		_, err := New(settings)
		assert.ErrorContains(t, err, "membership: "+key+":")
	}
}
