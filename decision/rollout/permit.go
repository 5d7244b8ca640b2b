package rollout

import (
	"fmt"
	"slices"
	"time"
)

// applyStatus takes a front end's own word.
func (m *StateMachine) applyStatus(w *ReportStatus) Result {
	if w.Name == "" || w.Incarnation == 0 {
		return reject(InvalidArgument, "a word needs a name and an incarnation")
	}
	switch w.Phase {
	case Starting, Serving, Draining, Terminated:
	default:
		return reject(InvalidArgument, "phase: found %q, allowed is starting, serving, leaving, gone", string(w.Phase))
	}
	if !(w.Weight >= 0) {
		return reject(InvalidArgument, "weight: found %v, allowed is 0 or more", w.Weight)
	}
	if over, was := m.Removed[w.Name]; was && w.Incarnation <= over && !m.skip(checkForgotten) {
		return reject(StaleMessage, "%s was forgotten as process %d", w.Name, over)
	}
	o := m.Members[w.Name]
	if o == nil {
		o = &Member{Name: w.Name, TargetRevision: w.Revision}
		if r := m.Release; r.active() {
			r.Order = append(r.Order, w.Name)
			if r.RollingBack {
				o.TargetRevision = r.PreviousRevision
			}
		}
		m.Members[w.Name] = o
	}
	older := w.Incarnation < o.Incarnation || (w.Incarnation == o.Incarnation && w.StatusSequence <= o.StatusSequence)
	if older && !m.skip(checkOlderWord) {
		return reject(StaleMessage, "%s has said more since, as process %d", w.Name, o.Incarnation)
	}
	p := m.permitOf(w.Name, false)
	if w.Incarnation > o.Incarnation {
		if o.Incarnation > 0 {
			o.PreviousEndedAt = m.Now
			m.recordCrash(o, p)
		}
		if p != nil && p.ActivatedAt == 0 { // given to a process that is no more, and never begun
			if p.Purpose == Drain {
				p.Incarnation = w.Incarnation
			} else {
				m.endPermit(p)
				p = nil
			}
		}
	}
	if o.Phase != w.Phase || o.Suspected || w.Incarnation > o.Incarnation {
		o.ChangedAt = m.Now
	}
	o.Zone, o.Kind, o.Weight = w.Zone, w.Kind, w.Weight
	o.Incarnation, o.StatusSequence, o.Revision, o.Phase, o.Suspected = w.Incarnation, w.StatusSequence, w.Revision, w.Phase, false
	// The proof that ends a permit: a newer process serves. The same one may have said so before it was told to go.
	newer := p != nil && (w.Incarnation > p.Incarnation || m.skip(checkLateServing))
	if newer && w.Phase == Serving {
		if p.Purpose == Drain && !p.Cancelled {
			p.Incarnation = w.Incarnation // an operator's drain holds through a restart
			return Result{Permit: p.Number}
		}
		m.endPermit(p)
	}
	return Result{}
}

// recordCrash books the end of a process that had not said so, and that no permit had asked for.
func (m *StateMachine) recordCrash(o *Member, p *Permit) {
	if o.Phase == Draining || o.Phase == Terminated || (p != nil && p.ActivatedAt > 0 && p.Incarnation == o.Incarnation) {
		return
	}
	o.Crashes = append(o.Crashes, int64(m.Now))
	o.Crashes = slices.DeleteFunc(o.Crashes, func(at int64) bool { return time.Duration(at) < m.Now-m.Settings.CrashWindow })
	if over := len(o.Crashes) - m.Settings.CrashLoop; over > 0 {
		o.Crashes = slices.Delete(o.Crashes, 0, over)
	}
}

func (m *StateMachine) applySuspect(d *Suspect) Result {
	o := m.Members[d.Name]
	if o == nil || o.Incarnation != d.Incarnation || o.Suspected || o.Phase == Terminated {
		return Result{}
	}
	o.Suspected, o.ChangedAt = true, m.Now
	return Result{}
}

// grantPermit gives a front end or an engine a permit; the budgets have been asked.
func (m *StateMachine) grantPermit(p Permit) *Permit {
	m.LastPermit++
	p.Number, p.GrantedAt = m.LastPermit, m.Now
	if m.skip(checkNumber) { // a number that is free again would let an old word pass for a new one
		p.Number = 1
		for m.Permits[p.Number] != nil {
			p.Number++
		}
	}
	m.Permits[p.Number] = &p
	m.permitBySubject[p.key()] = p.Number
	return &p
}

// activatePermit tells, at the last moment, whether the member may go out on its permit.
func (m *StateMachine) activatePermit(b *PermitReference) Result {
	p, o := m.Permits[b.Permit], m.Members[b.Name]
	switch {
	case p == nil || p.Engine || p.Subject != b.Name || o == nil:
		return reject(NoPermit, "permit %d of %s does not stand", b.Permit, b.Name)
	case (p.Incarnation != b.Incarnation || o.Incarnation != b.Incarnation) && !m.skip(checkProcess):
		return reject(NoPermit, "permit %d was given to process %d of %s", b.Permit, p.Incarnation, b.Name)
	case p.Cancelled:
		return reject(NoPermit, "permit %d was lifted", b.Permit)
	}
	if r := m.Release; p.Release != 0 && !m.skip(checkHaltedBegin) && (r == nil || r.Number != p.Release || r.State != Running) {
		return reject(NoPermit, "release %d is not running", p.Release) // one that was told to go before may yet hand it back
	}
	// What happened since the grant counts too: a budget that others have used up lets nobody go by choice. Also one that asks again, since its
	// answer was lost: it has not gone, and counts as out until it has handed the permit back.
	if !m.skip(checkBeginBudget) {
		if no := m.checkBudget(m.memberUsage(p.Release != 0 && m.Release.RollingBack), m.memberUnit(o)); no != nil {
			if p.ActivatedAt == 0 {
				m.endPermit(p)
			}
			no.Unavailable = unavailableNames(m.memberUnits(), b.Name)
			return Result{Rejected: no}
		}
	}
	if p.ActivatedAt > 0 {
		return Result{Permit: p.Number, Shutdown: true}
	}
	p.ActivatedAt = m.Now
	if p.Purpose == Restart {
		o.TargetRevision = p.Revision
	}
	return Result{Permit: p.Number, Shutdown: true}
}

// returnPermit takes a permit from a process that serves, and that will not go out under that number any more.
func (m *StateMachine) returnPermit(b *PermitReference) Result {
	p, o := m.Permits[b.Permit], m.Members[b.Name]
	if p == nil || p.Engine || p.Subject != b.Name || o == nil || o.Incarnation != b.Incarnation {
		return reject(NoPermit, "permit %d of %s does not stand", b.Permit, b.Name)
	}
	if o.Phase != Serving {
		return reject(FailedPrecondition, "%s is %s: it can't hand its permit back", b.Name, string(o.Phase))
	}
	m.endPermit(p)
	return Result{}
}

// applyDrain takes a front end or an engine out, where the budget has room for it.
func (m *StateMachine) applyDrain(h *Subject, by string) Result {
	if p := m.permitOf(h.Name, h.Engine); p != nil {
		if p.Purpose == Drain && !p.Cancelled {
			return Result{Permit: p.Number} // it is what was asked for
		}
		return reject(FailedPrecondition, "%s holds permit %d for %s", h.Name, p.Number, string(p.Purpose))
	}
	p := Permit{Subject: h.Name, Engine: h.Engine, Purpose: Drain, RequestedBy: by}
	var no *RejectedError
	if h.Engine {
		e := m.Engines[h.Name]
		if e == nil {
			return reject(NotFound, "there is no engine %s", h.Name)
		}
		p.Incarnation, p.DrainedBy, p.ActivatedAt = e.Process, map[string]uint64{}, m.Now
		if no = m.checkBudget(m.engineUsage(), m.engineUnit(e)); no != nil {
			no.Unavailable = unavailableNames(m.engineUnits(), h.Name)
		}
	} else {
		o := m.Members[h.Name]
		if o == nil {
			return reject(NotFound, "there is no front end %s", h.Name)
		}
		p.Incarnation = o.Incarnation
		if no = m.checkBudget(m.memberUsage(false), m.memberUnit(o)); no != nil {
			no.Unavailable = unavailableNames(m.memberUnits(), h.Name)
		}
	}
	if no != nil && !m.skip(checkGrantBudget) {
		return Result{Rejected: no}
	}
	given := m.grantPermit(p)
	m.audit(by, "drain "+given.key(), "in", "out")
	return Result{Permit: given.Number}
}

func (m *StateMachine) applyUndrain(h *Subject, by string) Result {
	p := m.permitOf(h.Name, h.Engine)
	if p == nil || p.Purpose != Drain {
		return reject(NothingToDo, "%s is not drained", h.Name)
	}
	m.audit(by, "undrain "+p.key(), "out", "in")
	if h.Engine || p.ActivatedAt == 0 {
		m.endPermit(p)
	} else {
		p.Cancelled = true // it counts as out until it says that it serves
	}
	return Result{Permit: p.Number}
}

// applyRemove takes an operator's word that somebody is gone for good.
func (m *StateMachine) applyRemove(h *Subject, by string) Result {
	key := holderKey(h.Name, h.Engine)
	if h.Engine {
		if m.Engines[h.Name] == nil {
			return reject(NotFound, "there is no engine %s", h.Name)
		}
		delete(m.Engines, h.Name)
	} else {
		o := m.Members[h.Name]
		if o == nil {
			return reject(NotFound, "there is no front end %s", h.Name)
		}
		delete(m.Members, h.Name)
		if r := m.Release; r != nil {
			r.Order = slices.DeleteFunc(r.Order, func(n string) bool { return n == h.Name })
		}
		if _, was := m.Removed[h.Name]; !was {
			m.RemovedOrder = append(m.RemovedOrder, h.Name)
		}
		m.Removed[h.Name] = o.Incarnation
		for len(m.RemovedOrder) > m.Settings.KeepRemoved {
			delete(m.Removed, m.RemovedOrder[0])
			m.RemovedOrder = m.RemovedOrder[1:]
		}
		for _, p := range m.Permits {
			delete(p.DrainedBy, h.Name)
		}
	}
	if p := m.permitOf(h.Name, h.Engine); p != nil {
		m.endPermit(p)
	}
	m.audit(by, "forget "+key, "known", "forgotten")
	return Result{}
}

// applyEngine takes what the lists tell of an engine. A list that is behind tells of an older process.
func (m *StateMachine) applyEngine(e Engine) Result {
	if e.Name == "" || !(e.Cores >= 0) {
		return reject(InvalidArgument, "an engine needs a name, and cores of 0 or more")
	}
	o := m.Engines[e.Name]
	if o != nil && e.Process < o.Process && !m.skip(checkOlderWord) {
		return reject(StaleMessage, "%s has a newer process", e.Name)
	}
	if o != nil && !e.Listed { // a list that does not name it tells nothing else
		o.Listed, o.Ready = false, false
		return Result{}
	}
	m.Engines[e.Name] = &e
	// A list that is behind may still call the process ready that was to be stopped.
	if p := m.permitOf(e.Name, true); p != nil && e.Listed && e.Ready && (e.Process > p.Incarnation || m.skip(checkEngineProof)) {
		m.endPermit(p)
	}
	return Result{}
}

// applyReportDrained takes a front end's word that it sends no more to a drained engine, and has nothing out there.
func (m *StateMachine) applyReportDrained(w *ReportDrained) Result {
	p, o := m.Permits[w.Permit], m.Members[w.Name]
	if p == nil || !p.Engine || o == nil {
		return reject(NoPermit, "permit %d is no drain of an engine", w.Permit)
	}
	if o.Incarnation != w.Incarnation && !m.skip(checkEmptyProcess) {
		return reject(StaleMessage, "%s is process %d now", w.Name, o.Incarnation)
	}
	p.DrainedBy[w.Name] = o.Incarnation
	return Result{Permit: p.Number}
}

// drainBlocker tells why an engine may not be stopped yet for the sake of one front end; empty where it may.
func (m *StateMachine) drainBlocker(p *Permit, o *Member) string {
	if m.skip(checkEmptyAll) && o.Suspected {
		return ""
	}
	if over := o.PreviousEndedAt + m.Settings.AbandonedQueryTimeout; o.PreviousEndedAt > 0 && m.Now < over && !m.skip(checkProtocolTime) {
		return fmt.Sprintf("%s: queries of its last process may run for %v more", o.Name, over-m.Now)
	}
	if o.Phase == Terminated {
		if over := o.ChangedAt + m.Settings.AbandonedQueryTimeout; m.Now < over && !m.skip(checkProtocolTime) {
			return fmt.Sprintf("%s: its queries may run for %v more", o.Name, over-m.Now)
		}
		return ""
	}
	if p.DrainedBy[o.Name] != o.Incarnation {
		if o.Suspected {
			return o.Name + ": not heard of; forget it if it is gone"
		}
		return o.Name + ": has not said that nothing of its own is out there"
	}
	return ""
}
