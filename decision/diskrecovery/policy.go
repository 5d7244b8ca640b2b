package diskrecovery

import (
	"fmt"
	"time"
)

// Failure is a kind of disk failure.
type Failure int

// The kinds of failure.
const (
	NoSpace           Failure = iota // the disk rejected a write
	DurabilityUnknown                // a sync failed: written data may or may not be on the disk
	OpenFailed                       // the log can't be opened
)

// Action is the next step of a control replica.
type Action int

// The actions.
const (
	None         Action = iota // the log is open
	Wait                       // call Next again later
	Reopen                     // open the log under the replica's identity
	Reinitialize               // set the log aside and start as a new replica, with an empty log
)

// Quorum reports whether the other replicas have a quorum without this one.
type Quorum bool

// The values of Quorum.
const (
	NoQuorum        Quorum = false
	QuorumAvailable Quorum = true
)

// Settings are the time limits of the decisions.
type Settings struct {
	MinBackoff, MaxBackoff time.Duration // between attempts to open the log
	StableAfter            time.Duration // open time after which the backoff starts again at MinBackoff
}

// Defaults returns the settings of a control replica.
func Defaults() Settings {
	return Settings{
		MinBackoff:  time.Second,      // the duration of an election
		MaxBackoff:  30 * time.Second, // each attempt makes the other replicas contact this replica, which is behind
		StableAfter: time.Minute,      // several times the duration of an attempt and an election
	}
}

// Check returns an error that names the first setting that can't be used.
func (s Settings) Check() error {
	switch {
	case s.MinBackoff <= 0:
		return &SettingError{Name: "MinBackoff", Found: s.MinBackoff}
	case s.MaxBackoff < s.MinBackoff:
		return &SettingError{Name: "MaxBackoff", Found: s.MaxBackoff, Min: s.MinBackoff}
	case s.StableAfter <= 0:
		return &SettingError{Name: "StableAfter", Found: s.StableAfter}
	}
	return nil
}

// SettingError reports a setting that can't be used.
type SettingError struct {
	Name       string
	Found, Min time.Duration // Min is 0 where any positive value is allowed
}

func (e *SettingError) Error() string {
	if e.Min > 0 {
		return fmt.Sprintf("diskrecovery: %s: found %v, must be at least %v", e.Name, e.Found, e.Min)
	}
	return fmt.Sprintf("diskrecovery: %s: found %v, must be more than 0", e.Name, e.Found)
}

// Policy is the state of a control replica's log, from which the next action follows.
type Policy struct {
	settings          Settings
	failed            bool // the log is not open
	durabilityUnknown bool // the log must not be opened under the replica's identity
	openSince         time.Duration
	nextAttempt       time.Duration // earliest time of the next attempt
	backoff           time.Duration // between the next failure and the attempt that follows it
	quorum            Quorum        // at the last call of Next
}

// New returns the policy of a replica whose log has just been opened, or a [SettingError].
func New(settings Settings, now time.Duration) (*Policy, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	return &Policy{settings: settings, openSince: now, nextAttempt: now, backoff: settings.MinBackoff}, nil
}

// NewMarked returns the policy of a replica whose log was not opened, because an earlier process has marked it as of
// unknown durability; or a [SettingError].
func NewMarked(settings Settings, now time.Duration) (*Policy, error) {
	p, err := New(settings, now)
	if err != nil {
		return nil, err
	}
	p.failed, p.durabilityUnknown = true, true
	return p, nil
}

// Failed records a failure of the disk. The log is not open from then on. Several writes often report one failure:
// while the log is not open, a further report may make its durability unknown, but only OpenFailed postpones the next
// attempt.
func (p *Policy) Failed(now time.Duration, failure Failure) {
	p.durabilityUnknown = p.durabilityUnknown || failure == DurabilityUnknown
	if p.failed && failure != OpenFailed {
		return
	}
	if !p.failed && now-p.openSince >= p.settings.StableAfter {
		p.backoff = p.settings.MinBackoff
	}
	p.failed = true
	p.nextAttempt = now + p.backoff
	p.backoff = min(2*p.backoff, p.settings.MaxBackoff)
}

// Reopened records that the log is open under the replica's identity. For a log of unknown durability Reopened changes
// nothing, since such a log must not be reopened.
func (p *Policy) Reopened(now time.Duration) {
	if !p.durabilityUnknown {
		p.failed, p.openSince = false, now
	}
}

// Reinitialized records that an empty log is open under a new replica identity.
func (p *Policy) Reinitialized(now time.Duration) {
	p.failed, p.durabilityUnknown, p.openSince = false, false, now
}

// Next returns what to do now. The quorum must have been observed after the failure.
func (p *Policy) Next(now time.Duration, quorum Quorum) Action {
	p.quorum = quorum
	switch {
	case !p.failed:
		return None
	case now < p.nextAttempt:
		return Wait
	case !p.durabilityUnknown:
		return Reopen
	case quorum == QuorumAvailable:
		return Reinitialize
	}
	return Wait
}

// Reason returns the reason, for operators, why the log is not open; empty while the log is open.
func (p *Policy) Reason() string {
	switch {
	case !p.failed:
		return ""
	case p.durabilityUnknown && p.quorum == NoQuorum:
		return "durability unknown, and no quorum without this replica"
	case p.durabilityUnknown:
		return "durability unknown, to be reinitialized"
	}
	return "disk failed, to be reopened"
}
