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

// startRelease begins a release, unless one is under way.
func (m *StateMachine) startRelease(s *StartRelease, by string) Result {
	if r := m.Release; r.active() && !m.skip(checkOneRelease) {
		return Result{Release: r.Number, Rejected: &RejectedError{Code: FailedPrecondition,
			Text: fmt.Sprintf("release %d to %s, started by %s, is %s: one at a time", r.Number, r.Revision, r.StartedBy, r.State)}}
	}
	if err := s.validate(); err != nil {
		return reject(InvalidArgument, "%v", err)
	}
	from := s.PreviousRevision
	if from == "" {
		from = m.commonRevision()
	}
	if from == s.Revision {
		return reject(NothingToDo, "the fleet serves on %s already", from)
	}
	m.LastRelease++
	m.Release = &Release{Number: m.LastRelease, Revision: s.Revision, PreviousRevision: from, StartedBy: by, Waves: slices.Clone(s.Waves), Soak: s.Soak,
		Order: m.releaseOrder(m.LastRelease), State: Running, StartedAt: m.Now}
	m.audit(by, fmt.Sprintf("release %d", m.LastRelease), from, s.Revision)
	return Result{Release: m.LastRelease}
}

func (s *StartRelease) validate() error {
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

// commonRevision is the revision that most serve on; the first by name of equals.
func (m *StateMachine) commonRevision() (most string) {
	n := map[string]int{}
	for _, name := range m.memberNames() {
		if o := m.Members[name]; o.isServing() {
			n[o.Revision]++
			if n[o.Revision] > n[most] || (n[o.Revision] == n[most] && o.Revision < most) {
				most = o.Revision
			}
		}
	}
	return most
}

// releaseOrder draws the members room by room in turn, within a room by a hash of name and release: each wave spreads over the
// rooms, and no machine is the canary of every release.
func (m *StateMachine) releaseOrder(release uint64) []string {
	rooms, names := map[string][]string{}, []string(nil)
	place := func(name string) uint64 {
		h := fnv.New64a()
		fmt.Fprintf(h, "%d %s", release, name)
		return h.Sum64()
	}
	var list []string
	for _, name := range m.memberNames() {
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

// haltRelease stops the release: what was not begun is revoked, and what was is waited for before it is acknowledged.
func (m *StateMachine) haltRelease(by, cause string) Result {
	r := m.Release
	if !r.active() {
		return reject(NothingToDo, "no release is under way")
	}
	if r.State != Running {
		return Result{Release: r.Number}
	}
	m.audit(by, fmt.Sprintf("halt release %d: %s", r.Number, cause), string(r.State), string(Halting))
	r.State, r.HaltCause, r.SoakingSince = Halting, cause, 0
	m.revokePermits(r)
	return Result{Release: r.Number}
}

// revokePermits ends the permits of a release that were not begun.
func (m *StateMachine) revokePermits(r *Release) {
	for _, n := range m.numbers() {
		if p := m.Permits[n]; p.Release == r.Number && p.ActivatedAt == 0 && !m.skip(checkHaltRevokes) {
			m.endPermit(p)
		}
	}
}

// pendingShutdowns lists members that were told to go for the release and were not seen out since: they may yet go.
func (m *StateMachine) pendingShutdowns(r *Release) (names []string) {
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

func (m *StateMachine) resumeRelease(by string) Result {
	r := m.Release
	if !r.active() || r.State == Running {
		return reject(NothingToDo, "no release is halted")
	}
	m.audit(by, fmt.Sprintf("resume release %d", r.Number), string(r.State), string(Running))
	r.State, r.HaltCause, r.SoakingSince = Running, "", 0
	r.Evidence, r.New, r.Old = evidence{}, RequestCounts{}, RequestCounts{} // the operator has seen it and goes on
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

// rollBackRelease turns the release round: all go back to the old revision, and what starts meanwhile starts on it.
func (m *StateMachine) rollBackRelease(by string) Result {
	r := m.Release
	if r == nil {
		return reject(NothingToDo, "there is no release to take back")
	}
	if r.RollingBack {
		if r.State == Done {
			return reject(NothingToDo, "release %d was taken back", r.Number)
		}
		if r.State != Running {
			return m.resumeRelease(by)
		}
		return Result{Release: r.Number}
	}
	m.audit(by, fmt.Sprintf("take release %d back", r.Number), r.Revision, r.PreviousRevision)
	if r.State == Done {
		r.Order = m.releaseOrder(r.Number)
	}
	r.State, r.RollingBack, r.SoakingSince, r.HaltCause = Running, true, 0, ""
	if !m.skip(checkBackRevokes) {
		m.revokePermits(r)
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

// waveEnd is how many of the order the waves so far hold.
func (r *Release) waveEnd() int {
	if r.RollingBack {
		return len(r.Order)
	}
	return min(len(r.Order), max(1, int(math.Ceil(r.Waves[r.Wave]*float64(len(r.Order))-1e-9))))
}

// advance carries on what time and the last command allow.
func (m *StateMachine) advance() {
	for _, n := range m.numbers() {
		if p := m.Permits[n]; p.Engine && p.DrainedAt == 0 && m.isDrained(p) {
			p.DrainedAt = m.Now
		}
	}
	r := m.Release
	if !r.active() {
		return
	}
	if r.State == Halting && (len(m.pendingShutdowns(r)) == 0 || m.skip(checkHaltSeenOut)) {
		r.State = Halted
	}
	if r.State != Running {
		return
	}
	if cause := m.haltCause(r); cause != "" && !r.RollingBack {
		m.haltRelease("the fleet", cause)
		if len(m.pendingShutdowns(r)) == 0 {
			r.State = Halted
		}
		return
	}
	m.grantReleasePermits(r)
	m.advanceWave(r)
}

func (m *StateMachine) isDrained(p *Permit) bool {
	for _, o := range m.Members {
		if m.drainBlocker(p, o) != "" {
			return false
		}
	}
	return true
}

// haltCause tells why a release must not go on; empty for nothing.
func (m *StateMachine) haltCause(r *Release) string {
	if cause := m.worseMetric(r); cause != "" {
		return cause
	}
	t := m.memberUsage(false)
	if out, most := t.unavailable(); out > most {
		return fmt.Sprintf("%d of %d front ends are out, and %d may be", out, t.all.total, most)
	}
	for _, name := range m.memberNames() {
		o := m.Members[name]
		lately := 0
		for _, at := range o.Crashes {
			if time.Duration(at) > m.Now-m.Settings.CrashWindow && time.Duration(at) > r.StartedAt {
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

// grantReleasePermits hands permits to the members of the waves so far, as many as the budgets allow.
func (m *StateMachine) grantReleasePermits(r *Release) {
	t := m.memberUsage(r.RollingBack)
	for _, name := range r.Order[:r.waveEnd()] {
		o := m.Members[name]
		if o.Revision == r.target() || !m.isAvailable(o) {
			continue
		}
		if u := m.memberUnit(o); m.checkBudget(t, u) == nil || m.skip(checkGrantBudget) {
			m.grantPermit(Permit{Subject: name, Purpose: Restart, Revision: r.target(), Release: r.Number, Incarnation: o.Incarnation})
			t.markUnavailable(u)
		}
	}
}

// unfinishedMembers lists members of the waves so far that keep them from being complete.
func (m *StateMachine) unfinishedMembers(r *Release) (names []string) {
	for _, name := range r.Order[:r.waveEnd()] {
		o := m.Members[name]
		p := m.permitOf(name, false)
		mine := p != nil && p.Release == r.Number
		// Who was out before its turn is not waited for; who was taken to the new revision must serve there.
		if mine || (m.isAvailable(o) && o.Revision != r.target()) || (p == nil && !o.isServing() && o.TargetRevision == r.target()) {
			names = append(names, name)
		}
	}
	return names
}

// advanceWave ends a wave that is complete and has soaked, and the release with the last.
func (m *StateMachine) advanceWave(r *Release) {
	if len(m.unfinishedMembers(r)) > 0 && !m.skip(checkWave) {
		r.SoakingSince = 0
		return
	}
	if r.RollingBack {
		m.finishRelease(r)
		return
	}
	if r.SoakingSince == 0 {
		r.SoakingSince = m.Now
	}
	if m.Now-r.SoakingSince < r.Soak || r.WaveRequests < m.minWaveRequests(r) {
		return
	}
	if r.Wave++; r.Wave < len(r.Waves) {
		r.SoakingSince, r.WaveRequests, r.Evidence = 0, 0, evidence{}
		m.grantReleasePermits(r)
		return
	}
	r.Wave--
	m.finishRelease(r)
}

// minWaveRequests is how many requests the new revision must have had: once nobody is left on the old, there is none to compare with.
func (m *StateMachine) minWaveRequests(r *Release) int64 {
	if r.waveEnd() == len(r.Order) {
		return 0
	}
	return m.Settings.Analyzer.MinRequests
}

func (m *StateMachine) finishRelease(r *Release) {
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
