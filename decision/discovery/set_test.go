package discovery

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const second = time.Second

// fleet is n engines as a catalogue tells of them when all is well.
func fleet(n int) []Endpoint {
	var list []Endpoint
	for i := range n {
		list = append(list, Endpoint{Key: fmt.Sprintf("n%d/e%d", i, i), Addr: fmt.Sprintf("10.0.0.%d:9", i+1), Weight: 1,
			CreateIndex: uint64(i + 1), Passing: true})
	}
	return list
}

func fresh(t *testing.T) *EndpointSet {
	s, err := New(Defaults())
	require.NoError(t, err)
	return s
}

// at is a trusted observation of that index.
func at(index uint64, list []Endpoint) Observation {
	return Observation{Index: index, HasLeader: true, Endpoints: list}
}

// with is a copy of the list with its entry i changed.
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

// TestTruthTable walks the table of docs/consul.md: what each kind of word does to an engine that was ready.
func TestTruthTable(t *testing.T) {
	all := fleet(8)
	for name, k := range map[string]struct {
		told []Observation // a second apart, after a first list of all at index 10
		want map[string]int
	}{
		"drain, trusted":                   {[]Observation{at(11, with(all, 0, drain))}, map[string]int{"ready, passing": 7, "draining, drain commanded": 1}},
		"drain, same index":                {[]Observation{at(10, with(all, 0, drain))}, map[string]int{"ready, passing": 7, "draining, drain commanded": 1}},
		"drain, older index":               {[]Observation{at(5, with(all, 0, drain))}, map[string]int{"ready, passing": 7, "draining, drain commanded": 1}},
		"drain, no leader":                 {[]Observation{{Index: 11, Endpoints: with(all, 0, drain)}}, map[string]int{"ready, passing": 7, "draining, drain commanded": 1}},
		"drain, in a list in doubt":        {[]Observation{at(11, with(all, 0, drain)[:3])}, map[string]int{"ready, passing": 2, "draining, drain commanded": 1, "ready, missing, list in doubt": 5}},
		"drain of all":                     {[]Observation{at(11, drained(all))}, map[string]int{"draining, drain commanded": 8}},
		"lift, later index":                {[]Observation{at(11, with(all, 0, drain)), at(12, all)}, map[string]int{"ready, passing": 8}},
		"lift, same index":                 {[]Observation{at(11, with(all, 0, drain)), at(11, all)}, map[string]int{"ready, passing": 7, "draining, drain commanded": 1}},
		"lift, older index":                {[]Observation{at(11, with(all, 0, drain)), at(9, all)}, map[string]int{"ready, passing": 7, "draining, drain commanded": 1}},
		"lift, no leader":                  {[]Observation{at(11, with(all, 0, drain)), {Index: 12, Endpoints: all}}, map[string]int{"ready, passing": 7, "draining, drain commanded": 1}},
		"lift, too stale":                  {[]Observation{at(11, with(all, 0, drain)), {Index: 12, HasLeader: true, LastContact: 3 * second, Endpoints: all}}, map[string]int{"ready, passing": 7, "draining, drain commanded": 1}},
		"one deregistered":                 {[]Observation{at(11, all[1:])}, map[string]int{"ready, passing": 7, "draining, deregistered": 1}},
		"two deregistered":                 {[]Observation{at(11, all[2:])}, map[string]int{"ready, passing": 6, "draining, deregistered": 2}},
		"three deregistered at once":       {[]Observation{at(11, all[3:])}, map[string]int{"ready, passing": 5, "ready, missing, list in doubt": 3}},
		"three deregistered one by one":    {[]Observation{at(11, all[1:]), at(12, all[2:]), at(13, all[3:])}, map[string]int{"ready, passing": 5, "draining, deregistered": 2, "ready, missing, list in doubt": 1}},
		"one missing, same index":          {[]Observation{at(10, all[1:])}, map[string]int{"ready, passing": 7, "ready, missing, list in doubt": 1}},
		"one missing, older index":         {[]Observation{at(9, all[1:])}, map[string]int{"ready, passing": 8}},
		"one missing, no leader":           {[]Observation{{Index: 11, Endpoints: all[1:]}}, map[string]int{"ready, passing": 8}},
		"empty":                            {[]Observation{at(11, nil)}, map[string]int{"ready, missing, an empty list is not obeyed": 8}},
		"empty, drained before":            {[]Observation{at(11, with(all, 0, drain)), at(12, nil)}, map[string]int{"ready, missing, an empty list is not obeyed": 7, "draining, drain commanded": 1}},
		"one fails":                        {[]Observation{at(11, with(all, 0, fail))}, map[string]int{"ready, passing": 7, "draining, check failing": 1}},
		"one fails, no leader":             {[]Observation{{Index: 11, Endpoints: with(all, 0, fail)}}, map[string]int{"ready, passing": 8}},
		"all fail":                         {[]Observation{at(11, failing(all, 8))}, map[string]int{"draining, check failing": 2, "ready, failing, kept: too many are out": 6}},
		"one fails and passes":             {[]Observation{at(11, with(all, 0, fail)), at(12, all)}, map[string]int{"ready, passing": 8}},
		"one flaps":                        {[]Observation{at(11, with(all, 0, fail)), at(12, all), at(13, with(all, 0, fail)), at(14, all), at(15, with(all, 0, fail)), at(16, all)}, map[string]int{"ready, passing": 7, "draining, flapping": 1}},
		"unusable addresses":               {[]Observation{at(11, append(fleet(8), Endpoint{Key: "n9/x", Addr: "nowhere"}, Endpoint{Addr: "10.0.0.9:1"}, Endpoint{Key: "n9/y", Addr: "10.0.0.9:0"}))}, map[string]int{"ready, passing": 8}},
		"a key twice":                      {[]Observation{at(11, append(fleet(8), all[3]))}, map[string]int{"ready, passing": 8}},
		"a key twice, one drains":          {[]Observation{at(11, append(fleet(8), with(all, 3, drain)[3]))}, map[string]int{"ready, passing": 7, "draining, drain commanded": 1}},
		"an address twice":                 {[]Observation{at(11, append(fleet(8), Endpoint{Key: "z/z", Addr: all[3].Addr, CreateIndex: 99, Passing: true}))}, map[string]int{"ready, passing": 8, "draining, address taken by a later registration": 1}},
		"an address twice, the old drains": {[]Observation{at(11, append(with(all, 3, drain), Endpoint{Key: "z/z", Addr: all[3].Addr, CreateIndex: 99, Passing: true}))}, map[string]int{"ready, passing": 7, "draining, drain commanded": 1, "draining, an engine at this address drains": 1}},
	} {
		t.Run(name, func(t *testing.T) {
			s := fresh(t)
			a := s.Observe(second, at(10, all))
			require.Len(t, a.Changes, 8)
			for i, o := range k.told {
				s.Observe(time.Duration(i+2)*second, o)
			}
			assert.Equal(t, k.want, states(s))
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

func TestShrinkIsObeyedOnceConfirmed(t *testing.T) {
	s, all := fresh(t), fleet(8)
	s.Observe(second, at(10, all))
	a := s.Observe(2*second, at(11, all[4:]))
	require.True(t, s.Suspicious())
	require.Equal(t, []Notice{{NoticeListSuspect, 4, "of 8"}}, a.Notices)
	s.Observe(7*second, at(11, all[4:]))
	assert.Equal(t, 4, states(s)["ready, missing, list in doubt"], "two reads confirm nothing")
	a = s.Observe(12*second, at(11, all[4:]))
	require.Equal(t, []Notice{{NoticeListConfirmed, 4, ""}}, a.Notices)
	assert.Equal(t, 4, states(s)["draining, deregistered"])
	next, ok := s.Next()
	require.True(t, ok)
	require.Equal(t, 42*second, next)
	a = s.Advance(next)
	require.Len(t, a.Changes, 4)
	assert.Equal(t, Removed, a.Changes[0].State)
	assert.Len(t, s.Current(), 4)
	_, ok = s.Next()
	assert.False(t, ok)
}

func TestDoubtEndsWithItsTime(t *testing.T) {
	s, all := fresh(t), fleet(8)
	s.Observe(second, at(10, all))
	s.Observe(2*second, at(11, all[4:]))
	next, ok := s.Next()
	require.True(t, ok)
	require.Equal(t, 62*second, next)
	a := s.Advance(next)
	require.Equal(t, []Notice{{NoticeSuspicionExpired, 4, ""}}, a.Notices)
	assert.Equal(t, 4, states(s)["draining, deregistered"])
}

// Guards against an empty list that confirms a shrunken one, and against one that is ever obeyed.
func TestEmptyListsConfirmNothing(t *testing.T) {
	s, all := fresh(t), fleet(8)
	s.Observe(second, at(10, all))
	for i := range 300 {
		s.Observe(time.Duration(i+2)*second, at(11, nil))
		s.Advance(time.Duration(i+2) * second)
	}
	assert.Equal(t, map[string]int{"ready, missing, an empty list is not obeyed": 8}, states(s))
	s.Observe(400*second, at(12, all[4:]))
	assert.Equal(t, 4, states(s)["ready, missing, list in doubt"])
	a := s.Observe(401*second, at(13, all))
	assert.Equal(t, NoticeSuspicionCleared, a.Notices[0].Kind)
	assert.Equal(t, map[string]int{"ready, passing": 8}, states(s))
}

func TestIndexResetIsAcceptedInTheEnd(t *testing.T) {
	s, all := fresh(t), fleet(8)
	s.Observe(second, at(1000, with(all, 0, drain)))
	for i := range 10 {
		s.Observe(time.Duration(i+2)*second, at(uint64(5+i), all))
		require.Equal(t, 1, states(s)["draining, drain commanded"], "an older word lifts no drain")
	}
	a := s.Observe(12*second, at(15, all))
	require.Equal(t, []Notice{{NoticeIndexReset, 8, "from 1000 to 15"}}, a.Notices)
	assert.Equal(t, 8, states(s)["ready, passing"])
	for _, c := range a.Changes {
		assert.Zero(t, c.StartedAt, "no process is another one for an index that was reset")
	}
	assert.EqualValues(t, 15, s.Index())
}

// Guards against a drain that is told by the observation that begins an epoch, and lifted by the next of that index.
func TestDrainOfTheFirstWordOfAnEpochHolds(t *testing.T) {
	s, all := fresh(t), fleet(8)
	s.Observe(second, at(1000, all))
	for i := range 12 {
		s.Observe(time.Duration(i+2)*second, at(5, with(all, 0, drain)))
	}
	require.EqualValues(t, 5, s.Index())
	s.Observe(20*second, at(5, all))
	assert.Equal(t, 1, states(s)["draining, drain commanded"])
	s.Observe(21*second, at(6, all))
	assert.Equal(t, 8, states(s)["ready, passing"])
}

// Guards against a lagging follower whose answers alternate with the leader's.
func TestAlternatingFollowerIsNoReset(t *testing.T) {
	s, all := fresh(t), fleet(8)
	for i := range 100 {
		s.Observe(time.Duration(2*i+1)*second, at(uint64(1000+i), with(all, 0, drain)))
		a := s.Observe(time.Duration(2*i+2)*second, at(500, all))
		for _, n := range a.Notices {
			require.Equal(t, NoticeUntrusted, n.Kind)
		}
	}
	assert.Equal(t, 1, states(s)["draining, drain commanded"])
}

func TestAnotherProcessStartsCold(t *testing.T) {
	for name, k := range map[string]struct {
		change  func(*Endpoint)
		another bool
	}{
		"the same":                      {func(*Endpoint) {}, false},
		"registered anew":               {func(e *Endpoint) { e.CreateIndex = 50 }, true},
		"another address":               {func(e *Endpoint) { e.Addr = "10.0.1.1:9" }, true},
		"another mark":                  {func(e *Endpoint) { e.Incarnation = "p2" }, true},
		"a tag or check that changed":   {func(e *Endpoint) { e.ModifyIndex = 50 }, false},
		"another weight":                {func(e *Endpoint) { e.Weight = 3 }, false},
		"another start, told by itself": {func(e *Endpoint) { e.CreateIndex, e.StartedAt = 50, 7*second }, true},
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

func TestMarkOutweighsRegistration(t *testing.T) {
	s := fresh(t)
	all := with(fleet(4), 0, func(e *Endpoint) { e.Incarnation = "p1" })
	s.Observe(second, at(10, all))
	s.Observe(2*second, at(11, with(all, 0, func(e *Endpoint) { e.CreateIndex = 40 })))
	assert.Zero(t, s.Current()[0].StartedAt, "the same process was registered again")
}

func TestReturnOfADeregisteredEngine(t *testing.T) {
	s, all := fresh(t), fleet(8)
	s.Observe(second, at(10, all))
	s.Observe(2*second, at(11, all[1:]))
	s.Observe(3*second, at(12, with(all, 0, func(e *Endpoint) { e.Addr, e.CreateIndex = "10.0.2.2:9", 12 })))
	b := s.Current()[0]
	assert.Equal(t, Ready, b.State)
	assert.Equal(t, "10.0.2.2:9", b.Addr)
	assert.Equal(t, 3*second, b.StartedAt)
}

func TestRestore(t *testing.T) {
	s, all := fresh(t), fleet(8)
	a := s.Restore(second, with(all, 0, drain))
	require.Len(t, a.Changes, 8)
	assert.Equal(t, map[string]int{"ready, from the last good list": 7, "draining, drain commanded": 1}, states(s))
	s.Observe(2*second, at(7, nil))
	assert.Equal(t, 7, states(s)["ready, missing, an empty list is not obeyed"], "an empty first answer drops nobody")
	s.Observe(3*second, at(8, with(all, 1, drain)))
	assert.Equal(t, map[string]int{"ready, passing": 7, "draining, drain commanded": 1}, states(s), "the catalogue's word counts")
}

func TestAnotherCatalogue(t *testing.T) {
	s, all := fresh(t), fleet(8)
	s.Observe(second, at(1000, with(all, 0, drain)))
	s.Switch(2 * second)
	assert.Equal(t, 1, states(s)["draining, drain commanded"])
	a := s.Observe(3*second, at(4, all))
	assert.Equal(t, 8, states(s)["ready, passing"])
	require.Len(t, a.Changes, 1)
	assert.Zero(t, a.Changes[0].StartedAt)
}

func TestNothingKnownTakesAnyList(t *testing.T) {
	s := fresh(t)
	s.Observe(second, Observation{})
	assert.Empty(t, s.Current())
	s.Observe(second, Observation{Index: 4, Endpoints: fleet(2)})
	assert.Equal(t, 2, states(s)["ready, passing"], "any engine is better than none")
}

func TestSettingsAreChecked(t *testing.T) {
	for field, spoil := range map[string]func(*Settings){
		"max_out": func(s *Settings) { s.MaxEjected = 1.5 }, "max_loss": func(s *Settings) { s.MaxLoss = -1 },
		"max_lag": func(s *Settings) { s.MaxStaleness = 0 }, "confirm_reads": func(s *Settings) { s.ConfirmReads = 0 },
		"doubt_for": func(s *Settings) { s.MaxSuspicion = second }, "penalty": func(s *Settings) { s.Penalty = 0 },
		"reuse": func(s *Settings) { s.Reuse = 0 }, "suppress": func(s *Settings) { s.Suppress = 0.1 },
		"half_life": func(s *Settings) { s.HalfLife = -1 }, "linger": func(s *Settings) { s.Linger = 0 },
	} {
		set := Defaults()
		spoil(&set)
		_, err := New(set)
		assert.ErrorContains(t, err, "membership: "+field+":")
	}
}
