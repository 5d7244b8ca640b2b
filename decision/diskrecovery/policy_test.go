package diskrecovery

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func newPolicy(t require.TestingT) *Policy {
	p, err := New(Defaults(), 0)
	require.NoError(t, err)
	return p
}

func newMarkedPolicy(t require.TestingT) *Policy {
	p, err := NewMarked(Defaults(), 0)
	require.NoError(t, err)
	return p
}

// The table of docs/rollout.md: the action after each sequence of failures, with and without a quorum of the others.
func TestActionsByFailures(t *testing.T) {
	for _, c := range []struct {
		failures []Failure
		quorum   Quorum
		want     Action
	}{
		{nil, NoQuorum, None},
		{nil, QuorumAvailable, None},
		{[]Failure{NoSpace}, NoQuorum, Reopen},
		{[]Failure{NoSpace}, QuorumAvailable, Reopen},
		{[]Failure{OpenFailed}, NoQuorum, Reopen},
		{[]Failure{DurabilityUnknown}, QuorumAvailable, Reinitialize},
		{[]Failure{DurabilityUnknown}, NoQuorum, Wait},
		{[]Failure{NoSpace, DurabilityUnknown}, QuorumAvailable, Reinitialize},
		{[]Failure{DurabilityUnknown, NoSpace}, NoQuorum, Wait},
		{[]Failure{DurabilityUnknown, OpenFailed}, QuorumAvailable, Reinitialize},
	} {
		t.Run(fmt.Sprintf("%v, quorum %v", c.failures, c.quorum), func(t *testing.T) {
			p := newPolicy(t)
			for _, failure := range c.failures {
				p.Failed(time.Hour, failure)
			}
			assert.Equal(t, c.want, p.Next(2*time.Hour, c.quorum))
			assert.Equal(t, c.want == None, p.Reason() == "")
		})
	}
	t.Run("marked by an earlier process", func(t *testing.T) {
		p := newMarkedPolicy(t)
		assert.Equal(t, Wait, p.Next(0, NoQuorum))
		assert.Equal(t, Reinitialize, p.Next(0, QuorumAvailable))
	})
}

// expectedPolicy feeds events to a policy and tracks the values that the invariants require of it.
type expectedPolicy struct {
	policy                    *Policy
	now                       time.Duration
	failed, durabilityUnknown bool
	lastFailure, openSince    time.Duration
	backoff                   time.Duration
}

func (e *expectedPolicy) fail(t *rapid.T, failure Failure) {
	settings, before := Defaults(), *e.policy
	e.policy.Failed(e.now, failure)
	if e.failed {
		require.Equal(t, before.nextAttempt, e.policy.nextAttempt, "invariant 5: a repeated report postponed the attempt")
	} else {
		if e.now-e.openSince >= settings.StableAfter {
			e.backoff = settings.MinBackoff
		}
		e.lastFailure = e.now
		require.Equal(t, e.now+e.backoff, e.policy.nextAttempt, "invariant 4: backoff after a failure")
		e.backoff = min(2*e.backoff, settings.MaxBackoff)
	}
	e.failed, e.durabilityUnknown = true, e.durabilityUnknown || failure == DurabilityUnknown
	again := *e.policy
	e.policy.Failed(e.now, failure)
	require.Equal(t, again, *e.policy, "invariant 5: a repeated report changed the policy")
}

func (e *expectedPolicy) act(t *rapid.T) {
	quorum := Quorum(rapid.Bool().Draw(t, "quorum"))
	action := e.policy.Next(e.now, quorum)
	switch action {
	case None:
		require.False(t, e.failed)
	case Reopen:
		require.False(t, e.durabilityUnknown, "invariant 1: a log of unknown durability was reopened")
	case Reinitialize:
		require.Equal(t, QuorumAvailable, quorum, "invariant 2: a log was discarded while the others have no quorum")
		require.True(t, e.durabilityUnknown, "invariant 3: a log of known durability was discarded")
	case Wait:
	}
	if action != Reopen && action != Reinitialize {
		return
	}
	require.GreaterOrEqual(t, e.now, e.lastFailure)
	if !rapid.Bool().Draw(t, "opens") {
		e.policy.Failed(e.now, OpenFailed)
		require.Equal(t, Wait, e.policy.Next(e.now, quorum), "invariant 4: a failed attempt was repeated at once")
		e.backoff = min(2*e.backoff, Defaults().MaxBackoff)
		return
	}
	if action == Reinitialize {
		e.policy.Reinitialized(e.now)
	} else {
		e.policy.Reopened(e.now)
	}
	e.failed, e.durabilityUnknown, e.openSince = false, false, e.now
	require.Equal(t, None, e.policy.Next(e.now, quorum))
}

// Invariants 1 to 5, over random sequences of events.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := &expectedPolicy{policy: newPolicy(t), backoff: Defaults().MinBackoff}
		if rapid.Bool().Draw(t, "mark") {
			e.policy, e.failed, e.durabilityUnknown = newMarkedPolicy(t), true, true
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			e.now += time.Duration(rapid.Int64Range(0, int64(40*time.Second)).Draw(t, "pause"))
			if rapid.Bool().Draw(t, "fails") {
				e.fail(t, Failure(rapid.IntRange(int(NoSpace), int(DurabilityUnknown)).Draw(t, "failure")))
			} else {
				e.act(t)
			}
		}
	})
}

// Invariant 1: reopening a log of unknown durability by mistake does not make its durability known.
func TestReopeningKeepsUnknownDurability(t *testing.T) {
	p := newPolicy(t)
	p.Failed(0, DurabilityUnknown)
	p.Reopened(time.Second)
	assert.Equal(t, Reinitialize, p.Next(time.Hour, QuorumAvailable))
}

// Invariant 2: of three replicas, a single one with a log of unknown durability reinitializes; two or three with such
// logs wait, as the rest have no quorum.
func TestMajorityOfUnknownDurabilityIsNotReinitialized(t *testing.T) {
	for failed := range 4 {
		replicas := []*Policy{newPolicy(t), newPolicy(t), newPolicy(t)}
		for _, p := range replicas[:failed] {
			p.Failed(0, DurabilityUnknown)
		}
		for now := time.Duration(0); now < time.Hour; now += time.Second {
			open := 0
			for _, p := range replicas {
				if !p.failed {
					open++
				}
			}
			for _, p := range replicas {
				if p.Next(now, Quorum(open >= 2)) == Reinitialize {
					p.Reinitialized(now)
				}
			}
		}
		for i, p := range replicas {
			want := None
			if failed > 1 && i < failed {
				want = Wait
			}
			assert.Equal(t, want, p.Next(2*time.Hour, NoQuorum), "%d replicas failed, replica %d", failed, i)
		}
	}
}

func TestSettingsAreChecked(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"MinBackoff":  func(s *Settings) { s.MinBackoff = 0 },
		"MaxBackoff":  func(s *Settings) { s.MaxBackoff = 0 },
		"StableAfter": func(s *Settings) { s.StableAfter = 0 },
	} {
		settings := Defaults()
		change(&settings)
		_, err := New(settings, 0)
		var settingErr *SettingError
		require.ErrorAs(t, err, &settingErr)
		assert.Equal(t, name, settingErr.Name)
		require.ErrorContains(t, err, fmt.Sprintf("diskrecovery: %s: found", name))
	}
}
