package rollout

// permitOf returns the permit that a front end or an engine holds; nil for none.
func (m *StateMachine) permitOf(subject Subject) *Permit {
	return m.Permits[m.permitBySubject[subject]]
}

// grantPermit assigns a number to a permit and records the permit. The caller must have checked the budgets.
func (m *StateMachine) grantPermit(permit Permit) *Permit {
	m.LastPermit++
	permit.Number, permit.GrantedAt = m.LastPermit, m.Now
	m.Permits[permit.Number] = &permit
	m.permitBySubject[permit.subject()] = permit.Number
	return &permit
}

func (m *StateMachine) endPermit(permit *Permit) {
	delete(m.Permits, permit.Number)
	delete(m.permitBySubject, permit.subject())
}

// activatePermit decides, immediately before a front end shuts down, whether the front end may do so. A front end whose
// answer was lost asks again. Such a front end has not shut down, so that the budget is checked again. After a
// rejection the front end counts as unavailable until it returns the permit.
func (m *StateMachine) activatePermit(reference *PermitReference) Result {
	permit, member := m.Permits[reference.Permit], m.Members[reference.Name]
	if permit == nil || permit.Engine || permit.Subject != reference.Name || member == nil {
		return reject(NoPermit, "permit %d of %s does not stand", reference.Permit, reference.Name)
	}
	if permit.Incarnation != reference.Incarnation || member.Incarnation != reference.Incarnation {
		return reject(NoPermit, "permit %d was given to process %d of %s",
			reference.Permit, permit.Incarnation, reference.Name)
	}
	if permit.Cancelled {
		return reject(NoPermit, "permit %d was lifted", reference.Permit)
	}
	budget := m.Settings.FrontEnds
	if permit.Release != 0 {
		if !m.releaseIsRunning(permit.Release) {
			return reject(NoPermit, "release %d is not running", permit.Release)
		}
		budget = m.releaseBudget(m.Release)
	}
	// The budget is checked again, as other members may have become unavailable since the permit was granted.
	if rejected := m.memberUsage(budget).check(m.memberUnit(member)); rejected != nil {
		if permit.ActivatedAt == 0 {
			m.endPermit(permit)
		}
		rejected.Unavailable = unavailableNames(m.memberUnits(), reference.Name)
		return Result{Rejected: rejected}
	}
	if permit.ActivatedAt == 0 {
		permit.ActivatedAt = m.Now
		if permit.Purpose == Restart {
			member.TargetRevision = permit.Revision
		}
	}
	return Result{Permit: permit.Number, Shutdown: true}
}

// returnPermit ends the permit of a serving process, which must not shut down under that number any more.
func (m *StateMachine) returnPermit(reference *PermitReference) Result {
	permit, member := m.Permits[reference.Permit], m.Members[reference.Name]
	if permit == nil || permit.Engine || permit.Subject != reference.Name ||
		member == nil || member.Incarnation != reference.Incarnation {
		return reject(NoPermit, "permit %d of %s does not stand", reference.Permit, reference.Name)
	}
	if member.Phase != Serving {
		return reject(FailedPrecondition, "%s is %s: it can't hand its permit back",
			reference.Name, string(member.Phase))
	}
	m.endPermit(permit)
	return Result{}
}
