package fleet

import (
	"encoding/json"

	"beechcart/decision/rollout"
)

// The bodies of the replicas' HTTP interface. Members of other builds and operators read their JSON names.

// response is the body of every answer.
type response struct {
	Error  string          `json:"error,omitempty"`
	Leader string          `json:"leader,omitempty"` // address of the leader's HTTP interface, to be called instead
	Value  json.RawMessage `json:"value,omitempty"`
}

// joinRequest asks for a replica to be added to the log.
type joinRequest struct {
	Name       string `json:"Name"`
	ID         string `json:"ID"` // identity of its log
	LogAddress string `json:"Log"`
}

// Status is the fleet's state as one replica has applied it.
type Status struct {
	Replica         string                 `json:"keeper"` // name of the replica that answers
	IsLeader        bool                   `json:"leads"`
	LeaderAddress   string                 `json:"leader,omitempty"` // of the HTTP interface; empty: no leader is known
	AppliedIndex    uint64                 `json:"index"`            // of the log
	Servers         []string               `json:"servers"`          // identities of the replicas in the log
	State           rollout.State          `json:"state"`
	Budgets         []rollout.BudgetStatus `json:"budgets"`
	ReleaseBlockers []string               `json:"waiting,omitempty"`
	DrainBlockers   map[string][]string    `json:"blocks,omitempty"` // by engine
}

// MemberView is the part of the state that one member needs.
type MemberView struct {
	Registered     bool            `json:"known"`
	Incarnation    uint64          `json:"incarnation"`
	StatusSequence uint64          `json:"seq"`
	Phase          rollout.Phase   `json:"phase"`
	Suspected      bool            `json:"doubted"`
	TargetRevision string          `json:"wanted"`
	Permit         *rollout.Permit `json:"permit,omitempty"`
	Drains         []EngineDrain   `json:"drains,omitempty"`
	Release        uint64          `json:"release,omitempty"` // number of the active release; 0: none, or rolling back
	Target         string          `json:"target,omitempty"`  // revision of that release
}

// EngineDrain is a drain of an engine, which must get no more queries.
type EngineDrain struct {
	Engine       string `json:"engine"`
	Permit       uint64 `json:"permit"`
	Acknowledged bool   `json:"said"` // the member's process has reported that it has no query at the engine
}

// memberView returns the view of the member of that name.
func memberView(m *rollout.StateMachine, name string) MemberView {
	view := MemberView{}
	if member := m.Members[name]; member != nil {
		view = MemberView{
			Registered:     true,
			Incarnation:    member.Incarnation,
			StatusSequence: member.StatusSequence,
			Phase:          member.Phase,
			Suspected:      member.Suspected,
			TargetRevision: member.TargetRevision,
		}
	}
	for _, number := range m.PermitNumbers() {
		permit := *m.Permits[number]
		if permit.Engine {
			acknowledged := view.Registered && permit.DrainedBy[name] == view.Incarnation
			view.Drains = append(view.Drains, EngineDrain{permit.Subject, number, acknowledged})
		} else if permit.Subject == name {
			view.Permit = &permit
		}
	}
	if release := m.Release; release != nil && release.State != rollout.Done && !release.RollingBack {
		view.Release, view.Target = release.Number, release.Revision
	}
	return view
}

// watchAnswer is the answer to a watch.
type watchAnswer struct {
	View         MemberView `json:"view"`
	Version      string     `json:"have"`    // of the view; the member sends it with the next watch
	AppliedIndex uint64     `json:"applied"` // number of commands that the replica has applied
}
