package rollout

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math"
	"slices"
	"strings"
	"time"
)

// start begins a release, unless one is under way.
func (m *StateMachine) start(s *StartRelease, by string) Result {
	if r := m.Release; r.active() && !m.skip(checkOneRelease) {
		return Result{Release: r.Number, Rejected: &RejectedError{Code: FailedPrecondition,
			Text: fmt.Sprintf("release %d to %s, started by %s, is %s: one at a time", r.Number, r.Revision, r.By, r.State)}}
	}
	if err := s.check(); err != nil {
		return refuse(InvalidArgument, "%v", err)
	}
	from := s.PreviousRevision
	if from == "" {
		from = m.common()
	}
	if from == s.Revision {
		return refuse(NothingToDo, "the fleet serves on %s already", from)
	}
	m.Releases++
	m.Release = &Release{Number: m.Releases, Revision: s.Revision, PreviousRevision: from, By: by, Waves: slices.Clone(s.Waves), Soak: s.Soak,
		Order: m.order(m.Releases), State: Running, Started: m.Now}
	m.audit(by, fmt.Sprintf("release %d", m.Releases), from, s.Revision)
	return Result{Release: m.Releases}
}

func (s *StartRelease) check() error {
	switch {
	case s.Revision == "" || strings.ContainsAny(s.Revision, "/\\ \t\n\x00") || s.Revision[0] == '.':
		return fmt.Errorf("revision: found %q, allowed is one word that may name a folder", s.Revision)
	case len(s.Waves) == 0 || len(s.Waves) > 100:
		return fmt.Errorf("waves: found %d, allowed is 1 to 100", len(s.Waves))
	case s.Soak < 0 || s.Soak > 7*24*time.Hour:
		return fmt.Errorf("soak: found %v, allowed is 0 to 168h", s.Soak)
	}
	last := 0.0
	for i, w := range s.Waves {
		if !(w > last && w <= 1) {
			return fmt.Errorf("waves: found %v at place %d, allowed is a share over %v, up to 1", w, i+1, last)
		}
		last = w
	}
	if last != 1 {
		return fmt.Errorf("waves: the last is %v, and must be 1", last)
	}
	return nil
}

// common is the revision that most serve on; the first by name of equals.
func (m *StateMachine) common() (most string) {
	n := map[string]int{}
	for _, name := range m.names() {
		if o := m.Members[name]; o.serves() {
			n[o.Revision]++
			if n[o.Revision] > n[most] || (n[o.Revision] == n[most] && o.Revision < most) {
				most = o.Revision
			}
		}
	}
	return most
}

// order draws the members room by room in turn, within a room by a hash of name and release: each wave spreads over the
// rooms, and no machine is the canary of every release.
func (m *StateMachine) order(release uint64) []string {
	rooms, names := map[string][]string{}, []string(nil)
	place := func(name string) uint64 {
		h := fnv.New64a()
		fmt.Fprintf(h, "%d %s", release, name)
		return h.Sum64()
	}
	var list []string
	for _, name := range m.names() {
		o := m.Members[name]
		if rooms[o.Zone] == nil {
			list = append(list, o.Zone)
		}
		rooms[o.Zone] = append(rooms[o.Zone], name)
	}
	slices.SortFunc(list, func(a, b string) int { return cmp.Compare(place("room "+a), place("room "+b)) })
	for _, r := range list {
		slices.SortFunc(rooms[r], func(a, b string) int { return cmp.Compare(place(a), place(b)) })
	}
	for i := 0; len(names) < len(m.Members); i++ {
		for _, r := range list {
			if i < len(rooms[r]) {
				names = append(names, rooms[r][i])
			}
		}
	}
	return names
}

// halt stops the release: what was not begun is revoked, and what was is waited for before it is acknowledged.
func (m *StateMachine) halt(by, cause string) Result {
	r := m.Release
	if !r.active() {
		return refuse(NothingToDo, "no release is under way")
	}
	if r.State != Running {
		return Result{Release: r.Number}
	}
	m.audit(by, fmt.Sprintf("halt release %d: %s", r.Number, cause), string(r.State), string(Halting))
	r.State, r.Cause, r.SoakingSince = Halting, cause, 0
	m.revoke(r)
	return Result{Release: r.Number}
}

// revoke ends the permits of a release that were not begun.
func (m *StateMachine) revoke(r *Release) {
	for _, n := range m.numbers() {
		if p := m.Permits[n]; p.Release == r.Number && p.ActivatedAt == 0 && !m.skip(checkHaltRevokes) {
			m.end(p)
		}
	}
}

// going lists members that were told to go for the release and were not seen out since: they may yet go.
func (m *StateMachine) going(r *Release) (names []string) {
	for _, n := range m.numbers() {
		p := m.Permits[n]
		if p.Release != r.Number || p.ActivatedAt == 0 {
			continue
		}
		if o := m.Members[p.Subject]; o.Incarnation == p.Incarnation && o.Phase == Serving {
			names = append(names, p.Subject)
		}
	}
	return names
}

func (m *StateMachine) resume(by string) Result {
	r := m.Release
	if !r.active() || r.State == Running {
		return refuse(NothingToDo, "no release is halted")
	}
	m.audit(by, fmt.Sprintf("resume release %d", r.Number), string(r.State), string(Running))
	r.State, r.Cause, r.SoakingSince = Running, "", 0
	r.Evidence, r.New, r.Old = evidence{}, Count{}, Count{} // the operator has seen it and goes on
	for _, o := range m.Members {
		o.Crashes = nil
	}
	for _, p := range m.Permits { // who is still out has its time once more
		if p.Release == r.Number && p.ActivatedAt > 0 {
			p.ActivatedAt = m.Now
		}
	}
	return Result{Release: r.Number}
}

// wayBack turns the release round: all go back to the old revision, and what starts meanwhile starts on it.
func (m *StateMachine) wayBack(by string) Result {
	r := m.Release
	if r == nil {
		return refuse(NothingToDo, "there is no release to take back")
	}
	if r.RollingBack {
		if r.State == Done {
			return refuse(NothingToDo, "release %d was taken back", r.Number)
		}
		if r.State != Running {
			return m.resume(by)
		}
		return Result{Release: r.Number}
	}
	m.audit(by, fmt.Sprintf("take release %d back", r.Number), r.Revision, r.PreviousRevision)
	if r.State == Done {
		r.Order = m.order(r.Number)
	}
	r.State, r.RollingBack, r.SoakingSince, r.Cause = Running, true, 0, ""
	if !m.skip(checkBackRevokes) {
		m.revoke(r)
	}
	for _, o := range m.Members {
		o.TargetRevision = r.PreviousRevision
	}
	for _, p := range m.Permits {
		if p.Release == r.Number {
			p.Revision = r.PreviousRevision
		}
	}
	return Result{Release: r.Number}
}

// cut is how many of the order the waves so far hold.
func (r *Release) cut() int {
	if r.RollingBack {
		return len(r.Order)
	}
	return min(len(r.Order), max(1, int(math.Ceil(r.Waves[r.Wave]*float64(len(r.Order))-1e-9))))
}

// advance carries on what time and the last command allow.
func (m *StateMachine) advance() {
	for _, n := range m.numbers() {
		if p := m.Permits[n]; p.Engine && p.DrainedAt == 0 && m.empties(p) {
			p.DrainedAt = m.Now
		}
	}
	r := m.Release
	if !r.active() {
		return
	}
	if r.State == Halting && (len(m.going(r)) == 0 || m.skip(checkHaltSeenOut)) {
		r.State = Halted
	}
	if r.State != Running {
		return
	}
	if cause := m.fault(r); cause != "" && !r.RollingBack {
		m.halt("the fleet", cause)
		if len(m.going(r)) == 0 {
			r.State = Halted
		}
		return
	}
	m.give(r)
	m.progress(r)
}

func (m *StateMachine) empties(p *Permit) bool {
	for _, o := range m.Members {
		if m.blocks(p, o) != "" {
			return false
		}
	}
	return true
}

// fault tells why a release must not go on; empty for nothing.
func (m *StateMachine) fault(r *Release) string {
	if cause := m.judged(r); cause != "" {
		return cause
	}
	t := m.memberTally(false)
	if out, most := t.overrun(); out > most {
		return fmt.Sprintf("%d of %d front ends are out, and %d may be", out, t.all.n, most)
	}
	for _, name := range m.names() {
		o := m.Members[name]
		lately := 0
		for _, at := range o.Crashes {
			if time.Duration(at) > m.Now-m.Settings.CrashWindow && time.Duration(at) > r.Started {
				lately++
			}
		}
		if lately >= m.Settings.CrashLoop && o.TargetRevision == r.Revision {
			return fmt.Sprintf("%s crashed %d times within %v", name, lately, m.Settings.CrashWindow)
		}
	}
	for _, n := range m.numbers() {
		p := m.Permits[n]
		if p.Release == r.Number && p.ActivatedAt > 0 && m.Now-p.ActivatedAt >= m.Settings.ReturnTimeout {
			return fmt.Sprintf("%s went out and is not back within %v", p.Subject, m.Settings.ReturnTimeout)
		}
	}
	return ""
}

// give hands permits to the members of the waves so far, as many as the budgets allow.
func (m *StateMachine) give(r *Release) {
	t := m.memberTally(r.RollingBack)
	for _, name := range r.Order[:r.cut()] {
		o := m.Members[name]
		if o.Revision == r.target() || !m.inFleet(o) {
			continue
		}
		if u := m.memberUnit(o); m.fits(t, u) == nil || m.skip(checkGrantBudget) {
			m.grant(Permit{Subject: name, Purpose: Restart, Revision: r.target(), Release: r.Number, Incarnation: o.Incarnation})
			t.take(u)
		}
	}
}

// waiting lists members of the waves so far that keep them from being complete.
func (m *StateMachine) waiting(r *Release) (names []string) {
	for _, name := range r.Order[:r.cut()] {
		o := m.Members[name]
		p := m.permitOf(name, false)
		mine := p != nil && p.Release == r.Number
		// Who was out before its turn is not waited for; who was taken to the new revision must serve there.
		if mine || (m.inFleet(o) && o.Revision != r.target()) || (p == nil && !o.serves() && o.TargetRevision == r.target()) {
			names = append(names, name)
		}
	}
	return names
}

// progress ends a wave that is complete and has soaked, and the release with the last.
func (m *StateMachine) progress(r *Release) {
	if len(m.waiting(r)) > 0 && !m.skip(checkWave) {
		r.SoakingSince = 0
		return
	}
	if r.RollingBack {
		m.finish(r)
		return
	}
	if r.SoakingSince == 0 {
		r.SoakingSince = m.Now
	}
	if m.Now-r.SoakingSince < r.Soak || r.Sample < m.least(r) {
		return
	}
	if r.Wave++; r.Wave < len(r.Waves) {
		r.SoakingSince, r.Sample, r.Evidence = 0, 0, evidence{}
		m.give(r)
		return
	}
	r.Wave--
	m.finish(r)
}

// least is how many requests the new revision must have had: once nobody is left on the old, there is none to compare with.
func (m *StateMachine) least(r *Release) int64 {
	if r.cut() == len(r.Order) {
		return 0
	}
	return m.Settings.Analyzer.Least
}

func (m *StateMachine) finish(r *Release) {
	what := "done"
	if r.RollingBack {
		what = "taken back"
	}
	m.audit("the fleet", fmt.Sprintf("release %d %s", r.Number, what), string(r.State), string(Done))
	r.State = Done
	for _, o := range m.Members {
		o.TargetRevision = r.target()
	}
}
