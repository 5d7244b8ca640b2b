package settings

import (
	"encoding/json"
	"fmt"
	"time"

	"beechcart/admission"
)

// Names maps the settings' names to the indexes that the controller sees.
type Names struct {
	Classes, Tenants, Zones, Kinds map[string]int
}

// facts is the settings object of a begin event; keys that are not listed are skipped.
type facts struct {
	Callers struct {
		MarksRetry bool `json:"marks_retry"`
	} `json:"callers"`
	Discovery string `json:"discovery"`
	Info      struct {
		Holds      []bool        `json:"holds_tables"`
		MemoryMB   []float64     `json:"kind_memory_mb"`
		Lanes      bool          `json:"lanes_count"`
		MostGrant  float64       `json:"most_grant"`
		Overbooked string        `json:"overbooked"`
		SaysCost   bool          `json:"says_cost"`
		Cores      []int         `json:"size_cores"`
		Grants     bool          `json:"takes_grants"`
		TellsEvery time.Duration `json:"tells_every"`
		Threads    []int         `json:"threads_by_class"`
		Waits      []bool        `json:"waits_for_loads"`
	} `json:"family_info"`
	Locality    string  `json:"locality"`
	Me          int     `json:"me"`
	OverShare   float64 `json:"over_share_worth"`
	Permissions struct {
		Attempts   int           `json:"attempts_cap"`
		Cancel     bool          `json:"cancel"`
		MaxPause   time.Duration `json:"max_retry_after"`
		Copies     bool          `json:"may_duplicate"`
		Tell       bool          `json:"may_tell"`
		Probes     bool          `json:"probes"`
		RetryAfter bool          `json:"retry_after"`
	} `json:"permissions"`
	Replicas  int `json:"replicas_of_me"`
	Reporting struct {
		Via string `json:"via"`
	} `json:"reporting"`
	Rules struct {
		Slack    time.Duration  `json:"answer_slack"`
		AskEvery time.Duration  `json:"ask_every"`
		Cold     time.Duration  `json:"cold"`
		ColdFrom float64        `json:"cold_from"`
		Drain    time.Duration  `json:"drain_grace"`
		Multiple float64        `json:"fall_multiple"`
		Overload time.Duration  `json:"overload_for"`
		Settle   time.Duration  `json:"settle_after_doubt"`
		Spare    *float64       `json:"spare_attempts"`
		Ratio    *float64       `json:"repeat_ratio"`
		Span     *time.Duration `json:"ratio_span"`
	} `json:"rules"`
	Services []service `json:"services"`
	Kinds    []string  `json:"skus"`
	Tenants  []struct {
		Allowance float64 `json:"allowance_per_s"`
		Fraction  float64 `json:"fraction"`
		Name      string  `json:"name"`
	} `json:"tenants"`
	Zones []string `json:"zones"`
}

type service struct {
	Stretch   float64       `json:"aim_stretch"`
	Deadline  time.Duration `json:"deadline"`
	Group     string        `json:"group"`
	InOrder   bool          `json:"in_order"`
	LateWorth float64       `json:"late_worth"`
	Window    time.Duration `json:"memory_span"`
	Name      string        `json:"name"`
	OnTime    time.Duration `json:"on_time"`
	Points    float64       `json:"points"`
	RunsOn    []string      `json:"runs_on"`
	StaysIn   []string      `json:"stays_in"`
	Semantics string        `json:"semantics"`
	Stream    bool          `json:"stream"`
}

func index(list []string) map[string]int {
	m := make(map[string]int, len(list))
	for i, n := range list {
		m[n] = i
	}
	return m
}

func at[T any](list []T, i int) (v T) {
	if i < len(list) {
		v = list[i]
	}
	return v
}

// Find looks a name up; -1 when it is not there.
func Find(m map[string]int, name string) int {
	if i, ok := m[name]; ok {
		return i
	}
	return -1
}

// Parse reads the settings object that the bench and the configuration share.
func Parse(text []byte) (admission.Settings, Names, error) {
	var f facts
	if err := json.Unmarshal(text, &f); err != nil {
		return admission.Settings{}, Names{}, err
	}
	return f.settings()
}

// settings hands the facts over in the controller's terms.
func (f *facts) settings() (admission.Settings, Names, error) {
	n := Names{Zones: index(f.Zones), Kinds: index(f.Kinds), Classes: map[string]int{}, Tenants: map[string]int{}}
	s := admission.Settings{
		Me: f.Me, Replicas: f.Replicas, Zone: Find(n.Zones, f.Locality), Zones: len(f.Zones),
		OverShareWorth: f.OverShare, Ask: f.Discovery == "ask", AskEvery: f.Rules.AskEvery,
		Grants: f.Info.Grants, Priorities: f.Info.Lanes, TellsCost: f.Info.SaysCost, NoteEvery: f.Info.TellsEvery,
		MostGrant: f.Info.MostGrant, MayCancel: f.Permissions.Cancel, MayProbe: f.Permissions.Probes,
		MayTell: f.Permissions.Tell, MayCopy: f.Permissions.Copies, MaxAttempts: f.Permissions.Attempts,
		MarksRetry: f.Callers.MarksRetry,
		Slack:      f.Rules.Slack, DrainGrace: f.Rules.Drain, ColdFrom: f.Rules.ColdFrom, Cold: f.Rules.Cold,
		FallMultiple: f.Rules.Multiple, FallWindow: f.Rules.Overload, Settle: f.Rules.Settle,
	}
	if f.Permissions.RetryAfter {
		s.MaxPause = f.Permissions.MaxPause
	}
	s.Budgeted = f.Rules.Spare != nil || f.Rules.Ratio != nil
	s.SpareTries, s.TryRatio, s.TrySpan = deref(f.Rules.Spare), deref(f.Rules.Ratio), deref(f.Rules.Span)
	var err error
	if s.Via, err = pick("reporting.via", f.Reporting.Via, map[string]admission.Via{
		"": admission.Silent, "silent": admission.Silent, "piggyback": admission.Piggyback, "pull": admission.Pull,
	}); err != nil {
		return s, n, err
	}
	if s.Shortage, err = pick("family_info.overbooked", f.Info.Overbooked, map[string]admission.Shortage{
		"": admission.LineUp, "line_up": admission.LineUp, "cut": admission.Cut,
		"overcommit": admission.Overcommit,
	}); err != nil {
		return s, n, err
	}
	for i := range f.Kinds {
		s.Kinds = append(s.Kinds, admission.Kind{Cores: at(f.Info.Cores, i), MemoryMB: at(f.Info.MemoryMB, i)})
	}
	for i, t := range f.Tenants {
		n.Tenants[t.Name] = i
		s.Tenants = append(s.Tenants, admission.Tenant{Share: t.Fraction, AllowPerS: t.Allowance})
	}
	for i, c := range f.Services {
		n.Classes[c.Name] = i
		class, err := f.class(i, n)
		if err != nil {
			return s, n, err
		}
		s.Classes = append(s.Classes, class)
	}
	return s, n, nil
}

func (f *facts) class(i int, n Names) (admission.Class, error) {
	c := f.Services[i]
	out := admission.Class{
		Aim: c.OnTime, AimStretch: c.Stretch, Deadline: c.Deadline, Worth: c.Points, LateWorth: c.LateWorth,
		Window: c.Window, InOrder: c.InOrder, Stream: c.Stream, Threads: at(f.Info.Threads, i),
		Holds: at(f.Info.Holds, i), Waits: at(f.Info.Waits, i),
	}
	field := fmt.Sprintf("services[%d].", i)
	var err error
	if out.Effect, err = pick(field+"semantics", c.Semantics, map[string]admission.Effect{
		"read_like": admission.Safe, "idempotency_key": admission.Keyed, "non_idempotent": admission.Unsafe,
	}); err != nil {
		return out, err
	}
	if out.Group, err = pick(field+"group", c.Group, map[string]admission.Scope{
		"": admission.ScopeAll, "all": admission.ScopeAll, "zone": admission.ScopeZone, "cell": admission.ScopeCell,
	}); err != nil {
		return out, err
	}
	// A name that no list holds stays as -1: it matches no engine, so the bound is kept.
	for _, z := range c.StaysIn {
		out.OnlyZones = append(out.OnlyZones, Find(n.Zones, z))
	}
	for _, k := range c.RunsOn {
		out.OnlyKinds = append(out.OnlyKinds, Find(n.Kinds, k))
	}
	return out, nil
}

func pick[T any](field, word string, m map[string]T) (T, error) {
	v, ok := m[word]
	if !ok {
		return v, fmt.Errorf("%s: %q is not known", field, word)
	}
	return v, nil
}

func deref[T any](p *T) (v T) {
	if p != nil {
		v = *p
	}
	return v
}
