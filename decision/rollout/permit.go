package rollout

import (
	"fmt"
	"slices"
	"time"
)

// say takes a front end's own word.
func (m *Machine) say(w *Say) Result {
	if w.Name == "" || w.Incarnation == 0 {
		return refuse(BadValue, "a word needs a name and an incarnation")
	}
	switch w.Phase {
	case Starting, Serving, Leaving, Gone:
	default:
		return refuse(BadValue, "phase: found %q, allowed is starting, serving, leaving, gone", string(w.Phase))
	}
	if !(w.Weight >= 0) {
		return refuse(BadValue, "weight: found %v, allowed is 0 or more", w.Weight)
	}
	if over, was := m.Forgotten[w.Name]; was && w.Incarnation <= over && !m.skip(checkForgotten) {
		return refuse(OlderWord, "%s was forgotten as process %d", w.Name, over)
	}
	o := m.Members[w.Name]
	if o == nil {
		o = &Member{Name: w.Name, Wanted: w.Revision}
		if r := m.Release; r.active() {
			r.Order = append(r.Order, w.Name)
			if r.Back {
				o.Wanted = r.From
			}
		}
		m.Members[w.Name] = o
	}
	older := w.Incarnation < o.Incarnation || (w.Incarnation == o.Incarnation && w.Seq <= o.Seq)
	if older && !m.skip(checkOlderWord) {
		return refuse(OlderWord, "%s has said more since, as process %d", w.Name, o.Incarnation)
	}
	p := m.permitOf(w.Name, false)
	if w.Incarnation > o.Incarnation {
		if o.Incarnation > 0 {
			o.Before = m.Now
			m.crashed(o, p)
		}
		if p != nil && p.Begun == 0 { // given to a process that is no more, and never begun
			if p.For == Drain {
				p.Incarnation = w.Incarnation
			} else {
				m.end(p)
				p = nil
			}
		}
	}
	if o.Phase != w.Phase || o.Doubted || w.Incarnation > o.Incarnation {
		o.Changed = m.Now
	}
	o.Room, o.Kind, o.Weight = w.Room, w.Kind, w.Weight
	o.Incarnation, o.Seq, o.Revision, o.Phase, o.Doubted = w.Incarnation, w.Seq, w.Revision, w.Phase, false
	// The proof that ends a permit: a newer process serves. The same one may have said so before it was told to go.
	newer := p != nil && (w.Incarnation > p.Incarnation || m.skip(checkLateServing))
	if newer && w.Phase == Serving {
		if p.For == Drain && !p.Lifted {
			p.Incarnation = w.Incarnation // an operator's drain holds through a restart
			return Result{Permit: p.Number}
		}
		m.end(p)
	}
	return Result{}
}

// crashed books the end of a process that had not said so, and that no permit had asked for.
func (m *Machine) crashed(o *Member, p *Permit) {
	if o.Phase == Leaving || o.Phase == Gone || (p != nil && p.Begun > 0 && p.Incarnation == o.Incarnation) {
		return
	}
	o.Crashes = append(o.Crashes, int64(m.Now))
	o.Crashes = slices.DeleteFunc(o.Crashes, func(at int64) bool { return time.Duration(at) < m.Now-m.Settings.CrashWindow })
	if over := len(o.Crashes) - m.Settings.CrashLoop; over > 0 {
		o.Crashes = slices.Delete(o.Crashes, 0, over)
	}
}

func (m *Machine) doubt(d *Doubt) Result {
	o := m.Members[d.Name]
	if o == nil || o.Incarnation != d.Incarnation || o.Doubted || o.Phase == Gone {
		return Result{}
	}
	o.Doubted, o.Changed = true, m.Now
	return Result{}
}

// grant gives a front end or an engine a permit; the budgets have been asked.
func (m *Machine) grant(p Permit) *Permit {
	m.Last++
	p.Number, p.Granted = m.Last, m.Now
	if m.skip(checkNumber) { // a number that is free again would let an old word pass for a new one
		p.Number = 1
		for m.Permits[p.Number] != nil {
			p.Number++
		}
	}
	m.Permits[p.Number] = &p
	m.held[p.key()] = p.Number
	return &p
}

// begin tells, at the last moment, whether the member may go out on its permit.
func (m *Machine) begin(b *Begin) Result {
	p, o := m.Permits[b.Permit], m.Members[b.Name]
	switch {
	case p == nil || p.Engine || p.Holder != b.Name || o == nil:
		return refuse(NoPermit, "permit %d of %s does not stand", b.Permit, b.Name)
	case (p.Incarnation != b.Incarnation || o.Incarnation != b.Incarnation) && !m.skip(checkProcess):
		return refuse(NoPermit, "permit %d was given to process %d of %s", b.Permit, p.Incarnation, b.Name)
	case p.Lifted:
		return refuse(NoPermit, "permit %d was lifted", b.Permit)
	}
	if r := m.Release; p.Release != 0 && !m.skip(checkHaltedBegin) && (r == nil || r.Number != p.Release || r.State != Running) {
		return refuse(NoPermit, "release %d is not running", p.Release) // one that was told to go before may yet hand it back
	}
	// What happened since the grant counts too: a budget that others have used up lets nobody go by choice. Also one that asks again, since its
	// answer was lost: it has not gone, and counts as out until it has handed the permit back.
	if !m.skip(checkBeginBudget) {
		if no := m.fits(m.memberTally(p.Release != 0 && m.Release.Back), m.memberUnit(o)); no != nil {
			if p.Begun == 0 {
				m.end(p)
			}
			no.Out = out(m.memberUnits(), b.Name)
			return Result{Refusal: no}
		}
	}
	if p.Begun > 0 {
		return Result{Permit: p.Number, Go: true}
	}
	p.Begun = m.Now
	if p.For == Restart {
		o.Wanted = p.Revision
	}
	return Result{Permit: p.Number, Go: true}
}

// handBack takes a permit from a process that serves, and that will not go out under that number any more.
func (m *Machine) handBack(b *Begin) Result {
	p, o := m.Permits[b.Permit], m.Members[b.Name]
	if p == nil || p.Engine || p.Holder != b.Name || o == nil || o.Incarnation != b.Incarnation {
		return refuse(NoPermit, "permit %d of %s does not stand", b.Permit, b.Name)
	}
	if o.Phase != Serving {
		return refuse(NotNow, "%s is %s: it can't hand its permit back", b.Name, string(o.Phase))
	}
	m.end(p)
	return Result{}
}

// drain takes a front end or an engine out, where the budget has room for it.
func (m *Machine) drain(h *Holder, by string) Result {
	if p := m.permitOf(h.Name, h.Engine); p != nil {
		if p.For == Drain && !p.Lifted {
			return Result{Permit: p.Number} // it is what was asked for
		}
		return refuse(NotNow, "%s holds permit %d for %s", h.Name, p.Number, string(p.For))
	}
	p := Permit{Holder: h.Name, Engine: h.Engine, For: Drain, By: by}
	var no *Refusal
	if h.Engine {
		e := m.Engines[h.Name]
		if e == nil {
			return refuse(NotKnown, "there is no engine %s", h.Name)
		}
		p.Incarnation, p.Empty, p.Begun = e.Process, map[string]uint64{}, m.Now
		if no = m.fits(m.engineTally(), m.engineUnit(e)); no != nil {
			no.Out = out(m.engineUnits(), h.Name)
		}
	} else {
		o := m.Members[h.Name]
		if o == nil {
			return refuse(NotKnown, "there is no front end %s", h.Name)
		}
		p.Incarnation = o.Incarnation
		if no = m.fits(m.memberTally(false), m.memberUnit(o)); no != nil {
			no.Out = out(m.memberUnits(), h.Name)
		}
	}
	if no != nil && !m.skip(checkGrantBudget) {
		return Result{Refusal: no}
	}
	given := m.grant(p)
	m.audit(by, "drain "+given.key(), "in", "out")
	return Result{Permit: given.Number}
}

func (m *Machine) undrain(h *Holder, by string) Result {
	p := m.permitOf(h.Name, h.Engine)
	if p == nil || p.For != Drain {
		return refuse(NothingToDo, "%s is not drained", h.Name)
	}
	m.audit(by, "undrain "+p.key(), "out", "in")
	if h.Engine || p.Begun == 0 {
		m.end(p)
	} else {
		p.Lifted = true // it counts as out until it says that it serves
	}
	return Result{Permit: p.Number}
}

// forget takes an operator's word that somebody is gone for good.
func (m *Machine) forget(h *Holder, by string) Result {
	key := holderKey(h.Name, h.Engine)
	if h.Engine {
		if m.Engines[h.Name] == nil {
			return refuse(NotKnown, "there is no engine %s", h.Name)
		}
		delete(m.Engines, h.Name)
	} else {
		o := m.Members[h.Name]
		if o == nil {
			return refuse(NotKnown, "there is no front end %s", h.Name)
		}
		delete(m.Members, h.Name)
		if r := m.Release; r != nil {
			r.Order = slices.DeleteFunc(r.Order, func(n string) bool { return n == h.Name })
		}
		if _, was := m.Forgotten[h.Name]; !was {
			m.Gone = append(m.Gone, h.Name)
		}
		m.Forgotten[h.Name] = o.Incarnation
		for len(m.Gone) > m.Settings.KeepGone {
			delete(m.Forgotten, m.Gone[0])
			m.Gone = m.Gone[1:]
		}
		for _, p := range m.Permits {
			delete(p.Empty, h.Name)
		}
	}
	if p := m.permitOf(h.Name, h.Engine); p != nil {
		m.end(p)
	}
	m.audit(by, "forget "+key, "known", "forgotten")
	return Result{}
}

// engine takes what the lists tell of an engine. A list that is behind tells of an older process.
func (m *Machine) engine(e Engine) Result {
	if e.Name == "" || !(e.Cores >= 0) {
		return refuse(BadValue, "an engine needs a name, and cores of 0 or more")
	}
	o := m.Engines[e.Name]
	if o != nil && e.Process < o.Process && !m.skip(checkOlderWord) {
		return refuse(OlderWord, "%s has a newer process", e.Name)
	}
	if o != nil && !e.Listed { // a list that does not name it tells nothing else
		o.Listed, o.Ready = false, false
		return Result{}
	}
	m.Engines[e.Name] = &e
	// A list that is behind may still call the process ready that was to be stopped.
	if p := m.permitOf(e.Name, true); p != nil && e.Listed && e.Ready && (e.Process > p.Incarnation || m.skip(checkEngineProof)) {
		m.end(p)
	}
	return Result{}
}

// empty takes a front end's word that it sends no more to a drained engine, and has nothing out there.
func (m *Machine) empty(w *Empty) Result {
	p, o := m.Permits[w.Permit], m.Members[w.Name]
	if p == nil || !p.Engine || o == nil {
		return refuse(NoPermit, "permit %d is no drain of an engine", w.Permit)
	}
	if o.Incarnation != w.Incarnation && !m.skip(checkEmptyProcess) {
		return refuse(OlderWord, "%s is process %d now", w.Name, o.Incarnation)
	}
	p.Empty[w.Name] = o.Incarnation
	return Result{Permit: p.Number}
}

// blocks tells why an engine may not be stopped yet for the sake of one front end; empty where it may.
func (m *Machine) blocks(p *Permit, o *Member) string {
	if m.skip(checkEmptyAll) && o.Doubted {
		return ""
	}
	if over := o.Before + m.Settings.Protocol; o.Before > 0 && m.Now < over && !m.skip(checkProtocolTime) {
		return fmt.Sprintf("%s: queries of its last process may run for %v more", o.Name, over-m.Now)
	}
	if o.Phase == Gone {
		if over := o.Changed + m.Settings.Protocol; m.Now < over && !m.skip(checkProtocolTime) {
			return fmt.Sprintf("%s: its queries may run for %v more", o.Name, over-m.Now)
		}
		return ""
	}
	if p.Empty[o.Name] != o.Incarnation {
		if o.Doubted {
			return o.Name + ": not heard of; forget it if it is gone"
		}
		return o.Name + ": has not said that nothing of its own is out there"
	}
	return ""
}
